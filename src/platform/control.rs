//! HTTP API of control on the platform: the configuration document and the zone drains of operators,
//! and the announcements of endpoints.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use percent_encoding::percent_decode_str;
use serde::Deserialize;
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::document;
use crate::control::relay::ControlRelay;
use crate::control::service::{AnnouncementError, CallError, ControlService};
use crate::control::zone_drains::ZoneDrainError;
use crate::document::MAX_DOCUMENT_BYTES;
use crate::event;
use crate::ids::RegionName;
use crate::json_bounds::{MAX_DEPTH, is_shallow};
use crate::wire::{Announcement, Document, Standing};

/// Path at which operators read and replace the configuration document.
pub(super) const DOCUMENT_PATH: &str = "/api/config";
/// Path prefix of announcements; the endpoint's id follows.
const ANNOUNCE_PATH: &str = "/api/instances/";
/// Path at which operators drain availability zones; a slash and the name of the zone follow.
const DRAIN_PATH: &str = "/api/drain";
/// Time within which the whole body of a request has to arrive.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of an announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;
/// Longest time for which an endpoint may say that it is cold: a day, in milliseconds.
const MAX_COLD_MS: f64 = 86_400_000.0;
/// Pause after a failed accept, for instance when the process has no file descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time within which the head of the next request has to arrive; closes idle connections too.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Documents that are checked at the same time; one at a time, since a check takes several times the
/// memory of the document.
static DOCUMENT_CHECKS: Semaphore = Semaphore::const_new(1);

/// Time within which the end of a connection arrives that was sent with a call. Callers wait for an answer
/// for a second.
const CALLER_CHECK_TIME: Duration = Duration::from_millis(20);

type HttpResponse = Response<Full<Bytes>>;

/// Body of an announcement. Fields that are not listed are ignored; an announcement that lacks one of
/// these comes from another writer.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireAnnouncement {
    /// Service that the endpoint belongs to.
    backend: String,
    /// Address for requests from entries.
    address: SocketAddr,
    /// Availability zone; empty if unknown.
    zone: String,
    #[serde(rename = "Version")]
    _software_version: String,
    /// Requests that it runs at once.
    slots: u32,
    state: WireState,
    /// Number of the announcement since the endpoint started.
    seq: u64,
    /// Wall time of the endpoint's start in milliseconds since 1970.
    #[serde(rename = "born", default)]
    started_ms: u64,
    /// Milliseconds for which the endpoint stays cold; 0 if it is not cold.
    cold_left_ms: f64,
}

/// State that an endpoint announces.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

/// Serves requests on a host that runs a control replica, until cancelled. `regions` are those of
/// the settings; a document may name others, which is logged.
pub async fn serve(
    listener: TcpListener,
    service: ControlService,
    regions: Arc<BTreeSet<RegionName>>,
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
                let regions = Arc::clone(&regions);
                tokio::spawn(serve_connection(stream, service.clone(), regions, log.clone()));
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    service: ControlService,
    regions: Arc<BTreeSet<RegionName>>,
    log: Logger,
) {
    let _ = stream.set_nodelay(true);
    let handler =
        service_fn(move |req| handle(service.clone(), Arc::clone(&regions), log.clone(), req));
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), handler);
    // An error, such as a disconnect or input that is not HTTP, concerns only this connection.
    let _ = conn.await;
}

/// Redirects every request to a control replica, until cancelled. Used on hosts without a disk,
/// which run no replica of their own.
pub async fn serve_relay(listener: TcpListener, relay: Arc<ControlRelay>, cx: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = cx.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let relay = Arc::clone(&relay);
        tokio::spawn(async move {
            let handler = service_fn(move |req| redirect_to_replica(Arc::clone(&relay), req));
            let conn = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .serve_connection(TokioIo::new(stream), handler);
            // An error, such as a disconnect or input that is not HTTP, concerns only this
            // connection.
            let _ = conn.await;
        });
    }
}

async fn redirect_to_replica(
    relay: Arc<ControlRelay>,
    req: Request<Incoming>,
) -> Result<HttpResponse, Infallible> {
    let (head, body) = req.into_parts();
    let read = timeout(BODY_READ_TIMEOUT, read_body(body, 0)).await;
    if !matches!(read, Ok(Some(_))) {
        return Ok(text_response(StatusCode::BAD_REQUEST, "the body is not complete or too large"));
    }
    Ok(redirect(relay.pick_operators_address(), head.uri.path(), "a replica answers this"))
}

