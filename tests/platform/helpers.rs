//! Prompts that several engines serve, while one of these engines fails.

use std::net::SocketAddr;

use crate::deployment::{ask, id_of, wait_until};
use crate::zones::Fixture;

/// A prompt that needs the memory of two engines.
const LARGE_PROMPT: u64 = 460_000;

/// Starts three engines, and returns the address of one that helps with large prompts.
async fn start() -> (Fixture, SocketAddr) {
    let mut fixture = Fixture::start(1, 1).await;
    fixture.add_server("zone-b", "engine-second-zone-b", "engines", 20).await;
    // The first engine by id is kept for short prompts; large ones use it only if they have to.
    fixture.wait_used(0, "engine-second-zone-b").await;
    let mut helper = None;
    wait_until("a prompt that several engines serve", async || {
        let req = ask("/ask/x", LARGE_PROMPT);
        let id = id_of(&req);
        let _ = fixture.nodes.send(0, req).await;
        helper = fixture.records.of(&id).first().and_then(|run| run.helpers.clone());
        helper.is_some()
    })
    .await;
    wait_until("the release", async || fixture.records.reservations.lock().is_empty()).await;
    let addr = helper.unwrap().split('/').next().unwrap().parse().unwrap();
    (fixture, addr)
}

/// Guards against a request that is sent again with the helper that has just failed it, or refused
/// because its route allows a single endpoint, though none ran it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_is_not_sent_again_with_the_helper_that_failed() {
    let (mut fixture, helper) = start().await;
    fixture.change_document(|document| document["Routes"][0]["MaxAttempts"] = 1.into()).await;
    *fixture.records.lost_helper.lock() = Some(helper);
    for is_first in [true, false] {
        let req = ask("/ask/x", LARGE_PROMPT);
        let id = id_of(&req);
        let (status, _, body) = fixture.nodes.send(0, req).await;
        assert_eq!(status, 200, "{body:?}");
        let runs = fixture.records.of(&id);
        assert_eq!(runs.iter().filter(|run| run.ran).count(), 1, "{runs:?}");
        // The second request knows that the helper fails.
        assert_eq!(runs.iter().any(|run| !run.ran), is_first, "{runs:?}");
    }
}

/// Guards against a request that is refused because one engine grants no memory while others would.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reservation_that_one_engine_denies_is_made_at_another() {
    let (fixture, helper) = start().await;
    let denying = fixture.servers.iter().find(|s| s.addr == helper).unwrap();
    *fixture.records.full_server.lock() = Some(denying.id.clone());
    let req = ask("/ask/x", LARGE_PROMPT);
    let id = id_of(&req);
    let (status, _, body) = fixture.nodes.send(0, req).await;
    assert_eq!(status, 200, "{body:?}");
    assert!(fixture.records.of(&id)[0].helpers.is_some(), "served without reserved memory");
    let attempts = fixture.nodes.entries[0].log_lines("E609");
    let granted = |granted: bool| {
        let of_request = attempts.iter().filter(|l| l["request"] == id.as_str());
        of_request.filter(|l| l["granted"] == granted).count()
    };
    assert_eq!((granted(false), granted(true)), (1, 1));
}
