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
const GATHER: Duration = Duration::from_millis(2);

/// Interval at which the load is sent even if nothing changed.
const REPEAT: Duration = Duration::from_millis(500);

/// Maximum size of a datagram in bytes; larger loads are not sent.
const MOST_BYTES: usize = 60_000;

/// Load addresses of the other entries.
#[derive(Default)]
pub struct Others {
    addresses: Mutex<Vec<SocketAddr>>,
}

impl Others {
    /// Replaces the addresses; `own` is left out.
    pub fn replace(&self, told: &[String], own: SocketAddr) {
        let all = told.iter().filter_map(|a| a.parse().ok());
        *self.addresses.lock() = all.filter(|a| *a != own).collect();
    }
}

/// Sends this entry's load to the other entries whenever it changes.
pub async fn tell(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    others: Arc<Others>,
    cx: CancellationToken,
) {
    let (incarnation, mut seq) = (wall_ms(), 0);
    while !cx.is_cancelled() {
        let _ = timeout(REPEAT, gateway.load_changed.notified()).await;
        sleep(GATHER).await;
        seq += 1;
        let now = boot_now();
        let flights = gateway.in_flight.lock().encode_local(now);
        let node = gateway.cfg.node.to_string();
        let data = SharedLoad { node, incarnation, seq, flights }.encode_to_vec();
        if data.len() > MOST_BYTES {
            continue;
        }
        let targets = others.addresses.lock().clone();
        for addr in targets {
            // A lost datagram is replaced by the next one.
            let _ = socket.try_send_to(&data, addr);
        }
    }
}

/// Receives the load of other entries.
pub async fn hear(gateway: Arc<Gateway>, socket: Arc<UdpSocket>, cx: CancellationToken) {
    let mut buf = vec![0; MOST_BYTES];
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
