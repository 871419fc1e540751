//! Measures an engine's prefill rate from the arrival of first tokens.

use std::time::Duration;

use crate::ids::{Moment, Tokens};

/// Prefilled tokens from which the measured rate is reported.
const MIN_TOKENS_FOR_RATE: f64 = 20_000.0;

/// Prefilled tokens from which tokens and busy time are halved, so that older measurements lose
/// weight.
const DECAY_TOKENS: f64 = 400_000.0;

/// Prefill rate: tokens of prefilled prompts over the time in which at least one prompt waited for
/// its first token.
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
    pending_prompts: usize,
    counted_until: Moment,
    busy_time: Duration,
    tokens: f64,
}

impl PrefillMeter {
    /// Records that a prompt was sent to the engine.
    pub fn begin(&mut self, now: Moment) {
        self.add_busy_time(now);
        self.pending_prompts += 1;
    }

    /// Records that a prompt's prefill ended after `tokens` tokens; 0 if it was incomplete.
    pub fn end(&mut self, now: Moment, tokens: Tokens) {
        self.add_busy_time(now);
        self.pending_prompts = self.pending_prompts.saturating_sub(1);
        self.tokens += tokens as f64;
        if self.tokens > DECAY_TOKENS {
            self.tokens /= 2.0;
            self.busy_time /= 2;
        }
    }

    fn add_busy_time(&mut self, now: Moment) {
        if self.pending_prompts > 0 {
            self.busy_time += now.saturating_sub(self.counted_until);
        }
        self.counted_until = now;
    }

    /// Prefill rate in tokens a second; `None` until enough tokens were measured.
    pub fn rate(&self) -> Option<f64> {
        let seconds = self.busy_time.as_secs_f64();
        (self.tokens >= MIN_TOKENS_FOR_RATE && seconds > 0.0).then(|| self.tokens / seconds)
    }
}
