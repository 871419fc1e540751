//! Sends of one request, counted as load of their endpoints and towards the bound on cold ones while they
//! last.

use std::sync::Arc;

use super::eligibility::cold::SendClaim;
use super::load::in_flight::{InFlightSend, SendKey};
use super::state::Gateway;
use crate::clock::boot_now;
use crate::directory::EndpointId;

impl Gateway {
    /// Adds sends in flight, that of the request first; they are removed when the guard is dropped.
    /// `None` if one of the endpoints is cold and has no room for them.
    pub fn track_sends(self: &Arc<Self>, sends: Vec<InFlightSend>) -> Option<InFlightGuard> {
        let claims = self.claim_sends(&sends)?;
        let mut limits = self.limits.lock();
        for send in sends.iter().filter(|send| !send.is_helper) {
            limits.record_send(boot_now(), &send.endpoint);
        }
        drop(limits);
        let mut in_flight = self.in_flight.lock();
        let keys = sends.into_iter().map(|f| in_flight.insert(f)).collect();
        drop(in_flight);
        self.load_changed.notify_one();
        Some(InFlightGuard { gateway: Arc::clone(self), keys, claims })
    }

    /// Counts the sends at cold endpoints: that of the request, and those of the helpers. A helper
    /// that holds KV cache gets a reservation besides its part of the prompt.
    fn claim_sends(&self, sends: &[InFlightSend]) -> Option<SendClaims> {
        let count = |f: &InFlightSend| if f.is_helper && f.held_tokens > 0 { 2 } else { 1 };
        let wanted: Vec<(EndpointId, usize)> =
            sends.iter().map(|f| (f.endpoint.clone(), count(f))).collect();
        let (primary, helpers) = wanted.split_at(wanted.len().min(1));
        let now = boot_now();
        let mut cold = self.cold.lock();
        let primary = cold.claim(now, primary)?;
        match cold.claim(now, helpers) {
            Some(helpers) => Some(SendClaims { primary, helpers }),
            None => {
                cold.release(&primary);
                None
            }
        }
    }
}

/// Guard for sends in flight; dropping it removes them.
pub struct InFlightGuard {
    gateway: Arc<Gateway>,
    keys: Vec<SendKey>,
    claims: SendClaims,
}

/// What the sends of one request claim of the room of cold endpoints.
struct SendClaims {
    primary: SendClaim,
    helpers: SendClaim,
}

impl InFlightGuard {
    /// Notes that the request is sent at this moment, and the helpers' parts with it.
    pub fn mark_sent(&self) {
        let (mut cold, now) = (self.gateway.cold.lock(), boot_now());
        cold.mark_sent(now, &self.claims.primary);
        cold.mark_sent(now, &self.claims.helpers);
    }

    /// Notes that the request was not sent, or that it does not count at its endpoint.
    pub fn mark_unsent(&self) {
        self.gateway.cold.lock().mark_unsent(&self.claims.primary);
    }

    /// Notes that the helpers got a call at this moment.
    pub fn mark_helpers_called(&self) {
        self.gateway.cold.lock().mark_sent(boot_now(), &self.claims.helpers);
    }

    /// Marks the stream as late, so that further delay of it counts as no loss.
    pub fn mark_late(&self) {
        let mut in_flight = self.gateway.in_flight.lock();
        let Some(first) = self.keys.first() else { return };
        let send = in_flight.get_mut(*first);
        if send.is_some_and(|f| !std::mem::replace(&mut f.late, true)) {
            in_flight.mark_changed(*first);
            drop(in_flight);
            self.gateway.load_changed.notify_one();
        }
    }

    /// Adds tokens to the output of the stream. The first ones end its prefill, so that helpers only
    /// hold KV cache from then on, if any.
    pub fn add_output(&self, tokens: u64) {
        let mut in_flight = self.gateway.in_flight.lock();
        let Some((first, helpers)) = self.keys.split_first() else { return };
        let now = boot_now();
        if in_flight.add_output(now, *first, tokens) {
            for key in helpers {
                in_flight.end_helper_prefill(now, *key);
            }
            drop(in_flight);
            self.gateway.load_changed.notify_one();
            self.gateway.queues.notify_capacity();
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut in_flight = self.gateway.in_flight.lock();
        let now = boot_now();
        for key in &self.keys {
            in_flight.remove(now, *key);
        }
        drop(in_flight);
        let mut cold = self.gateway.cold.lock();
        cold.release(&self.claims.primary);
        cold.release(&self.claims.helpers);
        drop(cold);
        self.gateway.load_changed.notify_one();
        self.gateway.queues.notify_capacity();
    }
}