/// Reads a whole body of at most [`MAX_DOCUMENT_BYTES`] and returns it if it has at most `max_bytes`; the outer
/// `None` says that it is not complete or larger still. What is not returned is not kept, but read all the same:
/// closing a connection with unread data resets it, and the caller would lose the response.
async fn read_body(mut body: Incoming, max_bytes: usize) -> Option<Option<Bytes>> {
    let mut data = BytesMut::new();
    let mut read_bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.ok()?.into_data() else { continue };
        read_bytes += chunk.len();
        if read_bytes > MAX_DOCUMENT_BYTES {
            return None;
        }
        if read_bytes <= max_bytes {
            data.extend_from_slice(&chunk);
        }
    }
    Some((read_bytes <= max_bytes).then(|| data.freeze()))
}

async fn handle(
    service: ControlService,
    regions: Arc<BTreeSet<RegionName>>,
    log: Logger,
    req: Request<Incoming>,
) -> Result<HttpResponse, Infallible> {
    let (head, body) = req.into_parts();
    let path = head.uri.path().to_owned();
    let max_bytes = if path == DOCUMENT_PATH { MAX_DOCUMENT_BYTES } else { MAX_ANNOUNCEMENT_BYTES };
    let read = timeout(BODY_READ_TIMEOUT, read_body(body, max_bytes)).await;
    let Some(body) = read.ok().flatten().flatten() else {
        return Ok(text_response(StatusCode::BAD_REQUEST, "the body is not complete or too large"));
    };
    if let Some(zone) = drained_zone(&path) {
        let drained = match head.method {
            Method::POST => true,
            Method::DELETE => false,
            _ => return Ok(text_response(StatusCode::METHOD_NOT_ALLOWED, "use POST or DELETE")),
        };
        return Ok(set_zone_drain(&service, &log, &path, &zone, drained).await);
    }
    let response = match (&head.method, path.strip_prefix(ANNOUNCE_PATH)) {
        (&Method::PUT, Some(id)) => announce(&service, &log, id, &body).await,
        (&Method::DELETE, Some(id)) => {
            // The caller has called another replica since, and may even have started again.
            drop_if_caller_is_gone().await;
            acknowledge(service.depart(id).await)
        }
        (&Method::PUT, None) if path == DOCUMENT_PATH => {
            put_document(&service, &regions, &log, body).await
        }
        (&Method::GET, None) if path == DOCUMENT_PATH => get_document(&service, &log).await,
        _ => text_response(StatusCode::NOT_FOUND, "no such call"),
    };
    Ok(response)
}

/// Waits for the end of the connection, which a cut may have held up together with the call. If it comes, the
/// server drops the call here.
async fn drop_if_caller_is_gone() {
    sleep(CALLER_CHECK_TIME).await;
}

async fn announce(service: &ControlService, log: &Logger, id: &str, body: &[u8]) -> HttpResponse {
    let announcement = match decode_announcement(body) {
        Ok(announcement) => announcement,
        Err(reason) => {
            event!(log, AnnouncementRefused, "endpoint" => id, "reason" => reason.as_str());
            let text = format!("announcement not read: {reason}");
            return text_response(StatusCode::BAD_REQUEST, &text);
        }
    };
    let standing = match announcement.state {
        WireState::Ready => Standing::Ready,
        WireState::Draining => Standing::Draining,
    };
    let announced = service.announce(Announcement {
        id: id.to_owned(),
        service: announcement.backend,
        address: announcement.address.to_string(),
        zone: announcement.zone,
        slots: announcement.slots,
        standing: standing.into(),
        born: announcement.started_ms,
        seq: announcement.seq,
        cold_ms: announcement.cold_left_ms.max(0.0).ceil() as u64,
        revivals: 0,
    });
    acknowledge(announced.await)
}

fn decode_announcement(body: &[u8]) -> Result<WireAnnouncement, String> {
    if body.len() > MAX_ANNOUNCEMENT_BYTES {
        return Err(format!("longer than {MAX_ANNOUNCEMENT_BYTES} bytes"));
    }
    if !is_shallow(body) {
        return Err(format!("deeper than {MAX_DEPTH} levels"));
    }
    let announcement: WireAnnouncement = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if announcement.cold_left_ms > MAX_COLD_MS {
        return Err(format!("ColdLeftMs is over {MAX_COLD_MS}"));
    }
    Ok(announcement)
}

