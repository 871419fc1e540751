//! Sends a request to one endpoint and receives the head of the response.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use smol_str::ToSmolStr;
use tokio::time::timeout;

use super::choose::Placement;
use super::crashes::open_send::OpenSend;
use super::crashes::recent_suspects::Suspect;
use super::dialect::ResponseHead;
use super::pool::Connection;
use super::reason::Reason;
use super::state::Gateway;
use crate::answer_bounds::{InformationalWatch, is_answer};
use crate::directory::EndpointId;
use crate::ids::ZoneName;

/// Maximum number of idle connections to try before opening a new one.
const MAX_IDLE_ATTEMPTS: usize = 3;

/// Time that an idle connection has to become ready for a request. One whose endpoint has responded
/// before it has read the whole previous request is not ready until it has read the rest.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// A request in the form that is sent to an endpoint.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request, unchanged.
    pub uri: Uri,
    /// Headers as built by the dialect.
    pub headers: HeaderMap,
    /// Complete body of the caller's request.
    pub body: Bytes,
    /// Availability zones of the endpoint and of its helpers.
    pub zones: Vec<ZoneName>,
    /// The request as a suspect if the endpoint crashes.
    pub suspect: Arc<Suspect>,
}

impl OutgoingRequest {
    fn build(&self) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        req
    }
}

/// Head of an endpoint's response, with the connection that its body is read from.
pub struct EndpointResponse {
    /// Status and headers as received.
    pub parts: response::Parts,
    /// Fields decoded from the headers.
    pub head: ResponseHead,
    /// Body that is still to be read.
    pub body: Incoming,
    /// Connection; returned to the pool once the body is complete.
    pub conn: Connection,
    /// Takes note of what becomes of the request at the endpoint.
    pub open: OpenSend,
}

/// Outcome of a send.
pub enum SendOutcome {
    /// The endpoint responded with an answer to this request.
    Responded(Box<EndpointResponse>),
    /// No byte of the request was sent, for this reason.
    NotSent(Reason),
    /// No byte of the request was sent, since the zone of the endpoint or of a helper was drained or such
    /// requests were quarantined meanwhile.
    Withheld,
    /// The endpoint's host refused the connection: nothing listens there. No byte was sent.
    Refused(Reason),
    /// The endpoint states that it did not run the request, with the status for the log.
    NotRun(Reason),
    /// The endpoint did not run the request because this helper engine failed.
    HelperFailed(EndpointId, Reason),
    /// The request may have run; the reason tells why its outcome is unknown.
    Unknown(Reason),
    /// The connection was lost before a response; the request may have run.
    Lost(Reason),
}

/// Sends a request and waits at most `limit` for the head of the response.
pub async fn send(
    gateway: &Arc<Gateway>,
    placement: &Placement,
    out: &OutgoingRequest,
    id: &str,
    limit: Duration,
) -> SendOutcome {
    let endpoint = &placement.endpoint;
    let mut req = out.build();
    for _ in 0..MAX_IDLE_ATTEMPTS {
        if is_withheld(gateway, out) {
            return SendOutcome::Withheld;
        }
        let Some(conn) = gateway.pool.take(endpoint.addr) else { break };
        match send_on(gateway, placement, conn, req, out, id, limit).await {
            Ok(outcome) => return outcome,
            Err(unsent) => req = unsent,
        }
    }
    let conn = match gateway.pool.connect(endpoint.addr).await {
        Ok(conn) => conn,
        Err(e) => {
            let is_refused = e.kind() == ErrorKind::ConnectionRefused;
            let reason = Reason::detailed("cannot connect", e);
            if !is_refused {
                return SendOutcome::NotSent(reason);
            }
            // Nothing listens there: the endpoint has stopped, and will be cold after its start.
            gateway.record_crash(endpoint);
            return SendOutcome::Refused(reason);
        }
    };
    if is_withheld(gateway, out) {
        gateway.pool.put(conn, None);
        return SendOutcome::Withheld;
    }
    match send_on(gateway, placement, conn, req, out, id, limit).await {
        Ok(outcome) => outcome,
        Err(_) => SendOutcome::NotSent("a new connection was closed at once".into()),
    }
}

/// Whether the request must not be sent after all: what was decided before may have changed while
/// helpers granted memory or a connection was made.
fn is_withheld(gateway: &Gateway, out: &OutgoingRequest) -> bool {
    gateway.is_any_drained(&out.zones) || gateway.is_quarantined(&out.suspect)
}

