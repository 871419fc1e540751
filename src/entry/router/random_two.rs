//! Power-of-two-choices policy, a baseline for comparison with the predictive policy.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{Candidate, RouteRequest, Router};

/// Draws two random candidates and chooses the one with fewer running and queued requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomTwo;

impl Router for RandomTwo {
    fn choose(
        &self,
        _req: &RouteRequest,
        candidates: &[Candidate],
        rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let a = rng.random_range(0..candidates.len());
        let b = rng.random_range(0..candidates.len());
        let requests = |i: usize| candidates[i].load.running + candidates[i].load.queued;
        Some(if requests(b) < requests(a) { b } else { a })
    }
}
