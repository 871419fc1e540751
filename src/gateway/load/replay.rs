//! Estimates the prefills that an engine still has to do, from the sends it received and when, those
//! included whose prefill has ended.
//!
//! Without decoding streams the engine prefills continuously, parts of shared prompts first and
//! the newest of them first. With decoding streams it works in passes: everything that arrives
//! during a pass is prefilled together in the next one.

use std::time::Duration;

use super::in_flight::InFlightSend;
use crate::gateway::placement::engine_model::EngineModel;
use crate::ids::Moment;

/// Remaining prefill time assumed for a prompt that is past its estimated finish, in milliseconds.
const OVERDUE_REMAINING_MS: f64 = 10.0;

/// Remaining prefill of one send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemainingPrefill {
    /// Index of the send in the list passed to [`replay`].
    pub send_index: usize,
    /// Fraction of its prefill that remains, 0 to 1.
    pub fraction: f64,
    /// Time that this takes, in milliseconds.
    pub remaining_ms: f64,
    /// Whether it belongs to the pass in progress.
    pub in_pass: bool,
}

/// Remaining prefills of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayedQueue {
    /// Remaining prefills in the order in which the engine processes them.
    pub remaining: Vec<RemainingPrefill>,
    /// Time until the pass in progress ends, in milliseconds; 0 without decoding streams.
    pub pass_remaining_ms: f64,
}

/// Estimates the remaining prefills of `sends`, which are sorted by send time.
///
/// `stride_ms` is the time of the decoding steps of a pass, or `None` without decoding streams.
pub fn replay(
    model: &EngineModel,
    now: Moment,
    stride_ms: Option<f64>,
    sends: &[&InFlightSend],
) -> ReplayedQueue {
    let mut replayed = match stride_ms {
        Some(steps_ms) => replay_passes(model, now, steps_ms, sends),
        None => ReplayedQueue { remaining: replay_continuous(now, sends), pass_remaining_ms: 0.0 },
    };
    // An unshared prompt without a first token is still in prefill, whatever the estimate says.
    let has_ended = |r: &RemainingPrefill| sends[r.send_index].prefill_ended_at.is_some();
    replayed.remaining.retain(|r| !has_ended(r));
    for (send_index, f) in sends.iter().enumerate() {
        let is_overdue = !f.shared && f.prefill_ended_at.is_none();
        if is_overdue && !replayed.remaining.iter().any(|l| l.send_index == send_index) {
            let overdue = RemainingPrefill {
                send_index,
                fraction: 0.0,
                remaining_ms: OVERDUE_REMAINING_MS,
                in_pass: stride_ms.is_some(),
            };
            replayed.remaining.insert(0, overdue);
        }
    }
    replayed
}

fn enqueue(queue: &mut Vec<RemainingPrefill>, send_index: usize, f: &InFlightSend) {
    let position = if f.shared { 0 } else { queue.len() };
    queue.insert(
        position,
        RemainingPrefill { send_index, fraction: 1.0, remaining_ms: f.prefill_ms, in_pass: false },
    );
}

fn replay_continuous(now: Moment, sends: &[&InFlightSend]) -> Vec<RemainingPrefill> {
    let mut queue: Vec<RemainingPrefill> = Vec::with_capacity(sends.len());
    let mut replayed_until = sends.first().map_or(now, |f| f.sent_at);
    for (at, change) in queue_changes(now, sends) {
        prefill_front(&mut queue, at.saturating_sub(replayed_until));
        replayed_until = at;
        match change {
            QueueChange::Arrives(send_index) => enqueue(&mut queue, send_index, sends[send_index]),
            QueueChange::Ends(send_index) => queue.retain(|r| r.send_index != send_index),
        }
    }
    prefill_front(&mut queue, now.saturating_sub(replayed_until));
    queue
}

/// A change of an engine's queue, for the send at this index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum QueueChange {
    Arrives(usize),
    Ends(usize),
}

