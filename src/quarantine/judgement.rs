//! Decides which keys explain crashes, from the crashes, the answers and earlier verdicts.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::SuspectKey;
use super::answers::Answers;
use super::crash::Crash;
use crate::ids::Moment;

/// Number of crashes that a key has to explain before it is quarantined, with more than
/// [`COINCIDENCE_TIME`] between them.
const MIN_CRASHES: usize = 3;

/// The same for a key that was answered within the last minutes, which speaks for it.
const MIN_CRASHES_AFTER_ANSWER: usize = 4;

/// The same while nothing at all is answered, in which the endpoints may crash for any reason.
const MIN_CRASHES_IN_OUTAGE: usize = 12;

/// Time within which crashes may have a common cause: servers that are lost together.
const COINCIDENCE_TIME: Duration = Duration::from_millis(50);

/// Time before a crash in which an answer shows that endpoints serve: prompts are answered all the time
/// unless all endpoints are lost.
const SERVING_TIME: Duration = Duration::from_secs(1);

/// A verdict explains crashes away from a key that explains at most this many times as many.
const MAX_OUTWEIGHED: usize = 2;

/// Result of a judgement.
pub(super) enum Finding {
    /// Requests with all of these keys crash endpoints.
    Culprit(Vec<SuspectKey>),
    /// The evidence does not suffice; most of it is against this key, with this number of crashes.
    Suspicion { key: SuspectKey, crashes: usize },
    /// No crash is unexplained.
    Nothing,
}

/// What is known when crashes are judged.
pub(super) struct Case<'a> {
    crashes: Vec<CrashKeys<'a>>,
    known: Vec<KnownVerdict>,
    answers: &'a Answers,
}

/// A crash with all keys of its suspects, sorted.
struct CrashKeys<'a> {
    crash: &'a Crash,
    keys: Vec<SuspectKey>,
}

impl<'a> CrashKeys<'a> {
    fn new(crash: &'a Crash) -> Self {
        let mut keys: Vec<SuspectKey> = crash.suspects.iter().flatten().copied().collect();
        keys.sort_unstable();
        keys.dedup();
        Self { crash, keys }
    }

    fn contains(&self, key: SuspectKey) -> bool {
        self.keys.binary_search(&key).is_ok()
    }
}

/// A verdict that was given before and not lifted, with the indices of the crashes that it explains.
struct KnownVerdict {
    keys: Vec<SuspectKey>,
    crashes: HashSet<usize>,
}

/// Evidence against one key.
#[derive(Clone, Debug, Default)]
struct Evidence {
    /// Indices of the crashes that the key explains.
    crashes: Vec<usize>,
    /// Number of suspects with the key, in all crashes.
    suspects: usize,
}

type EvidenceByKey = HashMap<SuspectKey, Evidence>;

impl<'a> Case<'a> {
    /// Collects crashes of which all entries have reported their suspects, the keys of earlier verdicts
    /// that are not lifted, and answers.
    pub(super) fn new(
        crashes: impl Iterator<Item = &'a Crash>,
        known: impl Iterator<Item = Vec<SuspectKey>>,
        answers: &'a Answers,
    ) -> Self {
        let crashes: Vec<CrashKeys> = crashes.map(CrashKeys::new).collect();
        let explained = |keys: &[SuspectKey]| {
            let indices = (0..crashes.len()).filter(|at| crashes[*at].crash.has_suspect_with(keys));
            indices.collect()
        };
        let known = known
            .filter(|keys| !keys.is_empty())
            .map(|keys| KnownVerdict { crashes: explained(&keys), keys })
            .collect();
        Self { crashes, known, answers }
    }

