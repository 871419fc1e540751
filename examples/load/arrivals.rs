//! Generates the arrivals of a run from a seed.
//!
//! Arrivals are a Poisson process. Prompt lengths are log-uniform below and above the limit of a
//! long prompt, a few workspaces send most of the requests, and about half of the prompts that are
//! long enough start with a prefix that other prompts of the workspace share.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Minimum prompt length in tokens.
const MIN_PROMPT_TOKENS: f64 = 1_000.0;

/// Limit between the two ranges of prompt lengths, in tokens; one prompt in 50 is longer.
const LONG_PROMPT_TOKENS: f64 = 100_000.0;

/// Maximum prompt length in tokens.
const MAX_PROMPT_TOKENS: f64 = 1_000_000.0;

/// Range of the answer length in tokens.
const OUTPUT_TOKENS: std::ops::RangeInclusive<u64> = 20..=150;

/// Length of a shared prefix in tokens.
const SHARED_PREFIX_TOKENS: u64 = 4_096;

/// Number of different shared prefixes in a workspace.
const PREFIXES_PER_WORKSPACE: u64 = 4;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of sending after the start of the run, on the engines' clock.
    pub at: Duration,
    /// Number of the workspace that sends it.
    pub workspace: usize,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Requested answer length in tokens.
    pub output_tokens: u64,
    /// Number of the shared prefix within the workspace, if the prompt starts with one.
    pub prefix: Option<u64>,
    /// Number of the request within the run; makes its prompt unique.
    pub number: usize,
}

/// Returns the mean prompt length of the mix in tokens.
pub fn mean_prompt_tokens() -> f64 {
    let mean = |low: f64, high: f64| (high - low) / (high / low).ln();
    0.98 * mean(MIN_PROMPT_TOKENS, LONG_PROMPT_TOKENS)
        + 0.02 * mean(LONG_PROMPT_TOKENS, MAX_PROMPT_TOKENS)
}

fn log_uniform(rng: &mut ChaCha8Rng, low: f64, high: f64) -> u64 {
    (low.ln() + rng.random::<f64>() * (high.ln() - low.ln())).exp() as u64
}

/// Generates arrivals at a mean rate per second; the same seed gives the same requests.
pub fn generate(seed: u64, rate: f64, duration: Duration, workspaces: usize) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at_seconds = 0.0;
    let mut arrivals = Vec::new();
    loop {
        at_seconds += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at_seconds > duration.as_secs_f64() {
            return arrivals;
        }
        let long = rng.random::<f64>() < 0.02;
        let (low, high) = if long {
            (LONG_PROMPT_TOKENS, MAX_PROMPT_TOKENS)
        } else {
            (MIN_PROMPT_TOKENS, LONG_PROMPT_TOKENS)
        };
        // The cube makes the first workspaces send most of the requests.
        let workspace_fraction = rng.random::<f64>().powi(3);
        let prompt_tokens = log_uniform(&mut rng, low, high);
        let has_shared_prefix =
            rng.random::<f64>() < 0.5 && prompt_tokens > SHARED_PREFIX_TOKENS * 2;
        let prefix = rng.random_range(0..PREFIXES_PER_WORKSPACE);
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at_seconds),
            workspace: (workspace_fraction * workspaces as f64) as usize,
            prompt_tokens,
            output_tokens: rng.random_range(OUTPUT_TOKENS),
            prefix: has_shared_prefix.then_some(prefix),
            number: arrivals.len(),
        });
    }
}

/// Builds the text of a prompt: the shared prefix, if any, then text unique to the request.
///
/// Four bytes count as one token.
pub fn build_prompt(arrival: &Arrival, seed: u64) -> String {
    let byte_count = arrival.prompt_tokens as usize * 4;
    let mut text = String::with_capacity(byte_count + 64);
    if let Some(prefix) = arrival.prefix {
        let line = format!("prefix {} of workspace {} ", prefix, arrival.workspace);
        while text.len() < SHARED_PREFIX_TOKENS as usize * 4 {
            text.push_str(&line);
        }
        text.truncate(SHARED_PREFIX_TOKENS as usize * 4);
    }
    let line = format!("request {} of run {seed} says so ", arrival.number);
    while text.len() < byte_count {
        text.push_str(&line);
    }
    text.truncate(byte_count.max(1));
    text
}
