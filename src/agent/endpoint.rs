//! An agent's state for one endpoint: KV reservations, admission queue, health and load.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::admission::{
    AdmissionConfig, AdmissionDecision, AdmissionQueue, AdmissionRequest, EnqueueResult, Ticket,
};
use super::ledger::{AttemptKey, Ledger};
use super::prefill_meter::PrefillMeter;
use crate::engine::http_engine::HttpEngine;
use crate::engine::http_service::HttpService;
use crate::engine::{Engine, EngineLoad, PlainService};
use crate::ids::{EndpointName, Moment, Tokens};
use crate::prompt_class::SHORT_MAX_TOKENS;
use crate::wire::Load;

/// What a waiting attempt is told when its wait ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The attempt's memory is reserved and it may start.
    Admitted,
    /// The attempt's deadline passed while it waited.
    Expired,
}

struct Waiter {
    key: AttemptKey,
    tokens: Tokens,
    tx: oneshot::Sender<WaitOutcome>,
}

/// State of an endpoint, guarded by the lock in [`ManagedEndpoint`].
struct EndpointState {
    ledger: Ledger,
    admission: AdmissionQueue,
    waiters: HashMap<Ticket, Waiter>,
    running: usize,
    /// Prompt tokens of the attempts whose prefill has not ended.
    pending_prefill: HashMap<AttemptKey, Tokens>,
    prefill_meter: PrefillMeter,
    group_segments: u64,
    report: EngineLoad,
    healthy: bool,
    /// Requests that were unknown to the ledger in the last load report.
    orphan_candidates: HashSet<String>,
}

/// One endpoint that an agent serves, as a model engine or as a plain service.
pub struct ManagedEndpoint {
    /// Name of the endpoint in the configuration.
    pub name: EndpointName,
    /// Client used when the endpoint is a model engine.
    pub engine: Arc<dyn Engine>,
    /// Client used when the endpoint is a plain service.
    pub service: Arc<dyn PlainService>,
    state: Mutex<EndpointState>,
}

/// Result of [`ManagedEndpoint::request_admission`].
pub enum AdmissionReply {
    /// The attempt waits; the receiver gets the outcome of the wait.
    Queued(Ticket, oneshot::Receiver<WaitOutcome>),
    /// The attempt needs more memory than the engine has; holds that capacity in tokens.
    ExceedsCapacity(Tokens),
    /// The admission queue is full.
    QueueFull,
}

impl ManagedEndpoint {
    /// Builds an endpoint at an address, with HTTP clients; nothing is connected yet.
    pub fn new(name: EndpointName, addr: SocketAddr, cfg: AdmissionConfig) -> Self {
        Self::with_clients(
            name,
            Arc::new(HttpEngine::new(addr)),
            Arc::new(HttpService::new(addr)),
            cfg,
        )
    }

    /// Builds an endpoint with the given clients. It counts as unhealthy until its first load
    /// report or [`Self::mark_service_healthy`].
    pub fn with_clients(
        name: EndpointName,
        engine: Arc<dyn Engine>,
        service: Arc<dyn PlainService>,
        cfg: AdmissionConfig,
    ) -> Self {
        let state = EndpointState {
            ledger: Ledger::default(),
            admission: AdmissionQueue::new(cfg),
            waiters: HashMap::new(),
            running: 0,
            pending_prefill: HashMap::new(),
            prefill_meter: PrefillMeter::default(),
            group_segments: 0,
            report: EngineLoad::default(),
            healthy: false,
            orphan_candidates: HashSet::new(),
        };
        Self { name, engine, service, state: Mutex::new(state) }
    }

    /// Queues an attempt for KV memory. A call of a plain service requests 0 tokens.
    pub fn request_admission(
        &self,
        now: Moment,
        key: &AttemptKey,
        req: AdmissionRequest,
    ) -> AdmissionReply {
        let mut state = self.state.lock();
        let capacity = state.ledger.capacity();
        if req.tokens > capacity {
            return AdmissionReply::ExceedsCapacity(capacity);
        }
        let tokens = req.tokens;
        match state.admission.enqueue(now, req) {
            EnqueueResult::QueueFull => AdmissionReply::QueueFull,
            EnqueueResult::Queued(ticket) => {
                let (tx, rx) = oneshot::channel();
                state.waiters.insert(ticket, Waiter { key: key.clone(), tokens, tx });
                state.admit_waiting(now);
                AdmissionReply::Queued(ticket, rx)
            }
        }
    }

    /// Removes a waiting attempt; returns false when it no longer waits, because it was admitted
    /// meanwhile or expired.
    pub fn remove_waiting(&self, ticket: Ticket) -> bool {
        let mut state = self.state.lock();
        state.waiters.remove(&ticket);
        state.admission.remove(ticket)
    }

    /// Expires and admits waiting attempts; called periodically, so that deadlines are noticed
    /// while nothing else happens.
    pub fn tick(&self, now: Moment) {
        self.state.lock().admit_waiting(now);
    }

    /// Records that an attempt's prompt was sent to the engine and waits for its prefill.
    pub fn begin_prefill(&self, now: Moment, key: &AttemptKey, tokens: Tokens) {
        let mut state = self.state.lock();
        state.pending_prefill.insert(key.clone(), tokens);
        state.prefill_meter.begin(now);
    }

    /// Adds `delta` to the number of segments held here, the parts of prompts that several engines
    /// share.
    pub fn adjust_group_segments(&self, delta: i64) {
        let mut state = self.state.lock();
        state.group_segments = state.group_segments.saturating_add_signed(delta);
    }

