//! HTTP/1.1 client for calls of endpoints; it never resends a request.

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

use super::CallError;
use crate::answer_bounds::{InformationalWatch, is_answer};

/// Timeout for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum number of idle connections that are kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Largest response body that is read into memory, in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Connections to one endpoint. Each request is sent once, on one connection.
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

    /// Sends a request on a new connection. An idle one may be stale, and the request would be
    /// lost.
    pub(super) async fn send_on_new_connection(
        &self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        let mut sender = self.connect().await?;
        exchange(&mut sender, req).await
    }

    /// Sends a request on an idle connection, or a new one, and reads the response within
    /// `request_timeout`.
    ///
    /// The idle connection may be stale, so the request must be safe for the caller to repeat.
    pub(super) async fn send_pooled(
        &self,
        req: Request<Full<Bytes>>,
        request_timeout: Duration,
    ) -> Result<(u16, Bytes), CallError> {
        let exchange = async {
            let mut sender = match self.take_idle() {
                Some(sender) => sender,
                None => self.connect().await?,
            };
            let response = exchange(&mut sender, req).await?;
            let parts = read_body(response).await?;
            let mut idle = self.idle.lock();
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push(sender);
            }
            Ok(parts)
        };
        let timed_out = || CallError::Interrupted { reason: "no answer in time".into() };
        timeout(request_timeout, exchange).await.map_err(|_| timed_out())?
    }

    /// Removes a usable connection from the idle ones; closed ones are dropped.
    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock();
        while let Some(sender) = idle.pop() {
            if sender.is_ready() && !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    /// Opens a connection. It is driven by a task of its own until it is closed.
    pub(super) async fn connect(&self) -> Result<Sender, CallError> {
        let not_reached = |reason: String| CallError::NotReached { reason };
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr))
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

/// Sends a request and waits for the head of its answer.
async fn exchange(
    sender: &mut Sender,
    mut req: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, CallError> {
    let informational = InformationalWatch::default();
    informational.attach(&mut req);
    let response = tokio::select! {
        response = sender.send_request(req) => response.map_err(interrupted)?,
        () = informational.exceeded() => {
            return Err(interrupted("informational responses without end"));
        }
    };
    if !is_answer(response.status()) {
        let status = response.status().as_u16();
        return Err(interrupted(format_args!("status {status} is no answer")));
    }
    Ok(response)
}

/// Wraps an error after which the endpoint may have executed the request.
pub(super) fn interrupted(e: impl std::fmt::Display) -> CallError {
    CallError::Interrupted { reason: e.to_string() }
}

/// Reads a response's status and whole body.
pub(super) async fn read_body(response: Response<Incoming>) -> Result<(u16, Bytes), CallError> {
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(interrupted)?;
    Ok((status, body.to_bytes()))
}

/// Builds a request with a JSON body.
pub(super) fn build_request(
    method: &str,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, CallError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "endpoint")
        .header("content-type", "application/json")
        .body(Full::new(body.into()))
        .map_err(|e| CallError::NotReached { reason: e.to_string() })
}
