//! Which replicas vote: what a leader hears of them in, and the next change of the voters out.

use std::time::Duration;

use super::Raft;
use super::membership::begin_change;
use crate::ids::{Moment, ReplicaId};
use crate::wire::Replica;

/// Time without a reply after which one of the newest voters loses its vote while there are more than wanted.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a replica counts as about to leave after it last said so.
const DEPARTURE_VALIDITY: Duration = Duration::from_secs(1);

impl Raft {
    /// The members after the next change of the voters, if one is due.
    pub(super) fn next_members(&self, now: Moment) -> Option<Vec<Replica>> {
        let members = self.log.members();
        let learners = self.find_successors(now);
        if let Some((voter, learner)) = self.find_lost_disk(&learners) {
            return Some(replace_voter(members, voter, learner));
        }
        let learner = learners.first().map(|learner| learner.id);
        let lacks_voters =
            self.cfg.wanted_voters.is_none_or(|wanted| self.quorums().size() < wanted);
        if let Some(learner) = learner.filter(|_| lacks_voters) {
            return Some(add_voter(members, learner));
        }
        if let Some((voter, learner)) = self.find_absent_voter(now).zip(learner) {
            return Some(replace_voter(members, voter, learner));
        }
        let dispensable = self.find_dispensable_voters(now);
        if !dispensable.is_empty() {
            return Some(begin_change(members, |r| r.voter && !dispensable.contains(&r.id)));
        }
        let learner = learner.filter(|_| self.may_add_surplus_voter(now))?;
        Some(add_voter(members, learner))
    }

    /// A voter whose disk was lost, with the learner that came back in its place.
    fn find_lost_disk(&self, learners: &[Replica]) -> Option<(ReplicaId, ReplicaId)> {
        let members = self.log.members();
        let voter_at = |address: &str| {
            let others = members.iter().filter(|r| r.voter && r.id != self.id);
            others.into_iter().find(|r| r.address == address).map(|r| r.id)
        };
        learners.iter().find_map(|learner| Some((voter_at(&learner.address)?, learner.id)))
    }

    /// A voter that is about to leave, or has been silent for so long that a learner may replace it.
    fn find_absent_voter(&self, now: Moment) -> Option<ReplicaId> {
        let leaving = self.find_leaving_voter(now);
        leaving.or_else(|| self.find_silent_voter(now, self.cfg.voter_replacement_delay))
    }

    /// Voters beyond those wanted that do not reply, the longest silent first, once one of them has been silent for
    /// `surplus_voter_timeout`; or one that is about to leave. Those that are silent lose their votes together: a
    /// membership in which one of them is left could need the other.
    fn find_dispensable_voters(&self, now: Moment) -> Vec<ReplicaId> {
        let count = self.surplus_voter_count();
        if count == 0 {
            return Vec::new();
        }
        let mut silent = self.find_silent_incumbents(now, count);
        let is_due = |id: &ReplicaId| self.silence(now, *id) >= self.cfg.surplus_voter_timeout;
        if !silent.iter().any(is_due) {
            return self.find_leaving_voter(now).into_iter().collect();
        }
        silent.sort_by_key(|id| self.last_contact(*id));
        silent.truncate(count);
        if self.is_stronger_without(now, &silent) { silent } else { Vec::new() }
    }

    /// Whether the voters without these bear more losses than with them, or all of them reply.
    fn is_stronger_without(&self, now: Moment, dropped: &[ReplicaId]) -> bool {
        let spare_replies = |voters: &[ReplicaId]| {
            let replies = |id: &&ReplicaId| **id == self.id || self.is_there(now, **id);
            let count = voters.iter().filter(replies).count();
            (count, count.saturating_sub(voters.len() / 2 + 1))
        };
        let voters = self.quorums().voters();
        let rest: Vec<ReplicaId> =
            voters.iter().copied().filter(|id| !dropped.contains(id)).collect();
        let (replying, spare) = spare_replies(&rest);
        replying == rest.len() || spare > spare_replies(&voters).1
    }

