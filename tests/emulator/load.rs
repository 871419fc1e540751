//! Seeded loads in the mixes of two installations, in spans that are heavy in one kind.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Name.
    pub name: &'static str,
    /// Requests a second on average.
    pub per_s: f64,
    /// Mean and coefficient of variation of the prompt, and its most, in tokens.
    pub prompt: (f64, f64, f64),
    /// The same of the events of an answer.
    pub events: (f64, f64, f64),
    /// Objective to the first event in milliseconds.
    pub objective_ms: f64,
    /// Longest pause between events in milliseconds.
    pub pause_limit_ms: f64,
    /// Time that the caller waits in milliseconds.
    pub patience_ms: f64,
    /// Worth in time, and late.
    pub worth: (f64, f64),
}

/// A span of time and how many times its usual rate each kind has in it.
#[derive(Clone, Debug)]
pub struct Span {
    /// Its length in milliseconds.
    pub length_ms: f64,
    /// Factors in the order of the kinds.
    pub factors: [f64; 3],
}

/// An installation and its load.
#[derive(Clone, Debug)]
pub struct Preset {
    /// Name.
    pub name: &'static str,
    /// Engines.
    pub engines: usize,
    /// Entries.
    pub entries: usize,
    /// Slots of an engine.
    pub slots: u32,
    /// Memory of an engine in tokens.
    pub memory: u64,
    /// Steps of a pass that includes writers, and so the tokens of an event.
    pub stride: u32,
    /// Kinds of request: short, medium and long.
    pub kinds: [Kind; 3],
    /// Spans that follow each other.
    pub spans: Vec<Span>,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it comes, in milliseconds.
    pub at_ms: f64,
    /// Its kind.
    pub kind: usize,
    /// Prompt tokens.
    pub prompt: u64,
    /// Events of its answer.
    pub events: u32,
    /// Worth in time, and late.
    pub worth: (f64, f64),
}

fn turns() -> Vec<Span> {
    let span = |length_ms, factors| Span { length_ms, factors };
    vec![
        span(2_000.0, [1.0, 1.0, 1.0]),
        span(9_500.0, [0.35, 1.3, 2.9]),
        span(1_500.0, [1.0, 1.0, 1.0]),
        span(9_500.0, [2.5, 0.5, 0.05]),
        span(500.0, [1.0, 1.0, 1.0]),
        span(9_500.0, [0.38, 1.3, 2.7]),
        span(1_500.0, [1.0, 1.0, 1.0]),
    ]
}

/// An installation of 14 engines.
pub fn small() -> Preset {
    let kind = |name, per_s, prompt, events, objective_ms, pause_limit_ms, patience_ms, worth| {
        Kind { name, per_s, prompt, events, objective_ms, pause_limit_ms, patience_ms, worth }
    };
    let short = ((4_960.0, 0.9, 23_800.0), (34.9, 0.7, 87.0));
    let medium = ((45_000.0, 0.5, 110_000.0), (20.9, 0.6, 52.0));
    let long = ((210_000.0, 0.55, 1_000_000.0), (17.4, 0.5, 43.0));
    Preset {
        name: "small",
        engines: 14,
        entries: 7,
        slots: 16,
        memory: 450_000,
        stride: 46,
        kinds: [
            kind("short", 30.7, short.0, short.1, 300.0, 200.0, 10_000.0, (1.3, 0.33)),
            kind("medium", 2.23, medium.0, medium.1, 1_500.0, 500.0, 10_000.0, (3.1, 0.79)),
            kind("long", 0.922, long.0, long.1, 3_000.0, 800.0, 15_000.0, (22.0, 5.4)),
        ],
        spans: turns(),
    }
}

/// The same after it has grown to 45 engines and longer prompts.
pub fn grown() -> Preset {
    let mut preset = small();
    preset.name = "grown";
    preset.engines = 45;
    preset.entries = 26;
    preset.slots = 12;
    preset.memory = 382_500;
    preset.stride = 52;
    let [short, medium, long] = &mut preset.kinds;
    short.per_s = 76.7;
    short.events.0 = 33.0;
    short.worth = (1.4, 0.34);
    medium.per_s = 7.03;
    medium.events.0 = 19.8;
    medium.worth = (2.6, 0.66);
    long.per_s = 2.08;
    long.events.0 = 16.5;
    long.prompt.0 = 300_000.0;
    long.objective_ms = 4_000.0;
    long.worth = (30.0, 7.5);
    preset
}

/// Three times as many of all kinds for some seconds in the middle.
pub fn with_burst(mut preset: Preset, times: f64) -> Preset {
    for span in &mut preset.spans[2..4] {
        span.factors = span.factors.map(|f| f * times);
    }
    preset
}

/// The same load with spans of this part of their length.
pub fn shortened(mut preset: Preset, part: f64) -> Preset {
    for span in &mut preset.spans {
        span.length_ms *= part;
    }
    preset
}

/// Draws the arrivals of a run.
pub fn draw(preset: &Preset, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut from = 0.0;
    for span in &preset.spans {
        for (at, kind) in preset.kinds.iter().enumerate() {
            let per_ms = kind.per_s * span.factors[at] / 1000.0;
            let mut t = from + exponential(&mut rng) / per_ms;
            while t < from + span.length_ms {
                arrivals.push(draw_one(&mut rng, preset, at, t));
                t += exponential(&mut rng) / per_ms;
            }
        }
        from += span.length_ms;
    }
    arrivals.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    arrivals
}

fn draw_one(rng: &mut ChaCha8Rng, preset: &Preset, at: usize, at_ms: f64) -> Arrival {
    let kind = &preset.kinds[at];
    let prompt = draw_size(rng, kind.prompt).max(200.0);
    let events = draw_size(rng, kind.events).max(1.0);
    let tokens = f64::from(preset.stride);
    let size = (prompt + 10.0 * events * tokens) / (kind.prompt.0 + 10.0 * kind.events.0 * tokens);
    let factor = (0.3 + 0.7 * size).min(4.0);
    Arrival {
        at_ms,
        kind: at,
        prompt: prompt as u64,
        events: events.round() as u32,
        worth: (kind.worth.0 * factor, kind.worth.1 * factor),
    }
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random_range(0.0..1.0f64)).ln()
}

/// A log-normal number with this mean and coefficient of variation, below a bound.
fn draw_size(rng: &mut ChaCha8Rng, (mean, cv, most): (f64, f64, f64)) -> f64 {
    let sigma = (1.0 + cv * cv).ln().sqrt();
    let normal = (-2.0 * (1.0 - rng.random_range(0.0..1.0f64)).ln()).sqrt()
        * (std::f64::consts::TAU * rng.random_range(0.0..1.0f64)).cos();
    (mean.ln() - sigma * sigma / 2.0 + sigma * normal).exp().min(most)
}
