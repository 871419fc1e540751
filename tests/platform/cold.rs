//! Servers that are cold: what all entries together send to them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;

use crate::deployment::{ask, wait_until};
use crate::requests::{Fixture, start_fixture};
use crate::servers::Server;

const ENTRIES: usize = 5;
const COLD_PER_S: f64 = 3.0;
const COLD_TIME: Duration = Duration::from_secs(3);

/// Stated bound on the arrivals in any second, 1.5 times the rate and 5 more.
const BOUND: usize = 9;

/// Starts a fixture whose engines have a cold rate, and waits until all entries know it and have been
/// listed for long enough to have a share.
async fn start_with_rate() -> Fixture {
    let mut fixture = start_fixture(ENTRIES).await;
    let mut document = fixture.nodes.document();
    document["Backends"][0]["ColdS"] = COLD_TIME.as_secs_f64().into();
    document["Backends"][0]["ColdPerS"] = COLD_PER_S.into();
    fixture.nodes.put(&document).await;
    let version = format!("\"version\":{}", document["Version"]);
    for entry in 0..ENTRIES {
        wait_until("the cold rate", async || {
            let applied = fixture.nodes.entries[entry].log_lines("E402");
            applied.iter().any(|line| line.to_string().contains(&version))
        })
        .await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    fixture
}

/// Sends requests at a steady rate, to the entries in turn; returns their statuses and times.
async fn burst(fixture: Arc<Fixture>, per_s: u32, time: Duration) -> Vec<(u16, Duration)> {
    let count = (f64::from(per_s) * time.as_secs_f64()) as usize;
    let mut interval = tokio::time::interval(Duration::from_secs(1) / per_s);
    let mut sent = Vec::with_capacity(count);
    for n in 0..count {
        interval.tick().await;
        let fixture = Arc::clone(&fixture);
        sent.push(tokio::spawn(async move {
            let started = Instant::now();
            let (status, ..) = fixture.nodes.send(n % ENTRIES, ask("/ask/x", 1000)).await;
            (status, started.elapsed())
        }));
    }
    join_all(sent).await.into_iter().map(Result::unwrap).collect()
}

/// Guards against servers that crash because they return together and all entries send to them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_that_returns_cold_under_a_burst_gets_no_more_than_its_bound_in_any_second() {
    let fixture = Arc::new(start_with_rate().await);
    let sending = tokio::spawn(burst(Arc::clone(&fixture), 120, Duration::from_secs(7)));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let control = vec![fixture.nodes.operators_address(0)];
    let start = Instant::now();
    let starts = (0..6).map(|at| {
        let (id, addr) = (format!("cold-{at}"), fixture.nodes.server_address(30 + at));
        let (control, records) = (control.clone(), fixture.records.clone());
        async move { Server::start_cold(&id, "engines", addr, control, &records, COLD_TIME).await }
    });
    let returned = join_all(starts).await;
    let sent = sending.await.unwrap();
    let mut used = 0;
    for server in &returned {
        let span = start..start + COLD_TIME;
        let (most, arrivals) = fixture.records.arrivals_in_a_second(&server.id, span);
        assert!(most <= BOUND, "{most} requests in a second at {}", server.id);
        used += arrivals;
    }
    let expected = COLD_PER_S * COLD_TIME.as_secs_f64() * returned.len() as f64;
    assert!(used as f64 >= 0.5 * expected, "only {used} of some {expected} were sent");
    let served = sent.iter().filter(|(status, _)| *status == 200).count();
    assert!(served * 100 >= sent.len() * 99, "{served} of {} served by the others", sent.len());
    let span = start + COLD_TIME + Duration::from_secs(1)..Instant::now();
    let later = |s: &Server| fixture.records.arrivals_in_a_second(&s.id, span.clone()).0;
    let most = returned.iter().map(later).max();
    assert!(most > Some(BOUND), "at most {most:?} requests in a second at a warm server");
}

/// Guards against requests that hang, or that get another answer than that they did not run, where
/// only cold servers are left. The servers become cold without a new start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn where_all_servers_are_cold_the_rest_is_refused_in_time_and_not_run() {
    let fixture = Arc::new(start_with_rate().await);
    for engine in &fixture.engines {
        engine.set_cold(Duration::from_secs(60));
    }
    // The servers announce themselves every 300 ms, and a send counts for a little over a second.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (start, time) = (Instant::now(), Duration::from_secs(5));
    let sent = burst(Arc::clone(&fixture), 30, time).await;
    for engine in &fixture.engines {
        let span = start..Instant::now();
        let (most, _) = fixture.records.arrivals_in_a_second(&engine.id, span);
        assert!(most <= BOUND, "{most} requests in a second at {}", engine.id);
    }
    let served = sent.iter().filter(|(status, _)| *status == 200).count();
    let allowed = 2.0 * COLD_PER_S * time.as_secs_f64();
    assert!(served as f64 >= 0.6 * allowed, "{served} served, the servers can handle {allowed}");
    for (status, elapsed) in sent.iter().filter(|(status, _)| *status != 200) {
        assert_eq!(*status, 503);
        assert!(*elapsed < Duration::from_secs(2), "refused after {elapsed:?}");
    }
}
