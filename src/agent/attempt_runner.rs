//! Runs attempts: admission, the one start, the endpoint, and the confirmed release.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use parking_lot::Mutex;
use tokio::time::sleep;

use super::admission::AdmissionRequest;
use super::attempt::Attempt;
use super::dedup::{DedupTable, StartDecision};
use super::endpoint::{AdmissionResponse, ManagedEndpoint, WaitOutcome};
use super::ledger::AttemptKey;
use super::outcome_recorder::Settler;
use crate::engine::{EngineError, Generate, Generated, KvTransfer, ServiceAnswer, ServiceCall};
use crate::faults;
use crate::ids::Tokens;
use crate::node::Node;
use crate::wire::envelope::Body;
use crate::wire::{Dispatch, End, Failed, KvSource, Refused};

/// Shortest time after which a refused caller may come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Longest wait of a segment for its memory, while others of its group hold theirs.
const SEGMENT_WAIT: Duration = Duration::from_millis(1000);

/// Time that a finished attempt can be attached to again.
pub const LINGER: Duration = Duration::from_secs(2);

/// What all attempts of an agent share.
pub struct AttemptRunner {
    /// This node.
    pub node: Arc<Node>,
    /// Attempts that started or were rejected.
    pub dedup: Mutex<DedupTable>,
    /// Records outcomes of bookings.
    pub settler: Settler,
}

impl AttemptRunner {
    /// Refuses an attempt for good; a late copy of a started one gets no answer.
    pub fn refuse(&self, attempt: &Attempt, endpoint: Option<&ManagedEndpoint>, reason: &str) {
        let rejected = self.dedup.lock().reject(self.node.now(), &attempt.key);
        if rejected {
            attempt.end(Body::Refused(refused(&attempt.key, endpoint, reason)));
        }
    }

    /// Runs an attempt to its final message.
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
        let patience = if dispatch.segments > 0 { remaining.min(SEGMENT_WAIT) } else { remaining };
        let req = AdmissionRequest {
            workspace: dispatch.workspace.as_str().into(),
            weight: u64::from(dispatch.weight),
            priority: dispatch.priority,
            tokens,
            deadline: now + patience,
        };
        let (ticket, outcome) = match endpoint.request_admission(now, &attempt.key, req) {
            AdmissionResponse::Queued(ticket, outcome) => (ticket, outcome),
            AdmissionResponse::ExceedsCapacity(capacity) => {
                let reason = format!("needs {tokens} tokens of memory, the engine has {capacity}");
                return self.refuse(attempt, Some(endpoint), &reason);
            }
            AdmissionResponse::QueueFull => {
                return self.refuse(attempt, Some(endpoint), "queue full");
            }
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
        faults::reach("agent.admitted");
        if !self.may_start(attempt, endpoint) {
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
            let generate = build_generate(&attempt.key, &dispatch, body, Vec::new());
            self.generate(attempt, endpoint, dispatch.prompt_tokens, generate).await;
        }
    }

