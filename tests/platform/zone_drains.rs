//! Drains of availability zones: acknowledgement, time until they are in force, and failures.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::join_all;
use http_body_util::Full;
use hyper::Request;
use jiff::Timestamp;
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::deployment::{Deployment, Layout, ask, call, id_of, plain, wait_until};
use crate::servers::{EVENTS, Records, Server, ServerMode};
use crate::zones::Fixture;

/// Time from the acknowledgement of a drain until no entry may send into the zone any more.
const FORCE_TARGET: Duration = Duration::from_millis(300);

/// Time within which an order has to be acknowledged while nothing fails.
const ACK_TARGET: Duration = Duration::from_secs(1);

/// Guards against drains that are acknowledged late, or in force late at one of the entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_acknowledged_soon_and_in_force_at_all_entries_soon_after() {
    let fixture = Fixture::start(3, 4).await;
    let load = fixture.start_load();
    let (mut times, mut applied) = (Vec::new(), Vec::new());
    for round in 0..6 {
        for entry in 0..4 {
            fixture.wait_used(entry, "order-zone-b").await;
        }
        let ordered = Instant::now();
        fixture.nodes.order_drain(round, "POST", "zone-b").await;
        let (acked, acked_wall) = (Instant::now(), Timestamp::now());
        tokio::time::sleep(Duration::from_millis(700)).await;
        let last = fixture.last_arrival("zone-b").unwrap();
        times.push((acked - ordered, last.saturating_duration_since(acked)));
        for entry in 0..4 {
            applied.push(fixture.applied_after(entry, acked_wall));
        }
        assert!(fixture.arrivals("zone-c", acked) > 20, "the other zone is not served");
        fixture.nodes.order_drain(round + 1, "DELETE", "zone-b").await;
    }
    drop(load);
    println!("acknowledged after, last arrival after: {times:?}");
    println!("applied after, in ms: {applied:?}");
    assert!(applied.iter().all(|ms| *ms < FORCE_TARGET.as_millis() as i64), "{applied:?}");
    assert!(times.iter().all(|(acked, _)| *acked < ACK_TARGET), "{times:?}");
    assert!(times.iter().all(|(_, in_force)| *in_force < FORCE_TARGET), "{times:?}");
}

/// Guards against a drain that cuts off requests that run in the zone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_run_in_the_zone_end_there() {
    let fixture = Fixture::start(1, 1).await;
    fixture.servers.iter().for_each(|s| s.set(ServerMode::Slow));
    let requests: Vec<_> = (0..8).map(|_| ask("/tell/x", 900)).collect();
    let ids: Vec<String> = requests.iter().map(id_of).collect();
    let answers = join_all(requests.into_iter().map(|req| fixture.nodes.send(0, req)));
    let drain = async {
        wait_until("running requests", async || {
            ids.iter().all(|id| !fixture.records.of(id).is_empty())
        })
        .await;
        fixture.nodes.order_drain(0, "POST", "zone-b").await;
    };
    let (answers, ()) = tokio::join!(answers, drain);
    for (status, _, body) in answers {
        assert_eq!(status, 200);
        assert!(body.unwrap().contains(&format!("id: {EVENTS}\n")), "cut off");
    }
    let in_zone = |id: &String| fixture.records.of(id).iter().any(|r| r.server == "engine-zone-b");
    assert!(ids.iter().any(in_zone), "no request ran in the zone");
}

/// Guards against a request that is sent into a zone, to an engine or a helper, after the zone was drained
/// while the request waited for memory; and against memory that stays reserved there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_waits_for_memory_is_not_sent_into_a_zone_drained_meanwhile() {
    let fixture = Fixture::start(1, 1).await;
    fixture.wait_used(0, "engine-zone-b").await;
    *fixture.records.reserve_delay.lock() = Duration::from_millis(500);
    for zone in ["zone-b", "zone-c"] {
        let req = ask("/ask/x", 460_000);
        let id = id_of(&req);
        let drain = async {
            wait_until("a reservation under way", async || {
                !fixture.nodes.entries[0]
                    .log_lines("E613")
                    .iter()
                    .all(|l| l["request"] != id.as_str())
            })
            .await;
            fixture.nodes.order_drain(0, "POST", zone).await;
        };
        let ((status, _, body), ()) = tokio::join!(fixture.nodes.send(0, req), drain);
        assert_eq!(status, 503, "{zone}: {body:?}");
        assert!(fixture.records.of(&id).is_empty(), "{zone}: sent with a part in a drained zone");
        wait_until("the release", async || fixture.records.reservations.lock().is_empty()).await;
        fixture.nodes.order_drain(0, "DELETE", zone).await;
        tokio::time::sleep(FORCE_TARGET).await;
    }
    *fixture.records.reserve_delay.lock() = Duration::ZERO;
    let (status, ..) = fixture.nodes.send(0, ask("/ask/x", 460_000)).await;
    assert_eq!(status, 200, "both zones are in service");
}