    /// Voters that do not reply, without the newest ones: a host that is removed has its successor among these, which
    /// is what is left then if the others are only cut off.
    fn find_silent_incumbents(&self, now: Moment, newest: usize) -> Vec<ReplicaId> {
        let voters = self.quorums().voters();
        let incumbents = voters.len().saturating_sub(newest);
        let is_silent = |at: usize, id: ReplicaId| {
            let is_dispensable = at < incumbents || self.silence(now, id) >= SUCCESSOR_TIMEOUT;
            id != self.id && is_dispensable && !self.is_there(now, id)
        };
        let silent = voters.into_iter().enumerate().filter(|(at, id)| is_silent(*at, *id));
        silent.map(|(_, id)| id).collect()
    }

    /// Number of voters beyond those wanted.
    pub(super) fn surplus_voter_count(&self) -> usize {
        self.cfg.wanted_voters.map_or(0, |wanted| self.quorums().size().saturating_sub(wanted))
    }

    /// Whether one voter more than wanted may be added. It makes a majority larger, so that all have to
    /// be there.
    fn may_add_surplus_voter(&self, now: Moment) -> bool {
        let quorums = self.quorums();
        let max = self.cfg.wanted_voters.map(|wanted| wanted + self.cfg.surplus_voters);
        let stays = |id: &ReplicaId| {
            *id == self.id || self.is_there(now, *id) && !self.is_leaving(now, *id)
        };
        max.is_some_and(|max| quorums.size() < max) && quorums.voters().iter().all(stays)
    }

    fn find_leaving_voter(&self, now: Moment) -> Option<ReplicaId> {
        self.quorums().voters().into_iter().find(|id| self.is_leaving(now, *id))
    }

    pub(super) fn is_leaving(&self, now: Moment, id: ReplicaId) -> bool {
        let said_at = self.leaving.get(&id);
        said_at.is_some_and(|at| now.saturating_sub(*at) < DEPARTURE_VALIDITY)
    }

    /// A voter that has not replied to this leader for `limit`.
    fn find_silent_voter(&self, now: Moment, limit: Duration) -> Option<ReplicaId> {
        let is_silent = |id: &ReplicaId| *id != self.id && self.silence(now, *id) >= limit;
        self.quorums().voters().into_iter().find(is_silent)
    }

    /// Time since a replica last replied to this leader.
    fn silence(&self, now: Moment, id: ReplicaId) -> Duration {
        now.saturating_sub(self.last_contact(id))
    }

    /// When a replica last replied to this leader; one that never did counts from the election on.
    fn last_contact(&self, id: ReplicaId) -> Moment {
        let replied_at = self.progress.get(&id).map(|p| p.last_reply_at);
        replied_at.map_or(self.leader_since, |at| at.max(self.leader_since))
    }

    /// Learners that hold all committed entries, reply and stay.
    fn find_successors(&self, now: Moment) -> Vec<Replica> {
        let is_caught_up =
            |id| self.progress.get(&id).is_some_and(|p| p.match_index >= self.commit_index);
        let may_succeed = |r: &&Replica| {
            !r.voter
                && is_caught_up(r.id)
                && self.is_there(now, r.id)
                && !self.is_leaving(now, r.id)
        };
        self.log.members().iter().filter(may_succeed).cloned().collect()
    }

    /// Whether a replica has replied to this leader lately: what it acknowledged long ago says
    /// nothing about whether it is there.
    pub(super) fn is_there(&self, now: Moment, id: ReplicaId) -> bool {
        let replied_at = self.progress.get(&id).map(|p| p.last_reply_at);
        replied_at.is_some_and(|at| now.saturating_sub(at) < self.contact_timeout(now))
    }
}

/// The members while a learner gets a vote.
fn add_voter(members: &[Replica], learner: ReplicaId) -> Vec<Replica> {
    begin_change(members, |r| r.voter || r.id == learner)
}

/// The members while a learner takes over the vote of `voter`, and its place in the order of the voters.
fn replace_voter(members: &[Replica], voter: ReplicaId, learner: ReplicaId) -> Vec<Replica> {
    let mut replicas = begin_change(members, |r| (r.voter || r.id == learner) && r.id != voter);
    let place_of = |id| members.iter().position(|r| r.id == id);
    if let (Some(voter), Some(learner)) = (place_of(voter), place_of(learner)) {
        replicas.swap(voter, learner);
    }
    replicas
}
