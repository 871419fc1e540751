//! Client side of the protocol: multiplexes calls over one connection.

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
use super::frame::{DEFAULT_MAX_FRAME_BYTES, EnvelopeCodec, FrameError, PROTOCOL_VERSION};
use super::progress::ProgressReader;
use super::{Ack, Envelope, Hello};
use crate::faults::{self, Fault};

/// Capacity of a connection's send queue in frames; senders wait while it is full.
const SEND_QUEUE_FRAMES: usize = 256;

/// Settings of a connection, for both of its sides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkConfig {
    /// Name of this node, sent in the handshake.
    pub node: String,
    /// Role of this process, sent in the handshake.
    pub role: String,
    /// Maximum frame size in bytes, in both directions.
    pub max_frame: usize,
    /// Time for connecting, and then for the handshake.
    pub connect_timeout: Duration,
    /// Time without a frame to send after which a keepalive frame is sent.
    pub keepalive_interval: Duration,
    /// Time without received bytes after which the link counts as lost; longer than the peer's
    /// keepalive interval.
    pub idle_timeout: Duration,
}

impl Default for LinkConfig {
    fn default() -> Self {
        Self {
            node: String::new(),
            role: String::new(),
            max_frame: DEFAULT_MAX_FRAME_BYTES,
            connect_timeout: Duration::from_millis(1000),
            keepalive_interval: Duration::from_millis(1000),
            idle_timeout: Duration::from_millis(3000),
        }
    }
}

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// No connection could be established; no call was sent.
    #[snafu(display("cannot connect to {addr}: {reason}"))]
    Connect {
        /// Address of the peer.
        addr: SocketAddr,
        /// Error of the connection or of the handshake.
        reason: String,
    },
    /// The connection was lost; the peer may have received the call.
    #[snafu(display("link lost"))]
    Lost,
    /// No reply arrived in time; the peer may have received the call.
    #[snafu(display("no answer in time"))]
    TimedOut,
    /// The peer replied with a fault.
    #[snafu(display("refused by the other side: {reason}"))]
    Refused {
        /// Reason that the peer gave.
        reason: String,
    },
}

pub(super) type FrameReader = FramedRead<ProgressReader<OwnedReadHalf>, EnvelopeCodec>;

/// Senders to the open calls, by call id.
type OpenCalls = Arc<Mutex<HashMap<u64, mpsc::UnboundedSender<Body>>>>;

/// What the peer's build can do, from its part of the handshake; all false for the earliest builds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerAbilities {
    /// Whether the peer reads packed announcements.
    pub reads_packed: bool,
    /// Whether the peer acknowledges announcements that are sent as a call.
    pub acknowledges_announcements: bool,
}

/// A connection that multiplexes calls. Clones share the connection.
#[derive(Clone)]
pub struct Link {
    tx: mpsc::Sender<Envelope>,
    calls: OpenCalls,
    next_id: Arc<AtomicU64>,
    peer: PeerAbilities,
    cx: CancellationToken,
}

