//! Runs attempts: waits for admission, starts each at most once, calls the endpoint and releases
//! the attempt's memory.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use parking_lot::Mutex;
use tokio::time::sleep;

use super::admission::AdmissionRequest;
use super::attempt::Attempt;
use super::dedup::{DedupTable, StartDecision};
use super::endpoint::{AdmissionReply, ManagedEndpoint, WaitOutcome};
use super::ledger::AttemptKey;
use super::outcome_recorder::OutcomeRecorder;
use crate::engine::{
    CallError, GenerateRequest, GeneratedPart, KvTransfer, ServiceCall, ServiceResponse,
};
use crate::faults;
use crate::ids::Tokens;
use crate::node::Node;
use crate::wire::envelope::Body;
use crate::wire::{Dispatch, End, Failed, KvSource, Refused};

/// Minimum time after which an entry may retry a refused attempt, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Longest wait of a segment for its memory; the other segments of its group may hold theirs
/// meanwhile.
const MAX_SEGMENT_WAIT: Duration = Duration::from_millis(1000);

/// Time for which a finished attempt is kept, so that an entry can resume reading its output.
pub const FINISHED_RETENTION: Duration = Duration::from_secs(2);

/// Runs the attempts of one agent; holds the state that they share.
pub struct AttemptRunner {
    /// This node: its clock, its lease and its link to control.
    pub node: Arc<Node>,
    /// Attempts that started or were rejected, so that none starts twice.
    pub dedup: Mutex<DedupTable>,
    /// Records outcomes of service calls that have an idempotency key.
    pub outcomes: OutcomeRecorder,
}

impl AttemptRunner {
    /// Refuses an attempt permanently. A duplicate of a started attempt gets no response, so that
    /// the started one is not reported as refused.
    pub fn refuse(&self, attempt: &Attempt, endpoint: Option<&ManagedEndpoint>, reason: &str) {
        let rejected = self.dedup.lock().reject(self.node.now(), &attempt.key);
        if rejected {
            attempt.complete(Body::Refused(refused(&attempt.key, endpoint, reason)));
        }
    }

    /// Runs an attempt until its final message is set, or until it turns out to be a duplicate.
    pub async fn run(
        &self,
        attempt: &Attempt,
        endpoint: &ManagedEndpoint,
        dispatch: Dispatch,
        body: Bytes,
    ) {
        let now = self.node.now();
        let is_service = !dispatch.method.is_empty();
        let tokens = if is_service { 0 } else { dispatch.prompt_tokens + dispatch.output_tokens };
        let remaining = Duration::from_millis(dispatch.remaining_ms);
        let max_wait =
            if dispatch.segments > 0 { remaining.min(MAX_SEGMENT_WAIT) } else { remaining };
        let req = AdmissionRequest {
            workspace: dispatch.workspace.as_str().into(),
            weight: u64::from(dispatch.weight),
            priority: dispatch.priority,
            tokens,
            deadline: now + max_wait,
        };
        let (ticket, outcome) = match endpoint.request_admission(now, &attempt.key, req) {
            AdmissionReply::Queued(ticket, outcome) => (ticket, outcome),
            AdmissionReply::ExceedsCapacity(capacity) => {
                let reason = format!("needs {tokens} tokens of memory, the engine has {capacity}");
                return self.refuse(attempt, Some(endpoint), &reason);
            }
            AdmissionReply::QueueFull => return self.refuse(attempt, Some(endpoint), "queue full"),
        };
        let outcome = tokio::select! {
            biased;
            () = attempt.cx.cancelled() => {
                self.withdraw(attempt, endpoint, ticket);
                return;
            }
            outcome = outcome => outcome,
        };
        if outcome != Ok(WaitOutcome::Admitted) {
            return self.refuse(attempt, Some(endpoint), "waited past its deadline");
        }
        faults::inject("agent.admitted");
        if !self.try_start(attempt, endpoint) {
            endpoint.finish(self.node.now(), &attempt.key);
            return;
        }
        if is_service {
            self.call_service(attempt, endpoint, dispatch, body).await;
        } else if dispatch.segments > 0 {
            endpoint.adjust_group_segments(1);
            self.run_segment(attempt, endpoint, dispatch, body).await;
            endpoint.adjust_group_segments(-1);
        } else {
            let generate_req = build_request(&attempt.key, &dispatch, body, Vec::new());
            self.generate(attempt, endpoint, dispatch.prompt_tokens, generate_req).await;
        }
    }

