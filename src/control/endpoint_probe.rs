//! Asks endpoints that were declared gone, and go on to announce themselves all the same, whether they run.
//!
//! A departure names no start. One that was held up may end the next start of its endpoint, which that
//! endpoint's announcements and its answer together settle: each of them alone may be late or false.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::iter;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::announcement_relay::RelayedAnnouncement;
use super::hub::Hub;
use super::hub_announcements::Origin;
use crate::clock::boot_now;
use crate::wire::{Announcement, Document};

/// Time that an endpoint has to answer; endpoints themselves give replicas as long.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Endpoints that are asked at the same time.
const CONCURRENT_PROBES: usize = 16;

/// Asks an endpoint whether it runs and is not about to leave.
pub trait EndpointProbe: Send + Sync {
    /// Whether the process at the endpoint's address says that it is this endpoint and does not leave.
    /// `document` names the endpoint's service.
    fn runs(&self, document: &Document, endpoint: &Announcement) -> BoxFuture<'static, bool>;
}

impl Hub {
    /// Asks the endpoints that contradict their end and uses those again that run, until cancelled.
    pub(super) async fn confirm_endpoints(
        self: Arc<Self>,
        probe: Arc<dyn EndpointProbe>,
        cx: CancellationToken,
    ) {
        loop {
            tokio::select! {
                () = cx.cancelled() => return,
                () = self.contested.notified() => {}
            }
            let endpoints = std::mem::take(&mut self.inner.lock().contested);
            let hub = &self;
            let probe = &probe;
            iter(endpoints)
                .for_each_concurrent(CONCURRENT_PROBES, |(_, endpoint)| async move {
                    hub.confirm_endpoint(probe.as_ref(), endpoint).await;
                })
                .await;
        }
    }

    async fn confirm_endpoint(&self, probe: &dyn EndpointProbe, endpoint: Announcement) {
        let document = self.document();
        let runs = timeout(PROBE_TIMEOUT, probe.runs(&document, &endpoint)).await;
        if runs != Ok(true) {
            return;
        }
        let recorded = self.inner.lock().directory.confirm(boot_now(), endpoint.clone());
        self.log_recorded(&endpoint, &recorded);
        let Some(revived) = recorded.changed() else { return };
        let relayed = RelayedAnnouncement { announcement: revived.clone(), ack: None };
        let _ = self.relay.send(relayed);
        self.publish(vec![revived], Origin::Endpoint);
    }
}
