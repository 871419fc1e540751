//! In-memory directory of the endpoints that announce themselves.
//!
//! Each endpoint sends a few announcements a second. They may arrive late or repeatedly, an address
//! may pass from one endpoint to another, and another process may announce what is not true. What one
//! process says of itself never ends another: an endpoint that goes on announcing itself is used
//! again once nothing is heard of what spoke against it.

mod record;
mod steadiness;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use smol_str::SmolStr;

pub(crate) use self::record::equal_except_countdown;
use self::record::{EndpointRecord, Relation};
pub use self::record::{age_cold_time, leaves, newest_of, precedence};
use self::steadiness::Steadiness;
use crate::ids::Moment;
use crate::wire::{Announcement, Standing};

/// Identity of an endpoint, as its announcements give it.
pub type EndpointId = SmolStr;

/// Fraction of the silence timeout for which an endpoint has to go on announcing itself before that
/// overrules what is known of it.
const STEADY_SHARE: f64 = 0.5;

/// Fraction of the silence timeout after which a second announcement of an endpoint that has ended is a reason to
/// ask it: well under the time between two of its announcements, and more than those take that were held up together.
const REPEATED_SHARE: f64 = 0.2;

/// Number of endpoints of unknown services that are kept; further ones are ignored.
const MAX_HELD: usize = 16_384;

/// What became of an announcement.
#[derive(Clone, Debug, PartialEq)]
pub enum Recorded {
    /// It says nothing new, or was sent before what is known.
    Unchanged,
    /// The endpoint changed.
    Changed(Announcement),
    /// The endpoint is used again, because it went on announcing itself.
    Revived(Announcement),
    /// What is known rules it out; it is the first one of its start that does.
    RuledOut,
    /// What is known rules it out, like another one before: the endpoint itself has to be asked.
    Contested,
    /// No document names its service; it is the first one of its endpoint.
    Held,
}

impl Recorded {
    /// The changed endpoint, if there is one.
    pub fn changed(self) -> Option<Announcement> {
        match self {
            Self::Changed(announcement) | Self::Revived(announcement) => Some(announcement),
            Self::Unchanged | Self::RuledOut | Self::Contested | Self::Held => None,
        }
    }
}

/// Services whose endpoints are used.
#[derive(Clone, Debug, Default)]
enum Services {
    #[default]
    Any,
    Named(HashSet<SmolStr>),
}

impl Services {
    fn contains(&self, service: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Named(names) => names.contains(service),
        }
    }
}

/// The latest announcement of each endpoint.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::directory::Directory;
/// use bitternlead::wire::{Announcement, Standing};
///
/// let mut directory = Directory::new(Duration::from_secs(4));
/// let announcement = Announcement { id: "e-1".into(), seq: 1, ..Announcement::default() };
/// assert!(directory.record(Duration::ZERO, announcement.clone()).changed().is_some());
/// assert!(directory.record(Duration::ZERO, announcement).changed().is_none());
/// let silent = directory.mark_silent(Duration::from_secs(5));
/// assert_eq!(silent[0].standing(), Standing::Silent);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Directory {
    endpoints: HashMap<EndpointId, EndpointRecord>,
    /// Endpoints by the address of their latest announcement; mostly one for each address.
    by_address: HashMap<SmolStr, Vec<EndpointId>>,
    services: Services,
    /// Endpoints of services that are not known. They are without effect until a service is.
    held: HashMap<EndpointId, EndpointRecord>,
    silence_timeout: Duration,
}

impl Directory {
    /// Creates an empty directory for endpoints of all services; an endpoint without an announcement
    /// for `silence_timeout` becomes silent.
    pub fn new(silence_timeout: Duration) -> Self {
        Self { silence_timeout, ..Self::default() }
    }

    /// Creates an empty directory that knows no service yet.
    pub fn without_services(silence_timeout: Duration) -> Self {
        let services = Services::Named(HashSet::new());
        Self { services, ..Self::new(silence_timeout) }
    }

