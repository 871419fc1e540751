//! A server leaves and starts again under its id. A cut holds its first call to one machine up; what
//! it said of the start that has ended arrives late and is applied to the new one.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::call;
use crate::record::Record;
use crate::server::Server;
use crate::system::{CONTACT, Client, DRAIN, MACHINES, Outcome, System, config, route};

/// Time for which the path from the server to one machine is cut.
const CUT: Duration = Duration::from_millis(5000);

/// Time for which a caller of control waits for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Time from the end of a server to its next start.
const DOWN: Duration = Duration::from_millis(300);

const REQUESTS: usize = 60;

/// Accepts one channel for `to`, and delivers at the end of the cut what was sent on it.
fn hold_up(listener: TcpListener, to: SocketAddr, heals_at: Instant, record: Record) {
    thread::spawn(move || {
        let (mut from, _) = listener.accept().expect("one channel");
        let mut sent = Vec::new();
        let _ = from.read_to_end(&mut sent);
        thread::sleep(heals_at.saturating_duration_since(Instant::now()));
        let mut stream = TcpStream::connect(to).expect("control listens");
        stream.write_all(&sent).expect("control reads");
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        record.note(&format!("the call that was held up is delivered, {} bytes", sent.len()));
    });
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let system = System::start();
    let first = route("stand-order", "unsafe", "orders-app", 1);
    let later = route("order-status", "safe", "status-app", 2);
    system.put_config(&config(1, std::slice::from_ref(&first), &["orders-app", "status-app"]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let _orders: Vec<_> =
        (0..3).map(|n| Server::start(&system, n, "orders-app", &runs, record)).collect();
    let status = Server::start(&system, 3, "status-app", &runs, record);
    system.put_config(&config(2, &[first, later], &["orders-app", "status-app"]));
    system.wait_serving("/stand-order/x");
    system.wait_serving("/order-status/x");
    thread::sleep(CONTACT);
    let (cut, other) = (0, 1);
    let heals_at = Instant::now() + CUT;
    status.stop_beats();
    let path = format!("/api/instances/{}", status.id);
    if trouble {
        let listener = TcpListener::bind((system.ip(9).as_str(), 0)).expect("a free port");
        let addr = listener.local_addr().expect("bound");
        hold_up(listener, system.control(cut), heals_at, record.clone());
        let answer = call(addr, "DELETE", &path, "", CALL_LIMIT);
        assert!(answer.is_err(), "nothing passes the cut");
        record.note(&format!("no answer from machine {cut} within {CALL_LIMIT:?}"));
    }
    let answer = call(system.control(other), "DELETE", &path, "", CALL_LIMIT);
    assert_eq!(answer.expect("an answer").0.status(), 200, "the departure is acknowledged");
    record.note(&format!("machine {other} has acknowledged that {} is gone", status.id));
    thread::sleep(DRAIN + Duration::from_millis(200) + DOWN);
    status.call_first(other);
    status.restart();
    record.note(&format!("{} has started again", status.id));
    let again = heals_at.saturating_duration_since(Instant::now()) / 2;
    thread::sleep(again);
    let before = served(&system, record, "GET", "/order-status/again", MACHINES);
    assert!(before > 0, "the new start is served before the cut ends");
    thread::sleep(heals_at.saturating_duration_since(Instant::now()) + CONTACT);
    thread::sleep(Duration::from_millis(2000));
    let first = served(&system, record, "POST", "/stand-order/y", REQUESTS);
    let later = served(&system, record, "GET", "/order-status/y", REQUESTS);
    record.note(&format!(
        "of {REQUESTS} requests each, {first} were served on the first route and {later} on the one \
         that was added later"
    ));
    assert!(first > 0, "the first route is not served");
    if later * 4 < first { Verdict::Broken } else { Verdict::Held }
}

/// Number of requests that are answered with success.
fn served(system: &System, record: &Record, method: &str, path: &str, requests: usize) -> usize {
    let mut served = 0;
    for n in 0..requests {
        let mut client = Client::new(system.frontend(n % MACHINES));
        let id = format!("{}-{n}", path.trim_matches('/').replace('/', "-"));
        let outcome = client.send(method, path, &id, &[], 4000);
        record.note(&format!("{id}: {outcome:?}"));
        served += usize::from(outcome == Outcome::Answered(200));
        thread::sleep(Duration::from_millis(20));
    }
    served
}
