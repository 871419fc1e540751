//! Takes dispatches, cancels and resumes of entries.

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

/// Time that an attempt goes on without a link to its entry.
const DETACHED_LIMIT: Duration = Duration::from_millis(1500);

/// Interval between load reports on a link.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Largest body of a dispatch in bytes.
const MAX_BODY: u64 = 64 * 1024 * 1024;

/// Shards of the attempts under way.
const SHARDS: usize = 16;

struct Arriving {
    dispatch: Dispatch,
    body: BytesMut,
}

type AttemptShard = Mutex<HashMap<AttemptKey, Arc<Attempt>>>;

/// The agent's side of all links.
pub struct AgentHandler {
    runner: Arc<AttemptRunner>,
    endpoints: HashMap<SmolStr, Arc<ManagedEndpoint>>,
    attempts: Arc<[AttemptShard; SHARDS]>,
    arriving: Mutex<HashMap<(u64, u64), Arriving>>,
    cx: CancellationToken,
}

impl AgentHandler {
    /// Builds a handler for the endpoints of an agent.
    pub fn new(
        runner: Arc<AttemptRunner>,
        endpoints: HashMap<SmolStr, Arc<ManagedEndpoint>>,
        cx: CancellationToken,
    ) -> Self {
        let attempts = Arc::new(std::array::from_fn(|_| Mutex::default()));
        Self { runner, endpoints, attempts, arriving: Mutex::default(), cx }
    }

    fn shard(&self, key: &AttemptKey) -> &AttemptShard {
        &self.attempts[xxh3_64(key.request.as_bytes()) as usize % SHARDS]
    }

    fn take_dispatch(&self, conn: &Conn, call: u64, dispatch: Dispatch) {
        if dispatch.body_len > MAX_BODY {
            let key = AttemptKey::new(&dispatch.request, dispatch.attempt);
            return self.refuse_unqueued(conn, call, key, "body too large");
        }
        let whole = dispatch.body_len == 0;
        let arriving = Arriving { dispatch, body: BytesMut::new() };
        if whole {
            return self.begin(conn, call, arriving);
        }
        self.arriving.lock().insert((conn.id, call), arriving);
    }

    fn take_part(&self, conn: &Conn, call: u64, data: &[u8]) {
        let whole = {
            let mut arriving = self.arriving.lock();
            let Some(held) = arriving.get_mut(&(conn.id, call)) else { return };
            held.body.extend_from_slice(data);
            let done = held.body.len() as u64 >= held.dispatch.body_len;
            if done { arriving.remove(&(conn.id, call)) } else { None }
        };
        if let Some(whole) = whole {
            self.begin(conn, call, whole);
        }
    }

    /// Takes a whole dispatch: refuses it, or runs it and sends what it produces.
    fn begin(&self, conn: &Conn, call: u64, arriving: Arriving) {
        faults::inject("agent.dispatch");
        let Arriving { dispatch, body } = arriving;
        let key = AttemptKey::new(&dispatch.request, dispatch.attempt);
        let body = body.freeze();
        if let Err(reason) = self.check(&dispatch, &body) {
            return self.refuse_unqueued(conn, call, key, reason);
        }
        let Some(endpoint) = self.endpoints.get(dispatch.endpoint.as_str()).cloned() else {
            return;
        };
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
        self.spawn_run(attempt, endpoint, dispatch, body);
    }

    fn check(&self, dispatch: &Dispatch, body: &Bytes) -> Result<(), &'static str> {
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

    /// Refuses a dispatch that was never queued; a copy of a started attempt gets no answer.
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
            let shard = xxh3_64(attempt.key.request.as_bytes()) as usize % SHARDS;
            attempts[shard].lock().remove(&attempt.key);
        });
    }

    /// Sends what an attempt produces; without a link it is cancelled after a while.
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
            while !cursor.is_over() {
                let news = tokio::select! {
                    biased;
                    () = conn.cx.cancelled() => break,
                    news = attempt.next(attachment, &mut cursor) => news,
                };
                let Some(news) = news else { return };
                for body in news {
                    faults::inject("agent.send");
                    conn.send(call, body).await;
                }
            }
            if cursor.is_over() || keeps_running {
                return;
            }
            sleep(DETACHED_LIMIT).await;
            if attempt.is_attached(attachment) {
                attempt.cx.cancel();
            }
        });
    }

    fn cancel(&self, conn: &Conn, call: u64, cancel: &Cancel) {
        let key = AttemptKey::new(&cancel.request, cancel.attempt);
        self.arriving.lock().remove(&(conn.id, call));
        let attempt = self.shard(&key).lock().get(&key).cloned();
        match attempt {
            Some(attempt) => attempt.cx.cancel(),
            None => self.refuse_unqueued(conn, call, key, "cancelled before its start"),
        }
    }

    fn resume(&self, conn: &Conn, call: u64, resume: &Resume) {
        let key = AttemptKey::new(&resume.request, resume.attempt);
        let same_run = resume.incarnation == self.runner.node.incarnation;
        let attempt = self.shard(&key).lock().get(&key).cloned().filter(|_| same_run);
        let cursor = attempt.as_ref().and_then(|a| Cursor::at(a, resume.offset));
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

    fn go(&self, go: Go) {
        let key = AttemptKey::new(&go.request, go.attempt);
        if let Some(attempt) = self.shard(&key).lock().get(&key) {
            attempt.allow_prefill(go.sources);
        }
    }

    /// Reports the load of all endpoints on a call until its connection is lost.
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
                sleep(LOAD_INTERVAL).await;
            }
        });
    }

    /// Attempts that have not ended.
    pub fn under_way(&self) -> usize {
        let open = |s: &AttemptShard| s.lock().values().filter(|a| !a.is_over()).count();
        self.attempts.iter().map(open).sum()
    }
}

impl Handler for AgentHandler {
    fn on_message(&self, conn: &Conn, call: u64, body: Body) {
        match body {
            Body::Dispatch(dispatch) => self.take_dispatch(conn, call, dispatch),
            Body::BodyPart(part) => self.take_part(conn, call, &part.data),
            Body::Cancel(cancel) => self.cancel(conn, call, &cancel),
            Body::Resume(resume) => self.resume(conn, call, &resume),
            Body::Load(_) => self.report_load(conn, call),
            Body::Go(go) => self.go(go),
            _ => {
                let conn = conn.clone();
                tokio::spawn(async move {
                    conn.refuse(call, "an agent does not take this message").await;
                });
            }
        }
    }

    fn on_closed(&self, conn: &Conn) {
        self.arriving.lock().retain(|(id, _), _| *id != conn.id);
    }
}
