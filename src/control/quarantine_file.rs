//! File in which a control replica keeps what was reported of poison requests, so that it is not
//! learnt anew from crashes after all processes were restarted.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::hint_file::HintFile;
use super::hub::Hub;
use crate::clock::wall_ms;
use crate::event;
use crate::wire::{QuarantineReport, StoredQuarantine};

const FILE: HintFile = HintFile { name: "quarantine", magic: b"BLQUAR01" };

/// Delay in which further changes are combined into one write.
const SAVE_DELAY: Duration = Duration::from_millis(50);

/// Delay before another attempt to write the file.
const SAVE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Reads what the last run of this replica knew; empty if the file is missing or unusable.
pub fn load(data_dir: &Path, log: &Logger) -> QuarantineReport {
    match FILE.load::<StoredQuarantine>(data_dir) {
        Ok(stored) => stored.map(add_time_since_saving).unwrap_or_default(),
        Err(reason) => {
            event!(log, QuarantineFileUnusable, "reason" => reason);
            QuarantineReport::default()
        }
    }
}

fn add_time_since_saving(stored: StoredQuarantine) -> QuarantineReport {
    let passed_ms = wall_ms().saturating_sub(stored.saved_at_ms);
    let mut report = stored.report.unwrap_or_default();
    report.crashes.iter_mut().for_each(|crash| crash.age_ms += passed_ms);
    report.answered.iter_mut().for_each(|answer| answer.age_ms += passed_ms);
    report.verdicts.iter_mut().for_each(|verdict| verdict.age_ms += passed_ms);
    report
}

/// Writes what `hub` knows whenever that changes, until cancelled. A write that fails is repeated.
pub async fn keep_saved(data_dir: PathBuf, hub: Arc<Hub>, log: Logger, cx: CancellationToken) {
    loop {
        tokio::select! {
            () = cx.cancelled() => return,
            () = hub.quarantine_changed() => {}
        }
        sleep(SAVE_DELAY).await;
        while let Err(e) = save(&data_dir, &hub).await {
            event!(log, QuarantineFileUnusable, "reason" => e.to_string());
            sleep(SAVE_RETRY_DELAY).await;
        }
    }
}

async fn save(data_dir: &Path, hub: &Hub) -> std::io::Result<()> {
    let report = Some(hub.quarantine_report());
    FILE.save(data_dir, &StoredQuarantine { report, saved_at_ms: wall_ms() }).await
}
