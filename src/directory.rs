//! In-memory directory of the endpoints that announce themselves.
//!
//! Each endpoint sends a few announcements a second. They may arrive late or repeatedly, and an
//! address may pass from one endpoint to another.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::Moment;
use crate::wire::{Announcement, Standing};

/// Identity of an endpoint, as its announcements give it.
pub type EndpointId = SmolStr;

/// Difference between the known end of an endpoint's cold time and the announced one that counts as
/// a change. Announcements travel for different times, so a mere countdown differs a little.
const COLD_END_TOLERANCE: Duration = Duration::from_millis(250);

/// The same difference where only one of the two times is over.
const COLD_STATE_TOLERANCE: Duration = Duration::from_millis(50);

#[derive(Clone, Debug)]
struct EndpointRecord {
    /// Latest announcement; its cold time is the remaining one at `received_at`.
    announcement: Announcement,
    received_at: Moment,
    /// When the endpoint counts as silent unless it announces itself before.
    silent_at: Moment,
}

impl EndpointRecord {
    /// Time for which the endpoint stays cold.
    fn cold_time(&self, now: Moment) -> Duration {
        let stated = Duration::from_millis(self.announcement.cold_ms);
        self.received_at.saturating_add(stated).saturating_sub(now)
    }

    /// The announcement with the cold time that remains at `now`.
    fn aged_announcement(&self, now: Moment) -> Announcement {
        let elapsed = now.saturating_sub(self.received_at);
        age_cold_time(self.announcement.clone(), elapsed)
    }

    /// Whether an announcement that arrives at `now` changes more than the sequence number and the
    /// countdown of the cold time.
    fn is_changed_by(&self, now: Moment, announcement: &Announcement) -> bool {
        let (known, stated) = (self.cold_time(now), Duration::from_millis(announcement.cold_ms));
        let is_same_state = known.is_zero() == stated.is_zero();
        let tolerance = if is_same_state { COLD_END_TOLERANCE } else { COLD_STATE_TOLERANCE };
        known.abs_diff(stated) > tolerance
            || !equal_except_countdown(&self.announcement, announcement)
    }
}

/// Subtracts the time since an announcement was received from the cold time that it states.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::directory::age_cold_time;
/// use bitternlead::wire::Announcement;
///
/// let announcement = Announcement { cold_ms: 1_000, ..Announcement::default() };
/// assert_eq!(age_cold_time(announcement, Duration::from_millis(300)).cold_ms, 700);
/// ```
pub fn age_cold_time(announcement: Announcement, elapsed: Duration) -> Announcement {
    let cold_ms = announcement.cold_ms.saturating_sub(elapsed.as_millis() as u64);
    Announcement { cold_ms, ..announcement }
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
/// assert!(directory.record(Duration::ZERO, announcement.clone()).is_some());
/// assert!(directory.record(Duration::ZERO, announcement).is_none());
/// let silent = directory.mark_silent(Duration::from_secs(5));
/// assert_eq!(silent[0].standing(), Standing::Silent);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Directory {
    endpoints: HashMap<EndpointId, EndpointRecord>,
    /// Endpoints by the address of their latest announcement; mostly one for each address.
    by_address: HashMap<SmolStr, Vec<EndpointId>>,
    silence_timeout: Duration,
}