    /// Finds keys that explain crashes which no known verdict explains.
    ///
    /// A key explains the crashes that no answer clears it of. The key with the most crashes is blamed;
    /// of those with equally many the one that the fewest requests have, because a key that many requests
    /// share is a suspect by chance more often. Keys that all suspects with the blamed key share cannot
    /// be told apart from it, so only requests with all of them are blamed.
    pub(super) fn judge(&self) -> Finding {
        let mut evidence: Vec<(SuspectKey, Evidence)> =
            self.collect_evidence().into_iter().collect();
        evidence
            .sort_unstable_by_key(|(key, e)| Reverse((e.crashes.len(), Reverse(e.suspects), *key)));
        let enough = evidence.iter().filter(|(key, e)| self.is_enough(*key, e));
        let blamed = enough.map(|(key, e)| self.keys_blamed_with(*key, e));
        let is_new = |keys: &Vec<SuspectKey>| !self.known.iter().any(|known| known.keys == *keys);
        if let Some(keys) = blamed.into_iter().find(is_new) {
            return Finding::Culprit(keys);
        }
        let mut open = evidence.iter().filter(|(key, _)| !self.is_in_verdict(*key));
        match open.next() {
            Some((key, e)) => Finding::Suspicion { key: *key, crashes: self.count_moments(e) },
            None => Finding::Nothing,
        }
    }

    /// Whether the evidence suffices.
    fn is_enough(&self, key: SuspectKey, evidence: &Evidence) -> bool {
        let count = self.count_moments(evidence);
        if self.answers.contains(key) {
            return match self.was_serving(evidence) {
                true => count >= MIN_CRASHES_AFTER_ANSWER,
                false => count >= MIN_CRASHES_IN_OUTAGE && self.explains_outage(evidence),
            };
        }
        count >= MIN_CRASHES && (self.answers.has_any() || self.is_told_apart(evidence))
    }

    /// Whether any request was answered at the time of these crashes. While none is, the endpoints may
    /// crash under any request.
    fn was_serving(&self, evidence: &Evidence) -> bool {
        let first = evidence.crashes.iter().map(|at| self.crashes[*at].crash.at).min();
        first.is_some_and(|first| self.answers.has_any_since(first.saturating_sub(SERVING_TIME)))
    }

    /// Whether the key explains nearly all crashes from its first one on, and not all suspects have it.
    fn explains_outage(&self, evidence: &Evidence) -> bool {
        let Some(first) = evidence.crashes.iter().map(|at| self.crashes[*at].crash.at).min() else {
            return false;
        };
        let in_outage = self.crashes.iter().filter(|c| c.crash.at >= first).count();
        evidence.crashes.len() * 10 >= in_outage * 9 && self.is_told_apart(evidence)
    }

    /// Whether there are suspects without the key.
    fn is_told_apart(&self, evidence: &Evidence) -> bool {
        let suspects: usize = self.crashes.iter().map(|c| c.crash.suspects.len()).sum();
        evidence.suspects < suspects
    }

    /// Number of different moments at which a key explains a crash.
    fn count_moments(&self, evidence: &Evidence) -> usize {
        let mut moments: Vec<Moment> =
            evidence.crashes.iter().map(|at| self.crashes[*at].crash.at).collect();
        moments.sort_unstable();
        let mut last_counted: Option<Moment> = None;
        let mut count = 0;
        for at in moments {
            if last_counted.is_none_or(|last| at - last > COINCIDENCE_TIME) {
                last_counted = Some(at);
                count += 1;
            }
        }
        count
    }

    /// The blamed key, and those that nothing tells apart from it; sorted.
    fn keys_blamed_with(&self, blamed: SuspectKey, evidence: &Evidence) -> Vec<SuspectKey> {
        let moments = evidence.crashes.iter().map(|at| self.crashes[*at].crash.at);
        let last_crash = moments.max().unwrap_or_default();
        let mut keys = self.keys_shared_with(blamed);
        keys.retain(|key| *key == blamed || self.is_equally_suspicious(*key, blamed, last_crash));
        keys
    }

    /// Whether no answer tells a key apart from the blamed one, which it always came with.
    fn is_equally_suspicious(&self, key: SuspectKey, blamed: SuspectKey, at: Moment) -> bool {
        match self.answers.contains(blamed) {
            true => !self.answers.clear(key, at),
            false => !self.answers.contains(key),
        }
    }

    /// The keys, `key` among them, that all suspects with `key` have.
    fn keys_shared_with(&self, key: SuspectKey) -> Vec<SuspectKey> {
        let concerned = self.crashes.iter().filter(|c| c.contains(key));
        let suspects = concerned.flat_map(|c| &c.crash.suspects).filter(|s| s.contains(&key));
        let in_both = |shared: Vec<SuspectKey>, suspect: Vec<SuspectKey>| {
            shared.into_iter().filter(|key| suspect.contains(key)).collect()
        };
        suspects.cloned().reduce(in_both).unwrap_or_default()
    }

