//! A server says that it is gone, and the machine that has acknowledged that loses power at once.
//! No other process has heard of it, and the server goes on to get requests.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::call;
use crate::record::Record;
use crate::server::Server;
use crate::system::{CONTACT, Client, DRAIN, MACHINES, System, config, route};

/// Time for which the machine is down: the longest of `after_ack_kill` on the site.
const DOWN: Duration = Duration::from_millis(3400);

/// Time between the server's last heartbeat and its departure.
const AFTER_BEAT: Duration = Duration::from_millis(200);

/// Margin at the begin of the time that is judged.
const MARGIN: Duration = Duration::from_millis(50);

const CLIENTS_PER_MACHINE: usize = 4;
const PAUSE: Duration = Duration::from_millis(25);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let system = Arc::new(System::start());
    let routes = [route("order-status", "safe", "orders-app", 2)];
    system.put_config(&config(1, &routes, &["orders-app"]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let servers: Vec<_> =
        (0..3).map(|n| Server::start(&system, n, "orders-app", &runs, record)).collect();
    system.wait_serving("/order-status/x");
    let lost = system.find_follower();
    let others: Vec<usize> = (0..MACHINES).filter(|m| *m != lost).collect();
    let leaving = Arc::clone(&servers[others[0]]);
    leaving.call_first(lost);
    let sent_at = Arc::new(Mutex::new(HashMap::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for machine in others {
        for n in 0..CLIENTS_PER_MACHINE {
            let (system, record) = (Arc::clone(&system), record.clone());
            let (sent_at, stop) = (Arc::clone(&sent_at), Arc::clone(&stop));
            clients.push(thread::spawn(move || {
                let mut client = Client::new(system.frontend(machine));
                for at in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("status-{machine}-{n}-{at}");
                    sent_at.lock().unwrap().insert(id.clone(), record.now());
                    let outcome = client.send("GET", "/order-status/x", &id, &[], 4000);
                    record.note(&format!("{id}: {outcome:?}"));
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    thread::sleep(CONTACT + Duration::from_millis(1500));
    leaving.stop_beats();
    leaving.beat();
    thread::sleep(AFTER_BEAT);
    let path = format!("/api/instances/{}", leaving.id);
    let answer = call(system.control(lost), "DELETE", &path, "", Duration::from_secs(1));
    let acknowledged = record.now();
    if trouble {
        system.kill_machine(lost);
    }
    let (head, _) = answer.expect("the departure is answered");
    assert_eq!(head.status(), 200, "the departure is acknowledged");
    record.note(&format!("machine {lost} has acknowledged that {} is gone", leaving.id));
    thread::sleep(DOWN);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    // After a kill the machines are in touch again when ContactMs have passed.
    let from = if trouble { acknowledged + CONTACT.max(DRAIN) } else { acknowledged + DRAIN };
    let (from, until) = (from + MARGIN, acknowledged + DOWN);
    let (sent_at, runs) = (sent_at.lock().unwrap(), runs.lock().unwrap());
    let is_judged = |id: &str| sent_at.get(id).is_some_and(|at| *at > from && *at < until);
    let judged = runs.iter().filter(|run| is_judged(&run.id)).count();
    let late = runs.iter().filter(|run| run.server == leaving.id && is_judged(&run.id)).count();
    record.note(&format!(
        "of {judged} requests that ran and were sent {:.2} to {:.2} s after the confirmation, {late} \
         reached the server that was gone",
        (from - acknowledged).as_secs_f64(),
        DOWN.as_secs_f64()
    ));
    assert!(judged > 0, "no request was judged");
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
