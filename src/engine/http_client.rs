//! One HTTP/1.1 client for calls to endpoints that never sends anything twice.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::EngineError;

/// Longest time to connect.
const CONNECT_LIMIT: Duration = Duration::from_millis(1000);

/// Idle connections that are kept.
const MOST_IDLE: usize = 64;

/// Largest answer that is read whole, in bytes.
pub(super) const MAX_ANSWER: usize = 16 * 1024 * 1024;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Connections to one endpoint. A call goes out on one connection once.
pub(super) struct HttpClient {
    addr: SocketAddr,
    idle: Mutex<Vec<Sender>>,
}

impl HttpClient {
    pub(super) fn new(addr: SocketAddr) -> Self {
        Self { addr, idle: Mutex::default() }
    }

    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request on a new connection, so that no stale one loses it.
    pub(super) async fn send_fresh(
        &self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, EngineError> {
        let mut sender = self.connect().await?;
        sender.send_request(req).await.map_err(broken)
    }

    /// Sends a request that may be repeated by its caller, on a kept connection if there is one.
    pub(super) async fn ask(
        &self,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(u16, Bytes), EngineError> {
        let whole = async {
            let mut sender = match self.take_idle() {
                Some(sender) => sender,
                None => self.connect().await?,
            };
            let response = sender.send_request(req).await.map_err(broken)?;
            let answer = read_whole(response).await?;
            let mut idle = self.idle.lock();
            if idle.len() < MOST_IDLE {
                idle.push(sender);
            }
            Ok(answer)
        };
        let late = || EngineError::Interrupted { reason: "no answer in time".into() };
        timeout(limit, whole).await.map_err(|_| late())?
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock();
        while let Some(sender) = idle.pop() {
            if sender.is_ready() && !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    pub(super) async fn connect(&self) -> Result<Sender, EngineError> {
        let not_reached = |reason: String| EngineError::NotReached { reason };
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(self.addr))
            .await
            .map_err(|_| not_reached("timed out".into()))?
            .map_err(|e| not_reached(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, conn) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| not_reached(e.to_string()))?;
        tokio::spawn(async move {
            let _ = conn.await;
        });
        Ok(sender)
    }
}

pub(super) fn broken(e: impl std::fmt::Display) -> EngineError {
    EngineError::Interrupted { reason: e.to_string() }
}

pub(super) async fn read_whole(response: Response<Incoming>) -> Result<(u16, Bytes), EngineError> {
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_ANSWER).collect().await.map_err(broken)?;
    Ok((status, body.to_bytes()))
}

pub(super) fn request(
    method: &str,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, EngineError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "endpoint")
        .header("content-type", "application/json")
        .body(Full::new(body.into()))
        .map_err(|e| EngineError::NotReached { reason: e.to_string() })
}
