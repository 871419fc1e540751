//! Callers that keep their connections open until the process behind them is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::deployment::{ask, ask_with_parts, id_of, plain};
use crate::history::{End, History, Kind, Outcome};

/// Time that a caller grants a request.
const DEADLINE: Duration = Duration::from_millis(3000);

/// Time after the deadline at which a caller stops to wait for a missing answer.
const PATIENCE: Duration = Duration::from_millis(4000);

/// Prompt part that requests of all callers share.
const SHARED_PART: &str = "51aed";

/// Share of the requests whose caller leaves early, in percent.
const LEAVING_PERCENT: u32 = 8;

/// Addresses of the entries, and where outcomes are recorded.
#[derive(Clone)]
pub struct Callers {
    pub entries: Vec<SocketAddr>,
    pub history: Arc<History>,
}

/// An open connection; closed when dropped.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect(addr: SocketAddr) -> Option<Connection> {
    let stream = timeout(Duration::from_secs(1), TcpStream::connect(addr)).await.ok()?.ok()?;
    let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::spawn(async move {
        let _ = conn.await;
    });
    Some(Connection { sender, task: task.abort_handle() })
}

impl Callers {
    /// Sends requests one after the other, over one connection as long as it lasts.
    pub async fn call_forever(self, mut rng: ChaCha8Rng, cx: CancellationToken) {
        while !cx.is_cancelled() {
            let entry = rng.random_range(0..self.entries.len());
            let Some(mut conn) = connect(self.entries[entry]).await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            while !cx.is_cancelled() && self.call_once(&mut conn, entry, &mut rng).await {
                sleep(Duration::from_millis(rng.random_range(0..120))).await;
            }
        }
    }

    /// Sends requests with a prompt part that crashes servers, which nobody misses.
    pub async fn crash_servers(self, part: String, mut rng: ChaCha8Rng, cx: CancellationToken) {
        while !cx.is_cancelled() {
            sleep(Duration::from_millis(rng.random_range(100..700))).await;
            let entry = rng.random_range(0..self.entries.len());
            let Some(mut conn) = connect(self.entries[entry]).await else { continue };
            let req = ask_with_parts("/ask/1", 1000, &[SHARED_PART, &part]);
            let _ = timeout(DEADLINE, exchange(&mut conn.sender, req)).await;
        }
    }

    /// Sends one request; false if the connection cannot be used again.
    async fn call_once(&self, conn: &mut Connection, entry: usize, rng: &mut ChaCha8Rng) -> bool {
        if conn.sender.ready().await.is_err() {
            return false;
        }
        let (kind, req) = build_request(rng);
        let id = id_of(&req);
        let leaves = rng.random_range(0..100) < LEAVING_PERCENT;
        let wait = if leaves {
            Duration::from_millis(rng.random_range(20..400))
        } else {
            DEADLINE + PATIENCE
        };
        let sent_at = Instant::now();
        let exchange = timeout(wait, exchange(&mut conn.sender, req)).await;
        let (end, reusable) = match exchange {
            Err(_) if leaves => (End::Left, false),
            Err(_) => (End::Lost, false),
            Ok(exchanged) => exchanged,
        };
        let ended_at = Instant::now();
        let outcome = Outcome { id, kind, entry, sent_at, ended_at, deadline: DEADLINE, end };
        self.history.outcomes.lock().push(outcome);
        reusable
    }
}

/// Sends a request and reads the whole answer; also tells whether the connection stays open.
async fn exchange(sender: &mut SendRequest<Full<Bytes>>, req: Request<Full<Bytes>>) -> (End, bool) {
    let Ok(answer) = sender.send_request(req).await else { return (End::Lost, false) };
    let closes = header(&answer, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let status = answer.status().as_u16();
    let (id, signed) =
        (header(&answer, "attempt-id"), answer.headers().contains_key("server-signature"));
    let body = answer.into_body().collect().await.ok();
    let body = body.map(|b| String::from_utf8_lossy(&b.to_bytes()).into_owned());
    let whole = body.is_some();
    (End::Answered { status, id, signed, body }, whole && !closes)
}

fn header<T>(answer: &Response<T>, name: &str) -> Option<String> {
    answer.headers().get(name)?.to_str().ok().map(str::to_owned)
}

fn build_request(rng: &mut ChaCha8Rng) -> (Kind, Request<Full<Bytes>>) {
    let prompt = match rng.random_range(0..30) {
        0 => 460_000,
        1..5 => 30_000,
        _ => rng.random_range(100..5_000),
    };
    let (kind, mut req) = match rng.random_range(0..10) {
        0..4 => (Kind::Ask, ask_with_parts("/ask/1", prompt, &[SHARED_PART])),
        4..6 => (Kind::Tell, ask("/tell/1", prompt.min(30_000))),
        6..8 => (Kind::Book, plain("POST", "/book/1")),
        _ => (Kind::Status, plain("GET", "/book/status/1")),
    };
    let deadline = DEADLINE.as_millis().to_string();
    req.headers_mut().insert("deadline-ms", deadline.parse().unwrap());
    (kind, req)
}
