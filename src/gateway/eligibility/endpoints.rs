//! Endpoints that are ready for requests, as the control replicas report them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::directory::{EndpointId, leaves, precedence};
use crate::ids::Moment;
use crate::wire::{Announcement, Standing};

/// Time after which the endpoints reported by a lost control replica are dropped, provided another
/// replica is connected.
const STALE_REPORT_TTL: Duration = Duration::from_secs(5);

/// Time for which an endpoint that is not at its address, as the one there says, is not used. A start
/// that takes an address over before its predecessor has let go of it is tried again after this time.
const MISDIRECTED_TTL: Duration = Duration::from_secs(5);

/// Number of announcements in an update from which on all endpoints are merged anew, since that is
/// cheaper than a change of the lists for each.
const MAX_SINGLE_CHANGES: usize = 64;

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

/// Time for which what replicas reported of an endpoint that leaves is kept, also if they report it no longer: all of
/// them may start again, and one that knows less may come first.
const ENDED_TTL: Duration = Duration::from_secs(20);

/// What a replica reported of an endpoint that leaves.
struct Ended {
    announcement: Arc<Announcement>,
    /// Set when time is next looked at.
    until: Option<Moment>,
}

struct ReplicaReport {
    announcements: HashMap<EndpointId, Arc<Announcement>>,
    lost_at: Option<Moment>,
}

/// What another endpoint's answer at an address says of the endpoint that was asked.
struct Misdirected {
    born: u64,
    until: Moment,
}

