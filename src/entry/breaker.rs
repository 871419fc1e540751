//! Circuit breaker, which stops attempts to an endpoint that fails repeatedly.

use std::time::Duration;

use crate::ids::Moment;

/// Consecutive failures after which the breaker opens.
const FAILURE_THRESHOLD: u32 = 3;

/// Time that the breaker stays open at first; it doubles with each failed probe. A probe without
/// a result blocks further probes for the same time.
const INITIAL_OPEN_TIME: Duration = Duration::from_millis(500);

/// Longest time that the breaker stays open.
const MAX_OPEN_TIME: Duration = Duration::from_secs(10);

/// Circuit breaker of one endpoint.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::entry::breaker::CircuitBreaker;
///
/// let mut breaker = CircuitBreaker::default();
/// for _ in 0..3 {
///     breaker.on_failure(Duration::ZERO);
/// }
/// assert!(!breaker.allows(Duration::from_millis(100)));
/// assert!(breaker.allows(Duration::from_millis(600)));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CircuitBreaker {
    failures: u32,
    open_until: Moment,
    probe_until: Moment,
}

impl CircuitBreaker {
    /// Returns whether an attempt may be sent: the breaker is closed, or a probe is due.
    pub fn allows(&self, now: Moment) -> bool {
        self.failures < FAILURE_THRESHOLD || (now >= self.open_until && now >= self.probe_until)
    }

    /// Records a sent attempt. While the breaker is half open, it is the only probe.
    pub fn on_sent(&mut self, now: Moment) {
        if self.failures >= FAILURE_THRESHOLD {
            self.probe_until = now + INITIAL_OPEN_TIME;
        }
    }

    /// Records a successful attempt and closes the breaker.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed attempt; at the threshold the breaker opens.
    pub fn on_failure(&mut self, now: Moment) {
        self.failures += 1;
        let doublings = self.failures.saturating_sub(FAILURE_THRESHOLD).min(6);
        let open_time = (INITIAL_OPEN_TIME * 2u32.pow(doublings)).min(MAX_OPEN_TIME);
        self.open_until = now + open_time;
    }
}
