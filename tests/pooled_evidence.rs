//! Evidence on endpoints that entries share, driven by hand.

use std::sync::Arc;
use std::time::Duration;

use bitternlead::directory::EndpointId;
use bitternlead::gateway::eligibility::endpoints::Endpoint;
use bitternlead::gateway::eligibility::health::Health;
use bitternlead::gateway::eligibility::pooled_evidence::{
    EvidenceRule, MAX_REPORTED, PooledEvidence,
};
use bitternlead::gateway::eligibility::regions::RegionSet;
use bitternlead::gateway::eligibility::{Eligibility, EligibilityRule, SendContext};
use bitternlead::gateway::load::in_flight::LoadChanges;
use bitternlead::gateway::load::load_exchange::LoadPeers;
use bitternlead::wire::{EndpointEvidence, Flight, SharedLoad};
use parking_lot::Mutex;
use prost::Message;

const OWN: (f64, f64) = (0.0, 1.0);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn id(n: usize) -> EndpointId {
    format!("i-3f7a91c2d0-{n:03}").into()
}

fn pooled(now: Duration, endpoints: usize) -> PooledEvidence {
    let mut pooled = PooledEvidence::default();
    let ids: Vec<EndpointId> = (0..endpoints).map(id).collect();
    pooled.set_starts(now, ids.iter().map(|id| (id, 1)));
    pooled
}

/// The worst that an entry can say of an endpoint.
fn worst(n: usize) -> EndpointEvidence {
    EndpointEvidence {
        endpoint: id(n).to_string(),
        age_ms: 0,
        failures: u32::MAX,
        sends: u32::MAX,
        slowness_percent: u32::MAX,
        refused_for_ms: u32::MAX,
    }
}

fn failed(n: usize, failures: u32, sends: u32) -> EndpointEvidence {
    EndpointEvidence { endpoint: id(n).to_string(), failures, sends, ..Default::default() }
}

/// Guards against an entry that takes an endpoint from all others, by a fault of its own such as a
/// broken link.
#[test]
fn false_evidence_of_one_entry_condemns_nothing() {
    let mut pooled = pooled(ms(0), 40);
    for report in 0..100 {
        let all: Vec<EndpointEvidence> = (0..40).map(worst).collect();
        pooled.apply_report(ms(100 + report * 400), "liar", &all);
        let now = ms(150 + report * 400);
        for n in 0..40 {
            assert_eq!(pooled.merge(now, &id(n), OWN, false), OWN);
            assert_eq!(pooled.avoided_until(now, &id(n), false, ms(0)), None);
        }
    }
    pooled.apply_report(ms(40_000), "honest", &[failed(0, 1, 10)]);
    let (rate, slowness) = pooled.merge(ms(40_000), &id(0), OWN, false);
    assert!(rate < 0.1 && slowness == 1.0, "{rate} {slowness}: the liar adds nothing to it");
}

/// Guards against evidence that has no effect: with many entries each sees a single failure.
#[test]
fn single_failures_of_several_entries_add_up() {
    let mut pooled = pooled(ms(0), 2);
    let mut rates = vec![];
    for entry in 0..10 {
        pooled.apply_report(ms(1000), &format!("entry-{entry}"), &[failed(0, 1, 1)]);
        rates.push(pooled.merge(ms(1000), &id(0), OWN, false).0);
    }
    assert_eq!(rates[0], 0.0);
    assert!(rates.windows(2).all(|pair| pair[0] < pair[1]), "{rates:?}");
    assert!(rates[9] > 0.6, "{rates:?}");
    let with_own = pooled.merge(ms(1000), &id(0), (0.25, 1.0), true).0;
    assert!(with_own > rates[9], "the last one counts too");
    assert_eq!(pooled.merge(ms(1000), &id(0), (0.9, 3.0), false), (0.9, 3.0), "never better");
    assert_eq!(pooled.merge(ms(1000), &id(1), OWN, false), OWN, "another endpoint");
}

