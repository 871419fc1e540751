//! Reassembles the frames of an attempt; only complete, matching and ordered frames pass.

use bytes::Bytes;
use smol_str::SmolStr;

use crate::derive_value;
use crate::ids::AttemptNumber;
use crate::wire::envelope::Body;
use crate::wire::{Failed, KvSource, Refused};

derive_value! {
    /// Meaning of a received frame for the response.
    pub enum FrameEvent {
        /// Next part of the response, contiguous with the parts before it.
        Data {
            /// Content; UTF-8 text for a completion.
            data: Bytes,
            /// Length in units of the offset: tokens for completions, bytes for services.
            len: u64,
        },
        /// Status line of a service response.
        Head {
            /// HTTP status; 502 if the agent sent an invalid one.
            status: u16,
            /// Content type as sent by the service.
            content_type: String,
        },
        /// Without a source: the memory of a segment is reserved. With a source: the segment is
        /// prefilled, and the source tells where its KV cache can be imported from.
        Held(Option<KvSource>),
        /// The response is complete.
        End {
            /// Finish reason of the engine: `stop` or `length`.
            finish: String,
        },
        /// The agent refused the attempt; it did not run and never will.
        Refused(Refused),
        /// The attempt failed after it had started.
        Failed(Failed),
        /// Frames are missing, so nothing after the gap can be used.
        Gap,
        /// A duplicate frame, a frame after the end, or one of another attempt; it is dropped.
        Dropped,
    }
}

derive_value! {
    /// Order and completeness of the frames of one attempt.
    ///
    /// ```
    /// use bitternlead::entry::assembly::{Assembly, FrameEvent};
    /// use bitternlead::wire::{Chunk, envelope::Body};
    ///
    /// let mut assembly = Assembly::new("r", 1);
    /// let chunk =
    ///     Chunk { request: "r".into(), attempt: 1, offset: 1, len: 1, ..Chunk::default() };
    /// assert_eq!(assembly.accept(Body::Chunk(chunk)), FrameEvent::Gap);
    /// ```
    pub struct Assembly {
        request: SmolStr,
        attempt: AttemptNumber,
        next_offset: u64,
        ended: bool,
    }
}

impl Assembly {
    /// Starts the reassembly of the response to an attempt, at offset 0.
    pub fn new(request: &str, attempt: AttemptNumber) -> Self {
        Self { request: SmolStr::new(request), attempt, next_offset: 0, ended: false }
    }

    /// Returns the number of units received so far: tokens for completions, bytes for services.
    pub fn offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns whether the last frame of the attempt was accepted.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Accepts the next frame and returns its meaning; frames of other attempts are dropped.
    pub fn accept(&mut self, body: Body) -> FrameEvent {
        if self.ended || !self.belongs_here(&body) {
            return FrameEvent::Dropped;
        }
        match body {
            Body::Chunk(c) if c.offset + c.len <= self.next_offset && c.len > 0 => {
                FrameEvent::Dropped
            }
            Body::Chunk(c) if c.offset != self.next_offset => FrameEvent::Gap,
            Body::Chunk(c) => {
                self.next_offset += c.len;
                FrameEvent::Data { data: c.data, len: c.len }
            }
            Body::Head(h) => {
                let status = u16::try_from(h.status).unwrap_or(502);
                FrameEvent::Head { status, content_type: h.content_type }
            }
            Body::Held(h) => FrameEvent::Held(h.source),
            Body::End(e) if e.count != self.next_offset => FrameEvent::Gap,
            Body::End(e) => {
                self.ended = true;
                FrameEvent::End { finish: e.finish }
            }
            Body::Refused(r) => {
                self.ended = true;
                FrameEvent::Refused(r)
            }
            Body::Failed(f) => {
                self.ended = true;
                FrameEvent::Failed(f)
            }
            _ => FrameEvent::Dropped,
        }
    }

    fn belongs_here(&self, body: &Body) -> bool {
        let (request, attempt) = match body {
            Body::Chunk(m) => (&m.request, m.attempt),
            Body::Head(m) => (&m.request, m.attempt),
            Body::Held(m) => (&m.request, m.attempt),
            Body::End(m) => (&m.request, m.attempt),
            Body::Refused(m) => (&m.request, m.attempt),
            Body::Failed(m) => (&m.request, m.attempt),
            _ => return false,
        };
        *request == self.request && attempt == self.attempt
    }
}
