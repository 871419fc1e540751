//! Entries that share the limit of one endpoint, simulated with the delay of their reports.

use std::collections::VecDeque;
use std::time::Duration;

use bitternlead::directory::EndpointId;
use bitternlead::gateway::eligibility::endpoint_limits::{EndpointLimits, LimitChange};
use bitternlead::wire::EndpointLimit;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Window of the stated target; it begins after the time that entries have to learn of a limit.
const WINDOW: Duration = Duration::from_secs(4);
const CONTACT: Duration = Duration::from_secs(3);

/// Interval at which an entry reports new sends, and at which it reports without any.
const REPORT_INTERVAL: Duration = Duration::from_millis(40);
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(520);

/// Entries with Poisson arrivals, which all prefer the endpoint with the limit.
struct Simulation {
    entries: usize,
    /// Requests per second of all entries together.
    demand: f64,
    limit: f64,
    /// Time until a report arrives.
    delay: Duration,
}

impl Simulation {
    /// Returns the times of all sends to the endpoint within `time`.
    fn run(&self, seed: u64, time: Duration) -> Vec<Duration> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let id = EndpointId::new("i-1");
        let mut entries = vec![EndpointLimits::default(); self.entries];
        let mut reports: VecDeque<(Duration, usize, Vec<EndpointLimit>)> = VecDeque::new();
        let mut changed = vec![false; self.entries];
        let (mut sends, mut now) = (Vec::new(), Duration::from_secs(100));
        let (start, step) = (now, Duration::from_millis(1));
        for limits in &mut entries {
            limits.record_response(now, &id, Some(self.limit));
        }
        while now < start + time {
            now += step;
            let elapsed_ms = (now - start).as_millis();
            if elapsed_ms.is_multiple_of(REPORT_INTERVAL.as_millis()) {
                let all = elapsed_ms.is_multiple_of(KEEPALIVE_INTERVAL.as_millis());
                for at in (0..self.entries).filter(|at| all || changed[*at]) {
                    reports.push_back((now + self.delay, at, entries[at].report(now)));
                }
                changed.fill(false);
            }
            while reports.front().is_some_and(|(due, ..)| *due <= now) {
                let (_, from, report) = reports.pop_front().unwrap();
                for (_, limits) in entries.iter_mut().enumerate().filter(|(at, _)| *at != from) {
                    limits.apply_report(now, &format!("entry-{from}"), 1, &report);
                }
            }
            if rng.random_bool((self.demand * step.as_secs_f64()).min(1.0)) {
                let at = rng.random_range(0..self.entries);
                let limits = &mut entries[at];
                if limits.may_send(now, &id, self.entries, &mut rng) {
                    limits.record_send(now, &id);
                    limits.record_response(now, &id, Some(self.limit));
                    sends.push(now - start);
                    changed[at] = true;
                }
            }
        }
        sends
    }
}

fn most_in_window(sends: &[Duration], from: Duration) -> usize {
    let counted: Vec<&Duration> = sends.iter().filter(|at| **at >= from).collect();
    let count = |first: &&Duration| {
        counted.iter().filter(|at| **at >= *first && ***at < **first + WINDOW).count()
    };
    counted.iter().map(count).max().unwrap_or(0)
}

#[test]
fn entries_together_keep_the_limit_and_use_most_of_it() {
    let time = Duration::from_secs(40);
    for (entries, demand) in [(7, 6.0), (7, 40.0), (33, 8.0), (33, 110.0), (33, 300.0)] {
        for limit in [0.3, 1.3, 2.0, 6.0] {
            for delay_ms in [10, 60, 150] {
                for seed in 0..4 {
                    let delay = Duration::from_millis(delay_ms);
                    let sim = Simulation { entries, demand, limit, delay };
                    let sends = sim.run(seed, time);
                    let most = most_in_window(&sends, CONTACT) as f64;
                    let case = format!("{entries} entries, {demand}/s, limit {limit}, {delay:?}");
                    let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
                    assert!(most <= allowed, "{most} of {allowed} in a window: {case}");
                    if demand >= 4.0 * limit {
                        let share = sends.len() as f64 / (limit * time.as_secs_f64());
                        assert!(share >= 0.7, "{share:.2} of the limit is used: {case}");
                    }
                }
            }
        }
    }
}

#[test]
fn a_limit_that_ends_is_forgotten_by_all_entries() {
    let (id, mut rng) = (EndpointId::new("i-1"), ChaCha8Rng::seed_from_u64(1));
    let (mut first, mut second) = (EndpointLimits::default(), EndpointLimits::default());
    let now = Duration::from_secs(100);
    assert_eq!(first.record_response(now, &id, Some(0.5)), Some(LimitChange::Named(0.5)));
    let changes = second.apply_report(now, "entry-1", 1, &first.report(now));
    assert_eq!(changes, [(id.clone(), LimitChange::Named(0.5))]);
    for _ in 0..5 {
        second.record_send(now, &id);
    }
    assert!(!second.may_send(now, &id, 2, &mut rng));
    let later = now + Duration::from_secs(1);
    assert_eq!(first.record_response(later, &id, None), Some(LimitChange::Lifted));
    let changes = second.apply_report(later, "entry-1", 1, &first.report(later));
    assert_eq!(changes, [(id.clone(), LimitChange::Lifted)]);
    assert!(second.may_send(later, &id, 2, &mut rng));
}

#[test]
fn an_entry_that_starts_anew_counts_its_sends_from_zero() {
    let (id, mut rng) = (EndpointId::new("i-1"), ChaCha8Rng::seed_from_u64(1));
    let mut limits = EndpointLimits::default();
    let now = Duration::from_secs(100);
    limits.record_response(now, &id, Some(1.0));
    let report =
        |sends| [EndpointLimit { endpoint: id.to_string(), per_s: Some(1.0), age_ms: 0, sends }];
    limits.apply_report(now, "entry-1", 1, &report(2));
    let later = now + Duration::from_secs(5);
    assert!(limits.may_send(later, &id, 2, &mut rng));
    limits.apply_report(later, "entry-1", 2, &report(2));
    assert!(!limits.may_send(later, &id, 2, &mut rng), "the sends of the new run count");
}

/// Guards the size of reports where many endpoints name limits: what did not change must not be
/// repeated with each report, and still reach an entry that knows nothing within some seconds.
#[test]
fn reports_of_many_limits_are_bounded_and_complete_in_turn() {
    let (mut limits, mut other) = (EndpointLimits::default(), EndpointLimits::default());
    let start = Duration::from_secs(100);
    for n in 0..1_000 {
        limits.record_response(start, &EndpointId::new(format!("i-{n}")), Some(2.0));
    }
    let mut known = std::collections::HashSet::new();
    for ms in (400..4_000).step_by(100) {
        let now = start + Duration::from_millis(ms);
        limits.record_send(now, &EndpointId::new("i-7"));
        let report = limits.report(now);
        assert!(report.len() <= 200, "{} limits", report.len());
        assert!(report.iter().any(|limit| limit.endpoint == "i-7"), "changes come at once");
        let changes = other.apply_report(now, "entry-1", 1, &report);
        known.extend(changes.into_iter().map(|(id, _)| id));
    }
    assert_eq!(known.len(), 1_000);
    let quiet = limits.report(start + Duration::from_millis(3_950));
    assert!(quiet.len() < 5, "{} limits that did not change", quiet.len());
}
