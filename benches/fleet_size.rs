//! Benchmarks of what an entry and a control replica do for each request, load report and
//! announcement, by the number of engines. There is one entry for ten engines.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bitternlead::directory::Directory;
use bitternlead::gateway::eligibility::endpoints::Endpoints;
use bitternlead::gateway::load::in_flight::{InFlightSend, InFlightSends};
use bitternlead::gateway::load::load_exchange::LoadPeers;
use bitternlead::gateway::placement::admission::mean_backlog_ms;
use bitternlead::gateway::placement::engine_model::EngineModel;
use bitternlead::gateway::placement::engine_source::{EngineSource, KnownEngines};
use bitternlead::gateway::placement::fleet_sample::draw_candidates;
use bitternlead::gateway::placement::policy::Policy;
use bitternlead::gateway::placement::{PlacementRequest, decide_among};
use bitternlead::wire::{Announcement, SharedLoad, Standing};
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use smol_str::SmolStr;

/// Numbers of engines.
const FLEET_SIZES: [usize; 4] = [10, 100, 1_000, 3_000];

/// Number of engines for each entry.
const ENGINES_PER_ENTRY: usize = 10;

/// Number of sends in flight at each engine; one of them is in prefill.
const SENDS_PER_ENGINE: usize = 4;

/// Time of the measurements.
const NOW: Duration = Duration::from_secs(100);

fn engine_id(n: usize) -> SmolStr {
    SmolStr::from(format!("i-{n:010}"))
}

fn send(endpoint: usize, n: usize) -> InFlightSend {
    let is_decoding = !n.is_multiple_of(SENDS_PER_ENGINE);
    InFlightSend {
        endpoint: engine_id(endpoint),
        request_hash: (endpoint * 100 + n) as u64,
        prompt_tokens: 5_000,
        output_tokens: 1_600,
        prefill_tokens: 5_000,
        prefill_ms: 21.0,
        sent_at: NOW - Duration::from_millis(if is_decoding { 900 } else { 5 }),
        written_tokens: if is_decoding { 46 } else { 0 },
        pause_limit_ms: 200.0,
        held_tokens: 6_600,
        objective_ms: 300.0,
        ..InFlightSend::default()
    }
}

/// The sends in flight as one of the entries knows them, and the changes of another entry.
fn fill(engines: usize) -> (InFlightSends, InFlightSends) {
    let entries = (engines / ENGINES_PER_ENTRY).max(2);
    let mut known = InFlightSends::default();
    let mut last = InFlightSends::default();
    for entry in 0..entries {
        let mut sends = InFlightSends::default();
        for engine in 0..engines {
            for n in (0..SENDS_PER_ENGINE).filter(|n| (engine + n) % entries == entry) {
                let send = send(engine, n);
                if entry == 0 {
                    known.insert(send);
                } else {
                    sends.insert(send);
                }
            }
        }
        if entry > 0 {
            let flights = sends.encode_local(NOW);
            sends.take_changes(NOW);
            known.apply_report(NOW, report(entry, 1, flights, Vec::new(), false));
            last = sends;
        }
    }
    known.take_changes(NOW);
    (known, last)
}

fn report(
    entry: usize,
    seq: u64,
    flights: Vec<bitternlead::wire::Flight>,
    ended: Vec<u32>,
    partial: bool,
) -> SharedLoad {
    let node = format!("entry-{entry}");
    SharedLoad { node, incarnation: 1, seq, flights, ended, partial, ..SharedLoad::default() }
}

fn request(n: u64, prompt_tokens: u64) -> PlacementRequest {
    PlacementRequest {
        request_hash: n,
        prompt_tokens,
        output_tokens: 1_500,
        objective_ms: 300.0,
        route_objective_ms: 300.0,
        waited_ms: 0.0,
        pause_limit_ms: 200.0,
        remaining_ms: 9_000.0,
        smoothed_backlog_ms: 0.0,
        is_retry: false,
    }
}

/// Selects engines for a short and for a long prompt.
fn bench_decision(c: &mut Criterion) {
    let (policy, model) = (Policy::default(), EngineModel::default());
    for (name, prompt_tokens) in [("short", 5_000), ("long", 200_000)] {
        let mut group = c.benchmark_group(format!("decision about a {name} prompt"));
        for size in FLEET_SIZES {
            let (known, _) = fill(size);
            let ids: Vec<SmolStr> = (0..size).map(engine_id).collect();
            let mut n = 0;
            group.bench_function(BenchmarkId::from_parameter(size), |b| {
                b.iter(|| {
                    n += 1;
                    let req = request(n, prompt_tokens);
                    let ids = draw_candidates(&ids, n);
                    let engines = KnownEngines::new(&model, NOW, ids, &known, |_, _| {}, |_| 1.0);
                    if prompt_tokens > 5_000 {
                        black_box(mean_backlog_ms(engines.all()));
                    }
                    decide_among(&policy, &model, &engines, &req, None)
                });
            });
        }
        group.finish();
    }
}

