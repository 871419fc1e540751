//! Exchanges the sends in flight with other entries, in UDP datagrams.
//!
//! Each datagram carries the changes since the previous one, so that its size does not grow with
//! the number of sends in flight. A receiver that misses one asks the sender for all its sends. The
//! mean rate is bounded: under more changes than it carries, changes are combined into one datagram.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::in_flight::{LoadChanges, ReportOutcome};
use crate::clock::{boot_now, wall_ms};
use crate::event;
use crate::gateway::state::Gateway;
use crate::ids::Moment;
use crate::wire::{Flight, SharedLoad};

/// Delay in which further changes are combined into one datagram.
const COALESCE_DELAY: Duration = Duration::from_millis(2);

/// How far the datagrams may run ahead of the mean rate. A report to all entries can take a large
/// part of it; if each report waited until the mean was reached, all loads would be old.
const MAX_BURST_TIME: Duration = Duration::from_millis(300);

/// Interval at which a datagram is sent even if nothing changed, so that a lost one is noticed and
/// the load does not expire.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two requests to the same entry for all its sends.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of sends in one datagram.
const MAX_FLIGHTS_PER_DATAGRAM: usize = 200;

/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Bytes that the network adds to each datagram.
const DATAGRAM_OVERHEAD_BYTES: usize = 28;

#[derive(Clone, Copy, Debug)]
struct Peer {
    /// Number of the last datagram.
    seq: u64,
    /// Whether the next datagram lists all sends.
    needs_all: bool,
}

/// The other entries, by the address at which they receive load.
#[derive(Default)]
pub struct LoadPeers {
    inner: Mutex<PeersInner>,
}

#[derive(Default)]
struct PeersInner {
    /// Addresses as each control replica listed them last.
    listed: HashMap<SocketAddr, Vec<SocketAddr>>,
    peers: HashMap<SocketAddr, Peer>,
    /// Highest number of a datagram to any entry. An entry that is listed again continues after
    /// it, since its datagrams from before have lower numbers.
    highest_seq: u64,
}

impl LoadPeers {
    /// Applies the list of a control replica; `own` is left out. The peers are those that any
    /// replica lists. New ones get all sends with the next datagram.
    pub fn replace(&self, control: SocketAddr, listed: &[String], own: SocketAddr) {
        let mut inner = self.inner.lock();
        let addresses = listed.iter().filter_map(|a| a.parse().ok()).filter(|a| *a != own);
        inner.listed.insert(control, addresses.collect());
        inner.merge();
    }

    /// Drops the list of a control replica that is no longer connected, unless it is the only one.
    pub fn forget(&self, control: SocketAddr) {
        let mut inner = self.inner.lock();
        if inner.listed.len() > 1 {
            inner.listed.remove(&control);
            inner.merge();
        }
    }

    /// Addresses that load is sent to.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.inner.lock().peers.keys().copied().collect()
    }

    /// Makes the next datagram to this entry list all sends. Unknown addresses are ignored.
    pub fn request_all(&self, addr: SocketAddr) {
        if let Some(peer) = self.inner.lock().peers.get_mut(&addr) {
            peer.needs_all = true;
        }
    }

    /// Builds the datagrams for every peer: the changes, or all sends to those that need them.
    pub fn build_loads(
        &self,
        template: &SharedLoad,
        changes: &LoadChanges,
        all: &[Flight],
    ) -> Vec<(SocketAddr, SharedLoad)> {
        let mut inner = self.inner.lock();
        let mut loads = Vec::with_capacity(inner.peers.len());
        for (addr, peer) in &mut inner.peers {
            let built = build_loads_for(template, peer, changes, all);
            loads.extend(built.into_iter().map(|load| (*addr, load)));
        }
        inner.highest_seq = loads.iter().map(|(_, l)| l.seq).fold(inner.highest_seq, u64::max);
        loads
    }
}

impl PeersInner {
    fn merge(&mut self) {
        let addresses: HashSet<SocketAddr> = self.listed.values().flatten().copied().collect();
        self.peers.retain(|addr, _| addresses.contains(addr));
        for addr in addresses {
            let new = Peer { seq: self.highest_seq, needs_all: true };
            self.peers.entry(addr).or_insert(new);
        }
    }
}

/// Bounds the mean rate of datagrams, and the bytes that are sent at once.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::gateway::load::load_exchange::SendPacer;
///
/// let mut pacer = SendPacer::new(10_000.0);
/// let now = Duration::from_secs(5);
/// pacer.record(now, 3_000);
/// assert_eq!(pacer.delay(now), Duration::from_millis(2), "a burst is sent at once");
/// pacer.record(now, 1_000);
/// assert_eq!(pacer.delay(now), Duration::from_millis(100));
/// ```
#[derive(Clone, Debug)]
pub struct SendPacer {
    bytes_per_s: f64,
    /// Time at which the mean rate would be reached with what was sent so far.
    paid_at: Moment,
}