    /// Runs one segment of a prompt that is split among a group of engines.
    ///
    /// The attempt reports that its memory is reserved, waits until its prefill is allowed, and
    /// keeps the result until cancelled. The last segment generates the completion instead.
    async fn run_segment(
        &self,
        attempt: &Attempt,
        endpoint: &ManagedEndpoint,
        dispatch: Dispatch,
        body: Bytes,
    ) {
        attempt.set_held(None);
        let sources = tokio::select! {
            biased;
            () = attempt.cx.cancelled() => {
                endpoint.finish(self.node.now(), &attempt.key);
                attempt.complete(Body::Failed(failed(&attempt.key, "group given up", false)));
                return;
            }
            sources = attempt.wait_prefill_allowed() => sources,
        };
        faults::inject("agent.segment");
        let generate_req = build_request(&attempt.key, &dispatch, body, sources);
        if dispatch.segment == dispatch.segments {
            return self.generate(attempt, endpoint, dispatch.prompt_tokens, generate_req).await;
        }
        endpoint.begin_prefill(self.node.now(), &attempt.key, dispatch.prompt_tokens);
        let prefilled = tokio::select! {
            biased;
            () = attempt.cx.cancelled() => return self.fail(attempt, endpoint, "cancelled"),
            prefilled = endpoint.engine.prefill(generate_req) => prefilled,
        };
        match prefilled {
            Ok(KvTransfer { id, from, tokens }) => {
                endpoint.end_prefill(self.node.now(), &attempt.key);
                attempt.set_held(Some(KvSource { engine: from, id, tokens }));
                attempt.cx.cancelled().await;
                self.fail(attempt, endpoint, "group ended");
            }
            Err(e) => self.fail(attempt, endpoint, &e.to_string()),
        }
    }

    /// Removes a cancelled attempt from the queue, or releases the memory that it was just granted.
    fn withdraw(&self, attempt: &Attempt, endpoint: &ManagedEndpoint, ticket: u64) {
        if !endpoint.remove_waiting(ticket) {
            endpoint.finish(self.node.now(), &attempt.key);
        }
        self.refuse(attempt, Some(endpoint), "cancelled before its start");
    }

    /// Checks the lease, cancellation and duplicates right before the endpoint is called, and marks
    /// the attempt as started. Returns false when it must not start.
    fn try_start(&self, attempt: &Attempt, endpoint: &ManagedEndpoint) -> bool {
        if !self.node.holds_lease() {
            self.refuse(attempt, Some(endpoint), "this agent's configuration lease ran out");
            return false;
        }
        if attempt.cx.is_cancelled() {
            self.refuse(attempt, Some(endpoint), "cancelled before its start");
            return false;
        }
        match self.dedup.lock().start(self.node.now(), &attempt.key) {
            StartDecision::Start => true,
            StartDecision::Duplicate => false,
            StartDecision::Rejected => {
                attempt.complete(Body::Refused(refused(
                    &attempt.key,
                    Some(endpoint),
                    "refused before",
                )));
                false
            }
        }
    }

    /// Generates a completion and buffers its parts in the attempt.
    async fn generate(
        &self,
        attempt: &Attempt,
        endpoint: &ManagedEndpoint,
        prompt_tokens: Tokens,
        generate_req: GenerateRequest,
    ) {
        let key = &attempt.key;
        endpoint.begin_prefill(self.node.now(), key, prompt_tokens);
        let started = tokio::select! {
            biased;
            () = attempt.cx.cancelled() => {
                return self.fail(attempt, endpoint, "cancelled");
            }
            started = endpoint.engine.generate(generate_req) => started,
        };
        let mut stream = match started {
            Ok(stream) => stream,
            Err(CallError::Interrupted { reason }) => return self.fail(attempt, endpoint, &reason),
            Err(e) => {
                endpoint.finish(self.node.now(), key);
                attempt.complete(Body::Failed(failed(key, &e.to_string(), false)));
                return;
            }
        };
        loop {
            let part = tokio::select! {
                biased;
                () = attempt.cx.cancelled() => {
                    return self.fail(attempt, endpoint, "cancelled");
                }
                part = stream.next() => part,
            };
            match part {
                Some(Ok(GeneratedPart::Text { text, tokens })) => {
                    endpoint.end_prefill(self.node.now(), key);
                    attempt.push(Bytes::from(text), tokens);
                }
                Some(Ok(GeneratedPart::Finished { reason, .. })) => {
                    endpoint.finish(self.node.now(), key);
                    let count = attempt.unit_count();
                    attempt.complete(Body::End(end(key, count, reason, endpoint)));
                    return;
                }
                Some(Err(e)) => return self.fail(attempt, endpoint, &e.to_string()),
                None => return self.fail(attempt, endpoint, "the answer broke off"),
            }
        }
    }

