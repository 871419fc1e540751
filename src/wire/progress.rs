//! A reader that knows when bytes last arrived.

use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::Instant;

/// Reads from another reader and records the time of each read that returned bytes.
#[derive(Debug)]
pub struct ProgressReader<R> {
    inner: R,
    last_read: Instant,
}

impl<R> ProgressReader<R> {
    /// Wraps a reader; the time until the first bytes counts from now.
    pub fn new(inner: R) -> Self {
        Self { inner, last_read: Instant::now() }
    }

    /// When bytes last arrived.
    pub fn last_read(&self) -> Instant {
        self.last_read
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for ProgressReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.last_read = Instant::now();
        }
        polled
    }
}
