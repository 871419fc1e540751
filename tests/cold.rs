//! Cold endpoints: the bound on what all entries together send to them, and how the cold state reaches
//! the entries.

#[path = "cold/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::time::Duration;

use bitternlead::directory::Directory;
use bitternlead::gateway::config::ColdRate;
use bitternlead::gateway::dialect::Dialect;
use bitternlead::gateway::eligibility::cold::{ColdEndpoints, ColdSettings, WINDOW};
use bitternlead::gateway::eligibility::entry_view::{
    EntryView, JOIN_TIME, Place, STALE_TIME, UNLISTED_TTL,
};
use bitternlead::platform::headers::PlatformDialect;
use bitternlead::platform::settings::PlatformSettings;
use bitternlead::wire::{Announcement, Standing};
use fleet::{Fleet, Scenario};
use http::Response;
use proptest::prelude::*;

const ENTRY_COUNTS: [usize; 4] = [6, 33, 105, 340];
const RATES: [f64; 5] = [1.0, 3.0, 10.0, 26.0, 100.0];

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn address(host: usize) -> SocketAddr {
    format!("10.0.0.{host}:7341").parse().unwrap()
}

fn announcement(seq: u64, cold_ms: u64) -> Announcement {
    Announcement {
        id: "engine-1".into(),
        service: "engines".into(),
        address: "10.0.1.1:8080".into(),
        zone: "zone-1".into(),
        standing: Standing::Ready.into(),
        born: 7,
        seq,
        cold_ms,
        ..Announcement::default()
    }
}

/// State of the only entry of a fleet, listed from the start, at a rate of 10 and a cold time of 3 s.
fn single_entry() -> ColdEndpoints {
    let mut cold = ColdEndpoints::new(ColdSettings::default());
    cold.set_rate("engines", Some(ColdRate { per_s: 10.0, duration: ms(3000) }));
    cold.view().apply_voters(ms(0), address(9), vec![address(9)]);
    cold.view().apply_list(ms(0), address(9), address(1), &[address(1)]);
    cold
}

fn check_rates(entries: usize, rates: &[f64]) {
    for per_s in rates.iter().copied() {
        let played = check(Scenario { entries, per_s, ..Scenario::default() });
        assert!(played.used >= 0.35, "{:.2} of the bound is used", played.used);
    }
}

// These guard against shares that exceed the bound or that leave most of it unused, under joins,
// restarts and lost links at once.

#[test]
fn no_second_has_more_arrivals_than_the_bound_with_6_entries() {
    check_rates(6, &RATES);
}

#[test]
fn no_second_has_more_arrivals_than_the_bound_with_33_entries() {
    check_rates(33, &RATES);
}

#[test]
fn no_second_has_more_arrivals_than_the_bound_with_105_entries() {
    check_rates(105, &RATES);
}

#[test]
fn no_second_has_more_arrivals_than_the_bound_with_340_entries_at_low_rates() {
    check_rates(340, &RATES[..3]);
}

#[test]
fn no_second_has_more_arrivals_than_the_bound_with_340_entries_at_high_rates() {
    check_rates(340, &RATES[3..]);
}

/// Guards against an entry that joins while sends, claimed before the others knew it, still connect:
/// with a wait of 1.5 s these scenarios had 11 arrivals in a second.
#[test]
fn an_entry_that_joins_waits_for_sends_that_connect_late() {
    for seed in [2_301_578_995_676_021_299, 2_301_596_555_464_194_701] {
        check_shared_half(Scenario { entries: 33, per_s: 10.0, seed, ..Scenario::default() });
    }
}

