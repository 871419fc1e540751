//! Publishes updates to subscribers: the configuration document, drained zones, announced endpoints,
//! replicas and the load addresses of the other subscribers.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use slog::Logger;
use smol_str::SmolStr;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::announcement_relay::RelayedAnnouncement;
use super::core_config::Published;
use super::departure_file::QueuedDeparture;
use super::endpoint_probe::EndpointProbe;
use super::hub_announcements::Origin;
use super::hub_subscribers::{Broadcast, EndpointList, Subscriber, load_addresses};
use super::recent_documents::RecentDocuments;
use crate::clock::boot_now;
use crate::directory::Directory;
use crate::document::UnpackError;
use crate::ids::Moment;
use crate::quarantine::Quarantine;
use crate::wire::envelope::Body;
use crate::wire::server::Conn;
use crate::wire::{
    Announcement, Document, DocumentPart, FetchDocument, News, QuarantineReport, Subscribe,
};

/// Interval between two checks for endpoints that have become silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Updates that may be queued for one subscriber. One that falls further behind is disconnected;
/// it reconnects and starts with a full update.
const MAX_QUEUED_UPDATES: usize = 64;

/// Delay in which changes of the list of subscribers are combined, since all of them connect at
/// once after a restart.
const LOAD_ADDRESSES_DELAY: Duration = Duration::from_millis(25);

/// Minimum time between two lists of load addresses for each subscriber that gets them. A list
/// grows with the number of subscribers, so that the start of hundreds of them would otherwise take
/// all of a host's processor.
const LOAD_ADDRESSES_INTERVAL: Duration = Duration::from_millis(1);

/// Delay in which changes of endpoints are combined, since all of them announce themselves at once
/// after a restart. Entries have to know of a change within 100 ms.
const ENDPOINTS_DELAY: Duration = Duration::from_millis(20);

/// Size of the parts in which documents are sent, in bytes. Announcements that are queued meanwhile
/// wait for one part, not for the document.
const DOCUMENT_PART_BYTES: usize = 32 * 1024;

/// Fraction of the silence timeout within which an endpoint known from an earlier run has to
/// announce itself.
const RESTORED_SILENCE_SHARE: f64 = 0.6;

#[derive(Default)]
pub(super) struct Inner {
    pub(super) directory: Directory,
    pub(super) quarantine: Quarantine,
    pub(super) subscribers: BTreeMap<u64, Subscriber>,
    pub(super) recent: RecentDocuments,
    /// Endpoints that changed and were not sent to subscribers yet.
    pub(super) changed_endpoints: HashMap<String, Announcement>,
    pub(super) endpoint_list: Option<EndpointList>,
    /// Endpoints that have ended, as far as is known, and go on to announce themselves.
    pub(super) contested: HashMap<String, Announcement>,
}

impl Inner {
    /// The part of a first update that lists all endpoints.
    fn list_endpoints(&mut self, now: Moment, reads_packed: bool) -> News {
        if !reads_packed {
            let announcements = self.directory.announcements(now);
            return News { announcements, full: true, ..News::default() };
        }
        if self.endpoint_list.as_ref().is_none_or(|list| !list.is_valid(now)) {
            self.endpoint_list = EndpointList::build(now, self.directory.announcements(now));
        }
        match &self.endpoint_list {
            Some(list) => {
                let announcements = list.changed.values().cloned().collect();
                News { announcements, full: true, ..list.packed.clone() }
            }
            None => self.list_endpoints(now, false),
        }
    }
}

/// Reads the names of the services in a document; `None` if the document cannot be read.
pub type ServiceReader = Arc<dyn Fn(&Document) -> Option<HashSet<SmolStr>> + Send + Sync>;

