//! Emulation of one engine.

use bitternlead::gateway::placement::engine_model::EngineModel;

/// Identifies a send; the parts of a shared prompt have the same id.
pub type SendId = u64;

/// A prefill that is queued at an engine.
#[derive(Clone, Debug)]
struct Prefill {
    send: SendId,
    /// Whether several engines share the prompt.
    shared: bool,
    tokens: f64,
    remaining_tokens: f64,
    prefill_ms: f64,
}

/// A stream that is being decoded.
#[derive(Clone, Debug)]
struct DecodingStream {
    send: SendId,
    prompt: u64,
    written_tokens: u64,
    events_left: u32,
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
struct QueuedRequest {
    rank: u8,
    prefill: Prefill,
}

/// Effects of a pass, applied when it ends.
#[derive(Clone, Debug, Default)]
pub struct PassEnd {
    /// Sends whose prefill at this engine is complete.
    pub prefilled: Vec<SendId>,
    /// Sends that emitted an event.
    pub emitted: Vec<SendId>,
    /// Sends whose streams are complete.
    pub finished: Vec<SendId>,
}

/// An engine that works in passes, as [`EngineModel`] describes them.
pub struct Engine {
    model: EngineModel,
    /// Factor by which the engine is slower than its model; 1.0 for none.
    pub slowdown: f64,
    prefills: Vec<Prefill>,
    queued: Vec<QueuedRequest>,
    decoding: Vec<DecodingStream>,
    running: Vec<SendId>,
    pass: Option<(f64, Vec<SendId>, Vec<SendId>)>,
}

impl Engine {
    /// Builds an idle engine.
    pub fn new(model: EngineModel) -> Self {
        let (prefills, queued, decoding, running) = Default::default();
        Self { model, slowdown: 1.0, prefills, queued, decoding, running, pass: None }
    }

    /// Queues a request whose prompt this engine prefills, alone or shared with helpers.
    pub fn enqueue(&mut self, send: SendId, tokens: f64, prefill_ms: f64, shared: bool, rank: u8) {
        let prefill = Prefill { send, shared, tokens, remaining_tokens: tokens, prefill_ms };
        self.queued.push(QueuedRequest { rank, prefill });
        self.fill_slots();
    }

    /// Queues a part of a prompt whose request is answered by another engine.
    pub fn enqueue_part(&mut self, send: SendId, tokens: f64, prefill_ms: f64) {
        self.push_prefill(Prefill {
            send,
            shared: true,
            tokens,
            remaining_tokens: tokens,
            prefill_ms,
        });
    }

    /// Number of slots that no request holds.
    pub fn free_slots(&self) -> usize {
        (self.model.slots as usize).saturating_sub(self.running.len())
    }

    /// Whether a request waits for a slot.
    pub fn is_queued(&self, send: SendId) -> bool {
        self.queued.iter().any(|w| w.prefill.send == send)
    }

    fn push_prefill(&mut self, prefill: Prefill) {
        let at = if prefill.shared { 0 } else { self.prefills.len() };
        self.prefills.insert(at, prefill);
    }

    fn fill_slots(&mut self) {
        while self.running.len() < self.model.slots as usize && !self.queued.is_empty() {
            let ranks = self.queued.iter().map(|w| w.rank);
            let best = ranks.min().unwrap_or_default();
            let at = self.queued.iter().position(|w| w.rank == best).unwrap_or_default();
            let next = self.queued.remove(at);
            self.running.push(next.prefill.send);
            self.push_prefill(next.prefill);
        }
    }

    /// Starts to decode a stream after the whole prompt is prefilled; its first event has been
    /// emitted already.
    pub fn start_decoding(&mut self, send: SendId, prompt: u64, events: u32) {
        let written_tokens = u64::from(self.model.stride);
        match events {
            0 | 1 => self.remove_send(send),
            _ => self.decoding.push(DecodingStream {
                send,
                prompt,
                written_tokens,
                events_left: events - 1,
            }),
        }
    }

    /// Removes a send in whatever state it is.
    pub fn remove_send(&mut self, send: SendId) {
        self.prefills.retain(|r| r.send != send);
        self.queued.retain(|w| w.prefill.send != send);
        self.decoding.retain(|w| w.send != send);
        self.running.retain(|s| *s != send);
        self.fill_slots();
    }

    /// Starts a pass if none is in progress and there is work; returns its end in milliseconds.
    pub fn start(&mut self, now_ms: f64) -> Option<f64> {
        if self.pass.is_some() || self.prefills.is_empty() && self.decoding.is_empty() {
            return None;
        }
        let chunk = f64::from(self.model.chunk_tokens);
        let (mut duration_ms, mut budget) = (0.0, chunk);
        if !self.decoding.is_empty() {
            let context = self.decoding.iter().map(|w| w.prompt + w.written_tokens).sum();
            duration_ms = self.model.stride_ms(self.decoding.len(), context);
            budget = chunk * f64::from(self.model.stride);
        }
        let mut prefilled = Vec::new();
        for r in &mut self.prefills {
            let tokens = r.remaining_tokens.min(budget);
            duration_ms += r.prefill_ms * tokens / r.tokens.max(1.0);
            r.remaining_tokens -= tokens;
            budget -= tokens;
            if r.remaining_tokens <= 0.5 {
                prefilled.push(r.send);
            }
            if budget <= 0.0 {
                break;
            }
        }
        self.prefills.retain(|r| r.remaining_tokens > 0.5);
        let emitted = self.decoding.iter().map(|w| w.send).collect();
        let end = now_ms + duration_ms * self.slowdown;
        self.pass = Some((end, prefilled, emitted));
        Some(end)
    }

    /// Ends the pass in progress.
    pub fn end(&mut self) -> PassEnd {
        let Some((_, prefilled, emitted)) = self.pass.take() else { return PassEnd::default() };
        let mut finished = Vec::new();
        for w in self.decoding.iter_mut().filter(|w| emitted.contains(&w.send)) {
            w.written_tokens += u64::from(self.model.stride);
            w.events_left -= 1;
            if w.events_left == 0 {
                finished.push(w.send);
            }
        }
        let emitted = emitted.into_iter().filter(|s| self.decoding.iter().any(|w| w.send == *s));
        let emitted = emitted.collect();
        for send in &finished {
            self.remove_send(*send);
        }
        PassEnd { prefilled, emitted, finished }
    }
}
