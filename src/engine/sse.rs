//! Parser for the server-sent events of a streamed completion.

use bytes::{Buf, BytesMut};

/// Largest amount of data without a complete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into events. Each `data:` line is one event; other lines are skipped.
#[derive(Debug, Default)]
pub(super) struct SseReader {
    buf: BytesMut,
}

impl SseReader {
    /// Adds bytes; returns false when more than [`MAX_EVENT_BYTES`] are buffered.
    pub(super) fn push(&mut self, data: &[u8]) -> bool {
        self.buf.extend_from_slice(data);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Returns the data of the next complete event; `None` until one has arrived.
    pub(super) fn next_event(&mut self) -> Option<String> {
        loop {
            let line_len = self.buf.iter().position(|b| *b == b'\n')?;
            let line = self.buf.split_to(line_len);
            self.buf.advance(1);
            let Some(data) = line.strip_prefix(b"data:") else { continue };
            return Some(String::from_utf8_lossy(data).trim().to_owned());
        }
    }
}
