//! Applies the updates of control replicas to a gateway.

use std::net::SocketAddr;
use std::sync::Arc;

use super::load::load_exchange::LoadPeers;
use super::state::Gateway;
use crate::clock::boot_now;
use crate::control::document_fetcher::DocumentFetch;
use crate::control::subscriber::UpdateListener;
use crate::event;
use crate::wire::{News, QuarantineReport, Subscribe};

/// Listener that applies updates of control replicas to a gateway and to the list of load peers.
pub struct GatewayListener {
    /// Gateway that the updates are applied to.
    pub gateway: Arc<Gateway>,
    /// Addresses that this entry's load is sent to.
    pub peers: Arc<LoadPeers>,
    /// Address at which the gateway receives the load of other entries.
    pub load_address: SocketAddr,
}

impl UpdateListener for GatewayListener {
    fn subscription(&self) -> Subscribe {
        Subscribe {
            node: self.gateway.cfg.node.to_string(),
            load_address: self.load_address.to_string(),
            document_version: self.gateway.config_version(),
            fetches_documents: true,
            ..Subscribe::default()
        }
    }

    fn held_version(&self) -> u64 {
        self.gateway.config_version()
    }

    fn on_fetched(&self, control: SocketAddr, fetch: &DocumentFetch) {
        let (control, ms) = (control.to_string(), fetch.elapsed.as_millis() as u64);
        match &fetch.failure {
            None => event!(self.gateway.log, DocumentFetched, "control" => control,
                "version" => fetch.version, "bytes" => fetch.bytes, "ms" => ms),
            Some(reason) => event!(self.gateway.log, DocumentFetchFailed, "control" => control,
                "version" => fetch.version, "bytes" => fetch.bytes, "ms" => ms,
                "reason" => reason.as_str()),
        }
    }

    fn on_connected(&self, control: SocketAddr) {
        event!(self.gateway.log, ControlReachable, "control" => control.to_string());
    }

    fn report(&self) -> Option<QuarantineReport> {
        Some(self.gateway.quarantine.lock().report_all(boot_now()))
    }

    fn on_update(&self, control: SocketAddr, update: News) {
        let name = control.to_string();
        if let Some(report) = &update.quarantine {
            self.gateway.apply_quarantine_report(report, &name);
        }
        // Comes before the document: without one, nothing is sent.
        if let Some(drains) = &update.zone_drains {
            self.gateway.apply_zone_drains(drains, &name);
        }
        if let Some(document) = &update.document {
            self.gateway.apply_document(document, &name);
        }
        self.record_cold_state(control, &update);
        if update.full || !update.announcements.is_empty() {
            self.gateway.endpoints.lock().apply_update(&name, update.announcements, update.full);
            self.gateway.update_evidence_starts();
        }
        if update.load_addresses_changed {
            self.peers.replace(control, &update.load_addresses, self.load_address);
            // Sends the load at once, because an entry that has just started knows of none.
            self.gateway.load_changed.notify_one();
        }
    }

    fn on_disconnected(&self, control: SocketAddr) {
        let name = control.to_string();
        self.gateway.endpoints.lock().mark_lost(boot_now(), &name);
        self.peers.forget(control);
        self.gateway.cold.lock().view().forget(boot_now(), control);
        event!(self.gateway.log, ControlUnreachable, "control" => name);
    }

    fn on_removed(&self, control: SocketAddr) {
        self.gateway.endpoints.lock().mark_lost(boot_now(), &control.to_string());
        self.peers.forget(control);
        self.gateway.cold.lock().view().forget(boot_now(), control);
    }
}

impl GatewayListener {
    /// Applies what an update says of cold endpoints and of the entries that share their room.
    fn record_cold_state(&self, control: SocketAddr, update: &News) {
        let (mut cold, now) = (self.gateway.cold.lock(), boot_now());
        for announcement in &update.announcements {
            cold.record_announcement(now, announcement);
        }
        if !update.replicas.is_empty() {
            let voters = update.replicas.iter().filter(|r| r.voter);
            cold.view().apply_voters(now, control, parse_addresses(voters.map(|r| &r.address)));
        }
        if update.load_addresses_changed {
            let listed = parse_addresses(update.load_addresses.iter());
            cold.view().apply_list(now, control, self.load_address, &listed);
        }
    }
}

/// Parses the addresses of replicas or entries; what is no address is left out.
fn parse_addresses<'a>(texts: impl Iterator<Item = &'a String>) -> Vec<SocketAddr> {
    texts.filter_map(|text| text.parse().ok()).collect()
}
