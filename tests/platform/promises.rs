//! Servers that say in an answer that they leave, that name a time, and that send without end.

use std::time::{Duration, Instant};

use crate::deployment::{ask, plain};
use crate::requests::start_fixture;
use crate::servers::ServerMode;

/// Time after which a server that said that it leaves gets no more requests.
const DRAIN: Duration = Duration::from_secs(2);

/// Time after a server has named a time in which requests on their way may reach it, and how many
/// may later.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
const MOST_IN_NAMED_TIME: usize = 2;

/// Memory that an entry may use, in kilobytes: that of the smallest hosts of the deployments.
const MEMORY_KB: u64 = 160 * 1024;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_says_in_an_answer_that_it_leaves_gets_no_more_requests() {
    let fixture = start_fixture(1).await;
    fixture.engines[0].set(ServerMode::AnnouncesShutdown);
    fixture.orders[0].set(ServerMode::AnnouncesShutdown);
    let start = Instant::now();
    while start.elapsed() < 2 * DRAIN {
        let (asked, ..) = fixture.nodes.send(0, ask("/ask/x", 1000)).await;
        let (looked_up, ..) = fixture.nodes.send(0, plain("GET", "/book/status/x")).await;
        assert_eq!((asked, looked_up), (200, 200));
    }
    for server in ["engine-0", "order-0"] {
        let runs = fixture.records.runs.lock();
        let mut arrivals = runs.iter().filter(|r| r.server == server && r.at >= start);
        let first = arrivals.next().expect("the server was used before").at;
        let later = arrivals.filter(|r| r.at > first + DRAIN).count();
        assert_eq!(later, 0, "requests to {server} after it said that it leaves");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_names_a_time_gets_no_requests_until_then() {
    let fixture = start_fixture(1).await;
    fixture.orders[0].set(ServerMode::SendsRetryAfter);
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1900) {
        let (status, ..) = fixture.nodes.send(0, plain("GET", "/book/status/x")).await;
        assert_eq!(status, 200, "the other server serves");
    }
    let runs = fixture.records.runs.lock().clone();
    let mut arrivals = runs.iter().filter(|r| r.server == "order-0" && r.at >= start);
    let named = arrivals.next().expect("the server was used before").at;
    let later = arrivals.filter(|r| r.at > named + IN_FLIGHT_TIME).count();
    assert!(later <= MOST_IN_NAMED_TIME, "{later} requests in the time that it named");
    fixture.orders[0].set(ServerMode::Normal);
    tokio::time::sleep(Duration::from_millis(2100).saturating_sub(named.elapsed())).await;
    let again = Instant::now();
    for _ in 0..40 {
        let _ = fixture.nodes.send(0, plain("GET", "/book/status/x")).await;
    }
    let runs = fixture.records.runs.lock();
    let share = runs.iter().filter(|r| r.server == "order-0" && r.at >= again).count();
    assert!(share >= 8, "only {share} of 40 requests reach it after that time");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn when_all_servers_name_a_time_callers_are_told_at_once_when_to_come_back() {
    let fixture = start_fixture(1).await;
    fixture.orders.iter().for_each(|s| s.set(ServerMode::SendsRetryAfter));
    for _ in 0..4 {
        let _ = fixture.nodes.send(0, plain("GET", "/book/status/x")).await;
    }
    let start = Instant::now();
    let (status, headers, _) = fixture.nodes.send(0, plain("GET", "/book/status/x")).await;
    assert_eq!(status, 503);
    assert!(start.elapsed() < Duration::from_millis(100), "refused after {:?}", start.elapsed());
    let after: f64 = headers["retry-after"].parse().unwrap();
    assert!((1.0..2.9).contains(&after), "told to come back after {after} s");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_end_are_cut_off_and_fill_no_memory() {
    let fixture = start_fixture(1).await;
    fixture.engines[0].set(ServerMode::SendsEndlessResponse);
    fixture.orders[0].set(ServerMode::SendsEndlessResponse);
    for _ in 0..10 {
        let started = Instant::now();
        let (asked, _, events) = fixture.nodes.send(0, ask("/ask/x", 1000)).await;
        let (looked_up, ..) = fixture.nodes.send(0, plain("GET", "/book/status/x")).await;
        assert_eq!((asked, looked_up), (200, 200), "the other servers serve");
        assert!(events.is_ok(), "{events:?}");
        assert!(started.elapsed() < Duration::from_secs(4), "after {:?}", started.elapsed());
    }
    let peak = fixture.nodes.entries[0].peak_memory_kb();
    assert!(peak < MEMORY_KB, "{peak} KB");
}
