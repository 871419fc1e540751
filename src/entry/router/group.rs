//! Chooses the engines that share a prompt which no single one can hold.

use super::{Candidate, RouteRequest};

/// Share of an engine's memory that a segment may take, in percent.
const SEGMENT_PERCENT: u64 = 90;

/// Most engines in groups: one in so many of a model's.
const GROUPED_PART: usize = 2;

/// Why no group can be formed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoGroup {
    /// The prompt is too long even for the largest group allowed.
    TooLarge,
    /// Too many engines are in groups now, or too little memory is free.
    Busy,
}

/// Whether a request needs a group: no candidate could ever hold it alone.
pub fn needs_group(req: &RouteRequest, candidates: &[Candidate]) -> bool {
    let need = req.prompt_tokens + req.output_tokens;
    let holds = |c: &Candidate| c.load.kv_capacity == 0 || need <= c.load.kv_capacity;
    !candidates.iter().any(holds)
}

/// The fewest engines that hold the prompt in equal parts, ordered by name.
///
/// Engines that hold a part of another group are left out, and half of all engines stay free
/// of groups.
///
/// # Errors
/// Why no group can be formed.
///
/// ```
/// use bitternlead::entry::router::group::{NoGroup, plan_group};
/// use bitternlead::entry::router::{Candidate, RouteRequest};
/// use bitternlead::wire::Load;
///
/// let load = Load { kv_capacity: 1000, ..Load::default() };
/// let engine = |n: u8| Candidate {
///     endpoint: format!("e{n}").into(),
///     load: load.clone(),
///     ..Candidate::default()
/// };
/// let fleet: Vec<Candidate> = (0..6).map(engine).collect();
/// let req = RouteRequest { prompt_tokens: 1700, ..RouteRequest::default() };
/// assert_eq!(plan_group(&req, &fleet), Ok(vec![0, 1]));
/// let req = RouteRequest { prompt_tokens: 9000, ..RouteRequest::default() };
/// assert_eq!(plan_group(&req, &fleet), Err(NoGroup::TooLarge));
/// ```
pub fn plan_group(req: &RouteRequest, candidates: &[Candidate]) -> Result<Vec<usize>, NoGroup> {
    let most = candidates.len() / GROUPED_PART;
    let capacity = candidates.iter().map(|c| c.load.kv_capacity).min().unwrap_or(0);
    let part = capacity * SEGMENT_PERCENT / 100;
    if part <= req.output_tokens {
        return Err(NoGroup::TooLarge);
    }
    // The last segment also holds the answer.
    let size = (req.prompt_tokens.div_ceil(part - req.output_tokens) as usize).max(2);
    if size > most {
        return Err(NoGroup::TooLarge);
    }
    let grouped = candidates.iter().filter(|c| c.load.giants > 0).count();
    if grouped + size > most {
        return Err(NoGroup::Busy);
    }
    let need = req.prompt_tokens.div_ceil(size as u64) + req.output_tokens;
    let has_room = |c: &Candidate| c.load.kv_reserved + need <= c.load.kv_capacity;
    let mut free: Vec<usize> = (0..candidates.len())
        .filter(|i| candidates[*i].load.giants == 0 && has_room(&candidates[*i]))
        .collect();
    free.sort_by_key(|i| candidates[*i].load.queued_prefill_tokens);
    if free.len() < size {
        return Err(NoGroup::Busy);
    }
    free.truncate(size);
    free.sort_by(|a, b| candidates[*a].endpoint.cmp(&candidates[*b].endpoint));
    Ok(free)
}
