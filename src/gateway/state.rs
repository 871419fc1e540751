//! State that all tasks of a gateway share.

use std::collections::HashSet;
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
use super::crashes::recent_suspects::RecentSuspects;
use super::dialect::Dialect;
use super::eligibility::cold::{ColdEndpoints, ColdSettings};
use super::eligibility::endpoint_limits::{EndpointLimits, LimitChange};
use super::eligibility::endpoints::{Endpoint, Endpoints};
use super::eligibility::health::Health;
use super::eligibility::pooled_evidence::{EvidenceRule, PooledEvidence};
use super::eligibility::regions::Regions;
use super::eligibility::zone_drains::{ZoneDrainChange, ZoneDrains};
use super::eligibility::{Eligibility, EligibilityRule, SendContext};
use super::load::in_flight::InFlightSends;
use super::load::moving_average::MovingAverage;
use super::memory_budget::{HeldKind, MemoryBudget, budget_bytes};
use super::placement::policy::Policy;
use super::pool::Pool;
use super::queueing::Queues;
use super::startup::WaitingRequests;
use crate::clock::boot_now;
use crate::directory::EndpointId;
use crate::event;
use crate::ids::{Moment, ZoneName};
use crate::metrics::{ClassLabels, KindLabels, Metrics, RequestLabels};
use crate::quarantine::Quarantine;
use crate::wire::{self, Document, EndpointEvidence};

/// Settings that the gateway's decisions depend on.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of this node, reported to control replicas and other entries.
    pub node: SmolStr,
    /// Availability zone of this node; endpoints within it are preferred.
    pub zone: SmolStr,
    /// Region of each availability zone.
    pub regions: Regions,
    /// Bound on retries over all entries.
    pub budget: BudgetConfig,
    /// Bound on what cold endpoints receive.
    pub cold: ColdSettings,
    /// Mechanisms in use.
    pub policy: Policy,
    /// Rate up to which load is sent to other entries, in bytes per second.
    pub load_bytes_per_s: f64,
    /// Memory that the process may use, in bytes; `None` for no bound.
    pub memory_limit: Option<u64>,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            node: SmolStr::default(),
            zone: SmolStr::default(),
            regions: Regions::default(),
            budget: BudgetConfig::default(),
            cold: ColdSettings::default(),
            policy: Policy::default(),
            load_bytes_per_s: 1e6,
            memory_limit: None,
        }
    }
}

/// State of one gateway.
pub struct Gateway {
    /// Settings that stay the same while the process runs.
    pub cfg: GatewaySettings,
    /// Wire format of callers, endpoints and configuration documents.
    pub dialect: Arc<dyn Dialect>,
    /// Configuration in force; empty until the first document arrives.
    pub config: ArcSwapOption<GatewayConfig>,
    /// Wakes requests that wait for the first configuration.
    pub config_applied: Notify,
    /// Requests that wait for the first configuration.
    pub waiting_for_config: Mutex<WaitingRequests>,
    /// When this process started.
    pub started: Moment,
    /// Endpoints announced by the control replicas.
    pub endpoints: Mutex<Endpoints>,
    /// Sends in flight, of this entry and of others.
    pub in_flight: Mutex<InFlightSends>,
    /// Mean prefill backlog per engine over the last seconds, in milliseconds.
    pub smoothed_backlog: Mutex<MovingAverage>,
    /// Health of endpoints as this entry sees it.
    pub health: Arc<Mutex<Health>>,
    /// Evidence on endpoints that other entries report.
    pub pooled_evidence: Arc<Mutex<PooledEvidence>>,
    /// Rates that endpoints name for all entries together.
    pub limits: Arc<Mutex<EndpointLimits>>,
    /// Availability zones that operators drain.
    pub zone_drains: Arc<Mutex<ZoneDrains>>,
    /// Endpoints that are cold, and what this entry sent to them.
    pub cold: Arc<Mutex<ColdEndpoints>>,
    /// Rules that say which ready endpoints a request may be sent to, in the order in which they are
    /// asked.
    pub eligibility_rules: Vec<Arc<dyn EligibilityRule>>,
    /// Poison requests, as all entries know them.
    pub quarantine: Mutex<Quarantine>,
    /// Wakes the task that reports what this entry learns of poison requests.
    pub quarantine_changed: Notify,
    /// Endpoints that are about to be checked for a crash.
    pub checked_endpoints: Mutex<HashSet<EndpointId>>,
    /// Requests whose outcome at an endpoint is unknown.
    pub recent_suspects: Mutex<RecentSuspects>,
    /// Retries that this entry may still make.
    pub budget: Mutex<RetryBudget>,
    /// Bytes held for bodies and answers.
    pub memory: Arc<MemoryBudget>,
    /// Requests that wait for an engine in the order of their service.
    pub queues: Queues,
    /// Idle connections to endpoints.
    pub pool: Pool,
    /// Wakes the task that sends this entry's load to other entries.
    pub load_changed: Notify,
    /// Cancelled when the process is told to stop; new requests are still accepted.
    pub stopping: CancellationToken,
    /// Cancelled when a stopping process no longer accepts requests.
    pub closing: CancellationToken,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
    /// Logger for events.
    pub log: Logger,
}

