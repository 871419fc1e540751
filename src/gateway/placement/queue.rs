//! Queue of the requests of one service that wait for an engine at this entry.
//!
//! Requests, events and the results of attempts go in; the request to be tried next and those to be
//! refused come out. Requests are tried one at a time, in the order of [`super::queue_order`]. One that
//! cannot be placed holds back those behind it that need as much work or more until the capacity
//! changes; those that need less may use what it has no use for.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::decision::RefusalCause;
use super::demand::MAX_CLASSES;
use super::queue_order::{LENGTH_CLASSES, QueuedRequest};
use super::service_shares::ServiceShares;
use crate::clock::duration_from_ms;
use crate::ids::Moment;
use crate::wire;

/// Time after which waiting requests are tried again although no event came, because predictions
/// change with time.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Minimum time between two rounds of attempts, which bounds the cost of many events.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(8);

/// Maximum number of requests that wait; it bounds the memory of their bodies.
const MAX_WAITING: usize = 400;

/// Time that a request must have left after its first token, so that its caller can return after a
/// refusal, in milliseconds.
const RETURN_RESERVE_MS: f64 = 300.0;

/// Maximum number of engines that share one prompt.
const MAX_WIDTH: f64 = 17.0;

new_key_type! {
    /// Place of a request in the queue.
    pub struct TicketId;
}

/// What is to be done with a waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Try to place it and record the result with [`PlacementQueue::record`].
    Try(TicketId),
    /// Refuse it; it has left the queue.
    Refuse {
        /// The request.
        ticket: TicketId,
        /// Time until capacity is expected.
        retry_after: Duration,
        /// Reason for the refusal.
        cause: RefusalCause,
    },
}

/// Result of an attempt to place a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// It was sent.
    Placed,
    /// It has to wait for capacity.
    Waits,
    /// It was refused.
    Refused,
}

/// Load of the engines, as an attempt found it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Number of engines that may be sent to.
    pub engines: usize,
    /// Mean prefill backlog per engine in milliseconds.
    pub backlog_ms: f64,
}

struct Waiting {
    req: QueuedRequest,
    /// Position among all arrivals at this queue.
    number: u64,
    /// Round of the last attempt.
    tried_in: Option<u64>,
}

/// The queue of one service at one entry.
#[derive(Default)]
pub struct PlacementQueue {
    waiting: SlotMap<TicketId, Waiting>,
    arrivals: u64,
    round: u64,
    round_began_at: Moment,
    /// Whether an event has to begin a new round.
    capacity_changed: bool,
    in_attempt: Option<TicketId>,
    capacity: Capacity,
    shares: ServiceShares,
}

impl PlacementQueue {
    /// Adds a request that has just arrived.
    pub fn enter(&mut self, req: QueuedRequest) -> TicketId {
        self.arrivals += 1;
        self.waiting.insert(Waiting { req, number: self.arrivals, tried_in: None })
    }

    /// Removes a request whose caller has left; a request that is not in the queue is ignored.
    pub fn leave(&mut self, ticket: TicketId) {
        self.waiting.remove(ticket);
        if self.in_attempt == Some(ticket) {
            self.in_attempt = None;
        }
    }

    /// Records that capacity may have changed: a send ended or gave its first token, or a report of
    /// another entry came.
    pub fn notify_capacity(&mut self) {
        self.capacity_changed = !self.waiting.is_empty();
    }

    /// Records the load of the engines as an attempt found it.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    /// Records the result of the attempt with this request.
    pub fn record(&mut self, now: Moment, ticket: TicketId, result: Attempt) {
        if self.in_attempt == Some(ticket) {
            self.in_attempt = None;
        }
        if result == Attempt::Waits {
            return;
        }
        if let Some(waiting) = self.waiting.remove(ticket) {
            self.shares.record(now, &waiting.req, result == Attempt::Placed);
        }
    }

    /// What is to be done next; `None` while a request is being tried, or until
    /// [`Self::next_round_at`].
    pub fn next(&mut self, now: Moment) -> Option<Step> {
        if self.in_attempt.is_some() || self.waiting.is_empty() {
            return None;
        }
        if self.next_round_at().is_some_and(|at| at <= now) {
            self.round += 1;
            self.round_began_at = now;
            self.capacity_changed = false;
        }
        let order = self.order(now);
        if let Some(refusal) = self.find_refusal(now, &order) {
            return Some(refusal);
        }
        let mut held_back_from = LENGTH_CLASSES;
        for ticket in order {
            let waiting = &mut self.waiting[ticket];
            let class = waiting.req.length_class();
            if waiting.tried_in == Some(self.round) {
                held_back_from = held_back_from.min(class);
            } else if class < held_back_from {
                waiting.tried_in = Some(self.round);
                self.in_attempt = Some(ticket);
                return Some(Step::Try(ticket));
            }
        }
        None
    }