#[test]
fn endpoints_that_two_entries_see_refuse_are_avoided_for_a_time() {
    let health = Arc::new(Mutex::new(Health::default()));
    let shared = Arc::new(Mutex::new(pooled(ms(0), 1)));
    let rule = EvidenceRule { health: Arc::clone(&health), pooled: Arc::clone(&shared) };
    let endpoint = Endpoint {
        id: id(0),
        addr: "127.0.0.1:8080".parse().unwrap(),
        zone: "zone-1".into(),
        slots: 4,
    };
    let check = |now| {
        rule.check(
            &SendContext { now, entries: 3, allowed_regions: RegionSet::default() },
            &endpoint,
        )
    };
    let refusing = EndpointEvidence { refused_for_ms: 800, ..failed(0, 1, 1) };
    shared.lock().apply_report(ms(1000), "entry-1", std::slice::from_ref(&refusing));
    assert_eq!(check(ms(1000)), Eligibility::Allowed);
    health.lock().record_failure(ms(1100), &id(0));
    assert_eq!(check(ms(1200)), Eligibility::Until(ms(1800)), "this entry saw a failure too");
    assert_eq!(check(ms(1800)), Eligibility::Allowed);
    health.lock().record_success(ms(9990), &id(0), None);
    let long = EndpointEvidence { refused_for_ms: 60_000, ..refusing };
    let mut avoided = vec![];
    for entry in ["entry-1", "entry-2", "entry-3"] {
        let newly = shared.lock().apply_report(ms(10_000), entry, std::slice::from_ref(&long));
        avoided.push(newly);
    }
    let once = [vec![], vec![(id(0), ms(5000))], vec![]];
    assert_eq!(avoided, once, "logged once, when the second entry reports it");
    assert_eq!(check(ms(10_000)), Eligibility::Until(ms(15_000)), "bounded");
    health.lock().record_success(ms(11_000), &id(0), None);
    assert_eq!(check(ms(11_000)), Eligibility::Allowed, "this entry saw a later success");
    let newer = EndpointEvidence { refused_for_ms: 3000, ..long };
    for entry in ["entry-1", "entry-2"] {
        shared.lock().apply_report(ms(12_000), entry, std::slice::from_ref(&newer));
    }
    // The evidence of the third entry is older than the success.
    assert_eq!(check(ms(12_000)), Eligibility::Until(ms(15_000)));
    assert_eq!(check(ms(15_000)), Eligibility::Allowed);
}

/// Guards against entries that are cut off from a zone and take its endpoints from all others: only a
/// refused connection shows that nothing listens.
#[test]
fn connections_that_fail_on_the_way_are_no_evidence() {
    let (mut health, mut own) = (Health::default(), PooledEvidence::default());
    for n in 0..15 {
        health.record_unreachable(ms(5000), &id(n));
        assert!(!health.is_available(ms(5100), &id(n)), "it counts for this entry");
    }
    assert!(own.report(ms(5100), &health).is_empty());
    health.record_refused(ms(5200), &id(3));
    let report = own.report(ms(5300), &health);
    assert_eq!((report.len(), report[0].failures, report[0].refused_for_ms), (1, 1, 700));
}

/// Guards against evidence that outlives what it was seen on.
#[test]
fn evidence_decays_and_ends() {
    let mut pooled = pooled(ms(0), 1);
    for entry in 0..5 {
        let slow = EndpointEvidence { slowness_percent: 300, ..failed(0, 2, 3) };
        pooled.apply_report(ms(1000), &format!("entry-{entry}"), &[slow]);
    }
    let (rate, slowness) = pooled.merge(ms(1000), &id(0), OWN, false);
    assert!(rate > 0.4 && slowness == 4.0, "{rate} {slowness}");
    let (later_rate, later_slowness) = pooled.merge(ms(6000), &id(0), OWN, false);
    assert!(later_rate < rate && (2.0..2.2).contains(&later_slowness), "{later_slowness}");
    let (last_rate, last_slowness) = pooled.merge(ms(20_900), &id(0), OWN, false);
    assert!(last_rate < 0.05 && last_slowness < 1.1, "{last_rate} {last_slowness}");
    pooled.expire(ms(21_100));
    assert_eq!(pooled.merge(ms(21_100), &id(0), OWN, false), OWN);
}