impl Gateway {
    /// Builds the state of a gateway without configuration or endpoints.
    pub fn new(cfg: GatewaySettings, dialect: Arc<dyn Dialect>, log: Logger) -> Self {
        let budget = RetryBudget::new(cfg.budget.clone());
        let memory_limit = cfg.memory_limit.filter(|_| cfg.policy.memory_budget);
        let memory = MemoryBudget::new(memory_limit.map(budget_bytes));
        let (health, limits) =
            (Arc::<Mutex<Health>>::default(), Arc::<Mutex<EndpointLimits>>::default());
        let zone_drains = Arc::<Mutex<ZoneDrains>>::default();
        let regions = Arc::new(cfg.regions.clone());
        let pooled_evidence = Arc::<Mutex<PooledEvidence>>::default();
        let mut eligibility_rules: Vec<Arc<dyn EligibilityRule>> =
            vec![regions, zone_drains.clone(), health.clone()];
        if cfg.policy.pooled_evidence {
            let (health, pooled) = (Arc::clone(&health), Arc::clone(&pooled_evidence));
            eligibility_rules.push(Arc::new(EvidenceRule { health, pooled }));
        }
        let cold = Arc::new(Mutex::new(ColdEndpoints::new(cfg.cold)));
        eligibility_rules.push(cold.clone());
        // The limits come last: they count each question as demand for the endpoint.
        eligibility_rules.push(limits.clone());
        let gateway = Self {
            cfg,
            dialect,
            config: ArcSwapOption::empty(),
            config_applied: Notify::new(),
            waiting_for_config: Mutex::default(),
            started: boot_now(),
            endpoints: Mutex::default(),
            in_flight: Mutex::default(),
            smoothed_backlog: Mutex::default(),
            health,
            pooled_evidence,
            limits,
            zone_drains,
            cold,
            eligibility_rules,
            quarantine: Mutex::default(),
            quarantine_changed: Notify::new(),
            checked_endpoints: Mutex::default(),
            recent_suspects: Mutex::default(),
            budget: Mutex::new(budget),
            memory: Arc::new(memory),
            queues: Queues::default(),
            pool: Pool::new(memory_limit.is_some()),
            load_changed: Notify::new(),
            stopping: CancellationToken::new(),
            closing: CancellationToken::new(),
            metrics: Arc::new(Metrics::default()),
            log,
        };
        gateway.update_memory_metrics();
        gateway
    }

    /// Counts a finished request and records its total time.
    pub fn count_request(&self, outcome: &str, class: &str, total: Duration) {
        let (outcome, class) = (outcome.to_owned(), class.to_owned());
        let labels = ClassLabels { class: class.clone() };
        self.metrics.total.get_or_create(&labels).observe(total.as_secs_f64());
        self.metrics.requests.get_or_create(&RequestLabels { outcome, class }).inc();
    }

    /// Updates the metrics of the memory budget.
    pub fn update_memory_metrics(&self) {
        for kind in HeldKind::ALL {
            let labels = KindLabels { kind: kind.label().to_owned() };
            let held = self.memory.held(kind) as i64;
            self.metrics.memory_held.get_or_create(&labels).set(held);
        }
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.config.load().as_ref().map_or(0, |c| c.version)
    }

    /// Applies a configuration document if it is newer than the one in force.
    pub fn apply_document(&self, document: &Document, from: &str) {
        if document.version <= self.config_version() {
            return;
        }
        match self.dialect.decode_document(document) {
            Ok(config) => {
                event!(self.log, ConfigApplied, "version" => document.version, "from" => from);
                let unknown = config.find_unknown_regions(&self.cfg.regions.names());
                if !unknown.is_empty() {
                    event!(self.log, RegionsUnknown, "version" => document.version,
                        "findings" => unknown.to_string());
                }
                let bounded = config.services.values().filter(|_| self.cfg.policy.cold_bound);
                let rates = bounded.filter_map(|s| Some((s.name.clone(), s.cold?)));
                self.cold.lock().set_rates(rates);
                self.config.store(Some(Arc::new(config)));
                self.config_applied.notify_waiters();
                self.metrics.config_version.set(document.version);
            }
            Err(findings) => {
                event!(self.log, ConfigUnreadable, "version" => document.version,
                    "from" => from, "findings" => findings.to_string());
            }
        }
    }

    /// Applies and logs the drained zones that the control replica `from` reported.
    pub fn apply_zone_drains(&self, update: &wire::ZoneDrains, from: &str) {
        let mut drains = self.zone_drains.lock();
        let now = boot_now();
        let changes = drains.apply(now, update);
        // Before anything can be sent to the zone again: its endpoints may be cold.
        for change in &changes {
            if let ZoneDrainChange::Ended(zone) = change {
                self.cold.lock().record_drain_end(zone, now);
            }
        }
        self.metrics.zones_drained.set(drains.len() as i64);
        drop(drains);
        for change in changes {
            let (zone, is_drained) = match &change {
                ZoneDrainChange::Started(zone) => (zone.as_str(), true),
                ZoneDrainChange::Ended(zone) => (zone.as_str(), false),
            };
            event!(self.log, ZoneDrainApplied, "zone" => zone, "drained" => is_drained,
                "revision" => update.revision, "from" => from);
        }
    }

