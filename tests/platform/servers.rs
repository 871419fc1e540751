//! Simulated servers that announce themselves to control, record their requests, and fail in the
//! way that a test selects.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::deployment::call;

/// Number of events in a whole stream.
pub const EVENTS: u64 = 12;

/// How a server responds to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerMode {
    /// Responds with success.
    #[default]
    Normal,
    /// Responds that it did not run the request.
    Refuses,
    /// Runs the request, then closes the connection within the response body.
    DropsResponse,
    /// Closes the connection in the middle of the fifth event of a stream.
    TruncatesStream,
    /// Responds with the id of another request.
    WrongRequestId,
    /// Runs the request and responds with status 500.
    Fails,
    /// Waits 250 ms before every event instead of 5 ms.
    Slow,
    /// Starts a stream and sends no event.
    Stalls,
}

/// A request that a server ran or refused.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub server: String,
    pub ran: bool,
    pub workspace: Option<String>,
    pub saw_key: bool,
    pub deadline_ms: Option<u64>,
    pub last_event: Option<u64>,
    pub helpers: Option<String>,
    pub at: Instant,
}

/// Records of all servers of a test.
#[derive(Clone, Default)]
pub struct Records {
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Requests whose caller disconnected before the end of the stream, and when it was noticed.
    pub disconnects: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Requests a second that servers name in their responses, by server id.
    pub limits: Arc<Mutex<HashMap<String, f64>>>,
    /// Ids of reservations, their tokens, and when they expire.
    pub reservations: Arc<Mutex<Vec<(String, u64, Instant)>>>,
}

impl Records {
    pub fn of(&self, request: &str) -> Vec<Run> {
        self.runs.lock().iter().filter(|r| r.request == request).cloned().collect()
    }

    /// Highest number of requests that arrived at a server within `window` since `start`.
    pub fn most_arrivals(&self, server: &str, start: Instant, window: Duration) -> usize {
        let runs = self.runs.lock();
        let times: Vec<Instant> =
            runs.iter().filter(|r| r.server == server && r.at >= start).map(|r| r.at).collect();
        let count_from = |from: &Instant| {
            times.iter().filter(|at| **at >= *from && at.duration_since(*from) < window).count()
        };
        times.iter().map(count_from).max().unwrap_or(0)
    }

    pub fn times_run(&self, request: &str) -> usize {
        self.of(request).iter().filter(|r| r.ran).count()
    }
}

/// A running server.
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    service: &'static str,
    state: Arc<Mutex<(ServerMode, &'static str)>>,
    started_ms: u64,
    tasks: Vec<JoinHandle<()>>,
    seq: Arc<Mutex<u64>>,
}

