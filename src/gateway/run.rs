//! Starts and ends a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ::http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::answers::{self, AnswerBody};
use super::follow::GatewayListener;
use super::handler;
use super::share::{self, Others};
use super::state::Gateway;
use crate::clock::boot_now;
use crate::control::service::{SeedSource, build_link_config};
use crate::control::subscriber::{ReplicaSubscriber, UpdateListener};
use crate::event;
use crate::http::{self, Readiness};
use crate::process::{self, RunError, ShutdownSignals};

/// Interval at which old state is dropped.
const SWEEP: Duration = Duration::from_millis(1000);

/// Smallest buffer for the head of a request that the library takes, in bytes.
const LEAST_HEAD: usize = 8192;

/// Time of a stop in which connections stay open, so that callers learn of it by an answer.
const ANNOUNCE: Duration = Duration::from_millis(2600);

/// Part of the time for a stop that is kept to end the process.
const END_MARGIN: Duration = Duration::from_millis(250);

/// Addresses of a gateway, and its time to stop.
#[derive(Clone)]
pub struct GatewayAddresses {
    /// Callers.
    pub callers: SocketAddr,
    /// Readiness probes.
    pub ready: SocketAddr,
    /// Load of other entries.
    pub load: SocketAddr,
    /// Metrics and probes.
    pub metrics: SocketAddr,
    /// Longest time to stop.
    pub grace: Duration,
}

/// Runs a gateway until it is told to end.
///
/// # Errors
/// An address could not be bound.
pub async fn run(
    gateway: Arc<Gateway>,
    addresses: GatewayAddresses,
    seeds: SeedSource,
) -> Result<(), RunError> {
    let mut signals = ShutdownSignals::new()?;
    let (callers, _) = process::bind(addresses.callers).await?;
    let (ready, _) = process::bind(addresses.ready).await?;
    let socket = UdpSocket::bind(addresses.load).await;
    let socket =
        Arc::new(socket.map_err(|source| RunError::Listen { addr: addresses.load, source })?);
    let cx = CancellationToken::new();
    let others = Arc::new(Others::default());
    let listener = Arc::new(GatewayListener {
        gateway: Arc::clone(&gateway),
        others: Arc::clone(&others),
        load_address: addresses.load,
    });
    let link = build_link_config(&gateway.cfg.node, "entry");
    let subscriber = ReplicaSubscriber::new(listener as Arc<dyn UpdateListener>, link, cx.clone());
    tokio::spawn(subscriber.run(seeds));
    tokio::spawn(share::tell(Arc::clone(&gateway), Arc::clone(&socket), others, cx.clone()));
    tokio::spawn(share::hear(Arc::clone(&gateway), socket, cx.clone()));
    let (metrics, _) = process::bind(addresses.metrics).await?;
    let readiness = Readiness::default();
    let probes =
        http::add_probes(viz::Router::new(), readiness.clone(), Arc::clone(&gateway.metrics));
    tokio::spawn(http::serve(metrics, probes, cx.clone()));
    tokio::spawn(sweep(Arc::clone(&gateway), readiness, cx.clone()));
    tokio::spawn(serve_ready(ready, Arc::clone(&gateway)));
    let serving = tokio::spawn(serve_callers(callers, Arc::clone(&gateway)));
    event!(gateway.log, ProcessStarted, "address" => addresses.callers.to_string());
    signals.next().await;
    let under_way = gateway.in_flight.lock().local_count();
    event!(gateway.log, ProcessDraining, "under_way" => under_way);
    gateway.stopping.cancel();
    let started = boot_now();
    sleep(ANNOUNCE.min(addresses.grace / 2)).await;
    gateway.closing.cancel();
    let passed = boot_now().saturating_sub(started);
    let left = addresses.grace.saturating_sub(passed + END_MARGIN);
    if timeout(left, serving).await.is_err() {
        let under_way = gateway.in_flight.lock().local_count();
        event!(gateway.log, DrainCutShort, "under_way" => under_way);
    }
    cx.cancel();
    event!(gateway.log, ProcessStopped);
    Ok(())
}

async fn sweep(gateway: Arc<Gateway>, readiness: Readiness, cx: CancellationToken) {
    while !cx.is_cancelled() {
        sleep(SWEEP).await;
        readiness.set(is_ready(&gateway));
        gateway.pool.sweep();
        gateway.in_flight.lock().expire(boot_now());
        gateway.endpoints.lock().sweep(boot_now());
        gateway.metrics.in_flight.set(gateway.in_flight.lock().local_count() as i64);
        gateway.metrics.entries.set(gateway.in_flight.lock().entry_count() as i64);
        let endpoints = gateway.endpoints.lock();
        gateway.metrics.endpoints.set(endpoints.count() as i64);
        gateway.health.lock().retain(|id| endpoints.is_ready(id));
    }
}

/// Accepts callers until told to close, then lets open requests end.
async fn serve_callers(listener: TcpListener, gateway: Arc<Gateway>) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = gateway.closing.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => serve_caller(stream, &gateway, &graceful),
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_caller(stream: TcpStream, gateway: &Arc<Gateway>, graceful: &GracefulShutdown) {
    let _ = stream.set_nodelay(true);
    let limits = gateway.config.load().as_ref().map(|c| c.limits.clone()).unwrap_or_default();
    let gateway = Arc::clone(gateway);
    let service = service_fn(move |req| handler::handle(Arc::clone(&gateway), req));
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(LEAST_HEAD))
        .serve_connection(TokioIo::new(stream), service);
    let conn = graceful.watch(conn);
    tokio::spawn(async move {
        // A caller that leaves or sends no HTTP ends only its own connection.
        let _ = conn.await;
    });
}

async fn serve_ready(listener: TcpListener, gateway: Arc<Gateway>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let gateway = Arc::clone(&gateway);
        tokio::spawn(async move {
            let service = service_fn(move |req| answer_ready(Arc::clone(&gateway), req));
            let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let _ = conn.await;
        });
    }
}

fn is_ready(gateway: &Gateway) -> bool {
    gateway.config.load().is_some() && !gateway.stopping.is_cancelled()
}

async fn answer_ready(
    gateway: Arc<Gateway>,
    _req: Request<Incoming>,
) -> Result<Response<AnswerBody>, std::convert::Infallible> {
    let ready = is_ready(&gateway);
    let mut answer = Response::new(answers::full(bytes::Bytes::new()));
    if !ready {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(answer)
}
