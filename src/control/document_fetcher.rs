//! Fetches configuration documents from control replicas, in parts and from one replica at a time.
//!
//! A transfer that takes long goes on where it was when it moves to another replica, and never
//! ends the link over which it runs: that link also carries announcements.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::subscriber::UpdateListener;
use crate::clock::boot_now;
use crate::ids::{Moment, Version};
use crate::wire::envelope::Body;
use crate::wire::link::{Link, LinkError};
use crate::wire::{Document, DocumentPart, FetchDocument, News};

/// Time that each replica before the chosen one in this process's own order has to offer a
/// document too.
const OFFER_TURN: Duration = Duration::from_millis(10);

/// First timeout of a part; it doubles with each part that does not arrive, so that a slow link
/// delays a document but never keeps it away.
const MIN_PART_TIMEOUT: Duration = Duration::from_millis(400);

/// Upper bound of the timeout of a part.
const MAX_PART_TIMEOUT: Duration = Duration::from_millis(6400);

/// Delay after all replicas have failed to send a part; it doubles each time.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Upper bound of this delay.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Outcome of a fetch: a document that arrived, or a part that did not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentFetch {
    /// Version that arrived, or was asked for.
    pub version: Version,
    /// Bytes of the packed document that have arrived so far.
    pub bytes: usize,
    /// Time since the document was first asked for.
    pub elapsed: Duration,
    /// Why the part did not arrive; `None` if the document is complete.
    pub failure: Option<String>,
}

/// A connected replica.
struct Source {
    link: Link,
    /// Newest version that it has offered; 0 for none.
    offered: Version,
}

/// What a part added to the document that is being fetched.
enum Progress {
    /// The document is complete.
    Complete(Document),
    /// More parts are needed.
    Grown,
    /// The part does not continue the document.
    Unexpected,
}

/// The document that is being fetched, as far as it has arrived.
#[derive(Default)]
struct PartialDocument {
    version: Version,
    data: BytesMut,
}

impl PartialDocument {
    /// Adds a part; one of another version starts anew.
    fn add(&mut self, part: DocumentPart) -> Progress {
        let DocumentPart { version, offset, data, len, unpacked_len } = part;
        if version != self.version {
            *self = Self { version, data: BytesMut::new() };
        }
        let is_expected = offset == self.data.len() as u64 && (!data.is_empty() || len == 0);
        if !is_expected {
            return Progress::Unexpected;
        }
        self.data.extend_from_slice(&data);
        if (self.data.len() as u64) < len {
            return Progress::Grown;
        }
        let body = std::mem::take(&mut self.data).freeze();
        Progress::Complete(Document { version, body, unpacked_len })
    }

    /// Request for the next part from a replica that offers this version: the document that was
    /// begun is fetched to its end, since newer ones may follow faster than they can be fetched.
    fn next_part(&self, offered: Version) -> FetchDocument {
        match self.data.is_empty() {
            true => FetchDocument { version: offered, offset: 0 },
            false => FetchDocument { version: self.version, offset: self.data.len() as u64 },
        }
    }

    /// Version that a replica has to offer at least, given that it has to be newer than `floor`.
    fn min_offer(&self, floor: Version) -> Version {
        if self.data.is_empty() { floor + 1 } else { self.version }
    }
}

/// Fetches the newest document that connected replicas offer, for one listener.
pub struct DocumentFetcher {
    listener: Arc<dyn UpdateListener>,
    sources: Mutex<HashMap<SocketAddr, Source>>,
    offered: Notify,
    /// Determines the order in which this process prefers replicas.
    order_seed: u64,
}

impl DocumentFetcher {
    /// Builds a fetcher that knows no replica yet; [`Self::run`] fetches.
    pub fn new(listener: Arc<dyn UpdateListener>) -> Self {
        let order_seed = rand::random();
        Self { listener, sources: Mutex::default(), offered: Notify::new(), order_seed }
    }

    /// Adds a replica that a link was established to.
    pub fn connect(&self, addr: SocketAddr, link: Link) {
        self.sources.lock().insert(addr, Source { link, offered: 0 });
    }

    /// Removes a replica whose link was lost.
    pub fn disconnect(&self, addr: SocketAddr) {
        self.sources.lock().remove(&addr);
    }

    /// Records that a replica offers a version.
    pub fn offer(&self, addr: SocketAddr, version: Version) {
        if let Some(source) = self.sources.lock().get_mut(&addr) {
            source.offered = version;
        }
        self.offered.notify_one();
    }

    /// Fetches each offered document that is newer than the one held, until cancelled.
    pub async fn run(self: Arc<Self>, cx: CancellationToken) {
        let mut delivered = 0;
        loop {
            tokio::select! {
                () = cx.cancelled() => return,
                () = self.offered.notified() => {}
            }
            loop {
                // A document that the listener cannot read is not fetched again.
                let floor = delivered.max(self.listener.held_version());
                if self.newest_offer() <= floor {
                    break;
                }
                tokio::select! {
                    () = cx.cancelled() => return,
                    version = self.fetch(floor) => delivered = version.max(delivered),
                }
            }
        }
    }