    /// Sets the services whose endpoints are used, and returns the endpoints that were held for
    /// those that are new. One that contradicts what is known has to announce itself again. Endpoints
    /// of a service that is not named any more stay until they are silent.
    pub fn set_services(&mut self, now: Moment, names: HashSet<SmolStr>) -> Vec<Announcement> {
        self.services = Services::Named(names);
        let services = &self.services;
        let is_named = |_: &EndpointId, record: &mut EndpointRecord| {
            services.contains(&record.announcement.service)
        };
        let named: Vec<(EndpointId, EndpointRecord)> = self.held.extract_if(is_named).collect();
        let mut changed = Vec::new();
        for (id, record) in named {
            let is_known = self.endpoints.contains_key(&id);
            let is_contested = self.is_in_use(&record.announcement.address);
            if now < record.silent_at && !is_known && !is_contested {
                changed.push(record.aged_announcement(now));
                self.insert(id, record);
            }
        }
        changed
    }

    /// Adds endpoints that an earlier run of this process knew. Each of them counts as silent
    /// unless it announces itself within `confirm_within`.
    pub fn restore(
        &mut self,
        now: Moment,
        announcements: Vec<Announcement>,
        confirm_within: Duration,
    ) {
        for announcement in announcements {
            let id = EndpointId::new(&announcement.id);
            let is_named = self.services.contains(&announcement.service);
            // The time since the file was written is not known, so the cold time begins again.
            let record = EndpointRecord::new(now, announcement, now + confirm_within);
            if !is_named {
                self.held.entry(id).or_insert(record);
            } else if !self.endpoints.contains_key(&id) {
                self.insert(id, record);
            }
        }
    }

    /// The latest announcement of every endpoint, with the cold time that remains at `now`, in no
    /// particular order.
    pub fn announcements(&self, now: Moment) -> Vec<Announcement> {
        self.endpoints.values().map(|record| record.aged_announcement(now)).collect()
    }

    /// The latest announcement of one endpoint.
    pub fn latest(&self, id: &str) -> Option<&Announcement> {
        self.endpoints.get(id).map(|record| &record.announcement)
    }

    /// How often steady announcements of an endpoint have overruled what was known of it.
    pub fn revivals(&self, id: &str) -> u32 {
        self.endpoints.get(id).map_or(0, |record| record.announcement.revivals)
    }

    /// Records an announcement that arrived at `now`.
    ///
    /// Most announcements change nothing. Those cost the same however many endpoints are known.
    pub fn record(&mut self, now: Moment, announcement: Announcement) -> Recorded {
        if !self.services.contains(&announcement.service) {
            return self.hold(now, announcement);
        }
        let Some(record) = self.endpoints.get(announcement.id.as_str()) else {
            let silent_at = now + self.silence_timeout;
            let record = EndpointRecord::new(now, announcement.clone(), silent_at);
            self.insert(EndpointId::new(&announcement.id), record);
            return Recorded::Changed(announcement);
        };
        match record.relation_of(&announcement) {
            Relation::Outdated => Recorded::Unchanged,
            Relation::RuledOut => self.weigh(now, announcement),
            Relation::Restarted => {
                let revivals = record.announcement.revivals + 1;
                Recorded::Revived(self.revive(now, Announcement { revivals, ..announcement }))
            }
            Relation::Newer => self.update(now, announcement),
        }
    }

    /// Keeps an announcement of a service that no document names.
    fn hold(&mut self, now: Moment, announcement: Announcement) -> Recorded {
        let id = EndpointId::new(&announcement.id);
        let silent_at = now + self.silence_timeout;
        let is_first = match self.held.get(&id) {
            Some(record) if record.relation_of(&announcement) != Relation::Newer => {
                return Recorded::Unchanged;
            }
            Some(_) => false,
            None if self.held.len() >= MAX_HELD => return Recorded::Unchanged,
            None => true,
        };
        self.held.insert(id, EndpointRecord::new(now, announcement, silent_at));
        if is_first { Recorded::Held } else { Recorded::Unchanged }
    }

    /// Counts an announcement that the record of its endpoint rules out. When they keep coming while
    /// nothing is heard of what rules them out, the endpoint is used again.
    fn weigh(&mut self, now: Moment, announcement: Announcement) -> Recorded {
        let span = self.silence_timeout.mul_f64(STEADY_SHARE);
        let Some(record) = self.endpoints.get_mut(announcement.id.as_str()) else {
            return Recorded::Unchanged;
        };
        if record.has_just_ended(now) {
            return Recorded::Unchanged;
        }
        let is_first = record.contradiction.is_none();
        let contradiction = Steadiness::add(record.contradiction, now, &announcement);
        record.contradiction = Some(contradiction);
        let is_steady = contradiction.is_steady(now, announcement.born, span);
        if is_steady && record.has_ended() && announcement.standing() == Standing::Ready {
            let revivals = record.announcement.revivals + 1;
            return Recorded::Revived(self.revive(now, Announcement { revivals, ..announcement }));
        }
        let gap = self.silence_timeout.mul_f64(REPEATED_SHARE);
        let is_repeated = contradiction.is_repeated(now, announcement.born, gap);
        match (is_first, is_repeated && announcement.standing() == Standing::Ready) {
            (true, _) => Recorded::RuledOut,
            (false, true) => Recorded::Contested,
            (false, false) => Recorded::Unchanged,
        }
    }

