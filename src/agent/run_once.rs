//! Which attempts may start: each at most once, and never after it was refused or cancelled.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::ledger::AttemptKey;
use crate::ids::Moment;
use crate::plain_key;

/// Time that an attempt is remembered after its last mention.
pub const MEMORY: Duration = Duration::from_secs(900);

/// Attempts remembered at most.
pub const MOST_ATTEMPTS: usize = 200_000;

plain_key! {
    /// What became of an attempt here.
    pub enum Fate {
        /// It was let through to the endpoint.
        Started,
        /// It was refused or cancelled before it started and never will.
        Dead,
    }
}

plain_key! {
    /// Answer to an attempt that asks to start.
    pub enum Entry {
        /// It may start now.
        Start,
        /// It started before: a late copy.
        Copy,
        /// It is dead.
        Dead,
    }
}

/// The attempts of one agent's run.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::agent::{ledger::AttemptKey, run_once::{Entry, RunOnce}};
///
/// let mut table = RunOnce::default();
/// let key = AttemptKey::new("r", 1);
/// table.kill(Duration::ZERO, &key);
/// assert_eq!(table.start(Duration::ZERO, &key), Entry::Dead);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RunOnce {
    fates: HashMap<AttemptKey, Fate>,
    by_age: VecDeque<(Moment, AttemptKey)>,
}

impl RunOnce {
    /// Lets an attempt start unless it did before or is dead.
    pub fn start(&mut self, now: Moment, key: &AttemptKey) -> Entry {
        self.expire(now);
        match self.fates.get(key) {
            Some(Fate::Started) => Entry::Copy,
            Some(Fate::Dead) => Entry::Dead,
            None => {
                self.note(now, key, Fate::Started);
                Entry::Start
            }
        }
    }

    /// Makes sure that an attempt never starts; false when it has started.
    pub fn kill(&mut self, now: Moment, key: &AttemptKey) -> bool {
        self.expire(now);
        match self.fates.get(key) {
            Some(Fate::Started) => false,
            Some(Fate::Dead) => true,
            None => {
                self.note(now, key, Fate::Dead);
                true
            }
        }
    }

    /// What became of an attempt.
    pub fn fate(&self, key: &AttemptKey) -> Option<Fate> {
        self.fates.get(key).copied()
    }

    fn note(&mut self, now: Moment, key: &AttemptKey, fate: Fate) {
        self.fates.insert(key.clone(), fate);
        self.by_age.push_back((now, key.clone()));
    }

    fn expire(&mut self, now: Moment) {
        while let Some((at, key)) = self.by_age.front() {
            let old = now.saturating_sub(*at) >= MEMORY;
            if !old && self.by_age.len() <= MOST_ATTEMPTS {
                return;
            }
            self.fates.remove(key);
            self.by_age.pop_front();
        }
    }
}
