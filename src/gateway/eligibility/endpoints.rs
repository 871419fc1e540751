//! Endpoints that are ready for requests, as the control replicas report them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::directory::EndpointId;
use crate::ids::Moment;
use crate::wire::{Announcement, Standing};

/// Time after which the endpoints reported by a lost control replica are dropped, provided another
/// replica is connected.
const STALE_REPORT_TTL: Duration = Duration::from_secs(5);

/// An endpoint that is ready for requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Identity of the endpoint, as it announces it.
    pub id: EndpointId,
    /// Address that requests are sent to.
    pub addr: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: SmolStr,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
}

struct ReplicaReport {
    announcements: HashMap<EndpointId, Announcement>,
    lost_at: Option<Moment>,
}

/// Endpoints as reported by all connected control replicas.
#[derive(Default)]
pub struct Endpoints {
    reports: HashMap<String, ReplicaReport>,
    /// Endpoints that said in an answer that they leave, with the time of the start that said so.
    leaving: HashMap<EndpointId, u64>,
    ready: HashMap<SmolStr, Arc<Vec<Endpoint>>>,
    /// Times of the starts of the ready endpoints, as they announce them.
    starts: HashMap<EndpointId, u64>,
}

impl Endpoints {
    /// Applies an update of one control replica; a `full` update replaces everything it reported
    /// before.
    pub fn apply_update(&mut self, control: &str, announcements: Vec<Announcement>, full: bool) {
        let empty = || ReplicaReport { announcements: HashMap::new(), lost_at: None };
        let report = self.reports.entry(control.to_owned()).or_insert_with(empty);
        report.lost_at = None;
        if full {
            report.announcements.clear();
        }
        for announcement in announcements {
            report.announcements.insert(EndpointId::new(&announcement.id), announcement);
        }
        self.merge();
    }

    /// Records that the connection to a control replica was lost.
    pub fn mark_lost(&mut self, now: Moment, control: &str) {
        if let Some(report) = self.reports.get_mut(control) {
            report.lost_at.get_or_insert(now);
        }
    }

    /// Drops the reports of replicas that were lost for longer than `STALE_REPORT_TTL`.
    ///
    /// They are kept while no replica is connected, so that requests are still served without the
    /// control plane.
    pub fn expire(&mut self, now: Moment) {
        if self.reports.values().all(|r| r.lost_at.is_some()) {
            return;
        }
        let before = self.reports.len();
        self.reports
            .retain(|_, r| r.lost_at.is_none_or(|at| now.saturating_sub(at) < STALE_REPORT_TTL));
        if self.reports.len() != before {
            self.merge();
        }
    }

    /// Records that an endpoint said in an answer that it leaves; false if that is known.
    ///
    /// It counts like an announcement of the same, whatever the endpoint announces afterwards, until
    /// it starts again. Its announcements tell the other entries; this entry does not.
    pub fn mark_leaving(&mut self, id: &EndpointId) -> bool {
        let announcements = self.reports.values().filter_map(|r| r.announcements.get(id));
        let born = announcements.map(|a| a.born).max().unwrap_or_default();
        let is_news = self.leaving.insert(id.clone(), born) != Some(born);
        if is_news {
            self.merge();
        }
        is_news
    }

    /// Ready endpoints of a service, sorted by id.
    pub fn ready_endpoints(&self, service: &str) -> Arc<Vec<Endpoint>> {
        self.ready.get(service).cloned().unwrap_or_default()
    }

    /// Number of ready endpoints of all services.
    pub fn ready_count(&self) -> usize {
        self.ready.values().map(|of_service| of_service.len()).sum()
    }

    /// Ready endpoints with the times of their starts.
    pub fn starts(&self) -> impl Iterator<Item = (&EndpointId, u64)> {
        self.starts.iter().map(|(id, born)| (id, *born))
    }

    /// Whether an endpoint is ready.
    pub fn is_ready(&self, id: &str) -> bool {
        self.ready.values().any(|of_service| of_service.iter().any(|e| e.id == id))
    }

    fn merge(&mut self) {
        let mut newest: HashMap<&str, &Announcement> = HashMap::new();
        for announcement in self.reports.values().flat_map(|r| r.announcements.values()) {
            let current = newest.entry(announcement.id.as_str()).or_insert(announcement);
            if precedence(announcement) > precedence(current) {
                *current = announcement;
            }
        }
        self.leaving.retain(|id, born| newest.get(id.as_str()).is_some_and(|a| a.born <= *born));
        let mut by_address: HashMap<&str, &Announcement> = HashMap::new();
        for announcement in newest.into_values() {
            let current = by_address.entry(announcement.address.as_str()).or_insert(announcement);
            if announcement.born > current.born {
                *current = announcement;
            }
        }
        let mut ready: HashMap<SmolStr, Vec<Endpoint>> = HashMap::new();
        self.starts.clear();
        for announcement in by_address.into_values().filter(|s| s.standing() == Standing::Ready) {
            let Ok(addr) = announcement.address.parse() else { continue };
            let (id, zone) = (EndpointId::new(&announcement.id), SmolStr::new(&announcement.zone));
            if self.leaving.contains_key(&id) {
                continue;
            }
            self.starts.insert(id.clone(), announcement.born);
            let endpoint = Endpoint { id, addr, zone, slots: announcement.slots };
            ready.entry(SmolStr::new(&announcement.service)).or_default().push(endpoint);
        }
        for of_service in ready.values_mut() {
            of_service.sort_by(|a, b| a.id.cmp(&b.id));
        }
        self.ready = ready.into_iter().map(|(name, list)| (name, Arc::new(list))).collect();
    }
}

/// Order of announcements for the same endpoint; the highest one wins.
///
/// A later start comes first. Within one start, `Gone` is final, and an endpoint that any replica
/// still hears from is not silent. Otherwise the newer announcement wins.
fn precedence(announcement: &Announcement) -> (u64, u8, u64) {
    let rank = match announcement.standing() {
        Standing::Gone => 2,
        Standing::Ready | Standing::Draining => 1,
        Standing::Silent => 0,
    };
    (announcement.born, rank, announcement.seq)
}
