//! Many nodes in one process that call control as entries and agents do.

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

/// Bytes and calls of one kind of node.
#[derive(Debug, Default)]
pub struct Traffic {
    pub calls: AtomicU64,
    pub up: AtomicU64,
    pub down: AtomicU64,
}

/// Running nodes; they end when dropped.
pub struct Nodes {
    pub entries: Arc<Traffic>,
    pub agents: Arc<Traffic>,
    pub versions: Arc<parking_lot::Mutex<BTreeMap<usize, u64>>>,
    cx: CancellationToken,
}

/// Bytes of a frame beside its message: the length and the packet headers.
const FRAME_BYTES: u64 = 4 + 40;

/// Starts nodes: one in ten is an entry, the others are agents of two endpoints each.
pub fn start(count: usize, control: Vec<SocketAddr>) -> Nodes {
    let cx = CancellationToken::new();
    let nodes = Nodes {
        entries: Arc::default(),
        agents: Arc::default(),
        versions: Arc::default(),
        cx: cx.clone(),
    };
    for number in 0..count {
        let is_entry = number % 10 == 0;
        let traffic = if is_entry { &nodes.entries } else { &nodes.agents };
        let (traffic, versions) = (Arc::clone(traffic), Arc::clone(&nodes.versions));
        let (control, cx) = (control.clone(), cx.clone());
        tokio::spawn(async move {
            let node = run_node(number, is_entry, control, traffic, versions);
            tokio::select! {
                () = cx.cancelled() => {}
                () = node => {}
            }
        });
    }
    nodes
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.cx.cancel();
    }
}

fn endpoint(number: usize, at: usize) -> EndpointReport {
    let name = format!("e{}", number * 2 + at);
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

async fn run_node(
    number: usize,
    is_entry: bool,
    control: Vec<SocketAddr>,
    traffic: Arc<Traffic>,
    versions: Arc<parking_lot::Mutex<BTreeMap<usize, u64>>>,
) {
    let node = format!("node-{number}");
    let role = if is_entry { "entry" } else { "agent" };
    let cfg = LinkConfig { node: node.clone(), role: role.into(), ..LinkConfig::default() };
    let client = ControlClient::new(control, cfg, CancellationToken::new());
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
        sync.endpoints = (0..2).map(|at| endpoint(number, at)).collect();
    }
    loop {
        let body = Body::Sync(sync.clone());
        let up = Envelope { call: 1, body: Some(body.clone()) }.encoded_len() as u64;
        let Ok(Body::SyncReply(reply)) = client.call(body, Duration::from_secs(5)).await else {
            continue;
        };
        take(&mut sync, &reply);
        versions.lock().insert(number, reply.config_version);
        let down = Envelope { call: 1, body: Some(Body::SyncReply(reply)) }.encoded_len() as u64;
        traffic.calls.fetch_add(1, Ordering::Relaxed);
        traffic.up.fetch_add(up + FRAME_BYTES, Ordering::Relaxed);
        traffic.down.fetch_add(down + FRAME_BYTES, Ordering::Relaxed);
    }
}

fn take(sync: &mut Sync, reply: &SyncReply) {
    sync.config_version = reply.config_version;
    if reply.members_term != 0 {
        sync.members_term = reply.members_term;
        sync.members_version = reply.members_version;
    }
}
