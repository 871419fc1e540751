//! Reports between processes. Times travel as ages, because clocks of hosts differ.

use std::time::Duration;

use super::crash::Crash;
use super::verdict::Verdict;
use super::{MAX_KEYS, SuspectKey};
use crate::ids::Moment;
use crate::wire::{CrashRecord, QuarantineReport, SuspectAnswer, SuspectRequest, VerdictRecord};

fn age_ms(now: Moment, at: Moment) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}

fn moment(now: Moment, age_ms: u64) -> Moment {
    now.saturating_sub(Duration::from_millis(age_ms))
}

pub(super) fn encode<'a>(
    now: Moment,
    crashes: impl Iterator<Item = &'a Crash>,
    answered: impl Iterator<Item = (SuspectKey, Moment)>,
    verdicts: impl Iterator<Item = &'a Verdict>,
) -> QuarantineReport {
    let crashes = crashes.map(|c| CrashRecord {
        endpoint: c.endpoint,
        age_ms: age_ms(now, c.at),
        suspects: c.suspects.iter().map(|s| SuspectRequest { keys: s.clone() }).collect(),
    });
    let answered = answered.map(|(key, at)| SuspectAnswer { key, age_ms: age_ms(now, at) });
    let verdicts =
        verdicts.map(|v| VerdictRecord { keys: v.keys.clone(), age_ms: age_ms(now, v.at) });
    QuarantineReport {
        crashes: crashes.collect(),
        answered: answered.collect(),
        verdicts: verdicts.collect(),
    }
}

pub(super) fn decode_crashes(
    now: Moment,
    report: &QuarantineReport,
) -> impl Iterator<Item = Crash> {
    report.crashes.iter().map(move |c| Crash {
        endpoint: c.endpoint,
        at: moment(now, c.age_ms),
        suspects: c.suspects.iter().map(|s| s.keys.clone()).collect(),
    })
}

pub(super) fn decode_answers(
    now: Moment,
    report: &QuarantineReport,
) -> impl Iterator<Item = (SuspectKey, Moment)> {
    report.answered.iter().map(move |a| (a.key, moment(now, a.age_ms)))
}

/// Decodes verdicts; those without keys would refuse everything and are left out.
pub(super) fn decode_verdicts(
    now: Moment,
    report: &QuarantineReport,
) -> impl Iterator<Item = Verdict> {
    let records = report.verdicts.iter().filter(|v| !v.keys.is_empty());
    records.map(move |v| {
        let mut keys = v.keys.clone();
        keys.truncate(MAX_KEYS);
        keys.sort_unstable();
        Verdict { keys, at: moment(now, v.age_ms) }
    })
}
