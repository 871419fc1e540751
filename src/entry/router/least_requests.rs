//! Least-requests policy, a baseline for comparison with the predictive policy.

use rand_chacha::ChaCha8Rng;

use super::{Candidate, RouteRequest, Router};

/// Chooses the candidate with the fewest running and queued requests.
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
