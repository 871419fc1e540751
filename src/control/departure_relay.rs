//! Delivers the announcements of endpoints that leave to one other replica, and repeats them until
//! that replica acknowledges them.
//!
//! An endpoint repeats that it is ready, but not that it is gone.

use std::sync::Arc;
use std::time::Duration;

use futures::future::try_join_all;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::acknowledgements::AckSender;
use super::packing::pack_announcements;
use super::replica_link::ReplicaLink;
use crate::clock::boot_now;
use crate::ids::Moment;
use crate::wire::Announcement;
use crate::wire::envelope::Body;
use crate::wire::link::Link;

/// Time that a replica has to acknowledge departures; well under the second after which endpoints call another one.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay before a departure is sent again that was not acknowledged.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// Time for which a departure is repeated. A replica that was cut off for longer has heard nothing
/// else of the endpoint either, which then counts as silent there.
const DEPARTURE_TTL: Duration = Duration::from_secs(10);

/// The same for a departure that names no start of its endpoint: it must not end a later one.
const UNNAMED_DEPARTURE_TTL: Duration = Duration::from_millis(700);

/// The announcement of an endpoint that leaves, on its way to another replica.
pub(super) struct Departure {
    pub(super) announcement: Announcement,
    pub(super) received_at: Moment,
    pub(super) ack: AckSender,
}

impl Departure {
    fn is_expired(&self, now: Moment) -> bool {
        let names_start = self.announcement.born > 0;
        let ttl = if names_start { DEPARTURE_TTL } else { UNNAMED_DEPARTURE_TTL };
        now.saturating_sub(self.received_at) >= ttl
    }
}

/// Delivers departures until the sender is dropped. Those that arrive while others are on their way
/// are sent together.
pub(super) async fn deliver_departures(
    link: Arc<ReplicaLink>,
    mut rx: mpsc::UnboundedReceiver<Departure>,
) {
    let mut pending: Vec<Departure> = Vec::new();
    loop {
        if pending.is_empty() {
            let Some(first) = rx.recv().await else { return };
            pending.push(first);
        }
        while let Ok(next) = rx.try_recv() {
            pending.push(next);
        }
        let now = boot_now();
        pending.retain(|departure| !departure.is_expired(now));
        if deliver(&link, &pending).await {
            for departure in pending.drain(..) {
                // The endpoint's call may have ended already.
                let _ = departure.ack.send(());
            }
        } else {
            sleep(RESEND_DELAY).await;
        }
    }
}

/// Sends departures and waits until the replica has acknowledged all of them.
async fn deliver(link: &ReplicaLink, departures: &[Departure]) -> bool {
    let Some(link) = link.connected().await else { return false };
    let announcements: Vec<Announcement> =
        departures.iter().map(|departure| departure.announcement.clone()).collect();
    let messages = build_messages(&link, announcements);
    if !link.peer().acknowledges_announcements {
        // Earlier builds acknowledge nothing; to them, what was sent counts as delivered.
        return messages.into_iter().all(|message| link.try_send(message));
    }
    let replies = messages.into_iter().map(|message| link.request(message, DELIVERY_TIMEOUT));
    try_join_all(replies).await.is_ok()
}

fn build_messages(link: &Link, announcements: Vec<Announcement>) -> Vec<Body> {
    let packed = link.peer().reads_packed.then(|| pack_announcements(&announcements)).flatten();
    match packed {
        Some(packed) => vec![Body::PackedAnnouncements(packed)],
        None => announcements.into_iter().map(Body::Announcement).collect(),
    }
}
