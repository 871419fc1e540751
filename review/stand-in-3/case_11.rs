//! Two hosts of control are replaced one after the other, and nothing is lost.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::removals::Removals;

/// Time between the two removals.
const GAP: Duration = Duration::from_millis(1300);

/// Runs the case; `trouble` says whether the second host is removed too.
pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> ExitCode {
    let Some(mut removals) = Removals::start(folder, record, 2) else {
        return ExitCode::from(2);
    };
    removals.remove(0);
    sleep(GAP);
    if trouble {
        removals.remove(1);
    }
    removals.judge(&[2, 3, 4])
}
