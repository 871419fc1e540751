//! The operator: changes the configuration, and asks entries for what the changes added.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::conductor::DRAINED_ZONE;
use crate::deployment::{call, plain};
use crate::history::{AckedChange, History, Probe, ZoneDrain};

/// Routes that a large change adds.
const LARGE_CHANGE_ROUTES: u64 = 1400;

/// Number of calls after which a drain order is given up.
const MAX_DRAIN_CALLS: usize = 300;

/// Time that the operator waits for one response.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Sends changes one after the other; each adds one route that only later versions have.
#[derive(Clone)]
pub struct Operator {
    controls: Vec<SocketAddr>,
    entries: Vec<SocketAddr>,
    history: Arc<History>,
    document: Value,
    /// Newest version that was sent.
    sent: u64,
}

impl Operator {
    pub fn new(
        controls: Vec<SocketAddr>,
        entries: Vec<SocketAddr>,
        history: Arc<History>,
        document: Value,
    ) -> Self {
        Self { controls, entries, history, document, sent: 1 }
    }

    /// Changes the configuration every now and then, a fifth of the time by many routes.
    pub async fn operate(&mut self, mut rng: ChaCha8Rng, cx: CancellationToken) {
        while !cx.is_cancelled() {
            self.sent += rng.random_range(1..4);
            if rng.random_range(0..5) == 0 {
                self.history.count("large change");
                for n in 0..LARGE_CHANGE_ROUTES {
                    self.add_route(&format!("many-{}-{n}", self.sent));
                }
            }
            self.add_route(&format!("new-{}", self.sent));
            self.document["Version"] = self.sent.into();
            self.put(&mut rng, &cx).await;
            if rng.random_range(0..8) == 0 {
                self.drain_zone(&mut rng).await;
            }
            sleep(Duration::from_millis(rng.random_range(50..1500))).await;
        }
    }

    /// Drains a zone for some seconds.
    async fn drain_zone(&self, rng: &mut ChaCha8Rng) {
        if !self.order_drain(rng, Method::POST).await {
            return;
        }
        self.history.count("zone drain");
        let acked_at = Instant::now();
        sleep(Duration::from_millis(rng.random_range(1000..5000))).await;
        let until = Instant::now();
        let drain = ZoneDrain { zone: DRAINED_ZONE, acked_at, until };
        self.history.zone_drains.lock().push(drain);
        assert!(self.order_drain(rng, Method::DELETE).await, "the drain was not ended");
    }

    /// Sends a drain order to replicas until one acknowledges it; false if none did for long.
    async fn order_drain(&self, rng: &mut ChaCha8Rng, method: Method) -> bool {
        let path = format!("/api/drain/{DRAINED_ZONE}");
        let req = || {
            let req = Request::builder().method(method.clone()).uri(&path);
            req.body(Full::default()).unwrap()
        };
        for _ in 0..MAX_DRAIN_CALLS {
            let at = rng.random_range(0..self.controls.len());
            if follow(self.controls[at], req).await.is_some_and(|a| a.status() == 200) {
                return true;
            }
            sleep(Duration::from_millis(60)).await;
        }
        false
    }

    fn add_route(&mut self, name: &str) {
        let route = json!({
            "Name": name, "Hostname": "site.example", "PathPrefix": format!("/{name}/"),
            "Type": "safe", "TimeoutMs": 2000, "GoalMs": 300, "Prio": 2, "Backend": "orders",
            "MaxAttempts": 2,
        });
        self.document["Routes"].as_array_mut().unwrap().push(route);
    }

    /// Sends the document until a replica acknowledges it.
    async fn put(&self, rng: &mut ChaCha8Rng, cx: &CancellationToken) {
        let body = Bytes::from(self.document.to_string());
        while !cx.is_cancelled() {
            let at = rng.random_range(0..self.controls.len());
            let req = || Request::put("/api/config").body(Full::new(body.clone())).unwrap();
            if follow(self.controls[at], req).await.is_some_and(|a| a.status() == 200) {
                let acked = AckedChange { version: self.sent, acked_at: Instant::now() };
                self.history.acked.lock().push(acked);
                return;
            }
            sleep(Duration::from_millis(60)).await;
        }
    }

    /// Asks entries for routes that acknowledged versions added.
    pub async fn probe(self, mut rng: ChaCha8Rng, cx: CancellationToken) {
        while !cx.is_cancelled() {
            sleep(Duration::from_millis(40)).await;
            let version = {
                let acked = self.history.acked.lock();
                let newest = acked.len().saturating_sub(rng.random_range(0..4));
                acked.get(newest.wrapping_sub(1)).map(|change| change.version)
            };
            let Some(version) = version else { continue };
            let entry = rng.random_range(0..self.entries.len());
            let req = plain("GET", &format!("/new-{version}/x"));
            let sent_at = Instant::now();
            let answer = timeout(CALL_LIMIT, call(self.entries[entry], req)).await;
            let Ok(Ok(answer)) = answer else { continue };
            let status = answer.status().as_u16();
            self.history.probes.lock().push(Probe { entry, version, sent_at, status });
        }
    }

    /// Reads the configuration back; it must be the newest acknowledged one or one sent later.
    pub async fn check_read_back(&self) -> Vec<String> {
        let acked = self.history.acked.lock().last().map_or(0, |change| change.version);
        let mut findings = Vec::new();
        for addr in &self.controls {
            let req = || Request::get("/api/config").body(Full::default()).unwrap();
            let mut read = None;
            for _ in 0..40 {
                read = follow(*addr, req).await.filter(|a| a.status() == 200);
                if read.is_some() {
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
            let Some(answer) = read else {
                findings.push(format!("read back: {addr} does not answer"));
                continue;
            };
            let body = answer.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
            let document: Value = serde_json::from_slice(&body).unwrap_or_default();
            let version = document["Version"].as_u64().unwrap_or(0);
            if version < acked || (version == self.sent && document != self.document) {
                findings.push(format!("read back: version {version}, {acked} was acknowledged"));
            }
        }
        findings
    }
}

/// Sends a request and follows up to two redirects.
async fn follow(
    mut addr: SocketAddr,
    build: impl Fn() -> Request<Full<Bytes>>,
) -> Option<Response<Incoming>> {
    for _ in 0..3 {
        let answer = timeout(CALL_LIMIT, call(addr, build())).await.ok()?.ok()?;
        if answer.status() != 307 {
            return Some(answer);
        }
        let location = answer.headers().get("location")?.to_str().ok()?.to_owned();
        addr = location.trim_start_matches("http://").split('/').next()?.parse().ok()?;
    }
    None
}