impl Server {
    /// Starts a server that announces itself to control every 300 ms.
    pub async fn start(
        id: &str,
        service: &'static str,
        addr: SocketAddr,
        control: Vec<SocketAddr>,
        records: &Records,
    ) -> Self {
        let listener = TcpListener::bind(addr).await.unwrap();
        let state = Arc::new(Mutex::new((ServerMode::Normal, "ready")));
        let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let seq = Arc::new(Mutex::new(0));
        let mut server =
            Self { id: id.into(), addr, service, state, started_ms, tasks: vec![], seq };
        let (name, state, records) = (server.id.clone(), server.state.clone(), records.clone());
        server.tasks.push(tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { return };
                let (name, state, records) = (name.clone(), state.clone(), records.clone());
                tokio::spawn(async move {
                    let service = service_fn(move |req| {
                        let mode = state.lock().0;
                        respond(name.clone(), mode, records.clone(), req)
                    });
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        }));
        let announcer = Announcer {
            id: server.id.clone(),
            service,
            addr,
            started_ms,
            state: server.state.clone(),
            seq: server.seq.clone(),
        };
        server.tasks.push(tokio::spawn(async move {
            loop {
                for control in &control {
                    if announcer.send(*control).await == Some(200) {
                        break;
                    }
                }
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        }));
        server
    }

    pub fn set(&self, mode: ServerMode) {
        self.state.lock().0 = mode;
    }

    /// Announces that the server drains, and returns once control acknowledges it.
    pub async fn drain(&self, control: &[SocketAddr]) {
        self.state.lock().1 = "draining";
        let announcer = Announcer {
            id: self.id.clone(),
            service: self.service,
            addr: self.addr,
            started_ms: self.started_ms,
            state: self.state.clone(),
            seq: self.seq.clone(),
        };
        loop {
            for addr in control {
                if announcer.send(*addr).await == Some(200) {
                    return;
                }
            }
        }
    }

    /// Stops the server without an announcement.
    pub fn crash(self) {}
}

impl Drop for Server {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Sends announcements of one server.
struct Announcer {
    id: String,
    service: &'static str,
    addr: SocketAddr,
    started_ms: u64,
    state: Arc<Mutex<(ServerMode, &'static str)>>,
    seq: Arc<Mutex<u64>>,
}

impl Announcer {
    async fn send(&self, control: SocketAddr) -> Option<u16> {
        let state = self.state.lock().1;
        *self.seq.lock() += 1;
        let body = json!({
            "Backend": self.service, "Address": self.addr.to_string(), "Zone": "zone-a",
            "Version": "v1", "Slots": 16, "State": state, "ColdLeftMs": 0,
            "Seq": *self.seq.lock(), "born": self.started_ms,
        });
        let req = Request::put(format!("/api/instances/{}", self.id))
            .body(Full::new(Bytes::from(body.to_string())))
            .unwrap();
        call(control, req).await.ok().map(|a| a.status().as_u16())
    }
}

type Body = BoxBody<Bytes, std::io::Error>;

async fn respond(
    server: String,
    mode: ServerMode,
    records: Records,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    if req.uri().path() == "/api/order" {
        return Ok(handle_order(&records, req).await);
    }
    let text =
        |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let id = text("attempt-id").unwrap_or_default();
    let streams = text("token-usage").is_some();
    let last_event = text("last-event-id").and_then(|v| v.parse().ok());
    let is_refused = mode == ServerMode::Refuses || text("expect-instance") != Some(server.clone());
    records.runs.lock().push(Run {
        request: id.clone(),
        server: server.clone(),
        ran: !is_refused,
        workspace: text("tenant"),
        saw_key: text("api-key").is_some(),
        deadline_ms: text("deadline-ms").and_then(|v| v.parse().ok()),
        last_event,
        helpers: text("helpers"),
        at: Instant::now(),
    });
    let limit = records.limits.lock().get(&server).copied();
    let with_limit = |head: http::response::Builder| match limit {
        Some(limit) => head.header("server-limit", limit.to_string()),
        None => head,
    };
    if is_refused {
        let refusal = with_limit(Response::builder().status(503).header("not-executed", "1"));
        return Ok(refusal.header("attempt-id", id).body(full_body("")).unwrap());
    }
    let response_id = if mode == ServerMode::WrongRequestId { "another" } else { id.as_str() };
    let head = with_limit(Response::builder())
        .header("attempt-id", response_id)
        .header("server-signature", format!("signed-by-{server}"));
    if mode == ServerMode::Fails {
        return Ok(head.status(500).body(full_body("failed")).unwrap());
    }
    if mode == ServerMode::DropsResponse {
        let _ = req.into_body().collect().await;
        return Ok(head.body(truncated_body()).unwrap());
    }
    if !streams {
        tokio::time::sleep(Duration::from_millis(10)).await;
        return Ok(head.body(full_body(&format!("answer to {id}"))).unwrap());
    }
    let (tx, rx) = mpsc::channel(1);
    tokio::spawn(write_events(mode, last_event.unwrap_or(0), tx, id, records));
    let stream = futures::stream::unfold(rx, |mut rx| async move {
        let item: Result<Frame<Bytes>, std::io::Error> = rx.recv().await?;
        Some((item, rx))
    });
    let head = head.header("content-type", "text/event-stream");
    Ok(head.body(BodyExt::boxed(StreamBody::new(Box::pin(stream)))).unwrap())
}

async fn write_events(
    mode: ServerMode,
    after: u64,
    tx: mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>,
    request: String,
    records: Records,
) {
    for id in after + 1..=EVENTS {
        let event = format!("id: {id}\ndata: part {id}\n\n");
        if mode == ServerMode::TruncatesStream && id == after + 5 {
            let half = Bytes::from(event[..event.len() / 2].to_owned());
            let _ = tx.send(Ok(Frame::data(half))).await;
            let _ = tx.send(Err(std::io::Error::other("breaks off"))).await;
            return;
        }
        let pause = match mode {
            ServerMode::Slow => 250,
            ServerMode::Stalls => 60_000,
            _ => 5,
        };
        tokio::select! {
            () = tx.closed() => {
                records.disconnects.lock().push((request, Instant::now()));
                return;
            }
            () = tokio::time::sleep(Duration::from_millis(pause)) => {}
        }
        if tx.send(Ok(Frame::data(Bytes::from(event)))).await.is_err() {
            records.disconnects.lock().push((request, Instant::now()));
            return;
        }
    }
}

async fn handle_order(records: &Records, req: Request<Incoming>) -> Response<Body> {
    let body = req.into_body().collect().await.unwrap().to_bytes();
    let order: serde_json::Value = serde_json::from_slice(&body).unwrap();
    let id = order["Id"].as_str().unwrap_or_default().to_owned();
    let mut held = records.reservations.lock();
    match order["Op"].as_str() {
        Some("reserve") => {
            held.retain(|(h, ..)| *h != id);
            let hold = Duration::from_millis(order["HoldMs"].as_u64().unwrap());
            held.push((id, order["TokenCount"].as_u64().unwrap(), Instant::now() + hold));
        }
        _ => held.retain(|(h, ..)| *h != id),
    }
    Response::new(full_body("{}"))
}

fn full_body(text: &str) -> Body {
    Full::new(Bytes::from(text.to_owned())).map_err(|never: Infallible| match never {}).boxed()
}

/// A body whose connection is closed after three bytes.
fn truncated_body() -> Body {
    let parts = [Ok(Frame::data(Bytes::from_static(b"par"))), Err(std::io::Error::other("lost"))];
    BodyExt::boxed(StreamBody::new(futures::stream::iter(parts)))
}