/// Endpoints as reported by all connected control replicas.
#[derive(Default)]
pub struct Endpoints {
    reports: HashMap<String, ReplicaReport>,
    /// Endpoints that leave, as any replica has reported lately.
    ended: HashMap<EndpointId, Ended>,
    /// Endpoints that said in an answer that they leave, with the time of the start that said so.
    leaving: HashMap<EndpointId, u64>,
    /// Endpoints that another one has answered for at their address, and until when that counts.
    misdirected: HashMap<EndpointId, Misdirected>,
    /// The announcement of each endpoint that takes precedence over those of other replicas.
    newest: HashMap<EndpointId, Arc<Announcement>>,
    /// Endpoints by the address of their newest announcement; mostly one for each address.
    by_address: HashMap<SmolStr, Vec<EndpointId>>,
    /// Ready endpoints by service, sorted by id.
    ready: HashMap<SmolStr, Arc<Vec<Endpoint>>>,
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
        let is_small = !full && announcements.len() <= MAX_SINGLE_CHANGES;
        let mut ids = Vec::new();
        for announcement in announcements {
            let id = EndpointId::new(&announcement.id);
            if is_small {
                ids.push(id.clone());
            }
            record_end(&mut self.ended, &id, &announcement);
            report.announcements.insert(id, Arc::new(announcement));
        }
        if is_small {
            ids.iter().for_each(|id| self.merge_one(id));
        } else {
            self.merge();
        }
    }

    /// All that is known of one endpoint.
    fn reports_of(&self, id: &EndpointId) -> impl Iterator<Item = &Arc<Announcement>> {
        let ended = self.ended.get(id).map(|ended| &ended.announcement);
        self.reports.values().filter_map(|r| r.announcements.get(id)).chain(ended)
    }

    /// Records that the connection to a control replica was lost.
    pub fn mark_lost(&mut self, now: Moment, control: &str) {
        if let Some(report) = self.reports.get_mut(control) {
            report.lost_at.get_or_insert(now);
        }
    }

    /// Drops the reports of replicas that were lost for longer than `STALE_REPORT_TTL`, and what
    /// answers said too long ago.
    ///
    /// Reports are kept while no replica is connected, so that requests are still served without the
    /// control plane.
    pub fn expire(&mut self, now: Moment) {
        let outdated = self.misdirected.extract_if(|_, found| now >= found.until);
        let mut outdated: Vec<EndpointId> = outdated.map(|(id, _)| id).collect();
        let is_over =
            |_: &EndpointId, ended: &mut Ended| now >= *ended.until.get_or_insert(now + ENDED_TTL);
        outdated.extend(self.ended.extract_if(is_over).map(|(id, _)| id));
        outdated.iter().for_each(|id| self.merge_one(id));
        self.expire_reports(now);
    }

    fn expire_reports(&mut self, now: Moment) {
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
        let born = self.reports_of(id).map(|a| a.born).max().unwrap_or_default();
        let is_news = self.leaving.insert(id.clone(), born) != Some(born);
        if is_news {
            self.merge_one(id);
        }
        is_news
    }

    /// Records that another endpoint answered at the address of this one; false if that is known.
    ///
    /// Only the process at an address can tell that, while anyone can announce an address. The
    /// endpoint is not used for a time, and does not keep another one at its address from being used.
    pub fn mark_misdirected(&mut self, now: Moment, id: &EndpointId) -> bool {
        let Some(born) = self.newest.get(id).map(|a| a.born) else { return false };
        let found = Misdirected { born, until: now + MISDIRECTED_TTL };
        let is_news = self.misdirected.insert(id.clone(), found).is_none_or(|f| f.born != born);
        if is_news {
            self.merge_one(id);
        }
        is_news
    }

    fn is_misdirected(&self, id: &EndpointId) -> bool {
        let born = self.newest.get(id).map(|a| a.born);
        self.misdirected.get(id).is_some_and(|found| Some(found.born) == born)
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
        let ready = self.ready.values().flat_map(|of_service| of_service.iter());
        ready.filter_map(|e| Some((&e.id, self.newest.get(&e.id)?.born)))
    }

    /// Whether an endpoint is ready.
    pub fn is_ready(&self, id: &str) -> bool {
        self.ready.values().any(|of_service| find(of_service, id).is_ok())
    }

    /// Derives the ready endpoints from all reports.
    fn merge(&mut self) {
        self.newest.clear();
        let ended = self.ended.values().map(|ended| &ended.announcement);
        let reported = self.reports.values().flat_map(|r| r.announcements.values());
        for announcement in reported.chain(ended) {
            let id = EndpointId::new(&announcement.id);
            let current = self.newest.entry(id).or_insert_with(|| Arc::clone(announcement));
            if precedence(announcement) > precedence(current) {
                *current = Arc::clone(announcement);
            }
        }
        let newest = &self.newest;
        self.leaving.retain(|id, born| newest.get(id).is_some_and(|a| a.born <= *born));
        self.by_address.clear();
        for (id, announcement) in &self.newest {
            let address = SmolStr::new(&announcement.address);
            self.by_address.entry(address).or_default().push(id.clone());
        }
        let mut ready: HashMap<SmolStr, Vec<Endpoint>> = HashMap::new();
        for id in self.newest.keys() {
            if let Some((service, endpoint)) = self.ready_endpoint(id) {
                ready.entry(service).or_default().push(endpoint);
            }
        }
        for of_service in ready.values_mut() {
            of_service.sort_by(|a, b| a.id.cmp(&b.id));
        }
        self.ready = ready.into_iter().map(|(name, list)| (name, Arc::new(list))).collect();
    }

    /// Derives anew whether one endpoint is ready, and the others at its address.
    fn merge_one(&mut self, id: &EndpointId) {
        let newest = self.reports_of(id).max_by_key(|a| precedence(a)).cloned();
        if newest.as_ref().is_none_or(|a| self.leaving.get(id).is_some_and(|born| a.born > *born)) {
            self.leaving.remove(id);
        }
        let before = match &newest {
            Some(newest) => self.newest.insert(id.clone(), Arc::clone(newest)),
            None => self.newest.remove(id),
        };
        let mut affected: HashSet<EndpointId> = HashSet::from([id.clone()]);
        for announcement in [&before, &newest].into_iter().flatten() {
            affected.extend(
                self.by_address.get(announcement.address.as_str()).into_iter().flatten().cloned(),
            );
        }
        let address = |a: &Option<Arc<Announcement>>| a.as_ref().map(|a| SmolStr::new(&a.address));
        let (old_address, new_address) = (address(&before), address(&newest));
        if old_address != new_address {
            self.move_address(id, old_address, new_address);
        }
        let old_service = before.map(|a| SmolStr::new(&a.service));
        for affected_id in affected {
            let ready = self.ready_endpoint(&affected_id);
            let service = self.newest.get(&affected_id).map(|a| SmolStr::new(&a.service));
            let old_service = old_service.as_ref().filter(|_| affected_id == *id);
            for service in old_service.into_iter().chain(&service) {
                let endpoint = ready.as_ref().filter(|(s, _)| s == service).map(|(_, e)| e);
                self.set_ready(service, &affected_id, endpoint);
            }
        }
    }

    fn move_address(&mut self, id: &EndpointId, from: Option<SmolStr>, to: Option<SmolStr>) {
        if let Some(from) = from
            && let Some(ids) = self.by_address.get_mut(&from)
        {
            ids.retain(|other| other != id);
            if ids.is_empty() {
                self.by_address.remove(&from);
            }
        }
        if let Some(to) = to {
            self.by_address.entry(to).or_default().push(id.clone());
        }
    }

    /// Whether one endpoint keeps another at the same address from being used: the one that started
    /// last is there. Once it has ended itself, it no longer speaks against one that was revived.
    fn excludes(&self, other: &EndpointId, endpoint: &Announcement) -> bool {
        let Some(announcement) = self.newest.get(other) else { return false };
        let started_later =
            (announcement.born, other.as_str()) > (endpoint.born, endpoint.id.as_str());
        let has_ended = matches!(announcement.standing(), Standing::Gone | Standing::Silent);
        started_later && !(has_ended && endpoint.revivals > 0) && !self.is_misdirected(other)
    }

    /// The endpoint with its service, if it is ready and no other one is at its address.
    fn ready_endpoint(&self, id: &EndpointId) -> Option<(SmolStr, Endpoint)> {
        let announcement = self.newest.get(id)?;
        let is_ready = announcement.standing() == Standing::Ready;
        if !is_ready || self.leaving.contains_key(id) || self.is_misdirected(id) {
            return None;
        }
        let at_address = self.by_address.get(announcement.address.as_str())?;
        if at_address.iter().any(|other| self.excludes(other, announcement)) {
            return None;
        }
        let endpoint = Endpoint {
            id: id.clone(),
            addr: announcement.address.parse().ok()?,
            zone: SmolStr::new(&announcement.zone),
            slots: announcement.slots,
        };
        Some((SmolStr::new(&announcement.service), endpoint))
    }

    /// Adds, replaces or removes an endpoint in the list of a service, unless it is there as it is.
    fn set_ready(&mut self, service: &SmolStr, id: &EndpointId, endpoint: Option<&Endpoint>) {
        let list = self.ready.entry(service.clone()).or_default();
        match (find(list, id), endpoint) {
            (Ok(at), Some(endpoint)) if list[at] == *endpoint => {}
            (Ok(at), Some(endpoint)) => Arc::make_mut(list)[at] = endpoint.clone(),
            (Ok(at), None) => drop(Arc::make_mut(list).remove(at)),
            (Err(at), Some(endpoint)) => Arc::make_mut(list).insert(at, endpoint.clone()),
            (Err(_), None) => {}
        }
        if list.is_empty() {
            self.ready.remove(service);
        }
    }
}

/// Position of an endpoint in a list that is sorted by id, or where it would be.
fn find(of_service: &[Endpoint], id: &str) -> Result<usize, usize> {
    of_service.binary_search_by(|e| e.id.as_str().cmp(id))
}

/// Keeps what says that an endpoint leaves, unless something known takes precedence.
fn record_end(
    ended: &mut HashMap<EndpointId, Ended>,
    id: &EndpointId,
    announcement: &Announcement,
) {
    let is_known = ended
        .get(id)
        .is_some_and(|known| precedence(&known.announcement) >= precedence(announcement));
    if leaves(announcement) && !is_known {
        let announcement = Arc::new(announcement.clone());
        ended.insert(id.clone(), Ended { announcement, until: None });
    }
}
