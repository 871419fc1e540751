//! Forwards an event stream to the caller and resumes it at another engine if it breaks off.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::active_request::ActiveRequest;
use super::caller_stream::CallerConnection;
use super::choose::Placement;
use super::config::RetryPolicy;
use super::crashes::watch::tells_its_end;
use super::eligibility::endpoints::Endpoint;
use super::events::{EventSplitter, StreamEvent};
use super::request_watch::RequestWatch;
use super::reservation::Reservation;
use super::responses::ResponseBody;
use super::send::{EndpointResponse, SendOutcome, error_chain, send};
use super::stream_progress::{Progress, StreamAnswer};
use super::stream_window::{EventSender, Forwarded, event_queue};
use super::tracked_sends::InFlightGuard;
use crate::clock::boot_now;
use crate::event;
use crate::faults::inject;
use crate::metrics::ClassLabels;
use crate::panics::work_on_request;

/// Minimum idle time within a stream before it fails over to another engine.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Idle time within a stream, in multiples of the route's pause limit, before it fails over.
const IDLE_TIMEOUT_PAUSES: u32 = 5;

/// Maximum wait for an engine that takes over an idle stream.
const FAILOVER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Value of the log field `ended` for a stream that was forwarded completely.
const COMPLETE: &str = "complete";

/// Outcome of one engine's segment of a stream.
enum SegmentEnd {
    /// The stream is complete.
    Complete,
    /// The caller closed the connection, or was disconnected.
    CallerGone,
    /// The engine's stream broke off, for this reason.
    Broken(String),
    /// The engine was idle too long, and another engine continues with this segment.
    FailedOver(Box<Segment>),
    /// The caller's deadline has passed.
    DeadlinePassed,
}

/// Segment of a stream that one engine sends.
struct Segment {
    response: EndpointResponse,
    endpoint: Endpoint,
    in_flight: InFlightGuard,
    reservation: Option<Reservation>,
    predicted_first_token: Option<Duration>,
    sent_at: Duration,
}

/// Starts to forward a stream and returns the head of the response to the caller.
pub fn start(
    mut req: ActiveRequest,
    placement: Placement,
    response: EndpointResponse,
) -> Response<ResponseBody> {
    let (tx, body) = event_queue(Arc::clone(&req.gateway.memory));
    let mut forwarded = Response::new(body);
    *forwarded.status_mut() = response.parts.status;
    *forwarded.headers_mut() = req.gateway.dialect.encode_response(&response.parts.headers);
    forwarded.headers_mut().remove(header::CONTENT_LENGTH);
    let segment = build_segment(placement, response);
    if req.route.retry_policy == RetryPolicy::Never {
        // The body is not sent again, so its memory is freed before the stream ends.
        req.body = Bytes::new();
    }
    let (watch, id) = (RequestWatch::new(&req), req.caller.id.clone());
    tokio::spawn(async move {
        if work_on_request(id, run(req, segment, tx)).await.is_err() {
            watch.record_panic();
        }
    });
    forwarded
}

fn build_segment(placement: Placement, response: EndpointResponse) -> Segment {
    let Placement { endpoint, predicted_first_token, in_flight, placed_at, reservation, .. } =
        placement;
    Segment {
        response,
        endpoint,
        in_flight,
        reservation,
        predicted_first_token,
        sent_at: placed_at,
    }
}

