//! Regions that routes and workspaces allow, for each kind of send.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::deployment::{ask, id_of, plain, wait_until};
use crate::servers::{EVENTS, ServerMode};
use crate::zones::Fixture;

/// Restricts all requests to the region of `zone-b`.
async fn restrict_to_east(fixture: &mut Fixture) {
    fixture
        .change_document(|document| {
            document["Tenants"][0]["AllowedRegions"] = json!(["east", "north"]);
            for route in document["Routes"].as_array_mut().unwrap() {
                route["AllowedRegions"] = json!(["east", "south"]);
            }
            document["Routes"][3]["AllowedRegions"] = json!([]);
        })
        .await;
}

/// Guards against first sends and retries outside of the allowed regions, also while all endpoints
/// there fail or refuse.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn first_sends_and_retries_stay_in_the_allowed_regions() {
    let mut fixture = Fixture::start(1, 1).await;
    fixture.add_server("zone-b", "order-second-zone-b", "orders", 20).await;
    fixture.wait_used(0, "order-second-zone-b").await;
    restrict_to_east(&mut fixture).await;
    let start = Instant::now();
    fixture.assert_avoids(0, "zone-c").await;
    for mode in [ServerMode::Refuses, ServerMode::Fails, ServerMode::DropsResponse] {
        fixture.servers.iter().filter(|s| s.id.ends_with("zone-b")).for_each(|s| s.set(mode));
        for _ in 0..4 {
            let (status, ..) = fixture.nodes.send(0, plain("GET", "/book/status/x")).await;
            assert_ne!(status, 200, "{mode:?}");
            let _ = fixture.nodes.send(0, plain("POST", "/book/1")).await;
            let _ = fixture.nodes.send(0, ask("/ask/x", 900)).await;
        }
    }
    assert_eq!(fixture.arrivals("zone-c", start), 0);
    assert!(fixture.arrivals("zone-b", start) > 24);
}

/// Guards against streams that are resumed, and failovers that go, to another region.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_streams_and_failovers_stay_in_the_allowed_regions() {
    let mut fixture = Fixture::start(1, 1).await;
    restrict_to_east(&mut fixture).await;
    let start = Instant::now();
    let engine = |fixture: &Fixture, id: &str, mode: ServerMode| {
        fixture.servers.iter().find(|s| s.id == id).unwrap().set(mode);
    };
    for mode in [ServerMode::TruncatesStream, ServerMode::Stalls] {
        engine(&fixture, "engine-zone-b", mode);
        let sent = fixture.nodes.send(0, ask("/ask/x", 900));
        let answer = tokio::time::timeout(Duration::from_secs(4), sent).await;
        let is_whole = answer.is_ok_and(|(_, _, body)| {
            body.is_ok_and(|body| body.contains(&format!("id: {EVENTS}\n")))
        });
        assert!(!is_whole, "{mode:?}: continued without an allowed engine");
    }
    assert_eq!(fixture.arrivals("zone-c", start), 0);
    engine(&fixture, "engine-zone-b", ServerMode::TruncatesStream);
    fixture.add_server("zone-b", "engine-second-zone-b", "engines", 20).await;
    engine(&fixture, "engine-second-zone-b", ServerMode::TruncatesStream);
    let mut resumed = 0;
    for _ in 0..60 {
        let req = ask("/ask/x", 900);
        let id = id_of(&req);
        let _ = fixture.nodes.send(0, req).await;
        resumed += usize::from(fixture.records.of(&id).len() > 1);
        if resumed >= 2 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(resumed >= 2, "no stream was resumed within the region");
    assert_eq!(fixture.arrivals("zone-c", start), 0);
}

/// Guards against helpers and reservations outside of the allowed regions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn helpers_and_reservations_stay_in_the_allowed_regions() {
    let mut fixture = Fixture::start(1, 1).await;
    restrict_to_east(&mut fixture).await;
    let (status, ..) = fixture.nodes.send(0, ask("/ask/x", 460_000)).await;
    assert_eq!(status, 503, "only the memory of another region would be enough");
    fixture.add_server("zone-b", "engine-second-zone-b", "engines", 20).await;
    let allowed = [fixture.nodes.server_address(1), fixture.nodes.server_address(20)];
    let mut used = None;
    wait_until("a helper", async || {
        let req = ask("/ask/x", 460_000);
        let id = id_of(&req);
        let _ = fixture.nodes.send(0, req).await;
        used = fixture.records.of(&id).first().and_then(|run| run.helpers.clone());
        used.is_some()
    })
    .await;
    let used = used.unwrap();
    assert!(allowed.iter().any(|a| used.contains(&a.to_string())), "{used}");
    let foreign = fixture.nodes.server_address(0).to_string();
    assert!(!used.contains(&foreign), "{used}");
}

/// Guards against requests that wait although nothing allowed is ready, and against documents that
/// are refused for a region which this process does not know.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_refused_at_once_where_nothing_allowed_is_ready() {
    let mut fixture = Fixture::start(1, 1).await;
    let lists = [
        (json!(["west"]), json!([]), "no endpoint in the region"),
        (json!(["nowhere"]), json!([]), "an unknown region"),
        (json!(["east"]), json!(["south"]), "nothing that both allow"),
    ];
    for (of_routes, of_workspace, case) in lists {
        fixture
            .change_document(|document| {
                document["Tenants"][0]["AllowedRegions"] = of_workspace;
                for route in document["Routes"].as_array_mut().unwrap() {
                    route["AllowedRegions"] = of_routes.clone();
                }
            })
            .await;
        let start = Instant::now();
        for req in [ask("/ask/x", 900), plain("POST", "/book/1"), ask("/tell/x", 300_000)] {
            let sent = Instant::now();
            let (status, headers, body) = fixture.nodes.send(0, req).await;
            let body = body.unwrap();
            assert!(status == 503 && body.contains("region"), "{case}: {status} {body}");
            assert!(headers.contains_key("retry-after"), "{case}");
            assert!(sent.elapsed() < Duration::from_millis(120), "{case}: {:?}", sent.elapsed());
        }
        assert_eq!(fixture.arrivals("", start), 0, "{case}");
    }
    for process in [&fixture.nodes.controls[0], &fixture.nodes.entries[0]] {
        let logged = async || {
            let lines = process.log_lines("E412");
            lines.iter().any(|l| l["findings"].as_str().unwrap().contains("nowhere"))
        };
        wait_until("the finding in the log", logged).await;
    }
    fixture.change_document(|_| {}).await;
    fixture.wait_used(0, "order-zone-c").await;
    fixture.nodes.wait_serving(0).await;
}

/// Guards against a drain and a restriction that are each kept, but not both at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_of_the_only_allowed_zone_refuses_at_once() {
    let mut fixture = Fixture::start(1, 1).await;
    restrict_to_east(&mut fixture).await;
    fixture.nodes.order_drain(0, "POST", "zone-b").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let start = Instant::now();
    let (status, _, body) = fixture.nodes.send(0, plain("GET", "/book/status/x")).await;
    let body = body.unwrap();
    assert!(status == 503 && body.contains("drained"), "{status} {body}");
    assert!(start.elapsed() < Duration::from_millis(120));
    assert_eq!(fixture.arrivals("", start), 0);
    fixture.nodes.order_drain(0, "DELETE", "zone-b").await;
    fixture.wait_used(0, "order-zone-b").await;
    assert_eq!(fixture.arrivals("zone-c", start), 0);
}
