//! Rates that endpoints name for the requests of all entries together.
//!
//! Entries tell each other their sends to such endpoints, so that each of them sees the rate of all.
//! They see it with a delay: when more requests compete for one send than the delay allows for, each
//! of them takes part only with some probability. What is sent in excess is made up for by a pause.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use rand::{Rng, RngExt};
use smol_str::SmolStr;

use super::endpoints::Endpoint;
use super::{Eligibility, EligibilityRule, SendContext};
use crate::clock::duration_from_s;
use crate::directory::EndpointId;
use crate::ids::Moment;
use crate::wire::EndpointLimit;

/// Rate at which an endpoint that names less is still sent to, in requests per second; its answers
/// tell when the limit ends.
const MIN_RATE: f64 = 0.2;

/// Time for which unused sends are kept, at least [`MIN_BURST`] of them.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Number of unused sends that are kept at least, in sends.
const MIN_BURST: f64 = 2.0;

/// Time whose sends may be exceeded while entries do not know of each other's sends yet, at least
/// by one send.
const EXCESS_TIME: Duration = Duration::from_millis(250);

/// Number of sends in excess that a pause makes up for at most.
const MAX_EXCESS: f64 = 5.0;

/// Time until other entries know of a send.
const REPORT_DELAY: Duration = Duration::from_millis(100);

/// Time constant of the mean rate of requests that could be sent to an endpoint.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Time for which each report repeats a change, so that one that is lost delays it little.
const REPEAT_TIME: Duration = Duration::from_millis(300);

/// Interval at which limits are reported that did not change, for entries that do not know them.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of limits in one report, some 10 kB.
const MAX_REPORTED: usize = 200;

/// Time for which other entries are told that a limit has ended.
const LIFTED_TTL: Duration = Duration::from_secs(5);

/// Change of an endpoint's limit, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The endpoint names a limit, or another one than before.
    Named(f64),
    /// The endpoint no longer names a limit.
    Lifted,
}

/// Number of sends that another entry has reported for an endpoint, within one of its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportedSends {
    incarnation: u64,
    count: u32,
}

/// Limit of one endpoint, and the sends that count towards it.
#[derive(Clone, Debug)]
struct LimitState {
    /// Requests per second; `None` once the limit has ended.
    per_s: Option<f64>,
    /// When the endpoint's newest answer, to any entry, said so.
    stated_at: Moment,
    /// Time up to which the sends so far use up the rate.
    used_until: Moment,
    /// When this entry last sent to the endpoint or learned of another limit.
    changed_at: Moment,
    /// Sends of this entry.
    own_sends: u32,
    /// Sends of other entries, by node.
    reported: HashMap<SmolStr, ReportedSends>,
    demand: MeanRate,
}

impl LimitState {
    fn new(now: Moment) -> Self {
        Self {
            per_s: None,
            stated_at: now,
            used_until: now,
            changed_at: now,
            own_sends: 0,
            reported: HashMap::new(),
            demand: MeanRate::default(),
        }
    }

    fn set(&mut self, per_s: Option<f64>) -> Option<LimitChange> {
        if self.per_s == per_s {
            return None;
        }
        self.per_s = per_s;
        Some(per_s.map_or(LimitChange::Lifted, LimitChange::Named))
    }

    fn rate(&self) -> Option<f64> {
        self.per_s.map(|per_s| per_s.max(MIN_RATE))
    }

    fn count_sends(&mut self, now: Moment, count: u32) {
        let Some(rate) = self.rate() else { return };
        let used = duration_from_s(f64::from(count) / rate);
        let latest = now + duration_from_s((burst(rate) + MAX_EXCESS) / rate);
        self.used_until = (self.used_until.max(now) + used).min(latest);
    }

    /// Whether the sends of all entries leave room for another one.
    fn has_room(&self, now: Moment, rate: f64) -> bool {
        let ahead = duration_from_s((burst(rate) - 1.0) / rate);
        self.used_until <= now + ahead
    }
}

/// Number of unused sends that are kept.
fn burst(rate: f64) -> f64 {
    (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST)
}

/// Exponentially weighted mean of the rate of events.
#[derive(Clone, Copy, Debug, Default)]
struct MeanRate {
    per_s: f64,
    updated_at: Moment,
}

impl MeanRate {
    /// Counts an event and returns the mean rate of those before it, per second.
    fn record(&mut self, now: Moment) -> f64 {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        let constant_s = DEMAND_TIME_CONSTANT.as_secs_f64();
        let before = self.per_s * (-elapsed_s / constant_s).exp();
        self.per_s = before + 1.0 / constant_s;
        self.updated_at = now;
        before
    }
}

/// Limits of all endpoints that named one.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::gateway::eligibility::endpoint_limits::EndpointLimits;
///
/// let mut limits = EndpointLimits::default();
/// let (id, mut rng) = ("engine-1".into(), rand::rng());
/// let now = Duration::from_secs(5);
/// limits.record_response(now, &id, Some(2.0));
/// assert!(limits.may_send(now, &id, 1, &mut rng));
/// limits.record_send(now, &id);
/// limits.record_send(now, &id);
/// assert!(!limits.may_send(now, &id, 1, &mut rng));
/// assert!(limits.may_send(now + Duration::from_millis(500), &id, 1, &mut rng));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointLimits {
    states: HashMap<EndpointId, LimitState>,
    /// When the limits that did not change were last reported.
    refreshed_at: Moment,
    /// Number of limits that earlier refreshes reported, all of them counted.
    refreshed: usize,
}

