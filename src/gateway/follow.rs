//! Takes the news of control replicas for a gateway.

use std::net::SocketAddr;
use std::sync::Arc;

use super::share::Others;
use super::state::Gateway;
use crate::clock::boot_now;
use crate::control::subscriber::UpdateListener;
use crate::event;
use crate::wire::{News, Subscribe};

/// Hands news to a gateway and to the task that shares its load.
pub struct GatewayListener {
    /// Gateway.
    pub gateway: Arc<Gateway>,
    /// Load addresses of the other entries.
    pub others: Arc<Others>,
    /// Address at which the gateway takes shared load.
    pub load_address: SocketAddr,
}

impl UpdateListener for GatewayListener {
    fn subscription(&self) -> Subscribe {
        Subscribe {
            node: self.gateway.cfg.node.to_string(),
            load_address: self.load_address.to_string(),
            document_version: self.gateway.version(),
        }
    }

    fn on_connected(&self, control: SocketAddr) {
        event!(self.gateway.log, ControlReachable, "control" => control.to_string());
    }

    fn on_update(&self, control: SocketAddr, news: News) {
        let name = control.to_string();
        if let Some(document) = &news.document {
            self.gateway.take_document(document, &name);
        }
        if news.full || !news.announcements.is_empty() {
            self.gateway.endpoints.lock().hear(&name, news.announcements, news.full);
        }
        if news.load_addresses_changed {
            self.others.replace(&news.load_addresses, self.load_address);
            // An entry that has just started knows no load yet.
            self.gateway.load_changed.notify_one();
        }
    }

    fn on_disconnected(&self, control: SocketAddr) {
        let name = control.to_string();
        self.gateway.endpoints.lock().lose(boot_now(), &name);
        event!(self.gateway.log, ControlUnreachable, "control" => name);
    }

    fn on_removed(&self, control: SocketAddr) {
        self.gateway.endpoints.lock().lose(boot_now(), &control.to_string());
    }
}
