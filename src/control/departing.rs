//! Prepares the end of a replica's process: a learner takes its vote over, another voter its
//! leadership.

use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Duration;

use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use super::core::{Answer, Input};
use super::core_config::Published;
use crate::ids::ReplicaId;
use crate::raft::Departure;
use crate::wire::envelope::Body;
use crate::wire::link::{Link, LinkConfig};
use crate::wire::{DepartureState, Leave};

/// Pause before the leader is asked again what becomes of the vote.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Time that the next leader has to make itself heard before the process of the last one ends.
const NEXT_LEADER_TIMEOUT: Duration = Duration::from_millis(300);

/// A replica whose process is about to end.
pub struct Departing {
    /// Inputs of its core.
    pub core: Sender<Input>,
    /// State that the core publishes.
    pub published: watch::Receiver<Published>,
    /// Identity of the replica.
    pub id: ReplicaId,
    /// Number of voters beyond which one may give up its vote without a successor.
    pub wanted_voters: usize,
    /// Configuration of the link to the leader.
    pub link: LinkConfig,
}

impl Departing {
    /// Waits until the vote of this replica has passed to a learner, no learner could take it over, or
    /// `limit` has passed; a leader hands its leadership over too. Returns the last answer, `None` if no
    /// leader gave one.
    pub async fn leave(mut self, limit: Duration, cx: &CancellationToken) -> Option<Departure> {
        let deadline = Instant::now() + limit;
        let led = self.published.borrow().is_leader;
        let mut departure = None;
        while self.may_give_vote_up() || led && departure.is_none() {
            let answer = timeout_at(deadline, self.request(cx)).await.ok().flatten();
            departure = answer.or(departure);
            let is_settled = departure.is_some_and(|d| d != Departure::Pending);
            if is_settled || Instant::now() >= deadline {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        if led {
            let follows = |state: &Published| state.has_leader && !state.is_leader;
            let heard = self.published.wait_for(follows);
            let _ = tokio::time::timeout(NEXT_LEADER_TIMEOUT, heard).await;
        }
        departure
    }

    /// Whether there is a learner that may take the vote over, or enough voters without this one.
    fn may_give_vote_up(&self) -> bool {
        let state = self.published.borrow();
        let voters = state.replicas.iter().filter(|r| r.voter).count();
        let has_learner = state.replicas.iter().any(|r| !r.voter && r.id != self.id);
        has_learner || voters > self.wanted_voters
    }

    /// Asks this replica, and the leader if that is another one.
    async fn request(&self, cx: &CancellationToken) -> Option<Departure> {
        let (tx, rx) = oneshot::channel();
        self.core.send(Input::Leave(self.id, tx)).ok()?;
        match rx.await.ok()? {
            Answer::Done(departure) => Some(departure),
            Answer::NotLeader(leader) => self.request_from(leader?.parse().ok()?, cx).await,
        }
    }

    async fn request_from(&self, leader: SocketAddr, cx: &CancellationToken) -> Option<Departure> {
        let link = Link::connect(leader, &self.link, cx).await.ok()?;
        let answer =
            link.request(Body::Leave(Leave { id: self.id }), self.link.connect_timeout).await;
        link.close();
        let Ok(Body::LeaveReply(reply)) = answer else { return None };
        Some(match reply.state() {
            DepartureState::Pending => Departure::Pending,
            DepartureState::Done => Departure::Done,
            DepartureState::NoSuccessor => Departure::NoSuccessor,
        })
    }
}
