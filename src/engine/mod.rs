//! What an agent needs of an endpoint, and its HTTP form.

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

/// Why an endpoint did not serve.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EngineError {
    /// No byte of the call reached the endpoint.
    #[snafu(display("cannot connect: {reason}"))]
    NotReached {
        /// Cause.
        reason: String,
    },
    /// The endpoint refused before it did any work.
    #[snafu(display("refused with status {status}: {reason}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// Its reason.
        reason: String,
    },
    /// The call was sent and its end was not seen.
    #[snafu(display("broken off: {reason}"))]
    Broken {
        /// Cause.
        reason: String,
    },
}

derive_value! {
    /// A completion to generate.
    pub struct Generate {
        /// Name of the attempt at the engine.
        pub id: String,
        /// Body of the completion request, in JSON, streaming set.
        pub body: Bytes,
        /// Chat instead of plain completion.
        pub chat: bool,
        /// Priority level; lower is sooner.
        pub priority: u32,
        /// Memory of other engines that holds the prompt before this part.
        pub sources: Vec<KvTransfer>,
    }
}

derive_value! {
    /// Part of a generated answer.
    pub enum Generated {
        /// Text of some tokens.
        Text {
            /// Text.
            text: String,
            /// Number of tokens.
            tokens: Tokens,
        },
        /// Whole end of the answer with the reason: stop or length.
        Finished {
            /// Reason.
            reason: String,
            /// Prompt tokens that the prefix cache held.
            cached: Tokens,
        },
    }
}

/// Load as an engine reports it, with a lag.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that it runs or holds.
    pub running: Vec<String>,
    /// KV memory used, in tokens.
    pub kv_used: Tokens,
    /// KV memory, in tokens.
    pub kv_capacity: Tokens,
    /// Prompt tokens that wait for prefill.
    pub queued_prefill: Tokens,
    /// Prefill rate in tokens a second.
    pub prefill_rate: f64,
    /// Models that it has loaded.
    pub models: Vec<String>,
}

/// One event of an engine's prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; gaps are lost events.
    pub sequence: u64,
    /// Hash of the block.
    pub block: u64,
    /// Stored or evicted.
    pub stored: bool,
}

/// An order as an engine takes it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number.
    pub number: Index,
    /// load-model, unload-model or set-role.
    pub kind: String,
    /// Model or role.
    pub argument: String,
}

/// KV memory that one engine holds and others attend to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KvTransfer {
    /// Name of the attempt.
    pub id: String,
    /// Address of the engine that holds the memory.
    pub from: String,
    /// Tokens.
    pub tokens: Tokens,
}

/// A model engine.
pub trait Engine: Send + Sync + 'static {
    /// Starts a completion and streams its answer.
    fn generate(
        &self,
        req: Generate,
    ) -> BoxFuture<'_, Result<BoxStream<'static, Result<Generated, EngineError>>, EngineError>>;

    /// Cancels an attempt; success confirms that its memory is free.
    fn cancel(&self, id: &str) -> BoxFuture<'_, Result<(), EngineError>>;

    /// Reads the load report.
    fn load(&self) -> BoxFuture<'_, Result<EngineLoad, EngineError>>;

    /// Reads cache events from a sequence number on.
    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, EngineError>>;

    /// Gives an order.
    fn order(&self, order: EngineOrder) -> BoxFuture<'_, Result<(), EngineError>>;

    /// Reads a part of a prompt and holds its memory until cancelled.
    fn prefill(&self, req: Generate) -> BoxFuture<'_, Result<KvTransfer, EngineError>>;

    /// Offers the memory of an attempt to other engines.
    fn export_kv(&self, id: &str) -> BoxFuture<'_, Result<KvTransfer, EngineError>>;

    /// Lets an attempt attend to memory of another engine.
    fn import_kv(&self, id: &str, from: KvTransfer) -> BoxFuture<'_, Result<(), EngineError>>;
}

/// A call of a plain service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Idempotency key; empty if there is none.
    pub idempotency_key: String,
    /// Body.
    pub body: Bytes,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

/// A plain service.
pub trait PlainService: Send + Sync + 'static {
    /// Calls the service once; nothing is sent again.
    fn call(&self, call: ServiceCall) -> BoxFuture<'_, Result<ServiceAnswer, EngineError>>;

    /// Whether the service takes connections.
    fn probe(&self) -> BoxFuture<'_, bool>;
}
