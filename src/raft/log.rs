//! The replicated log as held in memory: a snapshot and the entries after it.

use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message;

use crate::ids::{Index, Term};
use crate::wire::{Entry, Replica, Snapshot, command};

/// Entries after a snapshot, with the membership that they lead to.
#[derive(Clone, Debug, Default)]
pub struct RaftLog {
    snapshot_index: Index,
    snapshot_term: Term,
    snapshot_members: Vec<Replica>,
    snapshot: Bytes,
    entries: VecDeque<Entry>,
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
        log.find_members();
        log
    }

    /// Index that the snapshot covers.
    pub fn snapshot_index(&self) -> Index {
        self.snapshot_index
    }

    /// Term of the last entry that the snapshot covers.
    pub fn snapshot_term(&self) -> Term {
        self.snapshot_term
    }

    /// Encoded snapshot; empty when none was taken.
    pub fn snapshot(&self) -> &Bytes {
        &self.snapshot
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> Index {
        self.snapshot_index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot_term, |e| e.term)
    }

    /// Number of entries held after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry follows the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Replicas of the newest membership, committed or not.
    pub fn members(&self) -> &[Replica] {
        &self.members
    }

    /// Index of the newest membership.
    pub fn members_index(&self) -> Index {
        self.members_index
    }

    /// Term of an entry; `None` when it is compacted or missing.
    pub fn term_of(&self, index: Index) -> Option<Term> {
        if index == self.snapshot_index {
            return Some(self.snapshot_term);
        }
        self.get(index).map(|e| e.term)
    }

    /// An entry after the snapshot.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// At most `max` entries from an index on.
    pub fn slice(&self, from: Index, max: usize) -> Vec<Entry> {
        let skip = from.saturating_sub(self.snapshot_index + 1) as usize;
        self.entries.iter().skip(skip).take(max).cloned().collect()
    }

    /// First index of the term that the entry at `index` belongs to.
    pub fn first_index_of_term(&self, index: Index) -> Index {
        let Some(term) = self.term_of(index) else { return self.snapshot_index };
        let mut first = index;
        while first > self.snapshot_index + 1 && self.term_of(first - 1) == Some(term) {
            first -= 1;
        }
        first
    }

    /// Adds the next entry.
    pub fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Some(replicas) = members_of(&entry) {
            self.members = replicas;
            self.members_index = entry.index;
        }
        self.entries.push_back(entry);
    }

    /// Drops all entries from an index on.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.snapshot_index + 1) as usize;
        self.entries.truncate(keep);
        if self.members_index >= from {
            self.find_members();
        }
    }

    /// Replaces the entries up to `index` by a snapshot of the state there.
    pub fn compact(&mut self, index: Index, snapshot: Bytes) {
        let Some(term) = self.term_of(index) else { return };
        let drop = (index - self.snapshot_index) as usize;
        for entry in self.entries.drain(..drop) {
            if let Some(replicas) = members_of(&entry) {
                self.snapshot_members = replicas;
            }
        }
        self.snapshot_index = index;
        self.snapshot_term = term;
        self.snapshot = snapshot;
    }

    /// Replaces everything up to the snapshot's index; entries after it stay if they match.
    ///
    /// Returns false for bytes that are no snapshot.
    pub fn restore(&mut self, data: Bytes) -> bool {
        let Ok(snapshot) = Snapshot::decode(data.clone()) else { return false };
        let keeps = self.term_of(snapshot.last_index) == Some(snapshot.last_term);
        if keeps && snapshot.last_index >= self.snapshot_index {
            let drop = (snapshot.last_index - self.snapshot_index) as usize;
            self.entries.drain(..drop);
        } else {
            self.entries.clear();
        }
        self.snapshot_index = snapshot.last_index;
        self.snapshot_term = snapshot.last_term;
        self.snapshot_members = snapshot.members.map(|m| m.replicas).unwrap_or_default();
        self.snapshot = data;
        self.find_members();
        true
    }

    fn find_members(&mut self) {
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
