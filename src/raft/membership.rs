//! Cluster bootstrap and membership changes.
//!
//! A learner is added or removed by one change. The voters are changed by two: from the first on, the voters
//! before and those after it each have to agree; the second ends that.

use super::{Effect, Raft, Role};
use crate::ids::{Moment, ReplicaId};
use crate::wire::{Command, Entry, Members, Replica, command};

/// What becomes of the vote of a replica whose process is about to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// A learner is taking the vote over, or may do so soon.
    Pending,
    /// The replica has no vote: what is committed does not need it any more.
    Done,
    /// The replica keeps its vote, since no learner could take it over.
    NoSuccessor,
}

impl Raft {
    /// Bootstraps a cluster with this replica as its only voter.
    ///
    /// Returns false if this replica already has a membership or log entries.
    pub fn bootstrap(&mut self, now: Moment, own: Replica) -> bool {
        if !self.log.members().is_empty() || self.log.last_index() > 0 {
            return false;
        }
        self.term += 1;
        self.voted_for = self.id;
        self.save_hard_state();
        let replicas = vec![Replica { id: self.id, voter: true, ..own }];
        let entry = Entry { index: 1, term: self.term, command: Some(members_command(replicas)) };
        self.log.append(entry.clone());
        self.effects.push(Effect::SaveEntry(entry));
        self.role = Role::Candidate;
        self.become_leader(now);
        true
    }

    /// Bootstraps a cluster of the given voters, of which this replica must be one.
    ///
    /// Every voter has to be bootstrapped with the same list, and none may have voted before.
    /// Returns false if this replica is not listed or already has a membership or log entries.
    pub fn bootstrap_with(&mut self, now: Moment, voters: Vec<Replica>) -> bool {
        let listed = voters.iter().any(|r| r.id == self.id);
        if !listed || !self.log.members().is_empty() || self.log.last_index() > 0 {
            return false;
        }
        self.term = 1;
        self.save_hard_state();
        let entry = Entry { index: 1, term: 1, command: Some(members_command(voters)) };
        self.log.append(entry.clone());
        self.effects.push(Effect::SaveEntry(entry));
        self.reset_election_deadline(now + self.cfg.bootstrap_election_delay);
        true
    }

    /// Adds a replica as a learner; returns true once it is in the membership.
    ///
    /// A learner with the address of an existing voter replaces that voter when it has caught up.
    pub fn join(&mut self, now: Moment, replica: Replica) -> bool {
        if self.log.members().iter().any(|r| r.id == replica.id) {
            return true;
        }
        if !self.may_change_members() {
            return false;
        }
        let mut replicas = self.log.members().to_vec();
        replicas.retain(|r| r.voter || r.address != replica.address);
        replicas.push(Replica { voter: false, former_voter: false, ..replica });
        self.propose(now, members_command(replicas)).is_some()
    }

    /// Removes a replica; returns true once that has begun, or if it is out of the membership.
    ///
    /// The last voter is never removed.
    pub fn remove(&mut self, now: Moment, id: ReplicaId) -> bool {
        if !self.log.members().iter().any(|r| r.id == id) {
            return true;
        }
        if !self.may_change_members() {
            return false;
        }
        let members = self.log.members();
        if !members.iter().any(|r| r.voter && r.id != id) {
            return false;
        }
        let replicas = if self.quorums().contains(id) {
            begin_change(members, |r| r.voter && r.id != id)
        } else {
            members.iter().filter(|r| r.id != id).cloned().collect()
        };
        self.propose(now, members_command(replicas)).is_some()
    }

    /// Records that the process of a replica is about to end, and returns what becomes of its vote.
    ///
    /// A vote passes to a learner that is there and holds everything, or is given up while there are more voters
    /// than wanted. The call is to be repeated until the
    /// answer is not [`Departure::Pending`]; a replica that stops repeating it counts as staying.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bitternlead::raft::{Departure, PersistedState, Raft, RaftConfig};
    /// use bitternlead::wire::Replica;
    ///
    /// let now = Duration::ZERO;
    /// let mut raft = Raft::new(1, RaftConfig::default(), 7, now, PersistedState::default());
    /// assert!(raft.bootstrap(now, Replica::default()));
    /// assert_eq!(raft.leave(now, 1), Departure::NoSuccessor);
    /// ```
    pub fn leave(&mut self, now: Moment, id: ReplicaId) -> Departure {
        self.leaving.insert(id, now);
        let is_committed = self.log.members_index() <= self.commit_index;
        if is_committed && !self.quorums().contains(id) {
            return Departure::Done;
        }
        let may_give_up = self.may_find_successor(now) || self.surplus_voter_count() > 0;
        if self.is_leader() && is_committed && !may_give_up {
            return Departure::NoSuccessor;
        }
        Departure::Pending
    }

    /// Whether a learner may take a vote over, now or once it has caught up. Right after an election
    /// the leader has not heard of all of them yet.
    fn may_find_successor(&self, now: Moment) -> bool {
        let is_new = now.saturating_sub(self.leader_since) < self.contact_timeout(now);
        let may_succeed = |r: &&Replica| {
            !r.voter && !self.is_leaving(now, r.id) && (is_new || self.is_there(now, r.id))
        };
        self.log.members().iter().any(|r| may_succeed(&r))
    }

    /// Whether this leader may change the membership: the previous change must be complete and
    /// committed, and so must an entry of the leader's own term.
    fn may_change_members(&self) -> bool {
        self.has_committed_members() && !self.quorums().is_changing()
    }

    fn has_committed_members(&self) -> bool {
        self.is_leader()
            && self.log.members_index() <= self.commit_index
            && self.log.term_of(self.commit_index) == Some(self.term)
    }

    /// Completes a change of the voters, or begins one: a caught-up learner gets a vote, in addition or in place of a
    /// voter that has lost its disk, is about to leave or does not reply; or such a voter loses its vote.
    pub(super) fn change_members(&mut self, now: Moment) {
        if self.has_committed_members() && self.quorums().is_changing() {
            let replicas = complete_change(self.log.members());
            self.propose(now, members_command(replicas));
        } else if self.may_change_members()
            && let Some(replicas) = self.next_members(now)
        {
            self.propose(now, members_command(replicas));
        }
    }

    /// Hands over if this leader is no longer a voter in the committed membership.
    pub(super) fn step_down_if_removed(&mut self, now: Moment) {
        let committed = self.log.members_index() <= self.commit_index;
        let is_removed = committed && !self.quorums().contains(self.id);
        if is_removed && !self.resign(now) {
            self.become_follower(now, self.term, None);
        }
    }
}

/// The members while the voters change to those that `votes` holds for.
pub(super) fn begin_change(members: &[Replica], votes: impl Fn(&Replica) -> bool) -> Vec<Replica> {
    let change = |r: &Replica| Replica { former_voter: r.voter, voter: votes(r), ..r.clone() };
    members.iter().map(change).collect()
}

/// The members after a change, without those that have lost their votes.
fn complete_change(members: &[Replica]) -> Vec<Replica> {
    let mut replicas = members.to_vec();
    replicas.retain(|r| r.voter || !r.former_voter);
    for replica in &mut replicas {
        replica.former_voter = false;
    }
    replicas
}

fn members_command(replicas: Vec<Replica>) -> Command {
    let kind = command::Kind::Members(Members { replicas });
    Command { kind: Some(kind), ..Command::default() }
}
