//! The calling side of a connection: many calls at once over one link.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use futures::{SinkExt, StreamExt};
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_util::codec::{Encoder, Framed, FramedRead};
use tokio_util::sync::CancellationToken;

use super::envelope::Body;
use super::frame::{DEFAULT_MAX_FRAME, EnvelopeCodec, FrameError, PROTOCOL_VERSION};
use super::{Ack, Envelope, Hello};
use crate::faults::{self, Fault};

/// Frames that may wait for the connection before senders wait.
const SEND_QUEUE: usize = 256;

/// Settings of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkConfig {
    /// Name of this node.
    pub node: String,
    /// Role of this process.
    pub role: String,
    /// Largest frame in bytes.
    pub max_frame: usize,
    /// Longest time to connect.
    pub connect_timeout: Duration,
    /// Interval between keepalive frames.
    pub keepalive: Duration,
    /// Silence after which the link counts as lost.
    pub silence: Duration,
}

impl Default for LinkConfig {
    fn default() -> Self {
        Self {
            node: String::new(),
            role: String::new(),
            max_frame: DEFAULT_MAX_FRAME,
            connect_timeout: Duration::from_millis(1000),
            keepalive: Duration::from_millis(1000),
            silence: Duration::from_millis(3000),
        }
    }
}

/// Why a call got no answer.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// No connection could be made; nothing was sent.
    #[snafu(display("cannot connect to {addr}: {reason}"))]
    Connect {
        /// Address that was tried.
        addr: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// The link was lost; the call may have arrived.
    #[snafu(display("link lost"))]
    Lost,
    /// No answer came in time; the call may have arrived.
    #[snafu(display("no answer in time"))]
    TimedOut,
    /// The other side could not serve the call.
    #[snafu(display("refused by the other side: {reason}"))]
    Refused {
        /// Its reason.
        reason: String,
    },
}

pub(super) type FrameReader = FramedRead<OwnedReadHalf, EnvelopeCodec>;

type Calls = Arc<Mutex<HashMap<u64, mpsc::UnboundedSender<Body>>>>;

/// A connection that carries many calls.
#[derive(Clone)]
pub struct Link {
    tx: mpsc::Sender<Envelope>,
    calls: Calls,
    next: Arc<AtomicU64>,
    cx: CancellationToken,
}