    /// Replaces the state of an endpoint by a newer announcement.
    fn update(&mut self, now: Moment, mut announcement: Announcement) -> Recorded {
        let silent_at = now + self.silence_timeout;
        let span = self.silence_timeout.mul_f64(STEADY_SHARE);
        let rival = self.later_start_at(&announcement);
        let Some(record) = self.endpoints.get_mut(announcement.id.as_str()) else {
            return Recorded::Unchanged;
        };
        let known_revivals = record.announcement.revivals;
        announcement.revivals = announcement.revivals.max(known_revivals);
        record.contradiction =
            rival.map(|_| Steadiness::add(record.contradiction, now, &announcement));
        let is_steady =
            record.contradiction.is_some_and(|c| c.is_steady(now, announcement.born, span));
        if is_steady && rival == Some(Rival::Ended) {
            announcement.revivals += 1;
            return Recorded::Revived(self.revive(now, announcement));
        }
        record.heard_at = now;
        record.silent_at = silent_at;
        if !record.is_changed_by(now, &announcement) {
            // The cold time stays the one that was published, so that small differences don't add
            // up without being noticed.
            record.announcement.seq = announcement.seq;
            return Recorded::Unchanged;
        }
        let (contradiction, revived_at) = (record.contradiction, record.revived_at);
        let record = EndpointRecord::new(now, announcement.clone(), silent_at);
        let record = EndpointRecord { contradiction, revived_at, ..record };
        self.insert(EndpointId::new(&announcement.id), record);
        Recorded::Changed(announcement)
    }

    /// Whether what an endpoint has said of its end is in force: it is known to leave or to have ended, or is not
    /// known at all. Only then may it be acknowledged.
    pub fn holds(&self, departure: &Announcement) -> bool {
        let Some(record) = self.endpoints.get(departure.id.as_str()) else { return true };
        let is_of_replaced_start = departure.standing() == Standing::Gone
            && departure.born > 0
            && departure.born < record.announcement.born;
        is_of_replaced_start || !record.is_ready()
    }

    /// Whether an endpoint is known and neither draining nor ended.
    pub fn is_ready(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(EndpointRecord::is_ready)
    }

    /// Uses an endpoint again that leaves or has ended, as far as is known, and that answers itself that it runs.
    /// `announcement` is the one that contradicted its end.
    pub fn confirm(&mut self, now: Moment, announcement: Announcement) -> Recorded {
        let Some(record) = self.endpoints.get(announcement.id.as_str()) else {
            return Recorded::Unchanged;
        };
        let is_ruled_out = record.relation_of(&announcement) == Relation::RuledOut;
        if !is_ruled_out || record.is_ready() {
            return Recorded::Unchanged;
        }
        let revivals = record.announcement.revivals + 1;
        Recorded::Revived(self.revive(now, Announcement { revivals, ..announcement }))
    }

    fn revive(&mut self, now: Moment, announcement: Announcement) -> Announcement {
        let silent_at = now + self.silence_timeout;
        let record = EndpointRecord::new(now, announcement.clone(), silent_at);
        let record = EndpointRecord { revived_at: Some(now), ..record };
        self.insert(EndpointId::new(&announcement.id), record);
        announcement
    }

    /// The departure that an endpoint has announced to this process. It names the start that ended,
    /// unless the endpoint is not known here.
    pub fn departure_of(&self, id: &str) -> Announcement {
        let known = self.endpoints.get(id).map(|record| record.announcement.clone());
        let mut departure =
            known.unwrap_or_else(|| Announcement { id: id.to_owned(), ..Announcement::default() });
        departure.set_standing(Standing::Gone);
        departure.cold_ms = 0;
        departure
    }

