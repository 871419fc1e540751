//! A small HTTP/1.1 client: one call on a connection of its own.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A response that arrived whole.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Value of a header in the head of a message.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// Calls `addr` and waits at most `limit` for the whole response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    limit: Duration,
) -> Result<Response, String> {
    let start = Instant::now();
    let mut stream = TcpStream::connect_timeout(&addr, limit).map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let length =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let host = if headers.to_ascii_lowercase().contains("host:") {
        String::new()
    } else {
        format!("Host: {addr}\r\n")
    };
    let head = format!("{method} {path} HTTP/1.1\r\n{host}{headers}{length}Connection: close\r\n\r\n");
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message).map_err(|e| e.to_string())?;
    let mut data = Vec::new();
    let mut buf = [0; 64 * 1024];
    loop {
        let left = limit.saturating_sub(start.elapsed());
        if left.is_zero() {
            return Err("no whole response in time".into());
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buf) {
            Ok(0) => return parse(&data, true).ok_or_else(|| "closed early".into()),
            Ok(count) => {
                data.extend_from_slice(&buf[..count]);
                if let Some(response) = parse(&data, false) {
                    return Ok(response);
                }
            }
            Err(e) if data.is_empty() => return Err(e.to_string()),
            Err(e) => return Err(format!("broke off: {e}")),
        }
    }
}

/// Parses a response with a declared length, or one that ends with its connection.
fn parse(data: &[u8], ended: bool) -> Option<Response> {
    let end = data.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&data[..end]).into_owned();
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let response = Response { status, head, body: data[end..].to_vec() };
    match response.header("content-length").and_then(|v| v.parse::<usize>().ok()) {
        Some(length) if response.body.len() >= length => Some(response),
        Some(_) => None,
        None => ended.then_some(response),
    }
}
