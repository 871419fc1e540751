//! Health of endpoints, estimated from the outcome of sends.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;

use super::endpoints::Endpoint;
use super::{Eligibility, EligibilityRule, SendContext};
use crate::directory::EndpointId;
use crate::ids::Moment;

/// Weight of the newest send in the failure rate and the slowness.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Time constant with which failures and slowness are forgotten.
const TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Backoff after the first failed connection; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum time for which an endpoint is left alone because it named a time; it may have lost its
/// reason long before.
const MAX_NAMED_TIME: Duration = Duration::from_secs(60);

/// Maximum backoff after failed connections.
const MAX_BACKOFF: Duration = Duration::from_millis(3200);

#[derive(Clone, Debug, Default)]
struct EndpointHealth {
    failure_rate: f64,
    slowness: f64,
    updated_at: Moment,
    failed_connects: u32,
    retry_at: Moment,
    /// Until when the endpoint wants no requests, as it said itself.
    unwilling_until: Moment,
    /// Sends and failures, weighted by age like the failure rate.
    sends: f64,
    failures: f64,
    /// Until when a refused connection keeps the endpoint from being sent to.
    refused_until: Moment,
    succeeded_at: Moment,
}

/// What this entry observed of an endpoint, as of the last observation.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When it was last observed.
    pub observed_at: Moment,
    /// Failed sends, refused connections included, weighted by age.
    pub failures: f64,
    /// All sends, weighted by age.
    pub sends: f64,
    /// Excess over the predicted time, as a fraction of that.
    pub slowness: f64,
    /// Until when the endpoint gets no requests because it refused a connection or wants none.
    pub refused_until: Moment,
}

/// Weighted number of failures from which this entry counts as having seen one. One failure counts
/// for 5 s.
const SEEN_FAILURE: f64 = 0.36;

/// Health of all endpoints that were sent to.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: HashMap<EndpointId, EndpointHealth>,
}

impl Health {
    /// Records a successful send; `slowness` is its time divided by the predicted time.
    pub fn record_success(&mut self, now: Moment, id: &EndpointId, slowness: Option<f64>) {
        let health = self.decay(now, id);
        health.sends += 1.0;
        health.succeeded_at = now;
        health.failure_rate *= 1.0 - SAMPLE_WEIGHT;
        health.failed_connects = 0;
        if let Some(observed) = slowness {
            let excess = observed.clamp(1.0, 10.0) - 1.0;
            health.slowness += (excess - health.slowness) * SAMPLE_WEIGHT;
        }
    }

    /// Records a send that the endpoint failed.
    pub fn record_failure(&mut self, now: Moment, id: &EndpointId) {
        let health = self.decay(now, id);
        health.sends += 1.0;
        health.failures += 1.0;
        health.failure_rate += (1.0 - health.failure_rate) * SAMPLE_WEIGHT;
    }

    /// Records a failed connection and starts the backoff.
    pub fn record_unreachable(&mut self, now: Moment, id: &EndpointId) {
        let health = self.decay(now, id);
        let backoff = INITIAL_BACKOFF * 2u32.pow(health.failed_connects.min(3));
        health.failed_connects += 1;
        health.retry_at = now + backoff.min(MAX_BACKOFF);
    }

    /// Records a connection that the endpoint's host refused, and starts the backoff. Unlike other
    /// failed connections, which may be due to the path from this entry, it shows that nothing listens.
    pub fn record_refused(&mut self, now: Moment, id: &EndpointId) {
        self.record_unreachable(now, id);
        let health = self.decay(now, id);
        health.sends += 1.0;
        health.failures += 1.0;
        health.refused_until = health.retry_at;
    }

    /// Records that the endpoint wants no requests for a time, and returns the time for which it
    /// gets none.
    pub fn record_named_time(&mut self, now: Moment, id: &EndpointId, named: Duration) -> Duration {
        let time = named.min(MAX_NAMED_TIME);
        let health = self.decay(now, id);
        health.unwilling_until = health.unwilling_until.max(now + time);
        time
    }

    /// When the endpoint may be sent to again: after its connection backoff, and after the time in
    /// which it wants no requests.
    pub fn available_at(&self, id: &EndpointId) -> Moment {
        self.records.get(id).map_or(Moment::ZERO, |r| r.retry_at.max(r.unwilling_until))
    }

    /// Whether the endpoint may be sent to.
    pub fn is_available(&self, now: Moment, id: &EndpointId) -> bool {
        now >= self.available_at(id)
    }

    /// Time for which the endpoint still wants no requests; zero if it takes them.
    pub fn unwilling_time(&self, now: Moment, id: &EndpointId) -> Duration {
        self.records.get(id).map_or(Duration::ZERO, |r| r.unwilling_until.saturating_sub(now))
    }

    /// Returns the failure rate, 0 to 1, and the factor by which the endpoint is slower than
    /// predicted.
    pub fn estimate(&self, now: Moment, id: &EndpointId) -> (f64, f64) {
        let Some(health) = self.records.get(id) else { return (0.0, 1.0) };
        let factor = decay_factor(now, health.updated_at);
        (health.failure_rate * factor, 1.0 + health.slowness * factor)
    }

    /// Whether a send of this entry failed in the last seconds, or the endpoint wants no requests.
    pub fn has_failure(&self, now: Moment, id: &EndpointId) -> bool {
        self.records.get(id).is_some_and(|r| {
            r.failures * decay_factor(now, r.updated_at) >= SEEN_FAILURE || r.unwilling_until > now
        })
    }

    /// When a send of this entry last succeeded; zero if none did.
    pub fn succeeded_at(&self, id: &EndpointId) -> Moment {
        self.records.get(id).map_or(Moment::ZERO, |r| r.succeeded_at)
    }

    /// What was observed of each endpoint that was sent to.
    pub fn observations(&self) -> impl Iterator<Item = Observation> {
        self.records.iter().map(|(id, r)| Observation {
            endpoint: id.clone(),
            observed_at: r.updated_at,
            failures: r.failures,
            sends: r.sends,
            slowness: r.slowness,
            refused_until: r.refused_until.max(r.unwilling_until),
        })
    }

    /// Drops the health of endpoints for which `is_listed` is false.
    pub fn retain(&mut self, is_listed: impl Fn(&EndpointId) -> bool) {
        self.records.retain(|id, _| is_listed(id));
    }

    fn decay(&mut self, now: Moment, id: &EndpointId) -> &mut EndpointHealth {
        let health = self.records.entry(id.clone()).or_default();
        let factor = decay_factor(now, health.updated_at);
        health.failure_rate *= factor;
        health.slowness *= factor;
        health.sends *= factor;
        health.failures *= factor;
        health.updated_at = now;
        health
    }
}

impl EligibilityRule for Mutex<Health> {
    fn check(&self, cx: &SendContext, endpoint: &Endpoint) -> Eligibility {
        let at = self.lock().available_at(&endpoint.id);
        if cx.now >= at { Eligibility::Allowed } else { Eligibility::Until(at) }
    }

    /// Probes find out whether an endpoint that refuses connections crashed.
    fn covers_probes(&self) -> bool {
        false
    }
}

/// Factor by which what was observed at a time still counts.
pub fn decay_factor(now: Moment, updated_at: Moment) -> f64 {
    (-now.saturating_sub(updated_at).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}