impl Link {
    /// Connects and performs the handshake.
    ///
    /// # Errors
    /// [`LinkError::Connect`] if the peer cannot be reached, does not reply in time, or speaks
    /// another version of the protocol.
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
        let hello = build_hello(cfg);
        let hello_frame = Envelope { call: 0, body: Some(Body::Hello(hello)) };
        if is_blocked("wire.send") || is_blocked("wire.receive") {
            tokio::time::sleep(cfg.connect_timeout).await;
            return Err(fail("no greeting".into()));
        }
        framed.send(hello_frame).await.map_err(|e| fail(e.to_string()))?;
        let reply = timeout(cfg.connect_timeout, framed.next())
            .await
            .map_err(|_| fail("no greeting".into()))?;
        let peer = check_hello(reply).map_err(fail)?;
        let peer = PeerAbilities {
            reads_packed: peer.reads_packed,
            acknowledges_announcements: peer.acknowledges_announcements,
        };
        Ok(Self::start(framed, cfg, peer, cx.child_token()))
    }

    fn start(
        framed: Framed<TcpStream, EnvelopeCodec>,
        cfg: &LinkConfig,
        peer: PeerAbilities,
        cx: CancellationToken,
    ) -> Self {
        let (stream, write) = split(framed);
        let (tx, rx) = mpsc::channel(SEND_QUEUE_FRAMES);
        let calls = OpenCalls::default();
        let codec = EnvelopeCodec::new(cfg.max_frame);
        tokio::spawn(write_frames(write, codec, rx, cfg.keepalive_interval, cx.clone()));
        tokio::spawn(read_replies(stream, Arc::clone(&calls), cfg.idle_timeout, cx.clone()));
        Self { tx, calls, next_id: Arc::new(AtomicU64::new(1)), peer, cx }
    }

    /// Whether the connection was lost or closed.
    pub fn is_closed(&self) -> bool {
        self.cx.is_cancelled()
    }

    /// What the peer's build can do.
    pub fn peer(&self) -> PeerAbilities {
        self.peer
    }

    /// Waits until the connection is lost or closed.
    pub async fn closed(&self) {
        self.cx.cancelled().await;
    }

    /// Closes the connection; open calls fail with [`LinkError::Lost`].
    pub fn close(&self) {
        self.cx.cancel();
    }

    /// Allocates a call id and registers for its replies; sends nothing yet.
    pub fn open(&self) -> Call {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::unbounded_channel();
        self.calls.lock().insert(id, tx);
        if self.is_closed() {
            self.calls.lock().remove(&id);
        }
        Call { id, rx, link: self.clone() }
    }

    /// Sends one message and waits for its only reply, for at most `limit`.
    ///
    /// # Errors
    /// [`LinkError::Lost`], [`LinkError::TimedOut`], or [`LinkError::Refused`] if the reply is a
    /// fault.
    pub async fn request(&self, body: Body, limit: Duration) -> Result<Body, LinkError> {
        let mut call = self.open();
        let reply = async {
            call.send(body).await?;
            call.next().await.ok_or(LinkError::Lost)
        };
        match timeout(limit, reply).await {
            Err(_) => Err(LinkError::TimedOut),
            Ok(Ok(Body::Fault(f))) => Err(LinkError::Refused { reason: f.reason }),
            Ok(other) => other,
        }
    }

    /// Queues a message that has no reply, without waiting. Returns false if the queue is full or
    /// the connection lost.
    pub fn try_send(&self, body: Body) -> bool {
        !self.is_closed() && self.tx.try_send(Envelope { call: 0, body: Some(body) }).is_ok()
    }
}

/// One call on a link. Replies that arrive after it was dropped are discarded.
pub struct Call {
    id: u64,
    rx: mpsc::UnboundedReceiver<Body>,
    link: Link,
}

impl Call {
    /// Queues a message of this call, and waits while the queue is full.
    ///
    /// # Errors
    /// [`LinkError::Lost`] if the connection was lost before the message was queued.
    pub async fn send(&self, body: Body) -> Result<(), LinkError> {
        let frame = Envelope { call: self.id, body: Some(body) };
        tokio::select! {
            biased;
            () = self.link.cx.cancelled() => Err(LinkError::Lost),
            sent = self.link.tx.send(frame) => sent.map_err(|_| LinkError::Lost),
        }
    }

    /// Queues a message of this call without waiting. Returns false if the queue is full or the
    /// connection lost.
    pub fn try_send(&self, body: Body) -> bool {
        let frame = Envelope { call: self.id, body: Some(body) };
        !self.link.is_closed() && self.link.tx.try_send(frame).is_ok()
    }

    /// Next reply; `None` once the connection is lost.
    pub async fn next(&mut self) -> Option<Body> {
        self.rx.recv().await
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.link.calls.lock().remove(&self.id);
    }
}

/// This side's part of the handshake.
pub(super) fn build_hello(cfg: &LinkConfig) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        node: cfg.node.clone(),
        role: cfg.role.clone(),
        reads_packed: true,
        acknowledges_announcements: true,
    }
}

