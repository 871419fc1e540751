//! What a request is worth to its caller, and what is lost when it is late.

/// Part of a request's worth that is lost when it is late.
pub const LATE_LOSS: f64 = 0.75;

/// Prompt tokens that count as one unit of worth.
const TOKENS_A_UNIT: f64 = 10_000.0;

/// Prompt tokens that an output token counts for.
const OUTPUT_WEIGHT: f64 = 5.0;

/// Share of the objective within which a prediction counts as in time for sure.
const SURE_SHARE: f64 = 0.6;

/// Worth of a request that is answered in time.
///
/// ```
/// use bitternlead::gateway::worth::worth;
///
/// assert!(worth(200_000, 800) > 10.0 * worth(5_000, 1_500));
/// ```
pub fn worth(prompt: u64, output: u64) -> f64 {
    (prompt as f64 + OUTPUT_WEIGHT * output as f64) / TOKENS_A_UNIT
}

/// Part of the worth that is probably lost by a first token predicted at this share of the
/// objective.
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
