//! Log lines about poison requests.

use slog::Logger;

use super::{Change, SuspectKey};
use crate::event;

/// Logs changes that a report from `from` brought about.
pub fn log_changes(log: &Logger, changes: &[Change], from: &str) {
    for change in changes {
        match change {
            Change::Quarantined { keys, crashes } => event!(log, RequestQuarantined,
                "keys" => format_keys(keys), "crashes" => *crashes, "from" => from),
            Change::Lifted(keys) => event!(log, QuarantineLifted,
                "keys" => format_keys(keys), "from" => from),
            Change::Undecided { key, crashes } => event!(log, CrashesUndecided,
                "key" => format_keys(&[*key]), "crashes" => *crashes),
            Change::Cleared(keys) => event!(log, SuspicionCleared,
                "keys" => format_keys(keys), "from" => from),
            Change::OnProbation(keys) => event!(log, QuarantineEnded,
                "keys" => format_keys(keys), "from" => from),
        }
    }
}

/// Formats keys as hexadecimal numbers, separated by commas.
pub fn format_keys(keys: &[SuspectKey]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("{key:016x}")).collect();
    keys.join(",")
}
