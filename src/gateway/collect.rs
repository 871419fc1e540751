//! Reads whole bodies of requests and answers into memory that is charged to the budget.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::memory_budget::{Charge, HeldKind, MemoryBudget, NoRoom};

/// Step in which the charge of a body without a declared size grows, in bytes.
const GROWTH_BYTES: usize = 64 * 1024;

/// Time for which the rest of a refused body is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of bytes of a refused body that are read and dropped.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;

/// What a body is part of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Collected {
    /// A request.
    Request,
    /// An answer.
    Answer,
}

impl Collected {
    fn kind(self, bytes: usize) -> HeldKind {
        match self {
            Self::Request => HeldKind::of_body(bytes),
            Self::Answer => HeldKind::of_answer(bytes),
        }
    }
}

/// Why a body was not collected.
#[derive(Debug)]
pub enum CollectError {
    /// It is larger than permitted.
    TooLarge,
    /// The connection broke.
    Broken(hyper::Error),
    /// The budget had no room for the rest of it; this was read before.
    NoRoom(Bytes),
}

/// Reads a body of at most `max` bytes.
///
/// A declared size is charged before anything is read; otherwise the charge grows with the body. At
/// each step the budget is waited for at most `wait`.
///
/// # Errors
/// The body is too large, its connection broke, or the budget had no room.
pub async fn collect(
    budget: &Arc<MemoryBudget>,
    body: &mut Incoming,
    part: Collected,
    max: usize,
    wait: Duration,
) -> Result<Bytes, CollectError> {
    let declared = body.size_hint().exact().map(|size| usize::try_from(size).unwrap_or(usize::MAX));
    if declared.is_some_and(|size| size > max) {
        return Err(CollectError::TooLarge);
    }
    if declared == Some(0) {
        return Ok(Bytes::new());
    }
    let first = declared.unwrap_or(GROWTH_BYTES.min(max));
    let Ok(mut charge) = budget.charge(part.kind(first), first, wait).await else {
        return Err(CollectError::NoRoom(Bytes::new()));
    };
    let mut data = BytesMut::with_capacity(declared.unwrap_or_default());
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(CollectError::Broken)?.into_data() else { continue };
        let size = data.len() + chunk.len();
        if size > max {
            return Err(CollectError::TooLarge);
        }
        if charge.bytes() < size as u64
            && grow(budget, &mut charge, part, size, wait).await.is_err()
        {
            data.extend_from_slice(&chunk);
            return Err(CollectError::NoRoom(charge.hold(data)));
        }
        data.extend_from_slice(&chunk);
    }
    if data.is_empty() {
        return Ok(Bytes::new());
    }
    if declared.is_none() {
        charge.shrink_to(data.capacity());
    }
    Ok(charge.hold(data))
}

/// Grows the charge of a body that has reached `size` bytes. The buffer doubles as it grows.
async fn grow(
    budget: &Arc<MemoryBudget>,
    charge: &mut Charge,
    part: Collected,
    size: usize,
    wait: Duration,
) -> Result<(), NoRoom> {
    let before = charge.bytes() as usize;
    let wanted = (2 * before).max(size);
    if part.kind(wanted) != part.kind(before) {
        // The new charge is made before the old one ends, so that the bytes are always counted.
        *charge = budget.charge(part.kind(wanted), wanted, wait).await?;
        return Ok(());
    }
    charge.grow(wanted - before, wait).await
}

/// Reads the rest of a body and drops it, up to a number of bytes and for a limited time.
///
/// A connection that is closed with unread bytes is reset, and the caller may lose the response that
/// says that its request was not run.
pub fn discard(mut body: Incoming) {
    tokio::spawn(async move {
        let rest = async {
            let mut left = MAX_DISCARDED_BYTES;
            while let Some(Ok(frame)) = body.frame().await {
                let Some(rest) = left.checked_sub(frame.data_ref().map_or(0, Bytes::len)) else {
                    return;
                };
                left = rest;
            }
        };
        let _ = timeout(DISCARD_TIMEOUT, rest).await;
    });
}
