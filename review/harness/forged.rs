//! A heartbeat of another writer names a service that there is not and the address of a sound server.
//! That server gets no request any more, although its own heartbeats are acknowledged.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::call_control;
use crate::record::Record;
use crate::server::{Server, unix_ms};
use crate::system::{CONTACT, Client, MACHINES, Outcome, System, ZONES, config, route};

/// Requests on the first routes and as many on those that were added later.
const REQUESTS: usize = 60;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let system = System::start();
    let first = route("stand-order", "unsafe", "orders-app", 1);
    let later = route("order-status", "safe", "status-app", 2);
    system.put_config(&config(1, std::slice::from_ref(&first), &["orders-app", "status-app"]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let start = |n, service| Server::start(&system, n, service, &runs, record);
    let _orders: Vec<_> = (0..3).map(|n| start(n, "orders-app")).collect();
    let statuses: Vec<_> = (3..6).map(|n| start(n, "status-app")).collect();
    system.put_config(&config(2, &[first, later], &["orders-app", "status-app"]));
    system.wait_serving("/stand-order/x");
    system.wait_serving("/order-status/x");
    thread::sleep(CONTACT);
    if trouble {
        for (n, server) in statuses.iter().enumerate() {
            let body = format!(
                r#"{{"Backend":"no-such-service","Address":"{}","Zone":"{}","Version":"v1",
                "Slots":1,"State":"ready","ColdLeftMs":0,"Seq":1,"born":{}}}"#,
                server.addr,
                ZONES[n],
                unix_ms()
            );
            let path = format!("/api/instances/i-other-writer-{n}");
            let answer = call_control(system.control(n), "PUT", &path, &body);
            let status = answer.map(|(head, _)| head.status());
            record.note(&format!("a heartbeat of another writer: {status:?}"));
        }
    }
    thread::sleep(CONTACT + Duration::from_millis(2000));
    let served = |path: &str| {
        let mut served = 0;
        for n in 0..REQUESTS {
            let mut client = Client::new(system.frontend(n % MACHINES));
            let id = format!("{}-{n}", path.trim_matches('/').replace('/', "-"));
            let method = if path.contains("status") { "GET" } else { "POST" };
            let outcome = client.send(method, path, &id, &[], 4000);
            record.note(&format!("{id}: {outcome:?}"));
            served += usize::from(outcome == Outcome::Answered(200));
            thread::sleep(Duration::from_millis(20));
        }
        served
    };
    let (first, later) = (served("/stand-order/y"), served("/order-status/y"));
    record.note(&format!(
        "of {REQUESTS} requests each, {first} were served on the first route and {later} on the one \
         that was added later"
    ));
    assert!(first > 0, "the first route is not served");
    if later * 4 < first { Verdict::Broken } else { Verdict::Held }
}