/// Guards against a reserve that is too small for what is sent before the entries know that an
/// endpoint became cold: up to 1.5 s pass, in which the usual load goes on.
#[test]
fn the_bound_holds_while_the_news_of_the_cold_state_travels() {
    for entries in [6, 33, 105] {
        for (per_s, usual_per_s) in [(3.0, 1.0), (10.0, 4.0), (26.0, 9.0), (100.0, 40.0)] {
            for seed in 0..3 {
                let usual_per_s = Some(usual_per_s);
                check(Scenario { entries, per_s, usual_per_s, seed, ..Scenario::default() });
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against orders of events that the scenario with a fixed seed doesn't have.
    #[test]
    fn the_bound_holds_for_any_order_of_joins_losses_and_restarts(
        seed in any::<u64>(),
        entries in prop::sample::select(&ENTRY_COUNTS[..2]),
        per_s in prop::sample::select(&RATES[..]),
        is_split in any::<bool>(),
        cuts_links in any::<bool>(),
    ) {
        let scenario = Scenario { entries, per_s, is_split, cuts_links, seed, ..Scenario::default() };
        // An entry whose links are cut does not see who joins until it notices that.
        if cuts_links {
            let _ = check(scenario);
        } else {
            check_shared_half(scenario);
        }
    }
}

/// Guards against shares that two halves of a divided fleet both take, and against a stop of all
/// sends when one replica is lost.
#[test]
fn the_bound_holds_with_two_views_of_the_list_and_with_a_lost_replica() {
    for entries in ENTRY_COUNTS {
        check(Scenario { entries, is_split: true, ..Scenario::default() });
        check(Scenario { entries, loses_replica: true, ..Scenario::default() });
    }
}

/// Plays a scenario and checks the arrivals at all endpoints: the bound, and that a good part of it is
/// used.
fn check(scenario: Scenario) -> Outcome {
    let played = Fleet::new(scenario.clone()).play();
    let bound = bound(&scenario);
    let most = played.most_arrivals_in_a_second();
    let used = played.mean_arrivals_per_s() / bound as f64;
    let Scenario { entries, per_s, .. } = scenario;
    eprintln!("{entries} entries, {per_s} a second: most {most} of {bound}, mean {used:.2}");
    assert!(most <= bound, "{most} arrivals in a second, the bound is {bound}: {scenario:?}");
    // In a second, entries to which nothing happens use their shares once in each window; a tenth of
    // what they claim is not sent. In a small fleet half of the entries join, restart or are cut off.
    let shared = (bound / 2) as f64 / bound as f64 / WINDOW.as_secs_f64();
    let least = 0.85 * shared * scenario.undisturbed_share();
    assert!(used >= least, "{used:.2} of the bound is used, not {least:.2}: {scenario:?}");
    Outcome { most, used }
}

/// Most arrivals at an endpoint in a second, and the mean as a fraction of the bound.
struct Outcome {
    most: usize,
    used: f64,
}

/// Checks in addition that the half of the bound that is not shared stays unused.
fn check_shared_half(scenario: Scenario) {
    let (most, half) = (check(scenario.clone()).most, bound(&scenario) / 2);
    assert!(most <= half, "{most} arrivals in a second, {half} are shared: {scenario:?}");
}

fn bound(scenario: &Scenario) -> usize {
    let rate = ColdRate { per_s: scenario.per_s, duration: scenario.cold_time };
    ColdSettings::default().bound(&rate)
}

/// Guards against an entry that sends before others know it, or after they dropped it.
#[test]
fn an_entry_has_a_share_only_while_more_than_half_of_the_replicas_list_it() {
    let (own, other) = (address(1), address(2));
    let replicas = [address(7), address(8), address(9)];
    let mut view = EntryView::default();
    for replica in replicas {
        view.apply_voters(ms(0), replica, replicas.to_vec());
    }
    view.apply_list(ms(0), replicas[0], own, &[own, other]);
    assert!(!view.is_fresh(ms(5000)), "one of three replicas");
    view.apply_list(ms(5000), replicas[1], own, &[own, other]);
    assert!(!view.is_fresh(ms(5000) + JOIN_TIME - ms(1)));
    assert!(view.is_fresh(ms(5000) + JOIN_TIME));
    view.forget(ms(8000), replicas[1]);
    assert!(view.is_fresh(ms(8000) + STALE_TIME - ms(1)), "a short loss changes nothing");
    view.apply_list(ms(8000) + STALE_TIME, replicas[1], own, &[own]);
    let back = ms(8000) + STALE_TIME;
    assert!(!view.is_fresh(back), "others may have dropped this entry");
    assert!(view.is_fresh(back + JOIN_TIME));
}

/// Guards against a share that grows while the entry that left may still send.
#[test]
fn an_entry_that_is_no_longer_listed_keeps_its_place_for_a_while() {
    let (own, replica) = (address(1), address(9));
    let mut view = EntryView::default();
    view.apply_list(ms(0), replica, own, &[own, address(2)]);
    view.apply_list(ms(1000), replica, own, &[own]);
    view.expire(ms(1000) + UNLISTED_TTL - ms(1));
    assert_eq!(view.place(b"e").entries, 2);
    view.expire(ms(1000) + UNLISTED_TTL);
    assert_eq!(view.place(b"e").entries, 1);
    view.apply_list(ms(9000), replica, own, &[own, address(2)]);
    view.forget(ms(9500), replica);
    view.expire(ms(60_000));
    assert_eq!(view.place(b"e").entries, 2, "without a replica nobody is dropped");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against shares that add up to more than the budget, or that grow with a larger view.
    #[test]
    fn shares_add_up_to_the_budget_and_never_grow_with_the_view(
        budget in 0usize..160,
        entries in 1usize..400,
        rank in 0usize..400,
        more_before in 0usize..5,
        more_after in 0usize..5,
    ) {
        let shares = (0..entries).map(|rank| Place { rank, entries }.share(budget));
        prop_assert_eq!(shares.sum::<usize>(), budget);
        let rank = rank % entries;
        let larger = Place { rank: rank + more_before, entries: entries + more_before + more_after };
        let is_larger = larger.share(budget) > Place { rank, entries }.share(budget);
        prop_assert!(!is_larger);
    }
}

/// Guards against room that is lost by requests that were not sent, and against room that is given
/// back for those that were.
#[test]
fn room_is_given_back_for_what_was_not_sent_and_kept_for_a_window_after_what_was() {
    let (mut cold, id) = (single_entry(), "engine-1".into());
    let start = ms(2000);
    cold.record_announcement(start, &announcement(1, 3000));
    assert_eq!(cold.room(start, &id), Some(10), "half of 10 * 1.5 + 5");
    let sent = cold.claim(start, &[(id.clone(), 4)]).unwrap();
    let unsent = cold.claim(start, &[(id.clone(), 6)]).unwrap();
    assert!(cold.claim(start, &[(id.clone(), 1)]).is_none());
    cold.mark_sent(start + ms(300), &sent);
    cold.mark_sent(start + ms(300), &unsent);
    cold.mark_unsent(&unsent);
    cold.release(&sent);
    cold.release(&unsent);
    assert_eq!(cold.room(start + ms(300), &id), Some(6));
    let end = start + ms(300) + WINDOW;
    assert_eq!(cold.room(end - ms(1), &id), Some(6), "counted from the send, not from the claim");
    assert_eq!(cold.room(end, &id), Some(10));
}

/// Guards against sends before the news of the cold state that are not counted.
#[test]
fn sends_to_a_warm_endpoint_count_when_it_becomes_cold() {
    let (mut cold, id) = (single_entry(), "engine-1".into());
    cold.record_announcement(ms(2000), &announcement(1, 0));
    assert_eq!(cold.room(ms(2000), &id), None);
    let claim = cold.claim(ms(2000), &[(id.clone(), 30)]).unwrap();
    cold.mark_sent(ms(2000), &claim);
    cold.record_announcement(ms(2500), &announcement(2, 3000));
    assert_eq!(cold.room(ms(2500), &id), Some(0));
    assert_eq!(cold.room(ms(2000) + WINDOW, &id), Some(10));
}

/// Guards against a cold state that is overwritten by an older announcement or an earlier start, and
/// against a step of the load when it ends.
#[test]
fn the_newest_statement_applies_and_the_load_grows_after_it() {
    let (mut cold, id) = (single_entry(), "engine-1".into());
    cold.record_announcement(ms(2000), &announcement(5, 3000));
    cold.record_announcement(ms(2100), &announcement(4, 0));
    let earlier_start = Announcement { born: 6, ..announcement(9, 0) };
    cold.record_announcement(ms(2100), &earlier_start);
    assert_eq!(cold.room(ms(2100), &id), Some(10));
    assert_eq!(cold.room(ms(4999), &id), Some(10));
    assert_eq!(cold.room(ms(5500), &id), Some(20));
    assert!(cold.room(ms(5900), &id) >= Some(99));
    assert_eq!(cold.room(ms(6000), &id), None);
    let (half, none) = (cold.load_share(ms(5500), &id, 40.0), cold.load_share(ms(6000), &id, 40.0));
    assert!((0.4..0.5).contains(&half) && none == 1.0, "{half} {none}");
    cold.record_answer(ms(7000), &id, ms(500));
    assert_eq!(cold.room(ms(7000), &id), Some(10), "an answer to a health check");
    cold.record_announcement(ms(7100), &announcement(6, 0));
    assert_eq!(cold.room(ms(7100), &id), Some(10), "the load grows from here");
    assert_eq!(cold.room(ms(8100), &id), None);
}

/// Guards against the usual load on endpoints of a zone whose drain has just ended, and on an endpoint
/// that crashed and is back before its first announcement.
#[test]
fn endpoints_count_as_cold_after_a_drain_and_after_a_crash_until_they_say_otherwise() {
    let (mut cold, id) = (single_entry(), "engine-1".into());
    cold.record_announcement(ms(2000), &announcement(1, 0));
    cold.record_drain_end("zone-2", ms(3000));
    assert_eq!(cold.room(ms(3000), &id), None, "another zone");
    cold.record_drain_end("zone-1", ms(3000));
    assert_eq!(cold.room(ms(3000), &id), Some(10));
    cold.record_announcement(ms(3100), &announcement(2, 0));
    assert_eq!(cold.room(ms(3200), &id), Some(10), "it may have been sent before the end");
    cold.record_announcement(ms(3400), &announcement(3, 0));
    assert_eq!(cold.room(ms(3400), &id), None);
    cold.record_crash(ms(9000), &id);
    assert_eq!(cold.room(ms(11_900), &id), Some(10));
    assert_eq!(cold.room(ms(13_000), &id), None, "the cold time of the service is over");
}

/// Guards against documents, settings and answers that are read in another way than they are written.
#[test]
fn rates_bounds_and_cold_times_are_decoded_and_missing_or_zero_means_none() {
    let decode = |service: serde_json::Value| {
        let document = serde_json::json!({ "Version": 1, "Routes": [], "Backends": [service] });
        let config = bitternlead::platform::document::decode(document.to_string().as_bytes());
        config.unwrap().services["engines"].cold
    };
    let rate = decode(serde_json::json!({ "Name": "engines", "ColdS": 2.5, "ColdPerS": 26 }));
    assert_eq!(rate, Some(ColdRate { per_s: 26.0, duration: ms(2500) }));
    for (time, per_s) in [(0.0, 26.0), (3.0, 0.0), (-1.0, 26.0), (3.0, -1.0)] {
        let service = serde_json::json!({ "Name": "engines", "ColdS": time, "ColdPerS": per_s });
        assert_eq!(decode(service), None, "{time} {per_s}");
    }
    assert_eq!(decode(serde_json::json!({ "Name": "engines" })), None);
    let settings = |bounds: serde_json::Value| {
        let value = serde_json::json!({
            "NodeName": "n", "Zone": "z", "Ip": "10.0.0.1", "Seeds": [],
            "PortRange": [7340, 7355], "Bounds": bounds,
        });
        PlatformSettings::decode("settings.json", &value).unwrap().cold
    };
    assert_eq!(settings(serde_json::json!({})), ColdSettings { overage: 1.5, slack: 5.0 });
    let other = settings(serde_json::json!({ "ColdOverage": 2, "ColdSlack": 0 }));
    assert_eq!(other, ColdSettings { overage: 2.0, slack: 0.0 });
    let answer = |value: Option<&str>| {
        let answer = value.into_iter().fold(Response::builder(), |a, v| a.header("Cold-Ms", v));
        PlatformDialect.decode_response(&answer.body(()).unwrap().into_parts().0).cold_time
    };
    assert_eq!(answer(Some("1500")), Some(ms(1500)));
    assert_eq!(answer(Some("0")), Some(ms(0)));
    assert_eq!((answer(None), answer(Some("soon")), answer(Some("-1"))), (None, None, None));
}

/// Guards against changes for services without a rate.
#[test]
fn endpoints_of_a_service_without_a_rate_have_no_bound() {
    let (mut cold, id) = (ColdEndpoints::new(ColdSettings::default()), "engine-1".into());
    cold.record_announcement(ms(2000), &announcement(1, 3000));
    cold.record_drain_end("zone-1", ms(2000));
    cold.record_crash(ms(2000), &id);
    for _ in 0..1000 {
        assert!(cold.claim(ms(2000), &[(id.clone(), 1)]).is_some());
    }
    assert_eq!((cold.room(ms(2000), &id), cold.cold_count(ms(2000))), (None, 0));
    assert_eq!(cold.load_share(ms(2000), &id, 10.0), 1.0);
}

/// Guards against an update to all entries for each announcement of a cold endpoint, and against a
/// change of the state that is not published.
#[test]
fn the_directory_publishes_changes_of_the_cold_state_and_no_countdown() {
    let mut directory = Directory::new(ms(4000));
    let mut record = |at: u64, seq: u64, cold_ms: u64| {
        let changed = directory.record(ms(at), announcement(seq, cold_ms));
        changed.changed().map(|a| a.cold_ms)
    };
    assert_eq!(record(0, 1, 0), Some(0));
    assert_eq!(record(1000, 2, 3000), Some(3000), "it became cold");
    assert_eq!(record(2200, 3, 1800), None, "a countdown");
    assert_eq!(record(2300, 2, 0), None, "an older announcement");
    assert_eq!(record(3400, 4, 550), None, "a countdown that travelled a little faster");
    assert_eq!(record(4600, 5, 0), None, "the known end");
    assert_eq!(record(5800, 6, 2000), Some(2000), "cold again without a start");
    assert_eq!(record(6200, 7, 5000), Some(5000), "cold for longer");
    assert_eq!(record(6400, 8, 0), Some(0), "warm before the stated end");
    assert_eq!(record(7000, 9, 2000), Some(2000));
    assert_eq!(directory.announcements(ms(7500))[0].cold_ms, 1500, "the rest for a new subscriber");
    assert_eq!(directory.announcements(ms(9500))[0].cold_ms, 0);
}

/// Guards against countdowns whose small differences add up without an update.
#[test]
fn the_directory_compares_with_the_cold_time_that_it_published() {
    let mut directory = Directory::new(ms(4000));
    assert!(directory.record(ms(0), announcement(1, 3000)).changed().is_some());
    assert!(directory.record(ms(1000), announcement(2, 2200)).changed().is_none());
    assert!(directory.record(ms(2000), announcement(3, 1400)).changed().is_some(), "400 ms longer");
}
