//! Routing policies: which engines are eligible, which ones are avoided, and the choice compared
//! with a naive scan.

use std::collections::BTreeSet;
use std::time::Duration;

use bitternlead::config::FleetLimits;
use bitternlead::entry::fleet_view::FleetView;
use bitternlead::entry::router::{Candidate, Predicted, RouteRequest, Router, RoutingPolicy};
use bitternlead::wire::{Load, Member, SyncReply};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn candidate(n: usize, load: Load) -> Candidate {
    let load = Load { kv_capacity: 450_000, prefill_rate: 30_000.0, ..load };
    Candidate {
        endpoint: format!("e{n}").into(),
        zone: format!("z{}", n % 3).into(),
        load,
        cached: 0,
        slow_start_weight: 1.0,
    }
}

fn fleet(count: usize) -> Vec<Candidate> {
    (0..count).map(|n| candidate(n, Load::default())).collect()
}

fn request(prompt_tokens: u64) -> RouteRequest {
    RouteRequest {
        prompt_tokens,
        output_tokens: 100,
        zone: "z0".into(),
        limits: FleetLimits::default(),
    }
}

fn choose(req: &RouteRequest, candidates: &[Candidate]) -> Option<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    Predicted::default().choose(req, candidates, &mut rng)
}

#[test]
fn long_prompts_are_kept_to_a_bounded_set_that_grows_but_leaves_engines_free() {
    let router = Predicted::default();
    for count in 2..40 {
        let mut candidates = fleet(count);
        let base = router.eligible(&request(200_000), &candidates);
        assert!(base.len() < count, "{count}");
        for c in &mut candidates {
            c.load.queued_prefill_tokens = 10_000_000;
        }
        let grown = router.eligible(&request(200_000), &candidates);
        assert!(grown.len() >= base.len() && grown.len() < count, "{count}");
        let all = router.eligible(&request(1000), &candidates);
        assert_eq!(all.len(), count, "short prompts may use every engine");
    }
}

#[test]
fn the_set_for_long_prompts_is_the_same_on_every_entry() {
    let router = Predicted::default();
    let names = |candidates: &[Candidate]| -> BTreeSet<_> {
        let eligible = router.eligible(&request(200_000), candidates);
        eligible.iter().map(|i| candidates[*i].endpoint.clone()).collect()
    };
    let mut other = fleet(15);
    other.reverse();
    assert_eq!(names(&fleet(15)), names(&other));
}

#[test]
fn a_prompt_that_fits_nowhere_is_refused() {
    assert_eq!(choose(&request(1_000_000), &fleet(5)), None);
}

#[test]
fn a_short_prompt_avoids_an_engine_that_prefills_a_long_one() {
    let mut candidates = fleet(6);
    for c in &mut candidates[..5] {
        c.load.queued_prefill_tokens = 400_000;
        c.load.running = 1;
    }
    candidates[5].load.running = 3;
    assert_eq!(choose(&request(500), &candidates), Some(5));
}

#[test]
fn a_cached_prefix_and_the_local_zone_break_ties() {
    let mut candidates = fleet(9);
    assert_eq!(candidates[choose(&request(500), &candidates).unwrap()].zone, "z0");
    candidates[4].cached = 20_000;
    assert_eq!(choose(&request(24_000), &candidates), Some(4));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 800,
        rng_seed: proptest::test_runner::RngSeed::Fixed(14),
        ..ProptestConfig::default()
    })]
    #[test]
    fn the_eligible_candidate_of_lowest_cost_is_chosen_like_in_a_naive_scan(
        loads in prop::collection::vec((0u64..20, 0u64..600_000, 0u64..450_000), 1..30),
        prompt in 1u64..400_000,
    ) {
        let candidates: Vec<Candidate> = loads
            .iter()
            .enumerate()
            .map(|(n, (running, queued, kv))| {
                let load = Load {
                    running: *running,
                    queued_prefill_tokens: *queued,
                    kv_reserved: *kv,
                    ..Load::default()
                };
                candidate(n, load)
            })
            .collect();
        let router = Predicted::default();
        let req = request(prompt);
        let chosen = choose(&req, &candidates);
        let mut best: Option<usize> = None;
        for i in router.eligible(&req, &candidates) {
            let cost = router.cost(&req, &candidates[i]);
            if best.is_none_or(|b| cost < router.cost(&req, &candidates[b])) {
                best = Some(i);
            }
        }
        let cost = |i: Option<usize>| i.map(|i| router.cost(&req, &candidates[i]));
        prop_assert_eq!(cost(chosen), cost(best));
    }
}

#[test]
fn baseline_policies_choose_by_rotation_and_request_count() {
    let candidates = fleet(4);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let round_robin = RoutingPolicy::RoundRobin.build();
    let rotation: Vec<_> =
        (0..8).map(|_| round_robin.choose(&request(1), &candidates, &mut rng).unwrap()).collect();
    assert_eq!(rotation, [0, 1, 2, 3, 0, 1, 2, 3]);
    let mut busy = fleet(4);
    for (n, c) in busy.iter_mut().enumerate() {
        c.load.running = 10 - n as u64;
    }
    let least_requests = RoutingPolicy::LeastRequests.build();
    assert_eq!(least_requests.choose(&request(1), &busy, &mut rng), Some(3));
    let random_two = RoutingPolicy::RandomTwo.build();
    let busiest_chosen =
        (0..200).filter(|_| random_two.choose(&request(1), &busy, &mut rng) == Some(0)).count();
    assert!(
        busiest_chosen < 40,
        "the busiest is chosen only if both draws hit it: {busiest_chosen}"
    );
}

/// Guards against an engine that counts as of unknown capacity and default speed for as long as this
/// entry sends nothing: its first announcement came before the engine's first report.
#[test]
fn a_later_announcement_tells_the_load_that_the_first_one_did_not() {
    let view = FleetView::new(7);
    let announce = |version: u64, models: &[&str], load: Option<Load>| {
        let member = Member {
            endpoint: "e1".into(),
            address: "127.0.0.1:9000".into(),
            models: models.iter().map(|m| (*m).to_owned()).collect(),
            load,
            version,
            ..Member::default()
        };
        let members = vec![member];
        let reply = SyncReply {
            members_term: 1,
            members_version: version,
            members,
            ..SyncReply::default()
        };
        view.apply(Duration::from_secs(version), &reply);
    };
    announce(1, &[], None);
    announce(2, &["m"], Some(Load { kv_capacity: 300_000, ..Load::default() }));
    assert_eq!(view.max_kv_capacity("m"), 300_000);
}
