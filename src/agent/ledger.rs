//! Accounting of one engine's KV memory.
//!
//! Memory is reserved before an attempt is sent to the engine and released exactly once, when the
//! engine has acknowledged that it is free.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::derive_key;
use crate::ids::{AttemptNumber, Moment, RequestId, Tokens};

/// Identifies one attempt of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Identity of the request; all of its attempts share it.
    pub request: RequestId,
    /// Number of the attempt within its request, from 1.
    pub attempt: AttemptNumber,
}

impl AttemptKey {
    /// Builds the key of a request's attempt.
    pub fn new(request: &str, attempt: AttemptNumber) -> Self {
        Self { request: SmolStr::new(request), attempt }
    }

    /// Request id under which the engine knows the attempt: `<request>.<attempt>`.
    pub fn engine_request_id(&self) -> String {
        format!("{}.{}", self.request, self.attempt)
    }
}

derive_key! {
    /// State of a reservation.
    pub enum ReservationState {
        /// The attempt runs and the engine may use the memory.
        Held,
        /// The attempt ended at this time, but the engine has not acknowledged that it freed the
        /// memory.
        Releasing(Moment),
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Reservation {
    tokens: Tokens,
    state: ReservationState,
}

/// The KV memory reservations of one engine, in tokens.
///
/// ```
/// use bitternlead::agent::ledger::{AttemptKey, Ledger};
///
/// let mut ledger = Ledger::new(1000);
/// let key = AttemptKey::new("r", 1);
/// assert!(ledger.reserve(key.clone(), 800));
/// assert!(!ledger.reserve(AttemptKey::new("s", 1), 300));
/// assert_eq!(ledger.release(&key), Some(800));
/// assert_eq!(ledger.reserved(), 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    capacity: Tokens,
    reserved: Tokens,
    reservations: HashMap<AttemptKey, Reservation>,
}

impl Ledger {
    /// Builds a ledger without reservations.
    pub fn new(capacity: Tokens) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// KV memory of the engine, in tokens.
    pub fn capacity(&self) -> Tokens {
        self.capacity
    }

    /// Sets the KV memory of the engine, in tokens; reservations stay even if they exceed it.
    pub fn set_capacity(&mut self, capacity: Tokens) {
        self.capacity = capacity;
    }

    /// Reserved tokens, including those whose release the engine has not acknowledged.
    pub fn reserved(&self) -> Tokens {
        self.reserved
    }

    /// Number of reservations.
    pub fn len(&self) -> usize {
        self.reservations.len()
    }

    /// Whether there are no reservations.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// Whether at least `tokens` tokens are free.
    pub fn fits(&self, tokens: Tokens) -> bool {
        self.reserved + tokens <= self.capacity
    }

    /// Reserves memory; returns false when it does not fit or the attempt has a reservation.
    pub fn reserve(&mut self, key: AttemptKey, tokens: Tokens) -> bool {
        if !self.fits(tokens) || self.reservations.contains_key(&key) {
            return false;
        }
        self.reserved += tokens;
        self.reservations.insert(key, Reservation { tokens, state: ReservationState::Held });
        true
    }

    /// Marks an attempt as ended; its memory stays reserved until [`Self::release`].
    ///
    /// Later calls keep the time of the first.
    pub fn begin_release(&mut self, now: Moment, key: &AttemptKey) {
        if let Some(reservation) = self.reservations.get_mut(key)
            && reservation.state == ReservationState::Held
        {
            reservation.state = ReservationState::Releasing(now);
        }
    }

    /// Releases an attempt's memory and returns its size; a second call returns `None`.
    pub fn release(&mut self, key: &AttemptKey) -> Option<Tokens> {
        let reservation = self.reservations.remove(key)?;
        self.reserved -= reservation.tokens;
        Some(reservation.tokens)
    }

    /// Attempts whose release the engine has not acknowledged, with the time at which they ended.
    pub fn releasing(&self) -> Vec<(AttemptKey, Moment)> {
        let pending = self.reservations.iter().filter_map(|(key, r)| match r.state {
            ReservationState::Releasing(since) => Some((key.clone(), since)),
            ReservationState::Held => None,
        });
        pending.collect()
    }

    /// Ids among `running` that belong to no reservation: the engine runs them, but this agent does
    /// not know them.
    pub fn orphans(&self, running: &[String]) -> Vec<String> {
        let known: std::collections::HashSet<String> =
            self.reservations.keys().map(AttemptKey::engine_request_id).collect();
        running.iter().filter(|id| !known.contains(*id)).cloned().collect()
    }
}
