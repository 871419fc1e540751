//! Framing of the protocol: a four-byte big-endian length, then one protobuf [`Envelope`].

use bytes::{Bytes, BytesMut};
use prost::Message;
use snafu::Snafu;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::Envelope;

/// Version of the protocol. A connection with another version is refused during the handshake.
pub const PROTOCOL_VERSION: u32 = 1;

/// Default of the maximum frame size in bytes.
pub const DEFAULT_MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Why a frame could not be read or written.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The connection failed, or a frame exceeds the maximum size.
    #[snafu(display("connection failed: {source}"), context(false))]
    Io {
        /// Error of the connection or of the length check.
        source: std::io::Error,
    },
    /// The bytes do not decode to an envelope.
    #[snafu(display("not a frame of this protocol: {source}"), context(false))]
    InvalidEnvelope {
        /// Error of the protobuf decoder.
        source: prost::DecodeError,
    },
}

/// Encodes and decodes length-prefixed envelopes.
///
/// ```
/// use bitternlead::wire::{Ack, Envelope, envelope::Body, frame::EnvelopeCodec};
/// use bytes::BytesMut;
/// use tokio_util::codec::{Decoder, Encoder};
///
/// let mut codec = EnvelopeCodec::new(1024);
/// let mut buf = BytesMut::new();
/// let sent = Envelope { call: 7, body: Some(Body::Ack(Ack {})) };
/// codec.encode(sent.clone(), &mut buf).unwrap();
/// assert_eq!(codec.decode(&mut buf).unwrap(), Some(sent));
/// ```
#[derive(Debug)]
pub struct EnvelopeCodec {
    inner: LengthDelimitedCodec,
}

impl EnvelopeCodec {
    /// Creates a codec that rejects frames of more than `max_frame` bytes in both directions.
    pub fn new(max_frame: usize) -> Self {
        Self { inner: LengthDelimitedCodec::builder().max_frame_length(max_frame).new_codec() }
    }
}

impl Decoder for EnvelopeCodec {
    type Item = Envelope;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Envelope>, FrameError> {
        let Some(frame) = self.inner.decode(src)? else { return Ok(None) };
        Ok(Some(Envelope::decode(frame.freeze())?))
    }
}

impl Encoder<Envelope> for EnvelopeCodec {
    type Error = FrameError;

    fn encode(&mut self, item: Envelope, dst: &mut BytesMut) -> Result<(), FrameError> {
        let data = Bytes::from(item.encode_to_vec());
        Ok(self.inner.encode(data, dst)?)
    }
}
