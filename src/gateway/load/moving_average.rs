//! Exponentially weighted moving average over irregular samples.

use std::time::Duration;

use crate::ids::Moment;

/// Time in which the weight of earlier samples falls to 1/e.
const TIME_CONSTANT: Duration = Duration::from_millis(1500);

/// Minimum age of the last sample at which another one is taken, where samples are costly. It is a
/// small part of [`TIME_CONSTANT`], so that the average differs little.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Moving average over the last seconds, starting from 0.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::gateway::load::moving_average::MovingAverage;
///
/// let mut mean = MovingAverage::default();
/// let soon = mean.record(Duration::from_millis(100), 10.0);
/// let later = mean.record(Duration::from_secs(20), 10.0);
/// assert!(soon < 1.0 && later > 9.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct MovingAverage {
    value: f64,
    sampled_at: Moment,
}

impl MovingAverage {
    /// Adds a sample if the last one is older than `SAMPLE_INTERVAL`, and returns the average.
    pub fn record_due(&mut self, now: Moment, sample: impl FnOnce() -> f64) -> f64 {
        if now.saturating_sub(self.sampled_at) < SAMPLE_INTERVAL {
            return self.value;
        }
        self.record(now, sample())
    }

    /// Adds a sample and returns the new average.
    pub fn record(&mut self, now: Moment, sample: f64) -> f64 {
        let elapsed_s = now.saturating_sub(self.sampled_at).as_secs_f64();
        let weight = (-elapsed_s / TIME_CONSTANT.as_secs_f64()).exp();
        self.value = self.value * weight + sample * (1.0 - weight);
        self.sampled_at = now;
        self.value
    }
}