/// Checks the peer's part of the handshake and returns it.
fn check_hello(reply: Option<Result<Envelope, FrameError>>) -> Result<Hello, String> {
    let body = match reply {
        None => return Err("closed before its greeting".into()),
        Some(Err(e)) => return Err(e.to_string()),
        Some(Ok(envelope)) => envelope.body,
    };
    match body {
        Some(Body::Hello(h)) if h.version == PROTOCOL_VERSION => Ok(h),
        Some(Body::Hello(h)) => Err(format!(
            "speaks protocol version {}, this is version {PROTOCOL_VERSION}; upgrade the older",
            h.version
        )),
        Some(Body::Fault(f)) => Err(f.reason),
        _ => Err("did not greet".into()),
    }
}

/// Size in bytes at which a batch of frames is written, and above which the buffer is freed after
/// the write.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Splits a connection after the handshake; the reader keeps bytes that were already received.
pub(super) fn split(framed: Framed<TcpStream, EnvelopeCodec>) -> (FrameReader, OwnedWriteHalf) {
    let parts = framed.into_parts();
    let (read, write) = parts.io.into_split();
    let mut reader = FramedRead::new(ProgressReader::new(read), parts.codec);
    reader.read_buffer_mut().extend_from_slice(&parts.read_buf);
    (reader, write)
}

/// Writes queued frames in batches, and a keepalive frame when none was queued for a while.
pub(super) async fn write_frames(
    mut write: OwnedWriteHalf,
    mut codec: EnvelopeCodec,
    mut rx: mpsc::Receiver<Envelope>,
    keepalive_interval: Duration,
    cx: CancellationToken,
) {
    let mut buf = BytesMut::new();
    loop {
        let frame = tokio::select! {
            () = cx.cancelled() => break,
            frame = rx.recv() => frame,
            () = tokio::time::sleep(keepalive_interval) => {
                Some(Envelope { call: 0, body: Some(Body::Ack(Ack {})) })
            }
        };
        let Some(frame) = frame else { break };
        let mut next = Some(frame);
        while let Some(frame) = next {
            if encode_frame(&mut codec, frame, &mut buf).is_err() {
                cx.cancel();
            }
            next = if buf.len() < WRITE_BATCH_BYTES { rx.try_recv().ok() } else { None };
        }
        let written = tokio::select! {
            () = cx.cancelled() => break,
            written = write.write_all_buf(&mut buf) => written,
        };
        if written.is_err() {
            break;
        }
        // A large frame, such as a full configuration, would otherwise hold its memory on every
        // connection.
        if buf.capacity() > WRITE_BATCH_BYTES {
            buf = BytesMut::new();
        }
    }
    cx.cancel();
    let _ = timeout(keepalive_interval, write.shutdown()).await;
}

/// Encodes a frame; the fail point `wire.send` drops or duplicates it.
fn encode_frame(
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

/// Whether a fail point drops all frames of one direction.
pub(super) fn is_blocked(fail_point: &str) -> bool {
    faults::inject(fail_point) == Some(Fault::Drop)
}

/// Next frame, or `None` at the end of the stream or once no byte has arrived for `idle_timeout`.
/// Frames that a fail point drops do not extend the wait.
pub(super) async fn next_frame(
    stream: &mut FrameReader,
    idle_timeout: Duration,
) -> Option<Result<Envelope, FrameError>> {
    let started = Instant::now();
    let mut blocked = false;
    loop {
        // A large frame on a thin link takes longer than the timeout.
        let last = if blocked { started } else { started.max(stream.get_ref().last_read()) };
        let deadline = last + idle_timeout;
        match tokio::time::timeout_at(deadline, stream.next()).await {
            Ok(frame) if frame.is_none() || !is_blocked("wire.receive") => return frame,
            Ok(_) => blocked = true,
            Err(_) if !blocked && stream.get_ref().last_read() > last => {}
            Err(_) => return None,
        }
    }
}

/// Passes replies to their calls until the connection is lost, then ends all open calls.
async fn read_replies(
    mut stream: FrameReader,
    calls: OpenCalls,
    idle_timeout: Duration,
    cx: CancellationToken,
) {
    loop {
        let frame = tokio::select! {
            () = cx.cancelled() => break,
            frame = next_frame(&mut stream, idle_timeout) => frame,
        };
        let Some(Ok(Envelope { call, body: Some(body) })) = frame else { break };
        let open_call = calls.lock().get(&call).cloned();
        if let Some(tx) = open_call {
            let _ = tx.send(body);
        }
    }
    cx.cancel();
    calls.lock().clear();
}
