//! The shared state of an entry or agent process and its sync loop with control: it registers the
//! node, renews its configuration lease and receives configuration changes.

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

/// How long control may hold a sync call open while nothing has changed. It is also the interval
/// between two renewals of the lease while the configuration does not change.
const LONG_POLL_HOLD: Duration = Duration::from_millis(1000);

/// Timeout of one sync call; it has to exceed `LONG_POLL_HOLD`.
const SYNC_TIMEOUT: Duration = Duration::from_millis(2500);

/// Delay before the next sync call after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval at which the node checks whether its lease has expired.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The part of a sync call and its reply that differs between entries and agents.
pub trait SyncRole: Send + std::marker::Sync + 'static {
    /// Fills in the fields of a sync call that belong to this role.
    fn fill_sync(&self, sync: &mut Sync);

    /// Applies the fields of a reply that belong to this role; the configuration and the lease
    /// are already updated.
    fn apply_reply(&self, reply: SyncReply);
}

/// Identity and state of a node, shared by all tasks of its process.
pub struct Node {
    /// Name of the node, from its settings.
    pub name: SmolStr,
    /// Role of this process: `entry` or `agent`.
    pub role: &'static str,
    /// Availability zone that the node runs in, from its settings.
    pub zone: SmolStr,
    /// Address at which other processes of the system reach this node; empty if it has none.
    pub address: String,
    /// Identity of this run of the process; a later run of the same node has a higher number, by
    /// which control rejects the earlier one.
    pub incarnation: Incarnation,
    /// Client that calls the leader of control.
    pub control: Arc<ControlClient>,
    /// Readiness that `/readyz` returns: the lease is held and the node is not stopping.
    pub readiness: Readiness,
    /// Metrics of this process, served at `/metrics`.
    pub metrics: Arc<Metrics>,
    /// Logger that adds role and node to each line.
    pub log: Logger,
    /// Cancelled when the process is told to stop; `/readyz` fails from then on.
    pub shutdown: CancellationToken,
    /// Cancelled when the node stops accepting new requests.
    pub draining: CancellationToken,
    lease: Mutex<ConfigLease>,
    started_at: Instant,
}

impl Node {
    /// Creates the state of a node with a new incarnation, and the configuration of its links to
    /// other processes. `control` are the addresses of the control replicas.
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
            shutdown: CancellationToken::new(),
            draining: CancellationToken::new(),
            lease: Mutex::default(),
            started_at: Instant::now(),
        };
        (Arc::new(node), link)
    }

    /// Monotonic time since this process started; the lease is measured on it.
    pub fn now(&self) -> Moment {
        self.started_at.elapsed()
    }

    /// The configuration that this node has applied last.
    pub fn config(&self) -> Arc<FleetConfig> {
        Arc::clone(self.lease.lock().config())
    }

    /// Whether new requests may be accepted: the configuration lease is held and the node is not
    /// draining.
    pub fn accepts_work(&self) -> bool {
        self.lease.lock().is_held(self.now()) && !self.draining.is_cancelled()
    }

    /// Whether the configuration lease is held, also while the node drains.
    pub fn holds_lease(&self) -> bool {
        self.lease.lock().is_held(self.now())
    }

    /// Syncs with control and checks the lease until cancelled.
    pub async fn run_sync(&self, role: &dyn SyncRole, cx: CancellationToken) {
        let checks = async {
            loop {
                self.check_lease();
                sleep(LEASE_CHECK_INTERVAL).await;
            }
        };
        let syncs = async {
            loop {
                if !self.sync_once(role).await {
                    sleep(RETRY_DELAY).await;
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
        // A lease that expires soon is renewed at once; a long poll could outlast it.
        let expires_soon = self.lease.lock().remaining(sent_at) < LONG_POLL_HOLD * 2;
        let hold = if expires_soon { Duration::ZERO } else { LONG_POLL_HOLD };
        let mut sync = Sync {
            node: self.name.to_string(),
            role: self.role.into(),
            zone: self.zone.to_string(),
            incarnation: self.incarnation,
            address: self.address.clone(),
            config_version: self.lease.lock().version(),
            hold_ms: hold.as_millis() as u64,
            leaving: self.shutdown.is_cancelled(),
            ..Sync::default()
        };
        role.fill_sync(&mut sync);
        let answer = self.control.call_once(Body::Sync(sync), SYNC_TIMEOUT).await;
        let Some(Body::SyncReply(reply)) = answer else { return false };
        let events = self.lease.lock().apply_reply(sent_at, &reply);
        let superseded = reply.superseded;
        for event in events {
            self.log_lease_event(event);
        }
        self.check_lease();
        role.apply_reply(reply);
        !superseded
    }

    fn check_lease(&self) {
        let (changed, held) = {
            let mut lease = self.lease.lock();
            let now = self.now();
            (lease.tick(now), lease.is_held(now))
        };
        if let Some(event) = changed {
            self.log_lease_event(event);
        }
        self.metrics.lease.set(held as i64);
        self.readiness.set(held && !self.shutdown.is_cancelled());
    }

    fn log_lease_event(&self, event: LeaseEvent) {
        match event {
            LeaseEvent::Gained => event!(self.log, LeaseGained),
            LeaseEvent::Lost => event!(self.log, LeaseLost),
            LeaseEvent::ConfigApplied(version) => {
                self.metrics.config_version.set(version);
                self.metrics.zones_drained.set(self.config().drained_zones.len() as i64);
                event!(self.log, ConfigApplied, "version" => version);
            }
            LeaseEvent::RecordUnreadable(key) => event!(self.log, ConfigUnreadable, "key" => key),
            LeaseEvent::Superseded => event!(self.log, LeaseLost, "reason" => "newer run"),
        }
    }
}

/// Wall time in milliseconds in the high 48 bits, so that a later run of a node has a higher
/// number, and 16 random bits below.
fn new_incarnation() -> Incarnation {
    let millis = crate::clock::wall_ms();
    millis << 16 | u64::from(rand::random::<u16>())
}