impl EndpointLimits {
    /// Records the limit that a response names, in requests per second, or that it names none.
    pub fn record_response(
        &mut self,
        now: Moment,
        id: &EndpointId,
        per_s: Option<f64>,
    ) -> Option<LimitChange> {
        if per_s.is_none() && !self.states.contains_key(id) {
            return None;
        }
        let state = self.states.entry(id.clone()).or_insert_with(|| LimitState::new(now));
        state.stated_at = now;
        let change = state.set(per_s);
        if change.is_some() {
            state.changed_at = now;
        }
        change
    }

    /// Counts a send of this entry.
    pub fn record_send(&mut self, now: Moment, id: &EndpointId) {
        if let Some(state) = self.states.get_mut(id) {
            state.own_sends = state.own_sends.wrapping_add(1);
            state.changed_at = now;
            state.count_sends(now, 1);
        }
    }

    /// Whether a request may be sent to an endpoint now; `entries` is the number of entries, which
    /// are assumed to have as many requests as this one.
    pub fn may_send(
        &mut self,
        now: Moment,
        id: &EndpointId,
        entries: usize,
        rng: &mut impl Rng,
    ) -> bool {
        let Some(state) = self.states.get_mut(id) else { return true };
        let Some(rate) = state.rate() else { return true };
        let demand = state.demand.record(now) * entries as f64;
        if !state.has_room(now, rate) {
            return false;
        }
        let competing = demand * REPORT_DELAY.as_secs_f64();
        let tolerated = (rate * EXCESS_TIME.as_secs_f64()).max(1.0);
        rng.random_range(0.0..1.0) * competing < tolerated
    }

    /// Builds the report for other entries: the limits and the sends of this entry that changed
    /// lately, and every `REFRESH_INTERVAL` the others, at most `MAX_REPORTED` in total.
    pub fn report(&mut self, now: Moment) -> Vec<EndpointLimit> {
        let age = |at: Moment| now.saturating_sub(at);
        let is_new = |state: &LimitState| age(state.changed_at) <= REPEAT_TIME;
        let changed = self.states.iter().filter(|(_, state)| is_new(state));
        let mut report: Vec<EndpointLimit> =
            changed.take(MAX_REPORTED).map(|(id, state)| encode(id, state, now)).collect();
        if age(self.refreshed_at) < REFRESH_INTERVAL || self.states.is_empty() {
            return report;
        }
        self.refreshed_at = now;
        // Starts after those of the last refresh, so that all are reported in turn.
        let skipped = self.refreshed % self.states.len();
        let in_turn = self.states.iter().cycle().skip(skipped).take(self.states.len());
        let is_reported = |state: &LimitState| {
            !is_new(state) && (state.per_s.is_some() || age(state.stated_at) < LIFTED_TTL)
        };
        for (id, state) in in_turn {
            if report.len() >= MAX_REPORTED {
                break;
            }
            self.refreshed += 1;
            if is_reported(state) {
                report.push(encode(id, state, now));
            }
        }
        report
    }

    /// Applies the report of another entry and returns the limits that changed.
    pub fn apply_report(
        &mut self,
        now: Moment,
        node: &str,
        incarnation: u64,
        report: &[EndpointLimit],
    ) -> Vec<(EndpointId, LimitChange)> {
        let mut changes = Vec::new();
        for limit in report {
            let id = EndpointId::new(&limit.endpoint);
            let age = Duration::from_millis(u64::from(limit.age_ms));
            let stated_at = now.saturating_sub(age);
            let state = self.states.entry(id.clone()).or_insert_with(|| LimitState::new(stated_at));
            if stated_at >= state.stated_at {
                state.stated_at = stated_at;
                changes.extend(state.set(limit.per_s).map(|change| (id, change)));
            }
            let previous = state.reported.get(node).filter(|r| r.incarnation == incarnation);
            let counted = previous.map_or(0, |r| r.count);
            if limit.sends > counted {
                state.count_sends(now, limit.sends - counted);
                let reported = ReportedSends { incarnation, count: limit.sends };
                state.reported.insert(SmolStr::new(node), reported);
            }
        }
        changes
    }

    /// Drops the limits of endpoints for which `is_listed` is false, and those that ended long ago.
    pub fn retain(&mut self, now: Moment, is_listed: impl Fn(&EndpointId) -> bool) {
        self.states.retain(|id, state| {
            let is_recent = now.saturating_sub(state.stated_at) < LIFTED_TTL;
            is_listed(id) && (state.per_s.is_some() || is_recent)
        });
    }
}

impl EligibilityRule for Mutex<EndpointLimits> {
    fn check(&self, cx: &SendContext, endpoint: &Endpoint) -> Eligibility {
        let may_send = self.lock().may_send(cx.now, &endpoint.id, cx.entries, &mut rand::rng());
        if may_send { Eligibility::Allowed } else { Eligibility::Until(cx.now + REPORT_DELAY) }
    }

    /// The limits are on requests; a probe sends none.
    fn covers_probes(&self) -> bool {
        false
    }
}

fn encode(id: &EndpointId, state: &LimitState, now: Moment) -> EndpointLimit {
    EndpointLimit {
        endpoint: id.to_string(),
        per_s: state.per_s,
        age_ms: now.saturating_sub(state.stated_at).as_millis() as u32,
        sends: state.own_sends,
    }
}
