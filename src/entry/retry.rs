//! Retries: only what is safe, within a budget, with backoff and jitter.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::ids::Moment;
use crate::plain;

/// First pause before a retry.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);

/// Longest pause before a retry.
const LONGEST_BACKOFF: Duration = Duration::from_millis(640);

/// Attempts of one request at most.
pub const MOST_ATTEMPTS: u32 = 6;

/// Retries that a workspace may always make before its share counts.
const RESERVE: f64 = 10.0;

/// Retries that a workspace may save up.
const MOST_SAVED: f64 = 200.0;

plain! {
    /// Budget of one workspace: a share of its fresh requests.
    pub struct RetryBudget {
        left: f64,
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { left: RESERVE }
    }
}

impl RetryBudget {
    /// Notes a fresh request.
    pub fn fresh(&mut self, percent: u64) {
        self.left = (self.left + percent as f64 / 100.0).min(MOST_SAVED);
    }

    /// Takes one retry; false when the budget is spent.
    pub fn take(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

/// How an attempt ended without a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try again after a pause.
    Again(Duration),
    /// Give the final answer now.
    Stop,
}

/// One request's retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryPlan {
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Moment by which the request finishes or fails.
    pub deadline: Moment,
    /// Attempts made so far.
    pub attempts: u32,
}

impl RetryPlan {
    /// Decides after a failed attempt.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bitternlead::entry::retry::{Ending, Next, RetryBudget, RetryPlan};
    /// use rand::SeedableRng;
    ///
    /// let mut plan = RetryPlan { idempotent: false, deadline: Duration::from_secs(9), attempts: 1 };
    /// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    /// let mut budget = RetryBudget::default();
    /// let next = plan.decide(Duration::ZERO, &Ending::Unknown, &mut budget, &mut rng);
    /// assert_eq!(next, Next::Stop);
    /// ```
    pub fn decide(
        &mut self,
        now: Moment,
        ending: &Ending,
        budget: &mut RetryBudget,
        rng: &mut ChaCha8Rng,
    ) -> Next {
        if *ending == Ending::Unknown && !self.idempotent {
            return Next::Stop;
        }
        if self.attempts >= MOST_ATTEMPTS {
            return Next::Stop;
        }
        let longest = FIRST_BACKOFF * 2u32.pow(self.attempts.saturating_sub(1).min(5));
        let longest = longest.min(LONGEST_BACKOFF).as_millis() as u64;
        let pause = Duration::from_millis(rng.random_range(0..=longest));
        if now + pause >= self.deadline || !budget.take() {
            return Next::Stop;
        }
        Next::Again(pause)
    }
}
