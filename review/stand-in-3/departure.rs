//! A server that leaves: what its cases have in common.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::server::{Run, Server};
use crate::system::{HEARTBEAT, System, ZONES};
use crate::traffic::Traffic;

/// Time for which the server goes on serving after it has left.
const LINGER: Duration = Duration::from_secs(10);

/// Time by which the clocks of a judgement may be off.
const MARGIN: Duration = Duration::from_millis(100);

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"status","Hostname":"shop.example","PathPrefix":"/orders/","Type":"safe","TimeoutMs":2000,"GoalMs":300,"Prio":2,"Backend":"orders","MaxAttempts":2,"Public":true}],"Backends":[{"Name":"orders","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Number of servers: one of them is the share of servers that leave, or whose health check is false.
const SERVERS: usize = 10;

/// Clients of each entry that has some from the start.
const CLIENTS: usize = 6;

/// Clients of the third entry, which begin at the same moment.
const LATER_CLIENTS: usize = 20;

/// A deployment of three hosts and ten servers, one of which is about to leave. Clients send to the
/// entries of the first two hosts; that of the third one has no clients yet.
pub struct Deployment {
    pub system: System,
    pub controls: Vec<SocketAddr>,
    pub traffic: Traffic,
    pub leaver: Arc<Server>,
    record: Arc<Record>,
}

impl Deployment {
    /// Starts everything, and waits until the server gets requests; `None` if it does not.
    pub fn start(folder: &std::path::Path, record: &Arc<Record>) -> Option<Self> {
        let system = System::start(folder, 3);
        if !system.put_config(CONFIG, record) || !system.wait_ready() {
            record.say("the system did not start");
            return None;
        }
        let controls: Vec<_> = (0..system.hosts()).map(|host| system.control(host)).collect();
        let start = |number: usize| {
            let (id, zone) = (format!("i-{number}"), ZONES[number % ZONES.len()]);
            let (addr, work) = (system.server(number), Duration::from_millis(5));
            let server = Server::start(&id, "orders", zone, addr, work, 800, Arc::clone(record));
            let mut order = controls.clone();
            order.rotate_left(number % controls.len());
            server.announce(order, HEARTBEAT);
            server
        };
        let servers: Vec<_> = (0..SERVERS).map(start).collect();
        sleep(Duration::from_secs(1));
        let mut traffic = Traffic::new();
        for host in 0..2 {
            traffic.add(system.frontend(host), CLIENTS, record);
        }
        sleep(Duration::from_secs(6));
        let leaver = Arc::clone(&servers[0]);
        if leaver.runs().is_empty() {
            record.say("the server got no requests before it left");
            return None;
        }
        Some(Self { system, controls, traffic, leaver, record: Arc::clone(record) })
    }

    /// Lets clients send to the entry of the third host too.
    pub fn add_clients(&mut self) {
        self.traffic.add(self.system.frontend(2), LATER_CLIENTS, &self.record);
    }

    /// Waits until the server exits, and returns whether it ran requests that were sent later than
    /// `allowed_until`; `acked` is when its departure was acknowledged.
    pub fn is_broken(self, acked: Duration, allowed_until: Duration) -> bool {
        sleep((acked + LINGER).saturating_sub(self.record.now()));
        let sent = self.traffic.finish();
        let limit = allowed_until + MARGIN;
        let is_late = |run: &&Run| sent.get(&run.attempt).is_some_and(|at| *at > limit);
        let runs = self.leaver.runs();
        let late: Vec<&Run> = runs.iter().filter(is_late).collect();
        let last = runs.last().map_or(Duration::ZERO, |run| run.at).saturating_sub(acked);
        self.record.say(&format!(
            "i-0 ran {} requests, the last one {:.3} s after its departure was acknowledged; {} were sent \
             later than allowed (after {:.3} s)",
            runs.len(),
            last.as_secs_f64(),
            late.len(),
            limit.as_secs_f64()
        ));
        for run in &late {
            self.record.say(&format!("i-0 ran {} at {:.3} s", run.attempt, run.at.as_secs_f64()));
        }
        !late.is_empty()
    }
}
