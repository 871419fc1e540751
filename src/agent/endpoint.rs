//! One endpoint behind an agent: its memory, its queue and its load.

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
use crate::prompt_class::SHORT_PROMPT;
use crate::wire::Load;

/// What a waiting attempt is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Its memory is reserved.
    Start,
    /// Its time is over.
    GiveUp,
}

struct Waiter {
    key: AttemptKey,
    tokens: Tokens,
    tx: oneshot::Sender<Turn>,
}

/// State of a endpoint, under its lock.
struct EndpointState {
    ledger: Ledger,
    admission: AdmissionQueue,
    waiters: HashMap<Ticket, Waiter>,
    running: usize,
    prefill: HashMap<AttemptKey, Tokens>,
    meter: PrefillMeter,
    giants: u64,
    report: EngineLoad,
    fit: bool,
    suspects: HashSet<String>,
}

/// One endpoint.
pub struct ManagedEndpoint {
    /// Name.
    pub name: EndpointName,
    /// The endpoint as a model engine.
    pub engine: Arc<dyn Engine>,
    /// The endpoint as a plain service.
    pub service: Arc<dyn PlainService>,
    state: Mutex<EndpointState>,
}

/// Answer to an attempt that asks for its turn.
pub enum Asked {
    /// It waits; the receiver tells when it may start.
    Waits(Ticket, oneshot::Receiver<Turn>),
    /// It never fits.
    TooLarge(Tokens),
    /// The queue is full.
    Full,
}

impl ManagedEndpoint {
    /// Builds a endpoint for an endpoint at an address.
    pub fn new(name: EndpointName, addr: SocketAddr, cfg: AdmissionConfig) -> Self {
        Self::with_clients(
            name,
            Arc::new(HttpEngine::new(addr)),
            Arc::new(HttpService::new(addr)),
            cfg,
        )
    }

