//! Benchmarks of the code that runs for every request or token in an entry: selecting an endpoint
//! by fleet size, hashing and parsing by prompt length, and coding and reassembling frames.

use std::hint::black_box;
use std::time::Duration;

use bitternlead::config::{FleetConfig, FleetLimits, Server};
use bitternlead::entry::assembly::Assembly;
use bitternlead::entry::fleet_view::FleetView;
use bitternlead::entry::openai;
use bitternlead::entry::prefix::PrefixChain;
use bitternlead::entry::router::{Candidate, RouteRequest, RoutingPolicy};
use bitternlead::wire::envelope::Body;
use bitternlead::wire::frame::EnvelopeCodec;
use bitternlead::wire::{Chunk, Envelope, Load, Member, SyncReply};
use bytes::BytesMut;
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio_util::codec::{Decoder, Encoder};

/// Numbers of endpoints.
const FLEET_SIZES: [usize; 3] = [15, 600, 2400];

/// Builds a load report that differs between endpoints.
fn build_load(n: usize) -> Load {
    Load {
        endpoint: format!("e{n}"),
        running: n as u64 % 7,
        queued_prefill_tokens: n as u64 * 977 % 50_000,
        kv_reserved: n as u64 * 7919 % 400_000,
        kv_capacity: 450_000,
        prefill_rate: 30_000.0,
        ..Load::default()
    }
}

/// Selects an endpoint among candidates that are already collected.
fn bench_placement(c: &mut Criterion) {
    let req = RouteRequest {
        prompt_tokens: 2000,
        output_tokens: 100,
        zone: "z0".into(),
        limits: FleetLimits::default(),
    };
    let mut group = c.benchmark_group("choose among candidates");
    for size in FLEET_SIZES {
        let candidates: Vec<Candidate> = (0..size)
            .map(|n| Candidate {
                endpoint: format!("e{n}").into(),
                zone: "z0".into(),
                load: build_load(n),
                cached: 0,
                slow_start_weight: 1.0,
            })
            .collect();
        let router = RoutingPolicy::Predicted.build();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| router.choose(black_box(&req), &candidates, &mut rng));
        });
    }
    group.finish();
}

/// Collects the candidates for a model that every endpoint of the fleet has loaded.
fn bench_candidates(c: &mut Criterion) {
    let mut group = c.benchmark_group("candidates of one model, whole fleet");
    for size in FLEET_SIZES {
        let view = FleetView::new(1);
        let mut config = FleetConfig::default();
        let mut members = Vec::new();
        for n in 0..size {
            let name = format!("e{n}");
            config.servers.insert(name.as_str().into(), Server::default());
            members.push(Member {
                endpoint: name,
                address: "127.0.0.1:1".into(),
                models: vec!["m".into()],
                load: Some(build_load(n)),
                ..Member::default()
            });
        }
        let reply = SyncReply {
            members_term: 1,
            members_version: 1,
            members_full: true,
            members,
            ..SyncReply::default()
        };
        view.apply(Duration::ZERO, &reply);
        let chain = PrefixChain::default();
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| view.candidates(Duration::from_secs(1), "m", &config, &[], &chain));
        });
    }
    group.finish();
}

/// Hashes the prefixes of a prompt, and parses a request body with it.
fn bench_prompts(c: &mut Criterion) {
    let mut group = c.benchmark_group("hash and read a prompt");
    group.sample_size(20);
    for tokens in [1_000usize, 100_000, 1_000_000] {
        let prompt = "word ".repeat(tokens * 4 / 5);
        let body = serde_json::json!({ "model": "m", "prompt": prompt }).to_string();
        group.throughput(Throughput::Bytes(prompt.len() as u64));
        group.bench_function(BenchmarkId::new("hash", tokens), |b| {
            b.iter(|| PrefixChain::of(black_box(&prompt)));
        });
        group.bench_function(BenchmarkId::new("parse", tokens), |b| {
            b.iter(|| openai::parse(black_box(body.as_bytes()), false).is_ok());
        });
    }
    group.finish();
}

/// Encodes and decodes a frame with one token, and reassembles frames into an answer.
fn bench_frames(c: &mut Criterion) {
    let chunk = |offset| Chunk {
        request: "req-0123456789abcdef0123".into(),
        attempt: 1,
        offset,
        len: 1,
        data: "token ".into(),
    };
    c.bench_function("frame of one token, written and read", |b| {
        let mut codec = EnvelopeCodec::new(1 << 20);
        let mut buf = BytesMut::new();
        b.iter(|| {
            let frame = Envelope { call: 7, body: Some(Body::Chunk(chunk(0))) };
            codec.encode(frame, &mut buf).ok();
            codec.decode(&mut buf).ok()
        });
    });
    c.bench_function("assembly of one token", |b| {
        let mut assembly = Assembly::new("req-0123456789abcdef0123", 1);
        b.iter(|| assembly.accept(Body::Chunk(chunk(assembly.offset()))));
    });
}

criterion_group!(benches, bench_placement, bench_candidates, bench_prompts, bench_frames);
criterion_main!(benches);
