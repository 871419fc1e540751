//! Clients for endpoints: the interfaces that an agent uses and their HTTP implementations.

mod http_client;
pub mod http_engine;
pub mod http_service;
mod sse;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::derive_value;
use crate::ids::{Index, Tokens};

/// Why a call of an endpoint failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No byte of the call reached the endpoint, so the endpoint did not execute it.
    #[snafu(display("cannot connect: {reason}"))]
    NotReached {
        /// Error of the connection, or why the request could not be built.
        reason: String,
    },
    /// The endpoint refused the call without executing it.
    #[snafu(display("refused with status {status}: {reason}"))]
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response, shortened.
        reason: String,
    },
    /// The call was sent and its end was not seen, so the endpoint may have executed it.
    #[snafu(display("broken off: {reason}"))]
    Interrupted {
        /// Error that ended the call.
        reason: String,
    },
}

derive_value! {
    /// A request to generate a completion, or to prefill a segment of a prompt.
    pub struct GenerateRequest {
        /// Request id under which the engine knows the attempt.
        pub id: String,
        /// JSON body of the completion request, with streaming enabled.
        pub body: Bytes,
        /// Whether to call the chat completions API instead of the completions API.
        pub chat: bool,
        /// Priority level; the engine serves lower levels first.
        pub priority: u32,
        /// KV memory of other engines that holds the preceding segments of the prompt.
        pub sources: Vec<KvTransfer>,
    }
}

derive_value! {
    /// Part of a generated completion.
    pub enum GeneratedPart {
        /// A piece of the generated text.
        Text {
            /// Text in the order in which it was generated.
            text: String,
            /// Number of tokens that the text stands for.
            tokens: Tokens,
        },
        /// Regular end of the completion.
        Finished {
            /// Finish reason: stop or length.
            reason: String,
            /// Prompt tokens that the engine found in its prefix cache.
            cached_tokens: Tokens,
        },
    }
}

/// Load as an engine reports it; the report lags behind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Ids of the requests that the engine runs or holds memory for.
    pub running: Vec<String>,
    /// KV memory in use, in tokens.
    pub kv_used: Tokens,
    /// Total KV memory, in tokens.
    pub kv_capacity: Tokens,
    /// Prompt tokens that wait for prefill.
    pub queued_prefill: Tokens,
    /// Prefill rate in tokens a second.
    pub prefill_rate: f64,
    /// Names of the loaded models.
    pub models: Vec<String>,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// Hash of the cached block.
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// An order of control in the form that an engine receives.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Order number, which is the fencing token.
    pub number: Index,
    /// One of `load-model`, `unload-model` and `set-role`.
    pub kind: String,
    /// Name of the model or the role.
    pub argument: String,
}

/// KV memory that one engine holds and that others may attend to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KvTransfer {
    /// Request id of the attempt whose memory it is.
    pub id: String,
    /// Address of the engine that holds the memory.
    pub from: String,
    /// Number of tokens in the memory.
    pub tokens: Tokens,
}

/// Client of a model engine.
pub trait Engine: Send + Sync + 'static {
    /// Starts a completion and streams its parts, the last of which is the end or an error.
    fn generate(
        &self,
        req: GenerateRequest,
    ) -> BoxFuture<'_, Result<BoxStream<'static, Result<GeneratedPart, CallError>>, CallError>>;

    /// Cancels an attempt; success means that the engine has freed its memory.
    fn cancel(&self, id: &str) -> BoxFuture<'_, Result<(), CallError>>;

    /// Reads the load report.
    fn load(&self) -> BoxFuture<'_, Result<EngineLoad, CallError>>;

    /// Reads the prefix cache events from sequence number `from` on.
    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, CallError>>;

    /// Sends an order.
    fn send_order(&self, order: EngineOrder) -> BoxFuture<'_, Result<(), CallError>>;

    /// Prefills a segment of a prompt and returns its memory, which is held until cancelled.
    fn prefill(&self, req: GenerateRequest) -> BoxFuture<'_, Result<KvTransfer, CallError>>;

    /// Makes the memory of an attempt available to other engines.
    fn export_kv(&self, id: &str) -> BoxFuture<'_, Result<KvTransfer, CallError>>;

    /// Lets an attempt attend to the memory of another engine.
    fn import_kv(&self, id: &str, from: KvTransfer) -> BoxFuture<'_, Result<(), CallError>>;
}

/// A call of a plain service, an HTTP service that is not a model engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceCall {
    /// HTTP method of the call.
    pub method: String,
    /// Path with the query.
    pub path: String,
    /// Content type of the body; empty if there is none.
    pub content_type: String,
    /// Idempotency key; empty if there is none.
    pub idempotency_key: String,
    /// Complete body of the request.
    pub body: Bytes,
}

/// Response of a plain service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceResponse {
    /// HTTP status code that the service returned.
    pub status: u16,
    /// Content type of the body; empty if there is none.
    pub content_type: String,
    /// Complete response body.
    pub body: Bytes,
}

/// Client of a plain service.
pub trait PlainService: Send + Sync + 'static {
    /// Calls the service once; the call is never resent.
    fn call(&self, call: ServiceCall) -> BoxFuture<'_, Result<ServiceResponse, CallError>>;

    /// Whether the service accepts connections.
    fn probe(&self) -> BoxFuture<'_, bool>;
}
