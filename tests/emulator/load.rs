//! Seeded loads with the mix of two deployments, in phases dominated by one kind of request.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of workspaces.
pub const WORKSPACES: usize = 5;

/// Fraction of the requests that the largest workspace sends.
const LARGEST_WORKSPACE_SHARE: f64 = 0.6;

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Name used in tables.
    pub name: &'static str,
    /// Mean arrival rate in requests per second.
    pub per_s: f64,
    /// Mean, coefficient of variation and maximum of the prompt length in tokens.
    pub prompt: (f64, f64, f64),
    /// Mean, coefficient of variation and maximum of the number of events in a response.
    pub events: (f64, f64, f64),
    /// Objective for the first event in milliseconds.
    pub objective_ms: f64,
    /// Maximum pause between events in milliseconds.
    pub pause_limit_ms: f64,
    /// Time that the caller waits in milliseconds.
    pub patience_ms: f64,
    /// Value if the request is in time, and if it is late.
    pub value: (f64, f64),
}

/// A phase of the load with its own arrival rates.
#[derive(Clone, Debug)]
pub struct Phase {
    /// Length in milliseconds.
    pub length_ms: f64,
    /// Factors on the mean arrival rates, in the order of the kinds.
    pub factors: [f64; 3],
}

/// A deployment and its load.
#[derive(Clone, Debug)]
pub struct Preset {
    /// Name used in tables.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Number of entries.
    pub entries: usize,
    /// Rate up to which an entry sends its load to other entries, in bytes per second.
    pub load_bytes_per_s: f64,
    /// Time in which a report reaches another entry and is applied there, in milliseconds.
    pub load_latency_ms: f64,
    /// Slots of each engine.
    pub slots: u32,
    /// KV cache of each engine in tokens.
    pub memory: u64,
    /// Decoding steps of a pass, and so the tokens of an event.
    pub stride: u32,
    /// Prefill speed of an engine in tokens per millisecond, and base time of a step in milliseconds.
    pub speed: (f64, f64),
    /// Parts of the engines and of the entries in each availability zone; none if there is one zone.
    pub zones: Vec<(usize, usize)>,
    /// Kinds of request: short, medium and long.
    pub kinds: [Kind; 3],
    /// Consecutive phases of the load.
    pub phases: Vec<Phase>,
    /// Whether the kinds have priorities: 0 for short, 1 for medium, 2 for long prompts.
    pub has_priorities: bool,
    /// From when until when a third of the engines is lost, in milliseconds.
    pub engine_loss: Option<(f64, f64)>,
}

/// One request of a load.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Arrival time in milliseconds.
    pub at_ms: f64,
    /// Index of its kind in the preset.
    pub kind: usize,
    /// Prompt length in tokens.
    pub prompt: u64,
    /// Number of events in the response.
    pub events: u32,
    /// Workspace of the caller; the first one sends [`LARGEST_WORKSPACE_SHARE`] of the requests.
    pub workspace: usize,
    /// Value if the request is in time, and if it is late.
    pub value: (f64, f64),
}

fn phases_by_kind() -> Vec<Phase> {
    let phase = |length_ms, factors| Phase { length_ms, factors };
    vec![
        phase(2_000.0, [1.0, 1.0, 1.0]),
        phase(9_500.0, [0.35, 1.3, 2.9]),
        phase(1_500.0, [1.0, 1.0, 1.0]),
        phase(9_500.0, [2.5, 0.5, 0.05]),
        phase(500.0, [1.0, 1.0, 1.0]),
        phase(9_500.0, [0.38, 1.3, 2.7]),
        phase(1_500.0, [1.0, 1.0, 1.0]),
    ]
}

