//! Draws the endpoints that a request looks at in a large fleet.
//!
//! The draw takes endpoints at equal distances in the order of the fleet. What holds for the order,
//! such as the share of the engines that is kept for short prompts, so holds for the draw too, and a
//! decision about it is that of a smaller fleet with the same load for each engine.

use xxhash_rust::xxh3::xxh3_64;

/// Number of endpoints up to which a request looks at all of them. A decision about so many takes
/// about a millisecond.
pub const MAX_CANDIDATES: usize = 128;

/// Returns the endpoints that a request with this hash looks at: all, or [`MAX_CANDIDATES`] of them.
///
/// ```
/// use bitternlead::gateway::placement::fleet_sample::{MAX_CANDIDATES, draw_candidates};
///
/// let fleet: Vec<usize> = (0..3_000).collect();
/// let drawn: Vec<usize> = draw_candidates(&fleet, 7).copied().collect();
/// assert_eq!(drawn.len(), MAX_CANDIDATES);
/// assert!(drawn.is_sorted() && drawn[0] < 24 && drawn[127] >= 2_976);
/// assert_ne!(drawn, draw_candidates(&fleet, 8).copied().collect::<Vec<usize>>());
/// assert!(draw_candidates(&fleet[..112], 7).eq(&fleet[..112]));
/// ```
pub fn draw_candidates<T>(fleet: &[T], request_hash: u64) -> impl Iterator<Item = &T> {
    let count = fleet.len().min(MAX_CANDIDATES);
    // Distances in units of 1/count, so that fleets of any size are covered evenly.
    let phase = if fleet.len() > count { offset(request_hash, fleet.len()) } else { 0 };
    (0..count).filter_map(move |n| fleet.get((n * fleet.len() + phase) / count))
}

/// An offset below `len` that depends on the request.
fn offset(request_hash: u64, len: usize) -> usize {
    (xxh3_64(&request_hash.to_le_bytes()) % len as u64) as usize
}
