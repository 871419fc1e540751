//! The endpoint with the fewest requests: a baseline.

use rand_chacha::ChaCha8Rng;

use super::{Candidate, RouteRequest, Router};

/// Takes the candidate with the fewest running and waiting requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastRequests;

impl Router for LeastRequests {
    fn choose(
        &self,
        _req: &RouteRequest,
        candidates: &[Candidate],
        _rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let requests = |c: &Candidate| c.load.running + c.load.queued;
        (0..candidates.len()).min_by_key(|i| requests(&candidates[*i]))
    }
}
