//! Log replication: appends, heartbeats, commits and snapshot transfer.

use prost::Message;

use super::progress::{Delivery, InFlight, Progress};
use super::{Effect, Raft, Role};
use crate::ids::{Index, Moment, ReplicaId};
use crate::wire::{Append, AppendReply, Entry, Install, InstallReply, peer};

impl Raft {
    /// Checks the quorum, then sends a due heartbeat and changes the membership if it is time.
    pub(super) fn tick_as_leader(&mut self, now: Moment) {
        if !self.check_quorum(now) {
            return;
        }
        if now.saturating_sub(self.last_heartbeat_at) >= self.cfg.heartbeat {
            self.broadcast_heartbeat(now);
        }
        self.change_members(now);
    }

    /// Starts a new heartbeat round: sends every other replica an append, even if it is empty. It
    /// has no entries while earlier ones are on their way, so that a full link is not filled with
    /// copies of them.
    pub(super) fn broadcast_heartbeat(&mut self, now: Moment) {
        self.last_heartbeat_at = now;
        self.round += 1;
        self.unacked_rounds.push_back((self.round, now));
        for id in self.other_replicas() {
            match self.progress_of(id).in_flight {
                Some(_) => self.send_probe(id),
                None => self.send_append(id),
            }
        }
    }

    /// Sends an append without entries, or a snapshot chunk without bytes.
    fn send_probe(&mut self, to: ReplicaId) {
        let prev_index = self.progress_of(to).next_index - 1;
        let kind = match self.log.term_of(prev_index) {
            Some(prev_term) => self.build_append(prev_index, prev_term, Vec::new()),
            None => self.build_install(to, 0),
        };
        self.send(to, kind);
    }

    /// Sends entries to replicas that lack some, and the commit index to those that hold entries
    /// which they do not know to be committed; both only if no append is unanswered.
    pub(super) fn replicate(&mut self, _now: Moment) {
        for id in self.other_replicas() {
            let progress = self.progress_of(id);
            let behind = progress.next_index <= self.log.last_index();
            let unaware = progress.told_commit < progress.match_index.min(self.commit_index);
            if (behind || unaware) && progress.in_flight.is_none() {
                self.send_append(id);
            }
        }
    }

    fn progress_of(&mut self, id: ReplicaId) -> Progress {
        self.progress_mut(id).clone()
    }

    fn progress_mut(&mut self, id: ReplicaId) -> &mut Progress {
        let next_index = self.log.last_index().max(1);
        self.progress.entry(id).or_insert(Progress { next_index, ..Progress::default() })
    }

    /// Sends the next entries to a replica, or the snapshot if they were compacted.
    fn send_append(&mut self, to: ReplicaId) {
        let prev_index = self.progress_of(to).next_index - 1;
        let Some(prev_term) = self.log.term_of(prev_index) else {
            self.send_snapshot_chunk(to);
            return;
        };
        let entries =
            self.log.batch(prev_index + 1, self.cfg.max_append_entries, self.cfg.max_append_bytes);
        let in_flight = InFlight {
            round: self.round,
            end: prev_index + entries.len() as u64,
            bytes: entries.iter().map(Message::encoded_len).sum(),
        };
        self.progress_mut(to).in_flight = (!entries.is_empty()).then_some(in_flight);
        self.progress_mut(to).told_commit = self.commit_index.min(in_flight.end);
        let append = self.build_append(prev_index, prev_term, entries);
        self.send(to, append);
    }

    fn build_append(&self, prev_index: Index, prev_term: u64, entries: Vec<Entry>) -> peer::Kind {
        let (commit, round) = (self.commit_index, self.round);
        peer::Kind::Append(Append { prev_index, prev_term, entries, commit, round })
    }

    /// Sends the next chunk of the snapshot.
    fn send_snapshot_chunk(&mut self, to: ReplicaId) {
        let chunk = self.build_install(to, self.cfg.snapshot_chunk_bytes);
        if let peer::Kind::Install(install) = &chunk {
            let bytes = install.data.len();
            let end = install.offset + bytes as u64;
            self.progress_mut(to).in_flight = Some(InFlight { round: self.round, end, bytes });
        }
        self.send(to, chunk);
    }

