//! What is known of poison requests: crashes, keys that were answered, and verdicts.
//!
//! All three only grow, apart from what expires, so that reports may arrive in any order and more
//! than once. A verdict is lifted by a record of an answer, not by its removal.

use std::collections::VecDeque;
use std::time::Duration;

use super::answers::Answers;
use super::crash::{Crash, Crashes};
use super::judgement::{Case, Finding};
use super::verdict::Verdict;
use super::{SuspectKey, report};
use crate::ids::Moment;
use crate::wire::QuarantineReport;

/// Difference by which a reported answer or verdict has to be newer than the known one. The same arrives
/// from several replicas, with times that differ by the time that each report took.
const REPORT_TOLERANCE: Duration = Duration::from_millis(100);

/// Time from a crash to its judgement, in which the other entries report their suspects.
const SETTLE_TIME: Duration = Duration::from_millis(150);

/// Maximum number of verdicts; the oldest is dropped.
const MAX_VERDICTS: usize = 256;

/// A change that is worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Requests with these keys are refused from now on.
    Quarantined {
        /// Keys of the verdict.
        keys: Vec<SuspectKey>,
        /// Number of known crashes with such a request among the suspects.
        crashes: usize,
    },
    /// A request with these keys was answered, so they are no longer refused.
    Lifted(Vec<SuspectKey>),
    /// A request with these keys was answered, so that crashes speak against them no more.
    Cleared(Vec<SuspectKey>),
    /// Crashes do not suffice for a verdict; this key explains the most of them.
    Undecided {
        /// The key.
        key: SuspectKey,
        /// Number of crashes at different moments that it explains.
        crashes: usize,
    },
    /// The time of a verdict has passed; the next crash renews it.
    OnProbation(Vec<SuspectKey>),
}

/// State of one process.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::quarantine::{Crash, Quarantine, prompt_part_key};
///
/// let mut quarantine = Quarantine::default();
/// let keys = vec![prompt_part_key("bad")];
/// quarantine.record_answer(Duration::from_secs(1), Duration::ZERO, &[prompt_part_key("good")]);
/// for endpoint in 1..=3 {
///     let at = Duration::from_secs(endpoint);
///     quarantine.record_crash(at, Crash { endpoint, at, suspects: vec![keys.clone()] });
/// }
/// let now = Duration::from_secs(4);
/// assert!(quarantine.judge_at().is_some_and(|at| at <= now));
/// quarantine.judge(now);
/// assert!(quarantine.time_left(now, &keys).is_some());
/// assert!(quarantine.time_left(now, &[]).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: Crashes,
    answers: Answers,
    verdicts: Vec<Verdict>,
    /// What the verdicts refuse now.
    refusals: Vec<Refusal>,
    /// When to judge next.
    judge_at: Option<Moment>,
    /// Changes that other processes do not know yet.
    unreported: Unreported,
}

/// Requests with all of these keys are refused; they are those of a verdict that were not answered.
#[derive(Clone, Debug)]
struct Refusal {
    keys: Vec<SuspectKey>,
    until: Moment,
}

impl Refusal {
    fn concerns(&self, keys: &[SuspectKey]) -> bool {
        self.keys.iter().all(|key| keys.contains(key))
    }
}

#[derive(Clone, Debug, Default)]
struct Unreported {
    crashes: Vec<Crash>,
    answered: Vec<SuspectKey>,
    verdicts: Vec<Verdict>,
}

impl Unreported {
    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answered.is_empty() && self.verdicts.is_empty()
    }
}

impl Quarantine {
    /// Records a crash that this process noticed.
    pub fn record_crash(&mut self, now: Moment, crash: Crash) {
        if !self.crashes.add(crash.clone()) {
            return;
        }
        let keys: Vec<SuspectKey> = crash.suspects.iter().flatten().copied().collect();
        self.unreported.crashes.push(crash);
        self.report_answers(&keys);
        self.judge_at.get_or_insert(now + SETTLE_TIME);
    }

    /// Records that an endpoint answered a request with these keys and did not crash. `began_at` is when
    /// the endpoint began to answer it.
    pub fn record_answer(
        &mut self,
        now: Moment,
        began_at: Moment,
        keys: &[SuspectKey],
    ) -> Vec<Change> {
        let is_first = !self.answers.has_any() && !self.crashes.is_empty();
        if is_first {
            self.judge_at = Some(now);
        }
        let suspected = self.suspected(keys);
        self.answers.record(began_at, keys);
        self.unreported.answered.extend(&suspected);
        let cleared: Vec<SuspectKey> =
            suspected.into_iter().filter(|key| !self.is_suspected(*key)).collect();
        if !is_first && cleared.is_empty() {
            return Vec::new();
        }
        let changes = self.update_refusals(now);
        match changes.is_empty() && !cleared.is_empty() {
            true => vec![Change::Cleared(cleared)],
            false => changes,
        }
    }

