//! Messages that other processes send to a control replica.

use std::sync::Arc;

use super::bootstrap::BootstrapService;
use super::hub::Hub;
use super::packing::unpack_announcements;
use crate::wire::Ack;
use crate::wire::envelope::Body;
use crate::wire::server::{Conn, Handler};

/// Acknowledges announcements that were sent as a call; others have the number 0.
fn acknowledge(conn: &Conn, call: u64) {
    if call == 0 {
        return;
    }
    let conn = conn.clone();
    tokio::spawn(async move { conn.send(call, Body::Ack(Ack {})).await });
}

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

impl Handler for HubHandler {
    fn on_message(&self, conn: &Conn, call: u64, body: Body) {
        match body {
            Body::Subscribe(subscribe) => self.hub.subscribe(conn, call, subscribe),
            Body::FetchDocument(fetch) => self.hub.send_document(conn, call, fetch),
            Body::QuarantineReport(report) => self.hub.apply_quarantine_report(report),
            Body::Announcement(announcement) => {
                self.hub.apply_announcement(announcement);
                acknowledge(conn, call);
            }
            Body::PackedAnnouncements(packed) => {
                // Damaged announcements are not acknowledged, so that they are sent again.
                let Ok(announcements) = unpack_announcements(&packed) else { return };
                announcements.into_iter().for_each(|a| self.hub.apply_announcement(a));
                acknowledge(conn, call);
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