    /// Records that an attempt's prefill is complete: its first token has arrived.
    pub fn end_prefill(&self, now: Moment, key: &AttemptKey) {
        self.state.lock().end_prefill(now, key, true);
    }

    /// Ends an attempt and releases its memory, which the endpoint has acknowledged as free.
    pub fn finish(&self, now: Moment, key: &AttemptKey) {
        let mut state = self.state.lock();
        state.end_prefill(now, key, false);
        if state.ledger.release(key).is_some() {
            state.running = state.running.saturating_sub(1);
        }
        state.admit_waiting(now);
    }

    /// Ends an attempt whose memory the endpoint may still hold; it stays reserved until
    /// [`Self::finish`].
    pub fn begin_release(&self, now: Moment, key: &AttemptKey) {
        let mut state = self.state.lock();
        state.end_prefill(now, key, false);
        state.ledger.begin_release(now, key);
    }

    /// Attempts whose release is not acknowledged, with the time at which they ended.
    pub fn releasing(&self) -> Vec<(AttemptKey, Moment)> {
        self.state.lock().ledger.releasing()
    }

    /// Applies a load report, marks the endpoint healthy and returns the requests to cancel as
    /// orphans.
    ///
    /// A report lags behind, so a request counts as an orphan only when two reports in a row list
    /// it without a reservation. The first report after the endpoint was unhealthy is trusted at
    /// once.
    pub fn apply_load_report(&self, now: Moment, report: EngineLoad) -> Vec<String> {
        let mut state = self.state.lock();
        let first_report = !state.healthy;
        let orphans: HashSet<String> = state.ledger.orphans(&report.running).into_iter().collect();
        let confirmed_orphans: Vec<String> = orphans
            .iter()
            .filter(|o| first_report || state.orphan_candidates.contains(*o))
            .cloned()
            .collect();
        state.orphan_candidates = orphans;
        state.ledger.set_capacity(report.kv_capacity);
        state.report = report;
        state.healthy = true;
        state.admit_waiting(now);
        confirmed_orphans
    }

    /// Sets whether the endpoint is healthy and returns the previous value.
    pub fn set_healthy(&self, healthy: bool) -> bool {
        std::mem::replace(&mut self.state.lock().healthy, healthy)
    }

    /// Marks a plain service as healthy, so that it receives calls.
    pub fn mark_service_healthy(&self) {
        self.state.lock().healthy = true;
    }

    /// Whether the endpoint answered the last health checks.
    pub fn is_healthy(&self) -> bool {
        self.state.lock().healthy
    }

    /// Models that the engine listed as loaded in its last report.
    pub fn models(&self) -> Vec<String> {
        self.state.lock().report.models.clone()
    }

    /// Load of the endpoint as entries and control see it.
    ///
    /// The prefill rate is the measured one, or the engine's own until enough was measured.
    pub fn load(&self) -> Load {
        let state = self.state.lock();
        Load {
            endpoint: self.name.to_string(),
            running: state.running as u64,
            queued: state.admission.waiting() as u64,
            queued_prefill_tokens: state.pending_prefill.values().sum(),
            kv_reserved: state.ledger.reserved(),
            kv_capacity: state.ledger.capacity(),
            prefill_rate: state.prefill_meter.rate().unwrap_or(state.report.prefill_rate),
            giants: state.group_segments,
            queued_short_tokens: state
                .pending_prefill
                .values()
                .filter(|t| **t <= SHORT_MAX_TOKENS)
                .sum(),
        }
    }

    /// Reserved KV memory, in tokens.
    pub fn reserved(&self) -> Tokens {
        self.state.lock().ledger.reserved()
    }

    /// Number of attempts that hold memory or wait for it.
    pub fn attempt_count(&self) -> usize {
        let state = self.state.lock();
        state.ledger.len() + state.admission.waiting()
    }
}

impl EndpointState {
    /// Ends an attempt's prefill; later calls for the same attempt have no effect. An incomplete
    /// prefill counts no tokens.
    fn end_prefill(&mut self, now: Moment, key: &AttemptKey, complete: bool) {
        if let Some(tokens) = self.pending_prefill.remove(key) {
            self.prefill_meter.end(now, if complete { tokens } else { 0 });
        }
    }

    /// Admits waiting attempts; repeats when an admitted one is gone and its memory is free again.
    fn admit_waiting(&mut self, now: Moment) {
        loop {
            let free = self.ledger.capacity().saturating_sub(self.ledger.reserved());
            let decisions = self.admission.schedule(now, free, self.running);
            let mut repeat = false;
            for decision in decisions {
                repeat |= !self.notify_waiter(decision);
            }
            if !repeat {
                return;
            }
        }
    }

    /// Tells a waiting attempt the decision on it; returns false when the attempt is gone and its
    /// memory is free again.
    fn notify_waiter(&mut self, decision: AdmissionDecision) -> bool {
        let (ticket, outcome) = match decision {
            AdmissionDecision::Start(ticket) => (ticket, WaitOutcome::Admitted),
            AdmissionDecision::Expire(ticket) => (ticket, WaitOutcome::Expired),
        };
        let Some(waiter) = self.waiters.remove(&ticket) else { return false };
        if outcome == WaitOutcome::Expired {
            let _ = waiter.tx.send(outcome);
            return true;
        }
        if !self.ledger.reserve(waiter.key.clone(), waiter.tokens) {
            return true;
        }
        self.running += 1;
        if waiter.tx.send(outcome).is_err() {
            self.ledger.release(&waiter.key);
            self.running -= 1;
            return false;
        }
        true
    }
}