    /// Builds the next snapshot chunk for a replica, of at most `max_bytes`.
    fn build_install(&mut self, to: ReplicaId, max_bytes: usize) -> peer::Kind {
        let data = self.log.snapshot().clone();
        let start = (self.progress_of(to).snapshot_offset as usize).min(data.len());
        let end = (start + max_bytes).min(data.len());
        peer::Kind::Install(Install {
            last_index: self.log.snapshot_index(),
            last_term: self.log.snapshot_term(),
            offset: start as u64,
            data: data.slice(start..end),
            done: end == data.len(),
            round: self.round,
        })
    }

    /// Stores the entries of a leader if the log matches up to the entry before them.
    pub(super) fn on_append(&mut self, now: Moment, from: ReplicaId, msg: Append) {
        if !self.follow_leader(now, from) {
            return;
        }
        self.heard_commit_index = self.heard_commit_index.max(msg.commit);
        if let Some(hint) = self.find_conflict_hint(msg.prev_index, msg.prev_term) {
            self.send(from, append_reply(false, hint, msg.round));
            return;
        }
        let match_index = msg.prev_index + msg.entries.len() as u64;
        for entry in msg.entries {
            self.store_entry(entry);
        }
        self.commit_up_to(msg.commit.min(match_index));
        self.send(from, append_reply(true, match_index, msg.round));
    }

    /// Follows the leader of the current term; returns false if this replica is the leader.
    fn follow_leader(&mut self, now: Moment, from: ReplicaId) -> bool {
        if self.is_leader() {
            return false;
        }
        self.role = Role::Follower;
        self.leader = Some(from);
        self.seen_leader = true;
        self.leader_heard_at = now;
        self.reset_election_deadline(now);
        true
    }

    /// Compares the entry before an append with the log.
    ///
    /// On a conflict, returns the index after which the leader should continue: it skips the whole
    /// conflicting term, or the entries that are missing here.
    fn find_conflict_hint(&self, prev_index: Index, prev_term: u64) -> Option<Index> {
        if prev_index < self.log.snapshot_index() {
            return None;
        }
        match self.log.term_of(prev_index) {
            Some(term) if term == prev_term => None,
            Some(_) => Some(self.log.first_index_of_term(prev_index).saturating_sub(1)),
            None => Some(self.log.last_index()),
        }
    }

