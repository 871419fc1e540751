//! Leader election: the pre-vote phase, the vote and the quorum check of a leader.

use super::{Effect, Raft, Role};
use crate::ids::{Index, Moment, ReplicaId, Term};
use crate::wire::{PreVote, PreVoteReply, Vote, VoteReply, peer};

impl Raft {
    /// Whether this replica leads or heard from a leader within the last election timeout.
    ///
    /// While this holds it grants no pre-vote and ignores vote requests.
    pub(super) fn has_recent_leader(&self, now: Moment) -> bool {
        if self.is_leader() {
            return true;
        }
        now.saturating_sub(self.leader_heard_at) < self.cfg.election_timeout
    }

    /// Asks all voters whether they would vote for this replica, without raising its term.
    pub(super) fn start_pre_vote(&mut self, now: Moment) {
        self.reset_election_deadline(now);
        if !self.is_voter(self.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.id, true);
        let req = PreVote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        let term = self.term + 1;
        for id in self.voters() {
            if id != self.id {
                self.send_in_term(id, term, peer::Kind::PreVote(req));
            }
        }
        self.count_pre_votes(now);
    }

    /// Raises the term, votes for itself and requests the votes of all other voters.
    fn start_election(&mut self, now: Moment) {
        self.reset_election_deadline(now);
        self.role = Role::Candidate;
        self.term += 1;
        self.voted_for = self.id;
        self.save_hard_state();
        self.votes.clear();
        self.votes.insert(self.id, true);
        let req = Vote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        for id in self.voters() {
            if id != self.id {
                self.send(id, peer::Kind::Vote(req));
            }
        }
        self.count_votes(now);
    }

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
        let expected = self.role == Role::PreCandidate && term == self.term + 1;
        if expected && reply.granted {
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

    fn is_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn granted_votes(&self) -> usize {
        self.voters().iter().filter(|id| self.votes.contains_key(id)).count()
    }

    fn count_pre_votes(&mut self, now: Moment) {
        if self.granted_votes() >= self.quorum() {
            self.start_election(now);
        }
    }

    fn count_votes(&mut self, now: Moment) {
        if self.granted_votes() >= self.quorum() {
            self.become_leader(now);
        }
    }

    /// Steps down when no quorum has acknowledged this leader for an election timeout.
    ///
    /// Returns whether it still leads.
    pub(super) fn check_quorum(&mut self, now: Moment) -> bool {
        if now.saturating_sub(self.last_quorum_ack(now)) < self.cfg.election_timeout {
            return true;
        }
        self.effects.push(Effect::StepDown);
        self.role = Role::Follower;
        self.leader = None;
        self.reset_election_deadline(now);
        false
    }
}
