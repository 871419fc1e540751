//! Load that entries share: whatever is lost on the way, each entry soon knows the sends of all
//! others, and the rate stays within its bound however many entries there are.

use std::net::SocketAddr;
use std::time::Duration;

use bitternlead::gateway::load::in_flight::{
    InFlightSend, InFlightSends, LoadChanges, ReportOutcome, SendKey,
};
use bitternlead::gateway::load::load_exchange::{LoadPeers, SendPacer};
use bitternlead::gateway::placement::engine_model::EngineModel;
use bitternlead::gateway::placement::engine_state::EngineState;
use bitternlead::wire::SharedLoad;
use proptest::prelude::*;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7341))
}

fn listed(addresses: &[u8]) -> Vec<String> {
    addresses.iter().map(|n| address(*n).to_string()).collect()
}

fn send(n: u64) -> InFlightSend {
    InFlightSend {
        endpoint: "i-3f7a91c2d0".into(),
        request_hash: n,
        prompt_tokens: 5_000,
        output_tokens: 1_600,
        prefill_tokens: 5_000,
        prefill_ms: 21.0,
        pause_limit_ms: 200.0,
        held_tokens: 6_600,
        objective_ms: 300.0,
        ..InFlightSend::default()
    }
}

/// The loads for all peers, as they decode them.
fn build_loads(
    peers: &LoadPeers,
    own: &InFlightSends,
    changes: LoadChanges,
    now: Duration,
) -> Vec<(SocketAddr, SharedLoad)> {
    let mut loads = Vec::new();
    peers.send_loads(
        &template(),
        changes,
        || own.encode_local(now),
        |addr, data| {
            assert!(data.len() < 60_000, "a datagram of {} bytes", data.len());
            loads.push((addr, SharedLoad::decode(data).unwrap()));
            true
        },
    );
    loads
}

fn template() -> SharedLoad {
    SharedLoad { node: "entry-1".into(), incarnation: 7, ..SharedLoad::default() }
}

fn hashes(sends: &InFlightSends) -> Vec<(u64, u64)> {
    let mut all: Vec<(u64, u64)> =
        sends.all().map(|f| (f.request_hash, f.written_tokens)).collect();
    all.sort_unstable();
    all
}

/// One step of an entry: a send that starts, one that emits its first event, or one that ends.
#[derive(Clone, Copy, Debug)]
enum Step {
    Start,
    FirstEvent(usize),
    End(usize),
}

fn steps() -> impl Strategy<Value = Vec<(Step, bool)>> {
    let step = prop_oneof![
        3 => Just(Step::Start),
        2 => (0usize..20).prop_map(Step::FirstEvent),
        2 => (0usize..20).prop_map(Step::End),
    ];
    prop::collection::vec((step, prop::bool::weighted(0.2)), 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        ..ProptestConfig::default()
    })]

    /// A lost report is noticed with the next one, and the answer to the request for all sends
    /// makes both entries agree again.
    #[test]
    fn an_entry_knows_the_sends_of_another_though_reports_are_lost(steps in steps()) {
        let (mut own, mut other) = (InFlightSends::default(), InFlightSends::default());
        let peers = LoadPeers::default();
        peers.replace(address(9), &listed(&[1, 2]), address(1));
        let mut keys: Vec<SendKey> = Vec::new();
        let report = |own: &mut InFlightSends, other: &mut InFlightSends, lost: bool| {
            let changes = own.take_changes(ms(5));
            for (_, load) in build_loads(&peers, own, changes, ms(5)) {
                if !lost && other.apply_report(ms(6), load) == ReportOutcome::Incomplete {
                    peers.request_all(address(2));
                }
            }
        };
        for (number, (step, lost)) in steps.into_iter().enumerate() {
            match step {
                Step::Start => keys.push(own.insert(send(number as u64))),
                Step::FirstEvent(at) if at < keys.len() => {
                    own.get_mut(keys[at]).unwrap().written_tokens = 46;
                    own.mark_changed(keys[at]);
                }
                Step::End(at) if at < keys.len() => {
                    own.remove(ms(5), keys.swap_remove(at));
                }
                _ => {}
            }
            report(&mut own, &mut other, lost);
        }
        report(&mut own, &mut other, false);
        report(&mut own, &mut other, false);
        prop_assert_eq!(hashes(&own), hashes(&other));
    }
}

