//! Servers that say in an answer that they leave, that name a time, and that send without end.

use std::time::{Duration, Instant};

use crate::deployment::{ask, plain};
use crate::requests::start_fixture;
use crate::servers::ServerMode;

/// Time after which a server that said that it leaves gets no more requests.
const DRAIN: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_says_in_an_answer_that_it_leaves_gets_no_more_requests() {
    let fixture = start_fixture(1).await;
    fixture.engines[0].set(ServerMode::SaysItLeaves);
    fixture.orders[0].set(ServerMode::SaysItLeaves);
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
