//! Metrics of a process in the OpenMetrics format, served at `/metrics`.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::panics::PANICS;

/// Labels of the counter of finished requests.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RequestLabels {
    /// Outcome: `done`, `not-run`, `unknown` or `failed`.
    pub outcome: String,
    /// Name of the prompt class, `plain` for requests without a prompt.
    pub class: String,
}

/// Label of counters that are split by reason.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ReasonLabels {
    /// Short machine-readable reason.
    pub reason: String,
}

/// Label of metrics that are split by prompt class.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ClassLabels {
    /// Name of the prompt class, `plain` for requests without a prompt.
    pub class: String,
}

/// Label of metrics that are split by the kind of what is held.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct KindLabels {
    /// Kind: `body`, `large-body`, `answer`, `large-answer` or `stream`.
    pub kind: String,
}

/// Label of metrics that are split by service.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct QueueLabels {
    /// Name of the service.
    pub service: String,
}

/// Label of metrics that are split by priority.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct PriorityLabels {
    /// Priority of the workspace or the route; 0 is the most urgent.
    pub priority: u32,
}

/// All metrics; those of other roles stay at zero.
pub struct Metrics {
    registry: Registry,
    /// Finished requests by outcome and prompt class.
    pub requests: Family<RequestLabels, Counter>,
    /// Rejected requests by reason.
    pub refusals: Family<ReasonLabels, Counter>,
    /// Attempts after the first one of a request.
    pub retries: Counter,
    /// Seconds to the first token by prompt class.
    pub first_token: Family<ClassLabels, Histogram>,
    /// Seconds to the end of the response by prompt class.
    pub total: Family<ClassLabels, Histogram>,
    /// Longest pause within a stream in seconds, by prompt class.
    pub pause: Family<ClassLabels, Histogram>,
    /// Requests that wait for an engine, by service.
    pub queue_length: Family<QueueLabels, Gauge>,
    /// Seconds in the queue for an engine, by priority.
    pub queue_wait: Family<PriorityLabels, Histogram>,
    /// Requests refused in the queue, by reason.
    pub queue_refusals: Family<ReasonLabels, Counter>,
    /// Memory reservations at several engines, by result.
    pub reservations: Family<ReasonLabels, Counter>,
    /// Endpoints that accept requests.
    pub endpoints: Gauge,
    /// Entries that exchange load reports, including this one.
    pub entries: Gauge,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Bytes held for bodies and answers, by kind.
    pub memory_held: Family<KindLabels, Gauge>,
    /// Callers that were disconnected because they read nothing.
    pub callers_not_reading: Counter,
    /// Crashes of endpoints that this process noticed.
    pub crashes: Counter,
    /// Availability zones that operators drain.
    pub zones_drained: Gauge,
    /// Verdicts by which poison requests are refused.
    pub quarantined: Gauge,
    /// Number of endpoints that are cold.
    pub cold_endpoints: Gauge,
    /// Version of the applied configuration.
    pub config_version: Gauge<u64, AtomicU64>,
    /// 1 while the configuration lease is held, else 0.
    pub lease: Gauge,
    /// KV memory reserved for admitted requests, in tokens.
    pub kv_reserved: Gauge<u64, AtomicU64>,
    /// Requests that an engine held without a ledger entry, and that were therefore cancelled.
    pub orphans: Counter,
    /// Index of the last applied log entry.
    pub applied_index: Gauge<u64, AtomicU64>,
    /// 1 while this control replica is the leader, else 0.
    pub leader: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let buckets = || Histogram::new(exponential_buckets(0.005, 1.7, 20));
        let mut metrics = Self {
            registry: Registry::with_prefix("bitternlead"),
            requests: Family::default(),
            refusals: Family::default(),
            retries: Counter::default(),
            first_token: Family::new_with_constructor(buckets),
            total: Family::new_with_constructor(buckets),
            pause: Family::new_with_constructor(buckets),
            queue_length: Family::default(),
            queue_wait: Family::new_with_constructor(buckets),
            queue_refusals: Family::default(),
            reservations: Family::default(),
            endpoints: Gauge::default(),
            entries: Gauge::default(),
            in_flight: Gauge::default(),
            memory_held: Family::default(),
            callers_not_reading: Counter::default(),
            crashes: Counter::default(),
            zones_drained: Gauge::default(),
            quarantined: Gauge::default(),
            cold_endpoints: Gauge::default(),
            config_version: Gauge::default(),
            lease: Gauge::default(),
            kv_reserved: Gauge::default(),
            orphans: Counter::default(),
            applied_index: Gauge::default(),
            leader: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Finished requests", self.requests.clone());
        r.register("refusals", "Refused requests", self.refusals.clone());
        r.register("retries", "Attempts after the first", self.retries.clone());
        r.register("first_token_seconds", "Time to first token", self.first_token.clone());
        r.register("request_seconds", "Time to the end of an answer", self.total.clone());
        r.register("stream_pause_seconds", "Longest pause of a stream", self.pause.clone());
        r.register("queue_length", "Requests that wait", self.queue_length.clone());
        r.register("queue_wait_seconds", "Time in the queue", self.queue_wait.clone());
        r.register("queue_refusals", "Refusals in the queue", self.queue_refusals.clone());
        r.register("reservations", "Memory reservations", self.reservations.clone());
        r.register("endpoints_ready", "Endpoints that take work", self.endpoints.clone());
        r.register("entries", "Entries that share their load", self.entries.clone());
        r.register("in_flight", "Requests under way", self.in_flight.clone());
        r.register("memory_held_bytes", "Bytes of bodies and answers", self.memory_held.clone());
        r.register(
            "callers_not_reading",
            "Callers disconnected because they read nothing",
            self.callers_not_reading.clone(),
        );
        r.register("panics", "Panics in this process", PANICS.clone());
        r.register("endpoint_crashes", "Crashes of endpoints noticed", self.crashes.clone());
        r.register("zones_drained", "Zones that operators drain", self.zones_drained.clone());
        r.register("cold_endpoints", "Endpoints that are cold", self.cold_endpoints.clone());
        r.register("quarantined", "Kinds of poison request refused", self.quarantined.clone());
        r.register("config_version", "Configuration in force", self.config_version.clone());
        r.register("lease_held", "Configuration lease held", self.lease.clone());
        r.register("kv_reserved_tokens", "KV memory reserved", self.kv_reserved.clone());
        r.register("orphans", "Orphans cancelled at engines", self.orphans.clone());
        r.register("applied_index", "Last applied log entry", self.applied_index.clone());
        r.register("leader", "Whether this replica leads", self.leader.clone());
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }
}
