//! Callers that read a large answer slowly and steadily, or not at all.

use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::Request;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::callers::Callers;
use crate::deployment::plain;
use crate::servers::{LARGE_ANSWER_BYTES, LARGE_ANSWER_PATH};

/// Receive buffer of these callers, so that the entry keeps the rest of the answer.
const RECEIVE_BUFFER_BYTES: u32 = 8 * 1024;

/// A steady reader reads this much at a time, which makes 64 KiB/s.
const STEADY_BYTES: usize = 16 * 1024;
const STEADY_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a reader reads steadily, or nothing; the rest is then read at once.
const READ_TIME: Duration = Duration::from_secs(10);

/// A large answer that a caller read slowly or not at all.
#[derive(Clone, Debug)]
pub struct SlowRead {
    pub entry: usize,
    /// Whether the caller read steadily; otherwise it read nothing for [`READ_TIME`].
    pub is_steady: bool,
    pub sent_at: Instant,
    /// When the caller had read the whole answer or found the connection closed.
    pub ended_at: Instant,
    /// Whether a response with status 200 began.
    pub began: bool,
    /// Whether the whole answer was received.
    pub is_whole: bool,
}

impl Callers {
    /// Asks for large answers, one after the other, and reads every other one steadily.
    pub async fn read_slowly(self, mut rng: ChaCha8Rng, cx: CancellationToken) {
        let mut is_steady = rng.random();
        while !cx.is_cancelled() {
            let entry = rng.random_range(0..self.entries.len());
            if let Some(read) = self.read_once(entry, is_steady).await {
                self.history.count(if is_steady { "steady read" } else { "stalled read" });
                self.history.slow_reads.lock().push(read);
                is_steady = !is_steady;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Reads one answer; `None` if the entry could not be reached or refused the request.
    async fn read_once(&self, entry: usize, is_steady: bool) -> Option<SlowRead> {
        let path = format!("/book/status{LARGE_ANSWER_PATH}");
        let req = plain("GET", &path);
        let sent_at = Instant::now();
        let mut stream =
            timeout(Duration::from_secs(1), self.send_head(entry, &req)).await.ok()??;
        let (mut received, mut buf) = (Vec::new(), vec![0; 128 * 1024]);
        if !is_steady {
            sleep(READ_TIME).await;
        }
        loop {
            let is_slow = is_steady && sent_at.elapsed() < READ_TIME;
            let most = if is_slow { STEADY_BYTES } else { buf.len() };
            match timeout(READ_TIME, stream.read(&mut buf[..most])).await {
                Ok(Ok(n)) if n > 0 => received.extend_from_slice(&buf[..n]),
                _ => break,
            }
            if received.len() > LARGE_ANSWER_BYTES {
                break;
            }
            if is_slow {
                sleep(STEADY_INTERVAL).await;
            }
        }
        let began = received.starts_with(b"HTTP/1.1 200");
        let is_whole = began && received.len() > LARGE_ANSWER_BYTES;
        let ended_at = Instant::now();
        (began || received.is_empty()).then_some(SlowRead {
            entry,
            is_steady,
            sent_at,
            ended_at,
            began,
            is_whole,
        })
    }

    /// Sends the head of a request on a connection with a small receive buffer.
    async fn send_head(
        &self,
        entry: usize,
        req: &Request<Full<bytes::Bytes>>,
    ) -> Option<TcpStream> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
        let mut stream = socket.connect(self.entries[entry]).await.ok()?;
        let mut head = format!("{} {} HTTP/1.1\r\n", req.method(), req.uri());
        for (name, value) in req.headers() {
            let value = if name == "deadline-ms" { "20000" } else { value.to_str().ok()? };
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("connection: close\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        Some(stream)
    }
}
