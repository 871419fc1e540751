//! Admission queue of one engine: orders waiting attempts by priority, then by weighted fair
//! queuing among workspaces.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::derive_value;
use crate::ids::{Moment, Tokens, WorkspaceName};

/// Limits of an admission queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Maximum number of waiting attempts; further ones are refused.
    pub max_waiting: usize,
    /// Maximum number of attempts that run at the engine at once.
    pub max_running: usize,
    /// Waiting time after which an attempt that does not fit blocks the ones behind it, so that
    /// smaller attempts cannot starve it.
    pub overtake_limit: Duration,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self { max_waiting: 512, max_running: 256, overtake_limit: Duration::from_secs(10) }
    }
}

derive_value! {
    /// A request of one attempt for KV memory.
    pub struct AdmissionRequest {
        /// Workspace that the attempt is accounted to.
        pub workspace: WorkspaceName,
        /// Weight of the workspace; its share of the engine grows in proportion.
        pub weight: u64,
        /// Priority level; lower levels are served first.
        pub priority: u32,
        /// KV memory that the attempt needs, in tokens.
        pub tokens: Tokens,
        /// Time from which the attempt is no longer started.
        pub deadline: Moment,
    }
}

/// Identifies a waiting attempt; numbers are never reused within a queue.
pub type Ticket = u64;

/// Result of [`AdmissionQueue::enqueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnqueueResult {
    /// The attempt waits under this ticket.
    Queued(Ticket),
    /// The queue holds [`AdmissionConfig::max_waiting`] attempts already.
    QueueFull,
}

/// A decision of [`AdmissionQueue::schedule`] about a waiting attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The attempt fits and starts.
    Start(Ticket),
    /// The attempt's deadline has passed.
    Expire(Ticket),
}

#[derive(Clone, Debug)]
struct QueuedAttempt {
    req: AdmissionRequest,
    queued_at: Moment,
    sort_key: (u32, u64, Ticket),
}

/// Waiting attempts of one engine.
///
/// Each workspace has a virtual finish time, which grows by the requested tokens over the
/// workspace's weight. Attempts are sorted by priority, then by virtual finish time, then by
/// arrival.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    cfg: AdmissionConfig,
    next_ticket: Ticket,
    virtual_time: u64,
    finish_times: HashMap<WorkspaceName, u64>,
    queue: BTreeMap<(u32, u64, Ticket), QueuedAttempt>,
    sort_keys: HashMap<Ticket, (u32, u64, Ticket)>,
}

impl AdmissionQueue {
    /// Builds an empty queue.
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            next_ticket: 1,
            virtual_time: 0,
            finish_times: HashMap::new(),
            queue: BTreeMap::new(),
            sort_keys: HashMap::new(),
        }
    }

    /// Number of waiting attempts.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Tokens that all waiting attempts request together.
    pub fn waiting_tokens(&self) -> Tokens {
        self.queue.values().map(|w| w.req.tokens).sum()
    }

    /// Queues an attempt according to its priority and its workspace's fair share.
    pub fn enqueue(&mut self, now: Moment, req: AdmissionRequest) -> EnqueueResult {
        if self.queue.len() >= self.cfg.max_waiting {
            return EnqueueResult::QueueFull;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let last_finish = self.finish_times.get(&req.workspace).copied().unwrap_or(0);
        let start = last_finish.max(self.virtual_time);
        let finish = start + req.tokens.max(1) * 1000 / req.weight.max(1);
        self.finish_times.insert(req.workspace.clone(), finish);
        let sort_key = (req.priority, finish, ticket);
        self.queue.insert(sort_key, QueuedAttempt { req, queued_at: now, sort_key });
        self.sort_keys.insert(ticket, sort_key);
        EnqueueResult::Queued(ticket)
    }

    /// Removes a waiting attempt; returns false when it no longer waits.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(sort_key) = self.sort_keys.remove(&ticket) else { return false };
        self.queue.remove(&sort_key).is_some()
    }

    /// Removes expired attempts and those that fit into `free` tokens, and returns both.
    ///
    /// Smaller attempts may overtake one that does not fit until that one has waited for
    /// [`AdmissionConfig::overtake_limit`]. `running` counts against
    /// [`AdmissionConfig::max_running`].
    pub fn schedule(
        &mut self,
        now: Moment,
        mut free: Tokens,
        running: usize,
    ) -> Vec<AdmissionDecision> {
        let mut decisions = Vec::new();
        let expired: Vec<Ticket> =
            self.queue.values().filter(|w| now >= w.req.deadline).map(|w| w.sort_key.2).collect();
        for ticket in expired {
            self.remove(ticket);
            decisions.push(AdmissionDecision::Expire(ticket));
        }
        let mut free_slots = self.cfg.max_running.saturating_sub(running);
        let mut started = Vec::new();
        for waiting in self.queue.values() {
            if free_slots == 0 {
                break;
            }
            if waiting.req.tokens <= free {
                free -= waiting.req.tokens;
                free_slots -= 1;
                started.push(waiting.sort_key);
            } else if now.saturating_sub(waiting.queued_at) >= self.cfg.overtake_limit {
                break;
            }
        }
        for sort_key in started {
            self.virtual_time = self.virtual_time.max(sort_key.1);
            self.remove(sort_key.2);
            decisions.push(AdmissionDecision::Start(sort_key.2));
        }
        if self.queue.is_empty() {
            self.finish_times.clear();
            self.virtual_time = 0;
        }
        decisions
    }
}
