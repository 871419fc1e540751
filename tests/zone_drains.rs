//! Drains of availability zones: the state of an entry, the configuration records, snapshots and what a
//! replica publishes, without processes.

use std::sync::Arc;
use std::time::Duration;

use bitternlead::config::FleetConfig;
use bitternlead::control::config_records::ConfigRecords;
use bitternlead::control::state::ControlState;
use bitternlead::control::zone_drains::{build_change, is_zone_drain, read, recorded_zones};
use bitternlead::gateway::eligibility::endpoints::Endpoint;
use bitternlead::gateway::eligibility::zone_drains::{ZoneDrainChange, ZoneDrains};
use bitternlead::gateway::eligibility::{Eligibility, EligibilityRule, SendContext};
use bitternlead::wire::{self, Change, Command, ConfigRecord, Entry, command};
use parking_lot::Mutex;

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn report(revision: u64, zones: &[&str]) -> wire::ZoneDrains {
    wire::ZoneDrains { revision, zones: zones.iter().map(|z| (*z).to_owned()).collect() }
}

fn endpoint(zone: &str) -> Endpoint {
    Endpoint { id: "e".into(), addr: "127.0.0.1:1".parse().unwrap(), zone: zone.into(), slots: 1 }
}

fn entry(index: u64, change: Change) -> Entry {
    let kind = Some(command::Kind::Change(change));
    Entry { index, term: 1, command: Some(Command { kind, ..Command::default() }) }
}

/// Guards against an entry that goes back to older drains after it has heard newer ones, for
/// instance from a replica that lags.
#[test]
fn the_highest_revision_is_in_force_in_any_order() {
    let reports = [report(3, &["a"]), report(5, &["a", "b"]), report(6, &["b"]), report(4, &[])];
    for first in 0..4 {
        for second in 0..4 {
            let mut drains = ZoneDrains::default();
            for at_index in [first, second, 0, 1, 2, 3, first, second] {
                drains.apply(at(1), &reports[at_index]);
            }
            assert_eq!(drains.revision(), 6);
            assert!(drains.is_drained("b") && !drains.is_drained("a"));
            assert_eq!(drains.len(), 1);
        }
    }
}

/// Guards against state changed by a report that is damaged or repeated.
#[test]
fn repeated_old_and_damaged_reports_change_nothing() {
    let mut drains = ZoneDrains::default();
    let started = |zone: &str| ZoneDrainChange::Started(zone.into());
    assert_eq!(drains.apply(at(1), &report(2, &["a"])), [started("a")]);
    assert!(drains.apply(at(2), &report(2, &["a"])).is_empty());
    assert!(drains.apply(at(2), &report(2, &[])).is_empty(), "same revision, other zones");
    assert!(drains.apply(at(2), &report(0, &["z"])).is_empty(), "no revision");
    assert!(drains.apply(at(2), &report(1, &[])).is_empty(), "older");
    assert!(drains.is_drained("a") && !drains.is_drained("z"));
    assert_eq!(drains.apply(at(3), &report(3, &["a", "a", "", "b"])), [started("b")]);
    assert_eq!(drains.len(), 2);
}

/// Guards against an end that cold endpoints do not learn of, or that outlives the next drain.
#[test]
fn the_end_of_the_last_drain_is_known_until_the_next_one() {
    let mut drains = ZoneDrains::default();
    drains.apply(at(1), &report(1, &["a", "b"]));
    assert_eq!(drains.ended_at("a"), None, "drained");
    assert_eq!(drains.apply(at(5), &report(2, &["b"])), [ZoneDrainChange::Ended("a".into())]);
    assert_eq!(drains.ended_at("a"), Some(at(5)));
    assert_eq!(drains.ended_at("b"), None);
    drains.apply(at(7), &report(3, &[]));
    assert_eq!((drains.ended_at("a"), drains.ended_at("b")), (Some(at(5)), Some(at(7))));
    drains.apply(at(8), &report(4, &["a"]));
    assert_eq!(drains.ended_at("a"), None, "drained again");
    drains.apply(at(9), &report(5, &[]));
    assert_eq!(drains.ended_at("a"), Some(at(9)));
    assert_eq!(drains.ended_at("never"), None);
}

/// Guards against a rule that looks at anything but the zone that the endpoint announces.
#[test]
fn the_rule_follows_the_announced_zone() {
    let drains = Arc::new(Mutex::new(ZoneDrains::default()));
    let cx = SendContext { now: at(1), entries: 1, ..SendContext::default() };
    assert_eq!(drains.check(&cx, &endpoint("a")), Eligibility::Allowed);
    drains.lock().apply(at(1), &report(1, &["a"]));
    assert_eq!(drains.check(&cx, &endpoint("a")), Eligibility::Never);
    assert_eq!(drains.check(&cx, &endpoint("b")), Eligibility::Allowed);
    assert_eq!(drains.check(&cx, &endpoint("")), Eligibility::Allowed);
    assert!(drains.covers_probes());
}

/// Guards against records that are lost with a snapshot, and against repeats with an effect.
#[test]
fn drains_survive_snapshots_and_repeats() {
    let mut state = ControlState::default();
    state.apply(entry(1, build_change("a", true)));
    state.apply(entry(2, build_change("b", true)));
    state.apply(entry(3, build_change("a", true)));
    assert_eq!(read(&state.config).zones, ["a", "b"]);
    state.apply(entry(4, build_change("a", false)));
    state.apply(entry(5, build_change("a", false)));
    let restored = ControlState::decode(&state.encode()).unwrap();
    assert_eq!(restored, state);
    assert_eq!(read(&restored.config), report(5, &["b"]));
    assert_eq!(recorded_zones(&restored.config), ["a", "b"], "a repeated end is not refused");
}

/// Guards against drains of hosts that count as drains of zones, and the reverse.
#[test]
fn drains_of_hosts_and_of_zones_are_told_apart() {
    let mut records = ConfigRecords::default();
    let host = ConfigRecord { key: "drain/zonea".into(), version: 0, value: Some("true".into()) };
    let change = Change { base: 0, records: vec![host], author: String::new() };
    let command =
        |change| Command { kind: Some(command::Kind::Change(change)), ..Command::default() };
    assert!(!is_zone_drain(&command(change.clone())));
    assert!(is_zone_drain(&command(build_change("a", false))));
    records.apply(change);
    records.apply(build_change("a", true));
    assert_eq!(read(&records).zones, ["a"]);
    let mut fleet = FleetConfig::default();
    let delta = records.changes_since(0);
    assert!(fleet.apply(delta.version, true, &delta.records).is_empty());
    assert!(fleet.draining.contains("zonea") && fleet.draining.len() == 1);
    assert!(fleet.drained_zones.contains("a") && fleet.drained_zones.len() == 1);
    let server = bitternlead::config::Server {
        name: "s".into(),
        zone: "a".into(),
        ..bitternlead::config::Server::default()
    };
    fleet.servers.insert("s".into(), server);
    assert!(fleet.is_leaving("s"));
    let before = records.version();
    records.apply(build_change("a", false));
    let delta = records.changes_since(before);
    fleet.apply(delta.version, delta.full, &delta.records);
    assert!(!fleet.is_leaving("s"));
}
