//! What a leader knows about another replica.

use crate::ids::{Index, Moment};

/// Entries or a snapshot chunk on their way to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InFlight {
    /// Heartbeat round in which they were sent. Messages arrive in order, so the answer to a later
    /// round shows that they were lost.
    pub(super) round: u64,
    /// Index of the last entry, or offset in bytes after the snapshot chunk.
    pub(super) end: u64,
    /// Size of the entries or of the chunk.
    pub(super) bytes: usize,
}

/// What an answer says about entries or a snapshot chunk on their way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// They may still arrive.
    Pending,
    /// They arrived.
    Arrived,
    /// They were lost.
    Lost,
}

impl InFlight {
    /// Evaluates an answer of this round, which acknowledges everything up to `position`.
    pub(super) fn evaluate(self, round: u64, position: u64) -> Delivery {
        if position >= self.end {
            Delivery::Arrived
        } else if round > self.round {
            Delivery::Lost
        } else {
            Delivery::Pending
        }
    }
}

/// Replication progress of another replica, as its leader knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub(super) next_index: Index,
    /// Highest index that the replica is known to hold.
    pub(super) match_index: Index,
    /// Entries or the snapshot chunk that were sent and not answered yet.
    pub(super) in_flight: Option<InFlight>,
    /// Highest index that the replica was told to be committed.
    pub(super) told_commit: Index,
    /// Newest heartbeat round that the replica has acknowledged.
    pub(super) acked_round: u64,
    /// Offset in bytes of the next snapshot chunk to send.
    pub(super) snapshot_offset: u64,
    /// When its last answer arrived.
    pub(super) last_reply_at: Moment,
}