/// The arrivals and known ends of the sends until now, in the order of their times.
fn queue_changes(now: Moment, sends: &[&InFlightSend]) -> Vec<(Moment, QueueChange)> {
    let arrivals = sends.iter().enumerate().map(|(i, f)| (f.sent_at, QueueChange::Arrives(i)));
    let end = |(i, f): (usize, &&InFlightSend)| Some((f.prefill_ended_at?, QueueChange::Ends(i)));
    let ends = sends.iter().enumerate().filter_map(end);
    let mut changes: Vec<_> = arrivals.chain(ends).collect();
    changes.iter_mut().for_each(|(at, _)| *at = (*at).min(now));
    changes.sort_unstable();
    changes
}

/// Takes `elapsed` of prefill off the front of the queue.
fn prefill_front(queue: &mut Vec<RemainingPrefill>, elapsed: Duration) {
    let mut elapsed_ms = elapsed.as_secs_f64() * 1000.0;
    while elapsed_ms > 0.0
        && let Some(front) = queue.first_mut()
    {
        let done_ms = front.remaining_ms.min(elapsed_ms);
        front.fraction *= 1.0 - done_ms / front.remaining_ms.max(f64::MIN_POSITIVE);
        front.remaining_ms -= done_ms;
        elapsed_ms -= done_ms;
        if front.remaining_ms <= 0.0 {
            queue.remove(0);
        }
    }
}

fn replay_passes(
    model: &EngineModel,
    now: Moment,
    steps_ms: f64,
    sends: &[&InFlightSend],
) -> ReplayedQueue {
    let Some(first) = sends.first() else {
        return ReplayedQueue { remaining: Vec::new(), pass_remaining_ms: steps_ms / 2.0 };
    };
    let since_first_ms = |at: Moment| at.saturating_sub(first.sent_at).as_secs_f64() * 1000.0;
    let sent_ms = |f: &InFlightSend| since_first_ms(f.sent_at);
    let now_ms = since_first_ms(now);
    let mut queued: Vec<RemainingPrefill> = Vec::new();
    let mut in_pass: Vec<RemainingPrefill> = Vec::new();
    let mut next_send = 0;
    // The pass that the first send met is assumed to be half over.
    let mut pass_end_ms = steps_ms / 2.0;
    while pass_end_ms <= now_ms {
        while next_send < sends.len() && sent_ms(sends[next_send]) <= pass_end_ms {
            enqueue(&mut queued, next_send, sends[next_send]);
            next_send += 1;
        }
        let has_ended = |r: &RemainingPrefill| {
            sends[r.send_index].prefill_ended_at.is_some_and(|at| since_first_ms(at) <= pass_end_ms)
        };
        queued.retain(|r| !has_ended(r));
        in_pass.clear();
        if queued.is_empty() {
            let Some(f) = sends.get(next_send) else {
                pass_end_ms = now_ms + steps_ms / 2.0;
                break;
            };
            pass_end_ms = pass_end_ms.max(sent_ms(f) + steps_ms / 2.0);
            continue;
        }
        pass_end_ms += steps_ms + take_pass(model, sends, &mut queued, &mut in_pass);
    }
    for (send_index, f) in sends.iter().enumerate().skip(next_send) {
        enqueue(&mut queued, send_index, f);
    }
    in_pass.append(&mut queued);
    ReplayedQueue { remaining: in_pass, pass_remaining_ms: pass_end_ms - now_ms }
}

/// Moves the prefills of one pass out of the queue and returns their total time.
///
/// A prompt that exceeds the token budget is split; its rest stays at the front of the queue.
fn take_pass(
    model: &EngineModel,
    sends: &[&InFlightSend],
    queued: &mut Vec<RemainingPrefill>,
    in_pass: &mut Vec<RemainingPrefill>,
) -> f64 {
    let mut budget = model.pass_prefill_tokens();
    let mut total_ms = 0.0;
    while let Some(front) = queued.first_mut() {
        let tokens = (sends[front.send_index].prefill_tokens as f64 * front.fraction).max(1.0);
        let part_fraction = (budget / tokens).min(1.0);
        budget -= tokens * part_fraction;
        let remaining_ms = front.remaining_ms * part_fraction;
        total_ms += remaining_ms;
        in_pass.push(RemainingPrefill {
            fraction: front.fraction * part_fraction,
            remaining_ms,
            in_pass: true,
            ..*front
        });
        if part_fraction < 1.0 {
            front.fraction *= 1.0 - part_fraction;
            front.remaining_ms -= remaining_ms;
            break;
        }
        queued.remove(0);
    }
    total_ms
}
