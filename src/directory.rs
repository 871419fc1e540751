//! Endpoints that announce themselves, kept in memory only.
//!
//! Load that this answers: a few announcements a second for each endpoint, late and repeated
//! ones included, and addresses that change hands.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::Moment;
use crate::wire::{Announcement, Standing};

/// Identity of one endpoint, as it announces it.
pub type EndpointId = SmolStr;

#[derive(Clone, Debug)]
struct Known {
    said: Announcement,
    heard_at: Moment,
}

/// What endpoints last said of themselves.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::directory::Directory;
/// use bitternlead::wire::{Announcement, Standing};
///
/// let mut directory = Directory::new(Duration::from_secs(4));
/// let said = Announcement { id: "e-1".into(), seq: 1, ..Announcement::default() };
/// assert!(directory.hear(Duration::ZERO, said.clone()).is_some());
/// assert!(directory.hear(Duration::ZERO, said).is_none());
/// let silent = directory.sweep(Duration::from_secs(5));
/// assert_eq!(silent[0].standing(), Standing::Silent);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Directory {
    known: HashMap<EndpointId, Known>,
    silence: Duration,
}

impl Directory {
    /// Builds an empty directory; an endpoint that is not heard for `silence` counts as silent.
    pub fn new(silence: Duration) -> Self {
        Self { known: HashMap::new(), silence }
    }

    /// All that is known.
    pub fn all(&self) -> Vec<Announcement> {
        self.known.values().map(|k| k.said.clone()).collect()
    }

    /// Takes an announcement; returns what changed by it, if anything did.
    pub fn hear(&mut self, now: Moment, said: Announcement) -> Option<Vec<Announcement>> {
        if self.is_superseded(&said) {
            return None;
        }
        let mut changed = self.retire_address(&said);
        let id = EndpointId::new(&said.id);
        let same = self.known.get(&id).is_some_and(|k| is_same(&k.said, &said));
        if !same {
            changed.push(said.clone());
        }
        self.known.insert(id, Known { said, heard_at: now });
        (!changed.is_empty()).then_some(changed)
    }

    /// Notes that an endpoint ended by its own word; `born` names its start where it is known.
    pub fn leave(&mut self, id: &str, born: Option<u64>) -> Option<Announcement> {
        let known = self.known.get_mut(id)?;
        let later_start = born.is_some_and(|b| known.said.born > b);
        if later_start || known.said.standing() == Standing::Gone {
            return None;
        }
        known.said.set_standing(Standing::Gone);
        Some(known.said.clone())
    }

    /// Finds endpoints that fell silent, and forgets those that ended long ago.
    pub fn sweep(&mut self, now: Moment) -> Vec<Announcement> {
        let silence = self.silence;
        let mut fallen = Vec::new();
        for known in self.known.values_mut() {
            let quiet = now.saturating_sub(known.heard_at) >= silence;
            if quiet && matches!(known.said.standing(), Standing::Ready | Standing::Draining) {
                known.said.set_standing(Standing::Silent);
                fallen.push(known.said.clone());
            }
        }
        self.known.retain(|_, k| now.saturating_sub(k.heard_at) < silence * 16);
        fallen
    }

    /// Whether something newer is known of the endpoint or of its address.
    fn is_superseded(&self, said: &Announcement) -> bool {
        let own = self.known.get(said.id.as_str());
        let older = own.is_some_and(|k| {
            let ended = k.said.standing() == Standing::Gone && said.born <= k.said.born;
            ended || (said.born, said.seq) <= (k.said.born, k.said.seq)
        });
        let taken = self.known.values().any(|k| {
            k.said.address == said.address && k.said.id != said.id && k.said.born > said.born
        });
        older || taken
    }

    /// Marks as gone what an endpoint with a later start has replaced at its address.
    fn retire_address(&mut self, said: &Announcement) -> Vec<Announcement> {
        let mut retired = Vec::new();
        for known in self.known.values_mut() {
            let other = &mut known.said;
            let same_address = other.address == said.address && other.id != said.id;
            if same_address && other.standing() != Standing::Gone {
                other.set_standing(Standing::Gone);
                retired.push(other.clone());
            }
        }
        retired
    }
}

fn is_same(a: &Announcement, b: &Announcement) -> bool {
    let plain = |said: &Announcement| Announcement { seq: 0, ..said.clone() };
    plain(a) == plain(b)
}
