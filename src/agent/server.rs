//! Handles messages from entries: dispatches, cancellations, resumes and load subscriptions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::attempt::{Attempt, Cursor};
use super::attempt_runner::{AttemptRunner, FINISHED_RETENTION};
use super::endpoint::ManagedEndpoint;
use super::ledger::AttemptKey;
use crate::faults;
use crate::wire::envelope::Body;
use crate::wire::server::{Conn, Handler};
use crate::wire::{Cancel, Dispatch, Go, Refused, Resume};

/// Time after which an attempt is cancelled when its entry has disconnected and not resumed it.
const DETACHED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval between load reports on a connection.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Largest body of a dispatch, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Number of shards of the attempt table, each with a lock of its own.
const ATTEMPT_SHARDS: usize = 16;

/// A dispatch whose body has not arrived completely.
struct IncomingDispatch {
    dispatch: Dispatch,
    body: BytesMut,
}

type AttemptShard = Mutex<HashMap<AttemptKey, Arc<Attempt>>>;

/// Handles all connections from entries to an agent.
pub struct AgentHandler {
    runner: Arc<AttemptRunner>,
    endpoints: HashMap<SmolStr, Arc<ManagedEndpoint>>,
    attempts: Arc<[AttemptShard; ATTEMPT_SHARDS]>,
    /// Incomplete dispatches by connection and call.
    incoming: Mutex<HashMap<(u64, u64), IncomingDispatch>>,
    cx: CancellationToken,
}

impl AgentHandler {
    /// Builds a handler for the endpoints of an agent; cancelling `cx` ends all attempts.
    pub fn new(
        runner: Arc<AttemptRunner>,
        endpoints: HashMap<SmolStr, Arc<ManagedEndpoint>>,
        cx: CancellationToken,
    ) -> Self {
        let attempts = Arc::new(std::array::from_fn(|_| Mutex::default()));
        Self { runner, endpoints, attempts, incoming: Mutex::default(), cx }
    }

    fn shard(&self, key: &AttemptKey) -> &AttemptShard {
        &self.attempts[xxh3_64(key.request.as_bytes()) as usize % ATTEMPT_SHARDS]
    }

    /// Receives a dispatch and waits for its body, if it has one.
    fn receive_dispatch(&self, conn: &Conn, call: u64, dispatch: Dispatch) {
        if dispatch.body_len > MAX_BODY_BYTES {
            let key = AttemptKey::new(&dispatch.request, dispatch.attempt);
            return self.refuse_unqueued(conn, call, key, "body too large");
        }
        let complete = dispatch.body_len == 0;
        let incoming = IncomingDispatch { dispatch, body: BytesMut::new() };
        if complete {
            return self.start_attempt(conn, call, incoming);
        }
        self.incoming.lock().insert((conn.id, call), incoming);
    }

    /// Receives a part of a dispatch's body; the last part starts the attempt.
    fn receive_body_part(&self, conn: &Conn, call: u64, data: &[u8]) {
        let completed = {
            let mut incoming = self.incoming.lock();
            let Some(pending) = incoming.get_mut(&(conn.id, call)) else { return };
            pending.body.extend_from_slice(data);
            let done = pending.body.len() as u64 >= pending.dispatch.body_len;
            if done { incoming.remove(&(conn.id, call)) } else { None }
        };
        if let Some(completed) = completed {
            self.start_attempt(conn, call, completed);
        }
    }

    /// Refuses a complete dispatch, or runs its attempt and sends the output. A duplicate of an
    /// attempt that is still in the table is ignored.
    fn start_attempt(&self, conn: &Conn, call: u64, incoming: IncomingDispatch) {
        faults::inject("agent.dispatch");
        let IncomingDispatch { dispatch, body } = incoming;
        let key = AttemptKey::new(&dispatch.request, dispatch.attempt);
        let body = body.freeze();
        if let Err(reason) = self.validate(&dispatch, &body) {
            return self.refuse_unqueued(conn, call, key, reason);
        }
        let Some(target) = self.endpoints.get(dispatch.endpoint.as_str()).cloned() else { return };
        let attempt = Arc::new(Attempt::new(key.clone(), self.cx.child_token()));
        {
            let mut shard = self.shard(&key).lock();
            if shard.contains_key(&key) {
                return;
            }
            shard.insert(key, Arc::clone(&attempt));
        }
        let keeps_running = dispatch.claim != 0;
        self.forward(conn, call, &attempt, Cursor::default(), keeps_running);
        self.spawn_run(attempt, target, dispatch, body);
    }

