//! Server side of the protocol: accepts connections and passes their messages to a handler.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use super::envelope::Body;
use super::frame::{EnvelopeCodec, PROTOCOL_VERSION};
use super::link::{LinkConfig, build_hello, is_blocked, next_frame, split, write_frames};
use super::{Envelope, Fault, Hello};
use crate::event;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Capacity of a connection's send queue in frames; senders wait while it is full.
const SEND_QUEUE_FRAMES: usize = 1024;

/// An accepted connection. Clones share it.
#[derive(Clone)]
pub struct Conn {
    /// Id of the connection, unique within its listener.
    pub id: u64,
    /// Name of the peer's node, from the handshake.
    pub node: Arc<str>,
    /// Cancelled once the connection is lost; cancelling it closes the connection.
    pub cx: CancellationToken,
    tx: mpsc::Sender<Envelope>,
}

impl Conn {
    /// Queues a message of a call, and waits while the queue is full. Returns false once the
    /// connection is lost.
    pub async fn send(&self, call: u64, body: Body) -> bool {
        let frame = Envelope { call, body: Some(body) };
        tokio::select! {
            biased;
            () = self.cx.cancelled() => false,
            sent = self.tx.send(frame) => sent.is_ok(),
        }
    }

    /// Replies to a call with a fault. Returns false once the connection is lost.
    pub async fn refuse(&self, call: u64, reason: impl Into<String>) -> bool {
        self.send(call, Body::Fault(Fault { reason: reason.into() })).await
    }
}

/// Handles the messages of all connections of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Handles one message. It blocks the connection's reader, so anything slow has to be spawned.
    fn on_message(&self, conn: &Conn, call: u64, body: Body);

    /// Called once after a connection was lost or closed.
    fn on_closed(&self, conn: &Conn);
}

/// Accepts and serves connections until cancelled; that closes them too.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    cfg: LinkConfig,
    log: Logger,
    cx: CancellationToken,
) {
    let next_id = AtomicU64::new(1);
    loop {
        let accepted = tokio::select! {
            () = cx.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            // Out of descriptors, most likely; other connections are about to be closed.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let id = next_id.fetch_add(1, Ordering::Relaxed);
        let (handler, cfg, log) = (Arc::clone(&handler), cfg.clone(), log.clone());
        let cx = cx.child_token();
        tokio::spawn(async move {
            serve_connection(id, stream, handler, cfg, log, cx).await;
        });
    }
}

async fn serve_connection(
    id: u64,
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    cfg: LinkConfig,
    log: Logger,
    cx: CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let peer = stream.peer_addr().map(|a| a.to_string()).unwrap_or_default();
    let mut framed = Framed::new(stream, EnvelopeCodec::new(cfg.max_frame));
    let hello = match handshake(&mut framed, &cfg).await {
        Ok(hello) => hello,
        Err(reason) => {
            event!(log, FrameRefused, "peer" => peer, "reason" => reason.clone());
            let fault = Envelope { call: 0, body: Some(Body::Fault(Fault { reason })) };
            let _ = timeout(cfg.connect_timeout, framed.send(fault)).await;
            return;
        }
    };
    let (mut stream, write) = split(framed);
    let (tx, rx) = mpsc::channel(SEND_QUEUE_FRAMES);
    let codec = EnvelopeCodec::new(cfg.max_frame);
    tokio::spawn(write_frames(write, codec, rx, cfg.keepalive_interval, cx.clone()));
    let conn = Conn { id, node: hello.node.into(), cx: cx.clone(), tx };
    loop {
        let frame = tokio::select! {
            () = cx.cancelled() => break,
            frame = next_frame(&mut stream, cfg.idle_timeout) => frame,
        };
        match frame {
            Some(Ok(Envelope { call, body: Some(body) })) => {
                if !matches!(body, Body::Ack(_)) {
                    handler.on_message(&conn, call, body);
                }
            }
            Some(Ok(Envelope { call, body: None })) => {
                conn.refuse(call, "message of an unknown kind; upgrade the older side").await;
            }
            Some(Err(e)) => {
                event!(log, FrameRefused, "peer" => &peer, "reason" => e.to_string());
                conn.refuse(0, e.to_string()).await;
                tokio::task::yield_now().await;
                break;
            }
            None => break,
        }
    }
    cx.cancel();
    handler.on_closed(&conn);
}

/// Performs the handshake and returns the peer's hello, or why the connection is refused.
async fn handshake(
    framed: &mut Framed<TcpStream, EnvelopeCodec>,
    cfg: &LinkConfig,
) -> Result<Hello, String> {
    let first = timeout(cfg.connect_timeout, framed.next())
        .await
        .map_err(|_| "no greeting in time".to_owned())?;
    if is_blocked("wire.send") || is_blocked("wire.receive") {
        tokio::time::sleep(cfg.idle_timeout).await;
        return Err("no greeting in time".into());
    }
    let hello = match first {
        Some(Ok(Envelope { body: Some(Body::Hello(h)), .. })) => h,
        Some(Err(e)) => return Err(e.to_string()),
        _ => return Err("the first frame has to be a greeting".into()),
    };
    if hello.version != PROTOCOL_VERSION {
        return Err(format!(
            "protocol version {} is not served, this is version {PROTOCOL_VERSION}",
            hello.version
        ));
    }
    let reply = Envelope { call: 0, body: Some(Body::Hello(build_hello(cfg))) };
    framed.send(reply).await.map_err(|e| e.to_string())?;
    Ok(hello)
}
