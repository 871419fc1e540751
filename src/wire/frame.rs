//! Frames: a four-byte length, then one protobuf [`Envelope`].

use bytes::{Bytes, BytesMut};
use prost::Message;
use snafu::Snafu;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::Envelope;

/// Version of the protocol; both sides of a link have to agree.
pub const PROTOCOL_VERSION: u32 = 1;

/// Largest frame unless set otherwise, in bytes.
pub const DEFAULT_MAX_FRAME: usize = 4 * 1024 * 1024;

/// Why a frame was refused.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The connection failed or a frame was larger than allowed.
    #[snafu(display("connection failed: {source}"), context(false))]
    Io {
        /// Cause.
        source: std::io::Error,
    },
    /// The bytes are no envelope.
    #[snafu(display("not a frame of this protocol: {source}"), context(false))]
    Garbage {
        /// Cause.
        source: prost::DecodeError,
    },
}

/// Codec of envelopes.
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
    /// Builds a codec that refuses frames of more than `max` bytes.
    pub fn new(max: usize) -> Self {
        Self { inner: LengthDelimitedCodec::builder().max_frame_length(max).new_codec() }
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
