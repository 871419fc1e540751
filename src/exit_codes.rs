//! Exit codes of the `bitternlead` command.

/// Exit code of the process; scripts of operators check the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(i32)]
pub enum ExitCode {
    /// The command succeeded, or the server stopped after a signal.
    Success = 0,
    /// The command failed, or an address or signal handler was not available.
    Failure = 1,
    /// Settings or input files are invalid; nothing was started or changed.
    BadInput = 2,
    /// The data directory could not be opened, read or written.
    DataFolder = 3,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
