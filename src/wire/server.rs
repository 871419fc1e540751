//! The answering side of connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures::{SinkExt, StreamExt};
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use super::envelope::Body;
use super::frame::{EnvelopeCodec, PROTOCOL_VERSION};
use super::link::{LinkConfig, is_cut, next_frame, split, write_frames};
use super::{Envelope, Fault, Hello};
use crate::event;

/// Frames that may wait for a connection before senders wait.
const SEND_QUEUE: usize = 1024;

/// One connection as its handler sees it.
#[derive(Clone)]
pub struct Conn {
    /// Number of the connection within this process.
    pub id: u64,
    /// Name that the other side gave.
    pub node: Arc<str>,
    /// Cancelled once the connection is lost.
    pub cx: CancellationToken,
    tx: mpsc::Sender<Envelope>,
}

impl Conn {
    /// Sends a message of a call; false once the connection is lost.
    pub async fn send(&self, call: u64, body: Body) -> bool {
        let frame = Envelope { call, body: Some(body) };
        tokio::select! {
            biased;
            () = self.cx.cancelled() => false,
            sent = self.tx.send(frame) => sent.is_ok(),
        }
    }

    /// Says that a call cannot be served.
    pub async fn refuse(&self, call: u64, reason: impl Into<String>) -> bool {
        self.send(call, Body::Fault(Fault { reason: reason.into() })).await
    }
}

/// Takes the messages of all connections of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Takes one message; long work belongs into a task.
    fn on_message(&self, conn: &Conn, call: u64, body: Body);

    /// Learns that a connection is lost.
    fn on_closed(&self, conn: &Conn);
}

/// Accepts connections until cancelled.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    cfg: LinkConfig,
    log: Logger,
    cx: CancellationToken,
) {
    let numbers = AtomicU64::new(1);
    loop {
        let accepted = tokio::select! {
            () = cx.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(cfg.keepalive).await;
            continue;
        };
        let id = numbers.fetch_add(1, Ordering::Relaxed);
        let (handler, cfg, log) = (Arc::clone(&handler), cfg.clone(), log.clone());
        let cx = cx.child_token();
        tokio::spawn(async move {
            serve_one(id, stream, handler, cfg, log, cx).await;
        });
    }
}

async fn serve_one(
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
    let hello = match greet(&mut framed, &cfg).await {
        Ok(hello) => hello,
        Err(reason) => {
            event!(log, FrameRefused, "peer" => peer, "reason" => reason.clone());
            let fault = Envelope { call: 0, body: Some(Body::Fault(Fault { reason })) };
            let _ = timeout(cfg.connect_timeout, framed.send(fault)).await;
            return;
        }
    };
    let (mut stream, write) = split(framed);
    let (tx, rx) = mpsc::channel(SEND_QUEUE);
    let codec = EnvelopeCodec::new(cfg.max_frame);
    tokio::spawn(write_frames(write, codec, rx, cfg.keepalive, cx.clone()));
    let conn = Conn { id, node: hello.node.into(), cx: cx.clone(), tx };
    loop {
        let frame = tokio::select! {
            () = cx.cancelled() => break,
            frame = next_frame(&mut stream, cfg.silence) => frame,
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

async fn greet(
    framed: &mut Framed<TcpStream, EnvelopeCodec>,
    cfg: &LinkConfig,
) -> Result<Hello, String> {
    let first = timeout(cfg.connect_timeout, framed.next())
        .await
        .map_err(|_| "no greeting in time".to_owned())?;
    if is_cut("wire.send") || is_cut("wire.receive") {
        tokio::time::sleep(cfg.silence).await;
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
    let own = Hello { version: PROTOCOL_VERSION, node: cfg.node.clone(), role: cfg.role.clone() };
    let reply = Envelope { call: 0, body: Some(Body::Hello(own)) };
    framed.send(reply).await.map_err(|e| e.to_string())?;
    Ok(hello)
}
