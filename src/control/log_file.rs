//! Format of the log file: one checksummed frame for each synced batch of records.
//!
//! A frame is magic (4 bytes), length (4), checksum of both (4), checksum of the body (4),
//! and the body: length-delimited records.

use prost::Message;

use crate::wire::LogRecord;

const MAGIC: [u8; 4] = *b"BLF1";
const HEADER: usize = 16;

/// What a log file holds.
#[derive(Debug, Default, PartialEq)]
pub struct LogContent {
    /// Records of all whole frames.
    pub records: Vec<LogRecord>,
    /// Length of the whole frames in bytes; the rest is a torn tail.
    pub valid_len: u64,
}

/// Damage that no interrupted write explains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogDamage {
    /// Offset of the damaged frame in bytes.
    pub offset: u64,
    /// What is wrong.
    pub reason: String,
}

/// Builds the frame of one batch.
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
    let mut out = Vec::with_capacity(HEADER + body.len());
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    let head_crc = crc32c::crc32c(&out);
    out.extend_from_slice(&head_crc.to_le_bytes());
    out.extend_from_slice(&crc32c::crc32c(body).to_le_bytes());
    out.extend_from_slice(body);
    out
}

/// Reads a log file; an incomplete last frame is a torn tail.
///
/// # Errors
/// Damage that is followed by a later frame, since every frame is synced before the next.
pub fn read(data: &[u8]) -> Result<LogContent, LogDamage> {
    let mut content = LogContent::default();
    let mut at = 0;
    while at < data.len() {
        let Some(body) = whole_frame(&data[at..]) else {
            return end_at(data, at, content);
        };
        let records =
            parse_records(body).map_err(|reason| LogDamage { offset: at as u64, reason })?;
        content.records.extend(records);
        at += HEADER + body.len();
        content.valid_len = at as u64;
    }
    Ok(content)
}

fn end_at(data: &[u8], at: usize, content: LogContent) -> Result<LogContent, LogDamage> {
    let later = (at + 1..data.len()).any(|i| header_len(&data[i..]).is_some());
    if later {
        let reason = "checksum does not match, and later frames follow".to_owned();
        return Err(LogDamage { offset: at as u64, reason });
    }
    Ok(content)
}

/// Length of the body that a valid header announces.
fn header_len(data: &[u8]) -> Option<usize> {
    let head = data.get(..HEADER)?;
    if head[..4] != MAGIC {
        return None;
    }
    let crc = u32::from_le_bytes(head[8..12].try_into().ok()?);
    if crc32c::crc32c(&head[..8]) != crc {
        return None;
    }
    Some(u32::from_le_bytes(head[4..8].try_into().ok()?) as usize)
}

fn whole_frame(data: &[u8]) -> Option<&[u8]> {
    let len = header_len(data)?;
    let body = data.get(HEADER..HEADER + len)?;
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
