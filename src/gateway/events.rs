//! Parser that splits an event stream into complete events and reads their ids.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// A complete event of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event as received, including the empty line at the end.
    pub data: Bytes,
    /// Numeric id; `None` if the event has no `id` line or another kind of id.
    pub id: Option<u64>,
}

/// Buffers bytes of a stream and yields its complete events.
///
/// ```
/// use bitternlead::gateway::events::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 7\ndata: x\n\nid: 8\nda");
/// assert_eq!(splitter.next().unwrap().id, Some(7));
/// assert!(splitter.next().is_none());
/// assert!(splitter.in_event());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Whether more bytes are buffered than an event may have.
    pub fn is_too_large(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Whether the buffer holds an incomplete event.
    pub fn in_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

impl Iterator for EventSplitter {
    type Item = StreamEvent;

    fn next(&mut self) -> Option<StreamEvent> {
        let end = find_event_end(&self.buf, self.searched.saturating_sub(3));
        let Some(end) = end else {
            self.searched = self.buf.len();
            return None;
        };
        self.searched = 0;
        let data = self.buf.split_to(end).freeze();
        let id = parse_id(&data);
        Some(StreamEvent { data, id })
    }
}

/// Position after the first empty line; lines end in LF or CRLF.
fn find_event_end(buf: &[u8], from: usize) -> Option<usize> {
    for at in from..buf.len() {
        if buf[at..].starts_with(b"\n\n") {
            return Some(at + 2);
        }
        if buf[at..].starts_with(b"\n\r\n") {
            return Some(at + 3);
        }
    }
    None
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
