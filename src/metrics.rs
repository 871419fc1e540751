//! Metrics of a process.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of a finished request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RequestLabels {
    /// done, not-run, unknown or failed.
    pub outcome: String,
    /// Class of the prompt's length.
    pub class: String,
}

/// Labels of a reason.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ReasonLabels {
    /// Reason.
    pub reason: String,
}

/// Labels of a prompt class.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ClassLabels {
    /// Class of the prompt's length.
    pub class: String,
}

/// All metrics; a role leaves those of other roles at zero.
pub struct Metrics {
    registry: Registry,
    /// Finished requests.
    pub requests: Family<RequestLabels, Counter>,
    /// Refused requests by reason.
    pub refusals: Family<ReasonLabels, Counter>,
    /// Attempts after the first.
    pub retries: Counter,
    /// Seconds to the first token by prompt class.
    pub first_token: Family<ClassLabels, Histogram>,
    /// Seconds to the end of an answer by prompt class.
    pub total: Family<ClassLabels, Histogram>,
    /// Longest pauses of streams in seconds by prompt class.
    pub pause: Family<ClassLabels, Histogram>,
    /// Memory reservations made at several engines, by whether they were granted.
    pub reservations: Family<ReasonLabels, Counter>,
    /// Endpoints that take work.
    pub endpoints: Gauge,
    /// Entries that share their load, this one included.
    pub entries: Gauge,
    /// Requests under way.
    pub in_flight: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge<u64, AtomicU64>,
    /// Whether the configuration lease is held.
    pub lease: Gauge,
    /// KV memory reserved, in tokens.
    pub kv_reserved: Gauge<u64, AtomicU64>,
    /// Requests that an engine held and no ledger knew.
    pub orphans: Counter,
    /// Index of the last applied log entry.
    pub applied_index: Gauge<u64, AtomicU64>,
    /// Whether this replica leads.
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
            reservations: Family::default(),
            endpoints: Gauge::default(),
            entries: Gauge::default(),
            in_flight: Gauge::default(),
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
        r.register("reservations", "Memory reservations", self.reservations.clone());
        r.register("endpoints_ready", "Endpoints that take work", self.endpoints.clone());
        r.register("entries", "Entries that share their load", self.entries.clone());
        r.register("in_flight", "Requests under way", self.in_flight.clone());
        r.register("config_version", "Configuration in force", self.config_version.clone());
        r.register("lease_held", "Configuration lease held", self.lease.clone());
        r.register("kv_reserved_tokens", "KV memory reserved", self.kv_reserved.clone());
        r.register("orphans", "Orphans cancelled at engines", self.orphans.clone());
        r.register("applied_index", "Last applied log entry", self.applied_index.clone());
        r.register("leader", "Whether this replica leads", self.leader.clone());
    }

    /// Text of the OpenMetrics exposition.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }
}