impl SendPacer {
    /// Builds a pacer for this rate in bytes per second.
    pub fn new(bytes_per_s: f64) -> Self {
        Self { bytes_per_s, paid_at: Moment::ZERO }
    }

    /// Time until the next datagrams may be sent.
    pub fn delay(&self, now: Moment) -> Duration {
        self.paid_at.saturating_sub(now).saturating_sub(MAX_BURST_TIME).max(COALESCE_DELAY)
    }

    /// Records that this many bytes were sent.
    pub fn record(&mut self, now: Moment, bytes: usize) {
        let busy = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s.max(1.0));
        self.paid_at = self.paid_at.max(now) + busy;
    }
}

/// Sends this entry's load to the other entries whenever it changes.
pub async fn send_load(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    peers: Arc<LoadPeers>,
    cx: CancellationToken,
) {
    let incarnation = wall_ms();
    let mut pacer = SendPacer::new(gateway.cfg.load_bytes_per_s);
    while !cx.is_cancelled() {
        let _ = timeout(KEEPALIVE_INTERVAL, gateway.load_changed.notified()).await;
        sleep(pacer.delay(boot_now())).await;
        let now = boot_now();
        let (changes, all) = {
            let mut in_flight = gateway.in_flight.lock();
            (in_flight.take_changes(now), in_flight.encode_local(now))
        };
        let evidence = gateway.report_evidence(now);
        let template = SharedLoad {
            node: gateway.cfg.node.to_string(),
            incarnation,
            limits: gateway.limits.lock().report(now),
            evidence,
            ..SharedLoad::default()
        };
        let mut sent_bytes = 0;
        for (addr, load) in peers.build_loads(&template, &changes, &all) {
            let data = load.encode_to_vec();
            sent_bytes += data.len() + DATAGRAM_OVERHEAD_BYTES;
            // The receiver would notice the loss only by the number of the next datagram.
            if socket.try_send_to(&data, addr).is_err() {
                peers.request_all(addr);
            }
        }
        pacer.record(now, sent_bytes);
    }
}

fn build_loads_for(
    template: &SharedLoad,
    peer: &mut Peer,
    changes: &LoadChanges,
    all: &[Flight],
) -> Vec<SharedLoad> {
    let needs_all = std::mem::take(&mut peer.needs_all);
    let flights = if needs_all { all } else { &changes.flights };
    let chunk_count = flights.len().div_ceil(MAX_FLIGHTS_PER_DATAGRAM).max(1);
    let chunk = |number: usize| {
        let rest = &flights[number * MAX_FLIGHTS_PER_DATAGRAM..];
        let is_first = number == 0;
        peer.seq += 1;
        SharedLoad {
            seq: peer.seq,
            partial: !(needs_all && is_first),
            flights: rest[..rest.len().min(MAX_FLIGHTS_PER_DATAGRAM)].to_vec(),
            ended: if is_first && !needs_all { changes.ended.clone() } else { Vec::new() },
            evidence: if is_first { template.evidence.clone() } else { Vec::new() },
            ..template.clone()
        }
    };
    (0..chunk_count).map(chunk).collect()
}

/// Receives the load of other entries and their requests for all sends.
pub async fn receive_load(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    peers: Arc<LoadPeers>,
    cx: CancellationToken,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut requested_at: HashMap<SocketAddr, Moment> = HashMap::new();
    loop {
        let received = tokio::select! {
            () = cx.cancelled() => return,
            received = socket.recv_from(&mut buf) => received,
        };
        let Ok((len, from)) = received else { continue };
        let Ok(load) = SharedLoad::decode(&buf[..len]) else { continue };
        if load.resend {
            peers.request_all(from);
            gateway.load_changed.notify_one();
            continue;
        }
        let now = boot_now();
        let (node, seq) = (load.node.clone(), load.seq);
        let changes =
            gateway.limits.lock().apply_report(now, &node, load.incarnation, &load.limits);
        for (id, change) in changes {
            gateway.log_limit(&id, change, &node);
        }
        if gateway.cfg.policy.pooled_evidence {
            let avoided = gateway.pooled_evidence.lock().apply_report(now, &node, &load.evidence);
            for (id, time) in avoided {
                event!(gateway.log, EndpointAvoided, "endpoint" => id.as_str(),
                    "from" => node.as_str(), "ms" => time.as_millis() as u64);
            }
        }
        let outcome = gateway.in_flight.lock().apply_report(now, load);
        if outcome != ReportOutcome::Incomplete {
            continue;
        }
        let requested = requested_at.get(&from);
        if requested.is_some_and(|at| now.saturating_sub(*at) < RESEND_INTERVAL) {
            continue;
        }
        requested_at.insert(from, now);
        event!(gateway.log, LoadReportMissed, "peer" => node, "seq" => seq);
        let own_node = gateway.cfg.node.to_string();
        let req = SharedLoad { node: own_node, resend: true, ..SharedLoad::default() };
        // A request that is lost is repeated with the next report.
        let _ = socket.try_send_to(&req.encode_to_vec(), from);
    }
}