impl Link {
    /// Connects and exchanges greetings.
    pub async fn connect(
        addr: SocketAddr,
        cfg: &LinkConfig,
        cx: &CancellationToken,
    ) -> Result<Self, LinkError> {
        let fail = |reason: String| LinkError::Connect { addr, reason };
        let stream = timeout(cfg.connect_timeout, TcpStream::connect(addr))
            .await
            .map_err(|_| fail("timed out".into()))?
            .map_err(|e| fail(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let mut framed = Framed::new(stream, EnvelopeCodec::new(cfg.max_frame));
        let hello =
            Hello { version: PROTOCOL_VERSION, node: cfg.node.clone(), role: cfg.role.clone() };
        let first = Envelope { call: 0, body: Some(Body::Hello(hello)) };
        if is_cut("wire.send") || is_cut("wire.receive") {
            tokio::time::sleep(cfg.connect_timeout).await;
            return Err(fail("no greeting".into()));
        }
        framed.send(first).await.map_err(|e| fail(e.to_string()))?;
        let reply = timeout(cfg.connect_timeout, framed.next())
            .await
            .map_err(|_| fail("no greeting".into()))?;
        check_greeting(reply).map_err(fail)?;
        Ok(Self::start(framed, cfg, cx.child_token()))
    }

    fn start(
        framed: Framed<TcpStream, EnvelopeCodec>,
        cfg: &LinkConfig,
        cx: CancellationToken,
    ) -> Self {
        let (stream, write) = split(framed);
        let (tx, rx) = mpsc::channel(SEND_QUEUE);
        let calls = Calls::default();
        let codec = EnvelopeCodec::new(cfg.max_frame);
        tokio::spawn(write_frames(write, codec, rx, cfg.keepalive, cx.clone()));
        tokio::spawn(read_replies(stream, Arc::clone(&calls), cfg.silence, cx.clone()));
        Self { tx, calls, next: Arc::new(AtomicU64::new(1)), cx }
    }

    /// Whether the link was lost or closed.
    pub fn is_closed(&self) -> bool {
        self.cx.is_cancelled()
    }

    /// Resolves once the link is lost or closed.
    pub async fn closed(&self) {
        self.cx.cancelled().await;
    }

    /// Closes the link; open calls see it as lost.
    pub fn close(&self) {
        self.cx.cancel();
    }

    /// Opens a call without sending anything yet.
    pub fn open(&self) -> Call {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::unbounded_channel();
        self.calls.lock().insert(id, tx);
        if self.is_closed() {
            self.calls.lock().remove(&id);
        }
        Call { id, rx, link: self.clone() }
    }

    /// Sends one message and waits for its one answer.
    pub async fn ask(&self, body: Body, limit: Duration) -> Result<Body, LinkError> {
        let mut call = self.open();
        let answer = async {
            call.send(body).await?;
            call.next().await.ok_or(LinkError::Lost)
        };
        match timeout(limit, answer).await {
            Err(_) => Err(LinkError::TimedOut),
            Ok(Ok(Body::Fault(f))) => Err(LinkError::Refused { reason: f.reason }),
            Ok(other) => other,
        }
    }

    /// Sends a message that expects no answer, without waiting; false when it cannot be queued.
    pub fn post(&self, body: Body) -> bool {
        !self.is_closed() && self.tx.try_send(Envelope { call: 0, body: Some(body) }).is_ok()
    }
}

/// One call on a link; dropping it forgets later answers.
pub struct Call {
    id: u64,
    rx: mpsc::UnboundedReceiver<Body>,
    link: Link,
}

impl Call {
    /// Queues a message of this call; an error means that it never left this process.
    pub async fn send(&self, body: Body) -> Result<(), LinkError> {
        let frame = Envelope { call: self.id, body: Some(body) };
        tokio::select! {
            biased;
            () = self.link.cx.cancelled() => Err(LinkError::Lost),
            sent = self.link.tx.send(frame) => sent.map_err(|_| LinkError::Lost),
        }
    }

    /// Queues a message of this call without waiting; false when it cannot be queued.
    pub fn post(&self, body: Body) -> bool {
        let frame = Envelope { call: self.id, body: Some(body) };
        !self.link.is_closed() && self.link.tx.try_send(frame).is_ok()
    }

    /// Next answer; `None` once the link is lost.
    pub async fn next(&mut self) -> Option<Body> {
        self.rx.recv().await
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.link.calls.lock().remove(&self.id);
    }
}

fn check_greeting(reply: Option<Result<Envelope, FrameError>>) -> Result<(), String> {
    let body = match reply {
        None => return Err("closed before its greeting".into()),
        Some(Err(e)) => return Err(e.to_string()),
        Some(Ok(envelope)) => envelope.body,
    };
    match body {
        Some(Body::Hello(h)) if h.version == PROTOCOL_VERSION => Ok(()),
        Some(Body::Hello(h)) => Err(format!(
            "speaks protocol version {}, this is version {PROTOCOL_VERSION}; upgrade the older",
            h.version
        )),
        Some(Body::Fault(f)) => Err(f.reason),
        _ => Err("did not greet".into()),
    }
}

/// Capacity above which a write buffer is given back after use, in bytes.
const KEPT_BUFFER: usize = 64 * 1024;

/// Splits a greeted connection into its halves; bytes read so far stay with the reader.
pub(super) fn split(framed: Framed<TcpStream, EnvelopeCodec>) -> (FrameReader, OwnedWriteHalf) {
    let parts = framed.into_parts();
    let (read, write) = parts.io.into_split();
    let mut reader = FramedRead::new(read, parts.codec);
    reader.read_buffer_mut().extend_from_slice(&parts.read_buf);
    (reader, write)
}

/// Writes queued frames together, and keepalives in between.
pub(super) async fn write_frames(
    mut write: OwnedWriteHalf,
    mut codec: EnvelopeCodec,
    mut rx: mpsc::Receiver<Envelope>,
    keepalive: Duration,
    cx: CancellationToken,
) {
    let mut buf = BytesMut::new();
    loop {
        let frame = tokio::select! {
            () = cx.cancelled() => break,
            frame = rx.recv() => frame,
            () = tokio::time::sleep(keepalive) => {
                Some(Envelope { call: 0, body: Some(Body::Ack(Ack {})) })
            }
        };
        let Some(frame) = frame else { break };
        let mut next = Some(frame);
        while let Some(frame) = next {
            if put_frame(&mut codec, frame, &mut buf).is_err() {
                cx.cancel();
            }
            next = if buf.len() < KEPT_BUFFER { rx.try_recv().ok() } else { None };
        }
        let written = tokio::select! {
            () = cx.cancelled() => break,
            written = write.write_all_buf(&mut buf) => written,
        };
        if written.is_err() {
            break;
        }
        // A large frame, like a whole configuration, must not keep its memory for each link.
        if buf.capacity() > KEPT_BUFFER {
            buf = BytesMut::new();
        }
    }
    cx.cancel();
    let _ = timeout(keepalive, write.shutdown()).await;
}

fn put_frame(
    codec: &mut EnvelopeCodec,
    frame: Envelope,
    buf: &mut BytesMut,
) -> Result<(), FrameError> {
    match faults::inject("wire.send") {
        Some(Fault::Drop) => return Ok(()),
        Some(Fault::Duplicate) => codec.encode(frame.clone(), buf)?,
        _ => {}
    }
    codec.encode(frame, buf)
}

/// Whether a test has cut this direction of all links.
pub(super) fn is_cut(step: &str) -> bool {
    faults::inject(step) == Some(Fault::Drop)
}

/// Next frame, or `None` after an error, the end, or too long a silence.
pub(super) async fn next_frame(
    stream: &mut FrameReader,
    silence: Duration,
) -> Option<Result<Envelope, FrameError>> {
    let due = Instant::now() + silence;
    loop {
        let frame = tokio::time::timeout_at(due, stream.next()).await.ok().flatten();
        if frame.is_none() || !is_cut("wire.receive") {
            return frame;
        }
    }
}

async fn read_replies(
    mut stream: FrameReader,
    calls: Calls,
    silence: Duration,
    cx: CancellationToken,
) {
    loop {
        let frame = tokio::select! {
            () = cx.cancelled() => break,
            frame = next_frame(&mut stream, silence) => frame,
        };
        let Some(Ok(Envelope { call, body: Some(body) })) = frame else { break };
        let target = calls.lock().get(&call).cloned();
        if let Some(tx) = target {
            let _ = tx.send(body);
        }
    }
    cx.cancel();
    calls.lock().clear();
}
