//! A caller's request on its way through an entry.

use std::sync::Arc;

use bytes::Bytes;
use smol_str::SmolStr;

use super::limits::Permit;
use super::prefix::PrefixChain;
use crate::config::Workspace;
use crate::derive_value;
use crate::ids::{Moment, RequestId, Tokens};

derive_value! {
    /// What is asked of the fleet.
    pub enum Work {
        /// A completion.
        Completion {
            /// Body for the engine, streaming set.
            body: Bytes,
            /// Chat instead of plain completion.
            chat: bool,
        },
        /// A plain service's call.
        Service {
            /// HTTP method.
            method: String,
            /// Path and query at the service.
            path: String,
            /// Content type.
            content_type: String,
            /// Body.
            body: Bytes,
            /// Idempotency key; empty if there is none.
            key: String,
            /// Whether it may run more than once.
            idempotent: bool,
        },
    }
}

/// A request that passed the filters.
pub struct Job {
    /// Identity.
    pub request: RequestId,
    /// Workspace.
    pub workspace: Arc<Workspace>,
    /// Model, or `service:` and the service's name.
    pub target: SmolStr,
    /// Prompt length.
    pub prompt_tokens: Tokens,
    /// Longest answer.
    pub output_tokens: Tokens,
    /// Prefixes of the prompt.
    pub chain: PrefixChain,
    /// Moment by which it finishes or fails.
    pub deadline: Moment,
    /// What is asked.
    pub work: Work,
    /// Counts against the workspace's limits until dropped.
    pub permit: Permit,
}

impl Job {
    /// Priority level for queues and engines; shorter prompts go first.
    pub fn level(&self) -> u32 {
        let class = crate::prompt_class::PromptClass::of(self.prompt_tokens);
        self.workspace.priority.level() + class.level()
    }

    /// Whether it may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match &self.work {
            Work::Completion { .. } => true,
            Work::Service { idempotent, .. } => *idempotent,
        }
    }
}