    /// Fails an attempt that may have reached its engine. Its memory stays reserved; the reconciler
    /// cancels it at the engine until the engine acknowledges.
    fn fail(&self, attempt: &Attempt, endpoint: &ManagedEndpoint, reason: &str) {
        endpoint.begin_release(self.node.now(), &attempt.key);
        attempt.complete(Body::Failed(failed(&attempt.key, reason, true)));
    }

    /// Calls a plain service once and delivers its response.
    async fn call_service(
        &self,
        attempt: &Attempt,
        endpoint: &ManagedEndpoint,
        dispatch: Dispatch,
        body: Bytes,
    ) {
        let key = &attempt.key;
        let call = ServiceCall {
            method: dispatch.method.clone(),
            path: dispatch.path.clone(),
            content_type: dispatch.content_type.clone(),
            idempotency_key: dispatch.idempotency_key.clone(),
            body,
        };
        let timeout = Duration::from_millis(dispatch.remaining_ms);
        let result = tokio::select! {
            result = endpoint.service.call(call) => result,
            () = sleep(timeout) =>
                Err(CallError::Interrupted { reason: "no answer in time".into() }),
        };
        endpoint.finish(self.node.now(), key);
        match result {
            Ok(response) => self.deliver_response(attempt, endpoint, &dispatch, response).await,
            Err(e) => {
                let ran = matches!(e, CallError::Interrupted { .. });
                attempt.complete(Body::Failed(failed(key, &e.to_string(), ran)));
            }
        }
    }

    /// Buffers a service's response in the attempt.
    ///
    /// The outcome of a call with an idempotency key is sent to the replicated log first, so that a
    /// repeated call with the same key gets the same response.
    async fn deliver_response(
        &self,
        attempt: &Attempt,
        endpoint: &ManagedEndpoint,
        dispatch: &Dispatch,
        response: ServiceResponse,
    ) {
        faults::inject("agent.settle");
        if dispatch.claim != 0 {
            self.outcomes.record_done(dispatch, &response).await;
        }
        faults::inject("agent.settled");
        let len = response.body.len() as u64;
        attempt.set_head(response.status, response.content_type);
        if len > 0 {
            attempt.push(response.body, len);
        }
        attempt.complete(Body::End(end(&attempt.key, len, "stop".into(), endpoint)));
    }
}

fn build_request(
    key: &AttemptKey,
    dispatch: &Dispatch,
    body: Bytes,
    sources: Vec<KvSource>,
) -> GenerateRequest {
    let transfer = |s: KvSource| KvTransfer { id: s.id, from: s.engine, tokens: s.tokens };
    GenerateRequest {
        id: key.engine_request_id(),
        body,
        chat: dispatch.chat,
        priority: dispatch.priority,
        sources: sources.into_iter().map(transfer).collect(),
    }
}

fn refused(key: &AttemptKey, endpoint: Option<&ManagedEndpoint>, reason: &str) -> Refused {
    Refused {
        request: key.request.to_string(),
        attempt: key.attempt,
        reason: reason.to_owned(),
        retry_after_ms: RETRY_AFTER_MS,
        load: endpoint.map(ManagedEndpoint::load),
    }
}

fn failed(key: &AttemptKey, reason: &str, ran: bool) -> Failed {
    let request = key.request.to_string();
    Failed { request, attempt: key.attempt, reason: reason.to_owned(), ran }
}

fn end(key: &AttemptKey, count: u64, finish: String, endpoint: &ManagedEndpoint) -> End {
    let request = key.request.to_string();
    End { request, attempt: key.attempt, count, finish, load: Some(endpoint.load()) }
}