/// Settings of a hub.
pub struct HubSettings {
    /// Time without an announcement after which an endpoint counts as silent.
    pub silence_timeout: Duration,
    /// Endpoints that an earlier run of this replica knew.
    pub restored: Vec<Announcement>,
    /// Takes departures that are to be written before they are acknowledged; without it they are kept in memory.
    pub departures: Option<mpsc::UnboundedSender<QueuedDeparture>>,
    /// Reads the services whose endpoints are used; without it all are.
    pub services: Option<ServiceReader>,
    /// Asks endpoints that announce themselves after their end; without it they are used again once
    /// they have gone on for some time.
    pub probe: Option<Arc<dyn EndpointProbe>>,
}

impl Default for HubSettings {
    fn default() -> Self {
        let silence_timeout = Duration::from_secs(4);
        Self {
            silence_timeout,
            restored: Vec::new(),
            departures: None,
            services: None,
            probe: None,
        }
    }
}

/// Endpoint directory and subscribers of one control replica.
pub struct Hub {
    pub(super) inner: Mutex<Inner>,
    pub(super) published: watch::Receiver<Published>,
    pub(super) relay: mpsc::UnboundedSender<RelayedAnnouncement>,
    pub(super) departures: Option<mpsc::UnboundedSender<QueuedDeparture>>,
    pub(super) endpoints_changed: Notify,
    pub(super) endpoints_to_send: Notify,
    pub(super) contested: Notify,
    probe: Option<Arc<dyn EndpointProbe>>,
    quarantine_changed: Notify,
    load_addresses_changed: Notify,
    pub(super) services: Option<ServiceReader>,
    pub(super) log: Logger,
}

impl Hub {
    /// Builds a hub. Announcements that endpoints send to this replica also go to `relay` for the
    /// other replicas.
    pub fn new(
        cfg: HubSettings,
        published: watch::Receiver<Published>,
        relay: mpsc::UnboundedSender<RelayedAnnouncement>,
        log: Logger,
    ) -> Self {
        let silence = cfg.silence_timeout;
        let mut directory = match cfg.services {
            Some(_) => Directory::without_services(silence),
            None => Directory::new(silence),
        };
        directory.restore(boot_now(), cfg.restored, silence.mul_f64(RESTORED_SILENCE_SHARE));
        let inner = Inner { directory, ..Inner::default() };
        Self {
            inner: Mutex::new(inner),
            published,
            relay,
            departures: cfg.departures,
            endpoints_changed: Notify::new(),
            endpoints_to_send: Notify::new(),
            contested: Notify::new(),
            probe: cfg.probe,
            quarantine_changed: Notify::new(),
            load_addresses_changed: Notify::new(),
            services: cfg.services,
            log,
        }
    }

    /// The document that this replica published last.
    pub(super) fn document(&self) -> Document {
        self.published.borrow().document.clone()
    }

    /// The latest announcement of every known endpoint, in no particular order.
    pub fn announcements(&self) -> Vec<Announcement> {
        self.inner.lock().directory.announcements(boot_now())
    }

    /// Availability zones of all known endpoints.
    pub fn zones(&self) -> BTreeSet<String> {
        let announcements = self.inner.lock().directory.announcements(boot_now());
        announcements.into_iter().map(|a| a.zone).filter(|zone| !zone.is_empty()).collect()
    }

    /// Waits until the state of an endpoint has changed since the last call returned.
    pub async fn endpoints_changed(&self) {
        self.endpoints_changed.notified().await;
    }

    /// All that was reported of poison requests.
    pub fn quarantine_report(&self) -> QuarantineReport {
        self.inner.lock().quarantine.report_all(boot_now())
    }

    /// Waits until something new was reported of poison requests.
    pub async fn quarantine_changed(&self) {
        self.quarantine_changed.notified().await;
    }

    /// Applies a report of poison requests and sends what is new to all subscribers.
    pub fn apply_quarantine_report(&self, report: QuarantineReport) {
        let mut inner = self.inner.lock();
        if inner.quarantine.apply_report(boot_now(), &report).is_none() {
            return;
        }
        self.quarantine_changed.notify_one();
        let update = Broadcast::new(News { quarantine: Some(report), ..News::default() });
        inner.subscribers.values().for_each(|subscriber| update.send_to(subscriber));
    }

