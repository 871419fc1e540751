//! Forms the cluster once, when the whole system starts for the first time.
//!
//! The configuration names hosts that run control, but not which of them have a disk. Every
//! replica reports to the bootstrap coordinator, the host with the smallest of these addresses.
//! The coordinator selects the voters of the new cluster, never changes that selection, and every
//! selected replica writes the same initial membership.

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

/// Time that replicas have to report before a cluster smaller than `2 * tolerance + 1` may form.
const REPORT_WINDOW: Duration = Duration::from_millis(1200);

/// Interval between two reports of one replica to the coordinator.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Collects the reports of replicas at the first start and selects the initial voters.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::control::bootstrap::VoterSelection;
/// use bitternlead::wire::Replica;
///
/// let mut selection = VoterSelection::new(1, Duration::ZERO);
/// let replica = |id| Replica { id, address: format!("10.0.0.{id}:7340"), ..Replica::default() };
/// assert!(selection.add_report(Duration::ZERO, replica(1)).is_empty());
/// assert!(selection.add_report(Duration::ZERO, replica(2)).is_empty());
/// assert_eq!(selection.add_report(Duration::ZERO, replica(3)).len(), 3);
/// assert_eq!(selection.add_report(Duration::ZERO, replica(4)).len(), 3, "selected once");
/// ```
#[derive(Debug)]
pub struct VoterSelection {
    tolerance: usize,
    started: Moment,
    reported: Vec<Replica>,
    voters: Vec<Replica>,
}

impl VoterSelection {
    /// Starts the report window at `now`; the cluster is to survive the loss of `tolerance` disks
    /// at the same time.
    pub fn new(tolerance: usize, now: Moment) -> Self {
        Self { tolerance, started: now, reported: Vec::new(), voters: Vec::new() }
    }

    /// Adds a report, at most one per address, and returns the voters; empty until selected.
    pub fn add_report(&mut self, now: Moment, replica: Replica) -> &[Replica] {
        if !self.reported.iter().any(|r| r.address == replica.address) {
            self.reported.push(Replica { voter: true, ..replica });
        }
        if self.voters.is_empty() {
            self.select(now);
        }
        &self.voters
    }

    /// Selects `2 * tolerance + 1` voters as soon as that many replicas have reported. Once the
    /// report window has passed, selects the largest odd number that has reported, and never
    /// fewer than `tolerance + 1`.
    fn select(&mut self, now: Moment) {
        let full_size = 2 * self.tolerance + 1;
        let window_passed = now.saturating_sub(self.started) >= REPORT_WINDOW;
        let count = self.reported.len();
        if count >= full_size || window_passed && count > self.tolerance {
            let odd = if count.is_multiple_of(2) { count - 1 } else { count };
            let size = odd.min(full_size).max(self.tolerance + 1);
            self.voters = self.reported.iter().take(size).cloned().collect();
            self.voters.sort_by_key(|r| r.id);
        }
    }
}

/// Answers the reports of all replicas if this process is the bootstrap coordinator.
#[derive(Debug, Default)]
pub struct BootstrapService {
    selection: Option<Mutex<VoterSelection>>,
}

impl BootstrapService {
    /// Builds the service of the process at `own`; `coordinator` is absent unless the whole system
    /// starts for the first time.
    pub fn new(coordinator: Option<SocketAddr>, own: SocketAddr, tolerance: usize) -> Self {
        let is_coordinator = coordinator == Some(own);
        Self {
            selection: is_coordinator
                .then(|| Mutex::new(VoterSelection::new(tolerance, boot_now()))),
        }
    }

    /// Answers a report with the voters selected so far; refuses it if this process is not the
    /// coordinator.
    pub fn handle_report(&self, conn: &Conn, call: u64, report: RollCall) {
        let (Some(selection), Some(replica)) = (&self.selection, report.replica) else {
            let conn = conn.clone();
            tokio::spawn(async move {
                conn.refuse(call, "replicas are not counted here").await;
            });
            return;
        };
        let voters = selection.lock().add_report(boot_now(), replica).to_vec();
        let conn = conn.clone();
        tokio::spawn(async move {
            conn.send(call, Body::Founders(Founders { voters })).await;
        });
    }
}

/// Reports to the coordinator until it names the voters or this replica is in a cluster.
pub async fn report_until_formed(
    coordinator: SocketAddr,
    own: Replica,
    core: Sender<Input>,
    published: watch::Receiver<Published>,
    cfg: LinkConfig,
    cx: CancellationToken,
) {
    while !cx.is_cancelled() && published.borrow().replicas.is_empty() {
        let voters = request_voters(coordinator, &own, &cfg, &cx).await;
        if !voters.is_empty() {
            // A replica that was not selected joins the formed cluster later.
            let _ = core.send(Input::BootstrapWith(voters));
            return;
        }
        sleep(REPORT_INTERVAL).await;
    }
}

async fn request_voters(
    coordinator: SocketAddr,
    own: &Replica,
    cfg: &LinkConfig,
    cx: &CancellationToken,
) -> Vec<Replica> {
    let Ok(link) = Link::connect(coordinator, cfg, cx).await else { return Vec::new() };
    let report = RollCall { replica: Some(own.clone()) };
    let reply = link.request(Body::RollCall(report), cfg.connect_timeout).await;
    link.close();
    match reply {
        Ok(Body::Founders(founders)) => founders.voters,
        _ => Vec::new(),
    }
}
