//! Limits of one workspace: requests a second and requests at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

use super::retry::RetryBudget;
use crate::config::Workspace;
use crate::ids::{Moment, WorkspaceName};

/// Shards of the workspaces.
const SHARDS: usize = 16;

/// Seconds of its rate that a workspace may use at once.
const BURST_S: f64 = 2.0;

/// Why a workspace's request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverLimit {
    /// Too many requests a second; one fits again after this time.
    Rate(Duration),
    /// Too many requests at once.
    Concurrency,
}

#[derive(Debug, Default)]
struct Usage {
    tokens: f64,
    filled_at: Moment,
    started: bool,
    running: u64,
    retries: RetryBudget,
}

impl Usage {
    fn fill(&mut self, now: Moment, rate: f64) {
        let most = (rate * BURST_S).max(1.0);
        if !self.started {
            self.started = true;
            self.tokens = most;
        }
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * rate).min(most);
        self.filled_at = now;
    }
}

type Shard = Mutex<HashMap<WorkspaceName, Usage>>;

/// Usage of all workspaces on this entry.
#[derive(Debug)]
pub struct Limits {
    shards: [Shard; SHARDS],
}

impl Default for Limits {
    fn default() -> Self {
        Self { shards: std::array::from_fn(|_| Mutex::default()) }
    }
}

/// A request that counts against its workspace until dropped.
#[derive(Debug)]
pub struct Permit {
    limits: Arc<Limits>,
    workspace: WorkspaceName,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limits.with(&self.workspace, |usage| usage.running -= 1);
    }
}

impl Limits {
    fn with<T>(&self, workspace: &WorkspaceName, f: impl FnOnce(&mut Usage) -> T) -> T {
        let shard = xxh3_64(workspace.as_bytes()) as usize % SHARDS;
        f(self.shards[shard].lock().entry(workspace.clone()).or_default())
    }

    /// Counts a request; `share` is this entry's share of the workspace's rate, from 0 to 1.
    ///
    /// # Errors
    /// The limit that the request is over.
    pub fn admit(
        self: &Arc<Self>,
        now: Moment,
        workspace: &Workspace,
        share: f64,
    ) -> Result<Permit, OverLimit> {
        let rate = (workspace.requests_per_s as f64 * share).max(0.1);
        let most_running = ((workspace.concurrency as f64 * share).ceil() as u64).max(1);
        self.with(&workspace.name, |usage| {
            usage.fill(now, rate);
            if usage.running >= most_running {
                return Err(OverLimit::Concurrency);
            }
            if usage.tokens < 1.0 {
                let wait = (1.0 - usage.tokens) / rate;
                return Err(OverLimit::Rate(Duration::from_secs_f64(wait)));
            }
            usage.tokens -= 1.0;
            usage.running += 1;
            Ok(())
        })?;
        Ok(Permit { limits: Arc::clone(self), workspace: workspace.name.clone() })
    }

    /// Uses a workspace's retry budget.
    pub fn with_budget<T>(
        &self,
        workspace: &WorkspaceName,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        self.with(workspace, |usage| f(&mut usage.retries))
    }
}
