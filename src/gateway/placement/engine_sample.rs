//! Selects the engines that a short prompt looks at first: some of those for short prompts, then
//! some of all engines.
//!
//! This answers bursts of short prompts at many entries. Entries learn of each other's sends some
//! milliseconds later. If each took the best of all engines, those that decide within that time
//! would take the same one, and its slots would run out while others are free. So each prompt looks
//! at a sample of the engines, another one for each prompt, and takes the best of these.

use std::ops::RangeInclusive;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::engine_source::EngineSource;

/// Number of engines for each one in a sample.
const ENGINES_PER_SAMPLED: usize = 4;

/// Minimum and maximum number of engines in a sample. The more engines there are, the more entries
/// decide at the same moment; with a bounded sample, few of these see the same best engine.
const SAMPLE_SIZES: RangeInclusive<usize> = 3..=8;

/// Returns the indices of a sample of the first `count` engines; it depends on the request and on
/// the ids of the engines.
///
/// ```
/// use bitternlead::gateway::placement::engine_sample::sample_engines;
/// use bitternlead::gateway::placement::engine_state::EngineState;
///
/// let engine = |n: usize| EngineState { id: format!("e{n}").into(), ..EngineState::default() };
/// let engines: Vec<EngineState> = (0..40).map(engine).collect();
/// let sample = sample_engines(&engines[..], 20, 7);
/// assert_eq!(sample.len(), 5);
/// assert!(sample.iter().all(|index| *index < 20));
/// assert_ne!(sample, sample_engines(&engines[..], 20, 8));
/// assert_eq!(sample_engines(&engines[..], 40, 7).len(), 8, "however large the fleet is");
/// ```
pub fn sample_engines(
    engines: &(impl EngineSource + ?Sized),
    count: usize,
    request_hash: u64,
) -> Vec<usize> {
    let rank = |index: &usize| xxh3_64_with_seed(engines.id(*index).as_bytes(), request_hash);
    let mut indices: Vec<usize> = (0..count.min(engines.count())).collect();
    indices.sort_by_cached_key(rank);
    let wanted = count.div_ceil(ENGINES_PER_SAMPLED);
    indices.truncate(wanted.clamp(*SAMPLE_SIZES.start(), *SAMPLE_SIZES.end()));
    indices
}
