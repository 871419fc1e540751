//! Notices crashes of endpoints and the requests under which they happened.
//!
//! A lost connection alone is no crash: endpoints also break off single answers. After a crash
//! nothing listens at the endpoint's address, so that connections are refused.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use http::{header, request, response};
use tokio::runtime::Handle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::super::dialect::CallerHead;
use super::super::eligibility::endpoints::Endpoint;
use super::super::state::Gateway;
use super::open_send::OpenSend;
use super::recent_suspects::Suspect;
use crate::clock::boot_now;
use crate::control::subscriber::ReplicaSubscriber;
use crate::event;
use crate::faults::inject;
use crate::ids::Moment;
use crate::quarantine::{
    Change, Crash, MAX_KEYS, SuspectKey, endpoint_key, format_keys, log_changes, prompt_part_key,
    request_key,
};
use crate::wire::QuarantineReport;

/// Delay before the check of an endpoint, in which other requests notice its crash too.
const CHECK_DELAY: Duration = Duration::from_millis(10);

/// The same after a request was given up that may crash the endpoint later.
const SUSPECTED_CHECK_DELAY: Duration = Duration::from_millis(150);

/// Longest time between two looks for crashes to judge.
const MAX_JUDGE_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum number of requests that the log names for one crash.
const MAX_LOGGED_SUSPECTS: usize = 16;

/// Properties of a request that may crash endpoints: the whole of it, and the parts of its prompt.
pub fn suspect_keys(caller: &CallerHead, head: &request::Parts, body: &[u8]) -> Vec<SuspectKey> {
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    let key = caller.key.as_deref().unwrap_or_default();
    let whole = request_key(head.method.as_str(), &caller.host, target, key, body);
    // The last part is the request's own, or that of its session.
    let last = caller.prompt_parts.iter().skip(MAX_KEYS - 2).last();
    let parts = caller.prompt_parts.iter().take(MAX_KEYS - 2).chain(last);
    std::iter::once(whole).chain(parts.map(|id| prompt_part_key(id))).collect()
}

