//! Authenticates requests by their bearer key.

use viz::StatusCode;

use super::{Filter, FilterState};
use crate::entry::failure::Failure;

/// Requires a known bearer key and stores its workspace in the state.
pub struct Authenticate;

impl Filter for Authenticate {
    fn check(&self, state: &mut FilterState) -> Result<(), Failure> {
        let config = state.node.config();
        let workspace = state.bearer.as_deref().and_then(|key| config.workspace_for_key(key));
        state.workspace = workspace;
        if state.workspace.is_some() {
            return Ok(());
        }
        let text = "no workspace has this key; send Authorization: Bearer KEY";
        Err(Failure::not_run(StatusCode::UNAUTHORIZED, "invalid_key", text))
    }
}
