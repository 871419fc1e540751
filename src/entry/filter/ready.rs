//! Refuses requests while this entry is not ready or is draining.

use std::time::Duration;

use viz::StatusCode;

use super::{Filter, FilterState};
use crate::entry::failure::Failure;

/// Requires a valid configuration lease and that the entry is not draining.
pub struct Ready;

impl Filter for Ready {
    fn check(&self, state: &mut FilterState) -> Result<(), Failure> {
        if state.node.accepts_work() {
            return Ok(());
        }
        let text = "this entry takes no new work now; ask again, another one may answer";
        let failure = Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", text);
        Err(failure.with_retry_after(Duration::from_secs(1)))
    }
}
