//! Forwards an event stream to the caller and resumes it at another engine if it breaks off.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::answers::AnswerBody;
use super::choose::Placement;
use super::config::Repeat;
use super::events::{EventSplitter, StreamEvent};
use super::handler::ActiveRequest;
use super::reservation::Reservation;
use super::send::{Answer, Sent, describe, send};
use super::state::{Endpoint, InFlightGuard};
use crate::clock::boot_now;
use crate::event;
use crate::metrics::ClassLabels;

/// Maximum number of events buffered for a caller that reads slowly.
const QUEUE: usize = 8;

/// Minimum idle time within a stream before it fails over to another engine.
const LEAST_SILENCE: Duration = Duration::from_millis(1000);

/// Idle time within a stream, in multiples of the route's pause limit, before it fails over.
const SILENT_PAUSES: u32 = 5;

/// Maximum wait for an engine that takes over an idle stream.
const MOVE_LIMIT: Duration = Duration::from_millis(1500);

/// Value of the log field `ended` for a stream that was forwarded completely.
const COMPLETE: &str = "complete";

type EventSender = mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>;

/// Outcome of one engine's segment of a stream.
enum PartEnd {
    /// The stream is complete.
    Complete,
    /// The caller closed the connection.
    CallerLeft,
    /// The engine's stream broke off, for this reason.
    Broken(String),
    /// The engine was idle too long, and another engine continues with this segment.
    Moves(Box<Part>),
    /// The caller's deadline has passed.
    TimeUp,
}

/// Segment of a stream that one engine sends.
struct Part {
    answer: Answer,
    endpoint: Endpoint,
    in_flight: InFlightGuard,
    reservation: Option<Reservation>,
    predicted_first_token: Option<Duration>,
    sent_at: Duration,
}

/// Progress of a stream as the caller sees it.
struct Progress {
    last_event: Option<u64>,
    events: u64,
    first_at: Option<Duration>,
    newest_at: Duration,
    longest_pause: Duration,
}

impl Progress {
    fn note_event(&mut self) {
        let now = boot_now();
        if self.events > 0 {
            let pause = now.saturating_sub(self.newest_at);
            self.longest_pause = self.longest_pause.max(pause);
        }
        self.newest_at = now;
        self.events += 1;
    }
}

/// Starts to forward a stream and returns the head of the response to the caller.
pub fn start(req: ActiveRequest, placement: Placement, answer: Answer) -> Response<AnswerBody> {
    let (tx, rx) = mpsc::channel(QUEUE);
    let stream = futures::stream::unfold(rx, |mut rx| async move {
        let item = rx.recv().await?;
        Some((item, rx))
    });
    let mut passed = Response::new(BodyExt::boxed(StreamBody::new(Box::pin(stream))));
    *passed.status_mut() = answer.parts.status;
    *passed.headers_mut() = req.gateway.dialect.pass_answer(&answer.parts.headers);
    passed.headers_mut().remove(header::CONTENT_LENGTH);
    let part = build_part(placement, answer);
    tokio::spawn(run(req, part, tx));
    passed
}

fn build_part(placement: Placement, answer: Answer) -> Part {
    let Placement { endpoint, predicted_first_token, in_flight, placed_at, reservation, .. } =
        placement;
    Part { answer, endpoint, in_flight, reservation, predicted_first_token, sent_at: placed_at }
}

async fn run(mut req: ActiveRequest, part: Part, tx: EventSender) {
    let mut progress = Progress {
        last_event: req.caller.last_event,
        events: 0,
        first_at: None,
        newest_at: Duration::ZERO,
        longest_pause: Duration::ZERO,
    };
    let mut next = Some(part);
    let mut ended = COMPLETE;
    while let Some(part) = next.take() {
        let endpoint = part.endpoint.clone();
        let end = pass_part(&mut req, part, &tx, &mut progress).await;
        let reason = match end {
            PartEnd::Complete => break,
            PartEnd::CallerLeft => {
                ended = "caller left";
                break;
            }
            PartEnd::TimeUp => {
                ended = "time is up";
                let _ = tx.send(Err(std::io::Error::other(ended))).await;
                break;
            }
            PartEnd::Moves(part) => {
                req.gateway.health.lock().record_failure(boot_now(), &endpoint.id);
                next = Some(*part);
                continue;
            }
            PartEnd::Broken(reason) => reason,
        };
        req.gateway.health.lock().record_failure(boot_now(), &endpoint.id);
        req.may_have_run = true;
        next = resume(&mut req, &tx, &progress, &reason).await;
        if next.is_none() {
            ended = "broken off";
            event!(req.gateway.log, StreamBroken, "request" => req.caller.id.as_str(),
                "endpoint" => endpoint.id.as_str(), "reason" => reason,
                "events" => progress.events, "sends" => req.sends);
            let _ = tx.send(Err(std::io::Error::other("the stream broke off"))).await;
        }
    }
    let first = progress.first_at.unwrap_or_default().saturating_sub(req.started);
    count(&req, &progress, ended, first);
    event!(req.gateway.log, StreamDone, "request" => req.caller.id.as_str(),
        "route" => req.route.name.as_str(), "ended" => ended, "events" => progress.events,
        "first_ms" => first.as_millis() as u64, "sends" => req.sends,
        "longest_pause_ms" => progress.longest_pause.as_millis() as u64,
        "ms" => boot_now().saturating_sub(req.started).as_millis() as u64);
}

