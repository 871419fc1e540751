//! An attempt and its buffered output, kept so that an entry that lost its connection can resume.

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::ledger::AttemptKey;
use crate::wire::envelope::Body;
use crate::wire::{Chunk, Head, Held, KvSource};

#[derive(Default)]
struct AttemptOutput {
    /// Messages that are sent before all chunks: a response's head, or the state of a segment.
    preamble: Vec<Body>,
    /// KV memory that a segment builds on; set once its prefill is allowed.
    prefill_sources: Option<Vec<KvSource>>,
    chunks: Vec<Chunk>,
    /// Units in all chunks: tokens of a completion, bytes of a service's response.
    unit_count: u64,
    final_message: Option<Body>,
    /// Number of attachments so far, which is the number of the latest.
    attachment_count: u64,
}

/// One attempt that waits, runs or has just ended.
pub struct Attempt {
    /// Request and number of the attempt.
    pub key: AttemptKey,
    /// Cancelled when the output is no longer wanted: the entry cancelled the attempt or stayed
    /// disconnected, or the agent stops.
    pub cx: CancellationToken,
    output: Mutex<AttemptOutput>,
    output_changed: Notify,
}

impl Attempt {
    /// Builds an attempt without output; cancelling `cx` ends it.
    pub fn new(key: AttemptKey, cx: CancellationToken) -> Self {
        Self { key, cx, output: Mutex::default(), output_changed: Notify::new() }
    }

    /// Sends the status and content type of a plain service's response.
    pub fn set_head(&self, status: u16, content_type: String) {
        let request = self.key.request.to_string();
        let attempt = self.key.attempt;
        let status = u32::from(status);
        self.push_preamble(Body::Head(Head { request, attempt, status, content_type }));
    }

    /// Sends that a segment's memory is reserved, or, with a source, that it is prefilled and where
    /// it is held.
    pub fn set_held(&self, source: Option<KvSource>) {
        let request = self.key.request.to_string();
        self.push_preamble(Body::Held(Held { request, attempt: self.key.attempt, source }));
    }

    fn push_preamble(&self, body: Body) {
        self.output.lock().preamble.push(body);
        self.output_changed.notify_waiters();
    }

    /// Allows a segment's prefill on top of the given KV memory; later calls have no effect.
    pub fn allow_prefill(&self, sources: Vec<KvSource>) {
        self.output.lock().prefill_sources.get_or_insert(sources);
        self.output_changed.notify_waiters();
    }

    /// Waits until a segment's prefill is allowed and returns the KV memory that it builds on.
    pub async fn wait_prefill_allowed(&self) -> Vec<KvSource> {
        loop {
            let changed = self.output_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(sources) = self.output.lock().prefill_sources.clone() {
                return sources;
            }
            changed.await;
        }
    }

    /// Adds a chunk of `len` units: tokens of a completion or bytes of a service's response.
    pub fn push(&self, data: Bytes, len: u64) {
        let mut output = self.output.lock();
        let offset = output.unit_count;
        output.unit_count += len;
        let request = self.key.request.to_string();
        output.chunks.push(Chunk { request, attempt: self.key.attempt, offset, len, data });
        drop(output);
        self.output_changed.notify_waiters();
    }

    /// Number of units in all chunks so far.
    pub fn unit_count(&self) -> u64 {
        self.output.lock().unit_count
    }

    /// Sets the final message; later calls have no effect.
    pub fn complete(&self, body: Body) {
        self.output.lock().final_message.get_or_insert(body);
        self.output_changed.notify_waiters();
    }

    /// Whether the final message is set.
    pub fn is_finished(&self) -> bool {
        self.output.lock().final_message.is_some()
    }

    /// Starts a new attachment, a connection that receives the output, and returns its number. The
    /// previous attachment stops sending.
    pub fn attach(&self) -> u64 {
        let mut output = self.output.lock();
        output.attachment_count += 1;
        self.output_changed.notify_waiters();
        output.attachment_count
    }

    /// Whether `attachment` is the latest one.
    pub fn is_current_attachment(&self, attachment: u64) -> bool {
        self.output.lock().attachment_count == attachment
    }

    /// Waits for messages after `cursor` and advances it; `None` when there is a newer attachment.
    pub async fn next_messages(&self, attachment: u64, cursor: &mut Cursor) -> Option<Vec<Body>> {
        loop {
            let changed = self.output_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let output = self.output.lock();
                if output.attachment_count != attachment {
                    return None;
                }
                let messages = cursor.take_new(&output);
                if !messages.is_empty() {
                    return Some(messages);
                }
            }
            changed.await;
        }
    }
}

/// Position of an attachment in the output: the messages that it has taken.
#[derive(Clone, Debug, Default)]
pub struct Cursor {
    next_preamble: usize,
    next_chunk: usize,
    finished: bool,
}

impl Cursor {
    /// Builds a cursor after the `offset` units that the entry has received; `None` when no chunk
    /// starts there. Preamble messages are sent again.
    pub fn from_offset(attempt: &Attempt, offset: u64) -> Option<Self> {
        let output = attempt.output.lock();
        let index = output.chunks.partition_point(|c| c.offset < offset);
        let start = output.chunks.get(index).map_or(output.unit_count, |c| c.offset);
        (start == offset).then_some(Self { next_preamble: 0, next_chunk: index, finished: false })
    }

    /// Whether the final message was taken.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the messages that were not taken yet and advances past them.
    fn take_new(&mut self, output: &AttemptOutput) -> Vec<Body> {
        let mut messages = Vec::new();
        messages.extend(output.preamble[self.next_preamble..].iter().cloned());
        self.next_preamble = output.preamble.len();
        for chunk in &output.chunks[self.next_chunk.min(output.chunks.len())..] {
            messages.push(Body::Chunk(chunk.clone()));
        }
        self.next_chunk = output.chunks.len();
        if let Some(message) = output.final_message.as_ref().filter(|_| !self.finished) {
            self.finished = true;
            messages.push(message.clone());
        }
        messages
    }
}
