//! Sends in flight, indexed by endpoint.
//!
//! The index follows each send that is added, replaced or removed, so that the load of one endpoint
//! is found in a time that does not depend on the number of endpoints.

use std::collections::HashMap;

use slotmap::{SlotMap, new_key_type};

use super::flight_codec::SendNumber;
use super::in_flight::InFlightSend;
use crate::directory::EndpointId;

new_key_type! {
    /// Key of a send in flight.
    pub struct SendKey;
}

struct NumberedSend {
    number: SendNumber,
    send: InFlightSend,
}

/// Sends in flight with the numbers by which their entries report them.
#[derive(Default)]
pub struct SendTable {
    sends: SlotMap<SendKey, NumberedSend>,
    /// Sends at each endpoint that has any.
    by_endpoint: HashMap<EndpointId, Vec<SendKey>>,
}

impl SendTable {
    /// Adds a send.
    pub fn insert(&mut self, number: SendNumber, send: InFlightSend) -> SendKey {
        let endpoint = send.endpoint.clone();
        let key = self.sends.insert(NumberedSend { number, send });
        self.by_endpoint.entry(endpoint).or_default().push(key);
        key
    }

    /// Removes a send and returns it with its number.
    pub fn remove(&mut self, key: SendKey) -> Option<(SendNumber, InFlightSend)> {
        let NumberedSend { number, send } = self.sends.remove(key)?;
        self.remove_from_index(&send.endpoint, key);
        Some((number, send))
    }

    /// Replaces a send, which may be at another endpoint then, and returns the one before.
    pub fn replace(&mut self, key: SendKey, send: InFlightSend) -> Option<InFlightSend> {
        let held = self.sends.get_mut(key)?;
        let endpoint = send.endpoint.clone();
        let before = std::mem::replace(&mut held.send, send);
        if before.endpoint != endpoint {
            self.remove_from_index(&before.endpoint, key);
            self.by_endpoint.entry(endpoint).or_default().push(key);
        }
        Some(before)
    }

    /// Returns a send with its number.
    pub fn get(&self, key: SendKey) -> Option<(SendNumber, &InFlightSend)> {
        self.sends.get(key).map(|held| (held.number, &held.send))
    }

    /// Returns a send for an update, which must not change its endpoint.
    pub fn get_mut(&mut self, key: SendKey) -> Option<&mut InFlightSend> {
        self.sends.get_mut(key).map(|held| &mut held.send)
    }

    /// Sends at one endpoint.
    pub fn sends_at(&self, endpoint: &str) -> impl Iterator<Item = &InFlightSend> {
        let keys = self.by_endpoint.get(endpoint).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| self.sends.get(*key)).map(|held| &held.send)
    }

    /// Number of sends at one endpoint.
    pub fn count_at(&self, endpoint: &str) -> usize {
        self.by_endpoint.get(endpoint).map_or(0, Vec::len)
    }

    /// All sends.
    pub fn iter(&self) -> impl Iterator<Item = &InFlightSend> {
        self.sends.values().map(|held| &held.send)
    }

    fn remove_from_index(&mut self, endpoint: &EndpointId, key: SendKey) {
        let Some(keys) = self.by_endpoint.get_mut(endpoint) else { return };
        keys.retain(|k| *k != key);
        if keys.is_empty() {
            self.by_endpoint.remove(endpoint);
        }
    }
}
