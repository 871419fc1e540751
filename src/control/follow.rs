//! Follows all control replicas and hands their news to a listener.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::service::SeedSource;
use crate::wire::envelope::Body;
use crate::wire::link::{Link, LinkConfig};
use crate::wire::{News, Subscribe};

/// Longest pause between looks at which replicas to follow.
const LOOK: Duration = Duration::from_millis(500);

/// First pause after a lost replica.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after a lost replica.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Takes what followed replicas tell.
pub trait Listener: Send + Sync + 'static {
    /// What a replica is told at the start.
    fn subscription(&self) -> Subscribe;

    /// A replica answers.
    fn heard(&self, control: SocketAddr);

    /// A replica has news.
    fn take(&self, control: SocketAddr, news: News);

    /// A replica is not heard any more.
    fn lost(&self, control: SocketAddr);

    /// A replica is not to be followed any more.
    fn dropped(&self, control: SocketAddr);
}

/// Follows replicas for one listener.
pub struct Follower {
    listener: Arc<dyn Listener>,
    told: Mutex<HashMap<SocketAddr, Vec<SocketAddr>>>,
    changed: Notify,
    link: LinkConfig,
    cx: CancellationToken,
}

impl Follower {
    /// Builds a follower.
    pub fn new(listener: Arc<dyn Listener>, link: LinkConfig, cx: CancellationToken) -> Arc<Self> {
        let (told, changed) = (Mutex::default(), Notify::new());
        Arc::new(Self { listener, told, changed, link, cx })
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
                    self.listener.dropped(*addr);
                }
                keeps
            });
            for addr in wanted {
                tasks
                    .entry(addr)
                    .or_insert_with(|| tokio::spawn(Arc::clone(&self).follow(addr)).abort_handle());
            }
            let _ = timeout(LOOK, self.changed.notified()).await;
        }
    }

    /// Looks at once which replicas to follow.
    pub fn look(&self) {
        self.changed.notify_one();
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
        if call.send(Body::Subscribe(self.listener.subscription())).await.is_err() {
            return false;
        }
        self.listener.heard(addr);
        while let Some(body) = call.next().await {
            if let Body::News(news) = body {
                self.take(addr, news);
            }
        }
        link.close();
        self.listener.lost(addr);
        true
    }

    fn take(&self, addr: SocketAddr, news: News) {
        if !news.replicas.is_empty() {
            let addresses = news.replicas.iter().filter_map(|r| r.address.parse().ok()).collect();
            let before = self.told.lock().insert(addr, addresses);
            if before.as_ref() != self.told.lock().get(&addr) {
                self.look();
            }
        }
        self.listener.take(addr, news);
    }
}
