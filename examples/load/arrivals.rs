//! Seeded arrivals: the length mix of the fleet, workspaces with skew, shared prefixes.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Shortest prompt in tokens.
const SHORTEST: f64 = 1_000.0;

/// Prompts longer than this are one in fifty.
const LONG: f64 = 100_000.0;

/// Longest prompt in tokens.
const LONGEST: f64 = 1_000_000.0;

/// Tokens of answers.
const OUTPUT: std::ops::RangeInclusive<u64> = 20..=150;

/// Tokens of a shared prefix.
const PREFIX: u64 = 4_096;

/// Prefixes shared within a workspace.
const PREFIXES: u64 = 4;

/// One request to come.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub workspace: usize,
    pub prompt_tokens: u64,
    pub output: u64,
    pub prefix: Option<u64>,
    pub number: usize,
}

/// Mean prompt length of the mix in tokens.
pub fn mean_prompt() -> f64 {
    let mean = |low: f64, high: f64| (high - low) / (high / low).ln();
    0.98 * mean(SHORTEST, LONG) + 0.02 * mean(LONG, LONGEST)
}

fn log_uniform(rng: &mut ChaCha8Rng, low: f64, high: f64) -> u64 {
    (low.ln() + rng.random::<f64>() * (high.ln() - low.ln())).exp() as u64
}

/// Arrivals at a mean rate for a time; the same seed gives the same requests.
pub fn draw(seed: u64, rate: f64, time: Duration, workspaces: usize) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = 0.0;
    let mut list = Vec::new();
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at > time.as_secs_f64() {
            return list;
        }
        let long = rng.random::<f64>() < 0.02;
        let (low, high) = if long { (LONG, LONGEST) } else { (SHORTEST, LONG) };
        // A few workspaces are large.
        let skew = rng.random::<f64>().powi(3);
        let prompt_tokens = log_uniform(&mut rng, low, high);
        let shares = rng.random::<f64>() < 0.5 && prompt_tokens > PREFIX * 2;
        let prefix = rng.random_range(0..PREFIXES);
        list.push(Arrival {
            at: Duration::from_secs_f64(at),
            workspace: (skew * workspaces as f64) as usize,
            prompt_tokens,
            output: rng.random_range(OUTPUT),
            prefix: shares.then_some(prefix),
            number: list.len(),
        });
    }
}

/// Text of a prompt: a prefix shared within the workspace, then text of its own.
pub fn prompt(arrival: &Arrival, seed: u64) -> String {
    let bytes = arrival.prompt_tokens as usize * 4;
    let mut text = String::with_capacity(bytes + 64);
    if let Some(prefix) = arrival.prefix {
        let line = format!("prefix {} of workspace {} ", prefix, arrival.workspace);
        while text.len() < PREFIX as usize * 4 {
            text.push_str(&line);
        }
        text.truncate(PREFIX as usize * 4);
    }
    let line = format!("request {} of run {seed} says so ", arrival.number);
    while text.len() < bytes {
        text.push_str(&line);
    }
    text.truncate(bytes.max(1));
    text
}
