//! Process lifecycle of the server roles: listeners, the ready line, shutdown signals and the
//! drain.

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

/// Why a server role could not start or keep running.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// An address could not be bound.
    #[snafu(display("cannot listen on {addr}: {source}; choose another address"))]
    Listen {
        /// Address that was requested.
        addr: SocketAddr,
        /// Error that the operating system returned.
        source: std::io::Error,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signals {
        /// Error that the operating system returned.
        source: std::io::Error,
    },
    /// The data directory could not be opened, read or written.
    #[snafu(display("data folder: {source}"), context(false))]
    Store {
        /// Error of the store that failed to open, read or write.
        source: StoreError,
    },
    /// The stored snapshot could not be decoded.
    #[snafu(display("cannot decode the snapshot: {source}"))]
    Snapshot {
        /// Error of the protobuf decoder.
        source: prost::DecodeError,
    },
}

impl RunError {
    /// Exit code of a process that ends with this error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Store { .. } | Self::Snapshot { .. } => ExitCode::DataFolder,
            Self::Listen { .. } | Self::Signals { .. } => ExitCode::Failure,
        }
    }
}

/// Binds a listener and returns it with its actual address, since port 0 picks a free one.
///
/// # Errors
/// Fails if the address is in use or not available on this host.
pub async fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), RunError> {
    let listener = TcpListener::bind(addr).await.context(ListenSnafu { addr })?;
    let bound = listener.local_addr().context(ListenSnafu { addr })?;
    Ok((listener, bound))
}

/// Prints the ready line to standard output: `ready NAME=IP:PORT ...`. Whoever started the
/// process reads from it that the listeners are bound, and where.
pub fn print_ready(addresses: &[(&str, SocketAddr)]) {
    use std::io::Write;
    let parts: Vec<String> = addresses.iter().map(|(n, a)| format!("{n}={a}")).collect();
    let mut out = std::io::stdout();
    let _ = writeln!(out, "ready {}", parts.join(" "));
    let _ = out.flush();
}

/// Listens for the signals that stop the process, SIGTERM and SIGINT.
pub struct ShutdownSignals {
    term: Signal,
    int: Signal,
}

impl ShutdownSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// Fails if the operating system refuses a handler.
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

/// Waits until no request is in flight, `timeout` has passed or a second signal arrives.
///
/// `in_flight` returns the number of requests in flight.
pub async fn drain(
    log: &Logger,
    signals: &mut ShutdownSignals,
    timeout: Duration,
    in_flight: impl Fn() -> usize,
) {
    event!(log, ProcessDraining, "under_way" => in_flight());
    let deadline = Instant::now() + timeout;
    let idle = async {
        while in_flight() > 0 && Instant::now() < deadline {
            sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        () = idle => {}
        () = signals.next() => {}
    }
    if in_flight() > 0 {
        event!(log, DrainCutShort, "under_way" => in_flight());
    }
}
