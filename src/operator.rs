//! HTTP client with which the operator commands call control.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::time::{Instant, sleep, timeout};

use crate::control::operators::ErrorReply;

/// Timeout of one call to one replica.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for finding a leader that answers, over all replicas.
const LEADER_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay before the next replica is called.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// No address was given.
    #[snafu(display(
        "no address of control; set --operators IP:PORT,... or BITTERNLEAD_OPERATORS"
    ))]
    NoAddress,
    /// No leader answered; a change may have been accepted.
    #[snafu(display(
        "no leader of control answered ({last_error}); the change may still have been accepted, \
         repeat it with --operation {operation}"
    ))]
    NoLeader {
        /// Error of the last attempt, with the replica's address.
        last_error: String,
        /// Identity of the operation; with it, the command can be repeated safely.
        operation: String,
    },
    /// Control rejected the call, or its reply could not be decoded.
    #[snafu(display("{text}"))]
    Refused {
        /// Reason, with the findings if there are any.
        text: String,
    },
}

/// Client of the operator interface of control.
pub struct OperatorClient {
    addresses: Vec<String>,
    token: Option<String>,
    client: Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>,
}

enum CallResult {
    Answered(Bytes),
    TryNext(Option<String>, String),
    Refused(String),
}

impl OperatorClient {
    /// Creates a client from the flags, or from the environment where a flag is missing.
    ///
    /// # Errors
    /// Fails if no address is given.
    pub fn new(addresses: Option<String>, token: Option<String>) -> Result<Self, OperatorError> {
        let env = |name: &str| std::env::var(format!("BITTERNLEAD_{name}")).ok();
        let addresses = addresses.or_else(|| env("OPERATORS")).unwrap_or_default();
        let addresses: Vec<String> =
            addresses.split(',').map(|a| a.trim().to_owned()).filter(|a| !a.is_empty()).collect();
        if addresses.is_empty() {
            return Err(OperatorError::NoAddress);
        }
        let token = token.or_else(|| env("OPERATOR_TOKEN"));
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http();
        Ok(Self { addresses, token, client })
    }

    /// Returns a client with the same token that calls only this address.
    pub fn with_address(&self, address: String) -> Self {
        let (token, client) = (self.token.clone(), self.client.clone());
        Self { addresses: vec![address], token, client }
    }

    /// Calls the leader; replicas that don't lead are tried in turn. Retries are safe, because
    /// changes carry the identity of their operation.
    ///
    /// # Errors
    /// Fails if control rejects the call or no leader answers in time.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: &impl Serialize,
        operation: &str,
    ) -> Result<T, OperatorError> {
        let deadline = Instant::now() + LEADER_TIMEOUT;
        let mut leader_hint: Option<String> = None;
        let body = Bytes::from(serde_json::to_vec(body).unwrap_or_default());
        let mut last_error = String::new();
        let mut next = 0;
        while Instant::now() < deadline {
            let addr = leader_hint.take().unwrap_or_else(|| {
                next += 1;
                self.addresses[(next - 1) % self.addresses.len()].clone()
            });
            match self.try_once(&addr, method, path, body.clone()).await {
                CallResult::Answered(data) => {
                    return serde_json::from_slice(&data).map_err(|e| OperatorError::Refused {
                        text: format!("cannot decode the reply of {addr}: {e}"),
                    });
                }
                CallResult::Refused(text) => return Err(OperatorError::Refused { text }),
                CallResult::TryNext(leader, reason) => {
                    last_error = format!("{addr}: {reason}");
                    leader_hint = leader.filter(|l| *l != addr);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        Err(OperatorError::NoLeader { last_error, operation: operation.to_owned() })
    }

    async fn try_once(&self, addr: &str, method: &str, path: &str, body: Bytes) -> CallResult {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("content-type", "application/json");
        if let Some(token) = &self.token {
            builder = builder.header("authorization", format!("Bearer {token}"));
        }
        let req = match builder.body(Full::new(body)) {
            Ok(req) => req,
            Err(e) => return CallResult::Refused(e.to_string()),
        };
        let exchange = async {
            let response = self.client.request(req).await.map_err(|e| e.to_string())?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(|e| e.to_string())?;
            Ok::<_, String>((status, body.to_bytes()))
        };
        match timeout(CALL_TIMEOUT, exchange).await {
            Err(_) => CallResult::TryNext(None, "no reply in time".into()),
            Ok(Err(e)) => CallResult::TryNext(None, e),
            Ok(Ok((200, data))) => CallResult::Answered(data),
            Ok(Ok((409, data))) if conflict_carries_result(path) => CallResult::Answered(data),
            Ok(Ok((status, data))) => read_error(status, &data),
        }
    }
}

/// Whether a response with status 409 holds a result: changes return the one that came first.
fn conflict_carries_result(path: &str) -> bool {
    matches!(path, "/v1/config" | "/v1/drain" | "/v1/orders")
}

fn read_error(status: u16, data: &[u8]) -> CallResult {
    let reply: ErrorReply = serde_json::from_slice(data).unwrap_or_else(|_| ErrorReply {
        error: format!("status {status}: {}", String::from_utf8_lossy(data)),
        ..ErrorReply::default()
    });
    if status == 421 || status == 503 {
        return CallResult::TryNext(reply.leader, reply.error);
    }
    let mut text = reply.error;
    for finding in reply.findings {
        text.push_str("\n  ");
        text.push_str(&finding);
    }
    CallResult::Refused(text)
}
