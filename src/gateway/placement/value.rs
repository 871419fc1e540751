//! Value of a request to its caller, and the loss when it is late.
//!
//! The value is proportional to the tokens that the request needs and is the unit in which
//! placement compares costs.

/// Fraction of a request's value that is lost when the request is late.
pub const LATE_LOSS_SHARE: f64 = 0.75;

/// Number of weighted tokens that make up one unit of value.
const TOKENS_PER_VALUE_UNIT: f64 = 10_000.0;

/// Weight of an output token relative to a prompt token.
const OUTPUT_TOKEN_WEIGHT: f64 = 5.0;

/// Fraction of the objective up to which a predicted first token is certain to be in time.
const ON_TIME_SHARE: f64 = 0.6;

/// Value of a request that is answered in time.
///
/// ```
/// use bitternlead::gateway::placement::value::value;
///
/// assert!(value(200_000, 800) > 10.0 * value(5_000, 1_500));
/// ```
pub fn value(prompt_tokens: u64, output_tokens: u64) -> f64 {
    (prompt_tokens as f64 + OUTPUT_TOKEN_WEIGHT * output_tokens as f64) / TOKENS_PER_VALUE_UNIT
}

/// Expected fraction of the value that is lost when the first token is predicted at `share` of the
/// objective.
///
/// The loss rises linearly from `ON_TIME_SHARE` of the objective, because predictions are
/// inexact.
///
/// ```
/// use bitternlead::gateway::placement::value::{LATE_LOSS_SHARE, expected_loss};
///
/// assert_eq!(expected_loss(0.3), 0.0);
/// assert_eq!(expected_loss(1.5), LATE_LOSS_SHARE);
/// ```
pub fn expected_loss(share: f64) -> f64 {
    ((share - ON_TIME_SHARE) / (1.0 - ON_TIME_SHARE)).clamp(0.0, 1.0) * LATE_LOSS_SHARE
}
