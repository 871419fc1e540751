//! Calls of operators and of endpoints that announce themselves.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Deserialize;
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::document;
use crate::control::relay::ControlRelay;
use crate::control::service::{CallError, ControlService};
use crate::event;
use crate::wire::{Announcement, Document, Standing};

/// Path of the configuration document.
const DOCUMENT_PATH: &str = "/api/config";
/// Path below which endpoints announce themselves.
const ANNOUNCE_PATH: &str = "/api/instances/";
/// Longest time for the body of a call.
const BODY_LIMIT: Duration = Duration::from_secs(5);
/// Largest body of a call in bytes.
const BODY_BYTES: usize = 8 * 1024 * 1024;
/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest time that a connection is idle.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

type Answer = Response<Full<Bytes>>;

/// What an endpoint says of itself.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireAnnouncement {
    /// Service that the endpoint belongs to.
    backend: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    slots: Option<u32>,
    state: WireState,
    seq: u64,
    /// Wall time of its start in milliseconds.
    #[serde(rename = "born", default)]
    born: u64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

/// Serves calls until cancelled.
pub async fn serve(
    listener: TcpListener,
    service: ControlService,
    log: Logger,
    cx: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = cx.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_one(stream, service.clone(), log.clone()));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_one(stream: TcpStream, service: ControlService, log: Logger) {
    let _ = stream.set_nodelay(true);
    let handler = service_fn(move |req| answer(service.clone(), log.clone(), req));
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_LIMIT)
        .serve_connection(TokioIo::new(stream), handler);
    // A caller that leaves or sends no HTTP ends only its own connection.
    let _ = conn.await;
}

/// Sends callers on to a replica until cancelled; used where there is no disk.
pub async fn serve_relay(listener: TcpListener, relay: Arc<ControlRelay>, cx: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = cx.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let relay = Arc::clone(&relay);
        tokio::spawn(async move {
            let handler = service_fn(move |req| send_on(Arc::clone(&relay), req));
            let conn = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_LIMIT)
                .serve_connection(TokioIo::new(stream), handler);
            // A caller that leaves or sends no HTTP ends only its own connection.
            let _ = conn.await;
        });
    }
}

async fn send_on(relay: Arc<ControlRelay>, req: Request<Incoming>) -> Result<Answer, Infallible> {
    let (head, body) = req.into_parts();
    // The body is read so that the caller sees the answer and not a reset.
    let read = timeout(BODY_LIMIT, Limited::new(body, BODY_BYTES).collect()).await;
    if !matches!(read, Ok(Ok(_))) {
        return Ok(plain(StatusCode::BAD_REQUEST, "the body is not complete or too large"));
    }
    Ok(redirect(relay.pick_operators_address(), head.uri.path(), "a replica answers this"))
}

async fn answer(
    service: ControlService,
    log: Logger,
    req: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let (head, body) = req.into_parts();
    let path = head.uri.path().to_owned();
    let read = timeout(BODY_LIMIT, Limited::new(body, BODY_BYTES).collect()).await;
    let Ok(Ok(body)) = read else {
        return Ok(plain(StatusCode::BAD_REQUEST, "the body is not complete or too large"));
    };
    let body = body.to_bytes();
    let answer = match (&head.method, path.strip_prefix(ANNOUNCE_PATH)) {
        (&Method::PUT, Some(id)) => announce(&service, &log, id, &body),
        (&Method::DELETE, Some(id)) => {
            service.hub().mark_gone(id);
            acknowledge(&service)
        }
        (&Method::PUT, None) if path == DOCUMENT_PATH => offer(&service, &log, body).await,
        (&Method::GET, None) if path == DOCUMENT_PATH => read_document(&service).await,
        _ => plain(StatusCode::NOT_FOUND, "no such call"),
    };
    Ok(answer)
}

fn announce(service: &ControlService, log: &Logger, id: &str, body: &[u8]) -> Answer {
    let said: WireAnnouncement = match serde_json::from_slice(body) {
        Ok(said) => said,
        Err(e) => {
            event!(log, AnnouncementRefused, "endpoint" => id, "reason" => e.to_string());
            return plain(StatusCode::BAD_REQUEST, &format!("announcement not read: {e}"));
        }
    };
    let standing = match said.state {
        WireState::Ready => Standing::Ready,
        WireState::Draining => Standing::Draining,
    };
    service.hub().announce(Announcement {
        id: id.to_owned(),
        service: said.backend,
        address: said.address.to_string(),
        zone: said.zone,
        slots: said.slots.unwrap_or(1),
        standing: standing.into(),
        born: said.born,
        seq: said.seq,
    });
    acknowledge(service)
}

/// Acknowledges only while a leader is known: entries hear from such a replica.
fn acknowledge(service: &ControlService) -> Answer {
    if service.published().has_leader {
        json(Bytes::from_static(b"{}"))
    } else {
        unavailable("no leader is known here")
    }
}

async fn offer(service: &ControlService, log: &Logger, body: Bytes) -> Answer {
    let config = match document::decode(&body) {
        Ok(config) => config,
        Err(findings) => {
            event!(log, DocumentRefused, "findings" => findings.to_string());
            return plain(StatusCode::BAD_REQUEST, &findings.to_string());
        }
    };
    let version = config.version;
    match service.propose_document(Document { version, body }).await {
        Ok(outcome) => {
            event!(log, DocumentAccepted, "version" => version, "held" => outcome.number);
            json(Bytes::from_static(b"{}"))
        }
        Err(e) => redirect_to_leader(e),
    }
}

async fn read_document(service: &ControlService) -> Answer {
    match service.read_document().await {
        Ok(document) if document.version > 0 => json(document.body),
        Ok(_) => unavailable("there is no document yet"),
        Err(e) => redirect_to_leader(e),
    }
}

fn redirect_to_leader(error: CallError) -> Answer {
    let leader = match error {
        CallError::NotLeader(address) => address,
        CallError::TimedOut => None,
    };
    redirect(leader, DOCUMENT_PATH, "the leader answers this")
}

fn redirect(address: Option<String>, path: &str, reason: &str) -> Answer {
    let Some(address) = address else {
        return unavailable("no replica that could answer is known now");
    };
    let mut answer = plain(StatusCode::TEMPORARY_REDIRECT, reason);
    if let Ok(value) = HeaderValue::from_str(&format!("http://{address}{path}")) {
        answer.headers_mut().insert(header::LOCATION, value);
    }
    answer
}

fn unavailable(reason: &str) -> Answer {
    plain(StatusCode::SERVICE_UNAVAILABLE, reason)
}

fn plain(status: StatusCode, text: &str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *answer.status_mut() = status;
    answer
}

fn json(body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    let value = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}
