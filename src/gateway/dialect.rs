//! What a protocol of callers and endpoints says, without its names.

use std::time::Duration;

use http::{HeaderMap, request, response};
use smol_str::SmolStr;

use super::config::GatewayConfig;
use crate::findings::Findings;
use crate::ids::WorkspaceName;
use crate::wire::Document;

/// Tokens that a request declares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeclaredTokens {
    /// Prompt tokens.
    pub prompt: u64,
    /// Most output tokens.
    pub output: u64,
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerRequest {
    /// Identity of this attempt of the caller.
    pub id: SmolStr,
    /// Host that it asks for, without a port.
    pub host: SmolStr,
    /// Time that the caller will wait.
    pub patience: Option<Duration>,
    /// Key of its workspace.
    pub key: Option<SmolStr>,
    /// Last event that the caller holds of a stream that broke.
    pub last_event: Option<u64>,
    /// Declared tokens; requests to plain services declare none.
    pub tokens: Option<DeclaredTokens>,
    /// Caller's estimate of the output tokens.
    pub output_estimate: Option<u64>,
}

/// What the system adds to a request that it sends to an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SendOptions {
    /// Time that is left.
    pub remaining: Duration,
    /// Identity of the endpoint; another one at its address refuses.
    pub endpoint: SmolStr,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceName>,
    /// Last event that was delivered, to go on after it.
    pub last_event: Option<u64>,
    /// Addresses of engines that share the reading, with their reservation if they hold memory.
    pub helpers: Vec<(String, Option<SmolStr>)>,
    /// Rank at the engine from 0 to 9; 0 is the most urgent.
    pub rank: Option<u8>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Identity of the request that it answers.
    pub id: Option<SmolStr>,
    /// Whether the endpoint signed it.
    pub signed: bool,
    /// Whether it says that the request did not run.
    pub not_run: bool,
    /// Another endpoint that is at fault.
    pub at_fault: Option<SmolStr>,
    /// Time that the endpoint keeps an idle connection.
    pub keep_alive: Option<Duration>,
    /// Whether the connection ends with this answer.
    pub closes: bool,
    /// Whether the body is in no encoding.
    pub plain: bool,
}

/// Protocol of callers, endpoints and configuration documents.
pub trait Dialect: Send + Sync {
    /// Reads the head of a caller's request.
    fn decode_request(&self, head: &request::Parts) -> CallerRequest;

    /// Builds the headers of a request to an endpoint from those of the caller.
    fn encode_send(&self, caller: &HeaderMap, options: &SendOptions) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn decode_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Headers of a caller's answer from those of the endpoint.
    fn pass_answer(&self, endpoint: &HeaderMap) -> HeaderMap;

    /// Adds the identity of a request to the headers of an answer that the system gives itself.
    fn mark_answer(&self, id: &str, headers: &mut HeaderMap);

    /// Reads a configuration document.
    ///
    /// # Errors
    /// All problems of the document, with their places.
    fn decode_document(&self, document: &Document) -> Result<GatewayConfig, Findings>;

    /// Path and body of an order that reserves memory at an engine or renews the reservation.
    fn encode_reserve(&self, id: &str, tokens: u64, hold: Duration) -> (String, Vec<u8>);

    /// Path and body of an order that ends a reservation.
    fn encode_release(&self, id: &str) -> (String, Vec<u8>);
}
