//! A server rejects a long request before it has read it, keeps the channel and reads on slowly.
//! The next request that is put on that channel waits without limit.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::record::Record;
use crate::server::Server;
use crate::system::{CONTACT, Client, Outcome, System, config, route};

/// `TimeoutMs` of the route and the client's time limit, as on the site for `stand-order`.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2000);
const CLIENT_LIMIT_MS: u64 = 4000;

/// Time after `TimeoutMs` at which the rule asks for an answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Size of a long request; `MaxBodyBytes` is 4,194,304.
const LONG_BODY_BYTES: usize = 4_000_000;

/// One request in this many is long: 4 in 100 of the server's answers are spoiled.
const LONG_EVERY: usize = 25;

const REQUESTS: usize = 200;

const PAUSE: Duration = Duration::from_millis(20);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let system = System::start();
    let routes = [
        route("stand-order", "unsafe", "orders-app", 1),
        route("order-status", "safe", "orders-app", 2),
    ];
    system.put_config(&config(1, &routes, &["orders-app"]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let servers: Vec<_> =
        (0..3).map(|n| Server::start(&system, n, "orders-app", &runs, record)).collect();
    system.wait_serving("/order-status/x");
    thread::sleep(CONTACT + Duration::from_millis(500));
    servers[0].early.store(trouble, Ordering::SeqCst);
    let long_body = vec![b'x'; LONG_BODY_BYTES];
    let mut client = Client::new(system.frontend(0));
    let (mut overdue, mut without_answer) = (0, 0);
    for n in 1..=REQUESTS {
        let id = format!("order-{n}");
        let body = if n % LONG_EVERY == 0 { long_body.as_slice() } else { &[b'y'; 600] };
        let sent = Instant::now();
        let outcome = client.send("POST", "/stand-order/x", &id, body, CLIENT_LIMIT_MS);
        let waited = sent.elapsed();
        record.note(&format!("{id}, {} bytes: {outcome:?} after {waited:.1?}", body.len()));
        overdue += usize::from(waited > ROUTE_TIMEOUT);
        let is_final = matches!(outcome, Outcome::Answered(_) | Outcome::Closed(_));
        let is_late = waited > ROUTE_TIMEOUT + ANSWER_SLACK;
        without_answer += usize::from(is_late || !is_final);
        thread::sleep(PAUSE);
    }
    record.note(&format!(
        "of {REQUESTS} requests {overdue} were unanswered after TimeoutMs, {without_answer} had no \
         answer half a second later"
    ));
    if without_answer * 2 > overdue { Verdict::Broken } else { Verdict::Held }
}
