//! Appends, heartbeats, commits and snapshot transfer.

use super::{Effect, Progress, Raft, Role};
use crate::ids::{Index, Moment, ReplicaId};
use crate::wire::{Append, AppendReply, Entry, Install, InstallReply, peer};

impl Raft {
    pub(super) fn tick_leader(&mut self, now: Moment) {
        if !self.check_quorum(now) {
            return;
        }
        if now.saturating_sub(self.heartbeat_at) >= self.cfg.heartbeat {
            self.broadcast_heartbeat(now);
        }
        self.reconcile_members(now);
    }

    /// Starts a new round and sends every other replica an append, an empty one included.
    pub(super) fn broadcast_heartbeat(&mut self, now: Moment) {
        self.heartbeat_at = now;
        self.round += 1;
        self.rounds.push_back((self.round, now));
        for id in self.others() {
            self.send_append(id);
        }
    }

    /// Sends entries to replicas that lack some and have no append on its way.
    pub(super) fn replicate(&mut self, _now: Moment) {
        for id in self.others() {
            let progress = self.progress_of(id);
            let behind = progress.next <= self.log.last_index();
            if behind && !progress.in_flight {
                self.send_append(id);
            }
        }
    }

    fn progress_of(&mut self, id: ReplicaId) -> Progress {
        self.progress_entry(id).clone()
    }

    fn progress_entry(&mut self, id: ReplicaId) -> &mut Progress {
        let next = self.log.last_index().max(1);
        self.progress.entry(id).or_insert(Progress { next, ..Progress::default() })
    }

    fn send_append(&mut self, to: ReplicaId) {
        let next = self.progress_of(to).next;
        let round = self.round;
        let prev_index = next - 1;
        let Some(prev_term) = self.log.term_of(prev_index) else {
            self.send_install(to);
            return;
        };
        let entries = self.log.slice(next, self.cfg.max_append_entries);
        self.progress_entry(to).in_flight = !entries.is_empty();
        let commit = self.commit;
        let append = Append { prev_index, prev_term, entries, commit, round };
        self.send(to, peer::Kind::Append(append));
    }

    fn send_install(&mut self, to: ReplicaId) {
        let data = self.log.snapshot().clone();
        let start = (self.progress_of(to).install_offset as usize).min(data.len());
        let end = (start + self.cfg.snapshot_chunk_bytes).min(data.len());
        self.progress_entry(to).in_flight = true;
        let install = Install {
            last_index: self.log.snapshot_index(),
            last_term: self.log.snapshot_term(),
            offset: start as u64,
            data: data.slice(start..end),
            done: end == data.len(),
            round: self.round,
        };
        self.send(to, peer::Kind::Install(install));
    }

    pub(super) fn on_append(&mut self, now: Moment, from: ReplicaId, msg: Append) {
        if !self.follow(now, from) {
            return;
        }
        if let Some(hint) = self.find_mismatch(msg.prev_index, msg.prev_term) {
            self.send(from, append_reply(false, hint, msg.round));
            return;
        }
        let matched = msg.prev_index + msg.entries.len() as u64;
        for entry in msg.entries {
            self.store(entry);
        }
        self.commit_to(msg.commit.min(matched));
        self.send(from, append_reply(true, matched, msg.round));
    }

    /// Follows the leader of the current term; false when this replica leads it itself.
    fn follow(&mut self, now: Moment, from: ReplicaId) -> bool {
        if self.is_leader() {
            return false;
        }
        self.role = Role::Follower;
        self.leader = Some(from);
        self.met_leader = true;
        self.heard_at = now;
        self.reset_deadline(now);
        true
    }

    /// Where the leader should try next when the entry before an append does not match.
    fn find_mismatch(&self, prev_index: Index, prev_term: u64) -> Option<Index> {
        if prev_index < self.log.snapshot_index() {
            return None;
        }
        match self.log.term_of(prev_index) {
            Some(term) if term == prev_term => None,
            Some(_) => Some(self.log.first_index_of_term(prev_index).saturating_sub(1)),
            None => Some(self.log.last_index()),
        }
    }

