//! Leases on the configuration, the registry of nodes, and the gate for orders.

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
    let news = records.changes_since(base);
    SyncReply {
        lease_ms,
        config_version: news.version,
        config_full: news.full,
        changes: ConfigChanges { records: news.records }.encode_to_vec().into(),
        ..SyncReply::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(16),
        ..ProptestConfig::default()
    })]
    /// Deltas and whole configurations, late and crossed, lead to what a plain map holds.
    #[test]
    fn a_node_holds_what_was_accepted_and_never_steps_back(
        steps in prop::collection::vec((0u8..6, any::<bool>(), any::<bool>(), 0usize..4), 1..60)
    ) {
        let mut records = ConfigRecords::default();
        let mut naive: Vec<BTreeMap<u8, bool>> = vec![BTreeMap::new()];
        let mut lease = ConfigLease::default();
        let mut on_their_way: Vec<SyncReply> = Vec::new();
        for (at, (name, present, crossed, late)) in steps.into_iter().enumerate() {
            let change = Change {
                base: 0,
                records: vec![model(&name.to_string(), present)],
                ..Change::default()
            };
            records.apply(change);
            let mut next = naive.last().unwrap().clone();
            next.insert(name, present);
            naive.push(next);
            on_their_way.push(reply(&records, lease.version(), 1000));
            let pick = if crossed { late.min(on_their_way.len() - 1) } else { on_their_way.len() - 1 };
            let arrived = on_their_way.remove(pick);
            let before = lease.version();
            lease.apply_reply(ms(at as u64), &arrived);
            prop_assert!(lease.version() >= before, "stepped back");
            let held: Vec<String> =
                lease.config().models.keys().map(ToString::to_string).collect();
            let wanted: Vec<String> = naive[lease.version() as usize]
                .iter()
                .filter(|(_, present)| **present)
                .map(|(name, _)| name.to_string())
                .collect();
            prop_assert_eq!(held, wanted, "at version {}", lease.version());
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
    assert!(!lease.is_held(ms(3000)), "the old answer came with a longer lease");
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
    assert_eq!(registry.members_since(ms(1), 0, 0).term, 0, "a new leader listens first");
    registry.record_sync(warmup, &sync("a", 5, &["e"]));
    let all = registry.members_since(warmup, 0, 0);
    assert!(all.full);
    assert_eq!(all.members.len(), 1);
    registry.tick(warmup + node_timeout * 2);
    let news = registry.members_since(warmup + node_timeout * 2, 1, all.version);
    assert!(!news.full);
    assert_eq!(
        news.members.iter().map(|m| (m.endpoint.as_str(), m.gone)).next(),
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
    #[test]
    fn orders_pass_the_gate_in_their_order_only(
        steps in prop::collection::vec((any::<bool>(), 1u64..30, any::<bool>()), 1..60)
    ) {
        let mut gate = FencingGate::default();
        let mut highest = 0;
        for (raise, number, lease) in steps {
            if raise {
                gate.raise_floor("e", number);
                highest = highest.max(number);
                continue;
            }
            let wanted = match (lease, number >= highest) {
                (false, _) => FencingDecision::LeaseNotHeld,
                (true, false) => FencingDecision::Stale,
                (true, true) => FencingDecision::Accept,
            };
            prop_assert_eq!(gate.check("e", number, lease), wanted);
            if wanted == FencingDecision::Accept {
                highest = number;
            }
        }
    }
}
