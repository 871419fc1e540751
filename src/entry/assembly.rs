//! Puts an attempt's frames together; only whole, own and ordered parts pass.

use bytes::Bytes;
use smol_str::SmolStr;

use crate::ids::AttemptNumber;
use crate::plain;
use crate::wire::envelope::Body;
use crate::wire::{Failed, KvSource, Refused};

plain! {
    /// What a frame means for the answer.
    pub enum Part {
        /// Next part of the answer.
        Data {
            /// Bytes.
            data: Bytes,
            /// Units that they count for.
            len: u64,
        },
        /// Status of a plain service's answer.
        Head {
            /// HTTP status.
            status: u16,
            /// Content type.
            content_type: String,
        },
        /// Memory of a segment is reserved, or its prompt was read and is held.
        Held(Option<KvSource>),
        /// The answer is whole.
        End {
            /// stop or length.
            finish: String,
        },
        /// The attempt did not run and never will.
        Refused(Refused),
        /// The attempt ended badly.
        Failed(Failed),
        /// Frames are missing; what follows cannot be used.
        Gap,
        /// A foreign, late or repeated frame; it is dropped.
        Dropped,
    }
}

plain! {
    /// Order of one attempt's frames.
    ///
    /// ```
    /// use bitternlead::entry::assembly::{Assembly, Part};
    /// use bitternlead::wire::{Chunk, envelope::Body};
    ///
    /// let mut assembly = Assembly::new("r", 1);
    /// let chunk = Chunk { request: "r".into(), attempt: 1, offset: 1, len: 1, ..Chunk::default() };
    /// assert_eq!(assembly.take(Body::Chunk(chunk)), Part::Gap);
    /// ```
    pub struct Assembly {
        request: SmolStr,
        attempt: AttemptNumber,
        next: u64,
        over: bool,
    }
}

impl Assembly {
    /// Starts an attempt's answer.
    pub fn new(request: &str, attempt: AttemptNumber) -> Self {
        Self { request: SmolStr::new(request), attempt, next: 0, over: false }
    }

    /// Units received so far.
    pub fn offset(&self) -> u64 {
        self.next
    }

    /// Whether the attempt's last frame was taken.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// Takes a frame.
    pub fn take(&mut self, body: Body) -> Part {
        if self.over || !self.owns(&body) {
            return Part::Dropped;
        }
        match body {
            Body::Chunk(c) if c.offset + c.len <= self.next && c.len > 0 => Part::Dropped,
            Body::Chunk(c) if c.offset != self.next => Part::Gap,
            Body::Chunk(c) => {
                self.next += c.len;
                Part::Data { data: c.data, len: c.len }
            }
            Body::Head(h) => {
                let status = u16::try_from(h.status).unwrap_or(502);
                Part::Head { status, content_type: h.content_type }
            }
            Body::Held(h) => Part::Held(h.source),
            Body::End(e) if e.count != self.next => Part::Gap,
            Body::End(e) => {
                self.over = true;
                Part::End { finish: e.finish }
            }
            Body::Refused(r) => {
                self.over = true;
                Part::Refused(r)
            }
            Body::Failed(f) => {
                self.over = true;
                Part::Failed(f)
            }
            _ => Part::Dropped,
        }
    }

    fn owns(&self, body: &Body) -> bool {
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
