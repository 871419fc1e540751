//! Why a request got no answer: a fixed cause for callers and metrics, and the details for the log.

use std::fmt;

/// Why a request got no answer from an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reason {
    cause: &'static str,
    detail: String,
}

impl Reason {
    /// Builds a reason with details that only the log shows, such as the text of an error.
    ///
    /// ```
    /// use bitternlead::gateway::reason::Reason;
    ///
    /// let reason = Reason::detailed("cannot connect", "connection refused (os error 111)");
    /// assert_eq!(reason.cause(), "cannot connect");
    /// assert_eq!(reason.to_string(), "cannot connect: connection refused (os error 111)");
    /// ```
    pub fn detailed(cause: &'static str, detail: impl fmt::Display) -> Self {
        Self { cause, detail: detail.to_string() }
    }

    /// The cause, one of a fixed set of texts: for callers and as a metric label.
    pub fn cause(&self) -> &'static str {
        self.cause
    }
}

impl From<&'static str> for Reason {
    fn from(cause: &'static str) -> Self {
        Self { cause, detail: String::new() }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.cause)?;
        if self.detail.is_empty() { Ok(()) } else { write!(f, ": {}", self.detail) }
    }
}