/// Guards against an order that is lost, or refused when repeated, after the leader died.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_dies_between_commit_and_answer_loses_no_order() {
    let fixture = Fixture::start(3, 2).await;
    let leader = fixture.nodes.find_leader().await;
    fixture.nodes.set_fault(leader, "control.answer=return(exit)").await;
    let first = fixture.nodes.order_drain_at(leader, "POST", "zone-b").await;
    assert_eq!(first, None, "the leader answered");
    fixture.nodes.order_drain(leader, "POST", "zone-b").await;
    tokio::time::sleep(FORCE_TARGET).await;
    for entry in 0..2 {
        fixture.assert_avoids(entry, "zone-b").await;
    }
}

/// Guards against a repeated order that is refused or changes something.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_orders_are_acknowledged_by_way_of_any_replica() {
    let fixture = Fixture::start(3, 1).await;
    for method in ["POST", "DELETE"] {
        for _ in 0..3 {
            for at in 0..3 {
                let answer = fixture.nodes.order_drain_at(at, method, "zone-b").await;
                assert_eq!(answer, Some((200, "{}".into())), "{method} at {at}");
            }
        }
        if method == "POST" {
            tokio::time::sleep(FORCE_TARGET).await;
            fixture.assert_avoids(0, "zone-b").await;
        }
    }
    fixture.wait_used(0, "order-zone-b").await;
}

/// Guards against a first call that drains the zone again when it arrives after the drain was taken
/// back: once at a leader that was replaced meanwhile, and once at the leader, over a connection that
/// its caller has closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_was_in_transit_does_not_undo_a_later_order() {
    let fixture = Fixture::start(3, 1).await;
    let leader = fixture.nodes.find_leader().await;
    fixture.nodes.controls[leader].signal(Signal::SIGSTOP);
    let mut in_transit = TcpStream::connect(fixture.nodes.operators_address(leader)).await.unwrap();
    let call = b"POST /api/drain/zone-b HTTP/1.1\r\nhost: control\r\ncontent-length: 0\r\n\r\n";
    in_transit.write_all(call).await.unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    fixture.nodes.order_drain(leader + 1, "POST", "zone-b").await;
    fixture.nodes.order_drain(leader + 1, "DELETE", "zone-b").await;
    fixture.nodes.controls[leader].signal(Signal::SIGCONT);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fixture.nodes.zones_drained(0).await, Some(0), "drained by the old leader");
    fixture.wait_used(0, "order-zone-b").await;
    drop(in_transit);

    // All replicas are stopped, so that the closed connection is read by whoever leads afterwards.
    let leader = fixture.nodes.find_leader().await;
    fixture.nodes.controls[leader].signal(Signal::SIGSTOP);
    let mut closed = TcpStream::connect(fixture.nodes.operators_address(leader)).await.unwrap();
    closed.write_all(call).await.unwrap();
    drop(closed);
    tokio::time::sleep(Duration::from_millis(100)).await;
    fixture.nodes.controls[leader].signal(Signal::SIGCONT);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fixture.nodes.zones_drained(0).await, Some(0), "drained by a closed call");
}

/// Guards against entries that disagree after operators raced.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_agree_after_operators_raced() {
    let fixture = Fixture::start(3, 3).await;
    for round in 0..10 {
        let orders = (0..8).map(|at| {
            let method = if (at + round) % 2 == 0 { "POST" } else { "DELETE" };
            fixture.nodes.order_drain(at, method, "zone-b")
        });
        join_all(orders).await;
        wait_until("entries that agree", async || {
            let values = join_all((0..3).map(|entry| fixture.nodes.zones_drained(entry))).await;
            values[0].is_some() && values.iter().all(|v| *v == values[0])
        })
        .await;
    }
    let revisions = |entry: usize| -> Vec<(u64, bool)> {
        let lines = fixture.nodes.entries[entry].log_lines("E411");
        let change =
            |l: &serde_json::Value| Some((l["revision"].as_u64()?, l["drained"].as_bool()?));
        lines.iter().filter_map(change).collect()
    };
    for entry in 0..3 {
        let changes = revisions(entry);
        assert!(changes.windows(2).all(|w| w[0].0 < w[1].0), "entry {entry}: {changes:?}");
    }
    fixture.nodes.order_drain(0, "POST", "zone-b").await;
    tokio::time::sleep(FORCE_TARGET).await;
    for entry in 0..3 {
        fixture.assert_avoids(entry, "zone-b").await;
    }
}

