//! Messages that other processes send to a control replica.

use std::sync::Arc;
use std::time::Duration;

use super::acknowledgements::Acknowledgements;
use super::bootstrap::BootstrapService;
use super::hub::Hub;
use super::packing::unpack_announcements;
use crate::directory::leaves;
use crate::wire::envelope::Body;
use crate::wire::server::{Conn, Handler};
use crate::wire::{Ack, Announcement};

/// Time for which the call of another replica waits until departures are written; it is sent again before that.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Dispatches the messages of a replica's listener: subscriptions and relayed announcements to the
/// hub, bootstrap reports to the bootstrap service, all others to a fallback handler.
pub struct HubHandler {
    /// Handles subscriptions and announcements that other replicas relay.
    pub hub: Arc<Hub>,
    /// Handles the reports of replicas when the whole system starts for the first time.
    pub bootstrap: BootstrapService,
    /// Handles all other messages.
    pub fallback: Arc<dyn Handler>,
}

impl HubHandler {
    /// Applies announcements that another replica relayed. Those that were sent as a call are acknowledged, once departures
    /// among them are written; others have the number 0.
    fn apply(&self, conn: &Conn, call: u64, announcements: Vec<Announcement>) {
        let departures: Vec<Announcement> =
            announcements.iter().filter(|a| leaves(a)).cloned().collect();
        announcements.into_iter().for_each(|a| self.hub.apply_announcement(a));
        if call == 0 {
            return;
        }
        let (ack, written) = Acknowledgements::channel();
        let count = departures.len();
        departures.into_iter().for_each(|departure| self.hub.keep(departure, ack.clone()));
        let conn = conn.clone();
        tokio::spawn(async move {
            if written.wait(count, WRITE_TIMEOUT).await {
                conn.send(call, Body::Ack(Ack {})).await;
            }
        });
    }
}

impl Handler for HubHandler {
    fn on_message(&self, conn: &Conn, call: u64, body: Body) {
        match body {
            Body::Subscribe(subscribe) => self.hub.subscribe(conn, call, subscribe),
            Body::FetchDocument(fetch) => self.hub.send_document(conn, call, fetch),
            Body::QuarantineReport(report) => self.hub.apply_quarantine_report(report),
            Body::Announcement(announcement) => self.apply(conn, call, vec![announcement]),
            Body::PackedAnnouncements(packed) => {
                // Damaged announcements are not acknowledged, so that they are sent again.
                let Ok(announcements) = unpack_announcements(&packed) else { return };
                self.apply(conn, call, announcements);
            }
            Body::RollCall(report) => self.bootstrap.handle_report(conn, call, report),
            other => self.fallback.on_message(conn, call, other),
        }
    }

    fn on_closed(&self, conn: &Conn) {
        self.hub.unsubscribe(conn);
        self.fallback.on_closed(conn);
    }
}
