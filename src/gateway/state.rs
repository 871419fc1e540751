//! What all tasks of a gateway share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use slog::Logger;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::budget::{BudgetConfig, RetryBudget};
use super::config::GatewayConfig;
use super::dialect::Dialect;
use super::health::Health;
use super::in_flight::{InFlightSend, InFlightSends, SendKey};
use super::moving_average::MovingAverage;
use super::pool::Pool;
use crate::clock::boot_now;
use crate::directory::EndpointId;
use crate::event;
use crate::ids::Moment;
use crate::metrics::{ClassLabels, Metrics, RequestLabels};
use crate::wire::{Announcement, Document, Standing};

/// Time after which what a lost control replica told is forgotten, if another one is heard.
const STALE_TABLE: Duration = Duration::from_secs(5);

/// An endpoint that may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Identity.
    pub id: EndpointId,
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Requests that it runs at once.
    pub slots: u32,
}

struct Table {
    said: HashMap<EndpointId, Announcement>,
    lost_at: Option<Moment>,
}

/// Endpoints as all followed control replicas tell them.
#[derive(Default)]
pub struct Endpoints {
    tables: HashMap<String, Table>,
    ready: HashMap<SmolStr, Arc<Vec<Endpoint>>>,
}

impl Endpoints {
    /// Takes news of one control replica.
    pub fn hear(&mut self, control: &str, announcements: Vec<Announcement>, full: bool) {
        let empty = || Table { said: HashMap::new(), lost_at: None };
        let table = self.tables.entry(control.to_owned()).or_insert_with(empty);
        table.lost_at = None;
        if full {
            table.said.clear();
        }
        for said in announcements {
            table.said.insert(EndpointId::new(&said.id), said);
        }
        self.merge();
    }

    /// Notes that a control replica is not heard any more.
    pub fn lose(&mut self, now: Moment, control: &str) {
        if let Some(table) = self.tables.get_mut(control) {
            table.lost_at.get_or_insert(now);
        }
    }

    /// Forgets what replicas told that were lost long ago.
    pub fn sweep(&mut self, now: Moment) {
        if self.tables.values().all(|t| t.lost_at.is_some()) {
            return;
        }
        let before = self.tables.len();
        self.tables.retain(|_, t| t.lost_at.is_none_or(|at| now.saturating_sub(at) < STALE_TABLE));
        if self.tables.len() != before {
            self.merge();
        }
    }

    /// Endpoints of a service that take work.
    pub fn of(&self, service: &str) -> Arc<Vec<Endpoint>> {
        self.ready.get(service).cloned().unwrap_or_default()
    }

    /// Number of endpoints that take work.
    pub fn count(&self) -> usize {
        self.ready.values().map(|of_service| of_service.len()).sum()
    }

    /// Whether an endpoint takes work.
    pub fn is_ready(&self, id: &str) -> bool {
        self.ready.values().any(|of_service| of_service.iter().any(|e| e.id == id))
    }

    fn merge(&mut self) {
        let mut newest: HashMap<&str, &Announcement> = HashMap::new();
        for said in self.tables.values().flat_map(|t| t.said.values()) {
            let current = newest.entry(said.id.as_str()).or_insert(said);
            if precedence(said) > precedence(current) {
                *current = said;
            }
        }
        let mut by_address: HashMap<&str, &Announcement> = HashMap::new();
        for said in newest.into_values() {
            let current = by_address.entry(said.address.as_str()).or_insert(said);
            if said.born > current.born {
                *current = said;
            }
        }
        let mut ready: HashMap<SmolStr, Vec<Endpoint>> = HashMap::new();
        for said in by_address.into_values().filter(|s| s.standing() == Standing::Ready) {
            let Ok(addr) = said.address.parse() else { continue };
            let (id, zone) = (EndpointId::new(&said.id), SmolStr::new(&said.zone));
            let endpoint = Endpoint { id, addr, zone, slots: said.slots };
            ready.entry(SmolStr::new(&said.service)).or_default().push(endpoint);
        }
        for of_service in ready.values_mut() {
            of_service.sort_by(|a, b| a.id.cmp(&b.id));
        }
        self.ready = ready.into_iter().map(|(name, list)| (name, Arc::new(list))).collect();
    }
}

/// Of two announcements of one endpoint the one with the higher value holds.
///
/// A later start goes first; within one start its end cannot be taken back, and one that a
/// replica still hears is not silent.
fn precedence(said: &Announcement) -> (u64, u8, u64) {
    let rank = match said.standing() {
        Standing::Gone => 2,
        Standing::Ready | Standing::Draining => 1,
        Standing::Silent => 0,
    };
    (said.born, rank, said.seq)
}

/// Settings of a gateway's decisions.
#[derive(Clone, Debug, Default)]
pub struct GatewaySettings {
    /// Name of this node.
    pub node: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Shared budget of repeated sends.
    pub budget: BudgetConfig,
}