fn acknowledge(announced: Result<(), AnnouncementError>) -> HttpResponse {
    match announced {
        Ok(()) => json_response(Bytes::from_static(b"{}")),
        Err(e) => unavailable(&e.to_string()),
    }
}

/// Name of the zone in the path of a drain call; empty if there is none.
fn drained_zone(path: &str) -> Option<String> {
    let rest = path.strip_prefix(DRAIN_PATH)?;
    let name = rest.strip_prefix('/');
    if name.is_none() && !rest.is_empty() {
        return None;
    }
    Some(percent_decode_str(name.unwrap_or_default()).decode_utf8_lossy().into_owned())
}

async fn set_zone_drain(
    service: &ControlService,
    log: &Logger,
    path: &str,
    zone: &str,
    drained: bool,
) -> HttpResponse {
    // A caller that gave the call up may have sent another order since, which this one must not undo.
    drop_if_caller_is_gone().await;
    match service.set_zone_drain(zone, drained).await {
        Ok(outcome) => {
            event!(log, ZoneDrainOrdered, "zone" => zone, "drained" => drained,
                "revision" => outcome.number);
            json_response(Bytes::from_static(b"{}"))
        }
        Err(ZoneDrainError::UnknownZone(known)) => {
            event!(log, ZoneDrainRefused, "zone" => zone, "drained" => drained);
            let known: Vec<String> = known.into_iter().collect();
            let text = format!("no such availability zone; known are: {}", known.join(", "));
            text_response(StatusCode::UNPROCESSABLE_ENTITY, &text)
        }
        Err(ZoneDrainError::Call(e)) => redirect_to_leader(e, path),
    }
}

async fn put_document(
    service: &ControlService,
    regions: &BTreeSet<RegionName>,
    log: &Logger,
    body: Bytes,
) -> HttpResponse {
    // A large document takes long to check and to compress; other calls are answered meanwhile.
    let permit = DOCUMENT_CHECKS.acquire().await;
    let packed = spawn_blocking(move || {
        let _permit = permit;
        document::decode(&body).map(|config| (Document::pack(config.version, body), config))
    });
    let (document, config) = match packed.await {
        Ok(Ok(decoded)) => decoded,
        Ok(Err(findings)) => {
            event!(log, DocumentRefused, "findings" => findings.to_string());
            return text_response(StatusCode::BAD_REQUEST, &findings.to_string());
        }
        Err(e) => return text_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    };
    let version = document.version;
    // Other processes may know more zones, so that this does not make the document invalid.
    let unknown = config.find_unknown_regions(regions);
    if !unknown.is_empty() {
        event!(log, RegionsUnknown, "version" => version, "findings" => unknown.to_string());
    }
    match service.propose_document(document).await {
        Ok(outcome) => {
            event!(log, DocumentAccepted, "version" => version, "held" => outcome.number);
            json_response(Bytes::from_static(b"{}"))
        }
        Err(e) => redirect_to_leader(e, DOCUMENT_PATH),
    }
}

async fn get_document(service: &ControlService, log: &Logger) -> HttpResponse {
    match service.read_document().await {
        Ok(document) if document.version > 0 => match document.content() {
            Ok(content) => json_response(content),
            Err(e) => {
                event!(log, ConfigUnreadable, "version" => document.version,
                    "from" => "log", "findings" => e.to_string());
                text_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string())
            }
        },
        Ok(_) => unavailable("there is no document yet"),
        Err(e) => redirect_to_leader(e, DOCUMENT_PATH),
    }
}

fn redirect_to_leader(error: CallError, path: &str) -> HttpResponse {
    let leader = match error {
        CallError::NotLeader(address) => address,
        CallError::TimedOut => None,
    };
    redirect(leader, path, "the leader answers this")
}

fn redirect(address: Option<String>, path: &str, reason: &str) -> HttpResponse {
    let Some(address) = address else {
        return unavailable("no replica that could answer is known now");
    };
    let mut response = text_response(StatusCode::TEMPORARY_REDIRECT, reason);
    if let Ok(value) = HeaderValue::from_str(&format!("http://{address}{path}")) {
        response.headers_mut().insert(header::LOCATION, value);
    }
    response
}

fn unavailable(reason: &str) -> HttpResponse {
    text_response(StatusCode::SERVICE_UNAVAILABLE, reason)
}

fn text_response(status: StatusCode, text: &str) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    response
}

fn json_response(body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
