//! A host of control is replaced, and another one loses its disk.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::removals::Removals;

/// Time between the removal and the loss of the disk.
const LOSS_AFTER: Duration = Duration::from_secs(1);

/// Time for which the host that loses its disk is down.
const DOWN: Duration = Duration::from_millis(500);

/// Runs the case; `trouble` says whether a disk is lost.
pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> ExitCode {
    let Some(mut removals) = Removals::start(folder, record, 1) else {
        return ExitCode::from(2);
    };
    removals.remove(0);
    sleep(LOSS_AFTER);
    if trouble {
        removals.system.lose_disk(1, DOWN);
        record.say(&format!("{} has lost its disk and is back", removals.system.control(1)));
    }
    removals.judge(&[1, 2, 3])
}
