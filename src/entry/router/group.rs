//! Plans engine groups for prompts that exceed the KV memory of every single engine.

use super::{Candidate, RouteRequest};

/// Largest share of one engine's KV capacity that a segment may reserve, in percent.
const SEGMENT_MEMORY_PERCENT: u64 = 90;

/// At most `1 / MAX_GROUPED_DIVISOR` of a model's engines belong to groups at the same time.
const MAX_GROUPED_DIVISOR: usize = 2;

/// Reason why no group can be formed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupError {
    /// The prompt does not fit into the largest group allowed; a retry cannot succeed.
    TooLarge,
    /// Too many engines belong to groups now or too little memory is free; a retry may succeed.
    Busy,
}

/// Reports whether prompt and output exceed the KV capacity of every candidate.
///
/// A candidate without a reported capacity counts as large enough.
pub fn needs_group(req: &RouteRequest, candidates: &[Candidate]) -> bool {
    let need = req.prompt_tokens + req.output_tokens;
    let fits = |c: &Candidate| c.load.kv_capacity == 0 || need <= c.load.kv_capacity;
    !candidates.iter().any(fits)
}

/// Selects the smallest group that holds the prompt in equal segments.
///
/// Returns indices into `candidates`, sorted by endpoint name, so that all entries reserve in
/// the same order. Engines of other groups are skipped, and half of all engines stay ungrouped.
///
/// # Errors
/// `TooLarge` or `Busy` when no group can be formed.
///
/// ```
/// use bitternlead::entry::router::group::{GroupError, plan_group};
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
/// assert_eq!(plan_group(&req, &fleet), Err(GroupError::TooLarge));
/// ```
pub fn plan_group(req: &RouteRequest, candidates: &[Candidate]) -> Result<Vec<usize>, GroupError> {
    let max_grouped = candidates.len() / MAX_GROUPED_DIVISOR;
    let capacity = candidates.iter().map(|c| c.load.kv_capacity).min().unwrap_or(0);
    let segment_capacity = capacity * SEGMENT_MEMORY_PERCENT / 100;
    if segment_capacity <= req.output_tokens {
        return Err(GroupError::TooLarge);
    }
    // The last segment also holds the generated tokens, so each one leaves room for them.
    let group_size =
        (req.prompt_tokens.div_ceil(segment_capacity - req.output_tokens) as usize).max(2);
    if group_size > max_grouped {
        return Err(GroupError::TooLarge);
    }
    let grouped = candidates.iter().filter(|c| c.load.giants > 0).count();
    if grouped + group_size > max_grouped {
        return Err(GroupError::Busy);
    }
    let need = req.prompt_tokens.div_ceil(group_size as u64) + req.output_tokens;
    let has_room = |c: &Candidate| c.load.kv_reserved + need <= c.load.kv_capacity;
    let mut free: Vec<usize> = (0..candidates.len())
        .filter(|i| candidates[*i].load.giants == 0 && has_room(&candidates[*i]))
        .collect();
    free.sort_by_key(|i| candidates[*i].load.queued_prefill_tokens);
    if free.len() < group_size {
        return Err(GroupError::Busy);
    }
    free.truncate(group_size);
    free.sort_by(|a, b| candidates[*a].endpoint.cmp(&candidates[*b].endpoint));
    Ok(free)
}
