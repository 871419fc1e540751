//! How long an engine may take to answer before the request is sent to another one.
//!
//! This answers the loss of engines under load. An engine that waits for a lost helper sends nothing, and
//! neither does one that still prefills; only time tells them apart.

use std::time::Duration;

/// Multiple of the predicted time to the first token after which an engine counts as silent.
const USUAL_FACTOR: u32 = 3;

/// Time added to that multiple; engines give up on lost helpers within it.
const USUAL_MARGIN: Duration = Duration::from_millis(2500);

/// Least multiple of the predicted time that an engine gets, so that slow prefills are not abandoned.
const MIN_FACTOR: u32 = 2;

/// Time added to the least multiple.
const MIN_MARGIN: Duration = Duration::from_millis(1000);

/// Multiple of the predicted time that another engine needs to be in time.
const NEXT_ENGINE_FACTOR: f64 = 1.5;

/// Maximum wait for the answer of an engine, from the predicted time to the first token and the time
/// that is left until the objective.
///
/// A request is sent again while another engine can still be in time, provided that the first one had
/// twice the predicted time and a second. Otherwise the objective is missed either way, and the first
/// engine is waited for longer.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::gateway::head_timeout::head_timeout;
///
/// let ms = Duration::from_millis;
/// assert_eq!(head_timeout(ms(600), ms(4000)), ms(3100), "another engine is in time after 0.9 s");
/// assert_eq!(head_timeout(ms(100), ms(300)), ms(2800), "no other engine could be in time");
/// assert_eq!(head_timeout(ms(600), ms(60_000)), ms(4300));
/// ```
pub fn head_timeout(predicted: Duration, objective_left: Duration) -> Duration {
    let usual = predicted * USUAL_FACTOR + USUAL_MARGIN;
    let latest = objective_left.saturating_sub(predicted.mul_f64(NEXT_ENGINE_FACTOR));
    if latest < predicted * MIN_FACTOR + MIN_MARGIN { usual } else { usual.min(latest) }
}
