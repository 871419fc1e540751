//! Prefills that ended lately.
//!
//! What an engine still has to prefill follows from what it was sent and how long ago. The time that
//! it spent on prompts which are no longer in flight counts too: without them, those that waited
//! behind them would seem to be done.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::in_flight::InFlightSend;
use crate::directory::EndpointId;
use crate::ids::Moment;

/// Time for which an ended prefill is kept; few prompts wait for longer.
const KEPT_TIME: Duration = Duration::from_secs(4);

/// Prefill time from which a prompt is kept, in milliseconds. Shorter ones delay others little, and
/// there are many of them.
const MIN_PREFILL_MS: f64 = 20.0;

/// Maximum number of prefills that are kept, some 3 MB: those of 4 s at 3,000 requests/s.
const MAX_KEPT: usize = 16_384;

/// The prefills that ended lately, in the order of their end, indexed by endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndedPrefills {
    sends: VecDeque<InFlightSend>,
    /// Number of prefills that were dropped, which is the number of the first one that is kept.
    dropped: u64,
    /// Numbers of the prefills that are kept, by endpoint.
    by_endpoint: HashMap<EndpointId, VecDeque<u64>>,
}

impl EndedPrefills {
    /// Keeps a send whose prefill ends now; nothing if it ended before or was short.
    pub fn record(&mut self, now: Moment, send: &InFlightSend) {
        self.expire(now);
        if send.written_tokens > 0 || send.prefill_ms < MIN_PREFILL_MS {
            return;
        }
        if self.sends.len() >= MAX_KEPT {
            self.drop_first();
        }
        let number = self.dropped + self.sends.len() as u64;
        self.by_endpoint.entry(send.endpoint.clone()).or_default().push_back(number);
        self.sends.push_back(InFlightSend { prefill_ended_at: Some(now), ..send.clone() });
    }

    /// Drops the prefills that ended too long ago to delay anything.
    pub fn expire(&mut self, now: Moment) {
        let is_old = |send: &InFlightSend| {
            send.prefill_ended_at.is_none_or(|at| now.saturating_sub(at) > KEPT_TIME)
        };
        while self.sends.front().is_some_and(is_old) {
            self.drop_first();
        }
    }

    /// The prefills that are kept.
    pub fn iter(&self) -> impl Iterator<Item = &InFlightSend> {
        self.sends.iter()
    }

    /// The prefills of one endpoint that are kept.
    pub fn at(&self, endpoint: &str) -> impl Iterator<Item = &InFlightSend> {
        let numbers = self.by_endpoint.get(endpoint).into_iter().flatten();
        numbers.filter_map(|number| self.sends.get((number - self.dropped) as usize))
    }

    fn drop_first(&mut self) {
        let Some(send) = self.sends.pop_front() else { return };
        self.dropped += 1;
        let Some(numbers) = self.by_endpoint.get_mut(&send.endpoint) else { return };
        numbers.pop_front();
        if numbers.is_empty() {
            self.by_endpoint.remove(&send.endpoint);
        }
    }
}
