//! Follows all control replicas and takes their news.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::AbortHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::share::Others;
use super::state::Gateway;
use crate::clock::boot_now;
use crate::control::service::SeedSource;
use crate::event;
use crate::wire::envelope::Body;
use crate::wire::link::{Link, LinkConfig};
use crate::wire::{News, Subscribe};

/// Pause between looks at which replicas to follow.
const LOOK: Duration = Duration::from_millis(500);

/// First pause after a lost replica.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after a lost replica.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Follows replicas for one gateway.
pub struct Follower {
    gateway: Arc<Gateway>,
    others: Arc<Others>,
    load_address: SocketAddr,
    told: Mutex<HashMap<SocketAddr, Vec<SocketAddr>>>,
    link: LinkConfig,
    cx: CancellationToken,
}

impl Follower {
    /// Builds a follower; the gateway takes shared load at `load_address`.
    pub fn new(
        gateway: Arc<Gateway>,
        others: Arc<Others>,
        load_address: SocketAddr,
        cx: CancellationToken,
    ) -> Arc<Self> {
        let link = LinkConfig {
            node: gateway.cfg.node.to_string(),
            role: "entry".into(),
            max_frame: 16 * 1024 * 1024,
            connect_timeout: Duration::from_millis(500),
            keepalive: Duration::from_millis(400),
            silence: Duration::from_millis(1300),
        };
        Arc::new(Self { gateway, others, load_address, told: Mutex::default(), link, cx })
    }

    /// Follows the replicas of the seeds and all that those name, until cancelled.
    pub async fn run(self: Arc<Self>, seeds: SeedSource) {
        let mut tasks: HashMap<SocketAddr, AbortHandle> = HashMap::new();
        while !self.cx.is_cancelled() {
            let mut wanted = seeds();
            wanted.extend(self.told.lock().values().flatten());
            wanted.sort_unstable();
            wanted.dedup();
            tasks.retain(|addr, task| {
                let keeps = wanted.contains(addr);
                if !keeps {
                    task.abort();
                    self.told.lock().remove(addr);
                    self.gateway.endpoints.lock().lose(boot_now(), &addr.to_string());
                }
                keeps
            });
            for addr in wanted {
                tasks
                    .entry(addr)
                    .or_insert_with(|| tokio::spawn(Arc::clone(&self).follow(addr)).abort_handle());
            }
            self.gateway.endpoints.lock().sweep(boot_now());
            sleep(LOOK).await;
        }
    }

    async fn follow(self: Arc<Self>, addr: SocketAddr) {
        let mut pause = FIRST_PAUSE;
        loop {
            if self.follow_once(addr).await {
                pause = FIRST_PAUSE;
            }
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Takes news over one connection until it is lost; false if none could be made.
    async fn follow_once(&self, addr: SocketAddr) -> bool {
        let Ok(link) = Link::connect(addr, &self.link, &self.cx).await else { return false };
        let mut call = link.open();
        let subscribe = Subscribe {
            node: self.gateway.cfg.node.to_string(),
            load_address: self.load_address.to_string(),
            document_version: self.gateway.version(),
        };
        if call.send(Body::Subscribe(subscribe)).await.is_err() {
            return false;
        }
        let name = addr.to_string();
        event!(self.gateway.log, ControlHeard, "control" => &name);
        while let Some(body) = call.next().await {
            if let Body::News(news) = body {
                self.take(addr, &name, news);
            }
        }
        link.close();
        self.gateway.endpoints.lock().lose(boot_now(), &name);
        event!(self.gateway.log, ControlLost, "control" => &name);
        true
    }

    fn take(&self, addr: SocketAddr, name: &str, news: News) {
        if let Some(document) = &news.document {
            self.gateway.take_document(document, name);
        }
        if news.full || !news.announcements.is_empty() {
            self.gateway.endpoints.lock().hear(name, news.announcements, news.full);
        }
        if news.load_addresses_changed {
            self.others.replace(&news.load_addresses, self.load_address);
            // An entry that has just started knows no load yet.
            self.gateway.load_changed.notify_one();
        }
        if !news.control_addresses.is_empty() {
            let addresses = news.control_addresses.iter().filter_map(|a| a.parse().ok());
            self.told.lock().insert(addr, addresses.collect());
        }
    }
}
