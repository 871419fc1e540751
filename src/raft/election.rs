//! Leader election: the pre-vote phase, the vote and the quorum check of a leader.

use std::time::Duration;

use super::{Effect, Raft, Role};
use crate::ids::{Index, Moment, ReplicaId, Term};
use crate::wire::{Campaign, PreVote, PreVoteReply, Vote, VoteReply, peer};

/// Number of syncs that an election timeout has to cover. A heartbeat waits for one sync of the leader,
/// one of the follower, and the next one of the leader; the fourth is a margin. [`MAX_SYNC_ALLOWANCE`]
/// limits this to syncs of at most 375 ms.
const SYNCS_PER_ELECTION: u32 = 4;

/// Upper bound of an election timeout that was extended for slow syncs. A disk that once stalled for
/// seconds must not delay a later change of leaders beyond the 5 s within which a change is acknowledged;
/// two elections fit into them.
const MAX_SYNC_ALLOWANCE: Duration = Duration::from_millis(1500);

/// Time for which the longest sync extends the election timeout.
const SYNC_RETENTION: Duration = Duration::from_secs(30);

impl Raft {
    /// Records how long a sync of this replica's disk took, at its end.
    ///
    /// A replica sends nothing while it syncs. With syncs of half the election timeout, followers
    /// would therefore give up a working leader, and a candidate would start the next election before
    /// the votes of the last one could arrive; the election timeout is extended accordingly.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bitternlead::raft::{PersistedState, Raft, RaftConfig};
    ///
    /// let (cfg, start) = (RaftConfig::default(), Duration::ZERO);
    /// let mut raft = Raft::new(1, cfg, 7, start, PersistedState::default());
    /// raft.record_sync(Duration::from_secs(1), Duration::from_millis(600));
    /// ```
    pub fn record_sync(&mut self, now: Moment, took: Duration) {
        let (longest, at) = self.longest_sync;
        if took >= longest || now.saturating_sub(at) > SYNC_RETENTION {
            self.longest_sync = (took, now);
        }
        // The first slow sync is known only at its end. A candidate then still waits for the voters'
        // syncs, and a follower reads what arrived meanwhile, before either starts an election.
        if took * SYNCS_PER_ELECTION > self.cfg.election_timeout {
            self.election_deadline = self.election_deadline.max(now + self.sync_allowance(now));
        }
    }

    /// Lower bound of the election timeout for the recent syncs of this replica, at most
    /// [`MAX_SYNC_ALLOWANCE`]; zero if none was recorded lately.
    pub(super) fn sync_allowance(&self, now: Moment) -> Duration {
        let (longest, at) = self.longest_sync;
        if now.saturating_sub(at) > SYNC_RETENTION {
            return Duration::ZERO;
        }
        (longest * SYNCS_PER_ELECTION).min(MAX_SYNC_ALLOWANCE)
    }

    /// Time without contact after which a leader counts as lost.
    pub(super) fn contact_timeout(&self, now: Moment) -> Duration {
        self.cfg.election_timeout.max(self.sync_allowance(now))
    }

    /// Whether this replica leads or heard from a leader within the last election timeout.
    ///
    /// While this holds it grants no pre-vote and ignores vote requests.
    pub(super) fn has_recent_leader(&self, now: Moment) -> bool {
        if self.is_leader() {
            return true;
        }
        now.saturating_sub(self.leader_heard_at) < self.contact_timeout(now)
    }

