//! Executes control's orders at endpoints, behind the fencing gate.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::endpoint::ManagedEndpoint;
use super::fencing::{FencingDecision, FencingGate};
use crate::engine::{CallError, EngineOrder};
use crate::event;
use crate::faults;
use crate::node::Node;
use crate::wire::{Order, OrderResult};

/// Delay before an order is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Executes the orders that an agent receives and keeps their results until control has them.
pub struct OrderExecutor {
    node: Arc<Node>,
    gate: Mutex<FencingGate>,
    highest_seen: AtomicU64,
    results: Mutex<HashMap<u64, OrderResult>>,
    queue: mpsc::UnboundedSender<Order>,
}

impl OrderExecutor {
    /// Builds an executor and the receiver of its queue, to be passed to [`Self::run`].
    pub fn new(node: Arc<Node>) -> (Self, mpsc::UnboundedReceiver<Order>) {
        let (queue, rx) = mpsc::unbounded_channel();
        let (gate, results) = Default::default();
        (Self { node, gate, highest_seen: AtomicU64::new(0), results, queue }, rx)
    }

    /// Highest order number that was received.
    pub fn highest_seen(&self) -> u64 {
        self.highest_seen.load(Ordering::Relaxed)
    }

    /// Results that control has not acknowledged.
    pub fn results(&self) -> Vec<OrderResult> {
        self.results.lock().values().cloned().collect()
    }

    /// Drops the results in `sent`, which control has answered, except those of orders that are
    /// still `open` at control.
    pub fn drop_acknowledged_results(&self, sent: &[u64], open: &[u64]) {
        let mut results = self.results.lock();
        for number in sent.iter().filter(|n| !open.contains(n)) {
            results.remove(number);
        }
    }

    /// Fencing floor of an endpoint; 0 if none is known.
    pub fn floor(&self, endpoint: &str) -> u64 {
        self.gate.lock().floor(endpoint)
    }

    /// Raises floors and queues new orders; both come from a confirmed leader of control. Orders
    /// that were received before are skipped.
    pub fn receive(&self, floors: &[(SmolStr, u64)], orders: Vec<Order>) {
        {
            let mut gate = self.gate.lock();
            for (endpoint, floor) in floors {
                gate.raise_floor(endpoint, *floor);
            }
        }
        for order in orders {
            if order.number > self.highest_seen() {
                self.highest_seen.store(order.number, Ordering::Relaxed);
                let _ = self.queue.send(order);
            }
        }
    }

    /// Executes queued orders, each in a task of its own, until cancelled. Orders for endpoints
    /// that this agent does not have are dropped.
    pub async fn run(
        self: Arc<Self>,
        mut rx: mpsc::UnboundedReceiver<Order>,
        endpoints: HashMap<SmolStr, Arc<ManagedEndpoint>>,
        cx: CancellationToken,
    ) {
        loop {
            let order = tokio::select! {
                () = cx.cancelled() => return,
                order = rx.recv() => order,
            };
            let Some(order) = order else { return };
            let Some(endpoint) = endpoints.get(order.endpoint.as_str()).cloned() else { continue };
            let (executor, cx) = (Arc::clone(&self), cx.clone());
            tokio::spawn(async move { executor.execute(order, &endpoint, cx).await });
        }
    }

    /// Sends an order to its endpoint until the endpoint accepts or refuses it, or it is stale.
    async fn execute(&self, order: Order, endpoint: &ManagedEndpoint, cx: CancellationToken) {
        while !cx.is_cancelled() {
            let decision = {
                let holds_lease = self.node.holds_lease();
                self.gate.lock().check(&order.endpoint, order.number, holds_lease)
            };
            match decision {
                FencingDecision::Accept => {}
                FencingDecision::Stale => {
                    event!(self.node.log, OrderRefused, "number" => order.number);
                    return self.record_result(order.number, false, "a newer order is known");
                }
                FencingDecision::LeaseNotHeld => {
                    sleep(RETRY_DELAY).await;
                    continue;
                }
            }
            faults::inject("agent.order");
            let Order { number, kind, argument, .. } = order.clone();
            match endpoint.engine.send_order(EngineOrder { number, kind, argument }).await {
                Ok(()) => {
                    event!(self.node.log, OrderDone, "number" => number);
                    return self.record_result(number, true, "");
                }
                Err(CallError::Refused { reason, .. }) => {
                    return self.record_result(number, false, &reason);
                }
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    fn record_result(&self, number: u64, done: bool, detail: &str) {
        let result = OrderResult { number, done, detail: detail.to_owned() };
        self.results.lock().insert(number, result);
    }
}
