//! Carries orders of control through the fencing gate to endpoints.

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
use crate::engine::{EngineError, EngineOrder};
use crate::event;
use crate::faults;
use crate::node::Node;
use crate::wire::{Order, OrderResult};

/// Pause before an order is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Orders and their results on an agent.
pub struct OrderDesk {
    node: Arc<Node>,
    gate: Mutex<FencingGate>,
    seen: AtomicU64,
    results: Mutex<HashMap<u64, OrderResult>>,
    queue: mpsc::UnboundedSender<Order>,
}

impl OrderDesk {
    /// Builds a desk and the queue that its worker reads.
    pub fn new(node: Arc<Node>) -> (Self, mpsc::UnboundedReceiver<Order>) {
        let (queue, rx) = mpsc::unbounded_channel();
        let (gate, results) = Default::default();
        (Self { node, gate, seen: AtomicU64::new(0), results, queue }, rx)
    }

    /// Highest number that was taken.
    pub fn seen(&self) -> u64 {
        self.seen.load(Ordering::Relaxed)
    }

    /// Results that control has not confirmed yet.
    pub fn results(&self) -> Vec<OrderResult> {
        self.results.lock().values().cloned().collect()
    }

    /// Forgets results of a call that control answered, but those of orders still open.
    pub fn forget_results(&self, sent: &[u64], open: &[u64]) {
        let mut results = self.results.lock();
        for number in sent.iter().filter(|n| !open.contains(n)) {
            results.remove(number);
        }
    }

    /// Floor of an endpoint.
    pub fn floor(&self, endpoint: &str) -> u64 {
        self.gate.lock().floor(endpoint)
    }

    /// Takes floors and orders of a confirmed leader.
    pub fn take(&self, floors: &[(SmolStr, u64)], orders: Vec<Order>) {
        {
            let mut gate = self.gate.lock();
            for (endpoint, floor) in floors {
                gate.raise_floor(endpoint, *floor);
            }
        }
        for order in orders {
            if order.number > self.seen() {
                self.seen.store(order.number, Ordering::Relaxed);
                let _ = self.queue.send(order);
            }
        }
    }

    /// Carries out queued orders until cancelled.
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
            let (desk, cx) = (Arc::clone(&self), cx.clone());
            tokio::spawn(async move { desk.carry_out(order, &endpoint, cx).await });
        }
    }

    async fn carry_out(&self, order: Order, endpoint: &ManagedEndpoint, cx: CancellationToken) {
        while !cx.is_cancelled() {
            let passage = {
                let lease = self.node.holds_lease();
                self.gate.lock().check(&order.endpoint, order.number, lease)
            };
            match passage {
                FencingDecision::Accept => {}
                FencingDecision::Stale => {
                    event!(self.node.log, OrderRefused, "number" => order.number);
                    return self.note(order.number, false, "a newer order is known");
                }
                FencingDecision::LeaseNotHeld => {
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
            faults::reach("agent.order");
            let Order { number, kind, argument, .. } = order.clone();
            match endpoint.engine.order(EngineOrder { number, kind, argument }).await {
                Ok(()) => {
                    event!(self.node.log, OrderDone, "number" => number);
                    return self.note(number, true, "");
                }
                Err(EngineError::Refused { reason, .. }) => {
                    return self.note(number, false, &reason);
                }
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn note(&self, number: u64, done: bool, detail: &str) {
        let result = OrderResult { number, done, detail: detail.to_owned() };
        self.results.lock().insert(number, result);
    }
}