async fn run(mut req: ActiveRequest, segment: Segment, tx: EventSender) {
    let mut progress = Progress::new(req.caller.last_event);
    let mut next = Some(segment);
    let mut ended = COMPLETE;
    while let Some(segment) = next.take() {
        let endpoint = segment.endpoint.clone();
        progress.longest_caller_wait = Duration::ZERO;
        let end = forward_segment(&mut req, segment, &tx, &mut progress).await;
        let reason = match end {
            SegmentEnd::Complete => {
                tx.finish().await;
                break;
            }
            SegmentEnd::CallerGone => {
                ended = if is_stalled(&req) { "caller read nothing" } else { "caller left" };
                break;
            }
            SegmentEnd::DeadlinePassed => {
                ended = "time is up";
                tx.fail(ended).await;
                break;
            }
            SegmentEnd::FailedOver(segment) => {
                req.gateway.health.lock().record_failure(boot_now(), &endpoint.id);
                next = Some(*segment);
                continue;
            }
            SegmentEnd::Broken(reason) => reason,
        };
        if !progress.is_caller_slow() {
            req.gateway.health.lock().record_failure(boot_now(), &endpoint.id);
        }
        req.may_have_run = true;
        next = resume(&mut req, &tx, &progress, &reason).await;
        if next.is_none() {
            ended = "broken off";
            event!(req.gateway.log, StreamBroken, "request" => req.caller.id.as_str(),
                "endpoint" => endpoint.id.as_str(), "reason" => reason,
                "events" => progress.events, "sends" => req.sends);
            tx.fail("the stream broke off").await;
        }
    }
    let first = progress.first_at.unwrap_or_default().saturating_sub(req.started);
    record_metrics(&req, &progress, ended, first);
    event!(req.gateway.log, StreamDone, "request" => req.caller.id.as_str(),
        "route" => req.route.name.as_str(), "ended" => ended, "events" => progress.events,
        "first_ms" => first.as_millis() as u64, "sends" => req.sends,
        "longest_pause_ms" => progress.longest_pause.as_millis() as u64,
        "objective_ms" => req.route.objective.as_millis() as u64,
        "pause_limit_ms" => req.route.pause_limit.as_millis() as u64,
        "prompt" => req.caller.tokens.map_or(0, |t| t.prompt),
        "output" => req.caller.tokens.map_or(0, |t| t.output),
        "ms" => boot_now().saturating_sub(req.started).as_millis() as u64);
}

/// Whether the caller was disconnected because it read nothing.
fn is_stalled(req: &ActiveRequest) -> bool {
    let connection = req.head.extensions.get::<Arc<CallerConnection>>();
    connection.is_some_and(|connection| connection.is_stalled())
}

fn record_metrics(req: &ActiveRequest, progress: &Progress, ended: &str, first: Duration) {
    let outcome = if ended == COMPLETE { "done" } else { ended };
    let labels = ClassLabels { class: req.prompt_class().to_owned() };
    let metrics = &req.gateway.metrics;
    metrics.first_token.get_or_create(&labels).observe(first.as_secs_f64());
    metrics.pause.get_or_create(&labels).observe(progress.longest_pause.as_secs_f64());
    req.gateway.count_request(outcome, req.prompt_class(), boot_now().saturating_sub(req.started));
}

