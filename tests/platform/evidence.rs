//! What entries observe of servers reaches the other entries.

use std::time::{Duration, Instant};

use crate::deployment::{id_of, plain, wait_until};
use crate::requests::start_fixture_with;
use crate::servers::ServerMode;

const ENTRIES: usize = 6;

/// Guards against evidence that stays with the entries that saw it: without it, each entry sends to a
/// server that wants no requests at least once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_two_entries_saw_refuse_gets_no_requests_of_the_others() {
    let fixture = start_fixture_with(ENTRIES, &["places"]).await;
    wait_until("entries that know of each other", async || {
        let metrics = fixture.nodes.metrics(ENTRIES - 1).await;
        metrics.contains(&format!("bitternlead_entries {ENTRIES}\n"))
    })
    .await;
    fixture.orders[0].set(ServerMode::SendsRetryAfter);
    let start = Instant::now();
    for entry in 0..2 {
        let mut was_refused = false;
        while !was_refused {
            let req = plain("GET", "/book/status/x");
            let id = id_of(&req);
            assert_eq!(fixture.nodes.send(entry, req).await.0, 200, "the other server serves");
            was_refused = fixture.records.of(&id).iter().any(|run| !run.ran);
        }
    }
    let named = start.elapsed();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let shared = Instant::now();
    for _ in 0..8 {
        for entry in 2..ENTRIES {
            assert_eq!(fixture.nodes.send(entry, plain("GET", "/book/status/x")).await.0, 200);
        }
    }
    let elapsed = start.elapsed();
    println!("refused after {named:?}, asked until {elapsed:?}");
    assert!(elapsed < Duration::from_millis(1950), "the named time is over: {elapsed:?}");
    let runs = fixture.records.runs.lock();
    let arrivals = runs.iter().filter(|r| r.server == "order-0" && r.at >= shared).count();
    assert_eq!(arrivals, 0, "requests of entries that know it from others only");
}
