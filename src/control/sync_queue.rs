//! Nodes that wait for news, and the leases that their answers carry.

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

/// A node's call that waits for news.
pub struct WaitingSync {
    /// The call.
    pub sync: Sync,
    /// When it arrived.
    pub since: Moment,
    /// Whether a newer run of the node has taken over.
    pub superseded: bool,
    /// Whether it was compared with the current versions before.
    pub looked: bool,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Answer<SyncReply>>,
}

/// Versions of all that a node may wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Versions {
    config: u64,
    members: u64,
    orders: u64,
    listening: bool,
}

/// All waiting calls.
pub struct SyncDesk {
    lease: Duration,
    answered: Versions,
    news: NewsCache,
    waiting: Vec<WaitingSync>,
}

/// Encoded changes up to one version, by the version that they start from.
#[derive(Debug, Default)]
struct NewsCache {
    version: Version,
    by_base: HashMap<Version, (bool, Bytes)>,
}

impl NewsCache {
    /// Whether the changes since a version are the whole configuration, and their encoding.
    fn since(&mut self, config: &ConfigRecords, base: Version) -> (bool, Bytes) {
        if self.version != config.version() {
            self.version = config.version();
            self.by_base.clear();
        }
        let encode = || {
            let news = config.changes_since(base);
            let changes = ConfigChanges { records: news.records };
            (news.full, Bytes::from(changes.encode_to_vec()))
        };
        self.by_base.entry(base).or_insert_with(encode).clone()
    }
}

impl SyncDesk {
    /// Builds an empty desk that grants leases of this length.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            answered: Versions::default(),
            news: NewsCache::default(),
            waiting: Vec::new(),
        }
    }

    /// Takes a call.
    pub fn take(&mut self, waiting: WaitingSync) {
        self.waiting.push(waiting);
    }

    /// Refuses all waiting calls.
    pub fn refuse_all(&mut self, answer: &Answer<SyncReply>) {
        for waiting in self.waiting.drain(..) {
            let _ = waiting.reply.send(answer.clone());
        }
    }

    /// Answers every call that has news or has waited for its hold time.
    pub fn answer(
        &mut self,
        now: Moment,
        confirmed: Moment,
        state: &ControlState,
        registry: &NodeRegistry,
    ) {
        let versions = Versions {
            config: state.config.version(),
            members: registry.version(),
            orders: state.orders.last_number(),
            listening: registry.is_warming_up(now),
        };
        let changed = versions != self.answered;
        self.answered = versions;
        let lease = self.lease;
        let mut still = Vec::new();
        for waiting in self.waiting.drain(..) {
            if waiting.reply.is_closed() {
                continue;
            }
            let held = now.saturating_sub(waiting.since);
            let due = held >= Duration::from_millis(waiting.sync.hold_ms);
            if waiting.looked && !changed && !due {
                still.push(waiting);
                continue;
            }
            let mut reply = build_reply(now, &waiting.sync, state, registry, &mut self.news);
            if !due && !waiting.superseded && !has_news(&waiting.sync, &reply) {
                still.push(WaitingSync { looked: true, ..waiting });
                continue;
            }
            let age = now.saturating_sub(confirmed);
            let left = lease.saturating_sub(age);
            reply.superseded = waiting.superseded;
            reply.lease_ms = if waiting.superseded { 0 } else { (held + left).as_millis() as u64 };
            let _ = waiting.reply.send(Answer::Done(reply));
        }
        self.waiting = still;
    }
}

fn has_news(sync: &Sync, reply: &SyncReply) -> bool {
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
    cache: &mut NewsCache,
) -> SyncReply {
    let mut reply = SyncReply { config_version: state.config.version(), ..SyncReply::default() };
    if reply.config_version != sync.config_version {
        (reply.config_full, reply.changes) = cache.since(&state.config, sync.config_version);
    }
    if sync.wants_members {
        reply.entries = registry.entries();
        let news = registry.members_since(now, sync.members_term, sync.members_version);
        reply.members_term = news.term;
        reply.members_version = news.version;
        reply.members_full = news.full;
        reply.members = news.members;
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