impl Directory {
    /// Creates an empty directory; an endpoint without an announcement for `silence_timeout`
    /// becomes silent.
    pub fn new(silence_timeout: Duration) -> Self {
        Self { silence_timeout, ..Self::default() }
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
            // The time since the file was written is not known, so the cold time begins again.
            let silent_at = now + confirm_within;
            if !self.endpoints.contains_key(&id) {
                self.insert(id, EndpointRecord { announcement, received_at: now, silent_at });
            }
        }
    }

    /// The latest announcement of every endpoint, with the cold time that remains at `now`, in no
    /// particular order.
    pub fn announcements(&self, now: Moment) -> Vec<Announcement> {
        self.endpoints.values().map(|record| record.aged_announcement(now)).collect()
    }

    /// Records an announcement that arrived at `now`, unless a newer one is known. Returns the
    /// announcements that changed, those of replaced endpoints included, or `None` without change.
    ///
    /// Most announcements change nothing. Those cost the same however many endpoints are known.
    pub fn record(&mut self, now: Moment, announcement: Announcement) -> Option<Vec<Announcement>> {
        if self.is_superseded(&announcement) {
            return None;
        }
        let mut changed = self.mark_address_replaced(&announcement);
        let silent_at = now + self.silence_timeout;
        if let Some(record) = self.endpoints.get_mut(announcement.id.as_str())
            && !record.is_changed_by(now, &announcement)
        {
            // The cold time stays the one that was published, so that small differences don't add
            // up without being noticed.
            record.announcement.seq = announcement.seq;
            record.silent_at = silent_at;
            return (!changed.is_empty()).then_some(changed);
        }
        changed.push(announcement.clone());
        let id = EndpointId::new(&announcement.id);
        self.insert(id, EndpointRecord { announcement, received_at: now, silent_at });
        Some(changed)
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
    /// changes it. A later start than the one that the departure names is not affected; without a
    /// `born` it names the start that is known here.
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
            return names_start.then(|| self.insert_departure(now, departure));
        };
        let known = &mut record.announcement;
        if names_start && known.born > departure.born {
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
        Some(known.clone())
    }

    fn insert_departure(&mut self, now: Moment, departure: Announcement) -> Announcement {
        let silent_at = now + self.silence_timeout;
        let announcement = departure.clone();
        let record = EndpointRecord { announcement, received_at: now, silent_at };
        self.insert(EndpointId::new(&departure.id), record);
        departure
    }

    /// Marks endpoints as silent whose announcements have stopped and returns them. Removes those
    /// that were not heard from for 16 times the silence timeout.
    pub fn mark_silent(&mut self, now: Moment) -> Vec<Announcement> {
        let mut newly_silent = Vec::new();
        for record in self.endpoints.values_mut() {
            if now >= record.silent_at
                && matches!(record.announcement.standing(), Standing::Ready | Standing::Draining)
            {
                record.announcement.set_standing(Standing::Silent);
                newly_silent.push(record.aged_announcement(now));
            }
        }
        let max_silence = self.silence_timeout * 15;
        let Self { endpoints, by_address, .. } = self;
        endpoints.retain(|id, record| {
            let is_kept = now < record.silent_at + max_silence;
            if !is_kept {
                remove_address(by_address, &record.announcement.address, id);
            }
            is_kept
        });
        newly_silent
    }

    /// Adds or replaces the record of an endpoint.
    fn insert(&mut self, id: EndpointId, record: EndpointRecord) {
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

    /// Other endpoints whose latest announcement has the same address.
    fn others_at<'a>(
        &'a self,
        announcement: &'a Announcement,
    ) -> impl Iterator<Item = &'a EndpointId> {
        let ids = self.by_address.get(announcement.address.as_str());
        ids.into_iter().flatten().filter(|id| id.as_str() != announcement.id)
    }

    /// Whether the directory holds a newer announcement of the endpoint, or a later start of
    /// another endpoint at its address.
    fn is_superseded(&self, announcement: &Announcement) -> bool {
        let existing = self.endpoints.get(announcement.id.as_str());
        let outdated = existing.is_some_and(|record| {
            let ended = record.announcement.standing() == Standing::Gone
                && announcement.born <= record.announcement.born;
            ended
                || (announcement.born, announcement.seq)
                    <= (record.announcement.born, record.announcement.seq)
        });
        let mut others = self.others_at(announcement).filter_map(|id| self.endpoints.get(id));
        outdated || others.any(|record| record.announcement.born > announcement.born)
    }

    /// Marks other endpoints at the announced address as gone and returns them.
    fn mark_address_replaced(&mut self, announcement: &Announcement) -> Vec<Announcement> {
        let others: Vec<EndpointId> = self.others_at(announcement).cloned().collect();
        let mut replaced = Vec::new();
        for id in others {
            let Some(record) = self.endpoints.get_mut(&id) else { continue };
            if record.announcement.standing() != Standing::Gone {
                record.announcement.set_standing(Standing::Gone);
                record.announcement.cold_ms = 0;
                replaced.push(record.announcement.clone());
            }
        }
        replaced
    }
}

/// Whether two announcements differ in nothing but the sequence number and the cold time.
pub(crate) fn equal_except_countdown(a: &Announcement, b: &Announcement) -> bool {
    let place = |a: &Announcement| (a.standing, a.born, a.slots);
    place(a) == place(b)
        && a.id == b.id
        && a.service == b.service
        && a.address == b.address
        && a.zone == b.zone
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
