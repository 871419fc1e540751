//! Fencing of control's orders before they are sent to an endpoint.
//!
//! The number of an order is its fencing token: an order below the highest number known for its
//! endpoint is stale and is not sent.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::derive_key;
use crate::ids::Index;

derive_key! {
    /// Result of [`FencingGate::check`].
    pub enum FencingDecision {
        /// The order may be sent to the endpoint.
        Accept,
        /// A higher order number is known for the endpoint.
        Stale,
        /// The agent does not hold its configuration lease, so its floors may be outdated.
        LeaseNotHeld,
    }
}

/// Highest order number, the floor, known for each endpoint of one agent.
///
/// ```
/// use bitternlead::agent::fencing::{FencingGate, FencingDecision};
///
/// let mut gate = FencingGate::default();
/// gate.raise_floor("m1", 40);
/// assert_eq!(gate.check("m1", 39, true), FencingDecision::Stale);
/// assert_eq!(gate.check("m1", 40, true), FencingDecision::Accept);
/// assert_eq!(gate.check("m1", 41, false), FencingDecision::LeaseNotHeld);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FencingGate {
    floors: HashMap<SmolStr, Index>,
}

impl FencingGate {
    /// Raises an endpoint's floor: orders below it are stale. A lower `floor` has no effect.
    ///
    /// Floors come from a confirmed leader of control.
    pub fn raise_floor(&mut self, endpoint: &str, floor: Index) {
        let current = self.floors.entry(SmolStr::new(endpoint)).or_default();
        *current = (*current).max(floor);
    }

    /// Floor of an endpoint; 0 if none is known.
    pub fn floor(&self, endpoint: &str) -> Index {
        self.floors.get(endpoint).copied().unwrap_or(0)
    }

    /// Checks an order before it is sent; an accepted one raises the floor to its number.
    pub fn check(&mut self, endpoint: &str, number: Index, holds_lease: bool) -> FencingDecision {
        if !holds_lease {
            return FencingDecision::LeaseNotHeld;
        }
        if number < self.floor(endpoint) {
            return FencingDecision::Stale;
        }
        self.raise_floor(endpoint, number);
        FencingDecision::Accept
    }
}
