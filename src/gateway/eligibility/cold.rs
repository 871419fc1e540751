//! Bounds what all entries together send to endpoints that are cold.
//!
//! A cold endpoint crashes at a rate that others can handle, so the bound may not be exceeded in any
//! second, not even while entries join, restart or are cut off. Each entry therefore has a share of
//! the bound that follows from the list of entries alone. See `docs/design/cold-endpoints.md`.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;

use super::endpoints::Endpoint;
use super::entry_view::{EntryView, Place};
use super::{Eligibility, EligibilityRule, SendContext};
use crate::directory::EndpointId;
use crate::gateway::config::ColdRate;
use crate::ids::Moment;
use crate::wire::Announcement;

/// Time for which a send counts: the second of the bound, and 100 ms by which sends may travel for
/// different times.
pub const WINDOW: Duration = Duration::from_millis(1100);

/// Fraction of the bound that entries with a common view use. The rest is for what no view covers:
/// sends before the cold state is known, requests that the network delays and delivers together, and
/// processes that were suspended.
const BUDGET_SHARE: f64 = 0.5;

/// Time after the end of the cold state in which the load grows.
const RAMP_TIME: Duration = Duration::from_secs(1);

/// Time after the crash of an endpoint or the end of a drain in which an announcement that arrives
/// may have been sent before.
const TRAVEL_TIME: Duration = Duration::from_millis(300);

/// Longest cold time that an endpoint can state.
const MAX_COLD_TIME: Duration = Duration::from_secs(3600);

/// Time after which it is worth asking again where no send of this entry ends before.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which an unlisted endpoint is remembered, so that the sends to it still count when it is
/// listed again.
const UNLISTED_TTL: Duration = Duration::from_secs(10);

/// Bound on what a cold endpoint receives in any second: its rate times `overage`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSettings {
    /// Factor of the rate that a cold endpoint can handle.
    pub overage: f64,
    /// Number of requests in addition.
    pub slack: f64,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self { overage: 1.5, slack: 5.0 }
    }
}

impl ColdSettings {
    /// Maximum number of requests that may arrive in any second.
    pub fn bound(&self, rate: &ColdRate) -> usize {
        (rate.per_s * self.overage + self.slack) as usize
    }

    /// Number of sends in a [`WINDOW`] that are shared by all entries.
    fn budget(&self, rate: &ColdRate) -> usize {
        let bound = self.bound(rate);
        ((bound as f64 * BUDGET_SHARE) as usize).max(1).min(bound)
    }
}

/// Sends that were counted before they are made. See [`ColdEndpoints::claim`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SendClaim {
    number: u64,
    endpoints: Vec<EndpointId>,
}

#[derive(Clone, Copy, Debug)]
struct CountedSend {
    claim: u64,
    /// When it was made; `None` until then.
    sent_at: Option<Moment>,
}

impl CountedSend {
    fn counts(&self, now: Moment) -> bool {
        self.sent_at.is_none_or(|at| now < at + WINDOW)
    }
}

/// What is known of one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointState {
    service: SmolStr,
    zone: SmolStr,
    /// Start and sequence number of the newest announcement.
    position: Option<(u32, u64, u64)>,
    /// When the newest statement of the endpoint was received.
    stated_at: Moment,
    /// End of the cold time as the endpoint stated it; `None` if it never was cold.
    cold_until: Option<Moment>,
    /// When the endpoint crashed, as this entry saw it.
    crashed_at: Option<Moment>,
    sends: Vec<CountedSend>,
    /// Place of this entry, and the generation of the view that it holds for.
    place: Option<(u64, Place)>,
}

impl EndpointState {
    fn set_cold_time(&mut self, now: Moment, cold_time: Duration) {
        self.stated_at = now;
        if !cold_time.is_zero() {
            self.cold_until = Some(now + cold_time.min(MAX_COLD_TIME));
        } else if self.cold_until.is_some_and(|until| until > now) {
            self.cold_until = Some(now);
        }
    }

    fn counted(&self, now: Moment) -> usize {
        self.sends.iter().filter(|send| send.counts(now)).count()
    }
}

