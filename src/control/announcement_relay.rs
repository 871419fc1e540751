//! Forwards announcements of endpoints from the replica that received them to the others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use super::acknowledgements::AckSender;
use super::core_config::Published;
use super::departure_relay::{Departure, deliver_departures};
use super::packing::pack_announcements;
use super::replica_link::ReplicaLink;
use crate::clock::boot_now;
use crate::directory::{age_cold_time, equal_except_countdown};
use crate::ids::Moment;
use crate::wire::envelope::Body;
use crate::wire::link::LinkConfig;
use crate::wire::{Announcement, Standing};

/// Time for which announcements to another replica are gathered, so that they share a write. It is
/// part of the time in which a change of an endpoint's state reaches all entries.
const RELAY_DELAY: Duration = Duration::from_millis(15);

/// Time for which announcements are gathered that repeat the previous one. They only have to arrive
/// within the silence timeout of the other replicas, and larger batches compress better.
const REPEAT_RELAY_DELAY: Duration = Duration::from_millis(150);

/// Number of announcements that may wait for the link to one replica: those of 3,000 endpoints within
/// 100 ms.
const MAX_QUEUED_RELAYS: usize = 256;

/// Maximum number of announcements in one batch, which bounds the size of its frame.
const MAX_BATCH: usize = 1_024;

/// Number of endpoints whose last announcement is remembered; beyond it, all are forgotten, so that
/// the next announcement of each is relayed like a change.
const MAX_REMEMBERED_ENDPOINTS: usize = 16_384;

/// An announcement for the other replicas.
pub struct RelayedAnnouncement {
    /// What an endpoint said to this replica.
    pub announcement: Announcement,
    /// Takes the acknowledgements of other replicas, if it needs them.
    pub ack: Option<AckSender>,
}

impl From<Announcement> for RelayedAnnouncement {
    /// An announcement that nobody waits for.
    fn from(announcement: Announcement) -> Self {
        Self { announcement, ack: None }
    }
}

/// An announcement on its way to another replica.
#[derive(Clone)]
struct QueuedAnnouncement {
    received_at: Moment,
    delay: Duration,
    announcement: Announcement,
}

/// Queues to one other replica.
struct ReplicaQueues {
    /// Announcements that their endpoints repeat.
    repeated: mpsc::Sender<QueuedAnnouncement>,
    departures: mpsc::UnboundedSender<Departure>,
}

impl ReplicaQueues {
    /// Starts the tasks that empty the queues over one link.
    fn start(addr: SocketAddr, cfg: LinkConfig, cx: CancellationToken) -> Self {
        let link = Arc::new(ReplicaLink::new(addr, cfg, cx));
        let (repeated, rx) = mpsc::channel(MAX_QUEUED_RELAYS);
        tokio::spawn(relay_to_replica(Arc::clone(&link), rx));
        let (departures, rx) = mpsc::unbounded_channel();
        tokio::spawn(deliver_departures(link, rx));
        Self { repeated, departures }
    }
}

/// Forwards announcements to all other replicas, with one link for each.
///
/// Announcements that need acknowledgements are sent until they are acknowledged. Others that find a full queue or
/// no connection are dropped; endpoints repeat them.
pub async fn relay_announcements(
    mut rx: mpsc::UnboundedReceiver<RelayedAnnouncement>,
    published: watch::Receiver<Published>,
    own: String,
    cfg: LinkConfig,
    cx: CancellationToken,
) {
    let mut queues: HashMap<SocketAddr, ReplicaQueues> = HashMap::new();
    let mut previous: HashMap<String, Announcement> = HashMap::new();
    while let Some(RelayedAnnouncement { announcement, ack }) = rx.recv().await {
        let received_at = boot_now();
        let is_repeat = is_repeat(&mut previous, &announcement);
        let delay = if is_repeat { REPEAT_RELAY_DELAY } else { RELAY_DELAY };
        let others = other_replicas(&published.borrow(), &own);
        queues.retain(|addr, _| others.contains(addr));
        for addr in others {
            let queues = queues
                .entry(addr)
                .or_insert_with(|| ReplicaQueues::start(addr, cfg.clone(), cx.clone()));
            let announcement = announcement.clone();
            if let Some(ack) = ack.clone() {
                let _ = queues.departures.send(Departure { announcement, received_at, ack });
            } else {
                let queued = QueuedAnnouncement { received_at, delay, announcement };
                let _ = queues.repeated.try_send(queued);
            }
        }
    }
}

fn other_replicas(published: &Published, own: &str) -> Vec<SocketAddr> {
    let others = published.replicas.iter().filter(|replica| replica.address != own);
    others.filter_map(|replica| replica.address.parse().ok()).collect()
}

/// Whether an announcement says the same as the previous one of its endpoint, which it replaces. An
/// announcement of a cold endpoint never counts as a repetition, since its remaining cold time changes.
fn is_repeat(previous: &mut HashMap<String, Announcement>, announcement: &Announcement) -> bool {
    if previous.len() >= MAX_REMEMBERED_ENDPOINTS {
        previous.clear();
    }
    if announcement.standing() == Standing::Gone || announcement.cold_ms > 0 {
        previous.remove(&announcement.id);
        return false;
    }
    match previous.get(&announcement.id) {
        Some(known) if equal_except_countdown(known, announcement) => true,
        _ => {
            previous.insert(announcement.id.clone(), announcement.clone());
            false
        }
    }
}

async fn relay_to_replica(link: Arc<ReplicaLink>, mut rx: mpsc::Receiver<QueuedAnnouncement>) {
    while let Some(first) = rx.recv().await {
        let Some(link) = link.connected().await else { continue };
        let batch = gather(first, &mut rx).await;
        let packed = if link.peer().reads_packed { pack_announcements(&batch) } else { None };
        match packed {
            Some(packed) => {
                link.try_send(Body::PackedAnnouncements(packed));
            }
            None => {
                for announcement in batch {
                    link.try_send(Body::Announcement(announcement));
                }
            }
        }
    }
}

/// Gathers announcements until the first of them is due.
async fn gather(
    first: QueuedAnnouncement,
    rx: &mut mpsc::Receiver<QueuedAnnouncement>,
) -> Vec<Announcement> {
    let mut due = Instant::now() + first.delay;
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH {
        tokio::select! {
            () = sleep_until(due) => break,
            next = rx.recv() => {
                let Some(next) = next else { break };
                due = due.min(Instant::now() + next.delay);
                batch.push(next);
            }
        }
    }
    let now = boot_now();
    let aged = |queued: QueuedAnnouncement| {
        age_cold_time(queued.announcement, now.saturating_sub(queued.received_at))
    };
    batch.into_iter().map(aged).collect()
}
