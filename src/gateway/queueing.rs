//! Waiting requests of services with several priorities, and their turns.
//!
//! [`PlacementQueue`] decides whose turn it is; this module wakes the task of that request and tells
//! the queue what came of it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::placement::demand::{DemandAhead, MAX_CLASSES, RemoteDemand};
use super::placement::queue::{Attempt, Capacity, PlacementQueue, Step, TicketId};
use super::placement::queue_order::QueuedRequest;
use super::placement::{OrderContext, RefusalCause};
use super::state::Gateway;
use crate::clock::boot_now;
use crate::event;
use crate::ids::Moment;
use crate::metrics::{PriorityLabels, QueueLabels, ReasonLabels};
use crate::wire::{Demand, SharedLoad};

/// Interval at which expired state is dropped while no request waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(1000);

/// What a waiting request is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Turn {
    /// It is tried now.
    Try,
    /// It cannot be served in time; its caller may return after this time, for this reason.
    Refuse(Duration, RefusalCause),
}

#[derive(Default)]
struct ServiceQueue {
    queue: PlacementQueue,
    turns: HashMap<TicketId, mpsc::UnboundedSender<Turn>>,
}

impl ServiceQueue {
    /// Tells requests whose turn it is and which are refused.
    fn advance(&mut self, now: Moment) {
        while let Some(step) = self.queue.next(now) {
            match step {
                Step::Try(ticket) => {
                    let sender = self.turns.get(&ticket);
                    if sender.is_none_or(|turns| turns.send(Turn::Try).is_err()) {
                        self.queue.leave(ticket);
                    }
                }
                Step::Refuse { ticket, retry_after, cause } => {
                    // A request whose task has ended needs no answer.
                    let _ = self
                        .turns
                        .remove(&ticket)
                        .map(|t| t.send(Turn::Refuse(retry_after, cause)));
                }
            }
        }
    }
}

/// Queues of all services that have one, and what waits at other entries.
#[derive(Default)]
pub struct Queues {
    services: Mutex<HashMap<SmolStr, ServiceQueue>>,
    demand: Mutex<RemoteDemand>,
    /// Wakes the task that begins rounds of attempts.
    changed: Notify,
}

impl Queues {
    /// Tells the queues that capacity may have changed: a send ended or gave its first token, or
    /// another entry reported.
    pub fn notify_capacity(&self) {
        let mut services = self.services.lock();
        if services.values().all(|s| s.queue.is_empty()) {
            return;
        }
        let now = boot_now();
        for service in services.values_mut() {
            service.queue.notify_capacity();
            service.advance(now);
        }
        self.changed.notify_one();
    }

    /// Applies the demand in a report of another entry.
    pub fn apply_report(&self, now: Moment, load: &SharedLoad) {
        self.demand.lock().apply_report(now, load);
    }

    /// Demand for the report to other entries; `None` if no request waits.
    pub fn report(&self, now: Moment) -> Option<Demand> {
        let services = self.services.lock();
        let demand_of = |(name, s): (&SmolStr, &ServiceQueue)| s.queue.demand(now, name);
        let mut classes: Vec<_> = services.iter().flat_map(demand_of).collect();
        classes.sort_by(|a, b| {
            (a.priority, a.length_class, &a.service).cmp(&(b.priority, b.length_class, &b.service))
        });
        classes.truncate(MAX_CLASSES);
        (!classes.is_empty()).then_some(Demand { classes })
    }

    /// Number of requests in the queue of each service.
    pub fn lengths(&self) -> Vec<(SmolStr, usize)> {
        let services = self.services.lock();
        services.iter().map(|(name, s)| (name.clone(), s.queue.len())).collect()
    }

    fn advance(&self, now: Moment) -> Option<Moment> {
        let mut services = self.services.lock();
        services.values_mut().for_each(|s| s.advance(now));
        services.values().filter_map(|s| s.queue.next_round_at()).min()
    }
}

/// Begins the rounds of attempts that no event begins.
pub async fn run(gateway: Arc<Gateway>, cx: CancellationToken) {
    while !cx.is_cancelled() {
        let now = boot_now();
        let next = gateway.queues.advance(now);
        gateway.queues.demand.lock().expire(now);
        let time = next.map_or(IDLE_INTERVAL, |at| at.saturating_sub(now));
        // A round never begins twice within a millisecond.
        sleep(Duration::from_millis(1)).await;
        let _ = timeout(time, gateway.queues.changed.notified()).await;
    }
}

/// Place of a request in the queue of its service, until it is dropped.
pub struct QueuePlace {
    gateway: Arc<Gateway>,
    service: SmolStr,
    request: SmolStr,
    ticket: TicketId,
    turns: mpsc::UnboundedReceiver<Turn>,
    priority: u32,
    length_class: u32,
    entered_at: Moment,
    attempts: u32,
}

