//! Decides which keys explain crashes, from the crashes and from the keys that were answered.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::SuspectKey;
use super::crash::Crash;
use crate::ids::Moment;

/// Number of crashes that a key has to explain before it is quarantined, with more than
/// [`COINCIDENCE_TIME`] between them.
const MIN_CRASHES: usize = 3;

/// Time within which crashes may have a common cause: servers that are lost together.
const COINCIDENCE_TIME: Duration = Duration::from_millis(50);

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

    /// The keys that were never answered without a crash; these may be the cause.
    pub(super) fn suspicious_keys(
        &self,
        was_answered: impl Fn(SuspectKey) -> bool,
    ) -> Vec<SuspectKey> {
        self.keys.iter().copied().filter(|key| !was_answered(*key)).collect()
    }
}

/// Evidence against one key.
#[derive(Clone, Debug, Default)]
struct Evidence {
    /// When the crashes were that the key explains.
    crashes: Vec<Moment>,
    /// Number of suspects with the key, in all crashes.
    suspects: usize,
}

impl Evidence {
    /// Whether the key explains [`MIN_CRASHES`] crashes at different moments.
    fn is_enough(&self) -> bool {
        let mut crashes = self.crashes.clone();
        crashes.sort_unstable();
        let mut last_counted: Option<Moment> = None;
        let mut count = 0;
        for at in crashes {
            if last_counted.is_none_or(|last| at - last > COINCIDENCE_TIME) {
                last_counted = Some(at);
                count += 1;
            }
        }
        count >= MIN_CRASHES
    }
}

/// Finds keys that explain crashes which no verdict in `known` explains; `None` if there are none.
///
/// A key that was answered without a crash explains nothing. Of the others the one with the most
/// crashes is blamed; of those with equally many the one that the fewest requests have, because a
/// key that many requests share is a suspect by chance more often. A key that all suspects have is
/// only blamed if other requests were answered (`is_serving`): otherwise the endpoints may crash
/// under any request. Keys that all suspects with the blamed key share cannot be told apart from
/// it, so only requests with all of them are blamed.
pub(super) fn find_culprit(
    crashes: &[&Crash],
    known: &[Vec<SuspectKey>],
    is_serving: bool,
    was_answered: impl Fn(SuspectKey) -> bool,
) -> Option<Vec<SuspectKey>> {
    let is_open = |c: &&&Crash| !known.iter().any(|keys| c.has_suspect_with(keys));
    let open: Vec<&Crash> = crashes.iter().filter(is_open).copied().collect();
    let suspect_count: usize = open.iter().map(|c| c.suspects.len()).sum();
    let differs = |e: &Evidence| is_serving || e.suspects < suspect_count;
    let evidence = collect_evidence(crashes, &open, &was_answered);
    let enough = evidence.into_iter().filter(|(_, e)| e.is_enough() && differs(e));
    let (blamed, _) = enough.max_by_key(|(key, e)| (e.crashes.len(), Reverse(e.suspects), *key))?;
    let mut keys = keys_shared_with(&open, blamed);
    keys.retain(|key| !was_answered(*key));
    Some(keys)
}

/// Evidence in the crashes `open` against each key that was not answered. A key explains no crash
/// that came together with another one, of all `crashes`, without the key.
fn collect_evidence(
    crashes: &[&Crash],
    open: &[&Crash],
    was_answered: impl Fn(SuspectKey) -> bool,
) -> HashMap<SuspectKey, Evidence> {
    let mut evidence: HashMap<SuspectKey, Evidence> = HashMap::new();
    for crash in open {
        let suspects = crash.suspects.iter().flatten();
        let keys: Vec<SuspectKey> = suspects.copied().filter(|key| !was_answered(*key)).collect();
        for key in &keys {
            evidence.entry(*key).or_default().suspects += 1;
        }
        let distinct: HashSet<SuspectKey> = keys.into_iter().collect();
        for key in distinct.into_iter().filter(|key| !coincides_without(crashes, crash, *key)) {
            evidence.entry(key).or_default().crashes.push(crash.at);
        }
    }
    evidence
}

/// The keys, `key` among them, that all suspects with `key` have.
fn keys_shared_with(crashes: &[&Crash], key: SuspectKey) -> Vec<SuspectKey> {
    let suspects = crashes.iter().flat_map(|c| &c.suspects).filter(|s| s.contains(&key));
    let in_both = |shared: Vec<SuspectKey>, suspect: Vec<SuspectKey>| {
        shared.into_iter().filter(|key| suspect.contains(key)).collect()
    };
    suspects.cloned().reduce(in_both).unwrap_or_default()
}

/// Whether another crash without the key came at the same time as `crash`.
fn coincides_without(crashes: &[&Crash], crash: &Crash, key: SuspectKey) -> bool {
    let mut coinciding =
        crashes.iter().filter(|other| other.at.abs_diff(crash.at) <= COINCIDENCE_TIME);
    coinciding.any(|other| !other.has_suspect_with(&[key]))
}
