//! Exchanges the sends in flight with other entries, in UDP datagrams that each replace the
//! previous one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::state::Gateway;
use crate::clock::{boot_now, wall_ms};
use crate::wire::SharedLoad;

/// Delay in which further changes are combined into one datagram.
const COALESCE_DELAY: Duration = Duration::from_millis(2);

/// Interval at which the load is sent even if nothing changed.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum size of a datagram in bytes; larger loads are not sent.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Load addresses of the other entries.
#[derive(Default)]
pub struct LoadPeers {
    addresses: Mutex<Vec<SocketAddr>>,
}

impl LoadPeers {
    /// Replaces the addresses; `own` is left out.
    pub fn replace(&self, listed: &[String], own: SocketAddr) {
        let addresses = listed.iter().filter_map(|a| a.parse().ok());
        *self.addresses.lock() = addresses.filter(|a| *a != own).collect();
    }
}

/// Sends this entry's load to the other entries whenever it changes.
pub async fn send_load(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    peers: Arc<LoadPeers>,
    cx: CancellationToken,
) {
    let (incarnation, mut seq) = (wall_ms(), 0);
    while !cx.is_cancelled() {
        let _ = timeout(RESEND_INTERVAL, gateway.load_changed.notified()).await;
        sleep(COALESCE_DELAY).await;
        seq += 1;
        let now = boot_now();
        let flights = gateway.in_flight.lock().encode_local(now);
        let node = gateway.cfg.node.to_string();
        let data = SharedLoad { node, incarnation, seq, flights }.encode_to_vec();
        if data.len() > MAX_DATAGRAM_BYTES {
            continue;
        }
        let targets = peers.addresses.lock().clone();
        for addr in targets {
            // A lost datagram is replaced by the next one.
            let _ = socket.try_send_to(&data, addr);
        }
    }
}

/// Receives the load of other entries.
pub async fn receive_load(gateway: Arc<Gateway>, socket: Arc<UdpSocket>, cx: CancellationToken) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            () = cx.cancelled() => return,
            received = socket.recv_from(&mut buf) => received,
        };
        let Ok((len, _)) = received else { continue };
        if let Ok(load) = SharedLoad::decode(&buf[..len]) {
            gateway.in_flight.lock().apply_report(boot_now(), load);
        }
    }
}
