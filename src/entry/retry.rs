//! Retry policy: only retries that are safe, within a budget, with exponential backoff and jitter.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::derive_value;
use crate::ids::Moment;

/// Upper bound of the random pause before the first retry; it doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Upper bound of the random pause before any retry.
const MAX_BACKOFF: Duration = Duration::from_millis(640);

/// Largest number of attempts of one request, the first one included.
pub const MAX_ATTEMPTS: u32 = 6;

/// Initial balance of a workspace's budget, so that retries work before it has sent many requests.
const INITIAL_RETRIES: f64 = 10.0;

/// Largest balance of a workspace's budget, in retries.
const MAX_SAVED_RETRIES: f64 = 200.0;

derive_value! {
    /// Retry budget of one workspace, which limits retries to a percentage of its first attempts.
    ///
    /// It keeps retries from multiplying the load while many endpoints fail.
    pub struct RetryBudget {
        balance: f64,
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: INITIAL_RETRIES }
    }
}

impl RetryBudget {
    /// Credits the budget for a new request; `percent` is the share of retries allowed.
    pub fn deposit(&mut self, percent: u64) {
        self.balance = (self.balance + percent as f64 / 100.0).min(MAX_SAVED_RETRIES);
    }

    /// Withdraws one retry, or returns false when the budget is exhausted.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Whether a failed attempt may have been executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The attempt did not run and never will, so a retry is always safe.
    NotRun,
    /// The attempt may have run, so only an idempotent call may be retried.
    Unknown,
}

/// What follows a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Make another attempt after this pause.
    RetryAfter(Duration),
    /// Report the failure to the client now.
    GiveUp,
}

/// Retry state of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryState {
    /// Whether the call may safely run more than once.
    pub idempotent: bool,
    /// Deadline of the request; no retry starts after it.
    pub deadline: Moment,
    /// Number of attempts made so far, the current one included.
    pub attempts: u32,
}

impl RetryState {
    /// Decides whether a failed attempt is retried, and withdraws from the budget if so.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bitternlead::entry::retry::{Execution, RetryDecision, RetryBudget, RetryState};
    /// use rand::SeedableRng;
    ///
    /// let deadline = Duration::from_secs(9);
    /// let mut state = RetryState { idempotent: false, deadline, attempts: 1 };
    /// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    /// let mut budget = RetryBudget::default();
    /// let decision = state.decide(Duration::ZERO, &Execution::Unknown, &mut budget, &mut rng);
    /// assert_eq!(decision, RetryDecision::GiveUp);
    /// ```
    pub fn decide(
        &mut self,
        now: Moment,
        execution: &Execution,
        budget: &mut RetryBudget,
        rng: &mut ChaCha8Rng,
    ) -> RetryDecision {
        if *execution == Execution::Unknown && !self.idempotent {
            return RetryDecision::GiveUp;
        }
        if self.attempts >= MAX_ATTEMPTS {
            return RetryDecision::GiveUp;
        }
        let max_pause = INITIAL_BACKOFF * 2u32.pow(self.attempts.saturating_sub(1).min(5));
        let max_pause = max_pause.min(MAX_BACKOFF).as_millis() as u64;
        let pause = Duration::from_millis(rng.random_range(0..=max_pause));
        if now + pause >= self.deadline || !budget.try_withdraw() {
            return RetryDecision::GiveUp;
        }
        RetryDecision::RetryAfter(pause)
    }
}
