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
use crate::clock::{boot_now, duration_from_s, wall_ms};
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

/// Maximum size of the sends in one datagram in bytes; the rest is left to what else it carries.
const MAX_FLIGHT_BYTES_PER_DATAGRAM: usize = 40_000;

/// Bytes by which a send is longer within a datagram than alone.
const FLIGHT_OVERHEAD_BYTES: usize = 4;

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

    /// Passes the datagrams for every peer to `send`: the changes, or all sends to those that need
    /// them. Returns the number of bytes passed.
    ///
    /// What the datagrams of all peers have in common is encoded once, and `all` is called only if a
    /// peer needs it. A peer for which `send` returns false gets all sends with the next datagram: it
    /// would notice the loss only by the number of that.
    pub fn send_loads(
        &self,
        template: &SharedLoad,
        changes: LoadChanges,
        all: impl FnOnce() -> Vec<Flight>,
        mut send: impl FnMut(SocketAddr, &[u8]) -> bool,
    ) -> usize {
        let mut inner = self.inner.lock();
        let PeersInner { peers, highest_seq, .. } = &mut *inner;
        let needs_all = peers.values().any(|peer| peer.needs_all);
        let needs_changes = peers.values().any(|peer| !peer.needs_all);
        let all = needs_all.then(|| SharedLoad { flights: all(), ..template.clone() });
        let mut all = all.map(encode_datagrams).unwrap_or_default();
        let LoadChanges { flights, ended } = changes;
        let changed = SharedLoad { flights, ended, partial: true, ..template.clone() };
        let mut changed = if needs_changes { encode_datagrams(changed) } else { Vec::new() };
        let mut sent_bytes = 0;
        for (addr, peer) in peers {
            let datagrams = if peer.needs_all { &mut all } else { &mut changed };
            peer.needs_all = false;
            for datagram in datagrams {
                peer.seq += 1;
                let data = datagram.numbered(peer.seq);
                sent_bytes += data.len() + DATAGRAM_OVERHEAD_BYTES;
                peer.needs_all |= !send(*addr, data);
            }
            *highest_seq = (*highest_seq).max(peer.seq);
        }
        sent_bytes
    }
}

/// A datagram without its number, which differs between peers.
struct EncodedLoad {
    data: Vec<u8>,
    common_len: usize,
}

impl EncodedLoad {
    fn new(load: &SharedLoad) -> Self {
        let data = load.encode_to_vec();
        Self { common_len: data.len(), data }
    }

    /// The datagram with this number. Fields of a message may follow each other in any order.
    fn numbered(&mut self, seq: u64) -> &[u8] {
        self.data.truncate(self.common_len);
        SharedLoad { seq, ..SharedLoad::default() }
            .encode(&mut self.data)
            .expect("a vector grows as needed");
        &self.data
    }
}

/// Encodes a load in as many datagrams as it needs. All but the first one only add flights to it.
fn encode_datagrams(mut load: SharedLoad) -> Vec<EncodedLoad> {
    let flights = std::mem::take(&mut load.flights);
    let next = SharedLoad {
        node: load.node.clone(),
        incarnation: load.incarnation,
        partial: true,
        ..SharedLoad::default()
    };
    let mut datagrams = Vec::with_capacity(1);
    let (mut current, mut bytes) = (load, 0);
    for flight in flights {
        let flight_bytes = flight.encoded_len() + FLIGHT_OVERHEAD_BYTES;
        if current.flights.len() >= MAX_FLIGHTS_PER_DATAGRAM
            || bytes + flight_bytes > MAX_FLIGHT_BYTES_PER_DATAGRAM
        {
            datagrams.push(EncodedLoad::new(&std::mem::replace(&mut current, next.clone())));
            bytes = 0;
        }
        bytes += flight_bytes;
        current.flights.push(flight);
    }
    datagrams.push(EncodedLoad::new(&current));
    datagrams
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
        let busy = duration_from_s(bytes as f64 / self.bytes_per_s.max(1.0));
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
        let changes = gateway.in_flight.lock().take_changes(now);
        let evidence = gateway.report_evidence(now);
        let template = SharedLoad {
            node: gateway.cfg.node.to_string(),
            incarnation,
            limits: gateway.limits.lock().report(now),
            evidence,
            demand: gateway.queues.report(now),
            ..SharedLoad::default()
        };
        // Sends that were added meanwhile are listed, and reported again with the next changes.
        let all = || gateway.in_flight.lock().encode_local(now);
        let send = |addr, data: &[u8]| socket.try_send_to(data, addr).is_ok();
        let sent_bytes = peers.send_loads(&template, changes, all, send);
        pacer.record(now, sent_bytes);
    }
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
        gateway.queues.apply_report(now, &load);
        let outcome = gateway.in_flight.lock().apply_report(now, load);
        gateway.queues.notify_capacity();
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