/// A deployment of 14 engines.
pub fn small() -> Preset {
    let kind = |name, per_s, prompt, events, objective_ms, pause_limit_ms, patience_ms, value| {
        Kind { name, per_s, prompt, events, objective_ms, pause_limit_ms, patience_ms, value }
    };
    let short = ((4_960.0, 0.9, 23_800.0), (34.9, 0.7, 87.0));
    let medium = ((45_000.0, 0.5, 110_000.0), (20.9, 0.6, 52.0));
    let long = ((210_000.0, 0.55, 1_000_000.0), (17.4, 0.5, 43.0));
    Preset {
        name: "small",
        engines: 14,
        entries: 7,
        load_bytes_per_s: 12.5e6,
        load_latency_ms: 0.7,
        slots: 16,
        memory: 450_000,
        stride: 46,
        speed: (256.0, 0.925),
        zones: Vec::new(),
        kinds: [
            kind("short", 30.7, short.0, short.1, 300.0, 200.0, 10_000.0, (1.3, 0.33)),
            kind("medium", 2.23, medium.0, medium.1, 1_500.0, 500.0, 10_000.0, (3.1, 0.79)),
            kind("long", 0.922, long.0, long.1, 3_000.0, 800.0, 15_000.0, (22.0, 5.4)),
        ],
        phases: phases_by_kind(),
        has_priorities: false,
        engine_loss: None,
    }
}

/// The same deployment grown to 45 engines, with longer prompts.
pub fn grown() -> Preset {
    let mut preset = small();
    preset.name = "grown";
    preset.engines = 45;
    preset.entries = 26;
    preset.load_bytes_per_s = 250e3;
    preset.slots = 12;
    preset.memory = 382_500;
    preset.stride = 52;
    let [short, medium, long] = &mut preset.kinds;
    short.per_s = 76.7;
    short.events.0 = 33.0;
    short.value = (1.4, 0.34);
    medium.per_s = 7.03;
    medium.events.0 = 19.8;
    medium.value = (2.6, 0.66);
    long.per_s = 2.08;
    long.events.0 = 16.5;
    long.prompt.0 = 300_000.0;
    long.objective_ms = 4_000.0;
    long.value = (30.0, 7.5);
    preset
}

/// The deployment with 112 engines behind 105 entries, each of which gets some two requests a second.
pub fn large() -> Preset {
    let mut preset = grown();
    preset.name = "large";
    preset.load_latency_ms = 6.0;
    preset.engines = 112;
    preset.entries = 105;
    preset.slots = 10;
    preset.memory = 450_000;
    preset.stride = 73;
    let [short, medium, long] = &mut preset.kinds;
    short.per_s = 162.0;
    short.events = (24.3, 0.7, 60.8);
    short.pause_limit_ms = 250.0;
    medium.per_s = 17.3;
    medium.events = (14.6, 0.6, 36.5);
    medium.pause_limit_ms = 600.0;
    medium.value = (2.3, 0.58);
    long.per_s = 3.97;
    long.events = (12.2, 0.5, 30.4);
    long.pause_limit_ms = 1_000.0;
    long.value = (26.0, 6.6);
    preset
}

/// 45 engines in front of 28 entries whose routes have priorities, at `times` the usual load for 16 s
/// after 3 s at the usual load.
pub fn contended(times: f64) -> Preset {
    let mut preset = grown();
    preset.name = "contended";
    preset.entries = 28;
    preset.has_priorities = true;
    let [short, medium, long] = &mut preset.kinds;
    (short.per_s, short.objective_ms, short.value) = (57.0, 250.0, (1.9, 0.19));
    (medium.per_s, medium.objective_ms, medium.value) = (9.0, 1_500.0, (1.9, 0.48));
    (long.per_s, long.objective_ms, long.value) = (1.6, 8_000.0, (11.0, 4.1));
    long.patience_ms = 24_000.0;
    let phase = |length_ms, factors| Phase { length_ms, factors };
    preset.phases = vec![phase(3_000.0, [1.0; 3]), phase(16_000.0, [times; 3])];
    preset
}

/// The same deployment with a burst of short and one of medium prompts and the loss of a third of the
/// engines for 5 s, at `times` the usual load.
pub fn contended_bursts(times: f64) -> Preset {
    let mut preset = contended(times);
    preset.name = "contended bursts";
    let phase =
        |length_ms, factors: [f64; 3]| Phase { length_ms, factors: factors.map(|f| f * times) };
    preset.phases = vec![
        phase(3_000.0, [1.0; 3]),
        phase(4_000.0, [2.0, 1.0, 1.0]),
        phase(3_000.0, [1.0; 3]),
        phase(4_000.0, [1.0, 1.5, 1.0]),
        phase(12_000.0, [1.0; 3]),
    ];
    preset.engine_loss = Some((17_000.0, 22_000.0));
    preset
}

