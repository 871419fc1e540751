//! Crashes of endpoints, as several entries report them.

use std::collections::HashMap;
use std::time::Duration;

use super::SuspectKey;
use crate::ids::Moment;

/// Maximum number of keys that are kept of one request.
pub const MAX_KEYS: usize = 32;

/// Maximum number of requests that are kept for one crash.
pub const MAX_SUSPECTS: usize = 64;

/// Maximum number of crashes that are kept; the oldest are dropped first.
const MAX_CRASHES: usize = 128;

/// Time after which a crash is dropped.
pub(super) const CRASH_TTL: Duration = Duration::from_secs(600);

/// Time within which reports that name the same endpoint are about the same crash. An endpoint that
/// starts again under its id takes longer.
const SAME_CRASH_TIME: Duration = Duration::from_millis(1500);

/// One crash of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Crash {
    /// Key of the endpoint's id.
    pub endpoint: u64,
    /// When it was noticed first.
    pub at: Moment,
    /// Keys of each request that the endpoint had not yet answered for long; sorted.
    pub suspects: Vec<Vec<SuspectKey>>,
}

impl Crash {
    /// Whether one of the suspects has all of these keys.
    pub fn has_suspect_with(&self, keys: &[SuspectKey]) -> bool {
        self.suspects.iter().any(|suspect| keys.iter().all(|key| suspect.contains(key)))
    }

    /// Adds suspects that are not known yet; true if there were any.
    fn add_suspects(&mut self, suspects: Vec<Vec<SuspectKey>>) -> bool {
        let before = self.suspects.len();
        for mut suspect in suspects {
            suspect.truncate(MAX_KEYS);
            suspect.sort_unstable();
            suspect.dedup();
            let is_new = !suspect.is_empty() && !self.suspects.contains(&suspect);
            if is_new && self.suspects.len() < MAX_SUSPECTS {
                self.suspects.push(suspect);
            }
        }
        self.suspects.len() > before
    }
}

/// The crashes of the last minutes, each once.
#[derive(Clone, Debug, Default)]
pub(super) struct Crashes {
    crashes: Vec<Crash>,
    /// Keys of all suspects, with the last crash that each appears in.
    last_by_key: HashMap<SuspectKey, Moment>,
}

impl Crashes {
    /// Adds a crash, or the suspects of one that is known; true if something was new.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        let Crash { endpoint, at, suspects } = crash;
        let is_same =
            |c: &&mut Crash| c.endpoint == endpoint && c.at.abs_diff(at) < SAME_CRASH_TIME;
        let is_news = match self.crashes.iter_mut().find(is_same) {
            Some(known) => known.add_suspects(suspects),
            None => {
                let mut crash = Crash { endpoint, at, suspects: Vec::new() };
                let has_suspects = crash.add_suspects(suspects);
                if has_suspects {
                    self.crashes.push(crash);
                }
                has_suspects
            }
        };
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        if is_news {
            self.collect_keys();
        }
        is_news
    }

    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter()
    }

    /// Time of the last crash in which a request with this key was a suspect.
    pub(super) fn last_with(&self, key: SuspectKey) -> Option<Moment> {
        self.last_by_key.get(&key).copied()
    }

    pub(super) fn expire(&mut self, now: Moment) {
        let before = self.crashes.len();
        self.crashes.retain(|c| now.saturating_sub(c.at) < CRASH_TTL);
        if self.crashes.len() < before {
            self.collect_keys();
        }
    }

    fn collect_keys(&mut self) {
        self.last_by_key.clear();
        for crash in &self.crashes {
            for key in crash.suspects.iter().flatten() {
                let last = self.last_by_key.entry(*key).or_insert(crash.at);
                *last = crash.at.max(*last);
            }
        }
    }
}
