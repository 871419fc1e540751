//! The prefill rate that an engine really sustains, measured from its first tokens.

use std::time::Duration;

use crate::ids::{Moment, Tokens};

/// Prefill tokens after which the measured rate is trusted.
const TRUSTED: f64 = 20_000.0;

/// Prefill tokens after which older ones have lost half of their weight.
const HALF_LIFE: f64 = 400_000.0;

/// Tokens read while at least one prompt waits for its first token, over that time.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::agent::prefill_meter::PrefillMeter;
///
/// let mut meter = PrefillMeter::default();
/// meter.begin(Duration::ZERO);
/// meter.end(Duration::from_secs(2), 40_000);
/// assert_eq!(meter.rate(), Some(20_000.0));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PrefillMeter {
    waiting: usize,
    counted_to: Moment,
    busy: Duration,
    tokens: f64,
}

impl PrefillMeter {
    /// Notes that a prompt was handed to the engine.
    pub fn begin(&mut self, now: Moment) {
        self.count(now);
        self.waiting += 1;
    }

    /// Notes that a prompt's prefill ended, with the tokens that were read for it.
    pub fn end(&mut self, now: Moment, tokens: Tokens) {
        self.count(now);
        self.waiting = self.waiting.saturating_sub(1);
        self.tokens += tokens as f64;
        if self.tokens > HALF_LIFE {
            self.tokens /= 2.0;
            self.busy /= 2;
        }
    }

    fn count(&mut self, now: Moment) {
        if self.waiting > 0 {
            self.busy += now.saturating_sub(self.counted_to);
        }
        self.counted_to = now;
    }

    /// Tokens a second, once enough were seen.
    pub fn rate(&self) -> Option<f64> {
        let seconds = self.busy.as_secs_f64();
        (self.tokens >= TRUSTED && seconds > 0.0).then(|| self.tokens / seconds)
    }
}
