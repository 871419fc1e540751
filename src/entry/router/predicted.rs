//! Least predicted time to first token plus the delay caused to others.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::{Candidate, RouteRequest, Router};
use crate::ids::Tokens;
use crate::plain;
use crate::prompt_class::SHORT_PROMPT;

/// One engine in so many, and at least one, never takes long prompts.
const FREE_PART: usize = 7;

plain! {
    /// Settings of the prediction.
    pub struct Predicted {
        /// Prefill rate until one is reported, in tokens a second.
        pub default_rate: f64,
        /// Prefill tokens of one engine step, which a short prompt may have to wait for.
        pub step_tokens: f64,
        /// Seconds added for another availability zone.
        pub zone_cost_s: f64,
        /// Seconds that count for a full memory.
        pub memory_cost_s: f64,
        /// Weight of the delay caused to each request there.
        pub harm_weight: f64,
        /// Queued seconds at which the set for long prompts grows.
        pub grow_at_s: f64,
        /// Candidates above which only a sample is scored.
        pub sample_above: usize,
        /// Size of the sample.
        pub sample: usize,
    }
}

impl Default for Predicted {
    fn default() -> Self {
        Self {
            default_rate: 10_000.0,
            step_tokens: 2048.0,
            zone_cost_s: 0.003,
            memory_cost_s: 2.0,
            harm_weight: 0.05,
            grow_at_s: 1.0,
            sample_above: 32,
            sample: 8,
        }
    }
}

/// Predicted seconds to the first token at a candidate.
pub fn first_token_estimate(cfg: &Predicted, req: &RouteRequest, c: &Candidate) -> f64 {
    let rate = cfg.rate_of(c);
    let own = req.prompt_tokens.saturating_sub(c.cached) as f64;
    let short = c.load.queued_short_tokens as f64;
    let total = c.load.queued_prefill_tokens as f64;
    let ahead = match req.prompt_tokens <= SHORT_PROMPT {
        true => short + (total - short).clamp(0.0, cfg.step_tokens),
        false => total,
    };
    let need = req.prompt_tokens + req.output_tokens;
    let over = (c.load.kv_reserved + need).saturating_sub(c.load.kv_capacity);
    let wait = match c.load.kv_capacity {
        0 => 0.0,
        capacity => cfg.memory_cost_s * (over as f64 / capacity as f64).min(4.0),
    };
    let blocked = if over > 0 || c.load.queued > 0 { cfg.memory_cost_s / 2.0 } else { 0.0 };
    let far = if c.zone == req.zone { 0.0 } else { cfg.zone_cost_s };
    (ahead + own) / rate + wait + blocked + far
}

impl Predicted {
    fn rate_of(&self, c: &Candidate) -> f64 {
        if c.load.prefill_rate > 0.0 { c.load.prefill_rate } else { self.default_rate }
    }

    /// Cost of a choice in seconds; lower is better.
    pub fn cost(&self, req: &RouteRequest, c: &Candidate) -> f64 {
        let own = req.prompt_tokens.saturating_sub(c.cached) as f64 / self.rate_of(c);
        let others = (c.load.running + c.load.queued) as f64;
        let harm = own * others * self.harm_weight;
        (first_token_estimate(self, req, c) + harm) / c.warmth.clamp(0.05, 1.0)
    }

    /// Candidates that may take the request: long prompts are kept to a bounded set, which
    /// grows while all of it is busy but always leaves engines without long prompts.
    pub fn allowed(&self, req: &RouteRequest, candidates: &[Candidate]) -> Vec<usize> {
        let need = req.prompt_tokens + req.output_tokens;
        let fits = |i: &usize| {
            let capacity = candidates[*i].load.kv_capacity;
            capacity == 0 || need <= capacity
        };
        let mut order: Vec<usize> = (0..candidates.len()).filter(fits).collect();
        if req.prompt_tokens <= req.limits.long_prompt_tokens || order.len() < 2 {
            return order;
        }
        order.sort_by_cached_key(|i| xxh3_64(candidates[*i].endpoint.as_bytes()));
        let count = order.len();
        let share = (count as u64 * req.limits.long_share_percent).div_ceil(100).max(1) as usize;
        let most = count - (count / FREE_PART).max(1);
        let mut size = share.min(most);
        while size < most && order[..size].iter().all(|i| self.is_busy(&candidates[*i])) {
            size += 1;
        }
        order.truncate(size);
        order
    }

    fn is_busy(&self, c: &Candidate) -> bool {
        c.load.queued_prefill_tokens as f64 / self.rate_of(c) > self.grow_at_s
    }

    fn sampled(&self, allowed: Vec<usize>, c: &[Candidate], rng: &mut ChaCha8Rng) -> Vec<usize> {
        if allowed.len() <= self.sample_above {
            return allowed;
        }
        let cached = |i: &usize| -> Tokens { c[*i].cached };
        let warm = allowed.iter().copied().filter(|i| cached(i) > 0).max_by_key(cached);
        let mut sample: Vec<usize> =
            (0..self.sample).map(|_| allowed[rng.random_range(0..allowed.len())]).collect();
        sample.extend(warm);
        sample
    }
}

impl Router for Predicted {
    fn choose(
        &self,
        req: &RouteRequest,
        candidates: &[Candidate],
        rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let allowed = self.allowed(req, candidates);
        let sample = self.sampled(allowed, candidates, rng);
        let cost = |i: &usize| self.cost(req, &candidates[*i]);
        sample.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }
}
