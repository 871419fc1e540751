//! Emulation of one engine.

use bitternlead::gateway::engine_model::EngineModel;

/// Identifies a send; the parts of a shared prompt have the same id.
pub type SendId = u64;

/// A prefill that is queued at an engine.
#[derive(Clone, Debug)]
struct Read {
    send: SendId,
    /// Whether several engines share the prompt.
    shared: bool,
    tokens: f64,
    left: f64,
    prefill_ms: f64,
}

/// A stream that is being decoded.
#[derive(Clone, Debug)]
struct Writer {
    send: SendId,
    prompt: u64,
    written: u64,
    events_left: u32,
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
struct Waiting {
    rank: u8,
    read: Read,
}

/// Effects of a pass, applied when it ends.
#[derive(Clone, Debug, Default)]
pub struct PassEnd {
    /// Sends whose prefill at this engine is complete.
    pub read: Vec<SendId>,
    /// Sends that emitted an event.
    pub wrote: Vec<SendId>,
    /// Sends whose streams are complete.
    pub ended: Vec<SendId>,
}

/// An engine that works in passes, as [`EngineModel`] describes them.
pub struct Engine {
    model: EngineModel,
    /// Factor by which the engine is slower than its model; 1.0 for none.
    pub pace: f64,
    reads: Vec<Read>,
    waiting: Vec<Waiting>,
    writers: Vec<Writer>,
    running: Vec<SendId>,
    pass: Option<(f64, Vec<SendId>, Vec<SendId>)>,
}

impl Engine {
    /// Builds an idle engine.
    pub fn new(model: EngineModel) -> Self {
        let (reads, waiting, writers, running) = Default::default();
        Self { model, pace: 1.0, reads, waiting, writers, running, pass: None }
    }

    /// Queues a request whose prompt this engine prefills, alone or shared with helpers.
    pub fn take(&mut self, send: SendId, tokens: f64, prefill_ms: f64, shared: bool, rank: u8) {
        let read = Read { send, shared, tokens, left: tokens, prefill_ms };
        self.waiting.push(Waiting { rank, read });
        self.fill_slots();
    }

    /// Queues a part of a prompt whose request is answered by another engine.
    pub fn help(&mut self, send: SendId, tokens: f64, prefill_ms: f64) {
        self.put(Read { send, shared: true, tokens, left: tokens, prefill_ms });
    }

    fn put(&mut self, read: Read) {
        let at = if read.shared { 0 } else { self.reads.len() };
        self.reads.insert(at, read);
    }

    fn fill_slots(&mut self) {
        while self.running.len() < self.model.slots as usize && !self.waiting.is_empty() {
            let ranks = self.waiting.iter().map(|w| w.rank);
            let best = ranks.min().unwrap_or_default();
            let at = self.waiting.iter().position(|w| w.rank == best).unwrap_or_default();
            let next = self.waiting.remove(at);
            self.running.push(next.read.send);
            self.put(next.read);
        }
    }

    /// Starts to decode a stream after the whole prompt is prefilled; its first event has been
    /// emitted already.
    pub fn write(&mut self, send: SendId, prompt: u64, events: u32) {
        let written = u64::from(self.model.stride);
        match events {
            0 | 1 => self.leave(send),
            _ => self.writers.push(Writer { send, prompt, written, events_left: events - 1 }),
        }
    }

    /// Removes a send in whatever state it is.
    pub fn leave(&mut self, send: SendId) {
        self.reads.retain(|r| r.send != send);
        self.waiting.retain(|w| w.read.send != send);
        self.writers.retain(|w| w.send != send);
        self.running.retain(|s| *s != send);
        self.fill_slots();
    }

    /// Starts a pass if none is in progress and there is work; returns its end in milliseconds.
    pub fn start(&mut self, now_ms: f64) -> Option<f64> {
        if self.pass.is_some() || self.reads.is_empty() && self.writers.is_empty() {
            return None;
        }
        let chunk = f64::from(self.model.chunk_tokens);
        let (mut took, mut budget) = (0.0, chunk);
        if !self.writers.is_empty() {
            let context = self.writers.iter().map(|w| w.prompt + w.written).sum();
            took = self.model.stride_ms(self.writers.len(), context);
            budget = chunk * f64::from(self.model.stride);
        }
        let mut read = Vec::new();
        for r in &mut self.reads {
            let tokens = r.left.min(budget);
            took += r.prefill_ms * tokens / r.tokens.max(1.0);
            r.left -= tokens;
            budget -= tokens;
            if r.left <= 0.5 {
                read.push(r.send);
            }
            if budget <= 0.0 {
                break;
            }
        }
        self.reads.retain(|r| r.left > 0.5);
        let wrote = self.writers.iter().map(|w| w.send).collect();
        let end = now_ms + took * self.pace;
        self.pass = Some((end, read, wrote));
        Some(end)
    }

    /// Ends the pass in progress.
    pub fn end(&mut self) -> PassEnd {
        let Some((_, read, wrote)) = self.pass.take() else { return PassEnd::default() };
        let mut ended = Vec::new();
        for w in self.writers.iter_mut().filter(|w| wrote.contains(&w.send)) {
            w.written += u64::from(self.model.stride);
            w.events_left -= 1;
            if w.events_left == 0 {
                ended.push(w.send);
            }
        }
        let wrote = wrote.into_iter().filter(|s| self.writers.iter().any(|w| w.send == *s));
        let wrote = wrote.collect();
        for send in &ended {
            self.leave(*send);
        }
        PassEnd { read, wrote, ended }
    }
}
