//! What is known of poison requests: crashes, keys that were answered, and verdicts.
//!
//! All three only grow, apart from what expires, so that reports may arrive in any order and more
//! than once. A verdict is lifted by a record of an answer, not by its removal.

use std::collections::HashMap;
use std::time::Duration;

use super::crash::{Crash, Crashes};
use super::verdict::{Verdict, find_culprit};
use super::{SuspectKey, report};
use crate::ids::Moment;
use crate::wire::QuarantineReport;

/// Time for which it is remembered that a key was answered without a crash.
const ANSWERED_TTL: Duration = Duration::from_secs(600);

/// Number of keys for which that is remembered; the oldest half is dropped at that number.
const MAX_ANSWERED: usize = 8192;

/// Age of a record of an answer, or of a verdict, from which a newer one is worth a report. Times
/// from reports are inexact by the time that these take.
const REFRESH_TIME: Duration = Duration::from_secs(60);

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
/// quarantine.record_answer(Duration::ZERO, &[prompt_part_key("good")]);
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
    /// When each key was answered without a crash, last.
    answered: HashMap<SuspectKey, Moment>,
    /// Whether any request was answered without a crash, with or without keys.
    has_answers: bool,
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

    /// Records that an endpoint answered a request with these keys and did not crash.
    pub fn record_answer(&mut self, now: Moment, keys: &[SuspectKey]) -> Vec<Change> {
        let mut is_news = false;
        if !std::mem::replace(&mut self.has_answers, true) && !self.crashes.is_empty() {
            self.judge_at = Some(now);
            is_news = true;
        }
        for key in keys {
            let before = self.answered.insert(*key, now);
            let is_recent = before.is_some_and(|at| now.saturating_sub(at) < REFRESH_TIME);
            if !is_recent && self.is_mentioned(*key) {
                self.unreported.answered.push(*key);
                is_news = true;
            }
        }
        if self.answered.len() > MAX_ANSWERED {
            self.drop_oldest_answers();
        }
        if is_news { self.update_refusals(now) } else { Vec::new() }
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
        for (key, at) in report::decode_answers(now, report) {
            let known = self.answered.get(&key).copied();
            if known.is_none_or(|known| at > known + REFRESH_TIME) {
                self.answered.insert(key, at);
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
        let answered = answered.iter().filter_map(|key| Some((*key, *self.answered.get(key)?)));
        report::encode(now, crashes.iter(), answered, verdicts.iter())
    }

    /// All that concerns crashes, for a process that knows nothing.
    pub fn report_all(&self, now: Moment) -> QuarantineReport {
        let answered = self.answered.iter().filter(|(key, _)| self.is_mentioned(**key));
        let answered = answered.map(|(key, at)| (*key, *at));
        report::encode(now, self.crashes.iter(), answered, self.verdicts.iter())
    }

    /// Drops what is too old, and returns the verdicts whose time has passed.
    pub fn expire(&mut self, now: Moment) -> Vec<Change> {
        self.crashes.expire(now);
        self.answered.retain(|_, at| now.saturating_sub(*at) < ANSWERED_TTL);
        self.verdicts.retain(|v| !v.is_over(now));
        self.drop_unmentioned_answers();
        self.update_refusals(now)
    }

    /// Whether a key appears in a crash or a verdict.
    fn is_mentioned(&self, key: SuspectKey) -> bool {
        self.crashes.mention(key) || self.verdicts.iter().any(|v| v.keys.contains(&key))
    }

    /// Drops unreported answers of keys that concern no crash any more. A process that only passes
    /// reports on never takes them.
    fn drop_unmentioned_answers(&mut self) {
        let mut answered = std::mem::take(&mut self.unreported.answered);
        answered.retain(|key| self.is_mentioned(*key));
        self.unreported.answered = answered;
    }

    /// Makes the next report tell which of these keys this process knows to be answered.
    fn report_answers(&mut self, keys: &[SuspectKey]) {
        let known = keys.iter().filter(|key| self.answered.contains_key(key));
        self.unreported.answered.extend(known);
        self.unreported.answered.sort_unstable();
        self.unreported.answered.dedup();
    }

    /// Adds a verdict or renews a known one; true if something was new.
    fn add_verdict(&mut self, verdict: Verdict) -> bool {
        if let Some(known) = self.verdicts.iter_mut().find(|v| v.keys == verdict.keys) {
            let is_news = verdict.at > known.at + REFRESH_TIME;
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
        loop {
            let answered = &self.answered;
            let was_answered = |key: SuspectKey| answered.contains_key(&key);
            let known: Vec<Vec<SuspectKey>> =
                self.verdicts.iter().map(|v| v.suspicious_keys(was_answered)).collect();
            let known: Vec<_> = known.into_iter().filter(|keys| !keys.is_empty()).collect();
            let crashes: Vec<&Crash> = self.crashes.iter().filter(is_settled).collect();
            let is_serving = self.has_answers || !self.answered.is_empty();
            let found = find_culprit(&crashes, &known, is_serving, was_answered);
            let Some(keys) = found else { break };
            let verdict = Verdict { keys, at: now };
            self.unreported.verdicts.push(verdict.clone());
            if !self.add_verdict(verdict) {
                break;
            }
        }
        self.update_refusals(now)
    }

    /// Renews verdicts on probation under which an endpoint crashed again.
    fn renew_verdicts(&mut self, now: Moment) {
        let answered = &self.answered;
        for verdict in self.verdicts.iter_mut().filter(|v| v.time_left(now).is_none()) {
            let keys = verdict.suspicious_keys(|key| answered.contains_key(&key));
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
        let answered = &self.answered;
        let build = |verdict: &Verdict| {
            let keys = verdict.suspicious_keys(|key| answered.contains_key(&key));
            let until = now + verdict.time_left(now)?;
            (!keys.is_empty()).then_some(Refusal { keys, until })
        };
        let refusals = self.verdicts.iter().filter_map(build).collect();
        let before = std::mem::replace(&mut self.refusals, refusals);
        self.describe_changes(now, &before)
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

    fn drop_oldest_answers(&mut self) {
        let mut times: Vec<Moment> = self.answered.values().copied().collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.answered.retain(|_, at| *at > median);
    }
}
