//! Hands news to subscribers: the document, announced endpoints, and who else subscribes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use slog::Logger;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use super::core_config::Published;
use super::founding::RollDesk;
use crate::clock::boot_now;
use crate::directory::Directory;
use crate::event;
use crate::wire::envelope::Body;
use crate::wire::server::{Conn, Handler};
use crate::wire::{Announcement, Document, News, Standing};

/// Interval at which silent endpoints are looked for.
const SWEEP: Duration = Duration::from_millis(500);

/// News that may wait for one subscriber; beyond that it is cut off and starts anew.
const QUEUE: usize = 64;

struct Subscriber {
    load_address: String,
    version: u64,
    tx: mpsc::Sender<News>,
    cx: CancellationToken,
}

impl Subscriber {
    fn send(&self, news: News) {
        if self.tx.try_send(news).is_err() {
            self.cx.cancel();
        }
    }
}

#[derive(Default)]
struct Inner {
    directory: Directory,
    subscribers: BTreeMap<u64, Subscriber>,
}

/// The directory of one control replica and those who follow it.
pub struct Hub {
    inner: Mutex<Inner>,
    published: watch::Receiver<Published>,
    relay: mpsc::UnboundedSender<Announcement>,
    log: Logger,
}

impl Hub {
    /// Builds a hub; own announcements are handed to `relay` for the other replicas.
    pub fn new(
        silence: Duration,
        published: watch::Receiver<Published>,
        relay: mpsc::UnboundedSender<Announcement>,
        log: Logger,
    ) -> Self {
        let inner = Inner { directory: Directory::new(silence), ..Inner::default() };
        Self { inner: Mutex::new(inner), published, relay, log }
    }

    /// Takes an announcement that an endpoint sent to this replica.
    pub fn announce(&self, said: Announcement) {
        let _ = self.relay.send(said.clone());
        self.hear(said);
    }

    /// Takes the word of an endpoint that it ended.
    pub fn leave(&self, id: &str) {
        let left = self.inner.lock().directory.leave(id, None);
        let Some(said) = left else { return };
        let _ = self.relay.send(said.clone());
        self.tell(vec![said]);
    }

    /// Takes an announcement that another replica relays.
    pub fn hear(&self, said: Announcement) {
        let changed = match said.standing() {
            Standing::Gone => {
                let left = self.inner.lock().directory.leave(&said.id, Some(said.born));
                left.map(|s| vec![s])
            }
            _ => self.inner.lock().directory.hear(boot_now(), said),
        };
        if let Some(changed) = changed {
            self.tell(changed);
        }
    }

    fn tell(&self, announcements: Vec<Announcement>) {
        for said in &announcements {
            let standing = said.standing().as_str_name();
            event!(self.log, EndpointStands, "endpoint" => &said.id, "service" => &said.service,
                "address" => &said.address, "standing" => standing, "born" => said.born,
                "seq" => said.seq);
        }
        let inner = self.inner.lock();
        for subscriber in inner.subscribers.values() {
            let announcements = announcements.clone();
            subscriber.send(News { announcements, ..News::default() });
        }
    }

    /// Starts to send news on a call.
    pub fn subscribe(self: &Arc<Self>, conn: &Conn, call: u64, load_address: String, held: u64) {
        let (tx, rx) = mpsc::channel(QUEUE);
        let published = self.published.borrow().clone();
        let mut inner = self.inner.lock();
        let document = current_document(&published, held);
        let version = document.as_ref().map_or(held, |d| d.version);
        let first = News {
            document,
            announcements: inner.directory.all(),
            full: true,
            replicas: published.replicas.clone(),
            ..News::default()
        };
        let subscriber = Subscriber { load_address, version, tx, cx: conn.cx.clone() };
        subscriber.send(first);
        inner.subscribers.insert(conn.id, subscriber);
        tell_load_addresses(&inner);
        drop(inner);
        tokio::spawn(forward_news(conn.clone(), call, rx));
    }

    /// Forgets a subscriber whose connection is lost.
    pub fn unsubscribe(&self, conn: &Conn) {
        let mut inner = self.inner.lock();
        if inner.subscribers.remove(&conn.id).is_some() {
            tell_load_addresses(&inner);
        }
    }

    /// Follows the replica's document and membership, and looks for silent endpoints.
    pub async fn run(self: Arc<Self>, cx: CancellationToken) {
        let mut published = self.published.clone();
        let mut sweep = tokio::time::interval(SWEEP);
        sweep.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = cx.cancelled() => return,
                changed = published.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let state = published.borrow_and_update().clone();
                    self.tell_published(&state);
                }
                _ = sweep.tick() => {
                    let fallen = self.inner.lock().directory.sweep(boot_now());
                    if !fallen.is_empty() {
                        self.tell(fallen);
                    }
                }
            }
        }
    }

    fn tell_published(&self, state: &Published) {
        let mut inner = self.inner.lock();
        for subscriber in inner.subscribers.values_mut() {
            let document = current_document(state, subscriber.version);
            if let Some(document) = &document {
                subscriber.version = document.version;
            }
            let replicas = state.replicas.clone();
            subscriber.send(News { document, replicas, ..News::default() });
        }
    }
}

/// The document, if it is newer than the held one and this replica is in touch with a leader.
fn current_document(state: &Published, held: u64) -> Option<Document> {
    (state.has_leader && state.document.version > held).then(|| state.document.clone())
}

fn tell_load_addresses(inner: &Inner) {
    let all = inner.subscribers.values().map(|s| s.load_address.clone());
    let all: Vec<String> = all.filter(|a| !a.is_empty()).collect();
    for subscriber in inner.subscribers.values() {
        subscriber.send(News {
            load_addresses: all.clone(),
            load_addresses_changed: true,
            ..News::default()
        });
    }
}

async fn forward_news(conn: Conn, call: u64, mut rx: mpsc::Receiver<News>) {
    while let Some(news) = rx.recv().await {
        if !conn.send(call, Body::News(news)).await {
            return;
        }
    }
}

/// Hands subscriptions and relayed announcements to a hub, reports of a first start to the desk
/// that counts them, and the rest to another handler.
pub struct HubHandler {
    /// Takes subscriptions and announcements.
    pub hub: Arc<Hub>,
    /// Takes the reports of replicas at a first start.
    pub desk: RollDesk,
    /// Takes all other messages.
    pub rest: Arc<dyn Handler>,
}

impl Handler for HubHandler {
    fn on_message(&self, conn: &Conn, call: u64, body: Body) {
        match body {
            Body::Subscribe(s) => {
                self.hub.subscribe(conn, call, s.load_address, s.document_version);
            }
            Body::Announcement(said) => self.hub.hear(said),
            Body::RollCall(report) => self.desk.answer(conn, call, report),
            other => self.rest.on_message(conn, call, other),
        }
    }

    fn on_closed(&self, conn: &Conn) {
        self.hub.unsubscribe(conn);
        self.rest.on_closed(conn);
    }
}
