//! Retry budget per service, divided between all entries.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::Moment;

/// Fraction of an entry's share that it uses, so that the total stays within the bound while
/// entries disagree about their number.
const USABLE_SHARE: f64 = 0.6;

/// Bound on the retries of all entries in any time window.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries allowed for each request in the window.
    pub ratio: f64,
    /// Retries allowed in the window in addition to `ratio`, over all entries.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) }
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Moment,
}

/// Retries that this entry may still make, by service: a token bucket for each.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::gateway::budget::{BudgetConfig, RetryBudget};
///
/// let cfg = BudgetConfig { ratio: 0.0, slack: 10.0, ..BudgetConfig::default() };
/// let mut budget = RetryBudget::new(cfg);
/// let taken = (0..20).filter(|_| budget.try_withdraw(Duration::ZERO, "s", 1)).count();
/// assert_eq!(taken, 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    cfg: BudgetConfig,
    buckets: HashMap<SmolStr, Bucket>,
}

impl RetryBudget {
    /// Builds a budget whose buckets start full.
    pub fn new(cfg: BudgetConfig) -> Self {
        Self { cfg, buckets: HashMap::new() }
    }

    /// Adds the share of one request of a caller; `entries` is the number of entries.
    pub fn record_request(&mut self, now: Moment, service: &str, entries: usize) {
        let ratio = self.cfg.ratio * USABLE_SHARE;
        let capacity = self.capacity(entries);
        let bucket = self.refill(now, service, entries);
        bucket.tokens = (bucket.tokens + ratio).min(capacity);
    }

    /// Whether a retry is available.
    pub fn has(&mut self, now: Moment, service: &str, entries: usize) -> bool {
        self.refill(now, service, entries).tokens >= 1.0
    }

    /// Withdraws one retry from the budget; false if none is available.
    pub fn try_withdraw(&mut self, now: Moment, service: &str, entries: usize) -> bool {
        let bucket = self.refill(now, service, entries);
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Capacity of a bucket. It is half of the share, because a window may begin with a full
    /// bucket and still receives the refill.
    fn capacity(&self, entries: usize) -> f64 {
        (self.cfg.slack * USABLE_SHARE / 2.0 / entries.max(1) as f64).max(1.0)
    }

    fn refill(&mut self, now: Moment, service: &str, entries: usize) -> &mut Bucket {
        let capacity = self.capacity(entries);
        let refill_per_s = capacity / self.cfg.window.as_secs_f64();
        let full_bucket = Bucket { tokens: capacity, refilled_at: now };
        let bucket = self.buckets.entry(SmolStr::new(service)).or_insert(full_bucket);
        let elapsed_s = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed_s * refill_per_s).min(capacity);
        bucket.refilled_at = now;
        bucket
    }
}