    /// Whether the zone of an endpoint is drained.
    pub fn is_zone_drained(&self, endpoint: &Endpoint) -> bool {
        self.zone_drains.lock().is_drained(&endpoint.zone)
    }

    /// Whether one of these zones is drained.
    pub fn is_any_drained(&self, zones: &[ZoneName]) -> bool {
        let drains = self.zone_drains.lock();
        zones.iter().any(|zone| drains.is_drained(zone))
    }

    /// Whether all rules for probes allow a connection to this endpoint.
    pub fn may_probe(&self, endpoint: &Endpoint) -> bool {
        let entries = self.in_flight.lock().entry_count();
        let cx = SendContext { now: boot_now(), entries, ..SendContext::default() };
        let mut rules = self.eligibility_rules.iter().filter(|rule| rule.covers_probes());
        rules.all(|rule| rule.check(&cx, endpoint) == Eligibility::Allowed)
    }

    /// Failure rate, 0 to 1, of an endpoint and the factor by which it is slower than predicted, as
    /// this entry and others see it.
    pub fn estimate(&self, now: Moment, id: &EndpointId) -> (f64, f64) {
        let health = self.health.lock();
        let own = health.estimate(now, id);
        if !self.cfg.policy.pooled_evidence {
            return own;
        }
        let has_own_failure = health.has_failure(now, id);
        self.pooled_evidence.lock().merge(now, id, own, has_own_failure)
    }

    /// Builds the report on endpoints for other entries; empty if they share none.
    pub fn report_evidence(&self, now: Moment) -> Vec<EndpointEvidence> {
        if !self.cfg.policy.pooled_evidence {
            return Vec::new();
        }
        let health = self.health.lock();
        self.pooled_evidence.lock().report(now, &health)
    }

    /// Takes the endpoints that are listed now as those on which evidence counts.
    pub fn update_evidence_starts(&self) {
        if self.cfg.policy.pooled_evidence {
            let endpoints = self.endpoints.lock();
            self.pooled_evidence.lock().set_starts(boot_now(), endpoints.starts());
        }
    }

    /// Whether all rules allow a send to this endpoint.
    pub fn is_eligible(&self, cx: &SendContext, endpoint: &Endpoint) -> bool {
        self.eligibility_rules.iter().all(|rule| rule.check(cx, endpoint) == Eligibility::Allowed)
    }

    /// Records and logs that an endpoint wants no requests from this entry for a time.
    pub fn record_named_time(&self, id: &EndpointId, named: Duration) {
        let time = self.health.lock().record_named_time(boot_now(), id, named);
        event!(self.log, EndpointNamedTime, "endpoint" => id.as_str(),
            "named_ms" => named.as_millis() as u64, "ms" => time.as_millis() as u64);
    }

    /// Records the cold time that a response of an endpoint states, if it does.
    pub fn record_cold_time(&self, id: &EndpointId, cold_time: Option<Duration>) {
        if let Some(cold_time) = cold_time {
            self.cold.lock().record_answer(boot_now(), id, cold_time);
        }
    }

    /// Records and logs that an endpoint said in an answer that it leaves.
    pub fn record_leaving(&self, id: &EndpointId) {
        if self.endpoints.lock().mark_leaving(id) {
            event!(self.log, EndpointSaidItLeaves, "endpoint" => id.as_str());
        }
    }

    /// Records and logs that another endpoint answers at the address of this one.
    pub fn record_misdirected(&self, id: &EndpointId) {
        if self.endpoints.lock().mark_misdirected(boot_now(), id) {
            event!(self.log, EndpointMisdirected, "endpoint" => id.as_str());
        }
    }

    /// Records and logs the limit that a response of an endpoint names, or that it names none.
    pub fn record_limit(&self, id: &EndpointId, per_s: Option<f64>) {
        let change = self.limits.lock().record_response(boot_now(), id, per_s);
        if let Some(change) = change {
            self.log_limit(id, change, self.cfg.node.as_str());
        }
    }

    /// Logs a change of a limit that this entry or another one (`from`) learnt of.
    pub fn log_limit(&self, id: &EndpointId, change: LimitChange, from: &str) {
        match change {
            LimitChange::Named(per_s) => event!(self.log, LimitNamed, "endpoint" => id.as_str(),
                "per_s" => per_s, "from" => from),
            LimitChange::Lifted => event!(self.log, LimitLifted, "endpoint" => id.as_str(),
                "from" => from),
        }
    }

    /// Whether the retry budget of a service has a retry left.
    pub fn has_retry(&self, service: &str) -> bool {
        let entries = self.in_flight.lock().entry_count();
        self.budget.lock().has(boot_now(), service, entries)
    }

    /// Takes one retry from the budget of a service; false if none is left.
    pub fn take_retry(&self, service: &str) -> bool {
        let entries = self.in_flight.lock().entry_count();
        self.budget.lock().try_withdraw(boot_now(), service, entries)
    }
}
