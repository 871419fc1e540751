//! Each endpoint in turn: a baseline.

use std::sync::atomic::{AtomicUsize, Ordering};

use rand_chacha::ChaCha8Rng;

use super::{Candidate, RouteRequest, Router};

/// Takes the candidates in turn.
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