/// Guards against drains that are lost with disks, one after the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_outlives_any_replica_and_its_disk() {
    let mut fixture = Fixture::start(3, 1).await;
    fixture.nodes.order_drain(0, "POST", "zone-b").await;
    for at in 0..3 {
        fixture.nodes.controls[at].kill();
        std::fs::remove_dir_all(fixture.nodes.data_folder(at)).unwrap();
        fixture.nodes.write_settings("control", at, false);
        fixture.nodes.controls[at].restart();
        let document = fixture.nodes.document();
        fixture.nodes.put(&document).await;
        let wanted = document["Version"].as_u64();
        wait_until("the wiped replica's return", async || {
            let version = fixture.nodes.read_at(at).await.and_then(|d| d["Version"].as_u64());
            !fixture.nodes.controls[at].log_lines("E307").is_empty() && version == wanted
        })
        .await;
        // The replica counts towards the quorum again only once it is a voter.
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    let restarted = Instant::now();
    fixture.nodes.entries[0].restart();
    fixture.nodes.wait_serving(0).await;
    fixture.assert_avoids(0, "zone-b").await;
    assert_eq!(fixture.arrivals("zone-b", restarted), 0);
}

/// Guards against endpoints that were not there when the zone was drained, or that move.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_and_moved_endpoints_follow_the_drain_of_their_zone() {
    let mut fixture = Fixture::start(1, 1).await;
    fixture.nodes.order_drain(0, "POST", "zone-b").await;
    tokio::time::sleep(FORCE_TARGET).await;
    let start = Instant::now();
    fixture.add_server("zone-b", "order-late-zone-b", "orders", 20).await;
    fixture.add_server("zone-b", "order-moving", "orders", 21).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    fixture.assert_avoids(0, "zone-b").await;
    fixture.assert_avoids(0, "order-moving").await;
    fixture.servers.last().unwrap().set_zone("zone-c");
    fixture.wait_used(0, "order-moving").await;
    fixture.servers.last().unwrap().set_zone("zone-b");
    tokio::time::sleep(Duration::from_secs(1)).await;
    fixture.assert_avoids(0, "order-moving").await;
    assert_eq!(fixture.arrivals("zone-b", start), 0);
    fixture.nodes.order_drain(0, "DELETE", "zone-b").await;
    fixture.wait_used(0, "order-late-zone-b").await;
}

/// Guards against orders for zones that nobody knows, and against a refusal of one that somebody
/// knows: from the settings, from an announcement, or from an earlier order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_zones_are_refused_with_those_that_exist() {
    let seeds = vec![0, 1, 2];
    let layout = Layout { controls: 4, disks: 3, entries: 1, seeds, tolerance: 1 };
    let mut nodes = Deployment::start_layout(layout).await;
    let document = nodes.document();
    nodes.put(&document).await;
    let records = Records::default();
    let control = vec![nodes.operators_address(0)];
    let addr = nodes.server_address(0);
    let _server = Server::start_in("zone d", "order-d", "orders", addr, control, &records).await;
    nodes.order_drain(0, "POST", "zone-c").await;
    wait_until("the announced zone", async || {
        nodes.order_drain_at(0, "POST", "zone%20d").await.is_some_and(|(status, _)| status == 200)
    })
    .await;
    for at in 0..4 {
        for method in ["POST", "DELETE"] {
            for zone in ["zone-z", "", "zone-a/zone-b", "zone-a/", "zone"] {
                let answer = nodes.order_drain_at(at, method, zone).await;
                let Some((422, text)) = &answer else {
                    panic!("{method} {zone:?} at {at}: {answer:?}")
                };
                for known in ["zone-a", "zone-b", "zone-c", "zone d"] {
                    assert!(text.contains(known), "{text}");
                }
                assert!(!text.contains("zone-z"), "{text}");
            }
        }
    }
    let get = Request::get("/api/drain/zone-a").body(Full::<Bytes>::default()).unwrap();
    assert_eq!(call(nodes.operators_address(0), get).await.unwrap().status(), 405);
    nodes.order_drain(3, "DELETE", "zone%20d").await;
}

