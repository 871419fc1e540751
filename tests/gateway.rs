//! Decisions of the gateway that need no engine: announcements, routes, budget, events, health.

use std::collections::HashMap;
use std::time::Duration;

use bitternlead::directory::Directory;
use bitternlead::gateway::budget::{BudgetConfig, RetryBudget};
use bitternlead::gateway::events::EventSplitter;
use bitternlead::gateway::health::Health;
use bitternlead::gateway::in_flight::{InFlightSend, InFlightSends};
use bitternlead::gateway::state::Endpoints;
use bitternlead::wire::{Announcement, SharedLoad, Standing};
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn said(id: &str, address: &str, born: u64, seq: u64, standing: Standing) -> Announcement {
    Announcement {
        id: id.into(),
        service: "s".into(),
        address: address.into(),
        zone: "z".into(),
        slots: 16,
        standing: standing.into(),
        born,
        seq,
    }
}

const ADDRESS: &str = "127.0.0.1:1000";

#[test]
fn late_announcements_change_nothing() {
    let mut directory = Directory::new(ms(1000));
    assert!(directory.record(ms(0), said("a", ADDRESS, 5, 3, Standing::Draining)).is_some());
    assert!(directory.record(ms(1), said("a", ADDRESS, 5, 2, Standing::Ready)).is_none());
    assert_eq!(directory.announcements()[0].standing(), Standing::Draining);
}

#[test]
fn the_end_of_a_start_cannot_be_taken_back_but_a_later_start_counts() {
    let mut directory = Directory::new(ms(1000));
    directory.record(ms(0), said("a", ADDRESS, 5, 3, Standing::Ready));
    assert!(directory.mark_gone("a", None).is_some());
    assert!(directory.record(ms(1), said("a", ADDRESS, 5, 9, Standing::Ready)).is_none());
    assert!(directory.record(ms(2), said("a", ADDRESS, 6, 1, Standing::Ready)).is_some());
    assert!(directory.mark_gone("a", Some(5)).is_none(), "a relayed end of the earlier start");
    assert_eq!(directory.announcements()[0].standing(), Standing::Ready);
}

#[test]
fn an_address_belongs_to_the_latest_start() {
    let mut directory = Directory::new(ms(1000));
    directory.record(ms(0), said("old", ADDRESS, 5, 3, Standing::Ready));
    let changed = directory.record(ms(1), said("new", ADDRESS, 8, 1, Standing::Ready)).unwrap();
    assert!(changed.iter().any(|s| s.id == "old" && s.standing() == Standing::Gone));
    assert!(directory.record(ms(2), said("old", ADDRESS, 5, 4, Standing::Ready)).is_none());
}

#[test]
fn an_endpoint_is_silent_only_if_every_replica_says_so() {
    let mut endpoints = Endpoints::default();
    endpoints.hear("c1", vec![said("a", ADDRESS, 1, 4, Standing::Silent)], true);
    endpoints.hear("c2", vec![said("a", ADDRESS, 1, 3, Standing::Ready)], true);
    assert!(endpoints.is_ready("a"));
    endpoints.hear("c2", vec![said("a", ADDRESS, 1, 4, Standing::Silent)], false);
    assert!(!endpoints.is_ready("a"));
    endpoints.hear("c1", vec![said("a", ADDRESS, 1, 5, Standing::Ready)], false);
    assert!(endpoints.is_ready("a"));
    endpoints.hear("c2", vec![said("a", ADDRESS, 1, 5, Standing::Gone)], false);
    assert!(!endpoints.is_ready("a"), "its own word goes before");
}