    /// Whether a crash or a verdict speaks against a key and no answer clears it.
    fn is_suspected(&self, key: SuspectKey) -> bool {
        let crash = self.crashes.last_with(key);
        let verdicts = self.verdicts.iter().filter(|v| v.keys.contains(&key)).map(|v| v.at);
        verdicts.chain(crash).max().is_some_and(|at| !self.answers.clear(key, at))
    }

    /// Those of these keys that crashes speak against and no answer clears.
    pub fn suspected(&self, keys: &[SuspectKey]) -> Vec<SuspectKey> {
        keys.iter().copied().filter(|key| self.is_suspected(*key)).collect()
    }

    /// Applies what another process recorded; `None` if all of it was known.
    pub fn apply_report(&mut self, now: Moment, report: &QuarantineReport) -> Option<Vec<Change>> {
        let mut is_news = false;
        for crash in report::decode_crashes(now, report) {
            let keys: Vec<SuspectKey> = crash.suspects.iter().flatten().copied().collect();
            if self.crashes.add(crash) {
                is_news = true;
                self.report_answers(&keys);
                self.judge_at.get_or_insert(now + SETTLE_TIME);
            }
        }
        for (key, began_at) in report::decode_answers(now, report) {
            let known = self.answers.last(key);
            if known.is_none_or(|known| began_at > known + REPORT_TOLERANCE) {
                self.answers.record_reported(began_at, key);
                is_news = true;
            }
        }
        for verdict in report::decode_verdicts(now, report) {
            is_news |= self.add_verdict(verdict);
        }
        is_news.then(|| self.update_refusals(now))
    }

    /// When [`Self::judge`] is due; `None` if there is nothing to judge.
    pub fn judge_at(&self) -> Option<Moment> {
        self.judge_at
    }

    /// Time for which a request with these keys is refused; `None` if it is not.
    pub fn time_left(&self, now: Moment, keys: &[SuspectKey]) -> Option<Duration> {
        let concerning = self.refusals.iter().filter(|refusal| refusal.concerns(keys));
        let left = concerning.map(|refusal| refusal.until.saturating_sub(now));
        left.max().filter(|left| !left.is_zero())
    }

    /// Number of verdicts that refuse requests.
    pub fn refusing_count(&self) -> usize {
        self.refusals.len()
    }