/// State of one gateway.
pub struct Gateway {
    /// Settings.
    pub cfg: GatewaySettings,
    /// Protocol of callers and endpoints.
    pub dialect: Arc<dyn Dialect>,
    /// Configuration in force.
    pub config: ArcSwapOption<GatewayConfig>,
    /// Announced endpoints.
    pub endpoints: Mutex<Endpoints>,
    /// Sends under way.
    pub in_flight: Mutex<InFlightSends>,
    /// Reading ahead at an engine in the last seconds, in milliseconds.
    pub smoothed_backlog: Mutex<MovingAverage>,
    /// Health of endpoints.
    pub health: Mutex<Health>,
    /// Budget of repeated sends.
    pub budget: Mutex<RetryBudget>,
    /// Connections to endpoints.
    pub pool: Pool,
    /// Wakes the task that shares the own load.
    pub load_changed: Notify,
    /// Cancelled once this process is told to end.
    pub stopping: CancellationToken,
    /// Cancelled once a process that ends takes no new requests.
    pub closing: CancellationToken,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Log.
    pub log: Logger,
}

impl Gateway {
    /// Builds the state of a gateway that knows nothing yet.
    pub fn new(cfg: GatewaySettings, dialect: Arc<dyn Dialect>, log: Logger) -> Self {
        let budget = RetryBudget::new(cfg.budget.clone());
        Self {
            cfg,
            dialect,
            config: ArcSwapOption::empty(),
            endpoints: Mutex::default(),
            in_flight: Mutex::default(),
            smoothed_backlog: Mutex::default(),
            health: Mutex::default(),
            budget: Mutex::new(budget),
            pool: Pool::default(),
            load_changed: Notify::new(),
            stopping: CancellationToken::new(),
            closing: CancellationToken::new(),
            metrics: Arc::new(Metrics::default()),
            log,
        }
    }

    /// Counts a finished request.
    pub fn count(&self, outcome: &str, class: &str, total: Duration) {
        let (outcome, class) = (outcome.to_owned(), class.to_owned());
        let labels = ClassLabels { class: class.clone() };
        self.metrics.total.get_or_create(&labels).observe(total.as_secs_f64());
        self.metrics.requests.get_or_create(&RequestLabels { outcome, class }).inc();
    }

    /// Version of the configuration in force; 0 when there is none.
    pub fn version(&self) -> u64 {
        self.config.load().as_ref().map_or(0, |c| c.version)
    }

    /// Puts a document in force if it is newer.
    pub fn take_document(&self, document: &Document, from: &str) {
        if document.version <= self.version() {
            return;
        }
        match self.dialect.decode_document(document) {
            Ok(config) => {
                event!(self.log, ConfigApplied, "version" => document.version, "from" => from);
                self.config.store(Some(Arc::new(config)));
                self.metrics.config_version.set(document.version);
            }
            Err(findings) => {
                event!(self.log, ConfigUnreadable, "version" => document.version,
                    "from" => from, "findings" => findings.to_string());
            }
        }
    }

    /// Notes sends that start; they end when the guard is dropped.
    pub fn track_sends(self: &Arc<Self>, sends: Vec<InFlightSend>) -> InFlightGuard {
        let mut in_flight = self.in_flight.lock();
        let keys = sends.into_iter().map(|f| in_flight.insert(f)).collect();
        drop(in_flight);
        self.load_changed.notify_one();
        InFlightGuard { gateway: Arc::clone(self), keys }
    }

    /// Whether the budget of a service has a repeated send left.
    pub fn has_retry(&self, service: &str) -> bool {
        let entries = self.in_flight.lock().entry_count();
        self.budget.lock().has(boot_now(), service, entries)
    }

    /// Takes one repeated send from the budget of a service.
    pub fn take_retry(&self, service: &str) -> bool {
        let entries = self.in_flight.lock().entry_count();
        self.budget.lock().take(boot_now(), service, entries)
    }
}

/// Sends under way; dropping it ends them.
pub struct InFlightGuard {
    gateway: Arc<Gateway>,
    keys: Vec<SendKey>,
}

impl InFlightGuard {
    /// Notes that a stream is late already, so that nothing more is lost by its waiting.
    pub fn mark_late(&self) {
        let mut in_flight = self.gateway.in_flight.lock();
        let first = self.keys.first().and_then(|key| in_flight.get_mut(*key));
        let turns = first.is_some_and(|f| !std::mem::replace(&mut f.late, true));
        drop(in_flight);
        if turns {
            self.gateway.load_changed.notify_one();
        }
    }

    /// Notes that a stream wrote so many more tokens.
    pub fn wrote(&self, tokens: u64) {
        let mut in_flight = self.gateway.in_flight.lock();
        let first = self.keys.first().and_then(|key| in_flight.get_mut(*key));
        let starts = first.is_some_and(|f| {
            let starts = f.written_tokens == 0;
            f.written_tokens += tokens;
            starts
        });
        if starts {
            for key in &self.keys[1..] {
                in_flight.remove(*key);
            }
            drop(in_flight);
            self.gateway.load_changed.notify_one();
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut in_flight = self.gateway.in_flight.lock();
        for key in &self.keys {
            in_flight.remove(*key);
        }
        drop(in_flight);
        self.gateway.load_changed.notify_one();
    }
}
