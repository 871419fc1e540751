//! KV memory of one engine, reserved before the engine sees an attempt and released once.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::ids::{AttemptNumber, Moment, RequestId, Tokens};
use crate::plain_key;

/// One attempt of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Request.
    pub request: RequestId,
    /// Attempt.
    pub attempt: AttemptNumber,
}

impl AttemptKey {
    /// Builds a key.
    pub fn new(request: &str, attempt: AttemptNumber) -> Self {
        Self { request: SmolStr::new(request), attempt }
    }

    /// Name of the attempt at its engine.
    pub fn engine_id(&self) -> String {
        format!("{}.{}", self.request, self.attempt)
    }
}

plain_key! {
    /// State of a reservation.
    pub enum Hold {
        /// The engine may use the memory.
        Held,
        /// The attempt ended, but the engine has not confirmed that it let go.
        Releasing(Moment),
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Reservation {
    tokens: Tokens,
    hold: Hold,
}

/// The reservations of one engine.
///
/// ```
/// use bitternlead::agent::ledger::{AttemptKey, Ledger};
///
/// let mut ledger = Ledger::new(1000);
/// let key = AttemptKey::new("r", 1);
/// assert!(ledger.reserve(key.clone(), 800));
/// assert!(!ledger.reserve(AttemptKey::new("s", 1), 300));
/// assert_eq!(ledger.confirm_release(&key), Some(800));
/// assert_eq!(ledger.reserved(), 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    capacity: Tokens,
    reserved: Tokens,
    held: HashMap<AttemptKey, Reservation>,
}

impl Ledger {
    /// Builds an empty ledger.
    pub fn new(capacity: Tokens) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Memory of the engine in tokens.
    pub fn capacity(&self) -> Tokens {
        self.capacity
    }

    /// Sets the memory of the engine.
    pub fn set_capacity(&mut self, capacity: Tokens) {
        self.capacity = capacity;
    }

    /// Reserved tokens, those being released included.
    pub fn reserved(&self) -> Tokens {
        self.reserved
    }

    /// Number of reservations.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nothing is reserved.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether so many tokens are free.
    pub fn fits(&self, tokens: Tokens) -> bool {
        self.reserved + tokens <= self.capacity
    }

    /// Reserves memory; false when it does not fit or the attempt holds some already.
    pub fn reserve(&mut self, key: AttemptKey, tokens: Tokens) -> bool {
        if !self.fits(tokens) || self.held.contains_key(&key) {
            return false;
        }
        self.reserved += tokens;
        self.held.insert(key, Reservation { tokens, hold: Hold::Held });
        true
    }

    /// Notes that an attempt ended; its memory counts until the engine confirms.
    pub fn begin_release(&mut self, now: Moment, key: &AttemptKey) {
        if let Some(held) = self.held.get_mut(key)
            && held.hold == Hold::Held
        {
            held.hold = Hold::Releasing(now);
        }
    }

    /// Releases what the engine has confirmed; a second call releases nothing.
    pub fn confirm_release(&mut self, key: &AttemptKey) -> Option<Tokens> {
        let held = self.held.remove(key)?;
        self.reserved -= held.tokens;
        Some(held.tokens)
    }

    /// Attempts whose release the engine has not confirmed, with the time that it began.
    pub fn releasing(&self) -> Vec<(AttemptKey, Moment)> {
        let open = self.held.iter().filter_map(|(key, r)| match r.hold {
            Hold::Releasing(since) => Some((key.clone(), since)),
            Hold::Held => None,
        });
        open.collect()
    }

    /// Requests that the engine runs and this ledger does not know.
    pub fn orphans(&self, running: &[String]) -> Vec<String> {
        let known: std::collections::HashSet<String> =
            self.held.keys().map(AttemptKey::engine_id).collect();
        running.iter().filter(|id| !known.contains(*id)).cloned().collect()
    }
}
