//! KV cache reserved at several engines for a prompt that fits into none of them.
//!
//! A reservation is a lease that this process renews, so it expires soon after the process has
//! died.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::state::{Endpoint, Gateway};
use crate::event;
use crate::metrics::ReasonLabels;

/// Lease duration of a reservation.
const HOLD: Duration = Duration::from_millis(3200);

/// Interval at which reservations are renewed; two attempts fit into the lease.
const RENEW: Duration = Duration::from_millis(1100);

/// Timeout for the response to a reserve or release call.
const ORDER_LIMIT: Duration = Duration::from_millis(700);

/// Attempts to release a reservation; after the last one its lease expires.
const RELEASE_TRIES: u32 = 3;

/// Reservation at one engine.
#[derive(Clone, Debug)]
struct Share {
    endpoint: Endpoint,
    id: SmolStr,
    tokens: u64,
}

/// KV cache held at several engines; dropping it releases all shares.
pub struct Reservation {
    shares: Vec<Share>,
    _renewing: DropGuard,
}

impl Reservation {
    /// Reserves the given tokens at each engine; `None` unless all of them grant it.
    pub async fn make(
        gateway: &Arc<Gateway>,
        request: &str,
        wanted: Vec<(Endpoint, u64)>,
    ) -> Option<Self> {
        static NUMBERS: AtomicU64 = AtomicU64::new(1);
        let build = |(endpoint, tokens): (Endpoint, u64)| {
            let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
            let id = format_smolstr!("{}-{request}-{number}", gateway.cfg.node);
            Share { endpoint, id, tokens }
        };
        let shares: Vec<Share> = wanted.into_iter().map(build).collect();
        let cx = CancellationToken::new();
        // From here on every share is released on drop, also those whose call got no response.
        let held = Self { shares: shares.clone(), _renewing: cx.clone().drop_guard() };
        tokio::spawn(end_when_dropped(Arc::clone(gateway), shares.clone(), cx.clone()));
        let granted = join_all(shares.iter().map(|s| reserve(gateway, s))).await;
        let whole = granted.iter().all(|g| *g);
        event!(gateway.log, MemoryReserved, "request" => request, "granted" => whole,
            "engines" => shares.len(),
            "tokens" => shares.iter().map(|s| s.tokens).sum::<u64>());
        let reason = if whole { "granted" } else { "refused" };
        let labels = ReasonLabels { reason: reason.into() };
        gateway.metrics.reservations.get_or_create(&labels).inc();
        if !whole {
            return None;
        }
        tokio::spawn(renew(Arc::clone(gateway), shares, cx));
        Some(held)
    }

    /// Address and reservation id of each engine, as sent to the primary engine.
    pub fn helpers(&self) -> Vec<(String, Option<SmolStr>)> {
        let named = |s: &Share| (s.endpoint.addr.to_string(), Some(s.id.clone()));
        self.shares.iter().map(named).collect()
    }
}

async fn renew(gateway: Arc<Gateway>, shares: Vec<Share>, cx: CancellationToken) {
    loop {
        tokio::select! {
            () = cx.cancelled() => return,
            () = sleep(RENEW) => {}
        }
        tokio::select! {
            () = cx.cancelled() => return,
            _ = join_all(shares.iter().map(|s| reserve(&gateway, s))) => {}
        }
    }
}

async fn end_when_dropped(gateway: Arc<Gateway>, shares: Vec<Share>, cx: CancellationToken) {
    cx.cancelled().await;
    join_all(shares.iter().map(|s| release(&gateway, s))).await;
}

async fn reserve(gateway: &Gateway, share: &Share) -> bool {
    let (path, body) = gateway.dialect.encode_reserve(&share.id, share.tokens, HOLD);
    order(gateway, &share.endpoint, &path, body).await == Some(StatusCode::OK)
}

async fn release(gateway: &Gateway, share: &Share) {
    for _ in 0..RELEASE_TRIES {
        let (path, body) = gateway.dialect.encode_release(&share.id);
        if order(gateway, &share.endpoint, &path, body).await.is_some() {
            return;
        }
        sleep(ORDER_LIMIT / 4).await;
    }
}

/// Sends a call to an engine and returns the status, or `None` if it got no response.
async fn order(
    gateway: &Gateway,
    endpoint: &Endpoint,
    path: &str,
    body: Vec<u8>,
) -> Option<StatusCode> {
    let sending = async {
        let mut conn = match gateway.pool.take(endpoint.addr) {
            Some(conn) => conn,
            None => gateway.pool.connect(endpoint.addr).await.ok()?,
        };
        let host = HeaderValue::from_str(&endpoint.addr.to_string()).ok()?;
        let mut req = Request::post(path).body(Full::new(Bytes::from(body))).ok()?;
        req.headers_mut().insert(header::HOST, host);
        let json = HeaderValue::from_static("application/json");
        req.headers_mut().insert(header::CONTENT_TYPE, json);
        conn.sender.ready().await.ok()?;
        let (parts, body) = conn.sender.send_request(req).await.ok()?.into_parts();
        body.collect().await.ok()?;
        let head = gateway.dialect.decode_answer(&parts);
        if !head.closes {
            gateway.pool.give_back(conn, head.keep_alive);
        }
        Some(parts.status)
    };
    timeout(ORDER_LIMIT, sending).await.ok().flatten()
}