    /// Builds a endpoint for clients of an endpoint.
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
            prefill: HashMap::new(),
            meter: PrefillMeter::default(),
            giants: 0,
            report: EngineLoad::default(),
            fit: false,
            suspects: HashSet::new(),
        };
        Self { name, engine, service, state: Mutex::new(state) }
    }

    /// Asks for memory; a plain service's call asks for none.
    pub fn ask(&self, now: Moment, key: &AttemptKey, ask: AdmissionRequest) -> Asked {
        let mut state = self.state.lock();
        let capacity = state.ledger.capacity();
        if ask.tokens > capacity {
            return Asked::TooLarge(capacity);
        }
        let tokens = ask.tokens;
        match state.admission.enqueue(now, ask) {
            EnqueueResult::QueueFull => Asked::Full,
            EnqueueResult::Queued(ticket) => {
                let (tx, rx) = oneshot::channel();
                state.waiters.insert(ticket, Waiter { key: key.clone(), tokens, tx });
                state.step(now);
                Asked::Waits(ticket, rx)
            }
        }
    }

    /// Takes a waiting attempt out; false when it got its turn meanwhile.
    pub fn leave(&self, ticket: Ticket) -> bool {
        let mut state = self.state.lock();
        state.waiters.remove(&ticket);
        state.admission.remove(ticket)
    }

    /// Gives up on late attempts and starts what fits.
    pub fn tick(&self, now: Moment) {
        self.state.lock().step(now);
    }

    /// Notes that an attempt's prompt waits for prefill.
    pub fn begin_prefill(&self, now: Moment, key: &AttemptKey, tokens: Tokens) {
        let mut state = self.state.lock();
        state.prefill.insert(key.clone(), tokens);
        state.meter.begin(now);
    }

    /// Counts the segments of groups that are held here.
    pub fn count_giants(&self, change: i64) {
        let mut state = self.state.lock();
        state.giants = state.giants.saturating_add_signed(change);
    }

    /// Notes an attempt's first token.
    pub fn end_prefill(&self, now: Moment, key: &AttemptKey) {
        self.state.lock().end_prefill(now, key, true);
    }

    /// Ends an attempt whose memory the endpoint has confirmed free.
    pub fn finish(&self, now: Moment, key: &AttemptKey) {
        let mut state = self.state.lock();
        state.end_prefill(now, key, false);
        if state.ledger.confirm_release(key).is_some() {
            state.running = state.running.saturating_sub(1);
        }
        state.step(now);
    }

    /// Ends an attempt whose memory the endpoint may still hold.
    pub fn begin_release(&self, now: Moment, key: &AttemptKey) {
        let mut state = self.state.lock();
        state.end_prefill(now, key, false);
        state.ledger.begin_release(now, key);
    }

    /// Attempts whose release is not confirmed, with the time that it began.
    pub fn releasing(&self) -> Vec<(AttemptKey, Moment)> {
        self.state.lock().ledger.releasing()
    }

    /// Takes a load report and returns the requests that are orphans for the second time.
    pub fn take_report(&self, now: Moment, report: EngineLoad) -> Vec<String> {
        let mut state = self.state.lock();
        let first = !state.fit;
        let orphans: HashSet<String> = state.ledger.orphans(&report.running).into_iter().collect();
        let sure: Vec<String> =
            orphans.iter().filter(|o| first || state.suspects.contains(*o)).cloned().collect();
        state.suspects = orphans;
        state.ledger.set_capacity(report.kv_capacity);
        state.report = report;
        state.fit = true;
        state.step(now);
        sure
    }

    /// Notes whether the endpoint answers.
    pub fn set_fit(&self, fit: bool) -> bool {
        std::mem::replace(&mut self.state.lock().fit, fit)
    }

    /// Lets a plain service take calls.
    pub fn open_service(&self) {
        self.state.lock().fit = true;
    }

    /// Whether the endpoint answers.
    pub fn is_fit(&self) -> bool {
        self.state.lock().fit
    }

    /// Models that the endpoint has loaded.
    pub fn models(&self) -> Vec<String> {
        self.state.lock().report.models.clone()
    }

    /// Load as this agent knows it.
    pub fn load(&self) -> Load {
        let state = self.state.lock();
        Load {
            endpoint: self.name.to_string(),
            running: state.running as u64,
            queued: state.admission.waiting() as u64,
            queued_prefill_tokens: state.prefill.values().sum(),
            kv_reserved: state.ledger.reserved(),
            kv_capacity: state.ledger.capacity(),
            prefill_rate: state.meter.rate().unwrap_or(state.report.prefill_rate),
            giants: state.giants,
            queued_short_tokens: state.prefill.values().filter(|t| **t <= SHORT_PROMPT).sum(),
        }
    }

    /// Tokens that the ledger holds.
    pub fn reserved(&self) -> Tokens {
        self.state.lock().ledger.reserved()
    }

    /// Attempts that hold or wait for memory.
    pub fn busy(&self) -> usize {
        let state = self.state.lock();
        state.ledger.len() + state.admission.waiting()
    }
}

impl EndpointState {
    /// Ends an attempt's prefill once; one that broke off counts no tokens.
    fn end_prefill(&mut self, now: Moment, key: &AttemptKey, whole: bool) {
        if let Some(tokens) = self.prefill.remove(key) {
            self.meter.end(now, if whole { tokens } else { 0 });
        }
    }

    fn step(&mut self, now: Moment) {
        loop {
            let free = self.ledger.capacity().saturating_sub(self.ledger.reserved());
            let steps = self.admission.schedule(now, free, self.running);
            let mut again = false;
            for step in steps {
                again |= !self.tell(step);
            }
            if !again {
                return;
            }
        }
    }

    /// Tells a waiting attempt; false when it is gone and its memory is free again.
    fn tell(&mut self, step: AdmissionDecision) -> bool {
        let (ticket, turn) = match step {
            AdmissionDecision::Start(ticket) => (ticket, Turn::Start),
            AdmissionDecision::Expire(ticket) => (ticket, Turn::GiveUp),
        };
        let Some(waiter) = self.waiters.remove(&ticket) else { return false };
        if turn == Turn::GiveUp {
            let _ = waiter.tx.send(turn);
            return true;
        }
        if !self.ledger.reserve(waiter.key.clone(), waiter.tokens) {
            return true;
        }
        self.running += 1;
        if waiter.tx.send(turn).is_err() {
            self.ledger.confirm_release(&waiter.key);
            self.running -= 1;
            return false;
        }
        true
    }
}
