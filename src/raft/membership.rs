//! Forming a cluster and changing its replicas one at a time.

use super::{Effect, Raft, Role};
use crate::ids::{Moment, ReplicaId};
use crate::wire::{Command, Entry, Members, Replica, command};

impl Raft {
    /// Forms a cluster with this replica as its only voter; false if it already has one.
    pub fn bootstrap(&mut self, now: Moment, own: Replica) -> bool {
        if !self.log.members().is_empty() || self.log.last_index() > 0 {
            return false;
        }
        self.term += 1;
        self.voted_for = self.id;
        self.save_hard();
        let replicas = vec![Replica { id: self.id, voter: true, ..own }];
        let entry = Entry { index: 1, term: self.term, command: Some(members_command(replicas)) };
        self.log.append(entry.clone());
        self.effects.push(Effect::SaveEntry(entry));
        self.role = Role::Candidate;
        self.become_leader(now);
        true
    }

    /// Forms a cluster of given voters, of which this replica is one.
    ///
    /// All of them have to start with the same list, and none may have voted before.
    pub fn bootstrap_with(&mut self, now: Moment, voters: Vec<Replica>) -> bool {
        let listed = voters.iter().any(|r| r.id == self.id);
        if !listed || !self.log.members().is_empty() || self.log.last_index() > 0 {
            return false;
        }
        self.term = 1;
        self.save_hard();
        let entry = Entry { index: 1, term: 1, command: Some(members_command(voters)) };
        self.log.append(entry.clone());
        self.effects.push(Effect::SaveEntry(entry));
        self.reset_deadline(now);
        true
    }

    /// Adds a replica as a learner; true once it is in the membership.
    ///
    /// A replica with the address of a former one replaces it when it has caught up.
    pub fn join(&mut self, now: Moment, replica: Replica) -> bool {
        if self.log.members().iter().any(|r| r.id == replica.id) {
            return true;
        }
        if !self.may_change_members() {
            return false;
        }
        let mut replicas = self.log.members().to_vec();
        replicas.retain(|r| r.voter || r.address != replica.address);
        replicas.push(Replica { voter: false, ..replica });
        self.propose(now, members_command(replicas)).is_some()
    }

    /// Removes a replica; true once it is out of the membership.
    pub fn remove(&mut self, now: Moment, id: ReplicaId) -> bool {
        if !self.log.members().iter().any(|r| r.id == id) {
            return true;
        }
        if !self.may_change_members() {
            return false;
        }
        let mut replicas = self.log.members().to_vec();
        replicas.retain(|r| r.id != id);
        if !replicas.iter().any(|r| r.voter) {
            return false;
        }
        self.propose(now, members_command(replicas)).is_some()
    }

    /// A change needs its predecessor committed and an entry of this leader's own term.
    fn may_change_members(&self) -> bool {
        self.is_leader()
            && self.log.members_index() <= self.commit
            && self.log.term_of(self.commit) == Some(self.term)
    }

    /// Gives a vote to a learner that caught up, after removing the replica that it replaces.
    pub(super) fn reconcile_members(&mut self, now: Moment) {
        if !self.may_change_members() {
            return;
        }
        let Some(ready) = self.find_ready_learner() else { return };
        let mut replicas = self.log.members().to_vec();
        let former =
            replicas.iter().position(|r| r.voter && r.address == ready.address && r.id != self.id);
        let full = self.cfg.max_voters.is_some_and(|most| self.voters().len() >= most);
        if let Some(at) = former {
            replicas.remove(at);
        } else if full {
            let Some(silent) = self.find_silent_voter(now) else { return };
            replicas.retain(|r| r.id != silent);
        } else {
            for replica in replicas.iter_mut().filter(|r| r.id == ready.id) {
                replica.voter = true;
            }
        }
        self.propose(now, members_command(replicas));
    }

    /// A voter that this leader has not heard for too long.
    fn find_silent_voter(&self, now: Moment) -> Option<ReplicaId> {
        let silent = |id: &ReplicaId| {
            let heard = self.progress.get(id).map_or(self.led_at, |p| p.heard_at.max(self.led_at));
            *id != self.id && now.saturating_sub(heard) >= self.cfg.voter_replacement_delay
        };
        self.voters().into_iter().find(silent)
    }

    fn find_ready_learner(&self) -> Option<Replica> {
        let caught_up = |r: &&Replica| {
            !r.voter && self.progress.get(&r.id).is_some_and(|p| p.matched >= self.commit)
        };
        self.log.members().iter().find(caught_up).cloned()
    }

    /// A leader whose own removal is committed steps down.
    pub(super) fn leave_if_removed(&mut self, now: Moment) {
        let committed = self.log.members_index() <= self.commit;
        if committed && !self.is_voter(self.id) {
            self.become_follower(now, self.term, None);
        }
    }
}

fn members_command(replicas: Vec<Replica>) -> Command {
    let kind = command::Kind::Members(Members { replicas });
    Command { kind: Some(kind), ..Command::default() }
}