    /// Records that an endpoint has gone, as it said itself, and returns its announcement if that
    /// changes it. A later start than the one that the departure names is not affected, nor one that has
    /// been used again since; without a `born` it names the start that is known here.
    ///
    /// An endpoint that is not known is recorded too, so that an announcement that is still under way
    /// does not add it.
    pub fn record_departure(
        &mut self,
        now: Moment,
        departure: Announcement,
    ) -> Option<Announcement> {
        let names_start = departure.born > 0;
        let Some(record) = self.endpoints.get_mut(departure.id.as_str()) else {
            self.held.remove(departure.id.as_str());
            return names_start.then(|| self.insert_departure(now, departure));
        };
        let known = &mut record.announcement;
        let was_used_again = known.revivals > departure.revivals;
        if names_start && (known.born > departure.born || was_used_again) {
            return None;
        }
        if known.born < departure.born {
            return Some(self.insert_departure(now, departure));
        }
        if known.standing() == Standing::Gone {
            return None;
        }
        known.set_standing(Standing::Gone);
        known.cold_ms = 0;
        let gone = known.clone();
        record.contradiction = None;
        record.ended_at = Some(now);
        Some(gone)
    }

    fn insert_departure(&mut self, now: Moment, departure: Announcement) -> Announcement {
        let silent_at = now + self.silence_timeout;
        let revivals = departure.revivals.max(self.revivals(&departure.id));
        let departure = Announcement { revivals, ..departure };
        let record = EndpointRecord::new(now, departure.clone(), silent_at);
        let record = EndpointRecord { ended_at: Some(now), ..record };
        self.insert(EndpointId::new(&departure.id), record);
        departure
    }

    /// Marks endpoints as silent whose announcements have stopped and returns them. Removes those
    /// that were not heard from for 16 times the silence timeout.
    pub fn mark_silent(&mut self, now: Moment) -> Vec<Announcement> {
        let mut newly_silent = Vec::new();
        for record in self.endpoints.values_mut() {
            if now >= record.silent_at && !record.has_ended() {
                record.announcement.set_standing(Standing::Silent);
                newly_silent.push(record.aged_announcement(now));
            }
        }
        let max_silence = self.silence_timeout * 15;
        let Self { endpoints, by_address, held, .. } = self;
        endpoints.retain(|id, record| {
            let is_kept = now < record.silent_at + max_silence;
            if !is_kept {
                remove_address(by_address, &record.announcement.address, id);
            }
            is_kept
        });
        held.retain(|_, record| now < record.silent_at);
        newly_silent
    }

    /// Adds or replaces the record of an endpoint.
    fn insert(&mut self, id: EndpointId, mut record: EndpointRecord) {
        if let Some(before) = self.endpoints.get(&id) {
            record = record.after(before);
        }
        let address = SmolStr::new(&record.announcement.address);
        let previous = self.endpoints.insert(id.clone(), record);
        let previous = previous.map(|p| p.announcement.address);
        if previous.as_deref() == Some(address.as_str()) {
            return;
        }
        if let Some(previous) = previous {
            remove_address(&mut self.by_address, &previous, &id);
        }
        self.by_address.entry(address).or_default().push(id);
    }

    /// Whether an endpoint that has not ended has an address.
    fn is_in_use(&self, address: &str) -> bool {
        let ids = self.by_address.get(address).into_iter().flatten();
        ids.filter_map(|id| self.endpoints.get(id)).any(|record| !record.has_ended())
    }

    /// Whether another endpoint at the announced address started later, and was heard since the
    /// announced endpoint was last revived.
    fn later_start_at(&self, announcement: &Announcement) -> Option<Rival> {
        let id = announcement.id.as_str();
        let revived_at = self.endpoints.get(id).and_then(|record| record.revived_at);
        let ids = self.by_address.get(announcement.address.as_str());
        let others = ids.into_iter().flatten().filter(|other| other.as_str() != id);
        let later = others.filter_map(|other| self.endpoints.get(other)).filter(|other| {
            other.announcement.born > announcement.born && Some(other.heard_at) > revived_at
        });
        let states = later.map(|other| if other.has_ended() { Rival::Ended } else { Rival::Live });
        states.max()
    }
}

/// State of an endpoint that has announced the address of another and started later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rival {
    Ended,
    Live,
}

fn remove_address(
    by_address: &mut HashMap<SmolStr, Vec<EndpointId>>,
    address: &str,
    id: &EndpointId,
) {
    let Some(ids) = by_address.get_mut(address) else { return };
    ids.retain(|other| other != id);
    if ids.is_empty() {
        by_address.remove(address);
    }
}
