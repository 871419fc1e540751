//! Subscribes to the updates of all control replicas and passes them to a listener.
//!
//! The subscriptions start at the seeds and extend to the replicas that subscribed processes name.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::document_fetcher::{DocumentFetch, DocumentFetcher};
use super::packing::unpack_update;
use super::service::SeedSource;
use crate::clock::boot_now;
use crate::wire::envelope::Body;
use crate::wire::link::{Link, LinkConfig};
use crate::wire::{News, QuarantineReport, Subscribe};

/// Longest time until seeds and advertised replicas are read again for new subscriptions.
const MAX_RESCAN_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before an attempt to reconnect within [`EAGER_PERIOD`].
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Time after a start, and after the loss of a connection, in which reconnects are not backed off:
/// processes that were stopped together come back within this time of each other.
const EAGER_PERIOD: Duration = Duration::from_secs(3);

/// Timeout of a connection attempt within [`EAGER_PERIOD`]. A host that is still off answers
/// nothing, and the attempt that meets its start is repeated only after the timeout.
const EAGER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Upper bound of the reconnect delay, which doubles with each attempt after [`EAGER_PERIOD`].
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(800);

/// Receives the updates of subscribed control processes and the state of their connections.
pub trait UpdateListener: Send + Sync + 'static {
    /// Subscription to send on each new connection.
    fn subscription(&self) -> Subscribe;

    /// Version of the newest document that the listener holds. An offered document is fetched
    /// only if it is newer.
    fn held_version(&self) -> u64 {
        u64::MAX
    }

    /// What to report to each process after it was subscribed to.
    fn report(&self) -> Option<QuarantineReport> {
        None
    }

    /// Called after a fetch of a document from `control` succeeded or failed.
    fn on_fetched(&self, _control: SocketAddr, _fetch: &DocumentFetch) {}

    /// Called when the subscription was sent to `control`.
    fn on_connected(&self, control: SocketAddr);

    /// Called for each update from `control`.
    fn on_update(&self, control: SocketAddr, update: News);

    /// Called when the connection to `control` is lost; the subscriber reconnects.
    fn on_disconnected(&self, control: SocketAddr);

    /// Called when `control` is neither a seed nor an advertised replica any more and its
    /// subscription has been cancelled.
    fn on_removed(&self, control: SocketAddr);
}

/// Keeps one subscription to each known control process, for one listener.
pub struct ReplicaSubscriber {
    listener: Arc<dyn UpdateListener>,
    /// Addresses of the replicas that each subscribed process advertised last.
    advertised: Mutex<HashMap<SocketAddr, Vec<SocketAddr>>>,
    fetcher: Arc<DocumentFetcher>,
    links: Mutex<HashMap<SocketAddr, Link>>,
    rescan_requested: Notify,
    link: LinkConfig,
    cx: CancellationToken,
}

impl ReplicaSubscriber {
    /// Builds a subscriber without subscriptions; [`Self::run`] starts them.
    pub fn new(
        listener: Arc<dyn UpdateListener>,
        link: LinkConfig,
        cx: CancellationToken,
    ) -> Arc<Self> {
        let fetcher = Arc::new(DocumentFetcher::new(Arc::clone(&listener)));
        Arc::new(Self {
            listener,
            advertised: Mutex::default(),
            fetcher,
            links: Mutex::default(),
            rescan_requested: Notify::new(),
            link,
            cx,
        })
    }

    /// Subscribes to the seeds and to all replicas that subscribed processes advertise, until
    /// cancelled.
    pub async fn run(self: Arc<Self>, seeds: SeedSource) {
        tokio::spawn(Arc::clone(&self.fetcher).run(self.cx.clone()));
        let mut tasks: HashMap<SocketAddr, AbortHandle> = HashMap::new();
        while !self.cx.is_cancelled() {
            let mut targets = seeds();
            targets.extend(self.advertised.lock().values().flatten());
            targets.sort_unstable();
            targets.dedup();
            tasks.retain(|addr, task| {
                let keep = targets.contains(addr);
                if !keep {
                    task.abort();
                    self.advertised.lock().remove(addr);
                    self.fetcher.disconnect(*addr);
                    self.links.lock().remove(addr);
                    self.listener.on_removed(*addr);
                }
                keep
            });
            for addr in targets {
                tasks
                    .entry(addr)
                    .or_insert_with(|| tokio::spawn(Arc::clone(&self).watch(addr)).abort_handle());
            }
            let _ = timeout(MAX_RESCAN_INTERVAL, self.rescan_requested.notified()).await;
        }
    }

    /// Sends a report to all processes that are subscribed to. One that is not connected, or whose
    /// queue is full, gets everything when it is connected again.
    pub fn send_report(&self, report: &QuarantineReport) {
        for link in self.links.lock().values() {
            if !link.try_send(Body::QuarantineReport(report.clone())) {
                link.close();
            }
        }
    }

    /// Reads seeds and advertised replicas again at once.
    pub fn rescan(&self) {
        self.rescan_requested.notify_one();
    }

    /// Keeps a subscription to `addr` and reconnects, after [`EAGER_PERIOD`] with exponential
    /// backoff; ends only by abort.
    async fn watch(self: Arc<Self>, addr: SocketAddr) {
        let eager = LinkConfig {
            connect_timeout: self.link.connect_timeout.min(EAGER_CONNECT_TIMEOUT),
            ..self.link.clone()
        };
        let mut lost_at = boot_now();
        let mut delay = MIN_RECONNECT_DELAY;
        loop {
            let is_eager = boot_now().saturating_sub(lost_at) < EAGER_PERIOD;
            let link = if is_eager { &eager } else { &self.link };
            if self.watch_once(addr, link).await {
                lost_at = boot_now();
                delay = MIN_RECONNECT_DELAY;
            } else if !is_eager {
                delay = (delay * 2).min(MAX_RECONNECT_DELAY);
            }
            sleep(delay).await;
        }
    }

    /// Receives updates over one connection until it is lost; false if none could be made.
    async fn watch_once(self: &Arc<Self>, addr: SocketAddr, link: &LinkConfig) -> bool {
        let Ok(link) = Link::connect(addr, link, &self.cx).await else { return false };
        let mut call = link.open();
        let subscribe = Subscribe { reads_packed: true, ..self.listener.subscription() };
        if call.send(Body::Subscribe(subscribe)).await.is_err() {
            return false;
        }
        self.fetcher.connect(addr, link.clone());
        self.listener.on_connected(addr);
        self.links.lock().insert(addr, link.clone());
        if let Some(report) = self.listener.report() {
            link.try_send(Body::QuarantineReport(report));
        }
        while let Some(body) = call.next().await {
            let Body::News(update) = body else { continue };
            // A new subscription starts with everything, so nothing is missing after it.
            let Ok(update) = unpack_update(update) else { break };
            let offered = update.offered_version;
            self.handle_update(addr, update);
            if offered > 0 {
                self.fetcher.offer(addr, offered);
            }
        }
        link.close();
        self.links.lock().remove(&addr);
        self.fetcher.disconnect(addr);
        self.listener.on_disconnected(addr);
        true
    }

    /// Notes the replicas that an update advertises and passes it to the listener.
    fn handle_update(&self, addr: SocketAddr, update: News) {
        if !update.replicas.is_empty() {
            let addresses = update.replicas.iter().filter_map(|r| r.address.parse().ok()).collect();
            let before = self.advertised.lock().insert(addr, addresses);
            if before.as_ref() != self.advertised.lock().get(&addr) {
                self.rescan();
            }
        }
        self.listener.on_update(addr, update);
    }
}
