//! Refuses requests while this entry may take no new work.

use std::time::Duration;

use viz::StatusCode;

use super::{Filter, RequestState};
use crate::entry::failure::Failure;

/// Needs the configuration lease, and no drain.
pub struct Ready;

impl Filter for Ready {
    fn check(&self, state: &mut RequestState) -> Result<(), Failure> {
        if state.node.accepts_work() {
            return Ok(());
        }
        let text = "this entry takes no new work now; ask again, another one may answer";
        let failure = Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", text);
        Err(failure.after(Duration::from_secs(1)))
    }
}
