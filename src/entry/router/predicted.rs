//! Predictive policy: minimizes the predicted time to first token plus the delay that the
//! request causes to other requests on the same engine.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::{Candidate, RouteRequest, Router};
use crate::derive_value;
use crate::ids::Tokens;
use crate::prompt_class::SHORT_MAX_TOKENS;

/// `1 / UNUSED_BY_LONG_DIVISOR` of the engines, and at least one, never serves long prompts.
const UNUSED_BY_LONG_DIVISOR: usize = 7;

derive_value! {
    /// Router that chooses by predicted cost; the fields are the parameters of the cost model.
    pub struct Predicted {
        /// Prefill rate assumed until an engine reports one, in tokens per second.
        pub default_prefill_rate: f64,
        /// Prefill tokens of one engine step, which a short prompt may have to wait for
        /// although short prompts are scheduled before long ones.
        pub step_tokens: f64,
        /// Seconds added for an engine in another availability zone.
        pub cross_zone_penalty_s: f64,
        /// Seconds added when the reservation exceeds the free memory by the whole KV capacity;
        /// other excesses count in proportion, up to four times this value. Half of it is added
        /// when the request has to queue.
        pub full_memory_penalty_s: f64,
        /// Weight of the prefill time for each request on the engine that it delays.
        pub interference_weight: f64,
        /// Queued prefill in seconds above which an engine counts as backlogged; the set for
        /// long prompts grows when all of its engines are backlogged.
        pub expand_backlog_s: f64,
        /// Number of candidates above which only a random sample is scored.
        pub sample_threshold: usize,
        /// Number of candidates drawn for the sample.
        pub sample_size: usize,
    }
}

impl Default for Predicted {
    fn default() -> Self {
        Self {
            default_prefill_rate: 10_000.0,
            step_tokens: 2048.0,
            cross_zone_penalty_s: 0.003,
            full_memory_penalty_s: 2.0,
            interference_weight: 0.05,
            expand_backlog_s: 1.0,
            sample_threshold: 32,
            sample_size: 8,
        }
    }
}

/// Predicts the time to first token at a candidate, in seconds.
pub fn first_token_estimate(cfg: &Predicted, req: &RouteRequest, c: &Candidate) -> f64 {
    let rate = cfg.prefill_rate_of(c);
    let own_tokens = req.prompt_tokens.saturating_sub(c.cached) as f64;
    let short_tokens = c.load.queued_short_tokens as f64;
    let queued_tokens = c.load.queued_prefill_tokens as f64;
    let ahead = match req.prompt_tokens <= SHORT_MAX_TOKENS {
        true => short_tokens + (queued_tokens - short_tokens).clamp(0.0, cfg.step_tokens),
        false => queued_tokens,
    };
    let need = req.prompt_tokens + req.output_tokens;
    let missing_memory = (c.load.kv_reserved + need).saturating_sub(c.load.kv_capacity);
    let memory_wait = match c.load.kv_capacity {
        0 => 0.0,
        capacity => cfg.full_memory_penalty_s * (missing_memory as f64 / capacity as f64).min(4.0),
    };
    let queue_wait =
        if missing_memory > 0 || c.load.queued > 0 { cfg.full_memory_penalty_s / 2.0 } else { 0.0 };
    let zone_penalty = if c.zone == req.zone { 0.0 } else { cfg.cross_zone_penalty_s };
    (ahead + own_tokens) / rate + memory_wait + queue_wait + zone_penalty
}

impl Predicted {
    fn prefill_rate_of(&self, c: &Candidate) -> f64 {
        if c.load.prefill_rate > 0.0 { c.load.prefill_rate } else { self.default_prefill_rate }
    }

    /// Cost of choosing a candidate, in seconds; lower is better.
    pub fn cost(&self, req: &RouteRequest, c: &Candidate) -> f64 {
        let own_prefill_s =
            req.prompt_tokens.saturating_sub(c.cached) as f64 / self.prefill_rate_of(c);
        let others = (c.load.running + c.load.queued) as f64;
        let interference = own_prefill_s * others * self.interference_weight;
        (first_token_estimate(self, req, c) + interference) / c.slow_start_weight.clamp(0.05, 1.0)
    }

    /// Returns the indices of the candidates that may serve the request.
    ///
    /// Long prompts are restricted to a subset, ordered by the hash of the endpoint name so that
    /// all entries agree on it. The subset grows while all of its engines are backlogged, but
    /// some engines always stay free of long prompts.
    pub fn eligible(&self, req: &RouteRequest, candidates: &[Candidate]) -> Vec<usize> {
        let need = req.prompt_tokens + req.output_tokens;
        let fits = |i: &usize| {
            let capacity = candidates[*i].load.kv_capacity;
            capacity == 0 || need <= capacity
        };
        let mut fitting: Vec<usize> = (0..candidates.len()).filter(fits).collect();
        if req.prompt_tokens <= req.limits.long_prompt_tokens || fitting.len() < 2 {
            return fitting;
        }
        fitting.sort_by_cached_key(|i| xxh3_64(candidates[*i].endpoint.as_bytes()));
        let count = fitting.len();
        let base_size =
            (count as u64 * req.limits.long_share_percent).div_ceil(100).max(1) as usize;
        let max_size = count - (count / UNUSED_BY_LONG_DIVISOR).max(1);
        let mut set_size = base_size.min(max_size);
        while set_size < max_size
            && fitting[..set_size].iter().all(|i| self.is_backlogged(&candidates[*i]))
        {
            set_size += 1;
        }
        fitting.truncate(set_size);
        fitting
    }

    fn is_backlogged(&self, c: &Candidate) -> bool {
        c.load.queued_prefill_tokens as f64 / self.prefill_rate_of(c) > self.expand_backlog_s
    }

    fn sample_candidates(
        &self,
        eligible: Vec<usize>,
        c: &[Candidate],
        rng: &mut ChaCha8Rng,
    ) -> Vec<usize> {
        if eligible.len() <= self.sample_threshold {
            return eligible;
        }
        let cached = |i: &usize| -> Tokens { c[*i].cached };
        let best_cached = eligible.iter().copied().filter(|i| cached(i) > 0).max_by_key(cached);
        let mut sample: Vec<usize> =
            (0..self.sample_size).map(|_| eligible[rng.random_range(0..eligible.len())]).collect();
        sample.extend(best_cached);
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
        let eligible = self.eligible(req, candidates);
        let sample = self.sample_candidates(eligible, candidates, rng);
        let cost = |i: &usize| self.cost(req, &candidates[*i]);
        sample.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }
}
