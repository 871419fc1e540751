//! What the directory keeps of one endpoint.

use std::collections::HashMap;
use std::time::Duration;

use super::steadiness::Steadiness;
use crate::ids::Moment;
use crate::wire::{Announcement, Standing};

/// Difference between the known end of an endpoint's cold time and the announced one that counts as
/// a change. Announcements travel for different times, so a mere countdown differs a little.
const COLD_END_TOLERANCE: Duration = Duration::from_millis(250);

/// The same difference where only one of the two times is over.
const COLD_STATE_TOLERANCE: Duration = Duration::from_millis(50);

/// Time after a departure in which announcements arrive that another replica got before it and relayed since.
const UNDER_WAY_TIME: Duration = Duration::from_millis(250);

/// Starts of an endpoint before the present one that are kept; one that goes up and down in turn has a few
/// within the time for which an announcement can be held up.
const MAX_PREVIOUS_STARTS: usize = 8;

/// What an announcement is to the record of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Relation {
    /// It is newer than what is known.
    Newer,
    /// It was sent before what is known.
    Outdated,
    /// It is of a start that ended by what is known, or that a later one has replaced.
    RuledOut,
    /// It is of a start that names an earlier time than the one before it, whose host's clock went back.
    Restarted,
}

/// Latest state of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointRecord {
    /// Latest announcement; its cold time is the remaining one at `received_at`.
    pub(super) announcement: Announcement,
    pub(super) received_at: Moment,
    /// When the endpoint was heard last.
    pub(super) heard_at: Moment,
    /// When the endpoint counts as silent unless it announces itself before.
    pub(super) silent_at: Moment,
    /// Announcements that speak against the latest state.
    pub(super) contradiction: Option<Steadiness>,
    /// When the endpoint said that it is gone.
    pub(super) ended_at: Option<Moment>,
    /// When steady announcements last overruled the state.
    pub(super) revived_at: Option<Moment>,
    /// Times of the starts before this one, the latest last.
    pub(super) previous_starts: Vec<u64>,
}

impl EndpointRecord {
    pub(super) fn new(now: Moment, announcement: Announcement, silent_at: Moment) -> Self {
        Self {
            announcement,
            received_at: now,
            heard_at: now,
            silent_at,
            contradiction: None,
            ended_at: None,
            revived_at: None,
            previous_starts: Vec::new(),
        }
    }

    /// The same record with the starts that `before` knew.
    pub(super) fn after(mut self, before: &Self) -> Self {
        self.previous_starts.clone_from(&before.previous_starts);
        let last = before.announcement.born;
        if last != self.announcement.born && !self.previous_starts.contains(&last) {
            self.previous_starts.push(last);
        }
        if self.previous_starts.len() > MAX_PREVIOUS_STARTS {
            self.previous_starts.remove(0);
        }
        self
    }

    /// Whether an announcement that arrives now was probably under way when the endpoint said that it is gone.
    pub(super) fn has_just_ended(&self, now: Moment) -> bool {
        self.ended_at.is_some_and(|at| now.saturating_sub(at) < UNDER_WAY_TIME)
    }

    /// Whether the endpoint is neither draining nor ended.
    pub(super) fn is_ready(&self) -> bool {
        self.announcement.standing() == Standing::Ready
    }

    /// Whether the endpoint has left or is not heard any more.
    pub(super) fn has_ended(&self) -> bool {
        matches!(self.announcement.standing(), Standing::Gone | Standing::Silent)
    }

    /// What an announcement is to this record.
    pub(super) fn relation_of(&self, announcement: &Announcement) -> Relation {
        let known = &self.announcement;
        if announcement.revivals > known.revivals || announcement.born > known.born {
            return Relation::Newer;
        }
        if announcement.born < known.born {
            // What is held up of a start before this one was mostly heard of then, or from another replica.
            let is_new = self.is_ready() && !self.previous_starts.contains(&announcement.born);
            return if is_new { Relation::Restarted } else { Relation::RuledOut };
        }
        match (announcement.seq > known.seq, known.standing()) {
            (false, _) => Relation::Outdated,
            (true, Standing::Gone) => Relation::RuledOut,
            (true, _) => Relation::Newer,
        }
    }

    /// Time for which the endpoint stays cold.
    fn cold_time(&self, now: Moment) -> Duration {
        let stated = Duration::from_millis(self.announcement.cold_ms);
        self.received_at.saturating_add(stated).saturating_sub(now)
    }

    /// The announcement with the cold time that remains at `now`.
    pub(super) fn aged_announcement(&self, now: Moment) -> Announcement {
        let elapsed = now.saturating_sub(self.received_at);
        age_cold_time(self.announcement.clone(), elapsed)
    }

    /// Whether an announcement that arrives at `now` changes more than the sequence number and the
    /// countdown of the cold time.
    pub(super) fn is_changed_by(&self, now: Moment, announcement: &Announcement) -> bool {
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

/// Order of announcements for the same endpoint; the highest one wins.
///
/// One that was revived comes first, then a later start. Within one start, `Gone` is final, and an endpoint that any replica
/// still hears from is not silent. Otherwise the newer announcement wins.
///
/// ```
/// use bitternlead::directory::precedence;
/// use bitternlead::wire::{Announcement, Standing};
///
/// let ready = Announcement { seq: 7, ..Announcement::default() };
/// let gone = Announcement { seq: 6, standing: Standing::Gone.into(), ..Announcement::default() };
/// assert!(precedence(&gone) > precedence(&ready));
/// ```
pub fn precedence(announcement: &Announcement) -> (u32, u64, u8, u64) {
    let rank = match announcement.standing() {
        Standing::Gone => 2,
        Standing::Ready | Standing::Draining => 1,
        Standing::Silent => 0,
    };
    (announcement.revivals, announcement.born, rank, announcement.seq)
}

/// The announcement of each endpoint that takes precedence over its others, in no particular order.
pub fn newest_of(announcements: impl Iterator<Item = Announcement>) -> Vec<Announcement> {
    let mut newest: HashMap<String, Announcement> = HashMap::new();
    for announcement in announcements {
        let known = newest.get(&announcement.id);
        if known.is_none_or(|known| precedence(&announcement) > precedence(known)) {
            newest.insert(announcement.id.clone(), announcement);
        }
    }
    newest.into_values().collect()
}

/// Whether an endpoint has said in this announcement that it leaves.
pub fn leaves(announcement: &Announcement) -> bool {
    matches!(announcement.standing(), Standing::Gone | Standing::Draining)
}

/// Whether two announcements differ in nothing but the sequence number and the cold time.
pub(crate) fn equal_except_countdown(a: &Announcement, b: &Announcement) -> bool {
    let place = |a: &Announcement| (a.standing, a.born, a.revivals, a.slots);
    place(a) == place(b)
        && a.id == b.id
        && a.service == b.service
        && a.address == b.address
        && a.zone == b.zone
}
