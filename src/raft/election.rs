//! Pre-votes and votes.

use super::{Effect, Raft, Role};
use crate::ids::{Index, Moment, ReplicaId, Term};
use crate::wire::{PreVote, PreVoteReply, Vote, VoteReply, peer};

impl Raft {
    /// Whether a leader was heard too recently for another to be elected.
    pub(super) fn hears_leader(&self, now: Moment) -> bool {
        if self.is_leader() {
            return true;
        }
        now.saturating_sub(self.heard_at) < self.cfg.election_timeout
    }

    pub(super) fn start_pre_vote(&mut self, now: Moment) {
        self.reset_deadline(now);
        if !self.is_voter(self.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.id, true);
        let ask = PreVote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        let term = self.term + 1;
        for id in self.voters() {
            if id != self.id {
                self.send_in_term(id, term, peer::Kind::PreVote(ask));
            }
        }
        self.count_pre_votes(now);
    }

    fn start_vote(&mut self, now: Moment) {
        self.reset_deadline(now);
        self.role = Role::Candidate;
        self.term += 1;
        self.voted_for = self.id;
        self.save_hard();
        self.votes.clear();
        self.votes.insert(self.id, true);
        let ask = Vote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        for id in self.voters() {
            if id != self.id {
                self.send(id, peer::Kind::Vote(ask));
            }
        }
        self.count_votes(now);
    }

    pub(super) fn on_pre_vote(&mut self, now: Moment, from: ReplicaId, term: Term, ask: PreVote) {
        let granted = term > self.term
            && !self.hears_leader(now)
            && self.is_up_to_date(ask.last_index, ask.last_term);
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
        let current = self.role == Role::PreCandidate && term == self.term + 1;
        if current && reply.granted {
            self.votes.insert(from, true);
            self.count_pre_votes(now);
        }
    }

    pub(super) fn on_vote(&mut self, now: Moment, from: ReplicaId, ask: Vote) {
        let free = self.voted_for == 0 || self.voted_for == from;
        let granted = free && self.is_up_to_date(ask.last_index, ask.last_term);
        if granted {
            self.voted_for = from;
            self.save_hard();
            self.reset_deadline(now);
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

    fn granted(&self) -> usize {
        self.voters().iter().filter(|id| self.votes.contains_key(id)).count()
    }

    fn count_pre_votes(&mut self, now: Moment) {
        if self.granted() >= self.quorum() {
            self.start_vote(now);
        }
    }

    fn count_votes(&mut self, now: Moment) {
        if self.granted() >= self.quorum() {
            self.become_leader(now);
        }
    }

    /// Steps down once no quorum has confirmed this leader for an election timeout.
    pub(super) fn check_quorum(&mut self, now: Moment) -> bool {
        if now.saturating_sub(self.last_quorum_ack(now)) < self.cfg.election_timeout {
            return true;
        }
        self.effects.push(Effect::StepDown);
        self.role = Role::Follower;
        self.leader = None;
        self.reset_deadline(now);
        false
    }
}
