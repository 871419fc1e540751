//! Replicated counts of requests and missed objectives, for the burn rate of the error budget.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::wire::{BurnCount, BurnReport, Outcome};

/// Retention of the counts in minutes: three days, the longest window of the burn report.
pub const BURN_RETENTION_MIN: u64 = 3 * 24 * 60;

/// Workspace and prompt class.
type BurnKey = (SmolStr, SmolStr);

/// Counts of one workspace and prompt class in one minute, or in one hour after merging.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    total: u64,
    missed: u64,
}

/// Counts within the retention, by minutes since 1970; older minutes are merged into hours.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BurnCounts {
    by_minute: BTreeMap<u64, BTreeMap<BurnKey, Counts>>,
}

/// Age in minutes up to which counts keep a resolution of one minute; the rest is merged by hour.
const UNMERGED_MIN: u64 = 120;

impl BurnCounts {
    /// Adds the counts of a report; `wall_ms` is the wall time of the command in milliseconds since
    /// 1970.
    pub fn add(&mut self, wall_ms: u64, report: BurnReport) -> Outcome {
        for count in report.counts {
            self.add_count(&count);
        }
        self.merge_and_expire(wall_ms / 60_000);
        Outcome { result: "ok".into(), ..Outcome::default() }
    }

    fn add_count(&mut self, count: &BurnCount) {
        let key = (SmolStr::new(&count.workspace), SmolStr::new(&count.class));
        let counts = self.by_minute.entry(count.minute).or_default().entry(key).or_default();
        counts.total += count.total;
        counts.missed += count.missed;
    }

    /// Drops counts older than the retention and merges minutes older than [`UNMERGED_MIN`].
    fn merge_and_expire(&mut self, now_min: u64) {
        let oldest = now_min.saturating_sub(BURN_RETENTION_MIN);
        self.by_minute = self.by_minute.split_off(&oldest);
        let unmerged_from = now_min.saturating_sub(UNMERGED_MIN) / 60 * 60;
        let to_merge: Vec<u64> = self
            .by_minute
            .range(..unmerged_from)
            .map(|(m, _)| *m)
            .filter(|m| m % 60 != 0)
            .collect();
        for minute in to_merge {
            let Some(counts) = self.by_minute.remove(&minute) else { continue };
            let hour = self.by_minute.entry(minute / 60 * 60).or_default();
            for (key, c) in counts {
                let sum = hour.entry(key).or_default();
                sum.total += c.total;
                sum.missed += c.missed;
            }
        }
    }

    /// All counts in the order of their minutes.
    pub fn export(&self) -> Vec<BurnCount> {
        let mut all = Vec::new();
        for (minute, counts) in &self.by_minute {
            for ((workspace, class), c) in counts {
                all.push(BurnCount {
                    workspace: workspace.to_string(),
                    class: class.to_string(),
                    minute: *minute,
                    total: c.total,
                    missed: c.missed,
                });
            }
        }
        all
    }

    /// Builds the counts from the result of [`BurnCounts::export`].
    pub fn import(all: Vec<BurnCount>) -> Self {
        let mut burn = Self::default();
        for count in all {
            burn.add_count(&count);
        }
        burn
    }
}
