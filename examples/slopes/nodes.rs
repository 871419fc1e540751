//! Emulates many nodes in one process that synchronize with control as entries and agents do.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bitternlead::control_client::ControlClient;
use bitternlead::wire::envelope::Body;
use bitternlead::wire::link::LinkConfig;
use bitternlead::wire::{EndpointReport, Envelope, Load, Sync, SyncReply};
use prost::Message;
use tokio_util::sync::CancellationToken;

/// Traffic between control and all nodes of one role.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Number of completed calls.
    pub calls: AtomicU64,
    /// Bytes sent to control, including frames.
    pub tx: AtomicU64,
    /// Bytes received from control, including frames.
    pub rx: AtomicU64,
}

/// Running emulated nodes; they stop when dropped.
pub struct EmulatedNodes {
    /// Traffic of all entries.
    pub entries: Arc<Traffic>,
    /// Traffic of all agents.
    pub agents: Arc<Traffic>,
    /// Configuration version that each node has received, by node number.
    pub config_versions: Arc<parking_lot::Mutex<BTreeMap<usize, u64>>>,
    cx: CancellationToken,
}

/// Bytes of a frame in addition to its message: the length field and the packet headers.
const FRAME_OVERHEAD_BYTES: u64 = 4 + 40;

/// Starts nodes on the current runtime: one in ten is an entry, the others are agents with two
/// endpoints each.
pub fn start(count: usize, control_addrs: Vec<SocketAddr>) -> EmulatedNodes {
    let cx = CancellationToken::new();
    let nodes = EmulatedNodes {
        entries: Arc::default(),
        agents: Arc::default(),
        config_versions: Arc::default(),
        cx: cx.clone(),
    };
    for number in 0..count {
        let is_entry = number % 10 == 0;
        let traffic = if is_entry { &nodes.entries } else { &nodes.agents };
        let (traffic, config_versions) = (Arc::clone(traffic), Arc::clone(&nodes.config_versions));
        let (control_addrs, cx) = (control_addrs.clone(), cx.clone());
        tokio::spawn(async move {
            let node = run_node(number, is_entry, control_addrs, traffic, config_versions);
            tokio::select! {
                () = cx.cancelled() => {}
                () = node => {}
            }
        });
    }
    nodes
}

impl Drop for EmulatedNodes {
    fn drop(&mut self) {
        self.cx.cancel();
    }
}

/// Builds the report of an agent on one of its endpoints.
fn build_report(number: usize, index: usize) -> EndpointReport {
    let name = format!("e{}", number * 2 + index);
    let load = Load {
        endpoint: name.clone(),
        running: 3,
        kv_reserved: 90_000,
        kv_capacity: 450_000,
        prefill_rate: 30_000.0,
        ..Load::default()
    };
    let models = vec![format!("model-{}", number % 37)];
    EndpointReport { name, load: Some(load), models, fit: true, ..EndpointReport::default() }
}

/// Synchronizes with control until cancelled; failed calls are repeated and not counted.
async fn run_node(
    number: usize,
    is_entry: bool,
    control_addrs: Vec<SocketAddr>,
    traffic: Arc<Traffic>,
    config_versions: Arc<parking_lot::Mutex<BTreeMap<usize, u64>>>,
) {
    let node = format!("node-{number}");
    let role = if is_entry { "entry" } else { "agent" };
    let cfg = LinkConfig { node: node.clone(), role: role.into(), ..LinkConfig::default() };
    let client = ControlClient::new(control_addrs, cfg, CancellationToken::new());
    let mut sync = Sync {
        node,
        role: role.into(),
        zone: format!("zone-{}", number % 4),
        incarnation: 1,
        address: format!("127.0.0.1:{}", 1 + number),
        hold_ms: 1000,
        wants_members: is_entry,
        ..Sync::default()
    };
    if !is_entry {
        sync.endpoints = (0..2).map(|index| build_report(number, index)).collect();
    }
    loop {
        let body = Body::Sync(sync.clone());
        let request_bytes = Envelope { call: 1, body: Some(body.clone()) }.encoded_len() as u64;
        let Ok(Body::SyncReply(reply)) = client.call(body, Duration::from_secs(5)).await else {
            continue;
        };
        record_versions(&mut sync, &reply);
        config_versions.lock().insert(number, reply.config_version);
        let reply_bytes =
            Envelope { call: 1, body: Some(Body::SyncReply(reply)) }.encoded_len() as u64;
        traffic.calls.fetch_add(1, Ordering::Relaxed);
        traffic.tx.fetch_add(request_bytes + FRAME_OVERHEAD_BYTES, Ordering::Relaxed);
        traffic.rx.fetch_add(reply_bytes + FRAME_OVERHEAD_BYTES, Ordering::Relaxed);
    }
}

/// Takes the versions of a reply into the next request, so that control sends only changes.
fn record_versions(sync: &mut Sync, reply: &SyncReply) {
    sync.config_version = reply.config_version;
    if reply.members_term != 0 {
        sync.members_term = reply.members_term;
        sync.members_version = reply.members_version;
    }
}
