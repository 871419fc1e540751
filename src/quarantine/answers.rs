//! Answers that show that a request crashed nothing.

use std::collections::HashMap;
use std::time::Duration;

use super::SuspectKey;
use crate::ids::Moment;

/// Time from the beginning of an answer for which it speaks for the keys of its request: a key that sound
/// requests share is answered again within it. A crash that comes later is not explained away.
const ANSWER_VALIDITY: Duration = Duration::from_secs(2);

/// Time for which an answer is remembered.
const ANSWER_TTL: Duration = Duration::from_secs(600);

/// Number of keys for which answers are remembered; the oldest half is dropped at that number.
const MAX_ANSWERED: usize = 32_768;

/// The last answer to a request with a key.
#[derive(Clone, Copy, Debug)]
struct LastAnswer {
    began: Moment,
    /// Whether this process saw it. Times in reports are late by the time that these take, so that they are
    /// not reported again.
    is_own: bool,
}

/// The last answer to a request with each key.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers {
    by_key: HashMap<SuspectKey, LastAnswer>,
    /// When the last answer to any request began.
    newest: Option<Moment>,
}

impl Answers {
    /// Records an answer that this process saw to a request with these keys.
    pub(super) fn record(&mut self, began: Moment, keys: &[SuspectKey]) {
        keys.iter().for_each(|key| self.update(*key, LastAnswer { began, is_own: true }));
        self.newest = self.newest.max(Some(began));
    }

    /// Records an answer that another process saw.
    pub(super) fn record_reported(&mut self, began: Moment, key: SuspectKey) {
        self.update(key, LastAnswer { began, is_own: false });
        self.newest = self.newest.max(Some(began));
    }

    fn update(&mut self, key: SuspectKey, answer: LastAnswer) {
        let last = self.by_key.entry(key).or_insert(answer);
        if answer.began > last.began {
            *last = answer;
        }
        if self.by_key.len() > MAX_ANSWERED {
            self.drop_oldest();
        }
    }

    /// When the last answer to a request with the key began.
    pub(super) fn last(&self, key: SuspectKey) -> Option<Moment> {
        self.by_key.get(&key).map(|last| last.began)
    }

    /// Whether this process saw the last answer to a request with the key.
    pub(super) fn is_own(&self, key: SuspectKey) -> bool {
        self.by_key.get(&key).is_some_and(|last| last.is_own)
    }

    /// Whether a request with the key was answered in the last minutes.
    pub(super) fn contains(&self, key: SuspectKey) -> bool {
        self.by_key.contains_key(&key)
    }

    /// Whether answers show that the key was harmless at this time.
    pub(super) fn clear(&self, key: SuspectKey, at: Moment) -> bool {
        self.last(key).is_some_and(|began| at <= began + ANSWER_VALIDITY)
    }

    /// Whether any request was answered.
    pub(super) fn has_any(&self) -> bool {
        self.newest.is_some()
    }

    /// Whether an answer to any request began at this time or later.
    pub(super) fn has_any_since(&self, at: Moment) -> bool {
        self.newest >= Some(at)
    }

    /// Keys with the beginning of their last answer.
    pub(super) fn iter(&self) -> impl Iterator<Item = (SuspectKey, Moment)> {
        self.by_key.iter().map(|(key, last)| (*key, last.began))
    }

    pub(super) fn expire(&mut self, now: Moment) {
        self.by_key.retain(|_, last| now.saturating_sub(last.began) < ANSWER_TTL);
    }

    fn drop_oldest(&mut self) {
        let mut times: Vec<Moment> = self.by_key.values().map(|last| last.began).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.by_key.retain(|_, last| last.began > median);
    }
}
