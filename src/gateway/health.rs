//! Health of endpoints, estimated from the outcome of sends.

use std::collections::HashMap;
use std::time::Duration;

use crate::directory::EndpointId;
use crate::ids::Moment;

/// Weight of the newest send in the failure rate and the slowness.
const NEWEST: f64 = 0.25;

/// Time constant with which failures and slowness are forgotten.
const FADE: Duration = Duration::from_secs(5);

/// Backoff after the first failed connection; it doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Maximum backoff after failed connections.
const LONGEST_PAUSE: Duration = Duration::from_millis(3200);

#[derive(Clone, Debug, Default)]
struct Record {
    failing: f64,
    slowness: f64,
    noted_at: Moment,
    unreachable: u32,
    blocked_until: Moment,
}

/// Health of all endpoints that were sent to.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: HashMap<EndpointId, Record>,
}

impl Health {
    /// Records a successful send; `slowness` is its time divided by the predicted time.
    pub fn succeeded(&mut self, now: Moment, id: &EndpointId, slowness: Option<f64>) {
        let record = self.fade(now, id);
        record.failing *= 1.0 - NEWEST;
        record.unreachable = 0;
        if let Some(seen) = slowness {
            let excess = seen.clamp(1.0, 10.0) - 1.0;
            record.slowness += (excess - record.slowness) * NEWEST;
        }
    }

    /// Records a send that the endpoint failed.
    pub fn failed(&mut self, now: Moment, id: &EndpointId) {
        let record = self.fade(now, id);
        record.failing += (1.0 - record.failing) * NEWEST;
    }

    /// Records a failed connection and starts the backoff.
    pub fn unreachable(&mut self, now: Moment, id: &EndpointId) {
        let record = self.fade(now, id);
        let pause = FIRST_PAUSE * 2u32.pow(record.unreachable.min(3));
        record.unreachable += 1;
        record.blocked_until = now + pause.min(LONGEST_PAUSE);
    }

    /// Whether the endpoint is outside its connection backoff.
    pub fn allows(&self, now: Moment, id: &EndpointId) -> bool {
        self.records.get(id).is_none_or(|r| now >= r.blocked_until)
    }

    /// Returns the failure rate, 0 to 1, and the factor by which the endpoint is slower than
    /// predicted.
    pub fn view(&self, now: Moment, id: &EndpointId) -> (f64, f64) {
        let Some(record) = self.records.get(id) else { return (0.0, 1.0) };
        let kept = kept_share(now, record.noted_at);
        (record.failing * kept, 1.0 + record.slowness * kept)
    }

    /// Drops the health of endpoints for which `listed` is false.
    pub fn retain(&mut self, listed: impl Fn(&EndpointId) -> bool) {
        self.records.retain(|id, _| listed(id));
    }

    fn fade(&mut self, now: Moment, id: &EndpointId) -> &mut Record {
        let record = self.records.entry(id.clone()).or_default();
        let kept = kept_share(now, record.noted_at);
        record.failing *= kept;
        record.slowness *= kept;
        record.noted_at = now;
        record
    }
}

fn kept_share(now: Moment, noted_at: Moment) -> f64 {
    (-now.saturating_sub(noted_at).as_secs_f64() / FADE.as_secs_f64()).exp()
}
