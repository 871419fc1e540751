//! Jobs: client requests that passed the filters.

use std::sync::Arc;

use bytes::Bytes;
use smol_str::SmolStr;

use super::limits::Permit;
use super::prefix::PrefixChain;
use crate::config::Workspace;
use crate::derive_value;
use crate::ids::{Moment, RequestId, Tokens};

derive_value! {
    /// Content of a job that is sent to an endpoint.
    pub enum JobPayload {
        /// Completion or chat completion by an engine.
        Completion {
            /// Request body for the engine, with streaming enabled.
            body: Bytes,
            /// Whether the request is a chat completion.
            chat: bool,
        },
        /// Call to a service.
        Service {
            /// HTTP method of the call.
            method: String,
            /// Path and query, relative to the root of the service.
            path: String,
            /// Content type of the body; empty if the client sent none.
            content_type: String,
            /// Request body, passed on unchanged.
            body: Bytes,
            /// Idempotency key of the client, or the request id.
            key: String,
            /// Whether the configuration marks the call as safe to run more than once.
            idempotent: bool,
        },
    }
}

/// A request that passed the filters and may be sent to endpoints.
pub struct Job {
    /// Request id, unique across entries and sent back as `x-request-id`.
    pub request: RequestId,
    /// Workspace that the bearer key belongs to.
    pub workspace: Arc<Workspace>,
    /// Name of the model, or `service:` followed by the name of the service.
    pub target: SmolStr,
    /// Estimated prompt length; 0 for services.
    pub prompt_tokens: Tokens,
    /// Largest number of tokens to generate; 0 for services.
    pub output_tokens: Tokens,
    /// Hashes of the prompt prefixes, for the prefix index.
    pub chain: PrefixChain,
    /// Deadline by which the request succeeds or fails.
    pub deadline: Moment,
    /// Content to send to the endpoint.
    pub payload: JobPayload,
    /// Concurrency slot of the workspace, released when the job is dropped.
    pub permit: Permit,
}

impl Job {
    /// Returns the priority level for queues and engines; lower levels are served first.
    ///
    /// It combines the priority of the workspace with the class of the prompt, so that shorter
    /// prompts go first.
    pub fn priority_level(&self) -> u32 {
        let class = crate::prompt_class::PromptClass::of(self.prompt_tokens);
        self.workspace.priority.level() + class.priority_offset()
    }

    /// Returns whether the request may safely run more than once.
    pub fn is_idempotent(&self) -> bool {
        match &self.payload {
            JobPayload::Completion { .. } => true,
            JobPayload::Service { idempotent, .. } => *idempotent,
        }
    }
}
