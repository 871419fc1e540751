//! One send of a request to one endpoint, up to the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::dialect::AnswerHead;
use super::pool::Connection;
use super::state::{Endpoint, Gateway};

/// Most idle connections that are tried before a new one is made.
const MOST_IDLE_TRIES: usize = 3;

/// A request as it goes to an endpoint.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Outgoing {
    fn build(&self) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        req
    }
}

/// Head of an endpoint's answer, and what its body needs.
pub struct Answer {
    /// Status and headers.
    pub parts: response::Parts,
    /// What the headers say.
    pub head: AnswerHead,
    /// Body.
    pub body: Incoming,
    /// Connection; kept for others once the body is whole.
    pub conn: Connection,
}

/// How a send ended.
pub enum Sent {
    /// The endpoint answers.
    Answer(Box<Answer>),
    /// No byte of the request left this process.
    NotSent(String),
    /// The endpoint says that it did not run the request.
    NotRun(String),
    /// The request may have run.
    Unknown(String),
}

/// Sends a request and waits for the head of its answer for `limit` at most.
pub async fn send(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    out: &Outgoing,
    id: &str,
    limit: Duration,
) -> Sent {
    let mut req = out.build();
    for _ in 0..MOST_IDLE_TRIES {
        let Some(conn) = gateway.pool.take(endpoint.addr) else { break };
        match send_on(gateway, conn, req, id, limit).await {
            Ok(sent) => return sent,
            Err(unsent) => req = unsent,
        }
    }
    let conn = match gateway.pool.connect(endpoint.addr).await {
        Ok(conn) => conn,
        Err(e) => return Sent::NotSent(format!("cannot connect: {e}")),
    };
    match send_on(gateway, conn, req, id, limit).await {
        Ok(sent) => sent,
        Err(_) => Sent::NotSent("a new connection was closed at once".into()),
    }
}

/// Sends on one connection; gives the request back if nothing of it was sent.
async fn send_on(
    gateway: &Arc<Gateway>,
    mut conn: Connection,
    req: Request<Full<Bytes>>,
    id: &str,
    limit: Duration,
) -> Result<Sent, Request<Full<Bytes>>> {
    if conn.sender.ready().await.is_err() {
        return Err(req);
    }
    let answered = match timeout(limit, conn.sender.try_send_request(req)).await {
        Err(_) => return Ok(Sent::Unknown("no answer in time".into())),
        Ok(answered) => answered,
    };
    let answer = match answered {
        Ok(answer) => answer,
        Err(mut e) => {
            if let Some(req) = e.take_message() {
                return Err(req);
            }
            return Ok(Sent::Unknown(describe(&e.into_error())));
        }
    };
    let (parts, body) = answer.into_parts();
    let head = gateway.dialect.decode_answer(&parts);
    Ok(judge(parts, head, body, conn, id))
}

fn judge(
    parts: response::Parts,
    head: AnswerHead,
    body: Incoming,
    conn: Connection,
    id: &str,
) -> Sent {
    if head.not_run || parts.status == StatusCode::MISDIRECTED_REQUEST {
        let at = head.at_fault.as_ref().map(|a| format!(" at {a}")).unwrap_or_default();
        return Sent::NotRun(format!("refused with {}{at}", parts.status.as_u16()));
    }
    if head.id.as_deref() != Some(id) {
        return Sent::Unknown("answer to another request".into());
    }
    if parts.status.is_success() && !(head.signed && head.plain) {
        return Sent::Unknown("answer without a signature".into());
    }
    Sent::Answer(Box::new(Answer { parts, head, body, conn }))
}

/// Error with its causes, on one line.
pub fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(e) = cause {
        text.push_str(": ");
        text.push_str(&e.to_string());
        cause = e.source();
    }
    text
}