    /// Sends changed endpoints to all subscribers, those of [`ENDPOINTS_DELAY`] together, until
    /// cancelled.
    async fn send_endpoints(self: Arc<Self>, cx: CancellationToken) {
        loop {
            tokio::select! {
                () = cx.cancelled() => return,
                () = self.endpoints_to_send.notified() => {}
            }
            sleep(ENDPOINTS_DELAY).await;
            // Those that subscribe after this get the changes with their first update, and may get
            // newer ones before this update is compressed.
            let (changed, receivers) = {
                let mut inner = self.inner.lock();
                let changed = std::mem::take(&mut inner.changed_endpoints);
                let receivers: Vec<u64> = inner.subscribers.keys().copied().collect();
                (changed, receivers)
            };
            if changed.is_empty() {
                continue;
            }
            let announcements = changed.into_values().collect();
            let update = Broadcast::new(News { announcements, ..News::default() });
            let inner = self.inner.lock();
            let receivers = receivers.iter().filter_map(|id| inner.subscribers.get(id));
            receivers.for_each(|subscriber| update.send_to(subscriber));
        }
    }

    /// Sends the load addresses to all subscribers when they have changed, until cancelled.
    async fn send_load_addresses(self: Arc<Self>, cx: CancellationToken) {
        loop {
            tokio::select! {
                () = cx.cancelled() => return,
                () = self.load_addresses_changed.notified() => {}
            }
            sleep(LOAD_ADDRESSES_DELAY).await;
            let subscribers = {
                let inner = self.inner.lock();
                publish_load_addresses(&inner);
                inner.subscribers.len() as u32
            };
            sleep(LOAD_ADDRESSES_INTERVAL * subscribers).await;
        }
    }

