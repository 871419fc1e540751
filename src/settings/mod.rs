//! Settings of the roles. Each can be given as a flag or an environment variable; all problems are
//! reported together.

mod agent;
mod control;
mod entry;
mod source;

use std::net::SocketAddr;

use slog::Level;
use smol_str::SmolStr;

pub use self::agent::AgentSettings;
pub use self::control::ControlSettings;
pub use self::entry::EntrySettings;
pub use self::source::{ENV_PREFIX, SettingSource};
use crate::events::LogForm;
use crate::findings::Findings;

/// Settings that all roles share.
#[derive(Clone, Debug, PartialEq)]
pub struct CommonSettings {
    /// Name of this node, unique in the system.
    pub node: SmolStr,
    /// Availability zone of this node.
    pub zone: SmolStr,
    /// Format of the lines that the process logs.
    pub log_form: LogForm,
    /// Minimum level of the lines that are logged.
    pub log_level: Level,
    /// Address of the health probes and metrics.
    pub admin_listen: SocketAddr,
    /// Time after a signal within which requests may finish, in milliseconds.
    pub drain_limit_ms: u64,
    /// Maximum size of a frame between processes in bytes.
    pub max_frame: usize,
}

impl CommonSettings {
    fn read(source: &mut SettingSource, findings: &mut Findings) -> Self {
        Self {
            node: source.name("node", findings),
            zone: source.name("zone", findings),
            log_form: read_log_form(source, findings),
            log_level: read_log_level(source, findings),
            admin_listen: source.address("admin_listen", "127.0.0.1:0", findings),
            drain_limit_ms: source.number("drain_limit_ms", 0..=86_400_000, 120_000, findings),
            max_frame: source.number("max_frame", 131_072..=67_108_864, 4_194_304, findings)
                as usize,
        }
    }
}

fn read_log_form(source: &mut SettingSource, findings: &mut Findings) -> LogForm {
    let place = source.place("log_form");
    match source.text("log_form", "terminal", findings).as_str() {
        "terminal" => LogForm::Terminal,
        "json" => LogForm::Json,
        other => {
            findings.add(place, format!("{other:?} is neither terminal nor json"));
            LogForm::Terminal
        }
    }
}

fn read_log_level(source: &mut SettingSource, findings: &mut Findings) -> Level {
    let place = source.place("log_level");
    match source.text("log_level", "info", findings).as_str() {
        "error" => Level::Error,
        "warning" => Level::Warning,
        "info" => Level::Info,
        "debug" => Level::Debug,
        other => {
            findings.add(place, format!("{other:?} is not one of error, warning, info, debug"));
            Level::Info
        }
    }
}
