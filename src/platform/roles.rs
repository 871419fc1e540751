//! Starts an entry or control from the platform's settings file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use slog::Logger;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use super::headers::PlatformDialect;
use super::health::HealthProbe;
use super::settings::{PlatformSettings, follow_seeds};
use super::{control, document};
use crate::control::relay::{ControlRelay, RelaySettings};
use crate::control::service::{ControlService, ServiceSettings};
use crate::event;
use crate::gateway::eligibility::regions::Regions;
use crate::gateway::placement::policy::Policy;
use crate::gateway::run::{self, GatewayAddresses};
use crate::gateway::state::{Gateway, GatewaySettings};
use crate::http::{self, Readiness};
use crate::metrics::Metrics;
use crate::process::{self, RunError, ShutdownSignals};

/// Port of an entry's metrics; the same as in the deployment files.
const ENTRY_METRICS_PORT: u16 = 9464;

/// Port of a control replica's probes and metrics; the same as in the deployment files.
const CONTROL_METRICS_PORT: u16 = 9465;

/// Fraction of the time between SIGTERM and SIGKILL within which a control replica passes its vote on.
const HANDOVER_GRACE_SHARE: f64 = 0.5;

/// Fraction of an entry's link that the exchange of load with other entries may use.
const LOAD_LINK_SHARE: f64 = 0.1;

/// Runs an entry until SIGTERM or SIGINT and the drain that follows.
///
/// # Errors
/// An address could not be bound, or a signal handler not installed.
pub async fn run_entry(
    settings: PlatformSettings,
    path: PathBuf,
    mut policy: Policy,
    log: Logger,
) -> Result<(), RunError> {
    log_hangups(log.clone())?;
    policy.pooled_evidence &= settings.pooled_evidence;
    let cfg = GatewaySettings {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        regions: Regions::new(settings.zones.clone()),
        budget: settings.budget.clone(),
        cold: settings.cold,
        policy,
        load_bytes_per_s: settings.link_bytes_per_s * LOAD_LINK_SHARE,
        memory_limit: settings.memory_limit,
    };
    let any_port = (settings.ip, 0).into();
    let addresses = GatewayAddresses {
        callers: settings.callers_address.unwrap_or(any_port),
        ready: settings.readiness_address.unwrap_or(any_port),
        load: settings.load_address(),
        metrics: (settings.ip, ENTRY_METRICS_PORT).into(),
        grace: settings.grace,
    };
    let gateway = Arc::new(Gateway::new(cfg, Arc::new(PlatformDialect), log));
    run::run(gateway, addresses, follow_seeds(path, settings)).await
}

/// Runs a control replica, or on a host without a disk a relay, until SIGTERM or SIGINT.
///
/// # Errors
/// An address could not be bound, a signal handler not installed, or the data directory not opened.
pub async fn run_control(
    settings: PlatformSettings,
    path: PathBuf,
    log: Logger,
) -> Result<(), RunError> {
    log_hangups(log.clone())?;
    let mut signals = ShutdownSignals::new()?;
    let cx = CancellationToken::new();
    let operators = settings.operators_address.unwrap_or((settings.ip, 0).into());
    let (listener, addr) = process::bind(operators).await?;
    let metrics_address = (settings.ip, CONTROL_METRICS_PORT).into();
    let (metrics_listener, _) = process::bind(metrics_address).await?;
    let (readiness, metrics) = (Readiness::default(), Arc::new(Metrics::default()));
    let probes = http::add_probes(viz::Router::new(), readiness.clone(), Arc::clone(&metrics));
    tokio::spawn(http::serve(metrics_listener, probes, cx.clone()));
    let handover_limit = settings.grace.mul_f64(HANDOVER_GRACE_SHARE);
    let replica = match settings.data_dir.clone() {
        Some(data) => {
            let regions = Arc::new(settings.zones.values().cloned().collect());
            let cfg = build_service_settings(settings, path, data, addr);
            let service = ControlService::start(cfg, log.clone(), cx.clone()).await?;
            tokio::spawn(service.clone().update_probes(readiness, metrics, cx.clone()));
            let calls = control::serve(listener, service.clone(), regions, log.clone(), cx.clone());
            tokio::spawn(calls);
            Some(service)
        }
        None => {
            let cfg = build_relay_settings(settings, path);
            let relay = ControlRelay::start(cfg, readiness, log.clone(), cx.clone()).await?;
            tokio::spawn(control::serve_relay(listener, relay, cx.clone()));
            None
        }
    };
    event!(log, ProcessStarted, "address" => addr.to_string());
    signals.next().await;
    event!(log, ProcessDraining);
    if let Some(replica) = replica {
        tokio::select! {
            () = replica.leave(handover_limit, &cx) => {}
            () = signals.next() => {}
        }
    }
    cx.cancel();
    event!(log, ProcessStopped);
    Ok(())
}

fn build_service_settings(
    settings: PlatformSettings,
    path: PathBuf,
    data: PathBuf,
    operators: SocketAddr,
) -> ServiceSettings {
    ServiceSettings {
        node: settings.node.to_string(),
        zone: settings.zone.to_string(),
        zones: settings.zones.keys().map(|zone| zone.to_string()).collect(),
        listen: settings.control_address(),
        operators,
        data,
        coordinator: settings.coordinator_address(),
        tolerance: settings.tolerance,
        endpoint_timeout: settings.endpoint_timeout,
        services: Some(Arc::new(document::read_services)),
        probe: Some(Arc::new(HealthProbe)),
        seeds: follow_seeds(path, settings),
    }
}

fn build_relay_settings(settings: PlatformSettings, path: PathBuf) -> RelaySettings {
    RelaySettings {
        node: settings.node.to_string(),
        listen: settings.control_address(),
        coordinator: settings.coordinator_address(),
        tolerance: settings.tolerance,
        seeds: follow_seeds(path, settings),
    }
}

/// Logs SIGHUP instead of exiting on it. Nothing has to be reloaded: the seeds are read anew
/// whenever the settings file changes.
fn log_hangups(log: Logger) -> Result<(), RunError> {
    let mut sighups =
        signal(SignalKind::hangup()).map_err(|source| RunError::Signals { source })?;
    tokio::spawn(async move {
        while sighups.recv().await.is_some() {
            event!(log, SettingsReloaded);
        }
    });
    Ok(())
}
