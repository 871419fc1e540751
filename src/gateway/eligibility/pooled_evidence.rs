//! Evidence on endpoints that other entries report, merged with what this entry saw itself.
//!
//! With many entries each of them sees few sends to an endpoint. No single entry is believed: of the
//! others' reports on an endpoint the worst one is left out, unless this entry saw a failure there too.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;

use super::endpoints::Endpoint;
use super::health::{Health, Observation, decay_factor};
use super::{Eligibility, EligibilityRule, SendContext};
use crate::directory::EndpointId;
use crate::ids::Moment;
use crate::wire::EndpointEvidence;

/// Maximum number of endpoints in a report.
pub const MAX_REPORTED: usize = 32;

/// Age up to which an observation is reported.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(1);

/// Minimum interval between reports. Two fit into the time in which an observation is reported, in
/// case one is lost.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Excess over the predicted time from which an endpoint is reported as slow.
const MIN_REPORTED_SLOWNESS: f64 = 0.5;

/// Age at which evidence is dropped, four time constants of health.
const MAX_AGE: Duration = Duration::from_secs(20);

/// Longest time for which an endpoint is avoided on the evidence of others.
const MAX_AVOIDED_TIME: Duration = Duration::from_secs(5);

/// Maximum number of sends with which one entry counts, so that a busy one does not outvote others.
const MAX_SENDS_OF_ENTRY: f64 = 20.0;

/// Number of sends without a failure that are assumed besides those that are reported.
const ASSUMED_SENDS: f64 = 4.0;

/// Maximum excess over the predicted time that is believed; as for own sends.
const MAX_SLOWNESS: f64 = 9.0;

/// What another entry reported last on an endpoint.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    observed_at: Moment,
    failures: f64,
    sends: f64,
    slowness: f64,
    refused_until: Moment,
}

/// The start of an endpoint that evidence is on.
#[derive(Clone, Copy, Debug)]
struct Start {
    born: u64,
    known_since: Moment,
}

/// Evidence of other entries on the listed endpoints.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::gateway::eligibility::pooled_evidence::PooledEvidence;
/// use bitternlead::wire::EndpointEvidence;
///
/// let mut pooled = PooledEvidence::default();
/// let (id, now) = ("engine-1".into(), Duration::from_secs(50));
/// pooled.set_starts(now, [(&id, 7)]);
/// let evidence = EndpointEvidence {
///     endpoint: "engine-1".into(), failures: 3, sends: 3, refused_for_ms: 800, ..Default::default()
/// };
/// pooled.apply_report(now, "entry-1", &[evidence.clone()]);
/// let avoided_until = |pooled: &PooledEvidence| {
///     pooled.avoided_until(now, &id, false, Duration::ZERO)
/// };
/// assert_eq!(avoided_until(&pooled), None, "one entry alone");
/// pooled.apply_report(now, "entry-2", &[evidence]);
/// assert_eq!(avoided_until(&pooled), Some(now + Duration::from_millis(800)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PooledEvidence {
    starts: HashMap<EndpointId, Start>,
    reports: HashMap<EndpointId, HashMap<SmolStr, Evidence>>,
    reported_at: Option<Moment>,
}

impl PooledEvidence {
    /// Replaces the list of endpoints, with the times of their starts as they announce them. Evidence
    /// on other endpoints and on earlier starts is dropped.
    pub fn set_starts<'a>(
        &mut self,
        now: Moment,
        listed: impl IntoIterator<Item = (&'a EndpointId, u64)>,
    ) {
        let mut before = std::mem::take(&mut self.starts);
        for (id, born) in listed {
            let known = before.remove(id).filter(|start| start.born == born);
            let start = known.unwrap_or_else(|| {
                self.reports.remove(id);
                Start { born, known_since: now }
            });
            self.starts.insert(id.clone(), start);
        }
        for id in before.keys() {
            self.reports.remove(id);
        }
    }

    /// Builds the report for other entries from what this entry observed in the last second, the
    /// newest first; empty if the last one was sent only shortly before.
    pub fn report(&mut self, now: Moment, health: &Health) -> Vec<EndpointEvidence> {
        if self.reported_at.is_some_and(|at| now.saturating_sub(at) < REPORT_INTERVAL) {
            return Vec::new();
        }
        let is_reported = |o: &Observation| {
            let is_bad =
                o.failures >= 0.5 || o.slowness >= MIN_REPORTED_SLOWNESS || o.refused_until > now;
            is_bad && now.saturating_sub(o.observed_at) < MAX_REPORTED_AGE
        };
        let mut observed: Vec<Observation> = health.observations().filter(is_reported).collect();
        if !observed.is_empty() {
            self.reported_at = Some(now);
        }
        observed.sort_by_key(|o| Reverse(o.observed_at));
        observed.truncate(MAX_REPORTED);
        observed.iter().map(|o| encode(o, now)).collect()
    }

    /// Applies the report of another entry, and returns the endpoints that are avoided from now on with
    /// the time of that. Evidence on endpoints that are not listed or on earlier starts is ignored, and
    /// so is what is older than the evidence held.
    pub fn apply_report(
        &mut self,
        now: Moment,
        node: &str,
        report: &[EndpointEvidence],
    ) -> Vec<(EndpointId, Duration)> {
        let mut avoided = Vec::new();
        for evidence in report.iter().take(MAX_REPORTED) {
            let known = self.starts.get_key_value(evidence.endpoint.as_str());
            let Some((id, start)) = known.map(|(id, start)| (id.clone(), *start)) else {
                continue;
            };
            let was_avoided = self.avoided_until(now, &id, false, Moment::ZERO).is_some();
            let decoded = decode(evidence, now);
            let of_endpoint = self.reports.entry(id.clone()).or_default();
            let is_newer =
                of_endpoint.get(node).is_none_or(|held| held.observed_at <= decoded.observed_at);
            if decoded.observed_at >= start.known_since && is_newer {
                of_endpoint.insert(SmolStr::new(node), decoded);
            }
            let until = self.avoided_until(now, &id, false, Moment::ZERO).filter(|_| !was_avoided);
            avoided.extend(until.map(|until| (id, until.saturating_sub(now))));
        }
        avoided
    }

