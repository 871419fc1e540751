//! Forms the cluster once, when the whole system starts for the first time.
//!
//! Settings name some hosts that run control, but not which of them have a disk. Every replica
//! reports to the host with the smallest of these addresses; that one decides, once in its life,
//! which replicas form the cluster, and all of them write the same first membership.

use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::core::Input;
use super::core_config::Published;
use crate::clock::boot_now;
use crate::ids::Moment;
use crate::wire::envelope::Body;
use crate::wire::link::{Link, LinkConfig};
use crate::wire::server::Conn;
use crate::wire::{Founders, Replica, RollCall};

/// Time in which replicas may report before a cluster is formed of fewer than wanted.
const GATHER: Duration = Duration::from_millis(1200);

/// Pause between two reports of a replica.
const REPORT_PAUSE: Duration = Duration::from_millis(100);

/// Counts replicas at the first start and decides which of them form the cluster.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::control::founding::Roll;
/// use bitternlead::wire::Replica;
///
/// let mut roll = Roll::new(1, Duration::ZERO);
/// let replica = |id| Replica { id, address: format!("10.0.0.{id}:7340"), ..Replica::default() };
/// assert!(roll.hear(Duration::ZERO, replica(1)).is_empty());
/// assert!(roll.hear(Duration::ZERO, replica(2)).is_empty());
/// assert_eq!(roll.hear(Duration::ZERO, replica(3)).len(), 3);
/// assert_eq!(roll.hear(Duration::ZERO, replica(4)).len(), 3, "decided once");
/// ```
#[derive(Debug)]
pub struct Roll {
    tolerance: usize,
    started: Moment,
    present: Vec<Replica>,
    founders: Vec<Replica>,
}

impl Roll {
    /// Starts to count; `tolerance` disks may be lost at once later.
    pub fn new(tolerance: usize, now: Moment) -> Self {
        Self { tolerance, started: now, present: Vec::new(), founders: Vec::new() }
    }

    /// Takes a report; the founders, or none while that is open.
    pub fn hear(&mut self, now: Moment, replica: Replica) -> &[Replica] {
        if !self.present.iter().any(|r| r.address == replica.address) {
            self.present.push(Replica { voter: true, ..replica });
        }
        if self.founders.is_empty() {
            self.decide(now);
        }
        &self.founders
    }

    /// Takes an odd number of replicas, as many as wanted or, after a while, as there are.
    fn decide(&mut self, now: Moment) {
        let wanted = 2 * self.tolerance + 1;
        let waited = now.saturating_sub(self.started) >= GATHER;
        let present = self.present.len();
        if present >= wanted || waited && present > self.tolerance {
            let odd = if present.is_multiple_of(2) { present - 1 } else { present };
            let most = odd.min(wanted).max(self.tolerance + 1);
            self.founders = self.present.iter().take(most).cloned().collect();
            self.founders.sort_by_key(|r| r.id);
        }
    }
}

/// Takes the reports of all replicas where this process is the one that counts them.
#[derive(Debug, Default)]
pub struct RollDesk {
    roll: Option<Mutex<Roll>>,
}

impl RollDesk {
    /// Builds a desk; `counting` is the host that counts, known at a first start only.
    pub fn new(counting: Option<SocketAddr>, own: SocketAddr, tolerance: usize) -> Self {
        let counts = counting == Some(own);
        Self { roll: counts.then(|| Mutex::new(Roll::new(tolerance, boot_now()))) }
    }

    /// Answers a report.
    pub fn answer(&self, conn: &Conn, call: u64, report: RollCall) {
        let (Some(roll), Some(replica)) = (&self.roll, report.replica) else {
            let conn = conn.clone();
            tokio::spawn(async move {
                conn.refuse(call, "replicas are not counted here").await;
            });
            return;
        };
        let voters = roll.lock().hear(boot_now(), replica).to_vec();
        let conn = conn.clone();
        tokio::spawn(async move {
            conn.send(call, Body::Founders(Founders { voters })).await;
        });
    }
}

/// Reports to the counting host until the founders are known or this replica is in a cluster.
pub async fn report(
    counting: SocketAddr,
    own: Replica,
    core: Sender<Input>,
    published: watch::Receiver<Published>,
    cfg: LinkConfig,
    cx: CancellationToken,
) {
    while !cx.is_cancelled() && published.borrow().replicas.is_empty() {
        let voters = ask_for_founders(counting, &own, &cfg, &cx).await;
        if !voters.is_empty() {
            // A replica that is not among them is taken in later.
            let _ = core.send(Input::BootstrapWith(voters));
            return;
        }
        sleep(REPORT_PAUSE).await;
    }
}

async fn ask_for_founders(
    counting: SocketAddr,
    own: &Replica,
    cfg: &LinkConfig,
    cx: &CancellationToken,
) -> Vec<Replica> {
    let Ok(link) = Link::connect(counting, cfg, cx).await else { return Vec::new() };
    let report = RollCall { replica: Some(own.clone()) };
    let answer = link.ask(Body::RollCall(report), cfg.connect_timeout).await;
    link.close();
    match answer {
        Ok(Body::Founders(founders)) => founders.voters,
        _ => Vec::new(),
    }
}
