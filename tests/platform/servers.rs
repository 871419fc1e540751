//! Stand-in servers that announce themselves, record what they run, and misbehave on request.

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

/// Number of events of a stream.
pub const EVENTS: u64 = 12;

/// How a server treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manner {
    /// Answers.
    #[default]
    Sound,
    /// Says that it did not run the request.
    Refuses,
    /// Runs the request, then breaks the connection instead of answering.
    LosesAnswer,
    /// Breaks a stream off after half of an event.
    BreaksOff,
    /// Answers under the identity of another request.
    Crosses,
    /// Fails what it runs.
    Fails,
    /// Takes long between events.
    Slow,
}

/// One request that a server ran or refused.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub server: String,
    pub ran: bool,
    pub workspace: Option<String>,
    pub saw_key: bool,
    pub left_ms: Option<u64>,
    pub last_event: Option<u64>,
    pub helpers: Option<String>,
    pub at: Instant,
}

/// What all servers of a test record together.
#[derive(Clone, Default)]
pub struct Records {
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub left_early: Arc<Mutex<Vec<(String, Instant)>>>,
    pub reservations: Arc<Mutex<Vec<(String, u64, Instant)>>>,
}

impl Records {
    pub fn of(&self, request: &str) -> Vec<Run> {
        self.runs.lock().iter().filter(|r| r.request == request).cloned().collect()
    }

    pub fn times_run(&self, request: &str) -> usize {
        self.of(request).iter().filter(|r| r.ran).count()
    }
}

/// One server.
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    service: &'static str,
    state: Arc<Mutex<(Manner, &'static str)>>,
    born: u64,
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
        let state = Arc::new(Mutex::new((Manner::Sound, "ready")));
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let seq = Arc::new(Mutex::new(0));
        let mut server = Self { id: id.into(), addr, service, state, born, tasks: vec![], seq };
        let (name, state, records) = (server.id.clone(), server.state.clone(), records.clone());
        server.tasks.push(tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { return };
                let (name, state, records) = (name.clone(), state.clone(), records.clone());
                tokio::spawn(async move {
                    let service = service_fn(move |req| {
                        let manner = state.lock().0;
                        answer(name.clone(), manner, records.clone(), req)
                    });
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        }));
        let beats = Beats {
            id: server.id.clone(),
            service,
            addr,
            born,
            state: server.state.clone(),
            seq: server.seq.clone(),
        };
        server.tasks.push(tokio::spawn(async move {
            loop {
                for control in &control {
                    if beats.send(*control).await == Some(200) {
                        break;
                    }
                }
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        }));
        server
    }

    pub fn set(&self, manner: Manner) {
        self.state.lock().0 = manner;
    }

    /// Reports that it leaves, and returns once that is acknowledged.
    pub async fn drain(&self, control: &[SocketAddr]) {
        self.state.lock().1 = "draining";
        let beats = Beats {
            id: self.id.clone(),
            service: self.service,
            addr: self.addr,
            born: self.born,
            state: self.state.clone(),
            seq: self.seq.clone(),
        };
        loop {
            for addr in control {
                if beats.send(*addr).await == Some(200) {
                    return;
                }
            }
        }
    }

    /// Ends without a word.
    pub fn crash(self) {}
}

