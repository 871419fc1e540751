//! Wire format of callers, endpoints and configuration documents, as an interface without concrete
//! header names.

use std::time::Duration;

use http::{HeaderMap, request, response};
use smol_str::SmolStr;

use super::config::GatewayConfig;
use crate::findings::Findings;
use crate::ids::WorkspaceName;
use crate::wire::Document;

/// Token counts that a caller declares for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeclaredTokens {
    /// Prompt length in tokens.
    pub prompt: u64,
    /// Maximum output length in tokens.
    pub output: u64,
}

/// Fields decoded from the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Id of this attempt of the caller; endpoints return it in their response.
    pub id: SmolStr,
    /// Host that the request is for, without a port.
    pub host: SmolStr,
    /// Time that the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Key of the caller's workspace.
    pub key: Option<SmolStr>,
    /// Id of the last event that the caller received before its stream broke off.
    pub last_event: Option<u64>,
    /// Declared token counts; `None` for services without engines.
    pub tokens: Option<DeclaredTokens>,
    /// The caller's estimate of the output length in tokens.
    pub expected_output: Option<u64>,
    /// Ids of the parts of the prompt in order; prompts may share all but the last.
    pub prompt_parts: Vec<SmolStr>,
}

/// Headers that the gateway adds to a request to an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SendOptions {
    /// Time until the caller's deadline.
    pub remaining: Duration,
    /// Identity of the endpoint; a different endpoint at the same address refuses the request.
    pub endpoint: SmolStr,
    /// Workspace of the caller, if the route requires a key.
    pub workspace: Option<WorkspaceName>,
    /// Id of the last forwarded event; the endpoint resumes the stream after it.
    pub last_event: Option<u64>,
    /// Addresses of the helper engines, each with its reservation id if it holds KV cache.
    pub helpers: Vec<(String, Option<SmolStr>)>,
    /// Rank at the engine from 0 to 9; 0 is the most urgent.
    pub rank: Option<u8>,
}

/// Fields decoded from the head of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that the response is for.
    pub id: Option<SmolStr>,
    /// Whether the response carries the endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// A different endpoint that caused the failure, if the response names one.
    pub failing_endpoint: Option<SmolStr>,
    /// Time that the endpoint keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the endpoint closes the connection after this response.
    pub closes_connection: bool,
    /// Whether the body has no content encoding.
    pub unencoded: bool,
    /// Whether the endpoint says that it leaves.
    pub is_leaving: bool,
    /// Time for which the endpoint wants no requests from this entry.
    pub retry_after: Option<Duration>,
    /// Requests per second that the endpoint takes from all entries together, if it names a limit.
    pub limit_per_s: Option<f64>,
    /// Time for which the endpoint stays cold, zero if it is not, if the response states it.
    pub cold_time: Option<Duration>,
}

/// Wire format of callers, endpoints and configuration documents.
pub trait Dialect: Send + Sync {
    /// Decodes the head of a caller's request.
    fn decode_caller(&self, head: &request::Parts) -> CallerHead;

    /// Builds the headers of a request to an endpoint from those of the caller.
    fn encode_request(&self, caller: &HeaderMap, options: &SendOptions) -> HeaderMap;

    /// Decodes the head of an endpoint's response.
    fn decode_response(&self, head: &response::Parts) -> ResponseHead;

    /// Builds the headers of the response to the caller from those of the endpoint.
    fn encode_response(&self, endpoint: &HeaderMap) -> HeaderMap;

    /// Adds the request id to the headers of a response that the gateway generates itself.
    fn mark_response(&self, id: &str, headers: &mut HeaderMap);

    /// Decodes a configuration document.
    ///
    /// # Errors
    /// Returns all problems found in the document, with their positions.
    fn decode_document(&self, document: &Document) -> Result<GatewayConfig, Findings>;

    /// Path and body of the call that creates or renews a reservation of KV cache at an engine.
    fn encode_reserve(&self, id: &str, tokens: u64, hold: Duration) -> (String, Vec<u8>);

    /// Path and body of the call that releases a reservation.
    fn encode_release(&self, id: &str) -> (String, Vec<u8>);
}
