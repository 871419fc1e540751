//! Requests of callers: responses, retries, resumed streams, drains and reservations.

use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use nix::sys::signal::Signal;

use crate::deployment::{API_KEY, Deployment, WORKSPACE, ask, call, id_of, plain, wait_until};
use crate::servers::{EVENTS, Records, Server, ServerMode};

/// A deployment with servers, ready to serve.
pub struct Fixture {
    pub nodes: Deployment,
    pub records: Records,
    pub engines: Vec<Server>,
    pub orders: Vec<Server>,
}

/// Starts one control replica, entries, two engines and two order servers, and waits until the
/// first entry sends requests to both order servers.
pub async fn start_fixture(entries: usize) -> Fixture {
    start_fixture_with(entries, &[]).await
}

/// Starts a fixture whose settings name these contracts.
pub async fn start_fixture_with(entries: usize, contracts: &[&str]) -> Fixture {
    let mut nodes = Deployment::start_with(1, entries, contracts).await;
    let document = nodes.document();
    nodes.put(&document).await;
    let records = Records::default();
    let control = vec![nodes.operators_address(0)];
    let (mut engines, mut orders) = (vec![], vec![]);
    for at in 0..2 {
        let (engine, order) = (nodes.server_address(at), nodes.server_address(10 + at));
        let id = format!("engine-{at}");
        engines.push(Server::start(&id, "engines", engine, control.clone(), &records).await);
        let id = format!("order-{at}");
        orders.push(Server::start(&id, "orders", order, control.clone(), &records).await);
    }
    for entry in 0..entries {
        nodes.wait_serving(entry).await;
    }
    let fixture = Fixture { nodes, records, engines, orders };
    wait_until("an entry that knows all servers", async || {
        let mut seen = std::collections::BTreeSet::new();
        for _ in 0..6 {
            let req = plain("GET", "/book/status/x");
            let id = id_of(&req);
            let _ = fixture.nodes.send(0, req).await;
            seen.extend(fixture.records.of(&id).into_iter().map(|r| r.server));
        }
        seen.len() == 2
    })
    .await;
    fixture
}