    /// When the next round of attempts begins; `None` if no request waits.
    pub fn next_round_at(&self) -> Option<Moment> {
        let interval = if self.capacity_changed { MIN_ROUND_INTERVAL } else { RETRY_INTERVAL };
        (!self.waiting.is_empty()).then(|| self.round_began_at + interval)
    }

    /// Whether a request is of a workspace, a length or a prompt part that was served less often than
    /// others of its priority.
    pub fn is_behind(&self, now: Moment, ticket: TicketId) -> bool {
        self.waiting.get(ticket).is_some_and(|w| self.shares.is_behind(now, &w.req))
    }

    /// Number of requests in the queue.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Waiting requests in the order in which they are tried.
    pub fn order(&self, now: Moment) -> Vec<TicketId> {
        let mut best_of_priority: Vec<(u32, f64)> = Vec::new();
        let mut rated: Vec<(f64, bool, u64, u32, TicketId)> = Vec::new();
        for (ticket, waiting) in &self.waiting {
            let (req, rate) = (&waiting.req, waiting.req.loss_rate(now));
            match best_of_priority.iter_mut().find(|(p, _)| *p == req.priority) {
                Some((_, best)) => *best = best.max(rate),
                None => best_of_priority.push((req.priority, rate)),
            }
            let behind = self.shares.is_behind(now, req);
            rated.push((rate, !behind, waiting.number, req.priority, ticket));
        }
        for (rate, is_even, _, priority, _) in rated.iter_mut().filter(|r| !r.1) {
            let best = best_of_priority.iter().find(|(p, _)| p == priority);
            *rate = best.map_or(*rate, |(_, best)| *best);
            *is_even = false;
        }
        // Requests with the same loss are tried in the order of their arrival.
        rated.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        rated.into_iter().map(|(.., ticket)| ticket).collect()
    }

    /// The first request that cannot be served in time any more, given the work before it.
    fn find_refusal(&mut self, now: Moment, order: &[TicketId]) -> Option<Step> {
        let engines = self.capacity.engines.max(1) as f64;
        let mut ahead_ms = 0.0;
        let mut found = None;
        for (position, ticket) in order.iter().enumerate() {
            let req = &self.waiting[*ticket].req;
            let left_ms = req.deadline.saturating_sub(now).as_secs_f64() * 1000.0;
            let width = engines.min(MAX_WIDTH);
            let start_ms = ahead_ms / engines;
            let first_token_ms = start_ms + req.prefill_ms / width;
            let is_known = self.capacity.engines > 0;
            if left_ms <= 0.0 || is_known && first_token_ms + RETURN_RESERVE_MS > left_ms {
                found = Some((*ticket, start_ms, RefusalCause::TooLate));
                break;
            }
            if position >= MAX_WAITING {
                found = Some((*ticket, start_ms, RefusalCause::QueueFull));
                break;
            }
            ahead_ms += req.prefill_ms;
        }
        let (ticket, start_ms, cause) = found?;
        let retry_after = duration_from_ms(start_ms + self.capacity.backlog_ms);
        self.record(now, ticket, Attempt::Refused);
        Some(Step::Refuse { ticket, retry_after, cause })
    }

    /// Summary of the requests that wait and can still be in time, for other entries.
    pub fn demand(&self, now: Moment, service: &str) -> Vec<wire::DemandClass> {
        let mut classes: Vec<wire::DemandClass> = Vec::new();
        let tried = self.waiting.values().filter(|w| w.tried_in.is_some());
        for req in tried.map(|w| &w.req).filter(|req| req.can_be_in_time(now)) {
            let (priority, length_class) = (req.priority, req.length_class());
            let waited_ms = now.saturating_sub(req.arrived_at).as_millis() as u32;
            let left_ms = req.objective_at.saturating_sub(now).as_millis() as u32;
            let known = classes
                .iter_mut()
                .find(|c| (c.priority, c.length_class) == (priority, length_class));
            match known {
                Some(class) => {
                    class.requests += 1;
                    class.prefill_ms = class.prefill_ms.saturating_add(req.prefill_ms as u32);
                    class.oldest_ms = class.oldest_ms.max(waited_ms);
                    class.next_deadline_ms = class.next_deadline_ms.min(left_ms);
                }
                None => classes.push(wire::DemandClass {
                    service: service.to_owned(),
                    priority,
                    length_class,
                    requests: 1,
                    prefill_ms: req.prefill_ms as u32,
                    oldest_ms: waited_ms,
                    next_deadline_ms: left_ms,
                }),
            }
        }
        classes.sort_by_key(|c| (c.priority, c.length_class));
        classes.truncate(MAX_CLASSES);
        classes
    }
}
