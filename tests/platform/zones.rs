//! A deployment with servers in two availability zones, and load on its entries.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use jiff::Timestamp;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::deployment::{Deployment, ask, call, id_of, plain, wait_until};
use crate::servers::{Records, Server};

/// A deployment in `zone-a`, with an engine and an order server in each of `zone-b` and `zone-c`.
/// Entries prefer neither of the two zones.
pub struct Fixture {
    pub nodes: Deployment,
    pub records: Records,
    pub servers: Vec<Server>,
}

impl Fixture {
    pub async fn start(controls: usize, entries: usize) -> Self {
        let mut nodes = Deployment::start(controls, entries).await;
        let document = nodes.document();
        nodes.put(&document).await;
        let records = Records::default();
        let mut fixture = Self { nodes, records, servers: vec![] };
        for (at, zone) in ["zone-c", "zone-b"].into_iter().enumerate() {
            fixture.add_server(zone, &format!("engine-{zone}"), "engines", at).await;
            fixture.add_server(zone, &format!("order-{zone}"), "orders", 10 + at).await;
        }
        for entry in 0..entries {
            fixture.nodes.wait_serving(entry).await;
            fixture.wait_used(entry, "order-zone-b").await;
        }
        fixture
    }

    /// Changes the document and waits until the first entry has it in force.
    pub async fn change_document(&mut self, change: impl FnOnce(&mut Value)) {
        let mut document = self.nodes.document();
        change(&mut document);
        self.nodes.put(&document).await;
        let version = document["Version"].as_u64();
        wait_until("the document in force", async || {
            let lines = self.nodes.entries[0].log_lines("E402");
            lines.iter().any(|l| l["version"].as_u64() == version)
        })
        .await;
    }

    pub async fn add_server(
        &mut self,
        zone: &'static str,
        id: &str,
        service: &'static str,
        at: usize,
    ) {
        let control = (0..self.nodes.controls.len()).map(|c| self.nodes.operators_address(c));
        let (addr, control) = (self.nodes.server_address(at), control.collect());
        let server = Server::start_in(zone, id, service, addr, control, &self.records).await;
        self.servers.push(server);
    }

    /// Kills all engines, and waits until nothing listens at their addresses: a connection that is
    /// accepted before that is lost with a request that may have run.
    pub async fn kill_engines(&mut self) {
        let is_engine = |s: &Server| s.id.starts_with("engine");
        let killed: Vec<Server> = self.servers.extract_if(.., |s| is_engine(s)).collect();
        let addrs: Vec<SocketAddr> = killed.iter().map(|s| s.addr).collect();
        drop(killed);
        for addr in addrs {
            wait_until("an engine that refuses connections", async || {
                let refused = TcpStream::connect(addr).await.err();
                refused.is_some_and(|e| e.kind() == ErrorKind::ConnectionRefused)
            })
            .await;
        }
    }

    /// Waits until an entry sends requests to a server.
    pub async fn wait_used(&self, entry: usize, server: &str) {
        wait_until("an entry that sends to a server", async || {
            let path = if server.starts_with("engine") { "/ask/x" } else { "/book/status/x" };
            let req =
                if server.starts_with("engine") { ask(path, 900) } else { plain("GET", path) };
            let id = id_of(&req);
            let _ = self.nodes.send(entry, req).await;
            self.records.of(&id).iter().any(|r| r.server == server)
        })
        .await;
    }

    /// When the last request arrived at a server of a zone.
    pub fn last_arrival(&self, zone: &str) -> Option<Instant> {
        let runs = self.records.runs.lock();
        runs.iter().filter(|r| r.server.ends_with(zone)).map(|r| r.at).max()
    }

    /// Milliseconds from a time until an entry applied its newest change of drained zones, by its log.
    pub fn applied_after(&self, entry: usize, since: Timestamp) -> i64 {
        let lines = self.nodes.entries[entry].log_lines("E411");
        let newest = lines.last().expect("a change")["ts"].as_str().unwrap().to_owned();
        newest.parse::<Timestamp>().unwrap().as_millisecond() - since.as_millisecond()
    }

    /// Number of requests that arrived at servers of a zone after a time.
    pub fn arrivals(&self, zone: &str, after: Instant) -> usize {
        let runs = self.records.runs.lock();
        runs.iter().filter(|r| r.server.ends_with(zone) && r.at > after).count()
    }

    /// Sends requests to an entry and asserts that they are answered, by servers outside of a zone.
    pub async fn assert_avoids(&self, entry: usize, zone: &str) {
        let start = Instant::now();
        for _ in 0..12 {
            let (status, _, body) = self.nodes.send(entry, plain("GET", "/book/status/x")).await;
            assert_eq!(status, 200, "{body:?}");
            let (status, _, body) = self.nodes.send(entry, ask("/ask/x", 900)).await;
            assert_eq!(status, 200, "{body:?}");
        }
        assert_eq!(self.arrivals(zone, start), 0, "entry {entry} sends to {zone}");
    }

    /// Sends requests to all entries until the load is dropped.
    pub fn start_load(&self) -> Load {
        let entries = 0..self.nodes.entries.len();
        let tasks =
            entries.map(|entry| tokio::spawn(send_always(self.nodes.callers_address(entry))));
        Load(tasks.collect())
    }
}

/// Tasks that send requests; ended when dropped.
pub struct Load(Vec<JoinHandle<()>>);

impl Drop for Load {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

async fn send_always(entry: SocketAddr) {
    loop {
        for req in [plain("GET", "/book/status/x"), ask("/ask/x", 900)] {
            tokio::spawn(async move {
                if let Ok(answer) = call(entry, req).await {
                    let _ = answer.into_body().collect().await;
                }
            });
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
