//! Evidence that an endpoint runs although what is known says otherwise: it goes on announcing itself.
//!
//! An announcement may be late, and so may two that were under way together. Two that come apart are a reason to ask the
//! endpoint itself, whose answer may be false too; three need no answer.

use std::time::Duration;

use crate::ids::Moment;
use crate::wire::Announcement;

/// Number of announcements that count as steady. Those of an endpoint that has left or crashed may
/// arrive late; no more than two calls of one endpoint are under way at a time.
const MIN_ANNOUNCEMENTS: u32 = 3;

/// Announcements of one start that the known state rules out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Steadiness {
    born: u64,
    last_seq: u64,
    first_at: Moment,
    count: u32,
}

impl Steadiness {
    /// Counts an announcement that arrived at `now`; one that is not newer than those before counts
    /// for nothing.
    pub(super) fn add(before: Option<Self>, now: Moment, announcement: &Announcement) -> Self {
        let (born, seq) = (announcement.born, announcement.seq);
        match before {
            Some(known) if known.born == born && known.last_seq < seq => {
                Self { last_seq: seq, count: known.count + 1, ..known }
            }
            Some(known) if known.born >= born => known,
            _ => Self { born, last_seq: seq, first_at: now, count: 1 },
        }
    }

    /// Whether at least two announcements of this start came, `gap` apart.
    pub(super) fn is_repeated(&self, now: Moment, born: u64, gap: Duration) -> bool {
        let lasted = now.saturating_sub(self.first_at) >= gap;
        self.born == born && lasted && self.count >= 2
    }

    /// Whether the announcements of this start kept coming for `span`. Late ones arrive together when
    /// their path is whole again.
    pub(super) fn is_steady(&self, now: Moment, born: u64, span: Duration) -> bool {
        let lasted = now.saturating_sub(self.first_at) >= span;
        self.born == born && lasted && self.count >= MIN_ANNOUNCEMENTS
    }
}