    /// Runs a part of a prompt that a group shares: holds its memory, reads it when told, and
    /// keeps it until cancelled; the last part generates the answer.
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
                attempt.end(Body::Failed(failed(&attempt.key, "group given up", false)));
                return;
            }
            sources = attempt.wait_go() => sources,
        };
        faults::reach("agent.segment");
        let generate = build_generate(&attempt.key, &dispatch, body, sources);
        if dispatch.segment == dispatch.segments {
            return self.generate(attempt, endpoint, dispatch.prompt_tokens, generate).await;
        }
        endpoint.begin_prefill(self.node.now(), &attempt.key, dispatch.prompt_tokens);
        let read = tokio::select! {
            biased;
            () = attempt.cx.cancelled() => return self.abandon(attempt, endpoint, "cancelled"),
            read = endpoint.engine.prefill(generate) => read,
        };
        match read {
            Ok(KvTransfer { id, from, tokens }) => {
                endpoint.end_prefill(self.node.now(), &attempt.key);
                attempt.set_held(Some(KvSource { engine: from, id, tokens }));
                attempt.cx.cancelled().await;
                self.abandon(attempt, endpoint, "group ended");
            }
            Err(e) => self.abandon(attempt, endpoint, &e.to_string()),
        }
    }

    /// Takes a cancelled attempt out of the queue, or gives back what it just got.
    fn withdraw(&self, attempt: &Attempt, endpoint: &ManagedEndpoint, ticket: u64) {
        if !endpoint.remove_waiting(ticket) {
            endpoint.finish(self.node.now(), &attempt.key);
        }
        self.refuse(attempt, Some(endpoint), "cancelled before its start");
    }

    /// The last check before the endpoint: lease, leaving, and one start only.
    fn may_start(&self, attempt: &Attempt, endpoint: &ManagedEndpoint) -> bool {
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
                attempt.end(Body::Refused(refused(&attempt.key, Some(endpoint), "refused before")));
                false
            }
        }
    }

    async fn generate(
        &self,
        attempt: &Attempt,
        endpoint: &ManagedEndpoint,
        prompt_tokens: Tokens,
        generate: Generate,
    ) {
        let key = &attempt.key;
        endpoint.begin_prefill(self.node.now(), key, prompt_tokens);
        let started = tokio::select! {
            biased;
            () = attempt.cx.cancelled() => {
                return self.abandon(attempt, endpoint, "cancelled");
            }
            started = endpoint.engine.generate(generate) => started,
        };
        let mut stream = match started {
            Ok(stream) => stream,
            Err(EngineError::Broken { reason }) => return self.abandon(attempt, endpoint, &reason),
            Err(e) => {
                endpoint.finish(self.node.now(), key);
                attempt.end(Body::Failed(failed(key, &e.to_string(), false)));
                return;
            }
        };
        loop {
            let part = tokio::select! {
                biased;
                () = attempt.cx.cancelled() => {
                    return self.abandon(attempt, endpoint, "cancelled");
                }
                part = stream.next() => part,
            };
            match part {
                Some(Ok(Generated::Text { text, tokens })) => {
                    endpoint.end_prefill(self.node.now(), key);
                    attempt.push(Bytes::from(text), tokens);
                }
                Some(Ok(Generated::Finished { reason, .. })) => {
                    endpoint.finish(self.node.now(), key);
                    let count = attempt.count();
                    attempt.end(Body::End(end(key, count, reason, endpoint)));
                    return;
                }
                Some(Err(e)) => return self.abandon(attempt, endpoint, &e.to_string()),
                None => return self.abandon(attempt, endpoint, "the answer broke off"),
            }
        }
    }

    /// Ends an attempt that reached its engine; the sweep cancels it there until confirmed.
    fn abandon(&self, attempt: &Attempt, endpoint: &ManagedEndpoint, reason: &str) {
        endpoint.begin_release(self.node.now(), &attempt.key);
        attempt.end(Body::Failed(failed(&attempt.key, reason, true)));
    }

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
        let limit = Duration::from_millis(dispatch.remaining_ms);
        let answered = tokio::select! {
            answered = endpoint.service.call(call) => answered,
            () = sleep(limit) => Err(EngineError::Broken { reason: "no answer in time".into() }),
        };
        endpoint.finish(self.node.now(), key);
        match answered {
            Ok(answer) => self.give_answer(attempt, endpoint, &dispatch, answer).await,
            Err(e) => {
                let ran = matches!(e, EngineError::Broken { .. });
                attempt.end(Body::Failed(failed(key, &e.to_string(), ran)));
            }
        }
    }

    /// Records a booking's answer before it is given, so that its key can be asked again.
    async fn give_answer(
        &self,
        attempt: &Attempt,
        endpoint: &ManagedEndpoint,
        dispatch: &Dispatch,
        answer: ServiceAnswer,
    ) {
        faults::reach("agent.settle");
        if dispatch.claim != 0 {
            self.settler.settle_done(dispatch, &answer).await;
        }
        faults::reach("agent.settled");
        let len = answer.body.len() as u64;
        attempt.set_head(answer.status, answer.content_type);
        if len > 0 {
            attempt.push(answer.body, len);
        }
        attempt.end(Body::End(end(&attempt.key, len, "stop".into(), endpoint)));
    }
}

fn build_generate(
    key: &AttemptKey,
    dispatch: &Dispatch,
    body: Bytes,
    sources: Vec<KvSource>,
) -> Generate {
    let transfer = |s: KvSource| KvTransfer { id: s.id, from: s.engine, tokens: s.tokens };
    Generate {
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
