//! Value of a request to its caller, and the loss when it is late.
//!
//! The value is proportional to the tokens that the request needs and is the unit in which
//! placement compares costs.

/// Fraction of a request's value that is lost when the request is late.
pub const LATE_LOSS: f64 = 0.75;

/// Number of weighted tokens that make up one unit of value.
const TOKENS_A_UNIT: f64 = 10_000.0;

/// Weight of an output token relative to a prompt token.
const OUTPUT_WEIGHT: f64 = 5.0;

/// Fraction of the objective up to which a predicted first token is certain to be in time.
const SURE_SHARE: f64 = 0.6;

/// Value of a request that is answered in time.
///
/// ```
/// use bitternlead::gateway::worth::worth;
///
/// assert!(worth(200_000, 800) > 10.0 * worth(5_000, 1_500));
/// ```
pub fn worth(prompt: u64, output: u64) -> f64 {
    (prompt as f64 + OUTPUT_WEIGHT * output as f64) / TOKENS_A_UNIT
}

/// Expected fraction of the value that is lost when the first token is predicted at `share` of the
/// objective.
///
/// The loss rises linearly from [`ON_TIME_SHARE`] of the objective, because predictions are
/// inexact.
///
/// ```
/// use bitternlead::gateway::worth::{LATE_LOSS, probable_loss};
///
/// assert_eq!(probable_loss(0.3), 0.0);
/// assert_eq!(probable_loss(1.5), LATE_LOSS);
/// ```
pub fn probable_loss(share: f64) -> f64 {
    ((share - SURE_SHARE) / (1.0 - SURE_SHARE)).clamp(0.0, 1.0) * LATE_LOSS
}
