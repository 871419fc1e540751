//! Snapshots of a replica's state, and what follows a write that failed.

use std::time::Duration;

use bytes::Bytes;

use super::{Core, OnWriteError};
use crate::control::state::ControlState;
use crate::event;
use crate::wire::HardState;

/// Time between attempts to rewrite the data directory after a failed write.
const REWRITE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

impl Core {
    pub(super) fn restore(&mut self, data: Bytes) {
        let Ok(state) = ControlState::decode(&data) else { return };
        let hard = self.hard_state();
        let rest = self.raft.log().slice(state.applied_index + 1, usize::MAX);
        let write_result = self.store.compact(&data, hard, rest);
        self.handle_write_result(write_result);
        event!(self.log, SnapshotRestored, "index" => state.applied_index);
        self.state = state;
        let delta = self.state.config.changes_since(0);
        self.fleet.apply(delta.version, true, &delta.records);
    }

    /// Takes a snapshot when the log holds `snapshot_entries` entries or `snapshot_log_bytes`. A
    /// log shorter than two snapshots is kept, so that writing them costs no more than the log.
    pub(super) fn compact_if_due(&mut self) {
        let log = self.raft.log();
        let max_bytes = self.cfg.snapshot_log_bytes.max(2 * log.snapshot().len());
        if log.len() < self.cfg.snapshot_entries && log.bytes() < max_bytes {
            return;
        }
        let applied = self.state.applied_index;
        if applied <= self.raft.log().snapshot_index() {
            return;
        }
        let data = Bytes::from(self.state.encode());
        self.raft.compact(applied, data.clone());
        let rest = self.raft.log().slice(applied + 1, usize::MAX);
        let write_result = self.store.compact(&data, self.hard_state(), rest);
        self.handle_write_result(write_result);
        event!(self.log, SnapshotTaken, "index" => applied, "bytes" => data.len());
    }

    fn hard_state(&self) -> HardState {
        self.raft.hard_state()
    }

    /// Handles a failed write or sync.
    ///
    /// The content of the data directory is then unknown, so no later answer could be relied on:
    /// the process ends, or this call returns only after the directory has been rewritten.
    pub(super) fn handle_write_result(&mut self, write_result: std::io::Result<()>) {
        let Err(e) = write_result else { return };
        event!(self.log, SyncFailed, "error" => e.to_string());
        if self.cfg.on_write_error == OnWriteError::Exit {
            eprintln!("bitternlead: write or sync of the data folder failed: {e}");
            std::process::exit(crate::exit_codes::ExitCode::DataFolder as i32);
        }
        while !self.rewrite_store() {
            std::thread::sleep(REWRITE_RETRY_INTERVAL);
        }
        event!(self.log, StoreRewritten, "index" => self.raft.log().last_index());
    }

    fn rewrite_store(&mut self) -> bool {
        let log = self.raft.log();
        let base = log.snapshot_index();
        let snapshot = (base > 0).then(|| log.snapshot().clone());
        let entries = log.slice(base + 1, usize::MAX);
        self.store.rewrite(snapshot.as_deref(), self.raft.hard_state(), entries).is_ok()
    }
}
