//! Exit codes of the process.

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(i32)]
pub enum ExitCode {
    /// All went well.
    Success = 0,
    /// The command failed.
    Failure = 1,
    /// Settings or input files were refused; nothing was started or changed.
    BadInput = 2,
    /// The data directory could not be used or written.
    DataFolder = 3,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
