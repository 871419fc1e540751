//! What becomes of a request at the endpoint that it was sent to.

use std::sync::Arc;

use super::super::eligibility::endpoints::Endpoint;
use super::super::state::Gateway;
use super::recent_suspects::Suspect;
use super::watch::{check_lost_endpoint, check_suspected_endpoint};
use crate::clock::boot_now;
use crate::ids::Moment;
use crate::quarantine::endpoint_key;

/// A request from its first byte to an endpoint until it is known what became of it there. One that is
/// dropped before that is a suspect if the endpoint crashes soon.
pub struct OpenSend {
    gateway: Arc<Gateway>,
    endpoint: Endpoint,
    suspect: Arc<Suspect>,
    /// When the head of the response arrived.
    responded_at: Option<Moment>,
    is_over: bool,
}

impl OpenSend {
    /// Begins a send.
    pub fn new(gateway: Arc<Gateway>, endpoint: Endpoint, suspect: Arc<Suspect>) -> Self {
        gateway.log_suspect_send(&endpoint, &suspect);
        Self { gateway, endpoint, suspect, responded_at: None, is_over: false }
    }

    /// Records that the head of the response arrived.
    pub fn mark_responded(&mut self) {
        self.responded_at = Some(boot_now());
    }

    /// Records that the endpoint answered with success, in a way that shows that it ran the request;
    /// it began to at `began_at`, or at the head of the response.
    pub fn record_answer(&mut self, began_at: Option<Moment>) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let began_at = began_at.or(self.responded_at).unwrap_or_else(boot_now);
        self.gateway.record_answer(began_at, &self.endpoint, &self.suspect);
    }

    /// Records that the endpoint is done with the request, which shows nothing: it did not run it, or
    /// answered with an error.
    pub fn finish(&mut self) {
        self.is_over = true;
    }

    /// Records that the connection was lost, which may be a crash.
    pub fn lose(&mut self) {
        if !std::mem::replace(&mut self.is_over, true) {
            self.note();
            check_lost_endpoint(&self.gateway, &self.endpoint);
        }
    }

    fn note(&self) {
        let key = endpoint_key(&self.endpoint.id);
        self.gateway.recent_suspects.lock().note(boot_now(), key, Arc::clone(&self.suspect));
    }
}

impl Drop for OpenSend {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        self.note();
        if self.gateway.is_suspected(&self.suspect) {
            check_suspected_endpoint(&self.gateway, &self.endpoint);
        }
    }
}
