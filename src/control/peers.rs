//! Sends messages to the other replicas; what cannot be sent is dropped and sent anew later.

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

/// Messages that may wait for one replica.
const QUEUE: usize = 256;

/// Pause after a failed connection.
const RECONNECT: Duration = Duration::from_millis(200);

/// Sends to all other replicas.
pub struct PeerSender {
    runtime: Handle,
    link: LinkConfig,
    own_address: String,
    learned: Mutex<HashMap<ReplicaId, String>>,
    queues: Mutex<HashMap<String, mpsc::Sender<Peer>>>,
    cx: CancellationToken,
}

impl PeerSender {
    /// Builds a sender whose connections run on `runtime`.
    pub fn new(
        runtime: Handle,
        link: LinkConfig,
        own_address: String,
        cx: CancellationToken,
    ) -> Self {
        let (learned, queues) = Default::default();
        Self { runtime, link, own_address, learned, queues, cx }
    }

    /// Notes the address of a replica that wrote.
    pub fn learn(&self, id: ReplicaId, address: &str) {
        self.learned.lock().insert(id, address.to_owned());
    }

    /// Queues a message.
    pub fn send(&self, replicas: &[Replica], mut msg: Peer) {
        let known = replicas.iter().find(|r| r.id == msg.to).map(|r| r.address.clone());
        let Some(address) = known.or_else(|| self.learned.lock().get(&msg.to).cloned()) else {
            return;
        };
        msg.from_address.clone_from(&self.own_address);
        match faults::reach("peer.send") {
            Some(Fault::Drop) => return,
            Some(Fault::Twice) => self.queue(&address, msg.clone()),
            _ => {}
        }
        self.queue(&address, msg);
    }

    fn queue(&self, address: &str, msg: Peer) {
        let mut queues = self.queues.lock();
        let tx = queues.entry(address.to_owned()).or_insert_with(|| self.start(address));
        let _ = tx.try_send(msg);
    }

    fn start(&self, address: &str) -> mpsc::Sender<Peer> {
        let (tx, rx) = mpsc::channel(QUEUE);
        if let Ok(addr) = address.parse() {
            let (link, cx) = (self.link.clone(), self.cx.clone());
            self.runtime.spawn(run_peer(addr, link, rx, cx));
        }
        tx
    }
}

async fn run_peer(
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
                link.post(Body::Peer(msg));
            }
            None => {
                tokio::time::sleep(RECONNECT).await;
                while rx.try_recv().is_ok() {}
            }
        }
    }
}
