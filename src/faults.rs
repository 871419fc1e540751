//! Named fail points, active only in builds with the `failpoints` feature.

/// Fault that a test configures for a fail point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The operation returns an error.
    Error,
    /// The message is lost.
    Drop,
    /// The message is sent twice.
    Duplicate,
    /// Only a part of the bytes is written.
    ShortWrite,
}

/// Evaluates the fail point `step` and returns the fault that a test has configured for it.
///
/// The action `return(exit)` aborts the process; `error`, `drop`, `twice` and `short` are returned
/// as a `Fault`, which the caller has to apply.
pub fn inject(step: &str) -> Option<Fault> {
    fail::fail_point!(step, |arg| parse(arg.as_deref()));
    let _ = step;
    None
}

#[cfg(feature = "failpoints")]
fn parse(arg: Option<&str>) -> Option<Fault> {
    match arg {
        Some("exit") => std::process::abort(),
        Some("drop") => Some(Fault::Drop),
        Some("twice") => Some(Fault::Duplicate),
        Some("short") => Some(Fault::ShortWrite),
        _ => Some(Fault::Error),
    }
}
