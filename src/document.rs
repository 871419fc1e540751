//! Packs configuration documents: the log, the disk and the links carry them compressed.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use snafu::Snafu;

use crate::ids::Version;
use crate::wire::Document;

/// Maximum size of a document in bytes before compression.
pub const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Why the content of a document cannot be read.
#[derive(Debug, Snafu)]
pub enum UnpackError {
    /// The compressed data is damaged.
    #[snafu(display("the compressed document is damaged: {source}"), context(false))]
    Damaged {
        /// Error of the decoder.
        source: std::io::Error,
    },
    /// The content is no encoded message.
    #[snafu(display("the content is not a message: {source}"), context(false))]
    NotAMessage {
        /// Error of the protobuf decoder.
        source: prost::DecodeError,
    },
    /// The content is longer or shorter than stated.
    #[snafu(display("the content has {actual} bytes instead of {expected}"))]
    WrongLength {
        /// Length that the document names.
        expected: usize,
        /// Length of the content, as far as it was read.
        actual: usize,
    },
}

impl Document {
    /// Builds a document from its content, compressed unless that makes it longer.
    ///
    /// ```
    /// use bitternlead::wire::Document;
    ///
    /// let content = bytes::Bytes::from("route ".repeat(1000));
    /// let document = Document::pack(7, content.clone());
    /// assert!(document.body.len() < 100);
    /// assert_eq!(document.content().unwrap(), content);
    /// ```
    pub fn pack(version: Version, content: Bytes) -> Self {
        match compress(&content) {
            Ok(packed) if packed.len() < content.len() => {
                Self { version, body: packed.into(), unpacked_len: content.len() as u64 }
            }
            _ => Self { version, body: content, unpacked_len: 0 },
        }
    }

    /// Content of the document as it was packed.
    ///
    /// # Errors
    /// The compressed data is damaged or does not have the length that the document names.
    pub fn content(&self) -> Result<Bytes, UnpackError> {
        if self.unpacked_len == 0 {
            return Ok(self.body.clone());
        }
        unpack(&self.body, self.unpacked_len)
    }
}

/// Decompresses data whose content has a known length of at most [`MAX_DOCUMENT_BYTES`].
pub(crate) fn unpack(packed: &[u8], unpacked_len: u64) -> Result<Bytes, UnpackError> {
    let expected = (unpacked_len as usize).min(MAX_DOCUMENT_BYTES);
    let mut content = Vec::with_capacity(expected);
    let limit = expected as u64 + 1;
    ZlibDecoder::new(packed).take(limit).read_to_end(&mut content)?;
    if content.len() != expected {
        return WrongLengthSnafu { expected, actual: content.len() }.fail();
    }
    Ok(content.into())
}

/// Compresses at the fastest level: names and addresses are mostly random, so more effort gains little.
pub(crate) fn compress(content: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(content)?;
    encoder.finish()
}
