//! Prefills that ended lately.
//!
//! What an engine still has to prefill follows from what it was sent and how long ago. The time that
//! it spent on prompts which are no longer in flight counts too: without them, those that waited
//! behind them would seem to be done.

use std::collections::VecDeque;
use std::time::Duration;

use super::in_flight::InFlightSend;
use crate::ids::Moment;

/// Time for which an ended prefill is kept; few prompts wait for longer.
const KEPT_TIME: Duration = Duration::from_secs(4);

/// Prefill time from which a prompt is kept, in milliseconds. Shorter ones delay others little, and
/// there are many of them.
const MIN_PREFILL_MS: f64 = 20.0;

/// Maximum number of prefills that are kept.
const MAX_KEPT: usize = 4096;

/// The prefills that ended lately, in the order of their end.
#[derive(Clone, Debug, Default)]
pub struct EndedPrefills {
    sends: VecDeque<InFlightSend>,
}

impl EndedPrefills {
    /// Keeps a send whose prefill ends now; nothing if it ended before or was short.
    pub fn record(&mut self, now: Moment, send: &InFlightSend) {
        self.expire(now);
        if send.written_tokens > 0 || send.prefill_ms < MIN_PREFILL_MS {
            return;
        }
        if self.sends.len() >= MAX_KEPT {
            self.sends.pop_front();
        }
        self.sends.push_back(InFlightSend { prefill_ended_at: Some(now), ..send.clone() });
    }

    /// Drops the prefills that ended too long ago to delay anything.
    pub fn expire(&mut self, now: Moment) {
        let is_old = |send: &InFlightSend| {
            send.prefill_ended_at.is_none_or(|at| now.saturating_sub(at) > KEPT_TIME)
        };
        while self.sends.front().is_some_and(is_old) {
            self.sends.pop_front();
        }
    }

    /// The prefills that are kept.
    pub fn iter(&self) -> impl Iterator<Item = &InFlightSend> {
        self.sends.iter()
    }
}