    /// Checks whether a dispatch may be queued; the error is the reason for its refusal.
    fn validate(&self, dispatch: &Dispatch, body: &Bytes) -> Result<(), &'static str> {
        let node = &self.runner.node;
        if dispatch.incarnation != node.incarnation {
            return Err("meant for an earlier run of this agent");
        }
        if xxh3_64(body) != dispatch.body_hash || body.len() as u64 != dispatch.body_len {
            return Err("body damaged on its way");
        }
        if dispatch.remaining_ms == 0 {
            return Err("its time is over");
        }
        if !node.accepts_work() {
            return Err("this agent takes no new work");
        }
        let Some(endpoint) = self.endpoints.get(dispatch.endpoint.as_str()) else {
            return Err("no such endpoint here");
        };
        if node.config().is_leaving(&dispatch.endpoint) {
            return Err("the endpoint is leaving");
        }
        if !endpoint.is_healthy() {
            return Err("the endpoint does not answer");
        }
        Ok(())
    }

    /// Refuses an attempt that was never queued and prevents it from starting later. A duplicate of
    /// a known or started attempt gets no response.
    fn refuse_unqueued(&self, conn: &Conn, call: u64, key: AttemptKey, reason: &str) {
        let known = self.shard(&key).lock().contains_key(&key);
        let rejected = !known && self.runner.dedup.lock().reject(self.runner.node.now(), &key);
        if !rejected {
            return;
        }
        let refused = Refused {
            request: key.request.to_string(),
            attempt: key.attempt,
            reason: reason.to_owned(),
            retry_after_ms: 500,
            load: None,
        };
        let conn = conn.clone();
        tokio::spawn(async move {
            conn.send(call, Body::Refused(refused)).await;
        });
    }

    /// Runs an attempt in a task and removes it from the table some time after its end.
    fn spawn_run(
        &self,
        attempt: Arc<Attempt>,
        endpoint: Arc<ManagedEndpoint>,
        dispatch: Dispatch,
        body: Bytes,
    ) {
        let runner = Arc::clone(&self.runner);
        let attempts = Arc::clone(&self.attempts);
        tokio::spawn(async move {
            runner.run(&attempt, &endpoint, dispatch, body).await;
            sleep(FINISHED_RETENTION).await;
            let shard = xxh3_64(attempt.key.request.as_bytes()) as usize % ATTEMPT_SHARDS;
            attempts[shard].lock().remove(&attempt.key);
        });
    }

    /// Sends an attempt's output to a connection from `cursor` on.
    ///
    /// When the connection is lost and no other takes over within [`DETACHED_TIMEOUT`], the attempt
    /// is cancelled, unless `keeps_running` is set, as for service calls with an idempotency key.
    fn forward(
        &self,
        conn: &Conn,
        call: u64,
        attempt: &Arc<Attempt>,
        mut cursor: Cursor,
        keeps_running: bool,
    ) {
        let attachment = attempt.attach();
        let (conn, attempt) = (conn.clone(), Arc::clone(attempt));
        tokio::spawn(async move {
            while !cursor.is_finished() {
                let messages = tokio::select! {
                    biased;
                    () = conn.cx.cancelled() => break,
                    messages = attempt.next_messages(attachment, &mut cursor) => messages,
                };
                let Some(messages) = messages else { return };
                for body in messages {
                    faults::inject("agent.send");
                    conn.send(call, body).await;
                }
            }
            if cursor.is_finished() || keeps_running {
                return;
            }
            sleep(DETACHED_TIMEOUT).await;
            if attempt.is_current_attachment(attachment) {
                attempt.cx.cancel();
            }
        });
    }

    /// Cancels an attempt, or prevents it from starting if it is not known yet.
    fn cancel(&self, conn: &Conn, call: u64, cancel: &Cancel) {
        let key = AttemptKey::new(&cancel.request, cancel.attempt);
        self.incoming.lock().remove(&(conn.id, call));
        let attempt = self.shard(&key).lock().get(&key).cloned();
        match attempt {
            Some(attempt) => attempt.cx.cancel(),
            None => self.refuse_unqueued(conn, call, key, "cancelled before its start"),
        }
    }

    /// Continues to send an attempt's output, on a new connection, from the offset that the entry
    /// has reached.
    fn resume(&self, conn: &Conn, call: u64, resume: &Resume) {
        let key = AttemptKey::new(&resume.request, resume.attempt);
        let same_run = resume.incarnation == self.runner.node.incarnation;
        let attempt = self.shard(&key).lock().get(&key).cloned().filter(|_| same_run);
        let cursor = attempt.as_ref().and_then(|a| Cursor::from_offset(a, resume.offset));
        match attempt.zip(cursor) {
            Some((attempt, cursor)) => self.forward(conn, call, &attempt, cursor, false),
            None => {
                let conn = conn.clone();
                tokio::spawn(async move {
                    conn.refuse(call, "the attempt is not held here").await;
                });
            }
        }
    }

    /// Allows the prefill of a segment.
    fn allow_prefill(&self, go: Go) {
        let key = AttemptKey::new(&go.request, go.attempt);
        if let Some(attempt) = self.shard(&key).lock().get(&key) {
            attempt.allow_prefill(go.sources);
        }
    }

    /// Sends the load of all endpoints periodically until the connection is lost.
    fn report_load(&self, conn: &Conn, call: u64) {
        let conn = conn.clone();
        let endpoints: Vec<Arc<ManagedEndpoint>> = self.endpoints.values().cloned().collect();
        tokio::spawn(async move {
            loop {
                for endpoint in &endpoints {
                    if !conn.send(call, Body::Load(endpoint.load())).await {
                        return;
                    }
                }
                sleep(LOAD_REPORT_INTERVAL).await;
            }
        });
    }

    /// Number of attempts that have not finished.
    pub fn unfinished_attempts(&self) -> usize {
        let unfinished = |s: &AttemptShard| s.lock().values().filter(|a| !a.is_finished()).count();
        self.attempts.iter().map(unfinished).sum()
    }
}

impl Handler for AgentHandler {
    fn on_message(&self, conn: &Conn, call: u64, body: Body) {
        match body {
            Body::Dispatch(dispatch) => self.receive_dispatch(conn, call, dispatch),
            Body::BodyPart(part) => self.receive_body_part(conn, call, &part.data),
            Body::Cancel(cancel) => self.cancel(conn, call, &cancel),
            Body::Resume(resume) => self.resume(conn, call, &resume),
            Body::Load(_) => self.report_load(conn, call),
            Body::Go(go) => self.allow_prefill(go),
            _ => {
                let conn = conn.clone();
                tokio::spawn(async move {
                    conn.refuse(call, "an agent does not take this message").await;
                });
            }
        }
    }

    fn on_closed(&self, conn: &Conn) {
        self.incoming.lock().retain(|(id, _), _| *id != conn.id);
    }
}
