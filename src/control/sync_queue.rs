//! Long-polled syncs of nodes, and the configuration leases that the answers grant.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use tokio::sync::oneshot;

use super::config_records::ConfigRecords;
use super::core::Answer;
use super::node_registry::NodeRegistry;
use super::state::ControlState;
use crate::ids::{Moment, Version};
use crate::wire::{ConfigChanges, Order, Sync, SyncReply};

/// A sync that waits for a change or for the end of its hold time.
pub struct QueuedSync {
    /// The request of the node.
    pub sync: Sync,
    /// When the request arrived.
    pub received_at: Moment,
    /// Whether a newer run of the same node is active; the answer then grants no lease.
    pub superseded: bool,
    /// Whether a reply was built for it before. It is then not built again until a version changes.
    pub checked: bool,
    /// Channel for the answer.
    pub reply: oneshot::Sender<Answer<SyncReply>>,
}

/// Versions of everything whose change answers a queued sync.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Versions {
    config: u64,
    members: u64,
    orders: u64,
    warming_up: bool,
}

/// Queued syncs, answered when something changed for them.
pub struct SyncQueue {
    lease: Duration,
    last_answered: Versions,
    deltas: DeltaCache,
    queued: Vec<QueuedSync>,
}

/// Encoded configuration deltas that lead to one version, by the version that they start from.
///
/// Many nodes wait with the same version; each delta is encoded once for all of them.
#[derive(Debug, Default)]
struct DeltaCache {
    version: Version,
    by_base_version: HashMap<Version, (bool, Bytes)>,
}

impl DeltaCache {
    /// Whether the delta is the whole configuration, and the encoded delta.
    fn changes_since(&mut self, config: &ConfigRecords, base_version: Version) -> (bool, Bytes) {
        if self.version != config.version() {
            self.version = config.version();
            self.by_base_version.clear();
        }
        let encode = || {
            let delta = config.changes_since(base_version);
            let changes = ConfigChanges { records: delta.records };
            (delta.full, Bytes::from(changes.encode_to_vec()))
        };
        self.by_base_version.entry(base_version).or_insert_with(encode).clone()
    }
}

impl SyncQueue {
    /// Creates an empty queue whose answers grant leases of the given length.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            last_answered: Versions::default(),
            deltas: DeltaCache::default(),
            queued: Vec::new(),
        }
    }

    /// Queues a sync until the next call of [`SyncQueue::answer`].
    pub fn push(&mut self, call: QueuedSync) {
        self.queued.push(call);
    }

    /// Answers all queued syncs with `answer`, such as when the replica no longer leads.
    pub fn reject_all(&mut self, answer: &Answer<SyncReply>) {
        for queued in self.queued.drain(..) {
            let _ = queued.reply.send(answer.clone());
        }
    }

    /// Answers every sync that something changed for, whose hold time is over, or that is
    /// superseded.
    ///
    /// The lease runs from `last_quorum_ack`. The time for which the sync was queued is added,
    /// since a node counts its lease from the moment at which it sent the sync.
    pub fn answer(
        &mut self,
        now: Moment,
        last_quorum_ack: Moment,
        state: &ControlState,
        registry: &NodeRegistry,
    ) {
        let versions = Versions {
            config: state.config.version(),
            members: registry.version(),
            orders: state.orders.last_number(),
            warming_up: registry.is_warming_up(now),
        };
        let changed = versions != self.last_answered;
        self.last_answered = versions;
        let lease = self.lease;
        let mut still_queued = Vec::new();
        for queued in self.queued.drain(..) {
            if queued.reply.is_closed() {
                continue;
            }
            let waited = now.saturating_sub(queued.received_at);
            let due = waited >= Duration::from_millis(queued.sync.hold_ms);
            if queued.checked && !changed && !due {
                still_queued.push(queued);
                continue;
            }
            let mut reply = build_reply(now, &queued.sync, state, registry, &mut self.deltas);
            if !due && !queued.superseded && !has_changes(&queued.sync, &reply) {
                still_queued.push(QueuedSync { checked: true, ..queued });
                continue;
            }
            let ack_age = now.saturating_sub(last_quorum_ack);
            let remaining = lease.saturating_sub(ack_age);
            reply.superseded = queued.superseded;
            reply.lease_ms =
                if queued.superseded { 0 } else { (waited + remaining).as_millis() as u64 };
            let _ = queued.reply.send(Answer::Done(reply));
        }
        self.queued = still_queued;
    }
}

fn has_changes(sync: &Sync, reply: &SyncReply) -> bool {
    let members = sync.wants_members
        && reply.members_term != 0
        && (reply.members_term, reply.members_version) != (sync.members_term, sync.members_version);
    reply.config_version != sync.config_version || members || !reply.orders.is_empty()
}

fn build_reply(
    now: Moment,
    sync: &Sync,
    state: &ControlState,
    registry: &NodeRegistry,
    cache: &mut DeltaCache,
) -> SyncReply {
    let mut reply = SyncReply { config_version: state.config.version(), ..SyncReply::default() };
    if reply.config_version != sync.config_version {
        (reply.config_full, reply.changes) =
            cache.changes_since(&state.config, sync.config_version);
    }
    if sync.wants_members {
        reply.entries = registry.entries();
        let delta = registry.members_since(now, sync.members_term, sync.members_version);
        reply.members_term = delta.term;
        reply.members_version = delta.version;
        reply.members_full = delta.full;
        reply.members = delta.members;
    }
    for endpoint in &sync.endpoints {
        let open = state.orders.open_for(&endpoint.name);
        let is_new = |o: &Order| o.number > sync.orders_seen;
        let (new, seen): (Vec<Order>, Vec<Order>) = open.into_iter().partition(is_new);
        reply.orders.extend(new);
        reply.open_orders.extend(seen.iter().map(|o| o.number));
        reply.order_floors.push(state.orders.floor_of(&endpoint.name));
    }
    reply
}
