//! Deduplication of attempts: each starts at most once, and never after it was refused or
//! cancelled.
//!
//! Dispatches, cancellations and refusals of one attempt may arrive in any order and repeatedly.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::ledger::AttemptKey;
use crate::derive_key;
use crate::ids::Moment;

/// Time for which an attempt is remembered after it started or was rejected.
pub const RETENTION: Duration = Duration::from_secs(900);

/// Bound on the table's memory; beyond it the oldest attempts are forgotten early.
pub const MAX_REMEMBERED_ATTEMPTS: usize = 200_000;

derive_key! {
    /// Final status of an attempt in the table.
    pub enum AttemptStatus {
        /// The attempt was allowed to start.
        Started,
        /// The attempt was refused or cancelled before its start and must never start.
        Rejected,
    }
}

derive_key! {
    /// Result of [`DedupTable::start`].
    pub enum StartDecision {
        /// The attempt may start; the caller must start it now.
        Start,
        /// The attempt started earlier; this is a duplicate dispatch.
        Duplicate,
        /// The attempt was rejected earlier and must not start.
        Rejected,
    }
}

/// Attempts that started or were rejected during one run of an agent.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::agent::{ledger::AttemptKey, dedup::{StartDecision, DedupTable}};
///
/// let mut table = DedupTable::default();
/// let key = AttemptKey::new("r", 1);
/// table.reject(Duration::ZERO, &key);
/// assert_eq!(table.start(Duration::ZERO, &key), StartDecision::Rejected);
/// ```
#[derive(Clone, Debug, Default)]
pub struct DedupTable {
    statuses: HashMap<AttemptKey, AttemptStatus>,
    oldest_first: VecDeque<(Moment, AttemptKey)>,
}

impl DedupTable {
    /// Marks an attempt as started unless it started or was rejected earlier.
    pub fn start(&mut self, now: Moment, key: &AttemptKey) -> StartDecision {
        self.expire(now);
        match self.statuses.get(key) {
            Some(AttemptStatus::Started) => StartDecision::Duplicate,
            Some(AttemptStatus::Rejected) => StartDecision::Rejected,
            None => {
                self.record(now, key, AttemptStatus::Started);
                StartDecision::Start
            }
        }
    }

    /// Prevents an attempt from starting; returns false when it has already started.
    pub fn reject(&mut self, now: Moment, key: &AttemptKey) -> bool {
        self.expire(now);
        match self.statuses.get(key) {
            Some(AttemptStatus::Started) => false,
            Some(AttemptStatus::Rejected) => true,
            None => {
                self.record(now, key, AttemptStatus::Rejected);
                true
            }
        }
    }

    /// Status of an attempt; `None` if it was never seen or has been forgotten.
    pub fn status(&self, key: &AttemptKey) -> Option<AttemptStatus> {
        self.statuses.get(key).copied()
    }

    fn record(&mut self, now: Moment, key: &AttemptKey, status: AttemptStatus) {
        self.statuses.insert(key.clone(), status);
        self.oldest_first.push_back((now, key.clone()));
    }

    fn expire(&mut self, now: Moment) {
        while let Some((recorded_at, key)) = self.oldest_first.front() {
            let expired = now.saturating_sub(*recorded_at) >= RETENTION;
            if !expired && self.oldest_first.len() <= MAX_REMEMBERED_ATTEMPTS {
                return;
            }
            self.statuses.remove(key);
            self.oldest_first.pop_front();
        }
    }
}
