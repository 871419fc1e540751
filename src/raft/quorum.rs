//! Which voters have to agree.
//!
//! A voter whose disk was lost is void: it never votes or acknowledges again. One void vote is left out of the count:
//! of `2k` voters, `k` of the other `2k - 1` are then a quorum in place of `k + 1` of all. Among an odd number of
//! voters it changes nothing. Quorums of both kinds meet, except for two halves of which each leaves out a voter
//! of the other. These can't both come about, because a replica leaves out only what it knew to be void before it
//! began its election: each half would need an answer of a voter that had lost its disk before the question was asked.

use std::collections::BTreeSet;

use crate::ids::ReplicaId;
use crate::wire::Replica;

/// Voters of one membership, of which one may not be counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct VoterSet {
    ids: Vec<ReplicaId>,
    /// Void voter that is left out of the count.
    left_out: Option<ReplicaId>,
}

impl VoterSet {
    fn new(ids: Vec<ReplicaId>, void: &BTreeSet<ReplicaId>) -> Self {
        let left_out = ids.iter().copied().find(|id| void.contains(id));
        Self { ids, left_out }
    }

    fn counted(&self) -> impl Iterator<Item = ReplicaId> {
        self.ids.iter().copied().filter(|id| Some(*id) != self.left_out)
    }

    fn majority(&self) -> usize {
        self.counted().count() / 2 + 1
    }

    /// The highest value that a majority has reached; `None` without voters.
    fn agreed<T: Ord>(&self, value: impl Fn(ReplicaId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.counted().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.majority() - 1)
    }
}

/// The voters of a membership. While it changes, those before the change and those after it each have to agree
/// by a majority, so that no moment of it survives fewer losses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Quorums {
    current: VoterSet,
    /// Voters before the change that is under way; empty if there is none.
    former: VoterSet,
}

impl Quorums {
    /// The voters among these replicas; `void` are those whose disks were lost.
    pub(super) fn of(replicas: &[Replica], void: &BTreeSet<ReplicaId>) -> Self {
        let ids = |votes: fn(&&Replica) -> bool| replicas.iter().filter(votes).map(|r| r.id);
        Self {
            current: VoterSet::new(ids(|r| r.voter).collect(), void),
            former: VoterSet::new(ids(|r| r.former_voter).collect(), void),
        }
    }

    /// Whether the voters are being changed.
    pub(super) fn is_changing(&self) -> bool {
        !self.former.ids.is_empty()
    }

    /// Number of voters, without one that is being replaced.
    pub(super) fn size(&self) -> usize {
        self.current.ids.len()
    }

    /// All voters, those before and after a change.
    pub(super) fn voters(&self) -> Vec<ReplicaId> {
        let removed = self.former.ids.iter().filter(|id| !self.current.ids.contains(id));
        self.current.ids.iter().chain(removed).copied().collect()
    }

    /// Whether a replica votes, before or after a change.
    pub(super) fn contains(&self, id: ReplicaId) -> bool {
        self.current.ids.contains(&id) || self.former.ids.contains(&id)
    }

    /// Whether this replica is the only voter that counts.
    pub(super) fn is_only(&self, id: ReplicaId) -> bool {
        let mut counted = self.current.counted().chain(self.former.counted());
        self.contains(id) && counted.all(|voter| voter == id)
    }

    /// Number of voters that have to agree at least.
    pub(super) fn copies(&self) -> usize {
        self.current.majority().max(self.former.majority())
    }

    /// The highest value that a quorum has reached; `None` without voters.
    pub(super) fn agreed<T: Ord>(&self, value: impl Fn(ReplicaId) -> T) -> Option<T> {
        let current = self.current.agreed(&value);
        if !self.is_changing() {
            return current;
        }
        current.min(self.former.agreed(&value))
    }

    /// Whether a quorum fulfils a condition.
    pub(super) fn agree(&self, holds: impl Fn(ReplicaId) -> bool) -> bool {
        self.agreed(holds) == Some(true)
    }
}
