//! Pool of connections to agents, opened on first use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use super::fleet_view::FleetView;
use crate::node::Node;
use crate::wire::Load;
use crate::wire::envelope::Body;
use crate::wire::link::{Link, LinkConfig, LinkError};

/// Connection to one address; its lock makes concurrent requests share one connection attempt.
type LinkSlot = Arc<tokio::sync::Mutex<Option<Link>>>;

/// Connections to agents by address, at most one for each.
pub struct LinkPool {
    node: Arc<Node>,
    view: Arc<FleetView>,
    cfg: LinkConfig,
    cx: CancellationToken,
    slots: Mutex<HashMap<SocketAddr, LinkSlot>>,
}

impl LinkPool {
    /// Builds an empty pool; connections close when `cx` is cancelled.
    pub fn new(
        node: Arc<Node>,
        view: Arc<FleetView>,
        cfg: LinkConfig,
        cx: CancellationToken,
    ) -> Self {
        Self { node, view, cfg, cx, slots: Mutex::default() }
    }

    /// Returns the open connection to an agent, or connects.
    ///
    /// # Errors
    /// The connection could not be opened.
    pub async fn get(&self, addr: SocketAddr) -> Result<Link, LinkError> {
        let slot = Arc::clone(self.slots.lock().entry(addr).or_default());
        let mut slot = slot.lock().await;
        if let Some(link) = slot.as_ref().filter(|l| !l.is_closed()) {
            return Ok(link.clone());
        }
        let link = Link::connect(addr, &self.cfg, &self.cx).await?;
        self.subscribe_load(&link);
        *slot = Some(link.clone());
        Ok(link)
    }

    /// Subscribes to load reports and records them until the connection is lost.
    fn subscribe_load(&self, link: &Link) {
        let (node, view) = (Arc::clone(&self.node), Arc::clone(&self.view));
        let mut call = link.open();
        tokio::spawn(async move {
            if call.send(Body::Load(Load::default())).await.is_err() {
                return;
            }
            while let Some(body) = call.next().await {
                if let Body::Load(load) = body {
                    view.record_load(node.now(), load);
                }
            }
        });
    }
}