#[test]
fn evidence_on_an_earlier_start_or_an_unlisted_endpoint_is_dropped() {
    let mut pooled = pooled(ms(0), 1);
    let bad = EndpointEvidence { refused_for_ms: 3000, ..failed(0, 3, 3) };
    let report = |pooled: &mut PooledEvidence, now, age_ms| {
        let aged = EndpointEvidence { age_ms, ..bad.clone() };
        for entry in ["entry-1", "entry-2"] {
            pooled.apply_report(now, entry, std::slice::from_ref(&aged));
        }
        pooled.avoided_until(now, &id(0), false, ms(0)).is_some()
    };
    assert!(report(&mut pooled, ms(1000), 100));
    pooled.set_starts(ms(1100), [(&id(0), 1)]);
    assert!(pooled.avoided_until(ms(1100), &id(0), false, ms(0)).is_some(), "the same start");
    pooled.set_starts(ms(1200), [(&id(0), 2)]);
    assert_eq!(pooled.avoided_until(ms(1200), &id(0), false, ms(0)), None, "a later start");
    assert!(!report(&mut pooled, ms(1300), 200), "observed before that start was known");
    assert!(report(&mut pooled, ms(1400), 100), "observed after it");
    pooled.set_starts(ms(1500), []);
    assert!(!report(&mut pooled, ms(1600), 10), "the endpoint has left");
    assert_eq!(pooled.merge(ms(1600), &id(0), OWN, false), OWN);
}

#[test]
fn a_report_that_arrives_late_does_not_replace_a_newer_one() {
    let mut pooled = pooled(ms(0), 1);
    for entry in ["entry-1", "entry-2"] {
        pooled.apply_report(ms(2000), entry, &[failed(0, 4, 4)]);
    }
    let before = pooled.merge(ms(2100), &id(0), OWN, false);
    let old = EndpointEvidence { age_ms: 900, ..failed(0, 1, 9) };
    pooled.apply_report(ms(2100), "entry-1", &[old]);
    assert_eq!(pooled.merge(ms(2100), &id(0), OWN, false), before);
}

/// Guards against reports whose size grows with the number of endpoints, or that are part of each of
/// the many datagrams of a second.
#[test]
fn reports_are_bounded_and_hold_only_what_is_new_and_bad() {
    let (mut health, mut own) = (Health::default(), PooledEvidence::default());
    for n in 0..100 {
        health.record_failure(ms(5000 + n), &id(n as usize));
        health.record_success(ms(5000 + n), &id(100 + n as usize), Some(1.1));
    }
    health.record_named_time(ms(5200), &id(200), ms(3000));
    health.record_refused(ms(5201), &id(201));
    health.record_unreachable(ms(5203), &id(203));
    for _ in 0..9 {
        health.record_success(ms(5202), &id(202), Some(4.0));
    }
    let report = own.report(ms(5300), &health);
    assert_eq!(report.len(), MAX_REPORTED);
    let names: Vec<&str> = report.iter().map(|e| e.endpoint.as_str()).collect();
    assert_eq!(
        &names[..4],
        [id(202).as_str(), id(201).as_str(), id(200).as_str(), id(99).as_str()]
    );
    assert!(report[0].slowness_percent > 200 && report[0].age_ms == 98);
    assert_eq!((report[1].failures, report[1].refused_for_ms), (1, 301));
    assert_eq!((report[2].failures, report[2].refused_for_ms), (0, 2900));
    let load = SharedLoad { evidence: report, ..SharedLoad::default() };
    assert!(load.encoded_len() < 2000, "{} bytes", load.encoded_len());
    assert!(own.report(ms(5400), &health).is_empty(), "shortly before");
    assert!(!own.report(ms(5700), &health).is_empty(), "once more, in case one is lost");
    assert!(own.report(ms(6300), &health).is_empty(), "nothing new");
}

#[test]
fn only_the_first_datagram_of_a_report_carries_evidence() {
    let peers = LoadPeers::default();
    let own = "10.0.0.1:7341".parse().unwrap();
    peers.replace(own, &["10.0.0.2:7341".to_owned()], own);
    let template = SharedLoad { evidence: vec![failed(0, 1, 1)], ..SharedLoad::default() };
    let all = || vec![Flight::default(); 500];
    let mut evidence: Vec<usize> = Vec::new();
    peers.send_loads(&template, LoadChanges::default(), all, |_, data| {
        evidence.push(SharedLoad::decode(data).unwrap().evidence.len());
        true
    });
    assert_eq!(evidence, [1, 0, 0]);
}
