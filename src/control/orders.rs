//! Orders to endpoints; the log index of an order is its fencing number.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::ids::Index;
use crate::wire::{Order, OrderResult, Outcome, PlaceOrder};

/// Finished orders that are remembered.
const MOST_FINISHED: usize = 1000;

/// All open orders and the latest finished ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    by_number: BTreeMap<Index, Order>,
    floors: BTreeMap<SmolStr, Index>,
}

impl Orders {
    /// Places an order; an open one of the same kind for the endpoint is superseded.
    pub fn place(&mut self, index: Index, order: PlaceOrder) -> Outcome {
        let superseded = self
            .by_number
            .values_mut()
            .filter(|o| o.state == "open")
            .filter(|o| o.endpoint == order.endpoint && o.kind == order.kind);
        for old in superseded {
            old.state = "superseded".into();
        }
        self.floors.insert(SmolStr::new(&order.endpoint), index);
        let PlaceOrder { endpoint, kind, argument } = order;
        let placed = Order { number: index, endpoint, kind, argument, state: "open".into() };
        self.by_number.insert(index, placed);
        self.forget();
        Outcome { result: "ok".into(), number: index, ..Outcome::default() }
    }

    /// Records what became of an order.
    pub fn finish(&mut self, result: OrderResult) -> Outcome {
        let Some(order) = self.by_number.get_mut(&result.number) else {
            return Outcome { result: "rejected".into(), ..Outcome::default() };
        };
        if order.state == "open" {
            order.state =
                if result.done { "done".into() } else { format!("failed: {}", result.detail) };
        }
        Outcome { result: "ok".into(), number: result.number, ..Outcome::default() }
    }

    fn forget(&mut self) {
        let is_old = |o: &&Order| o.state != "open" && o.number < self.floor_of(&o.endpoint);
        let finished: Vec<Index> =
            self.by_number.values().filter(is_old).map(|o| o.number).collect();
        for number in finished.iter().take(finished.len().saturating_sub(MOST_FINISHED)) {
            self.by_number.remove(number);
        }
    }

    /// Open orders for an endpoint, oldest first.
    pub fn open_for(&self, endpoint: &str) -> Vec<Order> {
        let open = self.by_number.values().filter(|o| o.state == "open");
        open.filter(|o| o.endpoint == endpoint).cloned().collect()
    }

    /// Highest number ever placed for an endpoint; older orders are void.
    pub fn floor_of(&self, endpoint: &str) -> Index {
        self.floors.get(endpoint).copied().unwrap_or(0)
    }

    /// All orders held, oldest first.
    pub fn all(&self) -> Vec<Order> {
        self.by_number.values().cloned().collect()
    }

    /// Builds the orders from those of a snapshot.
    pub fn import(all: Vec<Order>) -> Self {
        let mut orders = Self::default();
        for order in all {
            orders.floors.insert(SmolStr::new(&order.endpoint), order.number);
            orders.by_number.insert(order.number, order);
        }
        orders
    }
}
