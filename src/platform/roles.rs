//! Starts the roles from the platform's settings file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use slog::Logger;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use super::control;
use super::headers::PlatformDialect;
use super::settings::{PlatformSettings, follow_seeds};
use crate::control::relay::{ControlRelay, RelaySettings};
use crate::control::service::{ControlService, ServiceSettings};
use crate::event;
use crate::gateway::run::{self, GatewayAddresses};
use crate::gateway::state::{Gateway, GatewaySettings};
use crate::http::{self, Readiness};
use crate::metrics::Metrics;
use crate::process::{self, RunError, ShutdownSignals};

/// Port of an entry's metrics, as the deploy file names it.
const ENTRY_METRICS_PORT: u16 = 9464;

/// Port of a control replica's metrics, as the deploy file names it.
const CONTROL_METRICS_PORT: u16 = 9465;

/// Runs an entry.
///
/// # Errors
/// An address could not be bound, or the settings name none.
pub async fn run_entry(
    settings: PlatformSettings,
    path: PathBuf,
    log: Logger,
) -> Result<(), RunError> {
    follow_hangups(log.clone())?;
    let cfg = GatewaySettings {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        budget: settings.budget.clone(),
    };
    let any = (settings.ip, 0).into();
    let addresses = GatewayAddresses {
        callers: settings.callers.unwrap_or(any),
        ready: settings.ready.unwrap_or(any),
        load: settings.load_address(),
        metrics: (settings.ip, ENTRY_METRICS_PORT).into(),
        grace: settings.grace,
    };
    let gateway = Arc::new(Gateway::new(cfg, Arc::new(PlatformDialect), log));
    run::run(gateway, addresses, follow_seeds(path, settings)).await
}

/// Runs a control replica, or a relay on a host without a disk.
///
/// # Errors
/// An address could not be bound, or the settings name none.
pub async fn run_control(
    settings: PlatformSettings,
    path: PathBuf,
    log: Logger,
) -> Result<(), RunError> {
    follow_hangups(log.clone())?;
    let mut signals = ShutdownSignals::new()?;
    let cx = CancellationToken::new();
    let operators = settings.operators.unwrap_or((settings.ip, 0).into());
    let (listener, addr) = process::bind(operators).await?;
    let metrics_address = (settings.ip, CONTROL_METRICS_PORT).into();
    let (metrics_listener, _) = process::bind(metrics_address).await?;
    let (readiness, metrics) = (Readiness::default(), Arc::new(Metrics::default()));
    let probes = http::add_probes(viz::Router::new(), readiness.clone(), Arc::clone(&metrics));
    tokio::spawn(http::serve(metrics_listener, probes, cx.clone()));
    match settings.data.clone() {
        Some(data) => {
            let cfg = build_service_settings(settings, path, data, addr);
            let service = ControlService::start(cfg, log.clone(), cx.clone()).await?;
            tokio::spawn(service.clone().update_probes(readiness, metrics, cx.clone()));
            tokio::spawn(control::serve(listener, service, log.clone(), cx.clone()));
        }
        None => {
            let cfg = build_relay_settings(settings, path);
            let relay = ControlRelay::start(cfg, readiness, log.clone(), cx.clone()).await?;
            tokio::spawn(control::serve_relay(listener, relay, cx.clone()));
        }
    }
    event!(log, ProcessStarted, "address" => addr.to_string());
    signals.next().await;
    event!(log, ProcessDraining);
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
        listen: settings.control_address(),
        operators,
        data,
        coordinator: settings.counting_address(),
        tolerance: settings.tolerance,
        endpoint_timeout: settings.endpoint_silence,
        seeds: follow_seeds(path, settings),
    }
}

fn build_relay_settings(settings: PlatformSettings, path: PathBuf) -> RelaySettings {
    RelaySettings {
        node: settings.node.to_string(),
        listen: settings.control_address(),
        coordinator: settings.counting_address(),
        tolerance: settings.tolerance,
        seeds: follow_seeds(path, settings),
    }
}

/// Keeps the process running on SIGHUP; the settings file is looked at all the time anyway.
fn follow_hangups(log: Logger) -> Result<(), RunError> {
    let mut hangups =
        signal(SignalKind::hangup()).map_err(|source| RunError::Signals { source })?;
    tokio::spawn(async move {
        while hangups.recv().await.is_some() {
            event!(log, SettingsReloaded);
        }
    });
    Ok(())
}
