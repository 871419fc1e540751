//! Just enough HTTP/1.1 for clients, servers and the operator.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time for a new channel to be established, as the pages give it for clients.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Head of a request or an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// Request line or status line.
    pub first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let word = self.first.split_whitespace().nth(1);
        word.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn content_length(&self) -> usize {
        self.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A channel with the bytes that were received but not used yet.
pub struct Channel {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    pub fn connect(addr: SocketAddr) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).map(Self::new)
    }

    /// Reads more bytes until `deadline`.
    fn fill(&mut self, deadline: Option<Instant>) -> std::io::Result<()> {
        let left = deadline.map(|at| at.saturating_duration_since(Instant::now()));
        if left.is_some_and(|left| left.is_zero()) {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(left)?;
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(n) => {
                self.buf.extend_from_slice(&chunk[..n]);
                Ok(())
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => Err(ErrorKind::TimedOut.into()),
            Err(e) => Err(e),
        }
    }

    pub fn read_head(&mut self, deadline: Option<Instant>) -> std::io::Result<Head> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            self.fill(deadline)?;
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers = pairs.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect();
        Ok(Head { first, headers })
    }

    /// Reads a body of this many bytes.
    pub fn read_body(&mut self, len: usize, deadline: Option<Instant>) -> std::io::Result<Vec<u8>> {
        while self.buf.len() < len {
            self.fill(deadline)?;
        }
        Ok(self.buf.drain(..len).collect())
    }

    pub fn write(&mut self, data: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(data)
    }
}

/// Makes one call on a new channel and returns the head and the body of the answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> std::io::Result<(Head, String)> {
    let deadline = Some(Instant::now() + limit);
    let mut channel = Channel::connect(addr)?;
    let len = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
         Content-Length: {len}\r\nConnection: close\r\n\r\n"
    );
    channel.write(head.as_bytes())?;
    channel.write(body.as_bytes())?;
    let head = channel.read_head(deadline)?;
    let body = channel.read_body(head.content_length(), deadline)?;
    Ok((head, String::from_utf8_lossy(&body).into_owned()))
}

/// Makes a call that follows a 307 twice, as callers of control do.
pub fn call_control(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> std::io::Result<(Head, String)> {
    let mut addr = addr;
    for _ in 0..2 {
        let answer = call(addr, method, path, body, Duration::from_secs(1))?;
        let target = answer.0.get("location").and_then(|url| url.strip_prefix("http://"));
        let target = target.and_then(|rest| rest.split('/').next()?.parse().ok());
        match target {
            Some(next) if answer.0.status() == 307 => addr = next,
            _ => return Ok(answer),
        }
    }
    call(addr, method, path, body, Duration::from_secs(1))
}
