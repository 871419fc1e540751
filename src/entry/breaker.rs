//! Keeps attempts away from an endpoint that fails again and again.

use std::time::Duration;

use crate::ids::Moment;

/// Failures in a row after which the breaker opens.
const MOST_FAILURES: u32 = 3;

/// First time that it stays open.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest time that it stays open.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// Circuit breaker of one endpoint.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::entry::breaker::Breaker;
///
/// let mut breaker = Breaker::default();
/// for _ in 0..3 {
///     breaker.failed(Duration::ZERO);
/// }
/// assert!(!breaker.allows(Duration::from_millis(100)));
/// assert!(breaker.allows(Duration::from_millis(600)));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Breaker {
    failures: u32,
    open_until: Moment,
    probing_until: Moment,
}

impl Breaker {
    /// Whether an attempt may be sent.
    pub fn allows(&self, now: Moment) -> bool {
        self.failures < MOST_FAILURES || (now >= self.open_until && now >= self.probing_until)
    }

    /// Notes that an attempt is sent; while the breaker is half open it is the only one.
    pub fn sent(&mut self, now: Moment) {
        if self.failures >= MOST_FAILURES {
            self.probing_until = now + FIRST_PAUSE;
        }
    }

    /// Notes an attempt that ended well.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Notes an attempt that the endpoint failed.
    pub fn failed(&mut self, now: Moment) {
        self.failures += 1;
        let doubled = self.failures.saturating_sub(MOST_FAILURES).min(6);
        let pause = (FIRST_PAUSE * 2u32.pow(doubled)).min(LONGEST_PAUSE);
        self.open_until = now + pause;
    }
}
