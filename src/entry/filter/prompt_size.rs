//! Refuses prompts that exceed the limit of their workspace.

use viz::StatusCode;

use super::{Filter, FilterState};
use crate::entry::failure::Failure;

/// Requires a prompt within the prompt limit of the workspace.
pub struct PromptSize;

impl Filter for PromptSize {
    fn check(&self, state: &mut FilterState) -> Result<(), Failure> {
        let Some(workspace) = &state.workspace else { return Ok(()) };
        let max_prompt = workspace.max_prompt_tokens;
        if state.prompt_tokens <= max_prompt {
            return Ok(());
        }
        let text = format!(
            "the prompt has about {} tokens, this workspace may send {max_prompt}",
            state.prompt_tokens
        );
        Err(Failure::not_run(StatusCode::PAYLOAD_TOO_LARGE, "prompt_too_large", text))
    }
}
