//! Emulated model engines and plain services for tests, the quick start and load runs.

mod engine;
mod engine_http;
mod service;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use bitternlead::process::{ShutdownSignals, bind, print_ready};
use tokio_util::sync::CancellationToken;

use crate::engine::{EmulatedEngine, EngineConfig};
use crate::service::EmulatedService;

/// Run emulated engines and services on loopback.
#[derive(FromArgs)]
struct Options {
    /// number of engines (1)
    #[argh(option, default = "1")]
    engines: usize,
    /// number of services (0)
    #[argh(option, default = "0")]
    services: usize,
    /// address to listen on (127.0.0.1)
    #[argh(option, default = "Ipv4Addr::LOCALHOST")]
    host: Ipv4Addr,
    /// port of the first engine; the others use the ports after it (0: any free port)
    #[argh(option, default = "0")]
    port: u16,
    /// KV memory of an engine in tokens (450000)
    #[argh(option, default = "450_000")]
    kv_tokens: u64,
    /// prefill rate in tokens per second (30000)
    #[argh(option, default = "30_000.0")]
    prefill_rate: f64,
    /// factor by which engines run faster than real time (1)
    #[argh(option, default = "1.0")]
    speed: f64,
    /// models loaded at startup, separated by commas
    #[argh(option, default = "String::new()")]
    models: String,
    /// reject orders with a stale fencing number
    #[argh(switch)]
    checks_orders: bool,
    /// file that keeps the accepted orders across restarts; for a single engine (none)
    #[argh(option)]
    orders_file: Option<std::path::PathBuf>,
    /// file that keeps the run counts across restarts; for a single service (none)
    #[argh(option)]
    runs_file: Option<std::path::PathBuf>,
    /// time that a service takes for a call, in milliseconds (0)
    #[argh(option, default = "0")]
    service_delay_ms: u64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options: Options = argh::from_env();
    let mut signals = ShutdownSignals::new()?;
    let cx = CancellationToken::new();
    let cfg = EngineConfig {
        kv_tokens: options.kv_tokens,
        prefill_rate: options.prefill_rate,
        speed: options.speed,
        checks_orders: options.checks_orders,
        orders_file: options.orders_file,
        models: options.models.split(',').filter(|m| !m.is_empty()).map(str::to_owned).collect(),
        ..EngineConfig::default()
    };
    let mut ready = Vec::new();
    for number in 0..options.engines + options.services {
        let port = if options.port == 0 { 0 } else { options.port + number as u16 };
        let (listener, addr) = bind(SocketAddr::from((options.host, port))).await?;
        let (name, router) = if number < options.engines {
            let engine = EmulatedEngine::start(cfg.clone());
            (format!("engine-{number}"), engine_http::build_router(engine))
        } else {
            let delay = Duration::from_millis(options.service_delay_ms);
            let service = Arc::new(EmulatedService::new(delay, options.runs_file.clone()));
            (format!("service-{}", number - options.engines), service::build_router(service))
        };
        tokio::spawn(bitternlead::http::serve(listener, router, cx.clone()));
        ready.push((name, addr));
    }
    let ready: Vec<(&str, SocketAddr)> = ready.iter().map(|(n, a)| (n.as_str(), *a)).collect();
    print_ready(&ready);
    signals.next().await;
    Ok(())
}