/// 78 engines before 12 entries of three zones, without an order. Half of the requests arrive in a zone
/// with a third of the engines. In two spans of 6 s the short prompts rise to 380/s, for which 0.81 of
/// the slots would be enough, while long prompts go on.
pub fn short_bursts() -> Preset {
    let mut preset = large();
    preset.name = "short bursts";
    (preset.engines, preset.entries) = (78, 12);
    (preset.slots, preset.memory, preset.speed) = (12, 267_750, (177.0, 0.85));
    preset.zones = vec![(1, 3), (1, 2), (1, 1)];
    let [short, medium, long] = &mut preset.kinds;
    (short.per_s, short.value) = (111.0, (1.3, 0.33));
    (short.prompt.0, short.events) = (5_000.0, (25.0, 0.7, 62.5));
    (medium.per_s, medium.value) = (7.0, (3.5, 0.88));
    medium.events = (14.8, 0.6, 37.0);
    (long.per_s, long.value) = (3.0, (29.0, 7.4));
    (long.prompt.0, long.events) = (220_000.0, (12.5, 0.5, 31.0));
    let phase = |length_ms, factors| Phase { length_ms, factors };
    let burst = [380.0 / 111.0, 1.0, 1.0];
    preset.phases = vec![
        phase(2_000.0, [1.0; 3]),
        phase(6_000.0, burst),
        phase(4_000.0, [1.0; 3]),
        phase(6_000.0, burst),
        phase(2_000.0, [1.0; 3]),
    ];
    preset
}

/// The same engines and kinds of request at a share of the size: `part` of the engines, entries and
/// arrivals.
pub fn scaled(mut preset: Preset, part: f64) -> Preset {
    let share = |count: usize| (count as f64 * part).round() as usize;
    (preset.engines, preset.entries) = (share(preset.engines), share(preset.entries));
    for kind in &mut preset.kinds {
        kind.per_s *= part;
    }
    preset
}

/// Multiplies all arrival rates of the two middle phases by `times`.
pub fn with_burst(mut preset: Preset, times: f64) -> Preset {
    for phase in &mut preset.phases[2..4] {
        phase.factors = phase.factors.map(|f| f * times);
    }
    preset
}

/// Scales the length of all phases by `part`.
pub fn shortened(mut preset: Preset, part: f64) -> Preset {
    for phase in &mut preset.phases {
        phase.length_ms *= part;
    }
    preset
}

/// Draws the requests of a run, sorted by arrival time.
pub fn draw(preset: &Preset, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut from = 0.0;
    for phase in &preset.phases {
        for (at, kind) in preset.kinds.iter().enumerate() {
            let per_ms = kind.per_s * phase.factors[at] / 1000.0;
            let mut t = from + exponential(&mut rng) / per_ms;
            while t < from + phase.length_ms {
                arrivals.push(draw_one(&mut rng, preset, at, t));
                t += exponential(&mut rng) / per_ms;
            }
        }
        from += phase.length_ms;
    }
    arrivals.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7e4a);
    for arrival in &mut arrivals {
        if rng.random_range(0.0..1.0f64) >= LARGEST_WORKSPACE_SHARE {
            arrival.workspace = rng.random_range(1..WORKSPACES);
        }
    }
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
        workspace: 0,
        value: (kind.value.0 * factor, kind.value.1 * factor),
    }
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random_range(0.0..1.0f64)).ln()
}

/// Draws from a log-normal distribution with this mean and coefficient of variation, capped at a
/// maximum.
fn draw_size(rng: &mut ChaCha8Rng, (mean, cv, maximum): (f64, f64, f64)) -> f64 {
    let sigma = (1.0 + cv * cv).ln().sqrt();
    let normal = (-2.0 * (1.0 - rng.random_range(0.0..1.0f64)).ln()).sqrt()
        * (std::f64::consts::TAU * rng.random_range(0.0..1.0f64)).cos();
    (mean.ln() - sigma * sigma / 2.0 + sigma * normal).exp().min(maximum)
}
