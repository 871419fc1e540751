//! Entries that may send at the same time as this one, as the control replicas list them.
//!
//! Entries that share something without asking each other have to see each other. An entry counts
//! only while more than half of the voting replicas list it. Any two such entries have a replica in
//! common, so each of them finds the other in its view. A view may contain more entries than that,
//! never fewer.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Moment;

/// Time for which an entry counts as listed after the replicas stopped listing it.
pub const STALE_TIME: Duration = Duration::from_secs(2);

/// Time for which an entry has to be listed before it counts itself, so that all others know it and
/// their sends from before have expired. It covers the 1.1 s for which a send counts, 0.4 s in which
/// the list travels, and 0.5 s from the claim of a send until it is connected. 1.5 s were too short
/// for sends that connect late.
pub const JOIN_TIME: Duration = Duration::from_millis(2000);

/// Time for which an entry that is no longer listed stays in the view. That entry sends on until its
/// link is idle for 1.3 s and its own list is older than [`STALE_TIME`]; its last sends take up to
/// 0.5 s to connect and count for 1.1 s.
pub const UNLISTED_TTL: Duration = Duration::from_secs(5);

/// Entries that this one knows of.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::gateway::eligibility::entry_view::{EntryView, JOIN_TIME};
///
/// let address = |text: &str| text.parse().unwrap();
/// let (own, other) = (address("10.0.0.1:7341"), address("10.0.0.2:7341"));
/// let (replica, now) = (address("10.0.0.9:7340"), Duration::from_secs(5));
/// let mut view = EntryView::default();
/// view.apply_voters(now, replica, vec![replica]);
/// view.apply_list(now, replica, own, &[own, other]);
/// assert!(!view.is_fresh(now), "other entries may not know this one");
/// assert!(view.is_fresh(now + JOIN_TIME));
/// assert_eq!(view.place(b"endpoint-1").entries, 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EntryView {
    own: Option<EntryHash>,
    /// Entries by the replica that lists them, sorted.
    lists: HashMap<SocketAddr, Vec<EntryHash>>,
    /// Voting replicas, by the replica that says so.
    voters: HashMap<SocketAddr, Vec<SocketAddr>>,
    /// Entries that are no longer listed, and since when.
    unlisted: HashMap<EntryHash, Moment>,
    /// All entries of the view, this one included.
    known: Vec<EntryHash>,
    /// Since when this entry is listed by more than half of the voters.
    listed_since: Option<Moment>,
    /// When it ceased to be.
    listed_until: Option<Moment>,
    /// Number of changes of `known`.
    generation: u64,
}

/// Hash of the load address of an entry.
type EntryHash = u64;

/// Place of this entry among all that may send to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Number of entries before this one.
    pub rank: usize,
    /// Number of entries, this one included.
    pub entries: usize,
}

impl Place {
    /// Share of `budget` sends: they are dealt to the entries in turn, in the order of their ranks.
    ///
    /// The shares of all entries add up to the budget. A share never grows when an entry is added,
    /// so that entries with different views exceed the budget only if they don't know each other.
    ///
    /// ```
    /// use bitternlead::gateway::eligibility::entry_view::Place;
    ///
    /// let shares: Vec<usize> = (0..6).map(|rank| Place { rank, entries: 6 }.share(22)).collect();
    /// assert_eq!(shares, [4, 4, 4, 4, 3, 3]);
    /// assert_eq!(Place { rank: 22, entries: 340 }.share(22), 0);
    /// ```
    pub fn share(self, budget: usize) -> usize {
        budget.saturating_sub(self.rank).div_ceil(self.entries.max(1))
    }
}

impl EntryView {
    /// Applies the list of load addresses of a control replica; `own` is that of this entry.
    pub fn apply_list(
        &mut self,
        now: Moment,
        control: SocketAddr,
        own: SocketAddr,
        listed: &[SocketAddr],
    ) {
        self.own = Some(entry_hash(&own));
        let mut list: Vec<EntryHash> = listed.iter().map(entry_hash).collect();
        list.sort_unstable();
        if self.lists.get(&control) != Some(&list) {
            let before = self.lists.insert(control, list).unwrap_or_default();
            self.note_unlisted(now, before);
        }
    }

