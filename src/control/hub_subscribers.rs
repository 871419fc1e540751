//! Subscribers of a control replica, and the updates that several of them get.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::core_config::Published;
use super::packing::pack_update;
use crate::ids::Moment;
use crate::wire::{Announcement, News};

/// Time for which a compressed list of all endpoints is reused for new subscribers, since compressing it
/// takes longer than sending it. Later changes are sent with it.
const LIST_VALIDITY: Duration = Duration::from_secs(1);

/// Validity of a list with cold endpoints, which states their remaining cold times as of when it was built.
const COLD_LIST_VALIDITY: Duration = Duration::from_millis(50);

/// A list is built anew when more than one in this many of its endpoints has changed.
const MIN_ENDPOINTS_PER_CHANGE: usize = 8;

/// A connected subscriber, and what it knows.
pub(super) struct Subscriber {
    /// Empty if the subscriber does not receive the load of other subscribers.
    pub(super) load_address: String,
    /// Version of the newest document that was sent or offered to the subscriber, or that it
    /// already held.
    pub(super) document_version: u64,
    /// Revision of the drained zones that were sent to the subscriber; `None` before the first ones.
    pub(super) drains_revision: Option<u64>,
    /// Whether the subscriber fetches documents when their version is offered.
    pub(super) fetches_documents: bool,
    /// Whether the subscriber reads compressed updates; earlier builds do not.
    pub(super) reads_packed: bool,
    /// Whether the subscriber needs neither endpoints nor load addresses.
    pub(super) replicas_only: bool,
    pub(super) tx: mpsc::Sender<News>,
    pub(super) cx: CancellationToken,
}

impl Subscriber {
    /// Queues an update; disconnects the subscriber if its queue is full.
    pub(super) fn send(&self, update: News) {
        if self.tx.try_send(update).is_err() {
            self.cx.cancel();
        }
    }

    /// Builds the part of an update that concerns the replicated state: the drained zones, and the
    /// document or the offer of it, where the subscriber does not know them yet.
    ///
    /// It is empty while this replica knows no leader, or less than its leader has committed. So a
    /// subscriber knows the drains that were acknowledged when it gets its first document.
    pub(super) fn state_update(&mut self, state: &Published) -> News {
        if !state.has_leader || state.lags {
            return News::default();
        }
        let mut update = News::default();
        if self.drains_revision.is_none_or(|sent| sent < state.zone_drains.revision) {
            self.drains_revision = Some(state.zone_drains.revision);
            update.zone_drains = Some(state.zone_drains.clone());
        }
        let version = state.document.version;
        if version <= self.document_version {
            return update;
        }
        self.document_version = version;
        if self.fetches_documents {
            return News { offered_version: version, ..update };
        }
        News { document: Some(state.document.clone()), ..update }
    }
}

/// An update for several subscribers, compressed once for all that read that.
pub(super) struct Broadcast {
    plain: News,
    packed: Option<News>,
}

impl Broadcast {
    pub(super) fn new(plain: News) -> Self {
        let packed = pack_update(&plain);
        Self { plain, packed }
    }

    pub(super) fn send_to(&self, subscriber: &Subscriber) {
        if subscriber.replicas_only {
            return;
        }
        let packed = self.packed.as_ref().filter(|_| subscriber.reads_packed);
        subscriber.send(packed.unwrap_or(&self.plain).clone());
    }
}

/// The compressed list of all endpoints for new subscribers.
pub(super) struct EndpointList {
    pub(super) packed: News,
    endpoints: usize,
    valid_until: Moment,
    /// Endpoints that changed after the list was built.
    pub(super) changed: HashMap<String, Announcement>,
}

impl EndpointList {
    /// Builds the list; `None` if it is too short to be compressed.
    pub(super) fn build(now: Moment, announcements: Vec<Announcement>) -> Option<Self> {
        let is_cold = announcements.iter().any(|a| a.cold_ms > 0);
        let validity = if is_cold { COLD_LIST_VALIDITY } else { LIST_VALIDITY };
        let endpoints = announcements.len();
        let packed = pack_update(&News { announcements, full: true, ..News::default() })?;
        Some(Self { packed, endpoints, valid_until: now + validity, changed: HashMap::new() })
    }

    pub(super) fn is_valid(&self, now: Moment) -> bool {
        now < self.valid_until && self.changed.len() * MIN_ENDPOINTS_PER_CHANGE <= self.endpoints
    }
}

/// Addresses at which these subscribers receive the load of others.
pub(super) fn load_addresses<'a>(subscribers: impl Iterator<Item = &'a Subscriber>) -> Vec<String> {
    let addresses = subscribers.map(|s| s.load_address.clone());
    addresses.filter(|address| !address.is_empty()).collect()
}
