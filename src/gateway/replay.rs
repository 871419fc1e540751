//! What an engine has left to read, reckoned from the sends that it was given and when.
//!
//! Without writers it reads on and on, parts of shared prompts first and the newest first. With
//! writers it works in passes: what comes during one pass is read, together, in the next.

use super::engine_model::EngineModel;
use super::in_flight::InFlightSend;
use crate::ids::Moment;

/// Reading that is assumed to be left of a prompt that should have been read by now, in
/// milliseconds.
const OVERDUE_MS: f64 = 10.0;

/// Reading that is left of one send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Left {
    /// Place of the send in the given list.
    pub at: usize,
    /// Part of its reading that is left, 0 to 1.
    pub share: f64,
    /// Time that this takes, in milliseconds.
    pub ms: f64,
    /// Whether it is read in the pass that is under way.
    pub in_pass: bool,
}

/// Reading that an engine has left.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replayed {
    /// What is left, in the order of reading.
    pub left: Vec<Left>,
    /// Time until the pass that is under way ends, in milliseconds.
    pub pass_remaining_ms: f64,
}

/// Reckons what is left of `reading`, which is sorted by the time of sending.
///
/// `stride_ms` is the time of a pass's steps, where there are writers.
pub fn replay(
    model: &EngineModel,
    now: Moment,
    stride_ms: Option<f64>,
    reading: &[&InFlightSend],
) -> Replayed {
    let mut replayed = match stride_ms {
        Some(stride) => replay_passes(model, now, stride, reading),
        None => Replayed { left: replay_alone(now, reading), pass_remaining_ms: 0.0 },
    };
    // A plain prompt that has no first token yet is still read, whatever the clock says.
    for (at, f) in reading.iter().enumerate() {
        if !f.shared && !replayed.left.iter().any(|l| l.at == at) {
            let overdue = Left { at, share: 0.0, ms: OVERDUE_MS, in_pass: stride_ms.is_some() };
            replayed.left.insert(0, overdue);
        }
    }
    replayed
}

fn insert(queue: &mut Vec<Left>, at: usize, f: &InFlightSend) {
    let place = if f.shared { 0 } else { queue.len() };
    queue.insert(place, Left { at, share: 1.0, ms: f.prefill_ms, in_pass: false });
}

fn replay_alone(now: Moment, reading: &[&InFlightSend]) -> Vec<Left> {
    let mut queue: Vec<Left> = Vec::with_capacity(reading.len());
    for (at, f) in reading.iter().enumerate() {
        insert(&mut queue, at, f);
        let until = reading.get(at + 1).map_or(now, |next| next.sent_at.min(now));
        let mut passed = until.saturating_sub(f.sent_at).as_secs_f64() * 1000.0;
        while passed > 0.0
            && let Some(first) = queue.first_mut()
        {
            let served = first.ms.min(passed);
            first.share *= 1.0 - served / first.ms.max(f64::MIN_POSITIVE);
            first.ms -= served;
            passed -= served;
            if first.ms <= 0.0 {
                queue.remove(0);
            }
        }
    }
    queue
}

fn replay_passes(
    model: &EngineModel,
    now: Moment,
    stride: f64,
    reading: &[&InFlightSend],
) -> Replayed {
    let Some(first) = reading.first() else {
        return Replayed { left: Vec::new(), pass_remaining_ms: stride / 2.0 };
    };
    let since = |f: &InFlightSend| f.sent_at.saturating_sub(first.sent_at).as_secs_f64() * 1000.0;
    let now_ms = now.saturating_sub(first.sent_at).as_secs_f64() * 1000.0;
    let mut waiting: Vec<Left> = Vec::new();
    let mut in_pass: Vec<Left> = Vec::new();
    let mut next = 0;
    // The pass that the first one met is taken to be half over.
    let mut pass_end = stride / 2.0;
    while pass_end <= now_ms {
        while next < reading.len() && since(reading[next]) <= pass_end {
            insert(&mut waiting, next, reading[next]);
            next += 1;
        }
        in_pass.clear();
        if waiting.is_empty() {
            let Some(f) = reading.get(next) else {
                pass_end = now_ms + stride / 2.0;
                break;
            };
            pass_end = pass_end.max(since(f) + stride / 2.0);
            continue;
        }
        pass_end += stride + take_pass(model, reading, &mut waiting, &mut in_pass);
    }
    for (at, f) in reading.iter().enumerate().skip(next) {
        insert(&mut waiting, at, f);
    }
    in_pass.append(&mut waiting);
    Replayed { left: in_pass, pass_remaining_ms: pass_end - now_ms }
}

/// Moves what one pass reads out of the queue; the time of that reading.
fn take_pass(
    model: &EngineModel,
    reading: &[&InFlightSend],
    waiting: &mut Vec<Left>,
    in_pass: &mut Vec<Left>,
) -> f64 {
    let mut budget = model.pass_prefill_tokens();
    let mut sum = 0.0;
    while let Some(first) = waiting.first_mut() {
        let tokens = (reading[first.at].prefill_tokens as f64 * first.share).max(1.0);
        let part = (budget / tokens).min(1.0);
        budget -= tokens * part;
        let ms = first.ms * part;
        sum += ms;
        in_pass.push(Left { share: first.share * part, ms, in_pass: true, ..*first });
        if part < 1.0 {
            first.share *= 1.0 - part;
            first.ms -= ms;
            break;
        }
        waiting.remove(0);
    }
    sum
}
