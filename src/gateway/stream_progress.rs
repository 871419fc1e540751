//! Progress of a stream towards its caller, and what it shows of its endpoint.

use std::time::Duration;

use super::crashes::open_send::OpenSend;
use super::stream_window::SLOW_CALLER_WAIT;
use crate::clock::boot_now;
use crate::ids::Moment;

/// Time in which events arrive from which a stream counts as answered without a crash.
const ANSWERED_TIME: Duration = Duration::from_millis(1000);

/// Longest pause between two events that counts towards [`ANSWERED_TIME`] in full.
const MAX_COUNTED_PAUSE: Duration = Duration::from_millis(250);

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

/// What a stream shows of its request.
pub struct StreamAnswer {
    open: OpenSend,
    first_event_at: Option<Moment>,
    last_event_at: Moment,
    /// Time in which events arrived; a long pause may be one of this process.
    time: Duration,
}

impl StreamAnswer {
    /// A stream without events so far.
    pub fn new(open: OpenSend) -> Self {
        Self { open, first_event_at: None, last_event_at: Moment::ZERO, time: Duration::ZERO }
    }

    /// Records that an event arrived.
    pub fn record_event(&mut self) {
        let now = boot_now();
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
            self.last_event_at = now;
        }
        self.time += now.saturating_sub(self.last_event_at).min(MAX_COUNTED_PAUSE);
        self.last_event_at = now;
        if self.time >= ANSWERED_TIME {
            self.open.record_answer(self.first_event_at);
        }
    }

    /// Records that the stream is complete, as far as that can be told.
    pub fn record_end(&mut self, tells_its_end: bool) {
        match self.first_event_at {
            Some(first) if tells_its_end => self.open.record_answer(Some(first)),
            Some(_) => {}
            None => self.open.finish(),
        }
    }

    /// Records that the endpoint broke off, which may be a crash.
    pub fn record_break(&mut self, progress: &Progress) {
        match progress.is_caller_slow() {
            true => self.open.finish(),
            false => self.open.lose(),
        }
    }
}
