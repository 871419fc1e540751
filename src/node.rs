//! A node's link to control: it announces itself, renews its lease and takes news.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use slog::Logger;
use smol_str::SmolStr;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::config::FleetConfig;
use crate::config_lease::{ConfigLease, LeaseEvent};
use crate::control_client::ControlClient;
use crate::event;
use crate::http::Readiness;
use crate::ids::{Incarnation, Moment};
use crate::metrics::Metrics;
use crate::settings::CommonSettings;
use crate::wire::envelope::Body;
use crate::wire::link::LinkConfig;
use crate::wire::{Sync, SyncReply};

/// Longest wait for news, and so the interval between renewals of the lease.
const HOLD: Duration = Duration::from_millis(1000);

/// Longest wait for an answer of control.
const SYNC_LIMIT: Duration = Duration::from_millis(2500);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Interval at which the lease is looked at.
const LEASE_CHECK: Duration = Duration::from_millis(100);

/// What a role adds to its calls and takes from the answers.
pub trait SyncRole: Send + std::marker::Sync + 'static {
    /// Fills in the role's part of a call.
    fn fill(&self, sync: &mut Sync);

    /// Takes the role's part of an answer.
    fn take(&self, reply: SyncReply);
}

/// Identity and state that a node shares among its parts.
pub struct Node {
    /// Name.
    pub name: SmolStr,
    /// entry or agent.
    pub role: &'static str,
    /// Availability zone.
    pub zone: SmolStr,
    /// Address for the system's own processes; empty if there is none.
    pub address: String,
    /// This run; later runs of one node have higher numbers.
    pub incarnation: Incarnation,
    /// Calls to control.
    pub control: Arc<ControlClient>,
    /// Readiness as probes show it.
    pub readiness: Readiness,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Logger.
    pub log: Logger,
    /// Cancelled once this node is told to end: it is unready from then on.
    pub leaving: CancellationToken,
    /// Cancelled once it takes no new work any more.
    pub draining: CancellationToken,
    lease: Mutex<ConfigLease>,
    start: Instant,
}

impl Node {
    /// Builds a node that has just started, with the settings of its links.
    pub fn start(
        common: &CommonSettings,
        role: &'static str,
        address: String,
        control: &[SocketAddr],
        log: &Logger,
        cx: &CancellationToken,
    ) -> (Arc<Self>, LinkConfig) {
        let link = LinkConfig {
            node: common.node.to_string(),
            role: role.into(),
            max_frame: common.max_frame,
            ..LinkConfig::default()
        };
        let control = ControlClient::new(control.to_vec(), link.clone(), cx.clone());
        let node = Self {
            name: common.node.clone(),
            role,
            zone: common.zone.clone(),
            address,
            incarnation: new_incarnation(),
            control: Arc::new(control),
            readiness: Readiness::default(),
            metrics: Arc::new(Metrics::default()),
            log: log.clone(),
            leaving: CancellationToken::new(),
            draining: CancellationToken::new(),
            lease: Mutex::default(),
            start: Instant::now(),
        };
        (Arc::new(node), link)
    }

    /// Time since the start of this process.
    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<FleetConfig> {
        Arc::clone(self.lease.lock().config())
    }

    /// Whether the configuration lease is held, so that new work may be taken.
    pub fn may_take_work(&self) -> bool {
        self.lease.lock().is_held(self.now()) && !self.draining.is_cancelled()
    }

    /// Whether the configuration lease is held.
    pub fn holds_lease(&self) -> bool {
        self.lease.lock().is_held(self.now())
    }

    /// Calls control again and again until cancelled.
    pub async fn run_sync(&self, role: &dyn SyncRole, cx: CancellationToken) {
        let checks = async {
            loop {
                self.check_lease();
                sleep(LEASE_CHECK).await;
            }
        };
        let syncs = async {
            loop {
                if !self.sync_once(role).await {
                    sleep(RETRY_PAUSE).await;
                }
            }
        };
        tokio::select! {
            () = cx.cancelled() => {}
            () = checks => {}
            () = syncs => {}
        }
    }

    async fn sync_once(&self, role: &dyn SyncRole) -> bool {
        let sent_at = self.now();
        // A lease that runs short is renewed at once instead of with the next news.
        let short = self.lease.lock().remaining(sent_at) < HOLD * 2;
        let hold = if short { Duration::ZERO } else { HOLD };
        let mut sync = Sync {
            node: self.name.to_string(),
            role: self.role.into(),
            zone: self.zone.to_string(),
            incarnation: self.incarnation,
            address: self.address.clone(),
            config_version: self.lease.lock().version(),
            hold_ms: hold.as_millis() as u64,
            leaving: self.leaving.is_cancelled(),
            ..Sync::default()
        };
        role.fill_sync(&mut sync);
        let answer = self.control.call_once(Body::Sync(sync), SYNC_TIMEOUT).await;
        let Some(Body::SyncReply(reply)) = answer else { return false };
        let events = self.lease.lock().apply_reply(sent_at, &reply);
        let superseded = reply.superseded;
        for event in events {
            self.log_lease(event);
        }
        self.check_lease();
        role.take(reply);
        !superseded
    }

    fn check_lease(&self) {
        let (changed, held) = {
            let mut lease = self.lease.lock();
            let now = self.now();
            (lease.tick(now), lease.is_held(now))
        };
        if let Some(event) = changed {
            self.log_lease(event);
        }
        self.metrics.lease.set(held as i64);
        self.readiness.set(held && !self.leaving.is_cancelled());
    }

    fn log_lease(&self, event: LeaseEvent) {
        match event {
            LeaseEvent::Gained => event!(self.log, LeaseGained),
            LeaseEvent::Lost => event!(self.log, LeaseLost),
            LeaseEvent::ConfigApplied(version) => {
                self.metrics.config_version.set(version);
                event!(self.log, ConfigTaken, "version" => version);
            }
            LeaseEvent::RecordUnreadable(key) => event!(self.log, ConfigUnreadable, "key" => key),
            LeaseEvent::Superseded => event!(self.log, LeaseLost, "reason" => "newer run"),
        }
    }
}

/// Milliseconds since 1970, then random bits, so that a later run has a higher number.
fn new_incarnation() -> Incarnation {
    let millis = crate::clock::wall_ms();
    millis << 16 | u64::from(rand::random::<u16>())
}
