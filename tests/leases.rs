//! The configuration lease of a node, the node registry, and the fencing of orders.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlead::agent::fencing::{FencingDecision, FencingGate};
use bitternlead::config_lease::{ConfigLease, LeaseEvent};
use bitternlead::control::config_records::ConfigRecords;
use bitternlead::control::node_registry::{
    EndpointEvent, NodeRegistry, NodeRegistryConfig, RunStatus,
};
use bitternlead::wire::{Change, ConfigChanges, ConfigRecord, EndpointReport, Sync, SyncReply};
use proptest::prelude::*;
use prost::Message;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn model(name: &str, present: bool) -> ConfigRecord {
    let value = present.then(|| format!("{{\"name\":\"{name}\"}}"));
    ConfigRecord { key: format!("model/{name}"), version: 0, value }
}

fn reply(records: &ConfigRecords, base: u64, lease_ms: u64) -> SyncReply {
    let delta = records.changes_since(base);
    SyncReply {
        lease_ms,
        config_version: delta.version,
        config_full: delta.full,
        changes: ConfigChanges { records: delta.records }.encode_to_vec().into(),
        ..SyncReply::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(16),
        ..ProptestConfig::default()
    })]
    /// Whatever the order of arrival of deltas and whole configurations, a node holds the models of
    /// the version that it reports, and that version never decreases.
    #[test]
    fn a_node_holds_what_was_accepted_and_never_steps_back(
        steps in prop::collection::vec((0u8..6, any::<bool>(), any::<bool>(), 0usize..4), 1..60)
    ) {
        let mut records = ConfigRecords::default();
        let mut reference: Vec<BTreeMap<u8, bool>> = vec![BTreeMap::new()];
        let mut lease = ConfigLease::default();
        let mut in_transit: Vec<SyncReply> = Vec::new();
        for (at, (name, present, reordered, position)) in steps.into_iter().enumerate() {
            let change = Change {
                base: 0,
                records: vec![model(&name.to_string(), present)],
                ..Change::default()
            };
            records.apply(change);
            let mut next = reference.last().unwrap().clone();
            next.insert(name, present);
            reference.push(next);
            in_transit.push(reply(&records, lease.version(), 1000));
            let index = if reordered { position.min(in_transit.len() - 1) } else { in_transit.len() - 1 };
            let arrived = in_transit.remove(index);
            let before = lease.version();
            lease.apply_reply(ms(at as u64), &arrived);
            prop_assert!(lease.version() >= before, "the version decreased");
            let models: Vec<String> =
                lease.config().models.keys().map(ToString::to_string).collect();
            let expected: Vec<String> = reference[lease.version() as usize]
                .iter()
                .filter(|(_, present)| **present)
                .map(|(name, _)| name.to_string())
                .collect();
            prop_assert_eq!(models, expected, "at version {}", lease.version());
        }
    }
}

#[test]
fn an_old_answer_extends_no_lease() {
    let mut records = ConfigRecords::default();
    let old = reply(&records, 0, 60_000);
    records.apply(Change { records: vec![model("m", true)], ..Change::default() });
    let mut lease = ConfigLease::default();
    lease.apply_reply(ms(0), &reply(&records, 0, 3000));
    lease.apply_reply(ms(100), &old);
    assert!(lease.is_held(ms(2999)));
    assert!(!lease.is_held(ms(3000)), "the old reply carried a longer lease");
    assert_eq!(lease.tick(ms(2000)), Some(LeaseEvent::Gained));
    assert_eq!(lease.tick(ms(3000)), Some(LeaseEvent::Lost));
}

#[test]
fn a_superseded_run_never_works_again() {
    let records = ConfigRecords::default();
    let mut lease = ConfigLease::default();
    lease.apply_reply(ms(0), &reply(&records, 0, 3000));
    lease.apply_reply(ms(10), &SyncReply { superseded: true, ..SyncReply::default() });
    lease.apply_reply(ms(20), &reply(&records, 0, 3000));
    assert!(!lease.is_held(ms(21)));
}

fn sync(node: &str, incarnation: u64, endpoints: &[&str]) -> Sync {
    let report = |name: &&str| EndpointReport {
        name: (*name).to_owned(),
        fit: true,
        ..EndpointReport::default()
    };
    Sync {
        node: node.into(),
        incarnation,
        endpoints: endpoints.iter().map(report).collect(),
        ..Sync::default()
    }
}

#[test]
fn of_two_runs_of_an_agent_the_newer_wins_while_it_is_heard() {
    let cfg = NodeRegistryConfig::default();
    let node_timeout = cfg.node_timeout;
    let mut registry = NodeRegistry::new(cfg, 1, ms(0));
    assert_eq!(registry.record_sync(ms(0), &sync("a", 5, &["e"])), RunStatus::Current);
    assert_eq!(registry.record_sync(ms(10), &sync("a", 6, &["e"])), RunStatus::Current);
    assert_eq!(registry.record_sync(ms(20), &sync("a", 5, &["e"])), RunStatus::Superseded);
    let incarnation = registry.members().next().unwrap().incarnation;
    assert_eq!(incarnation, 6);
    let later = ms(20) + node_timeout;
    assert_eq!(registry.record_sync(later, &sync("a", 5, &["e"])), RunStatus::Current);
}

#[test]
fn a_silent_agent_and_a_dropped_endpoint_are_lost_once() {
    let cfg = NodeRegistryConfig::default();
    let (node_timeout, warmup) = (cfg.node_timeout, cfg.warmup);
    let mut registry = NodeRegistry::new(cfg, 1, ms(0));
    registry.record_sync(ms(0), &sync("a", 5, &["e", "f"]));
    assert_eq!(
        registry.members_since(ms(1), 0, 0).term,
        0,
        "no members during the warm-up of a new leader"
    );
    registry.record_sync(warmup, &sync("a", 5, &["e"]));
    let all = registry.members_since(warmup, 0, 0);
    assert!(all.full);
    assert_eq!(all.members.len(), 1);
    registry.tick(warmup + node_timeout * 2);
    let delta = registry.members_since(warmup + node_timeout * 2, 1, all.version);
    assert!(!delta.full);
    assert_eq!(
        delta.members.iter().map(|m| (m.endpoint.as_str(), m.gone)).next(),
        Some(("e", true))
    );
    let events = registry.take_events();
    let lost = events.iter().filter(|e| matches!(e, EndpointEvent::Lost(_))).count();
    assert_eq!(lost, 2);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]
    /// The gate passes an order only under a lease and only if no higher number is known for the
    /// endpoint, whether from an earlier order or from a floor of the leader.
    #[test]
    fn orders_pass_the_gate_in_their_order_only(
        steps in prop::collection::vec((any::<bool>(), 1u64..30, any::<bool>()), 1..60)
    ) {
        let mut gate = FencingGate::default();
        let mut highest = 0;
        for (raise_floor, number, lease) in steps {
            if raise_floor {
                gate.raise_floor("e", number);
                highest = highest.max(number);
                continue;
            }
            let expected = match (lease, number >= highest) {
                (false, _) => FencingDecision::LeaseNotHeld,
                (true, false) => FencingDecision::Stale,
                (true, true) => FencingDecision::Accept,
            };
            prop_assert_eq!(gate.check("e", number, lease), expected);
            if expected == FencingDecision::Accept {
                highest = number;
            }
        }
    }
}
