//! Notices crashes of endpoints and the requests under which they happened.
//!
//! A lost connection alone is no crash: endpoints also break off single answers. After a crash
//! nothing listens at the endpoint's address, so that connections are refused.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::sleep;

use super::state::{Endpoint, Gateway};
use crate::directory::EndpointId;
use crate::event;

/// Maximum number of requests that are kept for one crash.
const MAX_SUSPECTS: usize = 64;

/// Delay before the check of an endpoint, in which other requests notice its crash too.
const CHECK_DELAY: Duration = Duration::from_millis(10);

/// Maximum number of requests that the log names for one crash.
const MAX_LOGGED_SUSPECTS: usize = 16;

/// A request whose endpoint may have crashed.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// Id of the request.
    pub request: SmolStr,
    /// Ids of the prompt's parts, for the log.
    pub prompt_parts: String,
}

/// Endpoints that are being checked, with the requests that lost their connection to them.
pub type CheckedEndpoints = HashMap<EndpointId, Vec<Suspect>>;

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
    let connected = gateway.pool.connect(endpoint.addr).await;
    let suspects = gateway.checked_endpoints.lock().remove(&endpoint.id).unwrap_or_default();
    match connected {
        Ok(conn) => gateway.pool.put(conn, None),
        Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
            gateway.record_crash(&endpoint, &suspects);
        }
        // An endpoint that cannot be reached may be cut off.
        Err(_) => {}
    }
}

impl Gateway {
    /// Logs the crash of an endpoint with these requests among the suspects.
    fn record_crash(&self, endpoint: &Endpoint, suspects: &[Suspect]) {
        self.metrics.crashes.inc();
        let logged = &suspects[..suspects.len().min(MAX_LOGGED_SUSPECTS)];
        let requests: Vec<&str> = logged.iter().map(|s| s.request.as_str()).collect();
        let parts: Vec<&str> = logged.iter().map(|s| s.prompt_parts.as_str()).collect();
        event!(self.log, EndpointCrashed, "endpoint" => endpoint.id.as_str(),
            "address" => endpoint.addr.to_string(), "suspects" => suspects.len(),
            "requests" => requests.join(" "), "parts" => parts.join(" "));
    }
}