/// How far an endpoint is from taking the usual load.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Warmth {
    /// It is cold until this time.
    Cold(Moment),
    /// Its cold time ended, and this fraction of [`RAMP_TIME`] has passed.
    Warming(f64),
    /// It takes the usual load.
    Warm,
}

/// Cold state of all endpoints, and what this entry sent to them lately.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::gateway::config::ColdRate;
/// use bitternlead::gateway::eligibility::cold::{ColdEndpoints, ColdSettings};
/// use bitternlead::gateway::eligibility::entry_view::JOIN_TIME;
/// use bitternlead::wire::Announcement;
///
/// let mut cold = ColdEndpoints::new(ColdSettings::default());
/// cold.set_rate("engines", Some(ColdRate { per_s: 1.0, duration: Duration::from_secs(3) }));
/// let (own, replica) = ("10.0.0.1:7341".parse().unwrap(), "10.0.0.9:7340".parse().unwrap());
/// cold.view().apply_voters(Duration::ZERO, replica, vec![replica]);
/// cold.view().apply_list(Duration::ZERO, replica, own, &[own]);
/// let announcement = Announcement {
///     id: "engine-1".into(), service: "engines".into(), cold_ms: 3_000, ..Announcement::default()
/// };
/// cold.record_announcement(JOIN_TIME, &announcement);
/// let id = "engine-1".into();
/// assert_eq!(cold.room(JOIN_TIME, &id), Some(3), "half of what may arrive in a second");
/// let claim = cold.claim(JOIN_TIME, &[(id.clone(), 3)]).unwrap();
/// assert!(cold.claim(JOIN_TIME, &[(id.clone(), 1)]).is_none());
/// cold.release(&claim);
/// assert_eq!(cold.room(JOIN_TIME, &id), Some(3), "nothing was sent");
/// ```
#[derive(Clone, Debug, Default)]
pub struct ColdEndpoints {
    cfg: ColdSettings,
    /// Rates of the services that have one.
    rates: HashMap<SmolStr, ColdRate>,
    view: EntryView,
    endpoints: HashMap<EndpointId, EndpointState>,
    /// When the last drain of a zone ended.
    drain_ends: HashMap<SmolStr, Moment>,
    /// Latest end of a stated cold time, and latest crash or end of a drain, of any endpoint. When
    /// both are long ago, all endpoints are warm, and none has to be looked up.
    last_cold_until: Option<Moment>,
    last_assumed_at: Option<Moment>,
    last_claim: u64,
}

impl ColdEndpoints {
    /// Builds the state without endpoints or rates.
    pub fn new(cfg: ColdSettings) -> Self {
        Self { cfg, ..Self::default() }
    }

    /// Entries that the budget is shared with.
    pub fn view(&mut self) -> &mut EntryView {
        &mut self.view
    }

    /// Sets what cold endpoints of a service can handle; `None` for no bound.
    pub fn set_rate(&mut self, service: &str, rate: Option<ColdRate>) {
        match rate {
            Some(rate) => drop(self.rates.insert(SmolStr::new(service), rate)),
            None => drop(self.rates.remove(service)),
        }
    }

    /// Replaces the rates of all services.
    pub fn set_rates(&mut self, rates: impl Iterator<Item = (SmolStr, ColdRate)>) {
        self.rates = rates.collect();
    }

    /// Applies an announcement unless a newer one, or one of a later start, is known.
    pub fn record_announcement(&mut self, now: Moment, announcement: &Announcement) {
        let position = Some((announcement.revivals, announcement.born, announcement.seq));
        let id = EndpointId::new(&announcement.id);
        let state = self.endpoints.entry(id).or_default();
        if state.position >= position {
            return;
        }
        state.position = position;
        if state.service != announcement.service || state.zone != announcement.zone {
            state.service = SmolStr::new(&announcement.service);
            state.zone = SmolStr::new(&announcement.zone);
        }
        state.set_cold_time(now, Duration::from_millis(announcement.cold_ms));
        self.last_cold_until = self.last_cold_until.max(state.cold_until);
    }

