//! Notices crashes of endpoints and the requests under which they happened.
//!
//! A lost connection alone is no crash: endpoints also break off single answers. After a crash
//! nothing listens at the endpoint's address, so that connections are refused.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use http::{header, request, response};
use smol_str::SmolStr;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::dialect::CallerHead;
use super::eligibility::endpoints::Endpoint;
use super::state::Gateway;
use crate::clock::boot_now;
use crate::control::subscriber::ReplicaSubscriber;
use crate::directory::EndpointId;
use crate::event;
use crate::quarantine::{
    Change, Crash, MAX_KEYS, MAX_SUSPECTS, SuspectKey, endpoint_key, format_keys, log_changes,
    prompt_part_key, request_key,
};
use crate::wire::QuarantineReport;

/// Delay before the check of an endpoint, in which other requests notice its crash too.
const CHECK_DELAY: Duration = Duration::from_millis(10);

/// Longest time between two looks for crashes to judge.
const MAX_JUDGE_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum number of requests that the log names for one crash.
const MAX_LOGGED_SUSPECTS: usize = 16;

/// A request whose endpoint may have crashed.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// Id of the request.
    pub request: SmolStr,
    /// Ids of the prompt's parts, for the log.
    pub prompt_parts: String,
    /// Properties of the request that may have caused a crash.
    pub keys: Vec<SuspectKey>,
}

/// Endpoints that are being checked, with the requests that lost their connection to them.
pub type CheckedEndpoints = HashMap<EndpointId, Vec<Suspect>>;

/// Properties of a request that may crash endpoints: the whole of it, and the parts of its prompt
/// that others may share.
pub fn suspect_keys(caller: &CallerHead, head: &request::Parts, body: &[u8]) -> Vec<SuspectKey> {
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    let key = caller.key.as_deref().unwrap_or_default();
    let whole = request_key(head.method.as_str(), &caller.host, target, key, body);
    let shared = caller.prompt_parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let parts = shared.iter().take(MAX_KEYS - 1).map(|id| prompt_part_key(id));
    std::iter::once(whole).chain(parts).collect()
}

/// Whether the end of a body is told apart from a lost connection.
pub fn tells_its_end(head: &response::Parts) -> bool {
    head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Checks whether an endpoint crashed, after a request has lost its connection to it.
pub fn check_endpoint(gateway: &Arc<Gateway>, endpoint: &Endpoint, suspect: Suspect) {
    let mut checked = gateway.checked_endpoints.lock();
    if let Some(suspects) = checked.get_mut(&endpoint.id) {
        if suspects.len() < MAX_SUSPECTS {
            suspects.push(suspect);
        }
        return;
    }
    checked.insert(endpoint.id.clone(), vec![suspect]);
    drop(checked);
    tokio::spawn(check(Arc::clone(gateway), endpoint.clone()));
}

async fn check(gateway: Arc<Gateway>, endpoint: Endpoint) {
    sleep(CHECK_DELAY).await;
    if !gateway.may_probe(&endpoint) {
        gateway.checked_endpoints.lock().remove(&endpoint.id);
        return;
    }
    let connected = gateway.pool.connect(endpoint.addr).await;
    let suspects = gateway.checked_endpoints.lock().remove(&endpoint.id).unwrap_or_default();
    match connected {
        Ok(conn) => gateway.pool.put(conn, None),
        Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
            gateway.record_crash(&endpoint, suspects);
        }
        // An endpoint that cannot be reached may be cut off.
        Err(_) => {}
    }
}

impl Gateway {
    /// Records the crash of an endpoint with these requests among the suspects.
    fn record_crash(&self, endpoint: &Endpoint, suspects: Vec<Suspect>) {
        let now = boot_now();
        self.metrics.crashes.inc();
        self.log_crash(endpoint, &suspects);
        self.cold.lock().record_crash(now, &endpoint.id);
        let suspects = suspects.into_iter().map(|s| s.keys).collect();
        let crash = Crash { endpoint: endpoint_key(&endpoint.id), at: now, suspects };
        self.quarantine.lock().record_crash(now, crash);
        self.quarantine_changed.notify_one();
    }

    /// Records that an endpoint answered a request with these keys and did not crash.
    pub fn record_answer(&self, keys: &[SuspectKey]) {
        let changes = self.quarantine.lock().record_answer(boot_now(), keys);
        self.after_quarantine_change(&changes, self.cfg.node.as_str());
    }

    /// Applies what other entries reported through the control replica `from`.
    pub fn apply_quarantine_report(&self, report: &QuarantineReport, from: &str) {
        let changes = self.quarantine.lock().apply_report(boot_now(), report);
        if let Some(changes) = changes {
            self.after_quarantine_change(&changes, from);
            self.quarantine_changed.notify_one();
        }
    }

    /// Drops what is too old.
    pub fn expire_quarantine(&self) {
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

    fn log_crash(&self, endpoint: &Endpoint, suspects: &[Suspect]) {
        let logged = &suspects[..suspects.len().min(MAX_LOGGED_SUSPECTS)];
        let requests: Vec<&str> = logged.iter().map(|s| s.request.as_str()).collect();
        let parts: Vec<&str> = logged.iter().map(|s| s.prompt_parts.as_str()).collect();
        let keys: Vec<String> = logged.iter().map(|s| format_keys(&s.keys)).collect();
        event!(self.log, EndpointCrashed, "endpoint" => endpoint.id.as_str(),
            "address" => endpoint.addr.to_string(), "suspects" => suspects.len(),
            "requests" => requests.join(" "), "parts" => parts.join(" "), "keys" => keys.join(" "));
    }
}

/// Judges crashes, and reports to all control replicas what this entry learns of poison requests,
/// until cancelled.
pub async fn run(gateway: Arc<Gateway>, subscriber: Arc<ReplicaSubscriber>, cx: CancellationToken) {
    loop {
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
