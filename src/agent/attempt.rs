//! What an attempt has produced so far, kept so that its entry can attach again.

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::ledger::AttemptKey;
use crate::wire::envelope::Body;
use crate::wire::{Chunk, Head, Held, KvSource};

#[derive(Default)]
struct Produced {
    marks: Vec<Body>,
    go: Option<Vec<KvSource>>,
    chunks: Vec<Chunk>,
    count: u64,
    end: Option<Body>,
    attachments: u64,
}

/// One attempt that runs or has just ended.
pub struct Attempt {
    /// Key.
    pub key: AttemptKey,
    /// Cancelled when nobody wants the answer any more.
    pub cx: CancellationToken,
    produced: Mutex<Produced>,
    changed: Notify,
}

impl Attempt {
    /// Builds an attempt without output.
    pub fn new(key: AttemptKey, cx: CancellationToken) -> Self {
        Self { key, cx, produced: Mutex::default(), changed: Notify::new() }
    }

    /// Sets the status of a plain service's answer.
    pub fn set_head(&self, status: u16, content_type: String) {
        let request = self.key.request.to_string();
        let attempt = self.key.attempt;
        let status = u32::from(status);
        self.mark(Body::Head(Head { request, attempt, status, content_type }));
    }

    /// Tells that a segment's memory is reserved, or read and held under a source.
    pub fn set_held(&self, source: Option<KvSource>) {
        let request = self.key.request.to_string();
        self.mark(Body::Held(Held { request, attempt: self.key.attempt, source }));
    }

    fn mark(&self, body: Body) {
        self.produced.lock().marks.push(body);
        self.changed.notify_waiters();
    }

    /// Lets a segment be read; only the first call counts.
    pub fn allow_prefill(&self, sources: Vec<KvSource>) {
        self.produced.lock().go.get_or_insert(sources);
        self.changed.notify_waiters();
    }

    /// Waits until the segment may be read, and returns what it builds on.
    pub async fn wait_prefill_allowed(&self) -> Vec<KvSource> {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(sources) = self.produced.lock().go.clone() {
                return sources;
            }
            changed.await;
        }
    }

    /// Adds a part of `len` units.
    pub fn push(&self, data: Bytes, len: u64) {
        let mut produced = self.produced.lock();
        let offset = produced.count;
        produced.count += len;
        let request = self.key.request.to_string();
        produced.chunks.push(Chunk { request, attempt: self.key.attempt, offset, len, data });
        drop(produced);
        self.changed.notify_waiters();
    }

    /// Units produced so far.
    pub fn count(&self) -> u64 {
        self.produced.lock().count
    }

    /// Sets the final message; later ones are dropped.
    pub fn end(&self, body: Body) {
        self.produced.lock().end.get_or_insert(body);
        self.changed.notify_waiters();
    }

    /// Whether the final message is set.
    pub fn is_over(&self) -> bool {
        self.produced.lock().end.is_some()
    }

    /// Starts a new attachment and returns its number; the former one stops sending.
    pub fn attach(&self) -> u64 {
        let mut produced = self.produced.lock();
        produced.attachments += 1;
        self.changed.notify_waiters();
        produced.attachments
    }

    /// Whether this is still the latest attachment.
    pub fn is_attached(&self, attachment: u64) -> bool {
        self.produced.lock().attachments == attachment
    }

    /// Waits for messages after those that were sent; `None` when a newer attachment took over.
    pub async fn next(&self, attachment: u64, cursor: &mut Cursor) -> Option<Vec<Body>> {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let produced = self.produced.lock();
                if produced.attachments != attachment {
                    return None;
                }
                let news = cursor.collect(&produced);
                if !news.is_empty() {
                    return Some(news);
                }
            }
            changed.await;
        }
    }
}

/// How far an attachment has sent.
#[derive(Clone, Debug, Default)]
pub struct Cursor {
    next_mark: usize,
    next_chunk: usize,
    over: bool,
}

impl Cursor {
    /// Starts after the units that the entry holds; `None` when no chunk begins there.
    pub fn at(attempt: &Attempt, offset: u64) -> Option<Self> {
        let produced = attempt.produced.lock();
        let at = produced.chunks.partition_point(|c| c.offset < offset);
        let begins = produced.chunks.get(at).map_or(produced.count, |c| c.offset);
        (begins == offset).then_some(Self { next_mark: 0, next_chunk: at, over: false })
    }

    /// Whether the final message was taken.
    pub fn is_over(&self) -> bool {
        self.over
    }

    fn collect(&mut self, produced: &Produced) -> Vec<Body> {
        let mut news = Vec::new();
        news.extend(produced.marks[self.next_mark..].iter().cloned());
        self.next_mark = produced.marks.len();
        for chunk in &produced.chunks[self.next_chunk.min(produced.chunks.len())..] {
            news.push(Body::Chunk(chunk.clone()));
        }
        self.next_chunk = produced.chunks.len();
        if let Some(end) = produced.end.as_ref().filter(|_| !self.over) {
            self.over = true;
            news.push(end.clone());
        }
        news
    }
}