    /// Applies the cold time that an endpoint states in an answer; zero if it is not cold.
    pub fn record_answer(&mut self, now: Moment, id: &EndpointId, cold_time: Duration) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.set_cold_time(now, cold_time);
            self.last_cold_until = self.last_cold_until.max(state.cold_until);
        }
    }

    /// Records that an endpoint crashed or stopped. Until it says otherwise it counts as cold for as long as it
    /// would be after a start.
    pub fn record_crash(&mut self, now: Moment, id: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.crashed_at = Some(now);
            self.last_assumed_at = self.last_assumed_at.max(Some(now));
        }
    }

    /// Records that the drain of a zone ended. Until they say otherwise, its endpoints count as cold
    /// for as long as they would be after a start.
    pub fn record_drain_end(&mut self, zone: &str, ended_at: Moment) {
        self.drain_ends.insert(SmolStr::new(zone), ended_at);
        self.last_assumed_at = self.last_assumed_at.max(Some(ended_at));
    }

    /// Number of sends that this entry may make now; `None` for an endpoint without a bound.
    pub fn room(&mut self, now: Moment, id: &EndpointId) -> Option<usize> {
        let share = self.share(now, id)?;
        Some(share.saturating_sub(self.endpoints[id].counted(now)))
    }

    /// Counts sends before they are made, a number for each endpoint; `None` if one of the endpoints
    /// has too little room.
    pub fn claim(&mut self, now: Moment, wanted: &[(EndpointId, usize)]) -> Option<SendClaim> {
        if wanted.iter().any(|(id, count)| self.room(now, id).is_some_and(|room| room < *count)) {
            return None;
        }
        self.last_claim += 1;
        let mut claim = SendClaim { number: self.last_claim, endpoints: Vec::new() };
        for (id, count) in wanted {
            let Some(state) = self.endpoints.get_mut(id) else { continue };
            if !self.rates.contains_key(&state.service) {
                continue;
            }
            state.sends.retain(|send| send.counts(now));
            let send = CountedSend { claim: claim.number, sent_at: None };
            state.sends.extend(std::iter::repeat_n(send, *count));
            claim.endpoints.push(id.clone());
        }
        Some(claim)
    }

    /// Notes that the sends of a claim are made at this time.
    pub fn mark_sent(&mut self, now: Moment, claim: &SendClaim) {
        self.set_sent_at(claim, Some(now));
    }

    /// Notes that the sends of a claim were not made, or don't count. They may still be.
    pub fn mark_unsent(&mut self, claim: &SendClaim) {
        self.set_sent_at(claim, None);
    }

    /// Gives the room of a claim back, except for what was sent.
    pub fn release(&mut self, claim: &SendClaim) {
        for id in &claim.endpoints {
            let Some(state) = self.endpoints.get_mut(id) else { continue };
            state.sends.retain(|send| send.claim != claim.number || send.sent_at.is_some());
        }
    }

    /// Share of the load of a warm endpoint that an endpoint may take from all entries together;
    /// `usual_per_s` is that load, in requests per second.
    pub fn load_share(&self, now: Moment, id: &EndpointId, usual_per_s: f64) -> f64 {
        let Some((rate, state)) = self.bounded(now, id) else { return 1.0 };
        let budget = match self.warmth(now, rate, state) {
            Warmth::Warm => return 1.0,
            Warmth::Cold(_) => self.cfg.budget(rate),
            Warmth::Warming(progress) => ramped(self.cfg.budget(rate), progress),
        };
        (budget as f64 / WINDOW.as_secs_f64() / usual_per_s.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Number of endpoints that are cold.
    pub fn cold_count(&self, now: Moment) -> usize {
        let is_cold = |id: &&EndpointId| {
            let bounded = self.bounded(now, id);
            bounded.is_some_and(|(rate, e)| matches!(self.warmth(now, rate, e), Warmth::Cold(_)))
        };
        self.endpoints.keys().filter(is_cold).count()
    }

    /// Drops endpoints for which `is_listed` is false, and entries that left long ago.
    pub fn retain(&mut self, now: Moment, is_listed: impl Fn(&EndpointId) -> bool) {
        self.view.expire(now);
        self.endpoints.retain(|id, state| {
            let is_recent = now < state.stated_at + UNLISTED_TTL;
            is_listed(id) || is_recent || state.counted(now) > 0
        });
    }

    /// Whether this entry may send now, or when it is worth asking again.
    fn check(&mut self, now: Moment, id: &EndpointId) -> Eligibility {
        let Some(room) = self.room(now, id) else { return Eligibility::Allowed };
        if room > 0 {
            return Eligibility::Allowed;
        }
        let state = &self.endpoints[id];
        let cold_until = match self.bounded(now, id).map(|(rate, s)| self.warmth(now, rate, s)) {
            Some(Warmth::Cold(until)) => until,
            _ => now + RECHECK_INTERVAL,
        };
        let counted = state.sends.iter().filter(|send| send.counts(now));
        let free_at = counted.filter_map(|send| Some(send.sent_at? + WINDOW)).min();
        Eligibility::Until(free_at.map_or(cold_until, |at| at.min(cold_until)))
    }

    fn set_sent_at(&mut self, claim: &SendClaim, sent_at: Option<Moment>) {
        for id in &claim.endpoints {
            let Some(state) = self.endpoints.get_mut(id) else { continue };
            for send in state.sends.iter_mut().filter(|send| send.claim == claim.number) {
                send.sent_at = sent_at;
            }
        }
    }

    /// Whether no endpoint can be cold or warming.
    fn is_all_warm(&self, now: Moment) -> bool {
        let Some(longest) = self.rates.values().map(|rate| rate.duration).max() else {
            return true;
        };
        self.last_cold_until.is_none_or(|at| now >= at + RAMP_TIME)
            && self.last_assumed_at.is_none_or(|at| now >= at + longest + RAMP_TIME)
    }

    /// The rate and state of an endpoint that may be cold or warming.
    fn bounded(&self, now: Moment, id: &EndpointId) -> Option<(&ColdRate, &EndpointState)> {
        if self.is_all_warm(now) {
            return None;
        }
        let state = self.endpoints.get(id)?;
        Some((self.rates.get(&state.service)?, state))
    }

    fn warmth(&self, now: Moment, rate: &ColdRate, state: &EndpointState) -> Warmth {
        let drained_until = self.drain_ends.get(&state.zone).copied();
        let assumed_since = drained_until.into_iter().chain(state.crashed_at);
        let assumed_since = assumed_since.filter(|at| state.stated_at < *at + TRAVEL_TIME).max();
        let assumed_until = assumed_since.map(|at| at + rate.duration);
        let Some(until) = state.cold_until.max(assumed_until) else { return Warmth::Warm };
        if now < until {
            return Warmth::Cold(until);
        }
        let progress = (now - until).as_secs_f64() / RAMP_TIME.as_secs_f64();
        if progress < 1.0 { Warmth::Warming(progress) } else { Warmth::Warm }
    }

    /// Share of this entry in the sends of a [`WINDOW`]; `None` without a bound.
    fn share(&mut self, now: Moment, id: &EndpointId) -> Option<usize> {
        let (rate, state) = self.bounded(now, id)?;
        let budget = self.cfg.budget(rate);
        let budget = match self.warmth(now, rate, state) {
            Warmth::Warm => return None,
            Warmth::Cold(_) if !self.view.is_fresh(now) => return Some(0),
            Warmth::Cold(_) => budget,
            Warmth::Warming(progress) => ramped(budget, progress),
        };
        Some(self.place(now, id).share(budget))
    }

    fn place(&mut self, now: Moment, id: &EndpointId) -> Place {
        self.view.expire(now);
        let generation = self.view.generation();
        let state = self.endpoints.entry(id.clone()).or_default();
        match state.place {
            Some((of, place)) if of == generation => place,
            _ => {
                let place = self.view.place(id.as_bytes());
                state.place = Some((generation, place));
                place
            }
        }
    }
}

/// Budget after a fraction of [`RAMP_TIME`]: twice as much after half of it, and without bound at its
/// end.
fn ramped(budget: usize, progress: f64) -> usize {
    (budget as f64 / (1.0 - progress)) as usize
}

impl EligibilityRule for Mutex<ColdEndpoints> {
    fn check(&self, cx: &SendContext, endpoint: &Endpoint) -> Eligibility {
        self.lock().check(cx.now, &endpoint.id)
    }
}