#[test]
fn a_peer_that_is_listed_again_is_understood_at_once() {
    let (mut own, mut other) = (InFlightSends::default(), InFlightSends::default());
    let peers = LoadPeers::default();
    peers.replace(address(9), &listed(&[2]), address(1));
    let exchange = |own: &mut InFlightSends, other: &mut InFlightSends| {
        let changes = own.take_changes(ms(5));
        for (_, load) in build_loads(&peers, own, changes, ms(5)) {
            other.apply_report(ms(6), load);
        }
    };
    for n in 0..5 {
        own.insert(send(n));
        exchange(&mut own, &mut other);
    }
    peers.replace(address(9), &listed(&[]), address(1));
    own.insert(send(5));
    exchange(&mut own, &mut other);
    peers.replace(address(9), &listed(&[2]), address(1));
    exchange(&mut own, &mut other);
    assert_eq!(hashes(&other).len(), 6, "its reports must not count as outdated");
}

#[test]
fn a_control_replica_that_has_just_started_removes_no_peer() {
    let peers = LoadPeers::default();
    peers.replace(address(8), &listed(&[1, 2, 3]), address(1));
    peers.replace(address(9), &listed(&[1]), address(1));
    assert_eq!(peers.addresses().len(), 2);
    peers.forget(address(8));
    assert_eq!(peers.addresses().len(), 0);
}

/// Load of the largest site for 10 s: 33 entries, 6 requests a second at each with 20 in flight.
#[test]
fn reports_of_a_large_site_fit_into_a_tenth_of_its_links() {
    const LINK_BYTES_PER_S: f64 = 20e6 / 8.0;
    let bound = LINK_BYTES_PER_S * 0.1;
    let peers = LoadPeers::default();
    let all_entries: Vec<u8> = (1..=33).collect();
    peers.replace(address(40), &listed(&all_entries), address(1));
    let mut own = InFlightSends::default();
    let mut pacer = SendPacer::new(bound);
    let mut keys: Vec<SendKey> = Vec::new();
    let (mut bytes, mut next_at, mut due) = (0, 0, false);
    for now in 1_000..11_000 {
        if now % 166 == 0 {
            keys.push(own.insert(send(now)));
            due = true;
        }
        if now % 166 == 83 && keys.len() > 20 {
            own.remove(ms(now), keys.remove(0));
            due = true;
        }
        if due && now >= next_at {
            due = false;
            let changes = own.take_changes(ms(now));
            let loads = build_loads(&peers, &own, changes, ms(now));
            let sent: usize = loads.iter().map(|(_, l)| l.encoded_len() + 28).sum();
            pacer.record(ms(now), sent);
            next_at = now + pacer.delay(ms(now)).as_millis() as u64;
            bytes += sent;
        }
    }
    let rate = bytes as f64 / 10.0;
    assert!(rate <= bound, "{rate:.0} bytes/s");
}

