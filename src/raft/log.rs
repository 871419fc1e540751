//! The in-memory replicated log: a snapshot and the entries that follow it.

use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message;

use crate::ids::{Index, Term};
use crate::wire::{Entry, Replica, Snapshot, command};

/// A snapshot, the entries after it and the newest membership that they contain.
#[derive(Clone, Debug, Default)]
pub struct RaftLog {
    snapshot_index: Index,
    snapshot_term: Term,
    snapshot_members: Vec<Replica>,
    snapshot: Bytes,
    entries: VecDeque<Entry>,
    /// Size of the encoded entries.
    bytes: usize,
    members: Vec<Replica>,
    members_index: Index,
}

impl RaftLog {
    /// Builds a log from an encoded snapshot and the entries that follow it.
    pub fn new(snapshot: Option<Bytes>, entries: Vec<Entry>) -> Self {
        let mut log = Self::default();
        if let Some(data) = snapshot {
            log.restore(data);
        }
        let base = log.snapshot_index;
        log.entries = entries.into_iter().filter(|e| e.index > base).collect();
        log.measure();
        log.refresh_members();
        log
    }

    /// Index of the last entry that the snapshot covers; 0 without a snapshot.
    pub fn snapshot_index(&self) -> Index {
        self.snapshot_index
    }

    /// Term of the last entry that the snapshot covers; 0 without a snapshot.
    pub fn snapshot_term(&self) -> Term {
        self.snapshot_term
    }

    /// Encoded snapshot; empty if there is none.
    pub fn snapshot(&self) -> &Bytes {
        &self.snapshot
    }

    /// Index of the last entry, or of the snapshot when no entry follows it.
    pub fn last_index(&self) -> Index {
        self.snapshot_index + self.entries.len() as u64
    }

    /// Term of the last entry, or of the snapshot when no entry follows it.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot_term, |e| e.term)
    }

    /// Number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Size of the encoded entries after the snapshot in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn measure(&mut self) {
        self.bytes = self.entries.iter().map(Message::encoded_len).sum();
    }

    /// Whether no entry follows the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Replicas of the newest membership in the log, committed or not.
    pub fn members(&self) -> &[Replica] {
        &self.members
    }

    /// Index of the entry that holds the newest membership.
    pub fn members_index(&self) -> Index {
        self.members_index
    }

    /// Term of the entry at `index`; `None` if it was compacted or does not exist yet.
    pub fn term_of(&self, index: Index) -> Option<Term> {
        if index == self.snapshot_index {
            return Some(self.snapshot_term);
        }
        self.get(index).map(|e| e.term)
    }

    /// The entry at `index`; `None` if it was compacted or does not exist yet.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns at most `max` entries, starting at index `from`.
    pub fn slice(&self, from: Index, max: usize) -> Vec<Entry> {
        let skip = from.saturating_sub(self.snapshot_index + 1) as usize;
        self.entries.iter().skip(skip).take(max).cloned().collect()
    }

    /// Returns the entries from index `from` on: at most `max`, and none after the one with which
    /// they exceed `max_bytes`, but at least one if there is any.
    pub fn batch(&self, from: Index, max: usize, max_bytes: usize) -> Vec<Entry> {
        let skip = from.saturating_sub(self.snapshot_index + 1) as usize;
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let is_within = bytes < max_bytes;
            bytes += entry.encoded_len();
            is_within
        };
        self.entries.iter().skip(skip).take(max).take_while(fits).cloned().collect()
    }

    /// First index after the snapshot whose entry has the same term as the one at `index`.
    pub fn first_index_of_term(&self, index: Index) -> Index {
        let Some(term) = self.term_of(index) else { return self.snapshot_index };
        let mut first = index;
        while first > self.snapshot_index + 1 && self.term_of(first - 1) == Some(term) {
            first -= 1;
        }
        first
    }

    /// Appends an entry, whose index must be `last_index() + 1`.
    pub fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Some(replicas) = members_of(&entry) {
            self.members = replicas;
            self.members_index = entry.index;
        }
        self.bytes += entry.encoded_len();
        self.entries.push_back(entry);
    }

    /// Drops all entries with an index of `from` or higher.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.snapshot_index + 1) as usize;
        self.entries.truncate(keep);
        self.measure();
        if self.members_index >= from {
            self.refresh_members();
        }
    }

    /// Replaces the entries up to and including `index` by a snapshot of the state at that index.
    pub fn compact(&mut self, index: Index, snapshot: Bytes) {
        let Some(term) = self.term_of(index) else { return };
        let covered = (index - self.snapshot_index) as usize;
        for entry in self.entries.drain(..covered) {
            if let Some(replicas) = members_of(&entry) {
                self.snapshot_members = replicas;
            }
        }
        self.measure();
        self.snapshot_index = index;
        self.snapshot_term = term;
        self.snapshot = snapshot;
    }

    /// Replaces everything up to the index of a received snapshot.
    ///
    /// Entries after that index stay if the log holds the snapshot's last entry, else all are
    /// dropped. Returns false if `data` is not an encoded snapshot.
    pub fn restore(&mut self, data: Bytes) -> bool {
        let Ok(snapshot) = Snapshot::decode(data.clone()) else { return false };
        let overlaps = self.term_of(snapshot.last_index) == Some(snapshot.last_term);
        if overlaps && snapshot.last_index >= self.snapshot_index {
            let covered = (snapshot.last_index - self.snapshot_index) as usize;
            self.entries.drain(..covered);
        } else {
            self.entries.clear();
        }
        self.measure();
        self.snapshot_index = snapshot.last_index;
        self.snapshot_term = snapshot.last_term;
        self.snapshot_members = snapshot.members.map(|m| m.replicas).unwrap_or_default();
        self.snapshot = data;
        self.refresh_members();
        true
    }

    fn refresh_members(&mut self) {
        let newest = self.entries.iter().rev().find_map(|e| Some((e.index, members_of(e)?)));
        let (index, members) =
            newest.unwrap_or((self.snapshot_index, self.snapshot_members.clone()));
        self.members_index = index;
        self.members = members;
    }
}

fn members_of(entry: &Entry) -> Option<Vec<Replica>> {
    match entry.command.as_ref()?.kind.as_ref()? {
        command::Kind::Members(m) => Some(m.replicas.clone()),
        _ => None,
    }
}
