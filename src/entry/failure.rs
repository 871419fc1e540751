//! Final answers that are no success.

use std::time::Duration;

use viz::StatusCode;

/// How a request ended, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran to its answer.
    Done,
    /// It did not run and never will.
    NotRun,
    /// It is not known whether it ran, or it ran in part.
    Unknown,
}

impl Outcome {
    /// Name in headers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// not-run or unknown.
    pub outcome: Outcome,
    /// HTTP status.
    pub status: StatusCode,
    /// Short name of the reason.
    pub code: &'static str,
    /// What was wrong and what to do.
    pub message: String,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A request that did not run.
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        let outcome = Outcome::NotRun;
        Self { outcome, status, code, message: message.into(), retry_after: None }
    }

    /// A request that may have run.
    pub fn unknown(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self { outcome: Outcome::Unknown, ..Self::not_run(status, code, message) }
    }

    /// Adds when to come back.
    pub fn after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Whether the system and not the caller is at fault.
    pub fn is_own_fault(&self) -> bool {
        self.status.is_server_error()
    }
}