/// A long prompt at 17 engines, told to 104 other entries over a link of 20 Mbit/s.
#[test]
fn others_learn_of_a_send_within_milliseconds_after_a_prompt_that_many_engines_share() {
    const LINK_BYTES_PER_S: f64 = 20e6 / 8.0;
    let peers = LoadPeers::default();
    let all_entries: Vec<u8> = (1..=105).collect();
    peers.replace(address(200), &listed(&all_entries), address(1));
    let mut own = InFlightSends::default();
    own.insert(send(1));
    let changes = own.take_changes(ms(1_000));
    build_loads(&peers, &own, changes, ms(1_000));
    let mut pacer = SendPacer::new(LINK_BYTES_PER_S * 0.1);
    for send in shared_prompt(2) {
        own.insert(send);
    }
    let changes = own.take_changes(ms(2_000));
    let loads = build_loads(&peers, &own, changes, ms(2_000));
    let bytes: usize = loads.iter().map(|(_, l)| l.encoded_len() + 28).sum();
    pacer.record(ms(2_000), bytes);
    assert!(pacer.delay(ms(2_020)) <= ms(10), "{:?}", pacer.delay(ms(2_020)));
    let on_link = bytes as f64 / LINK_BYTES_PER_S;
    assert!(on_link <= 0.02, "the report takes {on_link:.3} s of the link");
}

fn shared_prompt(request_hash: u64) -> Vec<InFlightSend> {
    let part = |number: usize| InFlightSend {
        endpoint: format!("i-3f7a91c2{number:02}").into(),
        request_hash,
        prefill_tokens: 30_000,
        is_helper: number > 0,
        shared: true,
        held_tokens: if number == 3 { 9_000 } else { 0 },
        ..send(0)
    };
    (0..17).map(part).collect()
}

#[test]
fn the_parts_of_a_shared_prompt_arrive_as_they_were_sent_and_end_together() {
    let (mut own, mut other) = (InFlightSends::default(), InFlightSends::default());
    let keys: Vec<SendKey> = shared_prompt(7).into_iter().map(|s| own.insert(s)).collect();
    own.insert(send(8));
    let report = |own: &mut InFlightSends, other: &mut InFlightSends, seq: u64| {
        let LoadChanges { flights, ended } = own.take_changes(ms(5));
        let partial = seq > 1;
        other.apply_report(ms(5), SharedLoad { seq, partial, flights, ended, ..template() })
    };
    report(&mut own, &mut other, 1);
    let known = |sends: &InFlightSends| {
        let describe = |f: &InFlightSend| (f.endpoint.clone(), f.is_helper, f.held_tokens);
        let mut all: Vec<_> = sends.all().map(describe).collect();
        all.sort();
        all
    };
    assert_eq!(known(&other).len(), 18);
    assert_eq!(known(&own), known(&other));
    for key in keys {
        own.remove(ms(5), key);
    }
    assert_eq!(report(&mut own, &mut other, 2), ReportOutcome::Applied);
    assert_eq!(known(&own), known(&other));
}

#[test]
fn prefills_that_ended_at_other_entries_are_known_for_some_seconds() {
    let (mut own, mut other) = (InFlightSends::default(), InFlightSends::default());
    let keys: Vec<SendKey> = shared_prompt(7).into_iter().map(|s| own.insert(s)).collect();
    let report = |own: &mut InFlightSends, other: &mut InFlightSends, seq: u64, now: Duration| {
        let LoadChanges { flights, ended } = own.take_changes(now);
        let load = SharedLoad { seq, partial: seq > 1, flights, ended, ..template() };
        other.apply_report(now, load);
        other.ended_prefills().count()
    };
    assert_eq!(report(&mut own, &mut other, 1, ms(5)), 0);
    assert!(own.add_output(ms(900), keys[0], 46), "its first output");
    assert!(!own.add_output(ms(950), keys[0], 46));
    for key in &keys[1..] {
        own.remove(ms(900), *key);
    }
    assert_eq!(report(&mut own, &mut other, 2, ms(901)), 17);
    assert_eq!(own.ended_prefills().count(), 17);
    own.remove(ms(1_500), keys[0]);
    assert_eq!(report(&mut own, &mut other, 3, ms(1_501)), 17, "the stream's end is no second one");
    other.expire(ms(6_000));
    assert_eq!(other.ended_prefills().count(), 0);
}

