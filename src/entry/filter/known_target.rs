//! Refuses models and services that the configuration does not name.

use viz::StatusCode;

use super::{Filter, RequestState};
use crate::entry::failure::Failure;

/// Needs a configured model or service.
pub struct KnownTarget;

impl Filter for KnownTarget {
    fn check(&self, state: &mut RequestState) -> Result<(), Failure> {
        let config = state.node.config();
        let known = match state.target.strip_prefix("service:") {
            Some(service) => config.services.contains_key(service),
            None => config.models.contains_key(&state.target),
        };
        if known {
            return Ok(());
        }
        let text = format!("{} is not configured here", state.target);
        Err(Failure::not_run(StatusCode::NOT_FOUND, "unknown_target", text))
    }
}
