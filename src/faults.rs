//! Named fail points, active only in builds with the `failpoints` feature.

/// What a test asks a fail point to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The step reports an error.
    Error,
    /// The step's message is lost.
    Drop,
    /// The step's message is sent twice.
    Twice,
    /// Only part of the bytes is written.
    Short,
}

/// Reaches a named step and returns the fault that a test configured for it.
///
/// The argument `exit` ends the process on the spot; `error`, `drop`, `twice` and `short`
/// are returned to the caller.
pub fn reach(step: &str) -> Option<Fault> {
    fail::fail_point!(step, |arg| parse(arg.as_deref()));
    let _ = step;
    None
}

#[cfg(feature = "failpoints")]
fn parse(arg: Option<&str>) -> Option<Fault> {
    match arg {
        Some("exit") => std::process::abort(),
        Some("drop") => Some(Fault::Drop),
        Some("twice") => Some(Fault::Twice),
        Some("short") => Some(Fault::Short),
        _ => Some(Fault::Error),
    }
}