#[test]
fn a_list_of_all_sends_ends_only_the_prefills_that_it_does_not_name() {
    let (mut own, mut other) = (InFlightSends::default(), InFlightSends::default());
    let waiting = own.insert(send(1));
    let ended = own.insert(send(2));
    let list_all = |own: &InFlightSends, seq: u64, incarnation: u64| SharedLoad {
        seq,
        incarnation,
        flights: own.encode_local(ms(5)),
        ..template()
    };
    other.apply_report(ms(5), list_all(&own, 1, 7));
    own.remove(ms(50), ended);
    other.apply_report(ms(60), list_all(&own, 2, 7));
    let hashes = |sends: &InFlightSends| -> Vec<u64> {
        sends.ended_prefills().map(|f| f.request_hash).collect()
    };
    assert_eq!(hashes(&other), [2]);
    own.add_output(ms(80), waiting, 46);
    other.apply_report(ms(90), list_all(&own, 3, 7));
    assert_eq!(hashes(&other), [2, 1]);
    other.apply_report(ms(95), list_all(&own, 4, 7));
    assert_eq!(hashes(&other), [2, 1], "streams end no prefill");
    let restarted = list_all(&InFlightSends::default(), 1, 8);
    other.apply_report(ms(99), restarted);
    assert_eq!(other.all().count(), 0);
}

/// Guards against helpers that count as empty while they hold KV cache of a stream, and are given more
/// than their memory.
#[test]
fn helpers_count_with_the_memory_that_they_hold_until_the_stream_ends() {
    let (mut own, mut other) = (InFlightSends::default(), InFlightSends::default());
    let held = |tokens: u64, is_helper: bool| InFlightSend {
        held_tokens: tokens,
        prefill_ms: 500.0,
        prefill_tokens: 100_000,
        shared: true,
        is_helper,
        ..send(3)
    };
    let primary = own.insert(held(400_000, false));
    let holder = own.insert(held(60_000, true));
    let reader = own.insert(held(0, true));
    let report = |own: &mut InFlightSends, other: &mut InFlightSends, seq: u64, now: Duration| {
        let LoadChanges { flights, ended } = own.take_changes(now);
        let load = SharedLoad { seq, partial: seq > 1, flights, ended, ..template() };
        assert_eq!(other.apply_report(now, load), ReportOutcome::Applied);
    };
    report(&mut own, &mut other, 1, ms(5));
    own.add_output(ms(900), primary, 46);
    own.end_helper_prefill(ms(900), holder);
    own.end_helper_prefill(ms(900), reader);
    report(&mut own, &mut other, 2, ms(905));
    let model = EngineModel::default();
    for sends in [&own, &other] {
        let helper_sends: Vec<&InFlightSend> = sends.all().filter(|f| f.is_helper).collect();
        let state = EngineState::from_sends("e".into(), &model, ms(910), &helper_sends);
        assert_eq!(state.memory_used_tokens, 60_000);
        assert_eq!((state.request_count, state.pending.len(), state.decoding.len()), (0, 0, 0));
        assert_eq!(sends.ended_prefills().count(), 3, "all three read until then");
    }
    own.remove(ms(2_000), primary);
    own.remove(ms(2_000), holder);
    report(&mut own, &mut other, 3, ms(2_005));
    assert_eq!((own.all().count(), other.all().count()), (0, 0));
    assert_eq!(other.ended_prefills().count(), 3, "the end of the stream ends no prefill");
}

