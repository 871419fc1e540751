//! Compresses updates for many subscribers once, and batches of relayed announcements.

use bytes::Bytes;
use prost::Message;

use crate::document::{UnpackError, compress, unpack};
use crate::wire::{Announcement, KnownEndpoints, News, PackedAnnouncements};

/// Size of an encoded message below which it is sent as it is, since compression would save less
/// than a packet.
const MIN_PACKED_BYTES: usize = 1_024;

/// Compresses the fields of an update; `None` if that does not make it shorter.
///
/// ```
/// use bitternlead::control::packing::{pack_update, unpack_update};
/// use bitternlead::wire::News;
///
/// let load_addresses = (0..300).map(|n| format!("10.0.0.{n}:7341")).collect();
/// let update = News { load_addresses, ..News::default() };
/// let packed = pack_update(&update).unwrap();
/// assert!(packed.packed.len() < 2_000);
/// assert_eq!(unpack_update(packed).unwrap(), update);
/// ```
pub fn pack_update(update: &News) -> Option<News> {
    let (packed, unpacked_len) = pack(&update.encode_to_vec())?;
    Some(News { packed, unpacked_len, ..News::default() })
}

/// Restores an update: the compressed fields, followed by those that were sent as they are.
///
/// # Errors
/// The compressed fields are damaged.
pub fn unpack_update(mut update: News) -> Result<News, UnpackError> {
    if update.unpacked_len == 0 {
        return Ok(update);
    }
    let content = unpack(&std::mem::take(&mut update.packed), update.unpacked_len)?;
    update.unpacked_len = 0;
    let mut whole = News::decode(content)?;
    whole.merge(Bytes::from(update.encode_to_vec()))?;
    Ok(whole)
}

/// Compresses announcements for another replica; `None` if that does not make them shorter.
pub fn pack_announcements(announcements: &[Announcement]) -> Option<PackedAnnouncements> {
    let known = KnownEndpoints { announcements: announcements.to_vec() };
    let (packed, unpacked_len) = pack(&known.encode_to_vec())?;
    Some(PackedAnnouncements { packed, unpacked_len })
}

/// Restores announcements that another replica compressed.
///
/// # Errors
/// The compressed data is damaged.
pub fn unpack_announcements(
    packed: &PackedAnnouncements,
) -> Result<Vec<Announcement>, UnpackError> {
    let content = unpack(&packed.packed, packed.unpacked_len)?;
    Ok(KnownEndpoints::decode(content)?.announcements)
}

fn pack(content: &[u8]) -> Option<(Bytes, u64)> {
    if content.len() < MIN_PACKED_BYTES {
        return None;
    }
    let packed = compress(content).ok().filter(|packed| packed.len() < content.len())?;
    Some((packed.into(), content.len() as u64))
}
