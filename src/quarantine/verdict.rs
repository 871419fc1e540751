//! Verdicts: which requests are refused, and for how long.

use std::time::Duration;

use super::SuspectKey;
use super::answers::Answers;
use crate::ids::Moment;

/// Time for which requests are refused after a verdict.
pub(super) const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Time after [`QUARANTINE_TIME`] in which a single crash renews the verdict.
pub(super) const PROBATION_TIME: Duration = Duration::from_secs(1800);

/// Requests that have all of these keys crash endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The keys, sorted.
    pub keys: Vec<SuspectKey>,
    /// When the verdict fell, or was renewed.
    pub at: Moment,
}

impl Verdict {
    /// Time for which matching requests are still refused; `None` on probation.
    pub fn time_left(&self, now: Moment) -> Option<Duration> {
        let left = (self.at + QUARANTINE_TIME).saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether the verdict is neither in force nor on probation any more.
    pub(super) fn is_over(&self, now: Moment) -> bool {
        now.saturating_sub(self.at) >= QUARANTINE_TIME + PROBATION_TIME
    }

    /// The keys that no answer clears; these may be the cause.
    pub(super) fn suspicious_keys(&self, answers: &Answers) -> Vec<SuspectKey> {
        self.keys.iter().copied().filter(|key| !answers.clear(*key, self.at)).collect()
    }
}
