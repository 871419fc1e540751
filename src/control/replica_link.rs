//! A link to another replica that several tasks share and that is established anew when it is lost.

use std::net::SocketAddr;

use tokio::sync::Mutex;
use tokio_util::sync::CancellationToken;

use crate::wire::link::{Link, LinkConfig};

/// Link to one other replica.
pub(super) struct ReplicaLink {
    addr: SocketAddr,
    cfg: LinkConfig,
    cx: CancellationToken,
    current: Mutex<Option<Link>>,
}

impl ReplicaLink {
    /// Builds a link that is not connected yet.
    pub(super) fn new(addr: SocketAddr, cfg: LinkConfig, cx: CancellationToken) -> Self {
        Self { addr, cfg, cx, current: Mutex::default() }
    }

    /// The established link; `None` if the replica cannot be reached now.
    pub(super) async fn connected(&self) -> Option<Link> {
        let mut current = self.current.lock().await;
        if current.as_ref().is_none_or(Link::is_closed) {
            *current = Link::connect(self.addr, &self.cfg, &self.cx).await.ok();
        }
        current.clone()
    }
}
