//! Connection of a caller that is closed when the caller stops reading.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use super::state::Gateway;
use crate::clock::{boot_now, duration_from_s};
use crate::event;
use crate::ids::Moment;

/// Time without reading after which a caller for whom bytes wait is disconnected.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Rate down to which a steady reader is recognised, in bytes per second.
///
/// A receiver announces room in steps of up to a full segment, 64 KiB on a loopback interface: a
/// reader at this rate shows progress only every 4 s there.
const MIN_READ_RATE: f64 = 16.0 * 1024.0;

/// Largest step in which a receiver announces room, in bytes.
const MAX_STEP_BYTES: usize = 64 * 1024;

/// Says when a caller counts as not reading, from what its connection takes.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::gateway::caller_stream::ReadWatch;
///
/// let mut watch = ReadWatch::default();
/// let (start, later) = (Duration::from_secs(10), Duration::from_secs(13));
/// assert_eq!(watch.record_blocked(start), Duration::from_secs(15));
/// watch.record_progress(16 * 1024);
/// assert_eq!(watch.record_blocked(later), Duration::from_secs(19), "1 s for the step, and 5 s");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadWatch {
    blocked_since: Option<Moment>,
    /// Bytes that the connection has taken since it was last blocked.
    step_bytes: usize,
}

impl ReadWatch {
    /// Records that the connection took bytes.
    pub fn record_progress(&mut self, bytes: usize) {
        if self.blocked_since.take().is_some() {
            self.step_bytes = 0;
        }
        self.step_bytes = self.step_bytes.saturating_add(bytes);
    }

    /// Records that the connection takes no bytes, and returns when the caller counts as not reading
    /// if that lasts.
    pub fn record_blocked(&mut self, now: Moment) -> Moment {
        let since = *self.blocked_since.get_or_insert(now);
        let step_s = self.step_bytes.min(MAX_STEP_BYTES) as f64 / MIN_READ_RATE;
        since + STALL_TIMEOUT + duration_from_s(step_s)
    }
}

/// What is known of a caller's connection; shared with its requests.
#[derive(Debug, Default)]
pub struct CallerConnection {
    request: Mutex<SmolStr>,
    stalled: AtomicBool,
}

impl CallerConnection {
    /// Records the id of the request that the connection carries.
    pub fn set_request(&self, id: &SmolStr) {
        *self.request.lock() = id.clone();
    }

    /// Whether the connection was closed because the caller read nothing.
    pub fn is_stalled(&self) -> bool {
        self.stalled.load(Ordering::Relaxed)
    }
}

/// Stream to a caller. If it is watched, writes fail once the caller counts as not reading.
pub struct CallerStream {
    inner: TcpStream,
    connection: Arc<CallerConnection>,
    watch: ReadWatch,
    timer: Option<Pin<Box<Sleep>>>,
    /// Where a caller that does not read is logged and counted; `None` if it is not watched.
    watched_by: Option<Arc<Gateway>>,
    /// Whether the kernel takes as many bytes as it has room for.
    is_unbounded: bool,
}

impl CallerStream {
    /// Wraps the stream of a connection.
    pub fn new(inner: TcpStream, connection: Arc<CallerConnection>) -> Self {
        let watch = ReadWatch::default();
        Self { inner, connection, watch, timer: None, watched_by: None, is_unbounded: false }
    }

    /// Makes writes fail once the caller counts as not reading.
    pub fn disconnect_when_stalled(&mut self, gateway: Arc<Gateway>) {
        self.watched_by = Some(gateway);
    }

    /// Lets the kernel take what it has room for once this process is about to end: it goes on sending that to a
    /// caller that reads slowly.
    fn hand_over_if_stopping(&mut self) {
        let Some(gateway) = &self.watched_by else { return };
        if !self.is_unbounded && gateway.stopping.is_cancelled() {
            self.is_unbounded = true;
            let _ = SockRef::from(&self.inner).set_tcp_notsent_lowat(u32::MAX);
        }
    }

    fn watch_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = &written {
            if let Ok(bytes) = result {
                self.watch.record_progress(*bytes);
            }
            self.timer = None;
            return written;
        }
        let Some(gateway) = self.watched_by.clone() else { return written };
        let now = boot_now();
        let ends_at = self.watch.record_blocked(now);
        let left = ends_at.saturating_sub(now);
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + left)));
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.connection.stalled.store(true, Ordering::Relaxed);
        let peer = self.inner.peer_addr().map(|addr| addr.to_string()).unwrap_or_default();
        gateway.metrics.callers_not_reading.inc();
        event!(gateway.log, CallerNotReading, "request" => self.connection.request.lock().as_str(),
            "address" => peer, "reason" => "it read nothing while bytes waited for it");
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the caller does not read")))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.hand_over_if_stopping();
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.watch_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.hand_over_if_stopping();
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.watch_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
