//! Start and shutdown of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ::http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::caller_stream::{CallerConnection, CallerStream};
use super::control_updates::GatewayListener;
use super::crashes::watch;
use super::handler;
use super::load::load_exchange::{self, LoadPeers};
use super::pool::MAX_UNSENT_BYTES;
use super::queueing;
use super::responses::{self, ResponseBody};
use super::state::Gateway;
use crate::clock::boot_now;
use crate::control::service::{SeedSource, build_link_config};
use crate::control::subscriber::{ReplicaSubscriber, UpdateListener};
use crate::event;
use crate::http::{self, Readiness};
use crate::process::{self, RunError, ShutdownSignals};
use crate::tasks::{spawn_essential, spawn_restarting};

/// Interval at which expired state is dropped and gauges are updated.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(1000);

/// Minimum buffer size for a request head that hyper accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;

/// Time after the stop signal in which connections are still accepted, so that callers learn of
/// the shutdown from a response.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(2600);

/// Time reserved at the end of the grace period for ending the process.
const EXIT_MARGIN: Duration = Duration::from_millis(250);

/// Addresses that a gateway listens on, and its grace period.
#[derive(Clone)]
pub struct GatewayAddresses {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for readiness probes.
    pub ready: SocketAddr,
    /// UDP address for the load of other entries.
    pub load: SocketAddr,
    /// Address for metrics and probes.
    pub metrics: SocketAddr,
    /// Maximum time from the stop signal to the end of the process.
    pub grace: Duration,
}

/// Runs a gateway until the process is told to stop.
///
/// # Errors
/// Fails if an address cannot be bound.
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
    let peers = Arc::new(LoadPeers::default());
    let listener = Arc::new(GatewayListener {
        gateway: Arc::clone(&gateway),
        peers: Arc::clone(&peers),
        load_address: addresses.load,
    });
    let link = build_link_config(&gateway.cfg.node, "entry");
    let subscriber = ReplicaSubscriber::new(listener as Arc<dyn UpdateListener>, link, cx.clone());
    let log = || gateway.log.clone();
    spawn_restarting("judge of crashes", log(), {
        let (gateway, subscriber, cx) = (Arc::clone(&gateway), Arc::clone(&subscriber), cx.clone());
        move || watch::run(Arc::clone(&gateway), Arc::clone(&subscriber), cx.clone())
    });
    spawn_essential("subscriber of control", log(), subscriber.run(seeds));
    spawn_load_exchange(&gateway, socket, peers, &cx);
    spawn_restarting("turns of waiting requests", log(), {
        let (gateway, cx) = (Arc::clone(&gateway), cx.clone());
        move || queueing::run(Arc::clone(&gateway), cx.clone())
    });
    let (metrics, _) = process::bind(addresses.metrics).await?;
    let readiness = Readiness::default();
    let probes =
        http::add_probes(viz::Router::new(), readiness.clone(), Arc::clone(&gateway.metrics));
    spawn_essential("metrics", log(), http::serve(metrics, probes, cx.clone()));
    spawn_restarting("maintenance", log(), {
        let (gateway, cx) = (Arc::clone(&gateway), cx.clone());
        move || run_maintenance(Arc::clone(&gateway), readiness.clone(), cx.clone())
    });
    spawn_essential("readiness", log(), serve_ready(ready, Arc::clone(&gateway)));
    let serving = serve_callers(callers, Arc::clone(&gateway));
    let callers_task = spawn_essential("callers", log(), serving);
    event!(gateway.log, ProcessStarted, "address" => addresses.callers.to_string());
    signals.next().await;
    let in_flight_count = gateway.in_flight.lock().local_count();
    event!(gateway.log, ProcessDraining, "under_way" => in_flight_count);
    gateway.stopping.cancel();
    let started = boot_now();
    sleep(SHUTDOWN_NOTICE.min(addresses.grace / 2)).await;
    gateway.closing.cancel();
    let elapsed = boot_now().saturating_sub(started);
    let remaining = addresses.grace.saturating_sub(elapsed + EXIT_MARGIN);
    if timeout(remaining, callers_task).await.is_err() {
        let in_flight_count = gateway.in_flight.lock().local_count();
        event!(gateway.log, DrainCutShort, "under_way" => in_flight_count);
    }
    cx.cancel();
    event!(gateway.log, ProcessStopped);
    Ok(())
}

