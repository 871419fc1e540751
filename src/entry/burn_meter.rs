//! Counts requests and missed objectives, and hands the counts to control.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::clock::wall_ms;
use crate::config::Workspace;
use crate::ids::Tokens;
use crate::node::Node;
use crate::prompt_class::PromptClass;
use crate::wire::{BurnCount, BurnReport, Command, command};

/// Interval between reports.
const INTERVAL: Duration = Duration::from_secs(10);

/// Longest time for one report.
const LIMIT: Duration = Duration::from_secs(5);

/// Prompt tokens that add one millisecond to the objective for the first token.
const TOKENS_PER_MS: Tokens = 5;

type Key = (SmolStr, PromptClass, u64);

/// Counts that control does not have yet.
#[derive(Debug, Default)]
pub struct BurnMeter {
    counts: Mutex<HashMap<Key, (u64, u64)>>,
}

/// Objective for the first token of a prompt.
pub fn objective(workspace: &Workspace, prompt_tokens: Tokens) -> Duration {
    Duration::from_millis(workspace.objective_ms + prompt_tokens / TOKENS_PER_MS)
}

impl BurnMeter {
    /// Counts a request; one that failed or had no first token misses its objective.
    pub fn count(
        &self,
        workspace: &Workspace,
        prompt_tokens: Tokens,
        first_token: Option<Duration>,
    ) {
        let limit = objective(workspace, prompt_tokens);
        let missed = first_token.is_none_or(|taken| taken > limit);
        let class = PromptClass::of(prompt_tokens);
        let key = (workspace.name.clone(), class, wall_ms() / 60_000);
        let mut counts = self.counts.lock();
        let count = counts.entry(key).or_default();
        count.0 += 1;
        count.1 += u64::from(missed);
    }

    fn take(&self) -> Vec<BurnCount> {
        let counts = std::mem::take(&mut *self.counts.lock());
        let build = |((workspace, class, minute), (total, missed)): (Key, (u64, u64))| BurnCount {
            workspace: workspace.to_string(),
            class: class.name().into(),
            minute,
            total,
            missed,
        };
        counts.into_iter().map(build).collect()
    }

    /// Reports until cancelled, and once more then.
    pub async fn run(&self, node: Arc<Node>, cx: CancellationToken) {
        let mut number = 0u64;
        loop {
            let over = tokio::select! {
                () = cx.cancelled() => true,
                () = sleep(INTERVAL) => false,
            };
            let counts = self.take();
            if !counts.is_empty() {
                number += 1;
                self.report(&node, counts, number).await;
            }
            if over {
                return;
            }
        }
    }

    async fn report(&self, node: &Node, counts: Vec<BurnCount>, number: u64) {
        let report = BurnReport { entry: node.name.to_string(), counts: counts.clone() };
        let operation = format!("burn/{}/{}/{number}", node.name, node.incarnation);
        let kind = Some(command::Kind::Burn(report));
        let command = Command { wall_ms: 0, operation, kind };
        let _ = node.control.commit(command, LIMIT).await;
    }
}
