//! Endpoints of a control replica: what they, other replicas and documents say of them.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::task::spawn_blocking;

use super::acknowledgements::{AckSender, Acknowledgements};
use super::announcement_relay::RelayedAnnouncement;
use super::hub::Hub;
use crate::clock::boot_now;
use crate::directory::{Recorded, leaves};
use crate::event;
use crate::wire::{Announcement, Document, Standing};

/// On whose word the state of an endpoint changed.
#[derive(Clone, Copy, Debug)]
pub(super) enum Origin {
    /// The endpoint called this replica.
    Endpoint,
    /// Another replica relayed what the endpoint said.
    Replica,
    /// Nothing was heard of the endpoint.
    Silence,
    /// A document names its service.
    Document,
}

impl Origin {
    fn as_str(self) -> &'static str {
        match self {
            Self::Endpoint => "endpoint",
            Self::Replica => "replica",
            Self::Silence => "silence",
            Self::Document => "document",
        }
    }
}

impl Hub {
    /// Applies an announcement that an endpoint sent to this replica and relays it.
    ///
    /// Returns the acknowledgements of all replicas that have written that the endpoint leaves, with whether that is
    /// in force here; `None` if it does not leave.
    pub fn announce(&self, mut announcement: Announcement) -> Option<(Acknowledgements, bool)> {
        announcement.revivals = self.inner.lock().directory.revivals(&announcement.id);
        let leaves = announcement.standing() == Standing::Draining;
        let (ack, acknowledgements) = leaves.then(Acknowledgements::channel).unzip();
        let relayed = RelayedAnnouncement { announcement: announcement.clone(), ack: ack.clone() };
        let _ = self.relay.send(relayed);
        self.apply(announcement.clone(), Origin::Endpoint);
        if let Some(ack) = ack {
            self.keep(announcement.clone(), ack);
        }
        acknowledgements.map(|all| (all, self.inner.lock().directory.holds(&announcement)))
    }

    /// Marks an endpoint as gone on its own request, logs and publishes that, and relays it. Returns
    /// the acknowledgements of all replicas that have written it.
    ///
    /// An endpoint that this replica does not know may be known to others.
    pub fn depart(&self, id: &str) -> Acknowledgements {
        let announcement = self.inner.lock().directory.departure_of(id);
        let (ack, acknowledgements) = Acknowledgements::channel();
        let relayed =
            RelayedAnnouncement { announcement: announcement.clone(), ack: Some(ack.clone()) };
        let _ = self.relay.send(relayed);
        self.apply(announcement.clone(), Origin::Endpoint);
        self.keep(announcement, ack);
        acknowledgements
    }

    /// Has a departure written that was applied here; `ack` tells when it is.
    ///
    /// What is written names the start that it ended, also if the endpoint's call did not.
    pub(super) fn keep(&self, departure: Announcement, ack: AckSender) {
        let applied = self.inner.lock().directory.latest(&departure.id).cloned();
        let departure = applied.filter(leaves).unwrap_or(departure);
        match &self.departures {
            Some(departures) => {
                let _ = departures.send((departure, ack));
            }
            // The call may have ended already.
            None => {
                let _ = ack.send(());
            }
        }
    }

    /// Relays the departures of the last run once a leader is known: other replicas may have ended before they wrote
    /// them.
    pub(super) async fn relay_again(self: Arc<Self>, departures: Vec<Announcement>) {
        let mut published = self.published.clone();
        if published.wait_for(|state| state.has_leader).await.is_err() {
            return;
        }
        for announcement in departures {
            let (ack, _) = Acknowledgements::channel();
            let _ = self.relay.send(RelayedAnnouncement { announcement, ack: Some(ack) });
        }
    }

    /// Applies an announcement that another replica relayed and publishes what changed.
    pub fn apply_announcement(&self, announcement: Announcement) {
        self.apply(announcement, Origin::Replica);
    }

    fn apply(&self, announcement: Announcement, origin: Origin) {
        let now = boot_now();
        if announcement.standing() == Standing::Gone {
            let gone = self.inner.lock().directory.record_departure(now, announcement);
            if let Some(gone) = gone {
                self.publish(vec![gone], origin);
            }
            return;
        }
        let recorded = self.inner.lock().directory.record(now, announcement.clone());
        self.log_recorded(&announcement, &recorded);
        if recorded == Recorded::Contested && matches!(origin, Origin::Endpoint) {
            self.contest(announcement);
            return;
        }
        if let Some(changed) = recorded.changed() {
            self.publish(vec![changed], origin);
        }
    }

    /// Lets an endpoint be asked that goes on to say that it is ready, after it has ended as far as is known.
    fn contest(&self, announcement: Announcement) {
        let mut inner = self.inner.lock();
        let is_in_use = inner.directory.is_ready(&announcement.id);
        if announcement.standing() == Standing::Ready && !is_in_use {
            inner.contested.insert(announcement.id.clone(), announcement);
            self.contested.notify_one();
        }
    }

    /// Logs what became of an announcement that is not simply a change.
    pub(super) fn log_recorded(&self, announcement: &Announcement, recorded: &Recorded) {
        let Announcement { id, service, address, born, seq, .. } = announcement;
        match recorded {
            Recorded::RuledOut => event!(self.log, AnnouncementRuledOut, "endpoint" => id,
                "service" => service, "address" => address, "born" => born, "seq" => seq),
            Recorded::Revived(revived) => event!(self.log, EndpointRevived, "endpoint" => id,
                "service" => service, "address" => address, "born" => born, "seq" => seq,
                "revivals" => revived.revivals),
            Recorded::Held => event!(self.log, ServiceUnknown, "endpoint" => id,
                "service" => service, "address" => address, "born" => born, "seq" => seq),
            Recorded::Unchanged | Recorded::Contested | Recorded::Changed(_) => {}
        }
    }

    /// Uses the endpoints of the services that a document names.
    pub(super) async fn apply_services(&self, document: &Document) {
        let Some(reader) = self.services.clone() else { return };
        let document = document.clone();
        let version = document.version;
        // A large document takes long to read.
        let names = spawn_blocking(move || reader(&document)).await;
        let Ok(Some(names)) = names else {
            event!(self.log, ConfigUnreadable, "version" => version, "from" => "log",
                "findings" => "the services could not be read");
            return;
        };
        let changed = self.inner.lock().directory.set_services(boot_now(), names);
        if !changed.is_empty() {
            self.publish(changed, Origin::Document);
        }
    }

    /// Logs changed endpoints, and lets them be sent to all subscribers.
    pub(super) fn publish(&self, announcements: Vec<Announcement>, origin: Origin) {
        for announcement in &announcements {
            let standing = announcement.standing().as_str_name();
            event!(self.log, EndpointStateChanged, "endpoint" => &announcement.id,
                "service" => &announcement.service, "address" => &announcement.address,
                "standing" => standing, "by" => origin.as_str(),
                "born" => announcement.born, "seq" => announcement.seq,
                "cold_ms" => announcement.cold_ms);
        }
        self.endpoints_changed.notify_one();
        let changed = announcements.into_iter().map(|a| (a.id.clone(), a));
        let changed: HashMap<String, Announcement> = changed.collect();
        let mut inner = self.inner.lock();
        if let Some(list) = &mut inner.endpoint_list {
            list.changed.extend(changed.clone());
        }
        inner.changed_endpoints.extend(changed);
        drop(inner);
        self.endpoints_to_send.notify_one();
    }
}
