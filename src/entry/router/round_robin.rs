//! Round-robin policy, a baseline for comparison with the predictive policy.

use std::sync::atomic::{AtomicUsize, Ordering};

use rand_chacha::ChaCha8Rng;

use super::{Candidate, RouteRequest, Router};

/// Chooses the candidates in rotation, regardless of their load.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl Router for RoundRobin {
    fn choose(
        &self,
        _req: &RouteRequest,
        candidates: &[Candidate],
        _rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        Some(self.next.fetch_add(1, Ordering::Relaxed) % candidates.len())
    }
}