    /// Asks all voters whether they would vote for this replica, without raising its term.
    pub(super) fn start_pre_vote(&mut self, now: Moment) {
        self.reset_election_deadline(now);
        if !self.quorums().contains(self.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.begin_votes();
        let req = PreVote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        let term = self.term + 1;
        for id in self.quorums().voters() {
            if id != self.id {
                self.send_in_term(id, term, peer::Kind::PreVote(req));
            }
        }
        self.count_pre_votes(now);
    }

    /// Hands the leadership over to a voter that holds the whole log, and ceases to lead; without such a
    /// voter this replica goes on leading. Used before the process ends, so that nobody has to miss this
    /// leader for an election timeout first.
    ///
    /// Returns whether it was handed over.
    pub fn resign(&mut self, now: Moment) -> bool {
        let Some(next) = self.find_next_leader(now) else { return false };
        self.send(next, peer::Kind::Campaign(Campaign {}));
        self.become_follower(now, self.term, None);
        true
    }

    fn find_next_leader(&self, now: Moment) -> Option<ReplicaId> {
        let holds_log = |id: &ReplicaId| {
            self.progress.get(id).is_some_and(|p| p.match_index == self.log.last_index())
        };
        let may_lead = |id: &ReplicaId| {
            *id != self.id && holds_log(id) && self.is_there(now, *id) && !self.is_leaving(now, *id)
        };
        self.is_leader().then(|| self.quorums().voters().into_iter().find(may_lead)).flatten()
    }

    /// Starts an election without a pre-vote: the leader has handed over.
    pub(super) fn on_campaign(&mut self, now: Moment, from: ReplicaId) {
        if self.leader == Some(from) && self.quorums().contains(self.id) {
            self.start_election(now, true);
        }
    }

    /// Votes for itself, without the votes that are known to be void by now.
    fn begin_votes(&mut self) {
        self.votes.clear();
        self.votes.insert(self.id, true);
        self.void_at_election = self.void.clone();
    }

    /// Records that the disk of a replica is lost: another replica is at its address, and says so.
    ///
    /// What it knew and what it voted is gone, and its process does not come back. An election that has begun goes
    /// on without that, see [`super::quorum`].
    pub(super) fn on_absent(&mut self, now: Moment, id: ReplicaId, from_address: &str) {
        let members = self.log.members();
        if !members.iter().any(|r| r.id == id && r.address == from_address) {
            return;
        }
        self.void.retain(|known| members.iter().any(|r| r.id == *known));
        if !self.void.insert(id) {
            return;
        }
        self.effects.push(Effect::VoteVoid(id));
        if self.role == Role::PreCandidate {
            self.void_at_election = self.void.clone();
            self.count_pre_votes(now);
        }
    }

    /// Raises the term, votes for itself and requests the votes of all other voters.
    fn start_election(&mut self, now: Moment, handed_over: bool) {
        self.reset_election_deadline(now);
        self.role = Role::Candidate;
        self.leader = None;
        self.term += 1;
        self.voted_for = self.id;
        self.save_hard_state();
        self.begin_votes();
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let req = Vote { last_index, last_term, handed_over };
        for id in self.quorums().voters() {
            if id != self.id {
                self.send(id, peer::Kind::Vote(req));
            }
        }
        self.count_votes(now);
    }

    /// Grants a pre-vote for a higher term if no leader is known and the log of the candidate is up
    /// to date; this changes neither term nor vote.
    pub(super) fn on_pre_vote(&mut self, now: Moment, from: ReplicaId, term: Term, req: PreVote) {
        let granted = term > self.term
            && !self.has_recent_leader(now)
            && self.is_up_to_date(req.last_index, req.last_term);
        let reply_term = if granted { term } else { self.term };
        let reply = peer::Kind::PreVoteReply(PreVoteReply { granted });
        self.send_in_term(from, reply_term, reply);
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now: Moment,
        from: ReplicaId,
        term: Term,
        reply: PreVoteReply,
    ) {
        let in_progress = self.role == Role::PreCandidate && term == self.term + 1;
        if in_progress && reply.granted {
            self.votes.insert(from, true);
            self.count_pre_votes(now);
        }
    }

    /// Grants the vote of the current term to at most one candidate, and only if its log is at
    /// least as up to date as the own one.
    pub(super) fn on_vote(&mut self, now: Moment, from: ReplicaId, req: Vote) {
        let can_vote = self.voted_for == 0 || self.voted_for == from;
        let granted = can_vote && self.is_up_to_date(req.last_index, req.last_term);
        if granted {
            self.voted_for = from;
            self.save_hard_state();
            self.reset_election_deadline(now);
        }
        self.send(from, peer::Kind::VoteReply(VoteReply { granted }));
    }

    pub(super) fn on_vote_reply(&mut self, now: Moment, from: ReplicaId, reply: VoteReply) {
        if self.role == Role::Candidate && reply.granted {
            self.votes.insert(from, true);
            self.count_votes(now);
        }
    }

    /// Whether a log with this last entry is at least as up to date as the own one.
    fn is_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn has_quorum_of_votes(&self) -> bool {
        self.quorums().agree(|id| self.votes.contains_key(&id))
    }

    fn count_pre_votes(&mut self, now: Moment) {
        if self.has_quorum_of_votes() {
            self.start_election(now, false);
        }
    }

    fn count_votes(&mut self, now: Moment) {
        if self.has_quorum_of_votes() {
            self.become_leader(now);
        }
    }

    /// Steps down when no quorum has acknowledged this leader for an election timeout.
    ///
    /// Returns whether it still leads.
    pub(super) fn check_quorum(&mut self, now: Moment) -> bool {
        if now.saturating_sub(self.last_quorum_ack(now)) < self.contact_timeout(now) {
            return true;
        }
        self.effects.push(Effect::StepDown);
        self.role = Role::Follower;
        self.leader = None;
        self.void_at_election.clear();
        self.reset_election_deadline(now);
        false
    }
}