/// Starts to send the load of this entry to the others, if the policy says so, and to receive theirs.
fn spawn_load_exchange(
    gateway: &Arc<Gateway>,
    socket: Arc<UdpSocket>,
    peers: Arc<LoadPeers>,
    cx: &CancellationToken,
) {
    let parts = (Arc::clone(gateway), socket, peers, cx.clone());
    if gateway.cfg.policy.load_exchange {
        let parts = parts.clone();
        spawn_restarting("load to other entries", gateway.log.clone(), move || {
            let (gateway, socket, peers, cx) = parts.clone();
            load_exchange::send_load(gateway, socket, peers, cx)
        });
    }
    spawn_restarting("load of other entries", gateway.log.clone(), move || {
        let (gateway, socket, peers, cx) = parts.clone();
        load_exchange::receive_load(gateway, socket, peers, cx)
    });
}

async fn run_maintenance(gateway: Arc<Gateway>, readiness: Readiness, cx: CancellationToken) {
    while !cx.is_cancelled() {
        sleep(MAINTENANCE_INTERVAL).await;
        readiness.set(is_ready(&gateway));
        gateway.pool.close_expired();
        gateway.update_memory_metrics();
        gateway.pooled_evidence.lock().expire(boot_now());
        gateway.in_flight.lock().expire(boot_now());
        gateway.endpoints.lock().expire(boot_now());
        gateway.metrics.in_flight.set(gateway.in_flight.lock().local_count() as i64);
        gateway.metrics.entries.set(gateway.in_flight.lock().entry_count() as i64);
        let endpoints = gateway.endpoints.lock();
        gateway.metrics.endpoints.set(endpoints.ready_count() as i64);
        gateway.health.lock().retain(|id| endpoints.is_ready(id));
        queueing::update_gauges(&gateway);
        gateway.expire_quarantine();
        gateway.limits.lock().retain(boot_now(), |id| endpoints.is_ready(id));
        let mut cold = gateway.cold.lock();
        cold.retain(boot_now(), |id| endpoints.is_ready(id));
        gateway.metrics.cold_endpoints.set(cold.cold_count(boot_now()) as i64);
    }
}

/// Accepts connections of callers until the gateway closes, then waits for requests in progress.
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
    if gateway.memory.is_bounded() {
        let _ = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    }
    let limits = gateway.config.load().as_ref().map(|c| c.limits.clone()).unwrap_or_default();
    let connection = Arc::new(CallerConnection::default());
    let mut stream = CallerStream::new(stream, Arc::clone(&connection));
    if gateway.memory.is_bounded() {
        stream.disconnect_when_stalled(Arc::clone(gateway));
    }
    let gateway = Arc::clone(gateway);
    let service = service_fn(move |mut req: Request<Incoming>| {
        req.extensions_mut().insert(Arc::clone(&connection));
        handler::handle(Arc::clone(&gateway), req)
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let conn = graceful.watch(conn);
    tokio::spawn(async move {
        // An error on this connection, such as invalid HTTP, affects no other caller.
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
            let service = service_fn(move |req| respond_ready(Arc::clone(&gateway), req));
            let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let _ = conn.await;
        });
    }
}

fn is_ready(gateway: &Gateway) -> bool {
    gateway.config.load().is_some() && !gateway.stopping.is_cancelled()
}

async fn respond_ready(
    gateway: Arc<Gateway>,
    _req: Request<Incoming>,
) -> Result<Response<ResponseBody>, std::convert::Infallible> {
    let ready = is_ready(&gateway);
    let mut response = Response::new(responses::body_from_bytes(bytes::Bytes::new()));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}