/// Resumes the stream at another engine after the last forwarded event, if the route and the retry
/// budget allow it.
async fn resume(
    req: &mut ActiveRequest,
    tx: &EventSender,
    progress: &Progress,
    reason: &str,
) -> Option<Segment> {
    while req.route.retry_policy == RetryPolicy::Idempotent && req.claim_retry() {
        let placement = req.choose_next().await?;
        let limit = req.remaining();
        let segment = resend(req, tx, progress, placement, limit, reason).await;
        if segment.is_some() || tx.is_closed() {
            return segment;
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
) -> Option<Segment> {
    let placement = req.choose_failover().await?;
    if !req.claim_retry() {
        return None;
    }
    let limit = req.remaining().min(FAILOVER_TIMEOUT);
    resend(req, tx, progress, placement, limit, "silent").await
}

/// Sends the request again; `None` if the engine does not start a stream.
async fn resend(
    req: &mut ActiveRequest,
    tx: &EventSender,
    progress: &Progress,
    placement: Placement,
    limit: Duration,
    reason: &str,
) -> Option<Segment> {
    req.gateway.metrics.retries.inc();
    event!(req.gateway.log, AttemptRetried, "request" => req.caller.id.as_str(),
        "endpoint" => placement.endpoint.id.as_str(), "reason" => reason,
        "sends" => req.sends, "after_event" => progress.last_event);
    let out = req.build_send(&placement, progress.last_event);
    let attempt = send(&req.gateway, &placement, &out, &req.caller.id, limit);
    let send_outcome = tokio::select! {
        send_outcome = attempt => send_outcome,
        () = tx.closed() => return None,
    };
    req.record_send(&placement.endpoint, &send_outcome);
    match send_outcome {
        SendOutcome::Responded(response) if response.parts.status.is_success() => {
            Some(build_segment(placement, *response))
        }
        _ => None,
    }
}

/// Forwards the events of one engine until its stream ends.
async fn forward_segment(
    req: &mut ActiveRequest,
    segment: Segment,
    tx: &EventSender,
    progress: &mut Progress,
) -> SegmentEnd {
    let Segment { response, endpoint, in_flight, reservation, predicted_first_token, sent_at } =
        segment;
    let EndpointResponse { parts, head, mut body, conn, open } = response;
    let mut answer = StreamAnswer::new(open);
    let mut splitter = EventSplitter::default();
    let idle_timeout = (req.route.pause_limit * IDLE_TIMEOUT_PAUSES).max(MIN_IDLE_TIMEOUT);
    let mut first = true;
    let mut keep_waiting = false;
    // Bytes of an unfinished event don't count: a stalled engine may send a few now and then.
    let mut last_event_at = boot_now();
    loop {
        let remaining = req.remaining();
        let idle_left = idle_timeout.saturating_sub(boot_now().saturating_sub(last_event_at));
        let limit = if first || keep_waiting { remaining } else { remaining.min(idle_left) };
        let frame = tokio::select! {
            biased;
            () = tx.closed() => return SegmentEnd::CallerGone,
            frame = timeout(limit, body.frame()) => frame,
        };
        let data = match frame {
            Err(_) if req.remaining().is_zero() => return SegmentEnd::DeadlinePassed,
            Err(_) => {
                if let Some(next) = choose_failover(req, tx, progress).await {
                    return SegmentEnd::FailedOver(Box::new(next));
                }
                keep_waiting = true;
                continue;
            }
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(e))) => {
                answer.record_break(progress);
                return SegmentEnd::Broken(error_chain(&e));
            }
            Ok(None) if splitter.in_event() => {
                answer.record_break(progress);
                return SegmentEnd::Broken("partial event".into());
            }
            Ok(None) => break,
        };
        splitter.push(&data);
        for event in splitter.by_ref() {
            inject("gateway.relay");
            answer.record_event();
            if first {
                first = false;
                record_first_event(req, &endpoint, predicted_first_token, sent_at, progress);
            }
            if req.is_late(progress.first_at, progress.longest_pause) {
                in_flight.mark_late();
            }
            keep_waiting = false;
            in_flight.add_output(req.service.engine.as_ref().map_or(1, |m| u64::from(m.stride)));
            match forward_event(req, tx, event, progress).await {
                Forwarded::Queued => {}
                Forwarded::CallerGone => return SegmentEnd::CallerGone,
                Forwarded::NoRoom => return SegmentEnd::DeadlinePassed,
            }
            // Time in which the caller was slow to read is not the engine's.
            last_event_at = boot_now();
        }
        if splitter.is_too_large() {
            return SegmentEnd::Broken("an event is too large".into());
        }
    }
    answer.record_end(tells_its_end(&parts));
    drop(reservation);
    return_connection(req, head.closes_connection, head.keep_alive, conn, body);
    SegmentEnd::Complete
}

fn return_connection(
    req: &ActiveRequest,
    closes_connection: bool,
    keep_alive: Option<Duration>,
    conn: super::pool::Connection,
    body: Incoming,
) {
    drop(body);
    if !closes_connection {
        req.gateway.pool.put(conn, keep_alive);
    }
}

/// Forwards one event unless the caller already has it.
async fn forward_event(
    req: &ActiveRequest,
    tx: &EventSender,
    event: StreamEvent,
    progress: &mut Progress,
) -> Forwarded {
    let already_sent =
        event.id.is_some_and(|id| progress.last_event.is_some_and(|last| id <= last));
    if already_sent {
        return Forwarded::Queued;
    }
    if event.id.is_some() {
        progress.last_event = event.id;
    }
    progress.record_event();
    let queued_at = boot_now();
    let forwarded = tx.send(event.data, req.remaining()).await;
    let waited = boot_now().saturating_sub(queued_at);
    progress.longest_caller_wait = progress.longest_caller_wait.max(waited);
    forwarded
}

fn record_first_event(
    req: &ActiveRequest,
    endpoint: &Endpoint,
    predicted_first_token: Option<Duration>,
    sent_at: Duration,
    progress: &mut Progress,
) {
    let now = boot_now();
    progress.first_at.get_or_insert(now);
    let elapsed_s = now.saturating_sub(sent_at).as_secs_f64();
    let slowness = predicted_first_token.map(|p| elapsed_s / p.as_secs_f64().max(0.1));
    req.gateway.health.lock().record_success(now, &endpoint.id, slowness);
}