    /// Applies the voting replicas as a control replica knows them.
    pub fn apply_voters(&mut self, now: Moment, control: SocketAddr, voters: Vec<SocketAddr>) {
        self.voters.insert(control, voters);
        self.update_listed(now);
    }

    /// Drops what a control replica said that is no longer connected.
    pub fn forget(&mut self, now: Moment, control: SocketAddr) {
        self.voters.remove(&control);
        let before = self.lists.remove(&control).unwrap_or_default();
        self.note_unlisted(now, before);
    }

    /// Whether all other entries that may send know this one.
    pub fn is_fresh(&self, now: Moment) -> bool {
        let has_joined = self.listed_since.is_some_and(|at| now >= at + JOIN_TIME);
        has_joined && self.listed_until.is_none_or(|at| now < at + STALE_TIME)
    }

    /// Drops entries that are not listed for longer than [`UNLISTED_TTL`]. While no replica is
    /// connected, they are kept.
    pub fn expire(&mut self, now: Moment) {
        if self.unlisted.is_empty() || self.lists.is_empty() {
            return;
        }
        let before = self.unlisted.len();
        self.unlisted.retain(|_, at| now < *at + UNLISTED_TTL);
        if self.unlisted.len() != before {
            self.merge();
        }
    }

    /// Number that is another one whenever places may have changed.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Place of this entry for a key, by rendezvous hashing over all entries of the view.
    ///
    /// Entries that are not listed any more count until [`Self::expire`] drops them.
    pub fn place(&self, key: &[u8]) -> Place {
        let Some(own) = self.own else { return Place { rank: usize::MAX, entries: usize::MAX } };
        let score = |entry: EntryHash| (xxh3_64_with_seed(key, entry), entry);
        let own_score = score(own);
        let rank = self.known.iter().filter(|entry| score(**entry) > own_score).count();
        Place { rank, entries: self.known.len() }
    }

    /// Notes which entries of an earlier list are no longer listed by any replica.
    fn note_unlisted(&mut self, now: Moment, before: Vec<EntryHash>) {
        let lists = &self.lists;
        let is_listed =
            |entry: &EntryHash| lists.values().any(|list| list.binary_search(entry).is_ok());
        self.unlisted.extend(before.into_iter().map(|entry| (entry, now)));
        self.unlisted.retain(|entry, _| !is_listed(entry));
        self.merge();
        self.update_listed(now);
    }

    fn merge(&mut self) {
        let listed = self.lists.values().flatten().chain(self.unlisted.keys()).chain(&self.own);
        let mut known: Vec<EntryHash> = listed.copied().collect();
        // The stable sort merges the sorted lists.
        known.sort();
        known.dedup();
        if known != self.known {
            self.known = known;
            self.generation += 1;
        }
    }

    fn update_listed(&mut self, now: Moment) {
        if self.is_listed_by_majority() {
            if self.listed_until.is_some_and(|at| now >= at + STALE_TIME) {
                self.listed_since = None;
            }
            self.listed_since.get_or_insert(now);
            self.listed_until = None;
        } else if self.listed_since.is_some_and(|at| now < at + JOIN_TIME) {
            (self.listed_since, self.listed_until) = (None, None);
        } else if self.listed_since.is_some() {
            self.listed_until.get_or_insert(now);
        }
    }

    fn is_listed_by_majority(&self) -> bool {
        let Some(own) = self.own else { return false };
        let listing = self.lists.iter().filter(|(_, list)| list.binary_search(&own).is_ok());
        // Processes that keep no list know only some of the replicas.
        let knowing = self.voters.iter().filter(|(control, _)| self.lists.contains_key(*control));
        let voters: HashSet<SocketAddr> = knowing.flat_map(|(_, all)| all).copied().collect();
        listing.filter(|(control, _)| voters.contains(*control)).count() * 2 > voters.len()
    }
}

fn entry_hash(addr: &SocketAddr) -> EntryHash {
    let ip = match addr.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    xxh3_64_with_seed(&ip.octets(), u64::from(addr.port()))
}
