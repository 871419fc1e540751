//! File in which a control replica keeps the endpoints that it knows.
//!
//! Endpoints announce themselves about once a second. A replica that starts with an empty directory
//! hears of them one by one, and after a restart of all replicas the first endpoints to announce
//! themselves would receive the requests of the whole fleet. The file is a hint for the first
//! seconds after a start: each endpoint in it has to announce itself soon to be kept, and each
//! request names the endpoint that it is for, so that no other one runs it.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::hint_file::HintFile;
use super::hub::Hub;
use crate::event;
use crate::wire::{Announcement, KnownEndpoints};

const FILE: HintFile = HintFile { name: "endpoints", magic: b"BLENDP01" };

/// Delay in which further changes are combined into one write.
const SAVE_DELAY: Duration = Duration::from_millis(200);

/// Delay before another attempt to write the file.
const SAVE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Reads the endpoints that the last run of this replica knew; none if the file is missing or
/// unusable.
pub fn load(data_dir: &Path, log: &Logger) -> Vec<Announcement> {
    match FILE.load::<KnownEndpoints>(data_dir) {
        Ok(None) => Vec::new(),
        Ok(Some(known)) => {
            event!(log, EndpointsRestored, "endpoints" => known.announcements.len());
            known.announcements
        }
        Err(reason) => {
            event!(log, EndpointFileUnusable, "reason" => reason);
            Vec::new()
        }
    }
}

/// Writes the endpoints that `hub` knows whenever one of them changes, until cancelled. A write
/// that fails is repeated.
pub async fn keep_saved(data_dir: PathBuf, hub: Arc<Hub>, log: Logger, cx: CancellationToken) {
    loop {
        tokio::select! {
            () = cx.cancelled() => return,
            () = hub.endpoints_changed() => {}
        }
        sleep(SAVE_DELAY).await;
        while let Err(e) = FILE.save(&data_dir, &known_endpoints(&hub)).await {
            event!(log, EndpointFileUnusable, "reason" => e.to_string());
            sleep(SAVE_RETRY_DELAY).await;
        }
    }
}

fn known_endpoints(hub: &Hub) -> KnownEndpoints {
    KnownEndpoints { announcements: hub.announcements() }
}