    /// Adds a subscriber: sends it a full update, then all changes, as answers to `call`.
    ///
    /// The document is left out unless it is newer than the one that the subscriber holds.
    pub fn subscribe(self: &Arc<Self>, conn: &Conn, call: u64, subscribe: Subscribe) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_UPDATES);
        let mut inner = self.inner.lock();
        // Read under the lock, so that no change falls between this state and the first update.
        let published = self.published.borrow().clone();
        let mut subscriber = Subscriber {
            load_address: subscribe.load_address,
            document_version: subscribe.document_version,
            drains_revision: None,
            fetches_documents: subscribe.fetches_documents,
            reads_packed: subscribe.reads_packed,
            replicas_only: subscribe.replicas_only,
            tx,
            cx: conn.cx.clone(),
        };
        let replicas = published.replicas.clone();
        let state = News { replicas, ..subscriber.state_update(&published) };
        if subscriber.replicas_only {
            subscriber.send(state);
        } else {
            let endpoints = inner.list_endpoints(boot_now(), subscriber.reads_packed);
            let subscribers = inner.subscribers.values().chain([&subscriber]);
            subscriber.send(News {
                load_addresses: load_addresses(subscribers),
                load_addresses_changed: true,
                announcements: endpoints.announcements,
                full: endpoints.full,
                packed: endpoints.packed,
                unpacked_len: endpoints.unpacked_len,
                quarantine: Some(inner.quarantine.report_all(boot_now())),
                ..state
            });
        }
        inner.subscribers.insert(conn.id, subscriber);
        drop(inner);
        self.load_addresses_changed.notify_one();
        tokio::spawn(forward_updates(conn.clone(), call, rx));
    }

    /// Answers a subscriber that fetches the document.
    pub(super) fn send_document(&self, conn: &Conn, call: u64, fetch: FetchDocument) {
        let published = self.published.borrow().clone();
        let recent = self.inner.lock().recent.find(fetch.version).cloned();
        let document = recent.unwrap_or(published.document);
        let conn = conn.clone();
        tokio::spawn(async move {
            if !published.has_leader {
                conn.refuse(call, "this replica knows no leader").await;
                return;
            }
            match build_reply(&document, fetch) {
                Ok(reply) => conn.send(call, reply).await,
                Err(e) => conn.refuse(call, e.to_string()).await,
            };
        });
    }

    /// Removes the subscriber of a lost connection, if there is one.
    pub fn unsubscribe(&self, conn: &Conn) {
        if self.inner.lock().subscribers.remove(&conn.id).is_some() {
            self.load_addresses_changed.notify_one();
        }
    }

    /// Publishes changes of the document, the drained zones and the membership, and checks for silent endpoints,
    /// until cancelled.
    pub async fn run(self: Arc<Self>, cx: CancellationToken) {
        tokio::spawn(Arc::clone(&self).send_endpoints(cx.clone()));
        tokio::spawn(Arc::clone(&self).send_load_addresses(cx.clone()));
        if let Some(probe) = self.probe.clone() {
            tokio::spawn(Arc::clone(&self).confirm_endpoints(probe, cx.clone()));
        }
        let mut published = self.published.clone();
        let first = published.borrow().document.clone();
        let mut services_version = first.version;
        if services_version > 0 {
            self.apply_services(&first).await;
        }
        let mut sweep = tokio::time::interval(SILENCE_CHECK_INTERVAL);
        sweep.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = cx.cancelled() => return,
                changed = published.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let state = published.borrow_and_update().clone();
                    self.publish_state(&state);
                    if state.document.version != services_version {
                        services_version = state.document.version;
                        self.apply_services(&state.document).await;
                    }
                }
                _ = sweep.tick() => {
                    let silent = self.inner.lock().directory.mark_silent(boot_now());
                    if !silent.is_empty() {
                        self.publish(silent, Origin::Silence);
                    }
                    self.inner.lock().quarantine.expire(boot_now());
                }
            }
        }
    }

    /// Sends the membership to all subscribers, and the document and the drained zones to those that
    /// know older ones.
    fn publish_state(&self, state: &Published) {
        let mut inner = self.inner.lock();
        inner.recent.add(&state.document);
        for subscriber in inner.subscribers.values_mut() {
            let replicas = state.replicas.clone();
            let update = News { replicas, ..subscriber.state_update(state) };
            subscriber.send(update);
        }
    }
}

/// Sends the load addresses of all subscribers to each of them.
fn publish_load_addresses(inner: &Inner) {
    let load_addresses = load_addresses(inner.subscribers.values());
    let update =
        Broadcast::new(News { load_addresses, load_addresses_changed: true, ..News::default() });
    inner.subscribers.values().for_each(|subscriber| update.send_to(subscriber));
}

/// Builds the reply to a fetch: a part of the document, or the whole of it for processes that ask
/// for no part.
fn build_reply(document: &Document, fetch: FetchDocument) -> Result<Body, UnpackError> {
    if fetch.version == 0 {
        let (version, body) = (document.version, document.content()?);
        return Ok(Body::Document(Document { version, body, unpacked_len: 0 }));
    }
    let (body, len) = (&document.body, document.body.len());
    let offset = if fetch.version == document.version { fetch.offset as usize } else { 0 };
    let start = offset.min(len);
    let end = (start + DOCUMENT_PART_BYTES).min(len);
    Ok(Body::DocumentPart(DocumentPart {
        version: document.version,
        offset: start as u64,
        data: body.slice(start..end),
        len: len as u64,
        unpacked_len: document.unpacked_len,
    }))
}

async fn forward_updates(conn: Conn, call: u64, mut rx: mpsc::Receiver<News>) {
    while let Some(update) = rx.recv().await {
        if !conn.send(call, Body::News(update)).await {
            return;
        }
    }
}
