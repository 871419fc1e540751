//! Finds the workspace of a bearer key.

use viz::StatusCode;

use super::{Filter, RequestState};
use crate::entry::failure::Failure;

/// Needs a known bearer key.
pub struct Authenticate;

impl Filter for Authenticate {
    fn check(&self, state: &mut RequestState) -> Result<(), Failure> {
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
