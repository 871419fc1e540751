//! Format of the log file: one checksummed frame for each synced batch of records.
//!
//! A frame consists of the magic bytes (4 bytes), the length of the body (4), the checksum of both
//! (4), the checksum of the body (4), and the body, which holds length-delimited records. Integers
//! are little-endian, checksums are CRC-32C.

use prost::Message;

use crate::wire::LogRecord;

/// First bytes of every frame.
const MAGIC: [u8; 4] = *b"BLF1";
/// Length of the header of a frame in bytes: everything before the body.
const HEADER_LEN: usize = 16;

/// Content of a log file.
#[derive(Debug, Default, PartialEq)]
pub struct LogContent {
    /// Records of all complete frames.
    pub records: Vec<LogRecord>,
    /// Length of the complete frames in bytes; the rest of the file is a torn tail.
    pub valid_len: u64,
}

/// Damage that no interrupted write explains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogDamage {
    /// Offset of the damaged frame in bytes.
    pub offset: u64,
    /// Kind of the damage.
    pub reason: String,
}

/// Builds the frame of one batch of encoded records.
///
/// ```
/// use bitternlead::control::log_file;
///
/// let mut file = log_file::frame(&[]);
/// file.extend_from_slice(&log_file::frame(&[])[..5]);
/// let content = log_file::read(&file).unwrap();
/// assert_eq!(content.valid_len, 16);
/// ```
pub fn frame(body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_LEN + body.len());
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    let header_crc = crc32c::crc32c(&out);
    out.extend_from_slice(&header_crc.to_le_bytes());
    out.extend_from_slice(&crc32c::crc32c(body).to_le_bytes());
    out.extend_from_slice(body);
    out
}

/// Reads a log file; an incomplete or damaged last frame is a torn tail.
///
/// # Errors
/// Fails if a damaged frame is followed by another one: every frame is synced before the next is
/// written, so an interrupted write can damage only the last frame. Fails also if the records of a
/// frame with a valid checksum cannot be decoded.
pub fn read(data: &[u8]) -> Result<LogContent, LogDamage> {
    let mut content = LogContent::default();
    let mut offset = 0;
    while offset < data.len() {
        let Some(body) = parse_frame(&data[offset..]) else {
            return check_tail(data, offset, content);
        };
        let records =
            parse_records(body).map_err(|reason| LogDamage { offset: offset as u64, reason })?;
        content.records.extend(records);
        offset += HEADER_LEN + body.len();
        content.valid_len = offset as u64;
    }
    Ok(content)
}

/// Bodies of the complete frames at the start of a file, up to the first one that is torn or damaged.
pub fn complete_frames(data: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = data;
    std::iter::from_fn(move || {
        let body = parse_frame(rest)?;
        rest = &rest[HEADER_LEN + body.len()..];
        Some(body)
    })
}

/// Accepts everything from `offset` on as a torn tail, unless the header of a later frame follows.
fn check_tail(data: &[u8], offset: usize, content: LogContent) -> Result<LogContent, LogDamage> {
    let has_later_frame = (offset + 1..data.len()).any(|i| body_len(&data[i..]).is_some());
    if has_later_frame {
        let reason = "checksum does not match, and later frames follow".to_owned();
        return Err(LogDamage { offset: offset as u64, reason });
    }
    Ok(content)
}

/// Length of the body according to the header; `None` if the header is incomplete or damaged.
fn body_len(data: &[u8]) -> Option<usize> {
    let header = data.get(..HEADER_LEN)?;
    if header[..4] != MAGIC {
        return None;
    }
    let crc = u32::from_le_bytes(header[8..12].try_into().ok()?);
    if crc32c::crc32c(&header[..8]) != crc {
        return None;
    }
    Some(u32::from_le_bytes(header[4..8].try_into().ok()?) as usize)
}

/// Body of the frame at the start of `data`; `None` if the frame is incomplete or damaged.
fn parse_frame(data: &[u8]) -> Option<&[u8]> {
    let len = body_len(data)?;
    let body = data.get(HEADER_LEN..HEADER_LEN + len)?;
    let crc = u32::from_le_bytes(data[12..16].try_into().ok()?);
    (crc32c::crc32c(body) == crc).then_some(body)
}

fn parse_records(mut body: &[u8]) -> Result<Vec<LogRecord>, String> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let record = LogRecord::decode_length_delimited(&mut body).map_err(|e| e.to_string())?;
        records.push(record);
    }
    Ok(records)
}
