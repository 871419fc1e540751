//! Reads server-sent events of a completion.

use bytes::{Buf, BytesMut};

/// Longest event in bytes.
const MAX_EVENT: usize = 1024 * 1024;

/// Splits a byte stream into the data of events.
#[derive(Debug, Default)]
pub(super) struct SseReader {
    buf: BytesMut,
}

impl SseReader {
    /// Adds bytes; false when an event is too long.
    pub(super) fn push(&mut self, data: &[u8]) -> bool {
        self.buf.extend_from_slice(data);
        self.buf.len() <= MAX_EVENT
    }

    /// Data of the next whole event.
    pub(super) fn next_event(&mut self) -> Option<String> {
        loop {
            let end = self.buf.iter().position(|b| *b == b'\n')?;
            let line = self.buf.split_to(end);
            self.buf.advance(1);
            let Some(data) = line.strip_prefix(b"data:") else { continue };
            return Some(String::from_utf8_lossy(data).trim().to_owned());
        }
    }
}