    fn store(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot_index() {
            return;
        }
        match self.log.term_of(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                assert!(entry.index > self.commit, "a committed entry would be overwritten");
                self.log.truncate(entry.index);
                self.effects.push(Effect::Truncate(entry.index));
            }
            None => {}
        }
        self.log.append(entry.clone());
        self.effects.push(Effect::SaveEntry(entry));
    }

    fn commit_to(&mut self, index: Index) {
        let end = index.min(self.log.last_index());
        while self.commit < end {
            self.commit += 1;
            if let Some(entry) = self.log.get(self.commit) {
                self.effects.push(Effect::Commit(entry.clone()));
            }
        }
    }

    pub(super) fn on_append_reply(&mut self, now: Moment, from: ReplicaId, reply: AppendReply) {
        if !self.is_leader() || !self.others().contains(&from) {
            return;
        }
        self.note_round(from, reply.round);
        let last = self.log.last_index();
        let progress = self.progress_entry(from);
        progress.in_flight = false;
        progress.heard_at = now;
        if reply.ok {
            progress.matched = progress.matched.max(reply.index.min(last));
            progress.next = progress.next.max(progress.matched + 1);
        } else {
            let hint = reply.index.min(progress.next.saturating_sub(2));
            progress.next = (hint + 1).max(progress.matched + 1);
            self.send_append(from);
        }
        self.advance_commit(now);
    }

    pub(super) fn on_install(&mut self, now: Moment, from: ReplicaId, msg: Install) {
        if !self.follow(now, from) {
            return;
        }
        if msg.last_index <= self.commit {
            self.send(from, install_reply(&msg, 0, true));
            return;
        }
        let held = self.gather(&msg);
        let complete = msg.done && held == msg.offset + msg.data.len() as u64;
        if complete {
            self.finish_install();
        }
        self.send(from, install_reply(&msg, held, complete));
    }

    /// Adds a part of a snapshot and returns how many bytes are held.
    fn gather(&mut self, msg: &Install) -> u64 {
        let key = (msg.last_index, msg.last_term);
        let same = self.incoming.as_ref().is_some_and(|(i, t, _)| (*i, *t) == key);
        if !same {
            self.incoming = Some((key.0, key.1, Vec::new()));
        }
        let Some((_, _, data)) = self.incoming.as_mut() else { return 0 };
        if msg.offset == data.len() as u64 {
            data.extend_from_slice(&msg.data);
        }
        data.len() as u64
    }

    fn finish_install(&mut self) {
        let Some((index, _, data)) = self.incoming.take() else { return };
        let data = bytes::Bytes::from(data);
        if self.log.restore(data.clone()) {
            self.commit = index;
            self.effects.push(Effect::Restore(data));
        }
    }

    pub(super) fn on_install_reply(&mut self, now: Moment, from: ReplicaId, reply: InstallReply) {
        if !self.is_leader() || !self.others().contains(&from) {
            return;
        }
        self.note_round(from, reply.round);
        let base = self.log.snapshot_index();
        let progress = self.progress_entry(from);
        progress.in_flight = false;
        progress.heard_at = now;
        if reply.done {
            progress.matched = progress.matched.max(reply.last_index);
            progress.next = progress.next.max(progress.matched + 1);
            progress.install_offset = 0;
        } else {
            progress.install_offset = if reply.last_index == base { reply.offset } else { 0 };
        }
        self.send_append(from);
        self.advance_commit(now);
    }

    /// Notes that a replica followed up to a round, and when a quorum last followed.
    fn note_round(&mut self, from: ReplicaId, round: u64) {
        let progress = self.progress_entry(from);
        progress.round = progress.round.max(round);
        let mut acked: Vec<u64> = Vec::new();
        for id in self.voters() {
            let round = if id == self.id { self.round } else { self.progress_entry(id).round };
            acked.push(round);
        }
        acked.sort_unstable_by(|a, b| b.cmp(a));
        let Some(confirmed) = acked.get(self.quorum() - 1).copied() else { return };
        while self.rounds.front().is_some_and(|(r, _)| *r <= confirmed) {
            if let Some((_, sent_at)) = self.rounds.pop_front() {
                self.confirmed_at = self.confirmed_at.max(sent_at);
            }
        }
    }

    /// Commits what a quorum of voters holds, if it belongs to the current term.
    pub(super) fn advance_commit(&mut self, now: Moment) {
        let mut matched: Vec<Index> = Vec::new();
        for id in self.voters() {
            let index =
                if id == self.id { self.log.last_index() } else { self.progress_entry(id).matched };
            matched.push(index);
        }
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.quorum() - 1).copied() else { return };
        if index > self.commit && self.log.term_of(index) == Some(self.term) {
            self.commit_to(index);
            self.leave_if_removed(now);
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