impl Drop for Server {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

struct Beats {
    id: String,
    service: &'static str,
    addr: SocketAddr,
    born: u64,
    state: Arc<Mutex<(Manner, &'static str)>>,
    seq: Arc<Mutex<u64>>,
}

impl Beats {
    async fn send(&self, control: SocketAddr) -> Option<u16> {
        let state = self.state.lock().1;
        *self.seq.lock() += 1;
        let body = json!({
            "Backend": self.service, "Address": self.addr.to_string(), "Zone": "zone-a",
            "Version": "v1", "Slots": 16, "State": state, "ColdLeftMs": 0,
            "Seq": *self.seq.lock(), "born": self.born,
        });
        let req = Request::put(format!("/api/instances/{}", self.id))
            .body(Full::new(Bytes::from(body.to_string())))
            .unwrap();
        call(control, req).await.ok().map(|a| a.status().as_u16())
    }
}

type Body = BoxBody<Bytes, std::io::Error>;

async fn answer(
    server: String,
    manner: Manner,
    records: Records,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    if req.uri().path() == "/api/order" {
        return Ok(take_order(&records, req).await);
    }
    let text =
        |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let id = text("attempt-id").unwrap_or_default();
    let streams = text("token-usage").is_some();
    let last_event = text("last-event-id").and_then(|v| v.parse().ok());
    let refuses = manner == Manner::Refuses || text("expect-instance") != Some(server.clone());
    records.runs.lock().push(Run {
        request: id.clone(),
        server: server.clone(),
        ran: !refuses,
        workspace: text("tenant"),
        saw_key: text("api-key").is_some(),
        left_ms: text("deadline-ms").and_then(|v| v.parse().ok()),
        last_event,
        helpers: text("helpers"),
        at: Instant::now(),
    });
    if refuses {
        let refusal = Response::builder().status(503).header("not-executed", "1");
        return Ok(refusal.header("attempt-id", id).body(whole("")).unwrap());
    }
    let shown = if manner == Manner::Crosses { "another" } else { id.as_str() };
    let head = Response::builder()
        .header("attempt-id", shown)
        .header("server-signature", format!("signed-by-{server}"));
    if manner == Manner::Fails {
        return Ok(head.status(500).body(whole("failed")).unwrap());
    }
    if manner == Manner::LosesAnswer {
        let _ = req.into_body().collect().await;
        return Ok(head.body(broken()).unwrap());
    }
    if !streams {
        tokio::time::sleep(Duration::from_millis(10)).await;
        return Ok(head.body(whole(&format!("answer to {id}"))).unwrap());
    }
    let (tx, rx) = mpsc::channel(1);
    tokio::spawn(write_events(manner, last_event.unwrap_or(0), tx, id, records));
    let stream = futures::stream::unfold(rx, |mut rx| async move {
        let item: Result<Frame<Bytes>, std::io::Error> = rx.recv().await?;
        Some((item, rx))
    });
    let head = head.header("content-type", "text/event-stream");
    Ok(head.body(BodyExt::boxed(StreamBody::new(Box::pin(stream)))).unwrap())
}

async fn write_events(
    manner: Manner,
    after: u64,
    tx: mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>,
    request: String,
    records: Records,
) {
    for id in after + 1..=EVENTS {
        let event = format!("id: {id}\ndata: part {id}\n\n");
        if manner == Manner::BreaksOff && id == after + 5 {
            let half = Bytes::from(event[..event.len() / 2].to_owned());
            let _ = tx.send(Ok(Frame::data(half))).await;
            let _ = tx.send(Err(std::io::Error::other("breaks off"))).await;
            return;
        }
        let pause = if manner == Manner::Slow { 250 } else { 5 };
        tokio::select! {
            () = tx.closed() => {
                records.left_early.lock().push((request, Instant::now()));
                return;
            }
            () = tokio::time::sleep(Duration::from_millis(pause)) => {}
        }
        if tx.send(Ok(Frame::data(Bytes::from(event)))).await.is_err() {
            records.left_early.lock().push((request, Instant::now()));
            return;
        }
    }
}

async fn take_order(records: &Records, req: Request<Incoming>) -> Response<Body> {
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
    Response::new(whole("{}"))
}

fn whole(text: &str) -> Body {
    Full::new(Bytes::from(text.to_owned())).map_err(|never: Infallible| match never {}).boxed()
}

/// A body that announces more than it brings.
fn broken() -> Body {
    let parts = [Ok(Frame::data(Bytes::from_static(b"par"))), Err(std::io::Error::other("lost"))];
    BodyExt::boxed(StreamBody::new(futures::stream::iter(parts)))
}
