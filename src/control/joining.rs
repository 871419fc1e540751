//! Asks a cluster to take a replica in, and tells the hosts of the settings where it is.

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

/// Pause between looks whether this replica has to ask to be taken in.
const JOIN_PAUSE: Duration = Duration::from_millis(400);

/// Pause between looks whether a host of the settings has to be told.
const TELL_PAUSE: Duration = Duration::from_millis(200);

/// What became of a request to be taken in.
enum Asked {
    /// It was accepted.
    Accepted,
    /// Another replica leads.
    Elsewhere(SocketAddr),
    /// Nobody could say.
    Nothing,
}

/// Asks a replica, or the one that it names as leader, to take another one in.
pub async fn ask_to_join(
    addr: SocketAddr,
    own: &Replica,
    cfg: &LinkConfig,
    cx: &CancellationToken,
) -> bool {
    match ask_once(addr, own, cfg, cx).await {
        Asked::Accepted => true,
        Asked::Elsewhere(leader) if leader != addr => {
            matches!(ask_once(leader, own, cfg, cx).await, Asked::Accepted)
        }
        _ => false,
    }
}

async fn ask_once(
    addr: SocketAddr,
    own: &Replica,
    cfg: &LinkConfig,
    cx: &CancellationToken,
) -> Asked {
    let Ok(link) = Link::connect(addr, cfg, cx).await else { return Asked::Nothing };
    let join = Join { replica: Some(own.clone()), ask_only: false };
    let answer = link.ask(Body::Join(join), cfg.connect_timeout).await;
    link.close();
    match answer {
        Ok(Body::JoinReply(reply)) if reply.accepted => Asked::Accepted,
        Ok(Body::NotLeader(reply)) => reply.leader.parse().map_or(Asked::Nothing, Asked::Elsewhere),
        _ => Asked::Nothing,
    }
}

/// Asks to be taken in whenever this replica is outside or hears no leader.
pub async fn stay_joined(
    published: watch::Receiver<Published>,
    own: Replica,
    seeds: SeedSource,
    link: LinkConfig,
    cx: CancellationToken,
) {
    while !cx.is_cancelled() {
        sleep(JOIN_PAUSE).await;
        let state = published.borrow().clone();
        let inside = state.replicas.iter().any(|r| r.id == own.id);
        if inside && state.has_leader {
            continue;
        }
        let known = state.replicas.iter().filter_map(|r| r.address.parse().ok());
        let mut others: Vec<SocketAddr> = seeds().into_iter().chain(known).collect();
        others.sort_unstable();
        others.dedup();
        others.retain(|a| a.to_string() != own.address);
        for addr in others {
            if ask_to_join(addr, &own, &link, &cx).await {
                break;
            }
        }
    }
}

/// A link to a host without a disk, and the replicas that it was told.
type Told = (Link, Vec<Replica>);

/// Tells the hosts of the settings that are no replicas which replicas there are.
///
/// Settings may name only hosts that keep nothing; after a loss of power these know no replica
/// until one reports.
pub async fn tell_seeds(
    published: watch::Receiver<Published>,
    own: String,
    seeds: SeedSource,
    cfg: LinkConfig,
    cx: CancellationToken,
) {
    let mut links: HashMap<SocketAddr, Told> = HashMap::new();
    while !cx.is_cancelled() {
        sleep(TELL_PAUSE).await;
        let replicas = published.borrow().replicas.clone();
        if !replicas.iter().any(|r| r.address == own) {
            continue;
        }
        let is_replica = |seed: &SocketAddr| replicas.iter().any(|r| r.address == seed.to_string());
        let wanted: Vec<SocketAddr> = seeds().into_iter().filter(|s| !is_replica(s)).collect();
        links.retain(|seed, (link, _)| wanted.contains(seed) && !link.is_closed());
        let missing = wanted.into_iter().filter(|s| !links.contains_key(s));
        let connecting = missing.map(|seed| {
            let (cfg, cx) = (&cfg, &cx);
            async move { Some((seed, Link::connect(seed, cfg, cx).await.ok()?)) }
        });
        let connecting: Vec<_> = connecting.collect();
        let connected = join_all(connecting).await.into_iter().flatten();
        links.extend(connected.map(|(seed, link)| (seed, (link, Vec::new()))));
        for (link, told) in links.values_mut().filter(|(_, told)| *told != replicas) {
            let news = News { replicas: replicas.clone(), ..News::default() };
            if link.post(Body::News(news)) {
                told.clone_from(&replicas);
            }
        }
    }
}
