//! Orders for endpoints, such as to load a model.
//!
//! The log index of an order is its number and serves as its fencing token: an agent rejects an
//! order with a number below the highest one that it knows for the endpoint.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use smol_str::SmolStr;

use crate::ids::Index;
use crate::wire::{Order, OrderResult, Outcome, PlaceOrder};

/// Maximum number of finished orders that are kept, beside the latest of each endpoint.
const MAX_FINISHED_ORDERS: usize = 1000;

/// Open orders and the latest finished ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    by_number: BTreeMap<Index, Order>,
    floors: BTreeMap<SmolStr, Index>,
    open: HashMap<SmolStr, BTreeSet<Index>>,
}

impl Orders {
    /// Places an order; `index` is the log index of the command and becomes its number.
    ///
    /// An open order of the same kind for the same endpoint is superseded.
    pub fn place(&mut self, index: Index, order: PlaceOrder) -> Outcome {
        let name = SmolStr::new(&order.endpoint);
        self.supersede(&name, &order.kind);
        self.open.entry(name).or_default().insert(index);
        self.floors.insert(SmolStr::new(&order.endpoint), index);
        let PlaceOrder { endpoint, kind, argument } = order;
        let placed = Order { number: index, endpoint, kind, argument, state: "open".into() };
        self.by_number.insert(index, placed);
        self.prune_finished();
        Outcome { result: "ok".into(), number: index, ..Outcome::default() }
    }

    fn supersede(&mut self, endpoint: &SmolStr, kind: &str) {
        let Some(open) = self.open.get_mut(endpoint) else { return };
        let by_number = &mut self.by_number;
        open.retain(|number| match by_number.get_mut(number) {
            Some(old) if old.kind == kind => {
                old.state = "superseded".into();
                false
            }
            _ => true,
        });
    }

    /// Records the result of an order.
    ///
    /// Only an open order changes. The result is `rejected` if there is no such order.
    pub fn finish(&mut self, result: OrderResult) -> Outcome {
        let Some(order) = self.by_number.get_mut(&result.number) else {
            return Outcome { result: "rejected".into(), ..Outcome::default() };
        };
        if order.state == "open" {
            order.state =
                if result.done { "done".into() } else { format!("failed: {}", result.detail) };
            if let Some(open) = self.open.get_mut(order.endpoint.as_str()) {
                open.remove(&result.number);
            }
        }
        Outcome { result: "ok".into(), number: result.number, ..Outcome::default() }
    }

    /// Removes the oldest finished orders, but never the latest order of an endpoint: it holds the
    /// fencing floor that is rebuilt from a snapshot.
    fn prune_finished(&mut self) {
        let is_prunable = |o: &&Order| o.state != "open" && o.number < self.floor_of(&o.endpoint);
        let finished: Vec<Index> =
            self.by_number.values().filter(is_prunable).map(|o| o.number).collect();
        for number in finished.iter().take(finished.len().saturating_sub(MAX_FINISHED_ORDERS)) {
            self.by_number.remove(number);
        }
    }

    /// Open orders of an endpoint in the order of their numbers.
    pub fn open_for(&self, endpoint: &str) -> Vec<Order> {
        let numbers = self.open.get(endpoint).into_iter().flatten();
        numbers.filter_map(|n| self.by_number.get(n).cloned()).collect()
    }

    /// Open orders of a kind, for all endpoints.
    pub fn open_of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a Order> {
        let numbers = self.open.values().flatten();
        numbers.filter_map(|n| self.by_number.get(n)).filter(move |o| o.kind == kind)
    }

    /// Highest number of all orders; 0 if there are none.
    pub fn last_number(&self) -> Index {
        self.by_number.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// Fencing floor of an endpoint: the highest number of its orders, or 0. Orders with a lower
    /// number must not be executed there.
    pub fn floor_of(&self, endpoint: &str) -> Index {
        self.floors.get(endpoint).copied().unwrap_or(0)
    }

    /// All orders in the order of their numbers.
    pub fn all(&self) -> Vec<Order> {
        self.by_number.values().cloned().collect()
    }

    /// Builds the orders from the result of [`Orders::all`].
    pub fn import(all: Vec<Order>) -> Self {
        let mut orders = Self::default();
        for order in all {
            let name = SmolStr::new(&order.endpoint);
            if order.state == "open" {
                orders.open.entry(name.clone()).or_default().insert(order.number);
            }
            orders.floors.insert(name, order.number);
            orders.by_number.insert(order.number, order);
        }
        orders
    }
}