fn events(body: &str) -> Vec<u64> {
    let ids = body.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_kinds_of_request_are_served_with_the_callers_workspace() {
    let fixture = start_fixture(1).await;
    let asked = ask("/ask/1", 5000);
    let (id, booking) = (id_of(&asked), plain("POST", "/book/1"));
    let booked = id_of(&booking);
    let (status, headers, body) = fixture.nodes.send(0, asked).await;
    assert_eq!((status, events(&body.unwrap())), (200, (1..=EVENTS).collect()));
    assert_eq!(headers["attempt-id"], id);
    assert!(headers["server-signature"].starts_with("signed-by-engine"));
    let (status, headers, body) = fixture.nodes.send(0, booking).await;
    assert_eq!((status, body.unwrap()), (200, format!("answer to {booked}")));
    assert!(headers["server-signature"].starts_with("signed-by-order"));
    for id in [id, booked] {
        let runs = fixture.records.of(&id);
        assert_eq!(runs.len(), 1);
        assert_eq!(runs[0].workspace.as_deref(), Some(WORKSPACE));
        assert!(!runs[0].saw_key, "the entry passed the key on to a server");
        assert!(runs[0].deadline_ms.unwrap() <= 8000, "more time than the caller has");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_keys_routes_and_large_bodies_are_rejected_before_any_server() {
    let fixture = start_fixture(1).await;
    let mut unknown_key = plain("POST", "/book/1");
    unknown_key.headers_mut().insert("api-key", "unknown".parse().unwrap());
    let mut no_key = plain("POST", "/book/1");
    no_key.headers_mut().remove("api-key");
    let mut large = plain("POST", "/book/1");
    *large.body_mut() = http_body_util::Full::new(vec![b'x'; 100_000].into());
    let cases = [(unknown_key, 401), (no_key, 401), (plain("GET", "/no/route"), 404), (large, 413)];
    for (req, wanted) in cases {
        let id = id_of(&req);
        let (status, headers, _) = fixture.nodes.send(0, req).await;
        assert_eq!(status, wanted);
        assert!(!headers.contains_key("server-signature"));
        assert!(fixture.records.of(&id).is_empty());
    }
    let mut known_key = plain("POST", "/book/1");
    known_key.headers_mut().insert("api-key", API_KEY.parse().unwrap());
    assert_eq!(fixture.nodes.send(0, known_key).await.0, 200, "only the key was wrong");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_booking_whose_answer_is_lost_runs_once_and_is_not_called_unrun() {
    let fixture = start_fixture(1).await;
    fixture.orders.iter().for_each(|s| s.set(ServerMode::DropsResponse));
    for _ in 0..5 {
        let req = plain("POST", "/book/1");
        let id = id_of(&req);
        let (status, headers, _) = fixture.nodes.send(0, req).await;
        assert_eq!(status, 502, "neither success nor a guarantee that it did not run");
        assert!(!headers.contains_key("server-signature"));
        assert_eq!(fixture.records.times_run(&id), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_booking_that_no_server_ran_is_refused_with_a_time_to_come_back() {
    let fixture = start_fixture(1).await;
    fixture.orders.iter().for_each(|s| s.set(ServerMode::Refuses));
    let req = plain("POST", "/book/1");
    let id = id_of(&req);
    let (status, headers, _) = fixture.nodes.send(0, req).await;
    assert_eq!(status, 503);
    let after: f64 = headers["retry-after"].parse().unwrap();
    assert!(after > 0.0 && after <= 8.0 / 3.0, "{after} s is more than callers honour");
    assert_eq!(fixture.records.times_run(&id), 0);
    assert_eq!(fixture.records.of(&id).len(), 1, "the route allows one attempt");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idempotent_request_goes_to_a_second_server() {
    let fixture = start_fixture(1).await;
    for mode in [
        ServerMode::Fails,
        ServerMode::WrongRequestId,
        ServerMode::DropsResponse,
        ServerMode::Refuses,
    ] {
        fixture.orders[0].set(mode);
        for _ in 0..6 {
            let (status, _, body) = fixture.nodes.send(0, plain("GET", "/book/status/1")).await;
            assert_eq!(status, 200, "{mode:?}: {body:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_to_another_request_is_never_passed_on() {
    let fixture = start_fixture(1).await;
    fixture.orders.iter().for_each(|s| s.set(ServerMode::WrongRequestId));
    let (status, headers, _) = fixture.nodes.send(0, plain("POST", "/book/1")).await;
    assert_eq!(status, 502);
    assert!(!headers.contains_key("server-signature"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_breaks_off_goes_on_at_another_engine_without_a_gap() {
    let fixture = start_fixture(1).await;
    fixture.engines[0].set(ServerMode::TruncatesStream);
    let mut resumed = 0;
    for _ in 0..8 {
        let req = ask("/ask/1", 5000);
        let id = id_of(&req);
        let (status, _, body) = fixture.nodes.send(0, req).await;
        assert_eq!((status, events(&body.unwrap())), (200, (1..=EVENTS).collect()));
        let runs = fixture.records.of(&id);
        resumed += usize::from(runs.len() == 2 && runs[1].last_event == Some(4));
    }
    assert!(resumed > 0, "the failing engine was never selected");
}

/// A byte now and then is no progress: only whole events are.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_drips_without_whole_events_goes_on_at_another_engine() {
    let fixture = start_fixture(1).await;
    fixture.engines[0].set(ServerMode::Drips);
    let mut resumed = 0;
    for _ in 0..8 {
        let req = ask("/ask/1", 5000);
        let id = id_of(&req);
        let start = Instant::now();
        let (status, _, body) = fixture.nodes.send(0, req).await;
        assert_eq!((status, events(&body.unwrap())), (200, (1..=EVENTS).collect()));
        assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
        resumed += usize::from(fixture.records.of(&id).len() == 2);
    }
    assert!(resumed > 0, "the dripping engine was never selected");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_may_not_be_resumed_ends_broken_and_runs_once() {
    let fixture = start_fixture(1).await;
    fixture.engines.iter().for_each(|s| s.set(ServerMode::TruncatesStream));
    let req = ask("/tell/1", 5000);
    let id = id_of(&req);
    let (status, _, body) = fixture.nodes.send(0, req).await;
    assert_eq!(status, 200);
    assert!(body.is_err(), "a truncated stream must not look complete");
    assert_eq!(fixture.records.times_run(&id), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_is_noticed_at_the_engine_at_once() {
    let fixture = start_fixture(1).await;
    fixture.engines.iter().for_each(|s| s.set(ServerMode::Slow));
    let req = ask("/ask/1", 5000);
    let id = id_of(&req);
    let mut answer = call(fixture.nodes.callers_address(0), req).await.unwrap();
    answer.body_mut().frame().await.unwrap().unwrap();
    let disconnected_at = Instant::now();
    drop(answer);
    wait_until("the disconnect at the engine", async || {
        fixture.records.disconnects.lock().iter().any(|(request, _)| *request == id)
    })
    .await;
    let noticed_disconnects = fixture.records.disconnects.lock();
    let noticed = noticed_disconnects.iter().find(|(request, _)| *request == id).unwrap().1;
    assert!(
        noticed - disconnected_at < Duration::from_millis(500),
        "{:?}",
        noticed - disconnected_at
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_prompt_over_one_engines_memory_is_served_and_leaves_nothing_reserved() {
    let fixture = start_fixture(1).await;
    let req = ask("/ask/1", 460_000);
    let id = id_of(&req);
    let (status, _, body) = fixture.nodes.send(0, req).await;
    assert_eq!((status, events(&body.unwrap())), (200, (1..=EVENTS).collect()));
    let runs = fixture.records.of(&id);
    assert_eq!(runs.len(), 1);
    let helpers = runs[0].helpers.clone().expect("no helper was used");
    assert!(helpers.contains('/'), "no reservation in {helpers}");
    wait_until("the release", async || fixture.records.reservations.lock().is_empty()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reservation_runs_out_soon_after_its_entry_has_died() {
    let mut fixture = start_fixture(1).await;
    fixture.engines.iter().for_each(|s| s.set(ServerMode::Slow));
    let addr = fixture.nodes.callers_address(0);
    let _answer = call(addr, ask("/ask/1", 460_000)).await.unwrap();
    fixture.nodes.entries[0].kill();
    let latest = Instant::now() + Duration::from_millis(4000);
    let held = fixture.records.reservations.lock().clone();
    assert!(!held.is_empty(), "nothing was reserved");
    assert!(held.iter().all(|(_, _, until)| *until < latest), "{held:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_leaves_gets_nothing_after_the_acknowledgement() {
    let fixture = start_fixture(2).await;
    let control = [fixture.nodes.operators_address(0)];
    fixture.orders[0].drain(&control).await;
    let deadline = Instant::now() + Duration::from_millis(2000);
    while Instant::now() < deadline + Duration::from_millis(700) {
        for entry in 0..2 {
            let (status, _, _) = fixture.nodes.send(entry, plain("GET", "/book/status/1")).await;
            assert_eq!(status, 200);
        }
    }
    let late = |r: &&crate::servers::Run| r.server == "order-0" && r.at > deadline;
    assert_eq!(fixture.records.runs.lock().iter().filter(late).count(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_cuts_no_stream_and_turns_new_callers_away_unrun() {
    let mut fixture = start_fixture(2).await;
    fixture.engines.iter().for_each(|s| s.set(ServerMode::Slow));
    let addr = fixture.nodes.callers_address(0);
    let open = tokio::spawn(async move {
        let answer = call(addr, ask("/ask/1", 5000)).await.unwrap();
        let body = answer.into_body().collect().await.unwrap().to_bytes();
        String::from_utf8(body.to_vec()).unwrap()
    });
    tokio::time::sleep(Duration::from_millis(600)).await;
    fixture.nodes.entries[0].signal(Signal::SIGTERM);
    wait_until("the entry to be unready", async || fixture.nodes.readiness(0).await != 200).await;
    let (status, headers, _) = fixture.nodes.send(0, plain("GET", "/book/status/1")).await;
    assert_eq!((status, headers["connection"].as_str()), (200, "close"));
    assert_eq!(events(&open.await.unwrap()), (1..=EVENTS).collect::<Vec<_>>());
    wait_until("the exit of the entry", async || fixture.nodes.entries[0].has_ended()).await;
    let (status, _, _) = fixture.nodes.send(1, plain("GET", "/book/status/1")).await;
    assert_eq!(status, 200, "the other entry continues to serve");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_refuses_waiting_requests_at_once_and_unrun() {
    check_stop_with_waiting_requests(&start_fixture(1).await).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_refuses_what_waits_in_the_order_of_a_service_at_once_and_unrun() {
    let mut fixture = start_fixture(1).await;
    let mut document = fixture.nodes.document();
    document["Routes"][0]["Prio"] = 0.into();
    fixture.nodes.put(&document).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    check_stop_with_waiting_requests(&fixture).await;
    let queued = fixture.nodes.entries[0].log_lines("E650");
    assert!(!queued.is_empty(), "none waited in the queue");
}

/// Stops an entry while some requests wait there.
async fn check_stop_with_waiting_requests(fixture: &Fixture) {
    fixture.engines.iter().for_each(|s| s.set(ServerMode::Stalls));
    let addr = fixture.nodes.callers_address(0);
    let first_attempt = || {
        let mut req = ask("/ask/1", 150_000);
        req.headers_mut().insert("deadline-ms", "10000".parse().unwrap());
        req
    };
    let asks: Vec<_> = (0..4).map(|_| first_attempt()).collect();
    let ids: Vec<String> = asks.iter().map(id_of).collect();
    let mut answers = tokio::task::JoinSet::new();
    for req in asks {
        answers.spawn(call(addr, req));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let sent = ids.iter().filter(|id| fixture.records.times_run(id) > 0).count();
    assert!(sent < ids.len(), "some wait at the entry");
    fixture.nodes.entries[0].signal(Signal::SIGTERM);
    let mut refused = 0;
    let mut streams = Vec::new();
    let first_answers = async {
        while refused < ids.len() - sent {
            let answer = answers.join_next().await.expect("an answer to each").unwrap().unwrap();
            refused += usize::from(answer.status() == 503);
            streams.push(answer);
        }
    };
    let in_time = tokio::time::timeout(Duration::from_millis(600), first_answers).await;
    assert!(in_time.is_ok(), "not all waiting requests were refused at once");
    let sent_later = ids.iter().filter(|id| fixture.records.times_run(id) > 0).count();
    assert_eq!(sent_later, sent, "what was refused did not run");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashed_servers_cost_idempotent_callers_nothing() {
    let mut fixture = start_fixture(1).await;
    fixture.orders.remove(0).crash();
    fixture.engines.remove(0).crash();
    for _ in 0..8 {
        let (status, _, _) = fixture.nodes.send(0, plain("GET", "/book/status/1")).await;
        assert_eq!(status, 200);
        let (status, _, body) = fixture.nodes.send(0, ask("/ask/1", 5000)).await;
        assert_eq!((status, events(&body.unwrap())), (200, (1..=EVENTS).collect()));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_cause_of_each_failure_is_found_from_the_requests_id_alone() {
    let fixture = start_fixture(1).await;
    fixture.orders.iter().for_each(|s| s.set(ServerMode::DropsResponse));
    let lost = plain("POST", "/book/1");
    let lost_id = id_of(&lost);
    let _ = fixture.nodes.send(0, lost).await;
    fixture.orders.iter().for_each(|s| s.set(ServerMode::Refuses));
    let refused = plain("POST", "/book/1");
    let refused_id = id_of(&refused);
    let (_, _, told) = fixture.nodes.send(0, refused).await;
    assert_eq!(told.unwrap().trim(), "not run by the endpoint", "callers see no addresses");
    fixture.engines.iter().for_each(|s| s.set(ServerMode::TruncatesStream));
    let broken = ask("/tell/1", 5000);
    let broken_id = id_of(&broken);
    let _ = fixture.nodes.send(0, broken).await;
    let entry = &fixture.nodes.entries[0];
    for (id, event, reason) in [
        (lost_id, "E601", "connection"),
        (refused_id, "E600", "refused with 503"),
        (broken_id, "E608", ""),
    ] {
        wait_until("the log line", async || !entry.log_lines(&id).is_empty()).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        let lines = entry.log_lines(&id);
        let line = lines.iter().find(|l| l["event"] == event);
        let line = line.unwrap_or_else(|| panic!("no {event} among {lines:?}"));
        let logged = line["reason"].as_str().unwrap();
        assert!(logged.contains(reason) && !logged.is_empty(), "{logged}");
    }
}