/// Guards against requests that wait for endpoints which will not take them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_refused_at_once_while_all_zones_are_drained() {
    let mut fixture = Fixture::start(1, 1).await;
    for zone in ["zone-c", "zone-b"] {
        fixture.nodes.order_drain(0, "POST", zone).await;
    }
    tokio::time::sleep(FORCE_TARGET).await;
    let start = Instant::now();
    for req in [ask("/ask/x", 900), ask("/tell/x", 900), plain("POST", "/book/1")] {
        let sent = Instant::now();
        let (status, headers, body) = fixture.nodes.send(0, req).await;
        assert_eq!(status, 503, "{body:?}");
        assert!(headers.contains_key("retry-after"));
        assert!(body.unwrap().contains("drained"));
        assert!(sent.elapsed() < Duration::from_millis(120), "{:?}", sent.elapsed());
    }
    assert_eq!(fixture.arrivals("", start), 0);
    for zone in ["zone-c", "zone-b"] {
        fixture.nodes.order_drain(0, "DELETE", zone).await;
    }
    fixture.wait_used(0, "order-zone-c").await;
    // Engines that were killed and still count as ready: a request waits for one, then for none.
    fixture.kill_engines().await;
    let waiting = async {
        let sent = Instant::now();
        let answer = fixture.nodes.send(0, ask("/ask/x", 900)).await;
        (answer, sent.elapsed())
    };
    let drain = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        for zone in ["zone-c", "zone-b"] {
            fixture.nodes.order_drain(0, "POST", zone).await;
        }
    };
    let (((status, _, body), elapsed), ()) = tokio::join!(waiting, drain);
    let body = body.unwrap();
    assert!(status == 503 && body.contains("drained"), "{status} {body}");
    assert!(elapsed > Duration::from_millis(140) && elapsed < Duration::from_millis(900));
}

/// Guards against a drain that waits for a large document, on its way to the log or to the entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_document_in_the_same_second_does_not_delay_a_drain() {
    let mut fixture = Fixture::start(3, 2).await;
    let load = fixture.start_load();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut times = Vec::new();
    for _ in 0..3 {
        let mut document = fixture.nodes.document();
        let random: String = (0..120_000).map(|_| format!("{:08x}", rng.next_u32())).collect();
        document["Notes"] = random.into();
        let put = fixture.nodes.put(&document);
        let drain = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            let ordered = Instant::now();
            fixture.nodes.order_drain(0, "POST", "zone-b").await;
            (ordered, Instant::now())
        };
        let ((), (ordered, acked)) = tokio::join!(put, drain);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let last = fixture.last_arrival("zone-b").unwrap();
        times.push((acked - ordered, last.saturating_duration_since(acked)));
        fixture.nodes.order_drain(0, "DELETE", "zone-b").await;
        fixture.wait_used(0, "order-zone-b").await;
        fixture.wait_used(1, "order-zone-b").await;
    }
    drop(load);
    println!("acknowledged after, in force after: {times:?}");
    assert!(times.iter().all(|(acked, _)| *acked < ACK_TARGET), "{times:?}");
    assert!(times.iter().all(|(_, in_force)| *in_force < FORCE_TARGET), "{times:?}");
}

/// Guards against a drain that is forgotten when all processes are killed, and against sends of an
/// entry before it knows the drain.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_outlives_the_restart_of_everything() {
    let mut fixture = Fixture::start(3, 2).await;
    let load = fixture.start_load();
    fixture.nodes.order_drain(0, "POST", "zone-b").await;
    tokio::time::sleep(FORCE_TARGET).await;
    let start = Instant::now();
    let nodes = &mut fixture.nodes;
    nodes.controls.iter_mut().chain(&mut nodes.entries).for_each(|p| p.kill());
    for at in 0..3 {
        nodes.write_settings("control", at, false);
    }
    nodes.entries.iter_mut().chain(&mut nodes.controls).for_each(|p| p.restart());
    for entry in 0..2 {
        fixture.nodes.wait_serving(entry).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    drop(load);
    assert!(fixture.arrivals("zone-c", start) > 20, "the other zone is not served");
    assert_eq!(fixture.arrivals("zone-b", start), 0);
}

/// Guards against an entry that sends before it knows the drains, also while it can reach only
/// replicas that were away when the zone was drained; and against one that forgets the drains while
/// it reaches no replica.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_joins_knows_the_drains_before_it_sends() {
    let mut fixture = Fixture::start(3, 2).await;
    let leader = fixture.nodes.find_leader().await;
    let away = (leader + 1) % 3;
    fixture.nodes.controls[away].kill();
    fixture.nodes.write_settings("control", away, false);
    fixture.nodes.order_drain(leader, "POST", "zone-b").await;
    tokio::time::sleep(FORCE_TARGET).await;
    let start = Instant::now();
    let load = fixture.start_load();
    for _ in 0..3 {
        fixture.nodes.controls[away].restart();
        fixture.nodes.entries[0].restart();
        fixture.nodes.wait_serving(0).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        fixture.nodes.controls[away].kill();
    }
    for at in 0..3 {
        if at != away {
            fixture.nodes.controls[at].signal(Signal::SIGSTOP);
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(fixture.arrivals("zone-b", start), 0);
    drop(load);
    for at in 0..3 {
        if at != away {
            fixture.nodes.controls[at].signal(Signal::SIGCONT);
        }
    }
}
