//! Keeps a replica in the cluster and tells diskless seed hosts where the replicas are.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::core_config::Published;
use super::service::SeedSource;
use crate::wire::envelope::Body;
use crate::wire::link::{Link, LinkConfig};
use crate::wire::{Join, News, Replica};

/// Interval at which a replica checks whether it has to ask to join.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Interval at which a replica checks whether a diskless seed host needs the list of replicas.
const SEED_UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Outcome of one request to join.
enum JoinResult {
    /// The leader accepted the replica.
    Accepted,
    /// The asked replica does not lead and named the leader's address.
    Redirect(SocketAddr),
    /// No connection, no reply in time, or no leader is known.
    Failed,
}

/// Asks the replica at `addr` to add `own` to the cluster and follows one redirect to the leader.
///
/// Returns true if the cluster accepted it.
pub async fn request_join(
    addr: SocketAddr,
    own: &Replica,
    cfg: &LinkConfig,
    cx: &CancellationToken,
) -> bool {
    match request_join_once(addr, own, cfg, cx).await {
        JoinResult::Accepted => true,
        JoinResult::Redirect(leader) if leader != addr => {
            matches!(request_join_once(leader, own, cfg, cx).await, JoinResult::Accepted)
        }
        _ => false,
    }
}

async fn request_join_once(
    addr: SocketAddr,
    own: &Replica,
    cfg: &LinkConfig,
    cx: &CancellationToken,
) -> JoinResult {
    let Ok(link) = Link::connect(addr, cfg, cx).await else { return JoinResult::Failed };
    let join = Join { replica: Some(own.clone()), ask_only: false };
    let answer = link.request(Body::Join(join), cfg.connect_timeout).await;
    link.close();
    match answer {
        Ok(Body::JoinReply(reply)) if reply.accepted => JoinResult::Accepted,
        Ok(Body::NotLeader(r)) => r.leader.parse().map_or(JoinResult::Failed, JoinResult::Redirect),
        _ => JoinResult::Failed,
    }
}

/// Asks to join whenever this replica is not a member or knows no leader, until cancelled.
pub async fn maintain_membership(
    published: watch::Receiver<Published>,
    own: Replica,
    seeds: SeedSource,
    link: LinkConfig,
    cx: CancellationToken,
) {
    while !cx.is_cancelled() {
        sleep(JOIN_CHECK_INTERVAL).await;
        let state = published.borrow().clone();
        let is_member = state.replicas.iter().any(|r| r.id == own.id);
        if is_member && state.has_leader {
            continue;
        }
        let members = state.replicas.iter().filter_map(|r| r.address.parse().ok());
        let mut candidates: Vec<SocketAddr> = seeds().into_iter().chain(members).collect();
        candidates.sort_unstable();
        candidates.dedup();
        candidates.retain(|a| a.to_string() != own.address);
        for addr in candidates {
            if request_join(addr, &own, &link, &cx).await {
                break;
            }
        }
    }
}

/// A link to a diskless seed host, and the replicas last sent over it.
type SeedLink = (Link, Vec<Replica>);

/// Sends the list of replicas to every seed host that is not a replica, whenever the list changes
/// or a link had to be opened again.
///
/// All seeds may be hosts without a disk. After a loss of power these know no replica until one
/// connects to them.
pub async fn update_seeds(
    published: watch::Receiver<Published>,
    own: String,
    seeds: SeedSource,
    cfg: LinkConfig,
    cx: CancellationToken,
) {
    let mut links: HashMap<SocketAddr, SeedLink> = HashMap::new();
    while !cx.is_cancelled() {
        sleep(SEED_UPDATE_INTERVAL).await;
        let replicas = published.borrow().replicas.clone();
        if !replicas.iter().any(|r| r.address == own) {
            continue;
        }
        let is_replica = |seed: &SocketAddr| replicas.iter().any(|r| r.address == seed.to_string());
        let diskless: Vec<SocketAddr> = seeds().into_iter().filter(|s| !is_replica(s)).collect();
        links.retain(|seed, (link, _)| diskless.contains(seed) && !link.is_closed());
        let missing = diskless.into_iter().filter(|s| !links.contains_key(s));
        let connecting = missing.map(|seed| {
            let (cfg, cx) = (&cfg, &cx);
            async move { Some((seed, Link::connect(seed, cfg, cx).await.ok()?)) }
        });
        let connecting: Vec<_> = connecting.collect();
        let connected = join_all(connecting).await.into_iter().flatten();
        links.extend(connected.map(|(seed, link)| (seed, (link, Vec::new()))));
        for (link, sent) in links.values_mut().filter(|(_, sent)| *sent != replicas) {
            let update = News { replicas: replicas.clone(), ..News::default() };
            if link.try_send(Body::News(update)) {
                sent.clone_from(&replicas);
            }
        }
    }
}
