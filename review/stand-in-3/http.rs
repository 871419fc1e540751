//! A small blocking HTTP/1.1 client and the reading of messages.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a request or of an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads one message; `None` if the connection ended before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.first_line)? == 0 {
        return Ok(None);
    }
    message.first_line.truncate(message.first_line.trim_end().len());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        message.body = read_chunks(reader)?;
    } else if let Some(len) = message.header("content-length").and_then(|v| v.parse().ok()) {
        message.body = vec![0; len];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let len = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; len + 2];
        reader.read_exact(&mut chunk)?;
        if len == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..len]);
    }
}

/// A connection of a client that is kept for several requests.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects; calls on the connection fail after `timeout` without a byte.
    pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
    }

    /// Sends a request and reads its answer.
    pub fn call(&mut self, head: &str, body: &[u8]) -> io::Result<Message> {
        let mut request = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        request.extend_from_slice(body);
        self.stream.write_all(&request)?;
        read_message(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Calls an address once on a connection of its own, and follows up to two redirects.
pub fn call_once(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut addr = addr;
    for _ in 0..3 {
        let head = format!("{method} {path} HTTP/1.1\r\nHost: {addr}\r\n");
        let answer = Client::connect(addr, timeout)?.call(&head, body)?;
        let location = answer.header("location").map(str::to_owned);
        match location {
            Some(location) if answer.status() == 307 => {
                let host = location.trim_start_matches("http://").split('/').next().unwrap_or("");
                addr = host.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            }
            _ => return Ok(answer),
        }
    }
    Err(io::Error::other("redirected too often"))
}