impl QueuePlace {
    /// Lets a request enter the queue of a service; it may be told at once that it is its turn.
    pub fn enter(
        gateway: &Arc<Gateway>,
        service: &SmolStr,
        request: &str,
        req: QueuedRequest,
    ) -> Self {
        let (sender, turns) = mpsc::unbounded_channel();
        let (priority, length_class) = (req.priority, req.length_class());
        let now = boot_now();
        let mut services = gateway.queues.services.lock();
        let queue = services.entry(service.clone()).or_default();
        let ticket = queue.queue.enter(req);
        queue.turns.insert(ticket, sender);
        queue.advance(now);
        drop(services);
        gateway.queues.changed.notify_one();
        Self {
            gateway: Arc::clone(gateway),
            service: service.clone(),
            request: SmolStr::new(request),
            ticket,
            turns,
            priority,
            length_class,
            entered_at: now,
            attempts: 0,
        }
    }

    /// Waits for the next turn; `None` if the queue has forgotten the request.
    pub async fn next_turn(&mut self) -> Option<Turn> {
        let turn = self.turns.recv().await;
        match turn {
            Some(Turn::Refuse(_, cause)) => self.log_left("refused", cause.text()),
            Some(Turn::Try) => self.attempts += 1,
            None => {}
        }
        turn
    }

    /// Place of the request in the order, with what waits elsewhere.
    pub fn order(&self, now: Moment) -> OrderContext {
        let (priority, length_class) = (self.priority, self.length_class);
        let demand = match self.gateway.cfg.policy.shared_demand {
            true => {
                let demand = self.gateway.queues.demand.lock();
                demand.ahead_of(now, &self.service, priority, length_class)
            }
            false => DemandAhead::default(),
        };
        let services = self.gateway.queues.services.lock();
        let queue = services.get(&self.service).map(|s| &s.queue);
        let is_behind = queue.is_some_and(|q| q.is_behind(now, self.ticket));
        OrderContext { priority, demand, is_behind }
    }

    /// Records the load of the engines as the attempt found it.
    pub fn set_capacity(&self, engines: usize, backlog_ms: f64) {
        if let Some(service) = self.gateway.queues.services.lock().get_mut(&self.service) {
            service.queue.set_capacity(Capacity { engines, backlog_ms });
        }
    }

    /// Records what came of a turn, and gives the next request its turn.
    pub fn record(&self, result: Attempt, reason: &'static str) {
        let now = boot_now();
        let mut services = self.gateway.queues.services.lock();
        if let Some(service) = services.get_mut(&self.service) {
            service.queue.record(now, self.ticket, result);
            service.advance(now);
        }
        drop(services);
        match result {
            Attempt::Waits if self.attempts == 1 => {
                event!(self.gateway.log, RequestQueued, "request" => self.request.as_str(),
                    "service" => self.service.as_str(), "priority" => self.priority,
                    "length_class" => self.length_class);
                self.gateway.load_changed.notify_one();
            }
            Attempt::Waits => {}
            Attempt::Placed => self.log_left("placed", reason),
            Attempt::Refused => self.log_left("refused", reason),
        }
    }

    /// Logs and counts that the request has left the queue, if it had to wait.
    fn log_left(&self, outcome: &str, reason: &'static str) {
        let waited = boot_now().saturating_sub(self.entered_at);
        let metrics = &self.gateway.metrics;
        if outcome == "refused" {
            let labels = ReasonLabels { reason: reason.to_owned() };
            metrics.queue_refusals.get_or_create(&labels).inc();
        }
        let labels = PriorityLabels { priority: self.priority };
        metrics.queue_wait.get_or_create(&labels).observe(waited.as_secs_f64());
        if self.attempts > 1 || outcome == "refused" {
            event!(self.gateway.log, RequestLeftQueue, "request" => self.request.as_str(),
                "service" => self.service.as_str(), "priority" => self.priority,
                "outcome" => outcome, "reason" => reason, "attempts" => self.attempts,
                "ms" => waited.as_millis() as u64);
            self.gateway.load_changed.notify_one();
        }
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let mut services = self.gateway.queues.services.lock();
        if let Some(service) = services.get_mut(&self.service) {
            service.turns.remove(&self.ticket);
            service.queue.leave(self.ticket);
            service.advance(boot_now());
        }
    }
}

/// Updates the gauges of queue lengths.
pub fn update_gauges(gateway: &Gateway) {
    for (service, length) in gateway.queues.lengths() {
        let labels = QueueLabels { service: service.to_string() };
        gateway.metrics.queue_length.get_or_create(&labels).set(length as i64);
    }
}
