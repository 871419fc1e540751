//! Durable counts of requests and missed objectives by workspace, prompt class and minute.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::wire::{BurnCount, BurnReport, Outcome};

/// Minutes that counts are kept: three days, the longest window of the report.
pub const BURN_RETENTION_MIN: u64 = 3 * 24 * 60;

type BurnKey = (SmolStr, SmolStr);

/// Counts of one minute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    total: u64,
    missed: u64,
}

/// All counts within their retention; older minutes are merged to whole hours.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BurnCounts {
    by_minute: BTreeMap<u64, BTreeMap<BurnKey, Counts>>,
}

/// Minutes that are kept singly; older ones are merged to hours.
const FINE_MIN: u64 = 120;

impl BurnCounts {
    /// Adds a report at a wall time.
    pub fn add(&mut self, wall_ms: u64, report: BurnReport) -> Outcome {
        for count in report.counts {
            self.add_count(&count);
        }
        self.age(wall_ms / 60_000);
        Outcome { result: "ok".into(), ..Outcome::default() }
    }

    fn add_count(&mut self, count: &BurnCount) {
        let key = (SmolStr::new(&count.workspace), SmolStr::new(&count.class));
        let counts = self.by_minute.entry(count.minute).or_default().entry(key).or_default();
        counts.total += count.total;
        counts.missed += count.missed;
    }

    fn age(&mut self, now_min: u64) {
        let oldest = now_min.saturating_sub(BURN_RETENTION_MIN);
        self.by_minute = self.by_minute.split_off(&oldest);
        let fine_from = now_min.saturating_sub(FINE_MIN) / 60 * 60;
        let coarse: Vec<u64> =
            self.by_minute.range(..fine_from).map(|(m, _)| *m).filter(|m| m % 60 != 0).collect();
        for minute in coarse {
            let Some(counts) = self.by_minute.remove(&minute) else { continue };
            let hour = self.by_minute.entry(minute / 60 * 60).or_default();
            for (key, c) in counts {
                let sum = hour.entry(key).or_default();
                sum.total += c.total;
                sum.missed += c.missed;
            }
        }
    }

    /// All counts, oldest first.
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

    /// Builds the counts from an export.
    pub fn import(all: Vec<BurnCount>) -> Self {
        let mut burn = Self::default();
        for count in all {
            burn.add_count(&count);
        }
        burn
    }
}
