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
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// Timeout for establishing a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Time after which unacknowledged data makes the kernel close the connection.
const UNACKED_LIMIT: Duration = Duration::from_millis(1000);

/// Idle time before the first keepalive probe and between probes. A long prefill keeps an engine
/// silent too, so silence alone does not show a broken connection.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the kernel closes the connection.
const PROBES: u32 = 2;

/// Lifetime of an idle connection if the endpoint announces none.
const IDLE: Duration = Duration::from_secs(4);

/// Margin by which an idle connection is given up before the endpoint would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

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

struct Idle {
    conn: Connection,
    until: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes an idle connection that is still open.
    pub fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let of_addr = idle.get_mut(&addr)?;
        let now = Instant::now();
        while let Some(Idle { conn, until }) = of_addr.pop() {
            if until > now && !conn.sender.is_closed() {
                return Some(conn);
            }
        }
        None
    }

    /// Establishes a new connection.
    ///
    /// # Errors
    /// Fails if the connection is not established within [`CONNECT_TIMEOUT`]; nothing was sent.
    pub async fn connect(&self, addr: SocketAddr) -> std::io::Result<Connection> {
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(UNACKED_LIMIT))?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_PAUSE)
            .with_interval(PROBE_PAUSE)
            .with_retries(PROBES);
        socket.set_tcp_keepalive(&probes)?;
        let handshake = Builder::new().max_buf_size(64 * 1024).handshake(TokioIo::new(stream));
        let (sender, conn) = handshake.await.map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // The sender reports the end of the connection; this error would only repeat what the
            // request sees.
            let _ = conn.await;
        });
        Ok(Connection { sender, addr, task: task.abort_handle() })
    }

    /// Returns a connection to the pool after a complete response.
    ///
    /// `keep_alive` is the time that the endpoint keeps idle connections open.
    pub fn give_back(&self, conn: Connection, keep_alive: Option<Duration>) {
        let life = keep_alive.unwrap_or(IDLE).saturating_sub(IDLE_MARGIN);
        if life.is_zero() || conn.sender.is_closed() {
            return;
        }
        let until = Instant::now() + life;
        self.idle.lock().entry(conn.addr).or_default().push(Idle { conn, until });
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        for of_addr in idle.values_mut() {
            of_addr.retain(|i| i.until > now && !i.conn.sender.is_closed());
        }
        idle.retain(|_, of_addr| !of_addr.is_empty());
    }
}
