//! Progress of a stream towards its caller, and what it shows of its endpoint.

use std::time::Duration;

use super::active_request::ActiveRequest;
use super::eligibility::endpoints::Endpoint;
use super::stream_window::SLOW_CALLER_WAIT;
use crate::clock::boot_now;
use crate::ids::Moment;

/// Time after the first event from which a stream counts as answered without a crash.
const ANSWERED_TIME: Duration = Duration::from_millis(1000);

/// Progress of a stream as the caller sees it.
pub struct Progress {
    /// Id of the last event that was forwarded.
    pub last_event: Option<u64>,
    /// Number of events that were forwarded.
    pub events: u64,
    /// When the first event arrived.
    pub first_at: Option<Moment>,
    /// When the last event was forwarded.
    pub last_event_at: Moment,
    /// Longest time between two events.
    pub longest_pause: Duration,
    /// Longest wait for the caller to read within the present segment.
    pub longest_caller_wait: Duration,
}

impl Progress {
    /// Progress of a stream that begins after this event.
    pub fn new(last_event: Option<u64>) -> Self {
        Self {
            last_event,
            events: 0,
            first_at: None,
            last_event_at: Moment::ZERO,
            longest_pause: Duration::ZERO,
            longest_caller_wait: Duration::ZERO,
        }
    }

    /// Whether the caller, and not the endpoint, is taken to be the reason when the endpoint breaks off.
    pub fn is_caller_slow(&self) -> bool {
        self.longest_caller_wait >= SLOW_CALLER_WAIT
    }

    /// Records that an event is forwarded.
    pub fn record_event(&mut self) {
        let now = boot_now();
        if self.events > 0 {
            let pause = now.saturating_sub(self.last_event_at);
            self.longest_pause = self.longest_pause.max(pause);
        }
        self.last_event_at = now;
        self.events += 1;
    }
}

/// Whether an endpoint has answered a stream for long enough not to crash under it.
#[derive(Default)]
pub struct StreamAnswer {
    first_event_at: Option<Moment>,
    is_recorded: bool,
}

impl StreamAnswer {
    /// Records that an event arrived.
    pub fn record_event(&mut self, req: &ActiveRequest) {
        let now = boot_now();
        let first = *self.first_event_at.get_or_insert(now);
        if now.saturating_sub(first) >= ANSWERED_TIME {
            self.record(req);
        }
    }

    /// Records that the request crashed nothing.
    pub fn record(&mut self, req: &ActiveRequest) {
        if !std::mem::replace(&mut self.is_recorded, true) {
            req.gateway.record_answer(&req.suspect_keys);
        }
    }

    /// Records that the endpoint broke off, which may be a crash.
    pub fn record_break(&self, req: &ActiveRequest, endpoint: &Endpoint, progress: &Progress) {
        if !self.is_recorded && !progress.is_caller_slow() {
            req.suspect_crash(endpoint);
        }
    }
}
