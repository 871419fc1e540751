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
use http_body_util::{BodyExt, Full, Limited};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::eligibility::endpoints::Endpoint;
use super::state::Gateway;
use crate::answer_bounds::{InformationalWatch, is_answer};
use crate::directory::EndpointId;
use crate::event;
use crate::metrics::ReasonLabels;

/// Lease duration of a reservation.
const LEASE_DURATION: Duration = Duration::from_millis(3200);

/// Interval at which reservations are renewed; two attempts fit into the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(1100);

/// Timeout for the response to a reserve or release call.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Attempts to release a reservation; after the last one its lease expires.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

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
    _release_guard: DropGuard,
}

impl Reservation {
    /// Reserves the given tokens at each engine.
    ///
    /// # Errors
    /// The engines that did not grant it; nothing stays reserved.
    pub async fn acquire(
        gateway: &Arc<Gateway>,
        request: &str,
        requested: Vec<(Endpoint, u64)>,
    ) -> Result<Self, Vec<EndpointId>> {
        static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);
        let build = |(endpoint, tokens): (Endpoint, u64)| {
            let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
            let id = format_smolstr!("{}-{request}-{number}", gateway.cfg.node);
            Share { endpoint, id, tokens }
        };
        let shares: Vec<Share> = requested.into_iter().map(build).collect();
        let cx = CancellationToken::new();
        // From here on every share is released on drop, also those whose call got no response.
        let reservation = Self { shares: shares.clone(), _release_guard: cx.clone().drop_guard() };
        tokio::spawn(release_on_cancel(Arc::clone(gateway), shares.clone(), cx.clone()));
        let granted = join_all(shares.iter().map(|s| reserve(gateway, s))).await;
        let all_granted = granted.iter().all(|g| *g);
        event!(gateway.log, MemoryReserved, "request" => request, "granted" => all_granted,
            "engines" => shares.len(),
            "tokens" => shares.iter().map(|s| s.tokens).sum::<u64>());
        let reason = if all_granted { "granted" } else { "refused" };
        let labels = ReasonLabels { reason: reason.into() };
        gateway.metrics.reservations.get_or_create(&labels).inc();
        if !all_granted {
            let answers = shares.into_iter().zip(granted);
            return Err(answers
                .filter(|(_, granted)| !granted)
                .map(|(s, _)| s.endpoint.id)
                .collect());
        }
        tokio::spawn(renew(Arc::clone(gateway), shares, cx));
        Ok(reservation)
    }

    /// Address and reservation id of each engine, as sent to the primary engine.
    pub fn helpers(&self) -> Vec<(String, Option<SmolStr>)> {
        let helper = |s: &Share| (s.endpoint.addr.to_string(), Some(s.id.clone()));
        self.shares.iter().map(helper).collect()
    }
}

async fn renew(gateway: Arc<Gateway>, shares: Vec<Share>, cx: CancellationToken) {
    loop {
        tokio::select! {
            () = cx.cancelled() => return,
            () = sleep(RENEW_INTERVAL) => {}
        }
        tokio::select! {
            () = cx.cancelled() => return,
            _ = join_all(shares.iter().map(|s| reserve(&gateway, s))) => {}
        }
    }
}

async fn release_on_cancel(gateway: Arc<Gateway>, shares: Vec<Share>, cx: CancellationToken) {
    cx.cancelled().await;
    join_all(shares.iter().map(|s| release(&gateway, s))).await;
}

async fn reserve(gateway: &Gateway, share: &Share) -> bool {
    let (path, body) = gateway.dialect.encode_reserve(&share.id, share.tokens, LEASE_DURATION);
    call(gateway, &share.endpoint, &path, body).await == Some(StatusCode::OK)
}

async fn release(gateway: &Gateway, share: &Share) {
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        let (path, body) = gateway.dialect.encode_release(&share.id);
        if call(gateway, &share.endpoint, &path, body).await.is_some() {
            return;
        }
        sleep(CALL_TIMEOUT / 4).await;
    }
}

/// Maximum size of an engine's answer to a call, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Sends a call to an engine and returns the status, or `None` if it got no response.
async fn call(
    gateway: &Gateway,
    endpoint: &Endpoint,
    path: &str,
    body: Vec<u8>,
) -> Option<StatusCode> {
    let exchange = async {
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
        let informational = InformationalWatch::default();
        informational.attach(&mut req);
        let response = tokio::select! {
            response = conn.sender.send_request(req) => response.ok()?,
            () = informational.exceeded() => return None,
        };
        let (parts, body) = response.into_parts();
        if !is_answer(parts.status) {
            return None;
        }
        Limited::new(body, MAX_ANSWER_BYTES).collect().await.ok()?;
        let head = gateway.dialect.decode_response(&parts);
        if head.is_leaving {
            gateway.record_leaving(&endpoint.id);
        }
        if !head.closes_connection {
            gateway.pool.put(conn, head.keep_alive);
        }
        Some(parts.status)
    };
    timeout(CALL_TIMEOUT, exchange).await.ok().flatten()
}