    /// Whether there is something for [`Self::take_unreported`].
    pub fn has_unreported(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Takes what other processes do not know yet.
    pub fn take_unreported(&mut self, now: Moment) -> QuarantineReport {
        let Unreported { crashes, answered, verdicts } = std::mem::take(&mut self.unreported);
        let answered = answered.iter().filter_map(|key| Some((*key, self.answers.last(*key)?)));
        report::encode(now, crashes.iter(), answered, verdicts.iter())
    }

    /// All that concerns crashes, for a process that knows nothing.
    pub fn report_all(&self, now: Moment) -> QuarantineReport {
        let answered = self.answers.iter().filter(|(key, _)| self.is_mentioned(*key));
        report::encode(now, self.crashes.iter(), answered, self.verdicts.iter())
    }

    /// Drops what is too old, and returns the verdicts whose time has passed.
    pub fn expire(&mut self, now: Moment) -> Vec<Change> {
        self.crashes.expire(now);
        self.answers.expire(now);
        self.verdicts.retain(|v| !v.is_over(now));
        self.drop_unmentioned_answers();
        self.update_refusals(now)
    }

    /// Whether a key appears in a crash or a verdict.
    fn is_mentioned(&self, key: SuspectKey) -> bool {
        self.crashes.last_with(key).is_some() || self.verdicts.iter().any(|v| v.keys.contains(&key))
    }

    /// Drops unreported answers of keys that concern no crash any more. A process that only passes
    /// reports on never takes them.
    fn drop_unmentioned_answers(&mut self) {
        let mut answered = std::mem::take(&mut self.unreported.answered);
        answered.retain(|key| self.is_mentioned(*key));
        self.unreported.answered = answered;
    }

    /// Makes the next report tell which of these keys this process saw answered.
    fn report_answers(&mut self, keys: &[SuspectKey]) {
        let known = keys.iter().filter(|key| self.answers.is_own(**key));
        self.unreported.answered.extend(known);
        self.unreported.answered.sort_unstable();
        self.unreported.answered.dedup();
    }

    /// Adds a verdict or renews a known one; true if something was new.
    fn add_verdict(&mut self, verdict: Verdict) -> bool {
        if let Some(known) = self.verdicts.iter_mut().find(|v| v.keys == verdict.keys) {
            let is_news = verdict.at > known.at + REPORT_TOLERANCE;
            if is_news {
                known.at = verdict.at;
            }
            return is_news;
        }
        if self.verdicts.len() >= MAX_VERDICTS {
            self.verdicts.remove(0);
        }
        self.verdicts.push(verdict);
        true
    }

    /// Looks for verdicts in the crashes of which all entries have reported their suspects.
    pub fn judge(&mut self, now: Moment) -> Vec<Change> {
        self.renew_verdicts(now);
        let is_settled = |c: &&Crash| now.saturating_sub(c.at) >= SETTLE_TIME;
        let unsettled = self.crashes.iter().filter(|c| !is_settled(c)).map(|c| c.at);
        self.judge_at = unsettled.min().map(|at| at + SETTLE_TIME);
        let mut undecided = None;
        loop {
            let known = self.verdicts.iter().map(|v| v.suspicious_keys(&self.answers));
            let case = Case::new(self.crashes.iter().filter(is_settled), known, &self.answers);
            let keys = match case.judge() {
                Finding::Culprit(keys) => keys,
                Finding::Suspicion { key, crashes } => {
                    undecided = Some(Change::Undecided { key, crashes });
                    break;
                }
                Finding::Nothing => break,
            };
            let verdict = Verdict { keys, at: now };
            self.unreported.verdicts.push(verdict.clone());
            if !self.add_verdict(verdict) {
                break;
            }
        }
        let mut changes = self.update_refusals(now);
        changes.extend(undecided);
        changes
    }

    /// Renews verdicts on probation under which an endpoint crashed again.
    fn renew_verdicts(&mut self, now: Moment) {
        let answers = &self.answers;
        for verdict in self.verdicts.iter_mut().filter(|v| v.time_left(now).is_none()) {
            let keys = verdict.suspicious_keys(answers);
            let since = verdict.at + super::verdict::QUARANTINE_TIME;
            let mut later = self.crashes.iter().filter(|c| c.at >= since);
            if !keys.is_empty() && later.any(|c| c.has_suspect_with(&keys)) {
                verdict.at = now;
                self.unreported.verdicts.push(verdict.clone());
            }
        }
    }

    /// Recomputes what is refused, and returns what changed.
    fn update_refusals(&mut self, now: Moment) -> Vec<Change> {
        let build = |verdict: &Verdict| {
            let keys = verdict.suspicious_keys(&self.answers);
            let until = now + verdict.time_left(now)?;
            (!keys.is_empty()).then_some(Refusal { keys, until })
        };
        let mut refusals: Vec<Refusal> = self.verdicts.iter().filter_map(build).collect();
        self.drop_redundant(&mut refusals);
        let before = std::mem::replace(&mut self.refusals, refusals);
        self.describe_changes(now, &before)
    }

    /// Drops refusals of requests that are suspects only in crashes which another refusal explains as well,
    /// and that one explains more: they happened to be there.
    fn drop_redundant(&self, refusals: &mut Vec<Refusal>) {
        let crashes_of = |r: &Refusal| -> Vec<&Crash> {
            self.crashes.iter().filter(|c| c.has_suspect_with(&r.keys)).collect()
        };
        let crashes: Vec<Vec<&Crash>> = refusals.iter().map(crashes_of).collect();
        let is_redundant = |at: usize| {
            let is_explained = |crash: &&Crash| {
                (0..refusals.len()).any(|other| {
                    crashes[other].len() > crashes[at].len()
                        && crash.has_suspect_with(&refusals[other].keys)
                })
            };
            !crashes[at].is_empty() && crashes[at].iter().all(is_explained)
        };
        let mut kept: VecDeque<bool> = (0..refusals.len()).map(|at| !is_redundant(at)).collect();
        refusals.retain(|_| kept.pop_front().unwrap_or(true));
    }

    fn describe_changes(&self, now: Moment, before: &[Refusal]) -> Vec<Change> {
        let is_new = |r: &&Refusal| !before.iter().any(|earlier| earlier.keys == r.keys);
        let begun = self.refusals.iter().filter(is_new).map(|r| Change::Quarantined {
            keys: r.keys.clone(),
            crashes: self.crashes.iter().filter(|c| c.has_suspect_with(&r.keys)).count(),
        });
        // A refusal that lost a key still concerns the same requests, and more.
        let is_gone = |r: &&Refusal| !self.refusals.iter().any(|later| later.concerns(&r.keys));
        let ended = before.iter().filter(is_gone).map(|r| match r.until > now {
            true => Change::Lifted(r.keys.clone()),
            false => Change::OnProbation(r.keys.clone()),
        });
        begun.chain(ended).collect()
    }
}
