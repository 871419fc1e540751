//! Queue of a stream's events on their way to its caller, bounded in bytes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use super::memory_budget::{HeldKind, MemoryBudget};
use super::responses::ResponseBody;

/// Maximum number of bytes between an endpoint's connection and the caller's; a larger event passes
/// on its own.
pub const WINDOW_BYTES: usize = 64 * 1024;

/// Wait for a caller from which on it, and not the endpoint, is taken to be the reason when the
/// endpoint then breaks off: endpoints cut off answers that stay unread.
pub const SLOW_CALLER_WAIT: Duration = Duration::from_millis(1000);

/// Maximum number of events in the queue; it bounds what each of them takes besides its bytes.
const MAX_QUEUED_EVENTS: usize = 256;

/// Error of a stream whose sender was dropped before its end.
const UNFINISHED: &str = "the stream has no end";

/// What became of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarded {
    /// It is on its way to the caller.
    Queued,
    /// The caller closed its connection, or was disconnected.
    CallerGone,
    /// The memory budget had no room for it in time.
    NoRoom,
}

/// Item of the queue.
enum QueueItem {
    Event(Bytes),
    /// The stream is complete.
    End,
    /// The stream broke off, for this reason.
    Failure(&'static str),
}

/// Sending half of the queue. The stream is complete for its caller only once [`EventSender::finish`] says so;
/// a sender that is dropped before that, for whatever reason, breaks it off.
///
/// The bytes of an event count until they were written to the caller's connection, not only until
/// they left the queue.
pub struct EventSender {
    tx: mpsc::Sender<QueueItem>,
    window: Arc<Semaphore>,
    memory: Arc<MemoryBudget>,
}

/// Builds a queue; the body yields what is sent.
pub fn event_queue(memory: Arc<MemoryBudget>) -> (EventSender, ResponseBody) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_EVENTS);
    let stream = futures::stream::unfold(Some(rx), |rx| async move {
        let mut rx = rx?;
        match rx.recv().await.unwrap_or(QueueItem::Failure(UNFINISHED)) {
            QueueItem::Event(data) => Some((Ok(Frame::data(data)), Some(rx))),
            QueueItem::Failure(reason) => Some((Err(std::io::Error::other(reason)), None)),
            QueueItem::End => None,
        }
    });
    let window = Arc::new(Semaphore::new(WINDOW_BYTES));
    (EventSender { tx, window, memory }, BodyExt::boxed(StreamBody::new(Box::pin(stream))))
}

impl EventSender {
    /// Sends an event once there is room for it. The memory budget is waited for at most `limit`; the
    /// caller is waited for until it is disconnected.
    pub async fn send(&self, event: Bytes, limit: Duration) -> Forwarded {
        tokio::select! {
            biased;
            () = self.tx.closed() => Forwarded::CallerGone,
            forwarded = self.enqueue(event, limit) => forwarded,
        }
    }

    async fn enqueue(&self, event: Bytes, limit: Duration) -> Forwarded {
        let permits = event.len().min(WINDOW_BYTES) as u32;
        let Ok(permit) = Arc::clone(&self.window).acquire_many_owned(permits).await else {
            return Forwarded::CallerGone;
        };
        let Ok(charge) = self.memory.charge(HeldKind::Stream, event.len(), limit).await else {
            return Forwarded::NoRoom;
        };
        self.send_held(charge.hold(WindowedEvent { event, _permit: permit })).await
    }

    /// Sends bytes that are charged to the budget already.
    pub async fn send_held(&self, data: Bytes) -> Forwarded {
        match self.tx.send(QueueItem::Event(data)).await {
            Ok(()) => Forwarded::Queued,
            Err(_) => Forwarded::CallerGone,
        }
    }

    /// Ends the stream with an error, so that it does not look complete.
    pub async fn fail(&self, reason: &'static str) {
        // A caller that is gone needs no error.
        let _ = self.tx.send(QueueItem::Failure(reason)).await;
    }

    /// Ends the stream as complete.
    pub async fn finish(&self) {
        // A caller that is gone needs no end.
        let _ = self.tx.send(QueueItem::End).await;
    }

    /// Returns once the caller has closed its connection or was disconnected.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Whether the caller has closed its connection or was disconnected.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }
}

struct WindowedEvent {
    event: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for WindowedEvent {
    fn as_ref(&self) -> &[u8] {
        &self.event
    }
}
