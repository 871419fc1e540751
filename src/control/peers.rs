//! Sends raft messages to the other replicas.
//!
//! Delivery is best effort: a message that finds a full queue or no connection is dropped, and the
//! protocol sends it again later.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::faults::{self, Fault};
use crate::ids::ReplicaId;
use crate::wire::envelope::Body;
use crate::wire::link::{Link, LinkConfig};
use crate::wire::{Peer, Replica};

/// Messages that may be queued for one replica; more are dropped.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Delay after a failed connection; messages that are queued at its end are dropped.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Sends messages to all other replicas, over one connection to each.
pub struct PeerSender {
    runtime: Handle,
    link: LinkConfig,
    own_address: String,
    /// Addresses that replicas sent with their own messages; used for ids that the membership
    /// lacks.
    learned: Mutex<HashMap<ReplicaId, String>>,
    /// Message queues by address.
    queues: Mutex<HashMap<String, mpsc::Sender<Peer>>>,
    cx: CancellationToken,
}

impl PeerSender {
    /// Builds a sender whose connections run on `runtime`; messages carry `own_address` so that
    /// replicas which do not know this one yet can answer.
    pub fn new(
        runtime: Handle,
        link: LinkConfig,
        own_address: String,
        cx: CancellationToken,
    ) -> Self {
        let (learned, queues) = Default::default();
        Self { runtime, link, own_address, learned, queues, cx }
    }

    /// Records the address of a replica that has sent a message.
    pub fn record_address(&self, id: ReplicaId, address: &str) {
        self.learned.lock().insert(id, address.to_owned());
    }

    /// Queues a message for the replica `msg.to`; drops it if no address of that replica is known.
    pub fn send(&self, replicas: &[Replica], mut msg: Peer) {
        let member = replicas.iter().find(|r| r.id == msg.to).map(|r| r.address.clone());
        let Some(address) = member.or_else(|| self.learned.lock().get(&msg.to).cloned()) else {
            return;
        };
        msg.from_address.clone_from(&self.own_address);
        match faults::inject("peer.send") {
            Some(Fault::Drop) => return,
            Some(Fault::Duplicate) => self.queue(&address, msg.clone()),
            _ => {}
        }
        self.queue(&address, msg);
    }

    fn queue(&self, address: &str, msg: Peer) {
        let mut queues = self.queues.lock();
        let tx = queues.entry(address.to_owned()).or_insert_with(|| self.start_sending(address));
        let _ = tx.try_send(msg);
    }

    /// Starts the task that sends to an address and returns its queue.
    fn start_sending(&self, address: &str) -> mpsc::Sender<Peer> {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
        if let Ok(addr) = address.parse() {
            let (link, cx) = (self.link.clone(), self.cx.clone());
            self.runtime.spawn(send_queued(addr, link, rx, cx));
        }
        tx
    }
}

/// Sends queued messages to one replica and reconnects when needed, until cancelled.
async fn send_queued(
    addr: SocketAddr,
    cfg: LinkConfig,
    mut rx: mpsc::Receiver<Peer>,
    cx: CancellationToken,
) {
    let mut link: Option<Arc<Link>> = None;
    loop {
        let msg = tokio::select! {
            () = cx.cancelled() => return,
            msg = rx.recv() => msg,
        };
        let Some(msg) = msg else { return };
        if link.as_ref().is_none_or(|l| l.is_closed()) {
            link = Link::connect(addr, &cfg, &cx).await.ok().map(Arc::new);
        }
        match &link {
            Some(link) => {
                link.try_send(Body::Peer(msg));
            }
            None => {
                tokio::time::sleep(RECONNECT_DELAY).await;
                while rx.try_recv().is_ok() {}
            }
        }
    }
}
