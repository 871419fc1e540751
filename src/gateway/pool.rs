//! Pool of idle connections to endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which unacknowledged data makes the kernel close the connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1000);

/// Idle time before the first keepalive probe and between probes. A long prefill keeps an engine
/// silent too, so silence alone does not show a broken connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the kernel closes the connection.
const MAX_KEEPALIVE_PROBES: u32 = 2;

/// Lifetime of an idle connection if the endpoint announces none.
const DEFAULT_IDLE_LIFETIME: Duration = Duration::from_secs(4);

/// Margin by which an idle connection is given up before the endpoint would close it.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_millis(700);

/// Size of the kernel's receive buffer of a connection where memory is bounded, in bytes. An answer
/// that is not read yet counts towards the memory of this process.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// Maximum number of unsent bytes that the kernel takes for a connection where memory is bounded.
pub const MAX_UNSENT_BYTES: u32 = 64 * 1024;

/// A connection to an endpoint, closed when dropped.
pub struct Connection {
    /// Handle that sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Address of the endpoint.
    pub addr: SocketAddr,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct IdleConnection {
    conn: Connection,
    expires_at: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    bounds_buffers: bool,
}

impl Pool {
    /// Builds an empty pool; `bounds_buffers` says whether the kernel's buffers are bounded too.
    pub fn new(bounds_buffers: bool) -> Self {
        Self { bounds_buffers, ..Self::default() }
    }

    /// Takes an idle connection that is still open.
    pub fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let conns = idle.get_mut(&addr)?;
        let now = Instant::now();
        while let Some(IdleConnection { conn, expires_at }) = conns.pop() {
            if expires_at > now && !conn.sender.is_closed() {
                return Some(conn);
            }
        }
        None
    }

    /// Establishes a new connection.
    ///
    /// # Errors
    /// Fails if the connection is not established within `CONNECT_TIMEOUT`; nothing was sent.
    pub async fn connect(&self, addr: SocketAddr) -> std::io::Result<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, self.connect_stream(addr)).await??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        if self.bounds_buffers {
            socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES)?;
        }
        socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(MAX_KEEPALIVE_PROBES);
        socket.set_tcp_keepalive(&keepalive)?;
        let handshake = Builder::new().max_buf_size(64 * 1024).handshake(TokioIo::new(stream));
        let (sender, conn) = handshake.await.map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // The sender reports the end of the connection; this error would only repeat what the
            // request sees.
            let _ = conn.await;
        });
        Ok(Connection { sender, addr, task: task.abort_handle() })
    }

    async fn connect_stream(&self, addr: SocketAddr) -> std::io::Result<TcpStream> {
        if !self.bounds_buffers {
            return TcpStream::connect(addr).await;
        }
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // The size has to be set before the connection announces its window.
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.connect(addr).await
    }

    /// Returns a connection to the pool after a complete response.
    ///
    /// `keep_alive` is the time that the endpoint keeps idle connections open.
    pub fn put(&self, conn: Connection, keep_alive: Option<Duration>) {
        let lifetime =
            keep_alive.unwrap_or(DEFAULT_IDLE_LIFETIME).saturating_sub(IDLE_CLOSE_MARGIN);
        if lifetime.is_zero() || conn.sender.is_closed() {
            return;
        }
        let expires_at = Instant::now() + lifetime;
        self.idle.lock().entry(conn.addr).or_default().push(IdleConnection { conn, expires_at });
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        for conns in idle.values_mut() {
            conns.retain(|i| i.expires_at > now && !i.conn.sender.is_closed());
        }
        idle.retain(|_, conns| !conns.is_empty());
    }
}