/// Whether the end of a body is told apart from a lost connection.
pub fn tells_its_end(head: &response::Parts) -> bool {
    head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Records what a complete answer that is not a stream shows of its request. An error shows nothing: endpoints
/// also give one before they look at the request.
pub fn record_whole_answer(head: &response::Parts, open: &mut OpenSend) {
    match head.status.is_success() && tells_its_end(head) {
        true => open.record_answer(None),
        false => open.finish(),
    }
}

/// Checks whether an endpoint crashed, after a request has lost its connection to it.
pub fn check_lost_endpoint(gateway: &Arc<Gateway>, endpoint: &Endpoint) {
    check_endpoint(gateway, endpoint, CHECK_DELAY);
}

/// Checks whether an endpoint crashes, after a request was given up that crashes speak against.
pub fn check_suspected_endpoint(gateway: &Arc<Gateway>, endpoint: &Endpoint) {
    check_endpoint(gateway, endpoint, SUSPECTED_CHECK_DELAY);
}

fn check_endpoint(gateway: &Arc<Gateway>, endpoint: &Endpoint, delay: Duration) {
    // A request is also dropped when the process ends.
    let Ok(runtime) = Handle::try_current() else { return };
    if gateway.checked_endpoints.lock().insert(endpoint.id.clone()) {
        runtime.spawn(check(Arc::clone(gateway), endpoint.clone(), delay));
    }
}

async fn check(gateway: Arc<Gateway>, endpoint: Endpoint, delay: Duration) {
    sleep(delay).await;
    // Connections that are lost from now on need another check.
    gateway.checked_endpoints.lock().remove(&endpoint.id);
    if !gateway.may_probe(&endpoint) {
        return;
    }
    match gateway.pool.connect(endpoint.addr).await {
        Ok(conn) => gateway.pool.put(conn, None),
        Err(e) if e.kind() == ErrorKind::ConnectionRefused => gateway.record_crash(&endpoint),
        // An endpoint that cannot be reached may be cut off.
        Err(_) => {}
    }
}

impl Gateway {
    /// Records that an endpoint refused a connection: it has crashed, perhaps under one of the requests
    /// whose outcome there is unknown, or has ended.
    pub fn record_crash(&self, endpoint: &Endpoint) {
        let now = boot_now();
        self.cold.lock().record_crash(now, &endpoint.id);
        let key = endpoint_key(&endpoint.id);
        let suspects = self.recent_suspects.lock().take(now, key);
        // An endpoint that left as announced ends without a crash.
        if suspects.is_empty() || !self.endpoints.lock().is_ready(&endpoint.id) {
            return;
        }
        self.metrics.crashes.inc();
        self.log_crash(&endpoint.id, &suspects);
        self.add_crash(key, now, &suspects);
    }

    /// Adds a crash, or suspects of one that is known.
    fn add_crash(&self, endpoint: u64, at: Moment, suspects: &[Arc<Suspect>]) {
        let suspects = suspects.iter().map(|s| s.keys.clone()).collect();
        self.quarantine.lock().record_crash(boot_now(), Crash { endpoint, at, suspects });
        self.quarantine_changed.notify_one();
    }

    /// Adds the suspects of this entry to crashes that other entries noticed.
    fn add_suspects_of(&self, report: &QuarantineReport) {
        let now = boot_now();
        for crash in &report.crashes {
            let suspects = self.recent_suspects.lock().take(now, crash.endpoint);
            if !suspects.is_empty() {
                let at = now.saturating_sub(Duration::from_millis(crash.age_ms));
                self.log_crash(&format!("{:016x}", crash.endpoint), &suspects);
                self.add_crash(crash.endpoint, at, &suspects);
            }
        }
    }

    /// Records that an endpoint answered a request, which it began to do at `began_at`, and did not crash.
    pub fn record_answer(&self, began_at: Moment, endpoint: &Endpoint, suspect: &Suspect) {
        let changes = self.quarantine.lock().record_answer(boot_now(), began_at, &suspect.keys);
        if !changes.is_empty() {
            let from = format!("request {} at {}", suspect.request, endpoint.id);
            self.after_quarantine_change(&changes, &from);
        }
    }

    /// Whether crashes speak against a request, and no answer clears it.
    pub fn is_suspected(&self, suspect: &Suspect) -> bool {
        !self.quarantine.lock().suspected(&suspect.keys).is_empty()
    }

    /// Whether a request has to be refused because of its keys.
    pub fn is_quarantined(&self, suspect: &Suspect) -> bool {
        self.quarantine.lock().time_left(boot_now(), &suspect.keys).is_some()
    }

    /// Logs that a request is sent although crashes speak against it.
    pub fn log_suspect_send(&self, endpoint: &Endpoint, suspect: &Suspect) {
        let keys = self.quarantine.lock().suspected(&suspect.keys);
        if !keys.is_empty() {
            event!(self.log, SuspectSent, "request" => suspect.request.as_str(),
                "endpoint" => endpoint.id.as_str(), "keys" => format_keys(&keys));
        }
    }

    /// Applies what other entries reported through the control replica `from`.
    pub fn apply_quarantine_report(&self, report: &QuarantineReport, from: &str) {
        let changes = self.quarantine.lock().apply_report(boot_now(), report);
        self.add_suspects_of(report);
        if let Some(changes) = changes {
            self.after_quarantine_change(&changes, from);
            self.quarantine_changed.notify_one();
        }
    }

    /// Drops what is too old.
    pub fn expire_quarantine(&self) {
        self.recent_suspects.lock().expire(boot_now());
        let changes = self.quarantine.lock().expire(boot_now());
        self.after_quarantine_change(&changes, "time");
    }

    /// Judges the crashes if that is due.
    fn judge_crashes(&self) {
        let now = boot_now();
        let mut quarantine = self.quarantine.lock();
        if quarantine.judge_at().is_some_and(|at| at <= now) {
            let changes = quarantine.judge(now);
            drop(quarantine);
            self.after_quarantine_change(&changes, self.cfg.node.as_str());
        }
    }

    fn after_quarantine_change(&self, changes: &[Change], from: &str) {
        log_changes(&self.log, changes, from);
        let quarantine = self.quarantine.lock();
        self.metrics.quarantined.set(quarantine.refusing_count() as i64);
        if quarantine.has_unreported() || quarantine.judge_at().is_some() {
            self.quarantine_changed.notify_one();
        }
    }

    fn log_crash(&self, endpoint: &str, suspects: &[Arc<Suspect>]) {
        let logged = &suspects[..suspects.len().min(MAX_LOGGED_SUSPECTS)];
        let requests: Vec<&str> = logged.iter().map(|s| s.request.as_str()).collect();
        let parts: Vec<&str> = logged.iter().map(|s| s.prompt_parts.as_str()).collect();
        let keys: Vec<String> = logged.iter().map(|s| format_keys(&s.keys)).collect();
        event!(self.log, EndpointCrashed, "endpoint" => endpoint, "suspects" => suspects.len(),
            "requests" => requests.join(" "), "parts" => parts.join(" "), "keys" => keys.join(" "));
    }
}

/// Judges crashes, and reports to all control replicas what this entry learns of poison requests,
/// until cancelled.
pub async fn run(gateway: Arc<Gateway>, subscriber: Arc<ReplicaSubscriber>, cx: CancellationToken) {
    loop {
        inject("gateway.judge");
        let judge_at = gateway.quarantine.lock().judge_at();
        let time_to_judgement =
            judge_at.map_or(MAX_JUDGE_INTERVAL, |at| at.saturating_sub(boot_now()));
        tokio::select! {
            () = cx.cancelled() => return,
            () = gateway.quarantine_changed.notified() => {}
            () = sleep(time_to_judgement) => {}
        }
        gateway.judge_crashes();
        let mut quarantine = gateway.quarantine.lock();
        if quarantine.has_unreported() {
            let report = quarantine.take_unreported(boot_now());
            drop(quarantine);
            subscriber.send_report(&report);
        }
    }
}