/// Sends on one connection; returns the request if no byte of it was sent.
async fn send_on(
    gateway: &Arc<Gateway>,
    placement: &Placement,
    mut conn: Connection,
    mut req: Request<Full<Bytes>>,
    out: &OutgoingRequest,
    id: &str,
    limit: Duration,
) -> Result<SendOutcome, Request<Full<Bytes>>> {
    let is_ready = timeout(READY_TIMEOUT.min(limit), conn.sender.ready()).await;
    if !matches!(is_ready, Ok(Ok(()))) {
        return Err(req);
    }
    let (endpoint, in_flight) = (&placement.endpoint.id, &placement.in_flight);
    in_flight.mark_sent();
    let (watched, suspect) = (placement.endpoint.clone(), Arc::clone(&out.suspect));
    let mut open = OpenSend::new(Arc::clone(gateway), watched, suspect);
    let informational = InformationalWatch::default();
    informational.attach(&mut req);
    let received = tokio::select! {
        received = timeout(limit, conn.sender.try_send_request(req)) => received,
        () = informational.exceeded() => {
            return Ok(SendOutcome::Unknown("informational responses without end".into()));
        }
    };
    let Ok(received) = received else {
        return Ok(SendOutcome::Unknown("no answer in time".into()));
    };
    let response = match received {
        Ok(response) => response,
        Err(mut e) => {
            if let Some(req) = e.take_message() {
                in_flight.mark_unsent();
                open.finish();
                return Err(req);
            }
            open.lose();
            let reason = Reason::detailed("connection lost", error_chain(&e.into_error()));
            return Ok(SendOutcome::Lost(reason));
        }
    };
    open.mark_responded();
    let (parts, body) = response.into_parts();
    if !is_answer(parts.status) {
        let detail = parts.status.as_u16();
        return Ok(SendOutcome::Unknown(Reason::detailed("a status that is no answer", detail)));
    }
    let head = gateway.dialect.decode_response(&parts);
    // An endpoint may write an earlier response once more, which says nothing of this request.
    if head.id.as_deref() != Some(id) {
        return Ok(SendOutcome::Unknown("answer to another request".into()));
    }
    // Another endpoint has the address.
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        in_flight.mark_unsent();
        if head.failing_endpoint.is_none() {
            gateway.record_misdirected(endpoint);
        }
    }
    record_head(gateway, endpoint, &head);
    let response = EndpointResponse { parts, head, body, conn, open };
    Ok(classify(placement, response))
}

/// Records what a response says of its endpoint beside the request.
fn record_head(gateway: &Gateway, endpoint: &EndpointId, head: &ResponseHead) {
    gateway.record_cold_time(endpoint, head.cold_time);
    gateway.record_limit(endpoint, head.limit_per_s);
    if let Some(named) = head.retry_after {
        gateway.record_named_time(endpoint, named);
    }
    if head.is_leaving {
        gateway.record_leaving(endpoint);
    }
}

fn classify(placement: &Placement, mut response: EndpointResponse) -> SendOutcome {
    let EndpointResponse { parts, head, open, .. } = &mut response;
    if head.not_run || parts.status == StatusCode::MISDIRECTED_REQUEST {
        open.finish();
        let failing_at =
            head.failing_endpoint.as_ref().map(|a| format!(" at {a}")).unwrap_or_default();
        let detail = format!("refused with {}{failing_at}", parts.status.as_u16());
        let helpers = &placement.helper_endpoints;
        let failed = helpers.iter().find(|e| head.failing_endpoint == Some(e.addr.to_smolstr()));
        return match failed {
            Some(helper) => {
                let reason = Reason::detailed("not run because a helper engine failed", detail);
                SendOutcome::HelperFailed(helper.id.clone(), reason)
            }
            None => SendOutcome::NotRun(Reason::detailed("not run by the endpoint", detail)),
        };
    }
    if parts.status.is_success() && !(head.signed && head.unencoded) {
        return SendOutcome::Unknown("answer without a signature".into());
    }
    SendOutcome::Responded(Box::new(response))
}

/// Formats an error and its causes on one line.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(e) = cause {
        text.push_str(": ");
        text.push_str(&e.to_string());
        cause = e.source();
    }
    text
}
