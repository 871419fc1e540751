//! Attempts that wait for an engine's memory: by priority, then weighted fair by workspace.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::ids::{Moment, Tokens, WorkspaceName};
use crate::plain;

/// Settings of an admission queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Attempts that may wait.
    pub max_waiting: usize,
    /// Attempts that may run at once.
    pub max_running: usize,
    /// Time after which the head of the queue is no longer overtaken.
    pub overtake_limit: Duration,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self { max_waiting: 512, max_running: 256, overtake_limit: Duration::from_secs(10) }
    }
}

plain! {
    /// An attempt that asks for memory.
    pub struct Ask {
        /// Workspace.
        pub workspace: WorkspaceName,
        /// Weight of the workspace.
        pub weight: u64,
        /// Priority level; lower is sooner.
        pub priority: u32,
        /// Memory that it needs.
        pub tokens: Tokens,
        /// Moment after which it is given up on.
        pub deadline: Moment,
    }
}

/// Number of a waiting attempt.
pub type Ticket = u64;

/// Answer to an attempt that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// It waits under this number.
    Waits(Ticket),
    /// The queue is full.
    Full,
}

/// What happens to waiting attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The attempt gets its memory.
    Start(Ticket),
    /// Its deadline has passed.
    GiveUp(Ticket),
}

#[derive(Clone, Debug)]
struct Waiting {
    ask: Ask,
    since: Moment,
    order: (u32, u64, Ticket),
}

/// Queue of one engine.
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    next: Ticket,
    virtual_time: u64,
    finish: HashMap<WorkspaceName, u64>,
    queue: BTreeMap<(u32, u64, Ticket), Waiting>,
    tickets: HashMap<Ticket, (u32, u64, Ticket)>,
}

impl Admission {
    /// Builds an empty queue.
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            next: 1,
            virtual_time: 0,
            finish: HashMap::new(),
            queue: BTreeMap::new(),
            tickets: HashMap::new(),
        }
    }

    /// Attempts that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Tokens that wait.
    pub fn waiting_tokens(&self) -> Tokens {
        self.queue.values().map(|w| w.ask.tokens).sum()
    }

    /// Adds an attempt; its place follows its priority and its workspace's fair share.
    pub fn ask(&mut self, now: Moment, ask: Ask) -> Admit {
        if self.queue.len() >= self.cfg.max_waiting {
            return Admit::Full;
        }
        let ticket = self.next;
        self.next += 1;
        let held = self.finish.get(&ask.workspace).copied().unwrap_or(0);
        let start = held.max(self.virtual_time);
        let finish = start + ask.tokens.max(1) * 1000 / ask.weight.max(1);
        self.finish.insert(ask.workspace.clone(), finish);
        let order = (ask.priority, finish, ticket);
        self.queue.insert(order, Waiting { ask, since: now, order });
        self.tickets.insert(ticket, order);
        Admit::Waits(ticket)
    }

    /// Removes an attempt that gave up by itself.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        let Some(order) = self.tickets.remove(&ticket) else { return false };
        self.queue.remove(&order).is_some()
    }

    /// Starts what fits into the free memory and gives up on what is too late.
    ///
    /// Smaller attempts may overtake one that does not fit, until it has waited too long.
    pub fn step(&mut self, now: Moment, mut free: Tokens, running: usize) -> Vec<Step> {
        let mut steps = Vec::new();
        let late: Vec<Ticket> =
            self.queue.values().filter(|w| now >= w.ask.deadline).map(|w| w.order.2).collect();
        for ticket in late {
            self.leave(ticket);
            steps.push(Step::GiveUp(ticket));
        }
        let mut room = self.cfg.max_running.saturating_sub(running);
        let mut started = Vec::new();
        for waiting in self.queue.values() {
            if room == 0 {
                break;
            }
            if waiting.ask.tokens <= free {
                free -= waiting.ask.tokens;
                room -= 1;
                started.push(waiting.order);
            } else if now.saturating_sub(waiting.since) >= self.cfg.overtake_limit {
                break;
            }
        }
        for order in started {
            self.virtual_time = self.virtual_time.max(order.1);
            self.leave(order.2);
            steps.push(Step::Start(order.2));
        }
        if self.queue.is_empty() {
            self.finish.clear();
            self.virtual_time = 0;
        }
        steps
    }
}