    /// Evidence against each key. A key does not explain a crash that came together with one that neither
    /// it nor any other likely cause explains.
    fn collect_evidence(&self) -> EvidenceByKey {
        let all = self.collect_all_evidence();
        let everything: Vec<usize> = (0..self.crashes.len()).collect();
        let strict = self.drop_coinciding(all.clone(), &everything);
        // Servers that are lost together have no crash that came alone.
        let is_likely = |key: &SuspectKey| {
            let came_alone = strict.get(key).is_some_and(|e| !e.crashes.is_empty());
            came_alone && self.count_moments(&all[key]) >= MIN_CRASHES
        };
        let likely: HashSet<SuspectKey> = all.keys().copied().filter(is_likely).collect();
        let unexplained: Vec<usize> =
            everything.into_iter().filter(|at| !self.is_explained(*at, &likely)).collect();
        self.drop_coinciding(all, &unexplained)
    }

    /// Evidence without regard to crashes that came together, against the keys with the most of it: those
    /// that may be enough, or else all that have equally much.
    fn collect_all_evidence(&self) -> EvidenceByKey {
        let mut crashes: HashMap<SuspectKey, Vec<usize>> = HashMap::new();
        for (at, c) in self.crashes.iter().enumerate() {
            for key in c.keys.iter().filter(|key| !self.answers.clear(**key, c.crash.at)) {
                crashes.entry(*key).or_default().push(at);
            }
        }
        let most = crashes.values().map(Vec::len).max().unwrap_or_default();
        crashes.retain(|_, indices| indices.len() >= most.min(MIN_CRASHES));
        let mut suspects: HashMap<SuspectKey, usize> = HashMap::new();
        for key in self.crashes.iter().flat_map(|c| c.crash.suspects.iter().flatten()) {
            if crashes.contains_key(key) {
                *suspects.entry(*key).or_default() += 1;
            }
        }
        let build = |(key, crashes): (SuspectKey, Vec<usize>)| {
            let suspects = suspects.get(&key).copied().unwrap_or_default();
            let mut evidence = Evidence { crashes, suspects };
            self.drop_outweighed(key, &mut evidence);
            (key, evidence)
        };
        crashes.into_iter().map(build).filter(|(_, e)| !e.crashes.is_empty()).collect()
    }

    /// Leaves out crashes that a verdict on other keys explains, unless the key explains far more crashes
    /// than that verdict.
    fn drop_outweighed(&self, key: SuspectKey, evidence: &mut Evidence) {
        let count = evidence.crashes.len();
        let others = self.known.iter().filter(|v| !v.keys.contains(&key));
        let outweighing: Vec<&KnownVerdict> =
            others.filter(|v| count <= MAX_OUTWEIGHED * v.crashes.len()).collect();
        evidence.crashes.retain(|at| !outweighing.iter().any(|v| v.crashes.contains(at)));
    }

    /// Leaves out what speaks against a key in a crash that came together with one of `others` that has no
    /// suspect with the key.
    fn drop_coinciding(&self, mut evidence: EvidenceByKey, others: &[usize]) -> EvidenceByKey {
        let coinciding: Vec<Vec<usize>> = self
            .crashes
            .iter()
            .map(|c| {
                let is_close = |other: &usize| {
                    self.crashes[*other].crash.at.abs_diff(c.crash.at) <= COINCIDENCE_TIME
                };
                others.iter().copied().filter(is_close).collect()
            })
            .collect();
        for (key, e) in &mut evidence {
            let lacks_key = |other: &usize| !self.crashes[*other].contains(*key);
            e.crashes.retain(|at| !coinciding[*at].iter().any(lacks_key));
        }
        evidence
    }

    /// Whether a known verdict or one of these keys explains a crash.
    fn is_explained(&self, at: usize, likely: &HashSet<SuspectKey>) -> bool {
        let CrashKeys { crash, keys } = &self.crashes[at];
        let mut causes = keys.iter().filter(|key| likely.contains(key));
        causes.any(|key| !self.answers.clear(*key, crash.at))
            || self.known.iter().any(|v| v.crashes.contains(&at))
    }

    fn is_in_verdict(&self, key: SuspectKey) -> bool {
        self.known.iter().any(|v| v.keys.contains(&key))
    }
}
