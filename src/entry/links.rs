//! Links to agents, opened when first needed.

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

type Place = Arc<tokio::sync::Mutex<Option<Link>>>;

/// Open links by address.
pub struct Links {
    node: Arc<Node>,
    view: Arc<FleetView>,
    cfg: LinkConfig,
    cx: CancellationToken,
    places: Mutex<HashMap<SocketAddr, Place>>,
}

impl Links {
    /// Builds an empty pool.
    pub fn new(
        node: Arc<Node>,
        view: Arc<FleetView>,
        cfg: LinkConfig,
        cx: CancellationToken,
    ) -> Self {
        Self { node, view, cfg, cx, places: Mutex::default() }
    }

    /// An open link to an agent.
    ///
    /// # Errors
    /// No connection could be made.
    pub async fn get(&self, addr: SocketAddr) -> Result<Link, LinkError> {
        let place = Arc::clone(self.places.lock().entry(addr).or_default());
        let mut place = place.lock().await;
        if let Some(link) = place.as_ref().filter(|l| !l.is_closed()) {
            return Ok(link.clone());
        }
        let link = Link::connect(addr, &self.cfg, &self.cx).await?;
        self.watch_load(&link);
        *place = Some(link.clone());
        Ok(link)
    }

    /// Asks for load reports and takes them until the link is lost.
    fn watch_load(&self, link: &Link) {
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
