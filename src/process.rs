//! What the long-running roles share: signals, listeners, the ready line and the drain.

use std::net::SocketAddr;
use std::time::Duration;

use slog::Logger;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep};

use crate::control::store::StoreError;
use crate::event;
use crate::exit_codes::ExitCode;

/// Why a role ended badly.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// An address could not be bound.
    #[snafu(display("cannot listen on {addr}: {source}; choose another address"))]
    Listen {
        /// Address.
        addr: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// Signals could not be taken.
    #[snafu(display("cannot take signals: {source}"))]
    Signals {
        /// Cause.
        source: std::io::Error,
    },
    /// The data directory could not be used.
    #[snafu(display("data folder: {source}"), context(false))]
    Store {
        /// Cause.
        source: StoreError,
    },
    /// The snapshot could not be read.
    #[snafu(display("snapshot: {source}"))]
    Snapshot {
        /// Cause.
        source: prost::DecodeError,
    },
}

impl RunError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Store { .. } | Self::Snapshot { .. } => ExitCode::DataFolder,
            Self::Listen { .. } | Self::Signals { .. } => ExitCode::Failure,
        }
    }
}

/// Binds a listener and returns the address that it got.
pub async fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), RunError> {
    let listener = TcpListener::bind(addr).await.context(ListenSnafu { addr })?;
    let bound = listener.local_addr().context(ListenSnafu { addr })?;
    Ok((listener, bound))
}

/// Tells whoever started the process that it serves, and where.
pub fn print_ready(addresses: &[(&str, SocketAddr)]) {
    use std::io::Write;
    let parts: Vec<String> = addresses.iter().map(|(n, a)| format!("{n}={a}")).collect();
    let mut out = std::io::stdout();
    let _ = writeln!(out, "ready {}", parts.join(" "));
    let _ = out.flush();
}

/// Signals that end a process.
pub struct EndSignals {
    term: Signal,
    int: Signal,
}

impl EndSignals {
    /// Starts to take signals.
    pub fn new() -> Result<Self, RunError> {
        let term = signal(SignalKind::terminate()).context(SignalsSnafu)?;
        let int = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
        Ok(Self { term, int })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}

/// Waits until nothing is under way, the limit has passed, or a second signal comes.
pub async fn drain(
    log: &Logger,
    signals: &mut EndSignals,
    limit: Duration,
    under_way: impl Fn() -> usize,
) {
    event!(log, ProcessDraining, "under_way" => under_way());
    let due = Instant::now() + limit;
    let idle = async {
        while under_way() > 0 && Instant::now() < due {
            sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        () = idle => {}
        () = signals.next() => {}
    }
    if under_way() > 0 {
        event!(log, DrainCutShort, "under_way" => under_way());
    }
}
