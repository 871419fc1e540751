//! What is needed to log the end of a request whose task panicked.

use std::sync::Arc;

use smol_str::SmolStr;

use super::active_request::ActiveRequest;
use super::state::Gateway;
use crate::clock::boot_now;
use crate::event;
use crate::ids::Moment;

/// A request in the care of a task.
pub struct RequestWatch {
    gateway: Arc<Gateway>,
    request: SmolStr,
    route: String,
    class: &'static str,
    started: Moment,
}

impl RequestWatch {
    /// Takes note of a request before its task works on it.
    pub fn new(req: &ActiveRequest) -> Self {
        Self {
            gateway: Arc::clone(&req.gateway),
            request: req.caller.id.clone(),
            route: req.route.name.to_string(),
            class: req.prompt_class(),
            started: req.started,
        }
    }

    /// Records that the request ended with a panic of its task; an endpoint may have run it.
    pub fn record_panic(&self) {
        let elapsed = boot_now().saturating_sub(self.started);
        self.gateway.count_request("unknown", self.class, elapsed);
        event!(self.gateway.log, RequestFailed, "request" => self.request.as_str(),
            "route" => self.route.as_str(), "reason" => "a task of this process panicked",
            "ms" => elapsed.as_millis() as u64);
    }
}
