//! Exponentially weighted moving average over irregular samples.

use std::time::Duration;

use crate::ids::Moment;

/// Time in which the weight of earlier samples falls to 1/e.
const FADE: Duration = Duration::from_millis(1500);

/// Moving average over the last seconds, starting from 0.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::gateway::smoothed::Smoothed;
///
/// let mut mean = Smoothed::default();
/// let soon = mean.note(Duration::from_millis(100), 10.0);
/// let later = mean.note(Duration::from_secs(20), 10.0);
/// assert!(soon < 1.0 && later > 9.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Smoothed {
    value: f64,
    noted_at: Moment,
}

impl Smoothed {
    /// Adds a sample and returns the new average.
    pub fn note(&mut self, now: Moment, number: f64) -> f64 {
        let passed = now.saturating_sub(self.noted_at).as_secs_f64();
        let kept = (-passed / FADE.as_secs_f64()).exp();
        self.value = self.value * kept + number * (1.0 - kept);
        self.noted_at = now;
        self.value
    }
}
