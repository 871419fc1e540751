//! Order of the requests that wait for an engine: by the benefit that their callers lose if they are
//! not served now, per unit of engine time.

use smol_str::SmolStr;

use super::value::LATE_LOSS_SHARE;
use crate::ids::Moment;

/// Factor on the benefit of a request for each level of priority: a request counts twice as much as an
/// equal one of the next level, so that much more benefit still outweighs a level.
const PRIORITY_FACTOR: f64 = 0.5;

/// Lowest priority with a factor of its own.
const LOWEST_PRIORITY: u32 = 9;

/// Slack at which the loss by a short delay is 1/e of that without slack, in milliseconds. It is the
/// time in which the engines take up a backlog of a usual long prompt.
const SLACK_HORIZON_MS: f64 = 2000.0;

/// Largest exponent of the slack, so that requests with much slack keep an order among them.
const MAX_SLACK_EXPONENT: f64 = 12.0;

/// Number of engines that usually share a long prefill.
const USUAL_WIDTH: f64 = 8.0;

/// Prefill time that fits beside short streams on one engine, in milliseconds. Work below it counts as
/// this much, because a request takes a slot too.
const MIN_WORK_MS: f64 = 20.0;

/// Upper end of the prefill time of the lowest length class, in milliseconds.
const FIRST_CLASS_MS: f64 = 80.0;

/// Number of length classes. With three priorities they fill the 24 classes of a demand report.
pub const LENGTH_CLASSES: u32 = 8;

/// A request as the queue sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Priority of the workspace or the route; 0 is the most urgent.
    pub priority: u32,
    /// Workspace of the caller; empty if there is none.
    pub workspace: SmolStr,
    /// Hashes of the prompt parts that other requests may have too.
    pub prompt_parts: Vec<u64>,
    /// When it arrived at this entry.
    pub arrived_at: Moment,
    /// Until when the first token earns the full value.
    pub objective_at: Moment,
    /// When its caller stops waiting.
    pub deadline: Moment,
    /// Prefill time on one engine in milliseconds, at the published speed.
    pub prefill_ms: f64,
    /// Value if it is in time, in the unit of [`super::value`].
    pub value: f64,
}

impl QueuedRequest {
    /// Class of its prefill work; each class has twice the work of the one before.
    ///
    /// ```
    /// use bitternlead::gateway::placement::queue_order::length_class;
    ///
    /// assert_eq!(length_class(20.0), 0);
    /// assert_eq!(length_class(290.0), 2);
    /// assert_eq!(length_class(49_000.0), 7);
    /// ```
    pub fn length_class(&self) -> u32 {
        length_class(self.prefill_ms)
    }

    /// Whether its first token can still be in time, if the engines serve it at once.
    pub fn can_be_in_time(&self, now: Moment) -> bool {
        now.as_secs_f64() * 1000.0 + self.service_ms() < self.objective_at.as_secs_f64() * 1000.0
    }

    /// Time to the first token in milliseconds, if idle engines serve it at once.
    pub fn service_ms(&self) -> f64 {
        (self.prefill_ms / USUAL_WIDTH).max(self.prefill_ms.min(FIRST_CLASS_MS))
    }

    /// Benefit that its caller loses if it is not served now, for each millisecond of engine time.
    ///
    /// A request that can be in time loses the difference to a late one when its slack is used up, a
    /// late one loses the rest at its deadline. The loss by a delay falls exponentially with the slack.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bitternlead::gateway::placement::queue_order::QueuedRequest;
    ///
    /// let ms = Duration::from_millis;
    /// let request = |priority, prefill_ms, value| QueuedRequest {
    ///     priority, prefill_ms, value, workspace: "a".into(), prompt_parts: Vec::new(),
    ///     arrived_at: ms(0), objective_at: ms(8_000), deadline: ms(20_000),
    /// };
    /// let (urgent, other) = (request(0, 300.0, 5.0), request(1, 300.0, 5.0));
    /// assert!(urgent.loss_rate(ms(0)) > other.loss_rate(ms(0)));
    /// assert!(other.loss_rate(ms(6_000)) > other.loss_rate(ms(0)), "less slack is left");
    /// ```
    pub fn loss_rate(&self, now: Moment) -> f64 {
        let (until, share) = match self.can_be_in_time(now) {
            true => (self.objective_at, 1.0),
            false => (self.deadline, 1.0 - LATE_LOSS_SHARE),
        };
        let left_ms = until.saturating_sub(now).as_secs_f64() * 1000.0;
        let slack_ms = (left_ms - self.service_ms()).max(0.0);
        let urgency = (-(slack_ms / SLACK_HORIZON_MS).min(MAX_SLACK_EXPONENT)).exp();
        let benefit = self.value * priority_weight(self.priority) * share;
        benefit * urgency / self.prefill_ms.max(MIN_WORK_MS)
    }
}

/// Class of an amount of prefill work in milliseconds.
pub fn length_class(prefill_ms: f64) -> u32 {
    let doublings = (prefill_ms / FIRST_CLASS_MS).max(0.5).log2().ceil().max(0.0);
    (doublings as u32).min(LENGTH_CLASSES - 1)
}

/// Factor on the benefit of a request of this priority.
pub fn priority_weight(priority: u32) -> f64 {
    PRIORITY_FACTOR.powi(priority.min(LOWEST_PRIORITY) as i32)
}
