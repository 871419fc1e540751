//! Refuses prompts that are longer than their workspace may send.

use viz::StatusCode;

use super::{Filter, RequestState};
use crate::entry::failure::Failure;

/// Needs a prompt within the workspace's limit.
pub struct PromptSize;

impl Filter for PromptSize {
    fn check(&self, state: &mut RequestState) -> Result<(), Failure> {
        let Some(workspace) = &state.workspace else { return Ok(()) };
        let most = workspace.max_prompt_tokens;
        if state.prompt_tokens <= most {
            return Ok(());
        }
        let text = format!(
            "the prompt has about {} tokens, this workspace may send {most}",
            state.prompt_tokens
        );
        Err(Failure::not_run(StatusCode::PAYLOAD_TOO_LARGE, "prompt_too_large", text))
    }
}
