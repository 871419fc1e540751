//! Refuses requests that exceed the rate or concurrency limit of their workspace.

use std::time::Duration;

use viz::StatusCode;

use super::{Filter, FilterState};
use crate::entry::failure::Failure;
use crate::entry::limits::LimitExceeded;

/// Admits a request within the limits of its workspace and stores the permit in the state.
pub struct WithinLimits;

impl Filter for WithinLimits {
    fn check(&self, state: &mut FilterState) -> Result<(), Failure> {
        let Some(workspace) = &state.workspace else { return Ok(()) };
        let share = state.view.limit_share();
        let admitted = state.limits.admit(state.node.now(), workspace, share);
        let (code, wait) = match admitted {
            Ok(permit) => {
                state.permit = Some(permit);
                return Ok(());
            }
            Err(LimitExceeded::Rate(wait)) => ("rate_limit", wait.max(Duration::from_secs(1))),
            Err(LimitExceeded::Concurrency) => ("concurrency_limit", Duration::from_secs(1)),
        };
        let text = format!("workspace {} is over its limit", workspace.name);
        Err(Failure::not_run(StatusCode::TOO_MANY_REQUESTS, code, text).with_retry_after(wait))
    }
}
