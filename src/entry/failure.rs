//! Failures of requests, as reported to clients.

use std::time::Duration;

use viz::StatusCode;

/// Outcome of a request, as reported to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran and its response is complete.
    Done,
    /// The request did not run and never will; it is safe to repeat.
    NotRun,
    /// The request may have run, completely or in part.
    Unknown,
}

impl Outcome {
    /// Returns the name used in headers, bodies and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Failure of a request, with the content of its error response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// `NotRun` or `Unknown`; a failure is never `Done`.
    pub outcome: Outcome,
    /// HTTP status of the error response.
    pub status: StatusCode,
    /// Machine-readable reason, such as `busy`; also a metrics label.
    pub code: &'static str,
    /// Human-readable reason, with advice where there is any.
    pub message: String,
    /// Delay after which the client may retry, sent as `retry-after` in whole seconds.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Builds the failure of a request that did not run.
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        let outcome = Outcome::NotRun;
        Self { outcome, status, code, message: message.into(), retry_after: None }
    }

    /// Builds the failure of a request that may have run.
    pub fn unknown(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self { outcome: Outcome::Unknown, ..Self::not_run(status, code, message) }
    }

    /// Sets the delay after which the client may retry.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Returns whether the system rather than the client caused the failure.
    pub fn is_server_fault(&self) -> bool {
        self.status.is_server_error()
    }
}
