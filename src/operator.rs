//! Calls of the operators' commands to control.

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

/// Longest time for one answer.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Time within which a leader has to be found.
const LEADER_LIMIT: Duration = Duration::from_secs(15);

/// Pause before the next replica is asked.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// No address was given.
    #[snafu(display("no control named; give --operators IP:PORT,... or BITTERNLEAD_OPERATORS"))]
    NoAddress,
    /// No leader answered; a change may have been accepted.
    #[snafu(display(
        "no leader of control answered ({last}); a change may still have been accepted, \
         send it again with --operation {operation}"
    ))]
    NoLeader {
        /// Last problem.
        last: String,
        /// Identity to send it again with.
        operation: String,
    },
    /// Control refused.
    #[snafu(display("{text}"))]
    Refused {
        /// Its reason.
        text: String,
    },
}

/// Client of the operators' interface.
pub struct OperatorClient {
    addresses: Vec<String>,
    token: Option<String>,
    client: Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>,
}

enum Tried {
    Answered(Bytes),
    Elsewhere(Option<String>, String),
    Refused(String),
}

impl OperatorClient {
    /// Builds a client from the flags or the environment.
    ///
    /// # Errors
    /// No address was given.
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

    /// Asks the leader; safe to repeat, since changes carry their operation.
    ///
    /// # Errors
    /// Control refused, or no leader answered in time.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: &impl Serialize,
        operation: &str,
    ) -> Result<T, OperatorError> {
        let due = Instant::now() + LEADER_LIMIT;
        let mut hint: Option<String> = None;
        let body = Bytes::from(serde_json::to_vec(body).unwrap_or_default());
        let mut last = String::new();
        let mut next = 0;
        while Instant::now() < due {
            let addr = hint.take().unwrap_or_else(|| {
                next += 1;
                self.addresses[(next - 1) % self.addresses.len()].clone()
            });
            match self.try_once(&addr, method, path, body.clone()).await {
                Tried::Answered(data) => {
                    return serde_json::from_slice(&data).map_err(|e| OperatorError::Refused {
                        text: format!("{addr} gave an answer that is not understood: {e}"),
                    });
                }
                Tried::Refused(text) => return Err(OperatorError::Refused { text }),
                Tried::Elsewhere(leader, why) => {
                    last = format!("{addr}: {why}");
                    hint = leader.filter(|l| *l != addr);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
        Err(OperatorError::NoLeader { last, operation: operation.to_owned() })
    }

    async fn try_once(&self, addr: &str, method: &str, path: &str, body: Bytes) -> Tried {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("content-type", "application/json");
        if let Some(token) = &self.token {
            builder = builder.header("authorization", format!("Bearer {token}"));
        }
        let req = match builder.body(Full::new(body)) {
            Ok(req) => req,
            Err(e) => return Tried::Refused(e.to_string()),
        };
        let whole = async {
            let response = self.client.request(req).await.map_err(|e| e.to_string())?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(|e| e.to_string())?;
            Ok::<_, String>((status, body.to_bytes()))
        };
        match timeout(CALL_LIMIT, whole).await {
            Err(_) => Tried::Elsewhere(None, "no answer in time".into()),
            Ok(Err(e)) => Tried::Elsewhere(None, e),
            Ok(Ok((200, data))) => Tried::Answered(data),
            Ok(Ok((409, data))) if path_gives_result(path) => Tried::Answered(data),
            Ok(Ok((status, data))) => read_error(status, &data),
        }
    }
}

/// Changes answer a conflict with its winner.
fn path_gives_result(path: &str) -> bool {
    matches!(path, "/v1/config" | "/v1/drain" | "/v1/orders")
}

fn read_error(status: u16, data: &[u8]) -> Tried {
    let reply: ErrorReply = serde_json::from_slice(data).unwrap_or_else(|_| ErrorReply {
        error: format!("status {status}: {}", String::from_utf8_lossy(data)),
        ..ErrorReply::default()
    });
    if status == 421 || status == 503 {
        return Tried::Elsewhere(reply.leader, reply.error);
    }
    let mut text = reply.error;
    for finding in reply.findings {
        text.push_str("\n  ");
        text.push_str(&finding);
    }
    Tried::Refused(text)
}