    /// Appends an entry; a different uncommitted entry at its index is discarded with all after it.
    fn store_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot_index() {
            return;
        }
        match self.log.term_of(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                assert!(entry.index > self.commit_index, "a committed entry would be overwritten");
                self.log.truncate(entry.index);
                self.effects.push(Effect::Truncate(entry.index));
            }
            None => {}
        }
        self.log.append(entry.clone());
        self.effects.push(Effect::SaveEntry(entry));
    }

    /// Raises the commit index and emits the newly committed entries.
    fn commit_up_to(&mut self, index: Index) {
        let end = index.min(self.log.last_index());
        while self.commit_index < end {
            self.commit_index += 1;
            if let Some(entry) = self.log.get(self.commit_index) {
                self.effects.push(Effect::Commit(entry.clone()));
            }
        }
    }

    /// Forgets what is on its way to a replica if an answer of this round, up to `position`, shows
    /// that it arrived or was lost.
    fn settle_in_flight(&mut self, from: ReplicaId, round: u64, position: u64) {
        let progress = self.progress_mut(from);
        let Some(in_flight) = progress.in_flight else { return };
        match in_flight.evaluate(round, position) {
            Delivery::Pending => return,
            Delivery::Arrived => {}
            Delivery::Lost => self.lost_bytes += in_flight.bytes,
        }
        self.progress_mut(from).in_flight = None;
    }

    /// Updates the progress of a replica; after a conflict it resends from the returned index.
    pub(super) fn on_append_reply(&mut self, now: Moment, from: ReplicaId, reply: AppendReply) {
        if !self.is_leader() || !self.other_replicas().contains(&from) {
            return;
        }
        self.record_acked_round(from, reply.round);
        let last = self.log.last_index();
        self.settle_in_flight(from, reply.round, reply.index);
        let progress = self.progress_mut(from);
        progress.last_reply_at = now;
        if reply.ok {
            progress.match_index = progress.match_index.max(reply.index.min(last));
            progress.next_index = progress.next_index.max(progress.match_index + 1);
        } else {
            let hint = reply.index.min(progress.next_index.saturating_sub(2));
            progress.next_index = (hint + 1).max(progress.match_index + 1);
            progress.in_flight = None;
            self.send_append(from);
        }
        self.advance_commit(now);
    }

    /// Takes a chunk of a snapshot; one that covers only committed entries is acknowledged at once.
    pub(super) fn on_install(&mut self, now: Moment, from: ReplicaId, msg: Install) {
        if !self.follow_leader(now, from) {
            return;
        }
        self.heard_commit_index = self.heard_commit_index.max(msg.last_index);
        if msg.last_index <= self.commit_index {
            self.send(from, install_reply(&msg, 0, true));
            return;
        }
        let received_bytes = self.append_snapshot_chunk(&msg);
        let complete = msg.done && received_bytes == msg.offset + msg.data.len() as u64;
        if complete {
            self.install_snapshot();
        }
        self.send(from, install_reply(&msg, received_bytes, complete));
    }

    /// Appends a chunk to the incoming snapshot and returns the number of bytes received so far.
    ///
    /// A chunk of another snapshot starts anew; a chunk at an unexpected offset is ignored.
    fn append_snapshot_chunk(&mut self, msg: &Install) -> u64 {
        let key = (msg.last_index, msg.last_term);
        let same = self.incoming_snapshot.as_ref().is_some_and(|(i, t, _)| (*i, *t) == key);
        if !same {
            self.incoming_snapshot = Some((key.0, key.1, Vec::new()));
        }
        let Some((_, _, data)) = self.incoming_snapshot.as_mut() else { return 0 };
        if msg.offset == data.len() as u64 {
            data.extend_from_slice(&msg.data);
        }
        data.len() as u64
    }

    /// Replaces the log by the complete incoming snapshot.
    fn install_snapshot(&mut self) {
        let Some((index, _, data)) = self.incoming_snapshot.take() else { return };
        let data = bytes::Bytes::from(data);
        if self.log.restore(data.clone()) {
            self.commit_index = index;
            self.effects.push(Effect::Restore(data));
        }
    }

    pub(super) fn on_install_reply(&mut self, now: Moment, from: ReplicaId, reply: InstallReply) {
        if !self.is_leader() || !self.other_replicas().contains(&from) {
            return;
        }
        self.record_acked_round(from, reply.round);
        let base = self.log.snapshot_index();
        let position = if reply.done { u64::MAX } else { reply.offset };
        self.settle_in_flight(from, reply.round, position);
        let progress = self.progress_mut(from);
        progress.last_reply_at = now;
        if progress.in_flight.is_some() {
            return;
        }
        if reply.done {
            progress.match_index = progress.match_index.max(reply.last_index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            progress.snapshot_offset = 0;
        } else {
            progress.snapshot_offset = if reply.last_index == base { reply.offset } else { 0 };
        }
        self.send_append(from);
        self.advance_commit(now);
    }

    /// Records the round that a replica acknowledged, and the send time of the newest round that a
    /// quorum has acknowledged.
    fn record_acked_round(&mut self, from: ReplicaId, round: u64) {
        let progress = self.progress_mut(from);
        progress.acked_round = progress.acked_round.max(round);
        let acked_round = |id| match self.progress.get(&id) {
            _ if id == self.id => self.round,
            Some(progress) => progress.acked_round,
            None => 0,
        };
        let Some(quorum_round) = self.quorums().agreed(acked_round) else { return };
        while self.unacked_rounds.front().is_some_and(|(r, _)| *r <= quorum_round) {
            if let Some((_, sent_at)) = self.unacked_rounds.pop_front() {
                self.quorum_acked_at = self.quorum_acked_at.max(sent_at);
            }
        }
    }

    /// Commits the entries that a quorum of voters holds.
    ///
    /// Entries of older terms are committed only together with one of the current term: a quorum
    /// alone does not keep a later leader from overwriting them.
    pub(super) fn advance_commit(&mut self, now: Moment) {
        let match_index = |id| match self.progress.get(&id) {
            _ if id == self.id => self.log.last_index(),
            Some(progress) => progress.match_index,
            None => 0,
        };
        let Some(index) = self.quorums().agreed(match_index) else { return };
        if index > self.commit_index && self.log.term_of(index) == Some(self.term) {
            self.commit_up_to(index);
            self.step_down_if_removed(now);
        }
    }
}

fn append_reply(ok: bool, index: Index, round: u64) -> peer::Kind {
    peer::Kind::AppendReply(AppendReply { ok, index, round })
}

fn install_reply(msg: &Install, offset: u64, done: bool) -> peer::Kind {
    let Install { last_index, round, .. } = *msg;
    peer::Kind::InstallReply(InstallReply { last_index, offset, done, round })
}