    /// Drops evidence that has decayed.
    pub fn expire(&mut self, now: Moment) {
        for of_endpoint in self.reports.values_mut() {
            of_endpoint.retain(|_, e| now.saturating_sub(e.observed_at) < MAX_AGE);
        }
        self.reports.retain(|_, of_endpoint| !of_endpoint.is_empty());
    }

    /// Merges this entry's own estimate, failure rate and slowness, with the evidence of others. The
    /// result is never better than the own estimate.
    pub fn merge(
        &self,
        now: Moment,
        id: &EndpointId,
        own: (f64, f64),
        has_own_failure: bool,
    ) -> (f64, f64) {
        let Some(of_endpoint) = self.reports.get(id) else { return own };
        let (own_rate, own_slowness) = own;
        let mut decayed: Vec<Evidence> = of_endpoint.values().map(|e| e.decayed(now)).collect();
        // Of equal ones the order does not matter.
        decayed.sort_by(|a, b| a.failures.total_cmp(&b.failures));
        let believed = believed(&decayed, has_own_failure);
        let failures: f64 = believed.iter().map(|e| e.failures).sum();
        let sends: f64 = believed.iter().map(|e| e.sends).sum();
        let rate = failures / (sends + ASSUMED_SENDS);
        decayed.sort_by(|a, b| a.slowness.total_cmp(&b.slowness));
        let believed = self::believed(&decayed, false);
        let slowness =
            believed.iter().map(|e| e.slowness).sum::<f64>() / believed.len().max(1) as f64;
        (own_rate.max(rate), own_slowness.max(1.0 + slowness))
    }

    /// Until when an endpoint is avoided, because at least two entries, this one included, see that it
    /// takes no requests; `None` if it is not avoided. What was observed before this entry's own last
    /// success, at `succeeded_at`, does not count.
    pub fn avoided_until(
        &self,
        now: Moment,
        id: &EndpointId,
        has_own_failure: bool,
        succeeded_at: Moment,
    ) -> Option<Moment> {
        let of_endpoint = self.reports.get(id)?;
        let newer = of_endpoint.values().filter(|e| e.observed_at >= succeeded_at);
        let mut times: Vec<Moment> = newer.map(|e| e.refused_until).collect();
        times.sort_unstable();
        believed(&times, has_own_failure).last().copied().filter(|until| *until > now)
    }
}

/// The evidence that is believed, of all that is sorted with the worst one last: all but the worst
/// one, or all if this entry saw a failure too.
fn believed<T>(sorted: &[T], has_own_failure: bool) -> &[T] {
    let left_out = usize::from(!has_own_failure);
    &sorted[..sorted.len().saturating_sub(left_out)]
}

impl Evidence {
    fn decayed(&self, now: Moment) -> Self {
        let factor = decay_factor(now, self.observed_at);
        Self {
            failures: self.failures * factor,
            sends: self.sends * factor,
            slowness: self.slowness * factor,
            ..*self
        }
    }
}

fn encode(o: &Observation, now: Moment) -> EndpointEvidence {
    EndpointEvidence {
        endpoint: o.endpoint.to_string(),
        age_ms: now.saturating_sub(o.observed_at).as_millis() as u32,
        failures: o.failures.round() as u32,
        sends: o.sends.round() as u32,
        slowness_percent: (o.slowness * 100.0) as u32,
        refused_for_ms: o.refused_until.saturating_sub(now).as_millis() as u32,
    }
}

fn decode(e: &EndpointEvidence, now: Moment) -> Evidence {
    let sends = f64::from(e.sends).min(MAX_SENDS_OF_ENTRY);
    let refused_for = Duration::from_millis(u64::from(e.refused_for_ms)).min(MAX_AVOIDED_TIME);
    Evidence {
        observed_at: now.saturating_sub(Duration::from_millis(u64::from(e.age_ms))),
        failures: f64::from(e.failures).min(sends),
        sends,
        slowness: (f64::from(e.slowness_percent) / 100.0).min(MAX_SLOWNESS),
        refused_until: if refused_for.is_zero() { Moment::ZERO } else { now + refused_for },
    }
}

/// Leaves out endpoints that several entries see refuse requests.
pub struct EvidenceRule {
    /// What this entry saw itself.
    pub health: Arc<Mutex<Health>>,
    /// What other entries report.
    pub pooled: Arc<Mutex<PooledEvidence>>,
}

impl EligibilityRule for EvidenceRule {
    fn check(&self, cx: &SendContext, endpoint: &Endpoint) -> Eligibility {
        let health = self.health.lock();
        let has_own_failure = health.has_failure(cx.now, &endpoint.id);
        let succeeded_at = health.succeeded_at(&endpoint.id);
        drop(health);
        let pooled = self.pooled.lock();
        match pooled.avoided_until(cx.now, &endpoint.id, has_own_failure, succeeded_at) {
            Some(until) => Eligibility::Until(until),
            None => Eligibility::Allowed,
        }
    }
}