    fn newest_offer(&self) -> Version {
        self.sources.lock().values().map(|s| s.offered).max().unwrap_or(0)
    }

    /// Fetches a document that is newer than `floor` and passes it to the listener. Returns its
    /// version, or 0 if no replica offers one any more.
    async fn fetch(&self, floor: Version) -> Version {
        self.await_preferred(floor + 1).await;
        let started = boot_now();
        let mut partial = PartialDocument::default();
        let (mut failed, mut reported) = (HashSet::new(), HashSet::new());
        let (mut limit, mut delay) = (MIN_PART_TIMEOUT, MIN_RETRY_DELAY);
        while let Some((addr, link, offered)) = self.pick(partial.min_offer(floor), &failed) {
            let request = Body::FetchDocument(partial.next_part(offered));
            let failure = match link.request(request, limit).await {
                Ok(Body::DocumentPart(part)) => match partial.add(part) {
                    Progress::Complete(document) => {
                        let (version, bytes) = (document.version, document.body.len());
                        self.report(addr, version, bytes, started, None);
                        return self.deliver(addr, document);
                    }
                    Progress::Grown => continue,
                    Progress::Unexpected => "a part that does not continue the document".to_owned(),
                },
                Ok(_) => "not a part of a document".to_owned(),
                Err(e) => {
                    if matches!(e, LinkError::TimedOut) {
                        limit = (limit * 2).min(MAX_PART_TIMEOUT);
                    }
                    e.to_string()
                }
            };
            if reported.insert(addr) {
                self.report(addr, offered, partial.data.len(), started, Some(failure));
            }
            failed.insert(addr);
            if self.pick(partial.min_offer(floor), &failed).is_none() {
                failed.clear();
                if self.pick(partial.min_offer(floor), &failed).is_none() {
                    partial = PartialDocument::default();
                }
                sleep(delay).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
        0
    }

    fn deliver(&self, addr: SocketAddr, document: Document) -> Version {
        let version = document.version;
        self.listener.on_update(addr, News { document: Some(document), ..News::default() });
        version
    }

    fn report(
        &self,
        addr: SocketAddr,
        version: Version,
        bytes: usize,
        started: Moment,
        failure: Option<String>,
    ) {
        let elapsed = boot_now().saturating_sub(started);
        let fetch = DocumentFetch { version, bytes, elapsed, failure };
        self.listener.on_fetched(addr, &fetch);
    }

    /// Waits until it is the turn of the first replica, in this process's own order, that offers a
    /// document of version `min` or newer.
    ///
    /// A new leader offers the document first, and to all processes at the same time. Its link would
    /// be full of the document while those of the other replicas are idle.
    async fn await_preferred(&self, min: Version) {
        let started = boot_now();
        loop {
            let Some(position) = self.position_of_first_offer(min) else { return };
            let turn = OFFER_TURN * position as u32;
            let remaining = turn.saturating_sub(boot_now().saturating_sub(started));
            if remaining.is_zero() || timeout(remaining, self.offered.notified()).await.is_err() {
                return;
            }
        }
    }

    fn position_of_first_offer(&self, min: Version) -> Option<usize> {
        let sources = self.sources.lock();
        let order = preference_order(self.order_seed, sources.keys());
        order.iter().position(|addr| sources.get(addr).is_some_and(|s| s.offered >= min))
    }

    /// First replica in this process's own order that offers version `min` or a newer one and is not
    /// among `failed`, with the version that it offers.
    fn pick(
        &self,
        min: Version,
        failed: &HashSet<SocketAddr>,
    ) -> Option<(SocketAddr, Link, Version)> {
        let sources = self.sources.lock();
        let order = preference_order(self.order_seed, sources.keys());
        order.into_iter().filter(|addr| !failed.contains(addr)).find_map(|addr| {
            let source = sources.get(&addr).filter(|s| s.offered >= min)?;
            Some((addr, source.link.clone(), source.offered))
        })
    }
}

/// Orders replicas in a way that depends on the process.
///
/// ```
/// use bitternlead::control::document_fetcher::preference_order;
///
/// let replicas = ["10.0.0.1:7340".parse().unwrap(), "10.0.0.2:7340".parse().unwrap()];
/// let firsts = (0..100).filter(|seed| preference_order(*seed, &replicas)[0] == replicas[0]);
/// assert!((30..70).contains(&firsts.count()), "processes are spread over the replicas");
/// ```
pub fn preference_order<'a>(
    seed: u64,
    replicas: impl IntoIterator<Item = &'a SocketAddr>,
) -> Vec<SocketAddr> {
    let rank = |addr: &SocketAddr| xxh3_64_with_seed(addr.to_string().as_bytes(), seed);
    let mut order: Vec<SocketAddr> = replicas.into_iter().copied().collect();
    order.sort_by_cached_key(rank);
    order
}