fn count(req: &ActiveRequest, progress: &Progress, ended: &str, first: Duration) {
    let outcome = if ended == COMPLETE { "done" } else { ended };
    let labels = ClassLabels { class: req.prompt_class().to_owned() };
    let metrics = &req.gateway.metrics;
    metrics.first_token.get_or_create(&labels).observe(first.as_secs_f64());
    metrics.pause.get_or_create(&labels).observe(progress.longest_pause.as_secs_f64());
    req.gateway.count(outcome, req.prompt_class(), boot_now().saturating_sub(req.started));
}

/// Resumes the stream at another engine after the last forwarded event, if the route and the retry
/// budget allow it.
async fn resume(
    req: &mut ActiveRequest,
    tx: &EventSender,
    progress: &Progress,
    reason: &str,
) -> Option<Part> {
    while req.route.repeat == Repeat::Idempotent && req.claim_retry() {
        let placement = req.choose_next().await?;
        let limit = req.remaining();
        let part = send_again(req, tx, progress, placement, limit, reason).await;
        if part.is_some() || tx.is_closed() {
            return part;
        }
    }
    None
}

/// Finds another engine to continue an idle stream. The idle engine's stream is kept open until
/// then.
async fn choose_failover(
    req: &mut ActiveRequest,
    tx: &EventSender,
    progress: &Progress,
) -> Option<Part> {
    let placement = req.choose_failover().await?;
    if !req.claim_retry() {
        return None;
    }
    let limit = req.remaining().min(MOVE_LIMIT);
    send_again(req, tx, progress, placement, limit, "silent").await
}

/// Sends the request again; `None` if the engine does not start a stream.
async fn send_again(
    req: &mut ActiveRequest,
    tx: &EventSender,
    progress: &Progress,
    placement: Placement,
    limit: Duration,
    reason: &str,
) -> Option<Part> {
    req.gateway.metrics.retries.inc();
    event!(req.gateway.log, AttemptRetried, "request" => req.caller.id.as_str(),
        "endpoint" => placement.endpoint.id.as_str(), "reason" => reason,
        "sends" => req.sends, "after_event" => progress.last_event);
    let out = req.build_send(&placement, progress.last_event);
    let sending = send(&req.gateway, &placement.endpoint, &out, &req.caller.id, limit);
    let sent = tokio::select! {
        sent = sending => sent,
        () = tx.closed() => return None,
    };
    req.record_send(&placement.endpoint, &sent);
    match sent {
        Sent::Answer(answer) if answer.parts.status.is_success() => {
            Some(build_part(placement, *answer))
        }
        _ => None,
    }
}

/// Forwards the events of one engine until its stream ends.
async fn pass_part(
    req: &mut ActiveRequest,
    part: Part,
    tx: &EventSender,
    progress: &mut Progress,
) -> PartEnd {
    let Part { answer, endpoint, in_flight, reservation, predicted_first_token, sent_at } = part;
    let Answer { head, mut body, conn, .. } = answer;
    let mut splitter = EventSplitter::default();
    let silence = (req.route.pause_limit * SILENT_PAUSES).max(LEAST_SILENCE);
    let mut first = true;
    let mut waits_on = false;
    loop {
        let remaining = req.remaining();
        let limit = if first || waits_on { remaining } else { remaining.min(silence) };
        let frame = tokio::select! {
            biased;
            () = tx.closed() => return PartEnd::CallerLeft,
            frame = timeout(limit, body.frame()) => frame,
        };
        let data = match frame {
            Err(_) if req.remaining().is_zero() => return PartEnd::TimeUp,
            Err(_) => {
                if let Some(next) = choose_failover(req, tx, progress).await {
                    return PartEnd::Moves(Box::new(next));
                }
                waits_on = true;
                continue;
            }
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(e))) => return PartEnd::Broken(describe(&e)),
            Ok(None) if splitter.has_rest() => return PartEnd::Broken("event cut off".into()),
            Ok(None) => break,
        };
        splitter.push(&data);
        for event in splitter.by_ref() {
            if first {
                first = false;
                note_first(req, &endpoint, predicted_first_token, sent_at, progress);
            }
            if req.is_late(progress.first_at, progress.longest_pause) {
                in_flight.mark_late();
            }
            waits_on = false;
            in_flight.wrote(req.service.engine.as_ref().map_or(1, |m| u64::from(m.stride)));
            if !pass_event(tx, event, progress).await {
                return PartEnd::CallerLeft;
            }
        }
    }
    drop(reservation);
    give_back(req, head.closes, head.keep_alive, conn, body);
    PartEnd::Complete
}

fn give_back(
    req: &ActiveRequest,
    closes: bool,
    keep_alive: Option<Duration>,
    conn: super::pool::Connection,
    body: Incoming,
) {
    drop(body);
    if !closes {
        req.gateway.pool.give_back(conn, keep_alive);
    }
}

/// Forwards one event unless the caller already has it; false once the caller has closed the
/// connection.
async fn pass_event(tx: &EventSender, event: StreamEvent, progress: &mut Progress) -> bool {
    let held = event.id.is_some_and(|id| progress.last_event.is_some_and(|last| id <= last));
    if held {
        return true;
    }
    if event.id.is_some() {
        progress.last_event = event.id;
    }
    progress.note_event();
    tx.send(Ok(Frame::data(event.data))).await.is_ok()
}

fn note_first(
    req: &ActiveRequest,
    endpoint: &Endpoint,
    predicted_first_token: Option<Duration>,
    sent_at: Duration,
    progress: &mut Progress,
) {
    let now = boot_now();
    progress.first_at.get_or_insert(now);
    let took = now.saturating_sub(sent_at).as_secs_f64();
    let slowness = predicted_first_token.map(|p| took / p.as_secs_f64().max(0.1));
    req.gateway.health.lock().record_success(now, &endpoint.id, slowness);
}
