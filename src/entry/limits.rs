//! Rate and concurrency limits of workspaces, and their retry budgets.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

use super::retry::RetryBudget;
use crate::clock::duration_from_s;
use crate::config::Workspace;
use crate::ids::{Moment, WorkspaceName};

/// Number of shards of the usage map, each with its own lock.
const SHARD_COUNT: usize = 16;

/// Size of a workspace's token bucket, in seconds of its request rate.
const BURST_S: f64 = 2.0;

/// Limit that a rejected request exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// Requests per second; the next request is admitted after this time.
    Rate(Duration),
    /// Admitted requests of the workspace that have not finished yet.
    Concurrency,
}

/// Token bucket, concurrency and retry budget of one workspace.
#[derive(Debug, Default)]
struct Usage {
    tokens: f64,
    refilled_at: Moment,
    initialized: bool,
    running: u64,
    retries: RetryBudget,
}

impl Usage {
    fn refill(&mut self, now: Moment, rate: f64) {
        let capacity = (rate * BURST_S).max(1.0);
        if !self.initialized {
            self.initialized = true;
            self.tokens = capacity;
        }
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * rate).min(capacity);
        self.refilled_at = now;
    }
}

type Shard = Mutex<HashMap<WorkspaceName, Usage>>;

/// Current usage of all workspaces on this entry.
#[derive(Debug)]
pub struct WorkspaceLimits {
    shards: [Shard; SHARD_COUNT],
}

impl Default for WorkspaceLimits {
    fn default() -> Self {
        Self { shards: std::array::from_fn(|_| Mutex::default()) }
    }
}

/// Concurrency slot of an admitted request, released on drop.
#[derive(Debug)]
pub struct Permit {
    limits: Arc<WorkspaceLimits>,
    workspace: WorkspaceName,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limits.with_usage(&self.workspace, |usage| usage.running -= 1);
    }
}

impl WorkspaceLimits {
    fn with_usage<T>(&self, workspace: &WorkspaceName, f: impl FnOnce(&mut Usage) -> T) -> T {
        let shard = xxh3_64(workspace.as_bytes()) as usize % SHARD_COUNT;
        f(self.shards[shard].lock().entry(workspace.clone()).or_default())
    }

    /// Admits a request within the limits of its workspace.
    ///
    /// `share` is the part of the workspace's limits that this entry may use, from 0 to 1.
    ///
    /// # Errors
    /// The limit that the request exceeds.
    pub fn admit(
        self: &Arc<Self>,
        now: Moment,
        workspace: &Workspace,
        share: f64,
    ) -> Result<Permit, LimitExceeded> {
        let rate = (workspace.requests_per_s as f64 * share).max(0.1);
        let max_concurrent = ((workspace.concurrency as f64 * share).ceil() as u64).max(1);
        self.with_usage(&workspace.name, |usage| {
            usage.refill(now, rate);
            if usage.running >= max_concurrent {
                return Err(LimitExceeded::Concurrency);
            }
            if usage.tokens < 1.0 {
                let wait = (1.0 - usage.tokens) / rate;
                return Err(LimitExceeded::Rate(duration_from_s(wait)));
            }
            usage.tokens -= 1.0;
            usage.running += 1;
            Ok(())
        })?;
        Ok(Permit { limits: Arc::clone(self), workspace: workspace.name.clone() })
    }

    /// Calls `f` with the retry budget of a workspace, under its lock.
    pub fn with_retry_budget<T>(
        &self,
        workspace: &WorkspaceName,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        self.with_usage(workspace, |usage| f(&mut usage.retries))
    }
}
