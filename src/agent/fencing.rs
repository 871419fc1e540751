//! The gate that orders pass on their way to an endpoint.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::ids::Index;
use crate::plain_key;

plain_key! {
    /// What the gate says to an order.
    pub enum Passage {
        /// It may go to the endpoint.
        Pass,
        /// A newer order is known for the endpoint.
        Old,
        /// This agent's lease is not held: its view may be outdated.
        NoLease,
    }
}

/// Highest order numbers known for the endpoints of one agent.
///
/// ```
/// use bitternlead::agent::fencing::{FencingGate, Passage};
///
/// let mut gate = FencingGate::default();
/// gate.raise("m1", 40);
/// assert_eq!(gate.check("m1", 39, true), Passage::Old);
/// assert_eq!(gate.check("m1", 40, true), Passage::Pass);
/// assert_eq!(gate.check("m1", 41, false), Passage::NoLease);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FencingGate {
    floors: HashMap<SmolStr, Index>,
}

impl FencingGate {
    /// Learns from a confirmed leader that orders below a number are void.
    pub fn raise(&mut self, endpoint: &str, floor: Index) {
        let held = self.floors.entry(SmolStr::new(endpoint)).or_default();
        *held = (*held).max(floor);
    }

    /// Floor of an endpoint.
    pub fn floor(&self, endpoint: &str) -> Index {
        self.floors.get(endpoint).copied().unwrap_or(0)
    }

    /// Checks an order; one that passes raises the floor.
    pub fn check(&mut self, endpoint: &str, number: Index, holds_lease: bool) -> Passage {
        if !holds_lease {
            return Passage::NoLease;
        }
        if number < self.floor(endpoint) {
            return Passage::Old;
        }
        self.raise(endpoint, number);
        Passage::Pass
    }
}