/// Applies a report of another entry: a send that was added, one that emitted its first token and
/// one that ended.
fn bench_report(c: &mut Criterion) {
    let mut group = c.benchmark_group("report of three changes applied");
    for size in FLEET_SIZES {
        let (mut known, mut other) = fill(size);
        let last = (size / ENGINES_PER_ENTRY).max(2) - 1;
        let mut seq = 1;
        let mut keys = vec![other.insert(send(0, 0)), other.insert(send(1, 0))];
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter_batched(
                || {
                    keys.push(other.insert(send(seq as usize % size, 0)));
                    other.remove(NOW, keys.remove(0));
                    other.add_output(NOW, keys[0], 46);
                    let changes = other.take_changes(NOW);
                    seq += 1;
                    report(last, seq, changes.flights, changes.ended, true)
                },
                |load| known.apply_report(NOW, load),
                BatchSize::PerIteration,
            );
        });
    }
    group.finish();
}

/// Encodes a report of one change for all other entries.
fn bench_sending(c: &mut Criterion) {
    let mut group = c.benchmark_group("report encoded for all entries");
    for size in FLEET_SIZES {
        let (mut known, _) = fill(size);
        let peers = LoadPeers::default();
        let entries = (size / ENGINES_PER_ENTRY).max(2) as u16;
        let control = SocketAddr::from(([10, 0, 0, 1], 1));
        let listed: Vec<String> = (1..entries).map(|n| format!("10.0.0.2:{n}")).collect();
        peers.replace(control, &listed, control);
        let template = report(0, 0, Vec::new(), Vec::new(), false);
        let mut previous = known.insert(send(0, 0));
        let all = known.encode_local(NOW);
        peers.send_loads(&template, known.take_changes(NOW), || all, |_, _| true);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                known.remove(NOW, previous);
                previous = known.insert(send(0, 0));
                let changes = known.take_changes(NOW);
                let all = || known.encode_local(NOW);
                peers.send_loads(&template, changes, all, |_, data| !black_box(data).is_empty())
            });
        });
    }
    group.finish();
}

fn announcement(n: usize, seq: u64, standing: Standing) -> Announcement {
    Announcement {
        id: engine_id(n).to_string(),
        service: "large-model".into(),
        address: format!("10.1.{}.{}:8000", n / 250, n % 250),
        zone: "dakar-plateau".into(),
        slots: 12,
        standing: standing.into(),
        born: 1_700_000_000_000,
        seq,
        ..Announcement::default()
    }
}

/// Records an announcement that changes nothing at a control replica, and applies one that changes
/// an endpoint's state at an entry.
fn bench_announcements(c: &mut Criterion) {
    let mut group = c.benchmark_group("announcement without change recorded");
    for size in FLEET_SIZES {
        let mut directory = Directory::new(Duration::from_secs(4));
        for n in 0..size {
            directory.record(NOW, announcement(n, 1, Standing::Ready));
        }
        let mut seq = 1;
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter_batched(
                || {
                    seq += 1;
                    announcement(seq as usize % size, seq, Standing::Ready)
                },
                |announcement| directory.record(NOW, announcement),
                BatchSize::PerIteration,
            );
        });
    }
    group.finish();
    let mut group = c.benchmark_group("change of an endpoint applied at an entry");
    for size in FLEET_SIZES {
        let mut endpoints = Endpoints::default();
        for control in ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"] {
            let all = (0..size).map(|n| announcement(n, 1, Standing::Ready)).collect();
            endpoints.apply_update(control, all, true);
        }
        let mut seq = 1;
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter_custom(|iterations| {
                let mut elapsed = Duration::ZERO;
                for _ in 0..iterations {
                    seq += 1;
                    let standing = if seq % 2 == 0 { Standing::Draining } else { Standing::Ready };
                    let changed = vec![announcement(size / 2, seq, standing)];
                    let started = Instant::now();
                    endpoints.apply_update("10.0.0.1:1", changed, false);
                    black_box(endpoints.ready_endpoints("large-model"));
                    elapsed += started.elapsed();
                }
                elapsed
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = bench_decision, bench_report, bench_sending, bench_announcements
}
criterion_main!(benches);