/// Guards the index by endpoint: after reports that list all sends or changes, lost ones, restarts
/// and expiry it must name the sends that are known, no others.
#[test]
fn the_sends_at_an_endpoint_follow_reports_restarts_and_expiry() {
    let mut rng = ChaCha8Rng::seed_from_u64(31);
    let endpoints: Vec<String> = (0..5).map(|n| format!("e{n}")).collect();
    let mut known = InFlightSends::default();
    let mut entries: Vec<(InFlightSends, Vec<SendKey>)> = Vec::new();
    entries.resize_with(3, Default::default);
    let mut most_known = 0;
    for seq in 1..600u64 {
        let entry = rng.random_range(0..entries.len());
        let incarnation = seq / 200;
        let (own, keys) = &mut entries[entry];
        if rng.random_bool(0.01) {
            (*own, *keys) = Default::default();
        }
        for _ in 0..rng.random_range(0..4) {
            let endpoint = endpoints[rng.random_range(0..5)].as_str().into();
            keys.push(own.insert(InFlightSend { endpoint, ..send(seq) }));
        }
        if !keys.is_empty() && rng.random_bool(0.6) {
            own.remove(ms(seq), keys.swap_remove(0));
        }
        let LoadChanges { flights, ended } = own.take_changes(ms(seq));
        let partial = rng.random_bool(0.7);
        let flights = if partial { flights } else { own.encode_local(ms(seq)) };
        let node = format!("entry-{entry}");
        let load = SharedLoad { node, incarnation, seq, partial, flights, ended, ..template() };
        if rng.random_bool(0.9) {
            known.apply_report(ms(seq), load);
        }
        if rng.random_bool(0.02) {
            known.expire(ms(seq + 1_950));
        }
        for endpoint in &endpoints {
            let at: Vec<&InFlightSend> = known.sends_at(endpoint).collect();
            assert!(at.iter().all(|f| f.endpoint == *endpoint));
            assert_eq!(at.len(), known.all().filter(|f| f.endpoint == *endpoint).count());
            assert_eq!(at.len(), known.count_at(endpoint));
            let ended = known.ended_prefills().filter(|f| f.endpoint == *endpoint);
            assert!(known.ended_prefills_at(endpoint).eq(ended));
        }
        most_known = most_known.max(known.all().count());
    }
    assert!(most_known > 20, "{most_known}");
    known.expire(ms(9_000));
    assert_eq!((known.all().count(), known.count_at("e0")), (0, 0));
}

/// Guards the bound on datagrams: 300 long prompts with 17 engines each don't fit into one, and the
/// receiver must know all of them after the last.
#[test]
fn many_shared_prompts_arrive_in_datagrams_of_bounded_size() {
    let (mut own, mut other) = (InFlightSends::default(), InFlightSends::default());
    let peers = LoadPeers::default();
    peers.replace(address(9), &listed(&[2, 3]), address(1));
    for n in 0..300 {
        for send in shared_prompt(n) {
            own.insert(send);
        }
    }
    for _ in 0..2 {
        let changes = own.take_changes(ms(5));
        for (_, load) in
            build_loads(&peers, &own, changes, ms(5)).into_iter().filter(|l| l.0 == address(2))
        {
            assert_eq!(other.apply_report(ms(6), load), ReportOutcome::Applied);
        }
        assert_eq!(hashes(&own), hashes(&other));
        for send in shared_prompt(400) {
            own.insert(send);
        }
    }
}

#[test]
fn a_peer_whose_datagram_was_not_sent_gets_all_sends_with_the_next() {
    let mut own = InFlightSends::default();
    let peers = LoadPeers::default();
    peers.replace(address(9), &listed(&[2, 3]), address(1));
    let mut send_all = |is_sent: bool| {
        own.insert(send(1));
        let (changes, mut sizes) = (own.take_changes(ms(5)), Vec::new());
        peers.send_loads(
            &template(),
            changes,
            || own.encode_local(ms(5)),
            |addr, data| {
                sizes.push((addr, SharedLoad::decode(data).unwrap().flights.len()));
                is_sent || addr == address(3)
            },
        );
        sizes.sort_unstable();
        sizes.into_iter().map(|(_, flights)| flights).collect::<Vec<_>>()
    };
    assert_eq!(send_all(true), [1, 1]);
    assert_eq!(send_all(false), [1, 1]);
    assert_eq!(send_all(true), [3, 1]);
    assert_eq!(send_all(true), [1, 1]);
}