#[test]
fn what_a_lost_replica_told_holds_while_no_other_is_heard() {
    let mut endpoints = Endpoints::default();
    endpoints.hear("c1", vec![said("a", ADDRESS, 1, 4, Standing::Ready)], true);
    endpoints.lose(ms(0), "c1");
    endpoints.sweep(ms(60_000));
    assert!(endpoints.is_ready("a"));
    endpoints.hear("c2", vec![], true);
    endpoints.sweep(ms(61_000));
    assert!(!endpoints.is_ready("a"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(16),
        ..ProptestConfig::default()
    })]

    /// Uneven entries, each with its share, stay within the shared bound in any window.
    #[test]
    fn repeated_sends_of_all_entries_stay_within_the_shared_budget(
        steps in prop::collection::vec((0usize..7, 0u64..40, any::<bool>()), 200..1500)
    ) {
        let cfg = BudgetConfig { ratio: 0.2, slack: 106.0, window: ms(10_000) };
        let mut budgets: Vec<RetryBudget> =
            (0..7).map(|_| RetryBudget::new(cfg.clone())).collect();
        let mut now = 0;
        let (mut requests, mut repeats): (Vec<u64>, Vec<u64>) = Default::default();
        for (entry, pause, retries) in steps {
            now += pause;
            budgets[entry].request(ms(now), "s", 7);
            requests.push(now);
            while retries && budgets[entry].take(ms(now), "s", 7) {
                repeats.push(now);
            }
        }
        for at in &repeats {
            let within = |t: &&u64| **t >= *at && **t < at + 10_000;
            let (made, asked) =
                (repeats.iter().filter(within).count(), requests.iter().filter(within).count());
            prop_assert!(made as f64 <= 0.2 * asked as f64 + 106.0, "{made} for {asked}");
        }
    }

    /// However a stream is cut into pieces, its whole events come out unchanged.
    #[test]
    fn events_come_out_whole_however_the_bytes_arrive(
        ids in prop::collection::vec(0u64..1000, 1..20),
        cuts in prop::collection::vec(1usize..9, 1..60),
        returns in any::<bool>(),
    ) {
        let end = if returns { "\r\n" } else { "\n" };
        let text: String =
            ids.iter().map(|id| format!("id: {id}{end}data: x{id}{end}{end}")).collect();
        let mut splitter = EventSplitter::default();
        let (mut rest, mut seen, mut bytes) = (text.as_bytes(), Vec::new(), Vec::new());
        for cut in cuts.iter().cycle() {
            let (piece, later) = rest.split_at((*cut).min(rest.len()));
            splitter.push(piece);
            for event in splitter.by_ref() {
                bytes.extend_from_slice(&event.data);
                seen.push(event.id.unwrap());
            }
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(seen, ids);
        prop_assert_eq!(bytes, text.as_bytes());
        prop_assert!(!splitter.has_rest());
    }
}

#[test]
fn shared_load_is_replaced_whole_and_forgotten_when_its_entry_is_silent() {
    let mut in_flight = InFlightSends::default();
    let own = InFlightSend { endpoint: "a".into(), prompt_tokens: 10, ..InFlightSend::default() };
    in_flight.insert(own);
    let shared = in_flight.encode_local(ms(5));
    let mut other = InFlightSends::default();
    let load = |seq, flights| SharedLoad { node: "n".into(), incarnation: 1, seq, flights };
    other.apply_report(ms(10), load(2, shared.clone()));
    assert_eq!(other.all().count(), 1);
    other.apply_report(ms(11), load(1, vec![]));
    assert_eq!(other.all().count(), 1, "an older message came late");
    other.apply_report(ms(12), load(3, vec![]));
    assert_eq!(other.all().count(), 0);
    other.apply_report(ms(13), load(4, shared));
    other.expire(ms(2100));
    assert_eq!((other.all().count(), other.entry_count()), (0, 1));
}

#[test]
fn an_unreachable_endpoint_is_tried_again_after_growing_pauses() {
    let mut health = Health::default();
    let id = "a".into();
    let mut pauses: HashMap<u32, u64> = HashMap::new();
    let mut now = 0;
    for time in 0..6 {
        health.unreachable(ms(now), &id);
        let pause = (0..).step_by(50).find(|p| health.allows(ms(now + p), &id)).unwrap();
        pauses.insert(time, pause);
        now += pause;
    }
    assert_eq!((pauses[&0], pauses[&1], pauses[&5]), (400, 800, 3200));
    health.succeeded(ms(now), &id, None);
    health.unreachable(ms(now), &id);
    assert!(health.allows(ms(now + 400), &id));
}

#[test]
fn failures_and_slowness_fade() {
    let mut health = Health::default();
    let id = "a".into();
    for _ in 0..6 {
        health.failed(ms(0), &id);
    }
    assert!(health.view(ms(0), &id).0 > 0.7);
    assert!(health.view(ms(15_000), &id).0 < 0.1);
    for _ in 0..10 {
        health.succeeded(ms(15_000), &id, Some(5.0));
    }
    assert!(health.view(ms(15_000), &id).1 > 3.0);
    assert!(health.view(ms(40_000), &id).1 < 1.1);
}
