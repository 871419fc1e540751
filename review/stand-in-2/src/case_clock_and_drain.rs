//! A server goes down and up by turns under its id. The clock of its machine jumps back meanwhile, so
//! that its last start names an earlier time than the one before. Then the server is taken away: it
//! reports that it is draining, which is confirmed, and serves on for a while.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::deployment::{Bounds, Deployment};
use crate::record::{elapsed_s, line};
use crate::server::{Arrivals, Server};
use crate::{http, operator, Unusable, Verdict};

const BOUNDS: Bounds = Bounds {
    machines: 2,
    contact_ms: 4000,
    ack_ms: 5000,
    catch_up_s: 6,
    drain_ms: 2500,
    grace_s: 8,
    config_apply_ms: 2500,
    recover_s: 15,
};

const CLIENTS: usize = 4;
/// The server is up and down by turns, with this period.
const PERIOD: Duration = Duration::from_millis(1400);
const DOWN_TIME: Duration = Duration::from_millis(400);
/// Number of starts before the clock jumps.
const STARTS: usize = 3;
/// Jump of the clock: back.
const JUMP_MS: i64 = -3770;
/// Time for which the server serves after `DrainMs`.
const LINGER: Duration = Duration::from_secs(2);

pub fn run(trouble: bool) -> Result<Verdict, Unusable> {
    let mut nodes = Deployment::new(5, BOUNDS)?;
    for at in 0..5 {
        nodes.start(at, "control", true)?;
    }
    let entries: Vec<usize> = (0..2).map(|at| nodes.add_machine(at)).collect::<Result<_, _>>()?;
    for at in &entries {
        nodes.start(*at, "entry", true)?;
    }
    let controls: Vec<_> = (0..5).map(|at| nodes.control(at)).collect();
    operator::put(&controls, &operator::document(3, "/orders/"), Duration::from_secs(20))?;
    let (arrivals, others) = (Arrivals::default(), Arrivals::default());
    let other_ip = nodes.machines[1].ip;
    let _other = Server::start("i-other", "orders", (other_ip, 0), &controls, 0, &others)?;
    sleep(Duration::from_millis(BOUNDS.contact_ms));

    let stopped = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let node = nodes.frontend(entries[client % entries.len()]);
            let (stopped, sent) = (Arc::clone(&stopped), Arc::clone(&sent));
            thread::spawn(move || {
                for number in 0.. {
                    if stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    let attempt = format!("{client:04x}{number:012x}");
                    let headers = format!(
                        "Host: shop.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 4000\r\n"
                    );
                    let sent_at_s = elapsed_s();
                    let limit = Duration::from_secs(4);
                    let answer = http::call(node, "POST", "/orders/x", &headers, b"{}", limit);
                    let status = answer.map(|a| a.status);
                    sent.lock().unwrap().push((attempt, sent_at_s, status));
                    sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();

    let (mut addr, mut server) = ((nodes.machines[0].ip, 0), None);
    for start in 0..=STARTS {
        let clock_ms = if trouble && start == STARTS { JUMP_MS } else { 0 };
        let started = Server::start("i-flapping", "orders", addr, &controls, clock_ms, &arrivals)?;
        addr.1 = started.addr().port();
        if start < STARTS {
            sleep(PERIOD - DOWN_TIME);
            started.end();
            sleep(DOWN_TIME);
        }
        server = Some(started);
    }
    let server = server.ok_or("no server")?;
    sleep(Duration::from_millis(100));
    server.drain()?;
    let confirmed_s = elapsed_s();
    sleep(Duration::from_millis(BOUNDS.drain_ms) + LINGER);
    server.end();
    sleep(Duration::from_secs(1));
    stopped.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let (arrivals, sent) = (arrivals.lock().unwrap(), sent.lock().unwrap());
    let drain_s = BOUNDS.drain_ms as f64 / 1000.0;
    let mut late = 0;
    for arrival in arrivals.iter().filter(|a| a.at_s > confirmed_s) {
        let Some((_, sent_at_s, status)) = sent.iter().find(|s| s.0 == arrival.attempt) else {
            continue;
        };
        let is_late = arrival.at_s > confirmed_s + drain_s && *sent_at_s > confirmed_s;
        late += usize::from(is_late);
        line(&format!(
            "order {} reached the server {:.3} s after the confirmation; done: {}, answered with {status:?}{}",
            arrival.attempt,
            arrival.at_s - confirmed_s,
            arrival.is_done,
            if is_late { "; later than DrainMs" } else { "" }
        ));
    }
    let before = arrivals.iter().filter(|a| a.at_s < confirmed_s).count();
    if before == 0 {
        return Err("the server was never used".into());
    }
    line(&format!("{late} orders reached the server later than DrainMs after the confirmation"));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
