//! Servers that name the rate of requests that they take from all entries together.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;

use crate::deployment::{ask, plain};
use crate::requests::{Fixture, start_fixture};

const ENTRIES: usize = 5;

/// Window and bound of the stated target: one and a half times what the limit allows, and 5 more.
const WINDOW: Duration = Duration::from_secs(4);

fn most_allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

/// Sends requests at a steady rate, to the entries in turn, and returns their statuses and times.
async fn send_steadily(
    fixture: &Arc<Fixture>,
    per_s: u32,
    time: Duration,
    request: fn() -> http::Request<http_body_util::Full<bytes::Bytes>>,
) -> Vec<(u16, Duration)> {
    let count = (f64::from(per_s) * time.as_secs_f64()) as usize;
    let mut interval = tokio::time::interval(Duration::from_secs(1) / per_s);
    let mut sent = Vec::with_capacity(count);
    for n in 0..count {
        interval.tick().await;
        let fixture = Arc::clone(fixture);
        sent.push(tokio::spawn(async move {
            let started = Instant::now();
            let (status, ..) = fixture.nodes.send(n % ENTRIES, request()).await;
            (status, started.elapsed())
        }));
    }
    join_all(sent).await.into_iter().map(Result::unwrap).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_gets_no_more_than_the_limit_that_it_names_from_all_entries_together() {
    let fixture = Arc::new(start_fixture(ENTRIES).await);
    let limit = 1.5;
    fixture.records.limits.lock().insert("engine-0".into(), limit);
    send_steadily(&fixture, 40, Duration::from_secs(2), || ask("/ask/x", 1000)).await;
    let start = Instant::now();
    let sent = send_steadily(&fixture, 40, Duration::from_secs(6), || ask("/ask/x", 1000)).await;
    assert!(sent.iter().all(|(status, _)| *status == 200), "the other engine serves the rest");
    let most = fixture.records.most_arrivals("engine-0", start, WINDOW);
    assert!(most <= most_allowed(limit), "{most} requests in {WINDOW:?}");
    fixture.records.limits.lock().clear();
    send_steadily(&fixture, 40, Duration::from_secs(3), || ask("/ask/x", 1000)).await;
    let start = Instant::now();
    send_steadily(&fixture, 40, Duration::from_secs(2), || ask("/ask/x", 1000)).await;
    let share = fixture.records.most_arrivals("engine-0", start, WINDOW);
    assert!(share >= 16, "only {share} of 80 requests reach a server without a limit");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_over_the_limits_of_all_servers_is_refused_soon_and_the_rest_is_served() {
    let fixture = Arc::new(start_fixture(ENTRIES).await);
    let limit = 4.0;
    for server in ["order-0", "order-1"] {
        fixture.records.limits.lock().insert(server.into(), limit);
    }
    send_steadily(&fixture, 20, Duration::from_secs(2), || plain("GET", "/book/status/x")).await;
    let start = Instant::now();
    let time = Duration::from_secs(6);
    let sent = send_steadily(&fixture, 20, time, || plain("GET", "/book/status/x")).await;
    for server in ["order-0", "order-1"] {
        let most = fixture.records.most_arrivals(server, start, WINDOW);
        assert!(most <= most_allowed(limit), "{most} requests in {WINDOW:?} at {server}");
    }
    let served = sent.iter().filter(|(status, _)| *status == 200).count();
    let allowed = 2.0 * limit * time.as_secs_f64();
    assert!(served as f64 >= 0.7 * allowed, "{served} served, the limits allow {allowed}");
    let refused = sent.iter().filter(|(status, _)| *status != 200);
    for (status, elapsed) in refused {
        assert_eq!(*status, 503);
        assert!(*elapsed < Duration::from_millis(600), "refused after {elapsed:?}");
    }
}
