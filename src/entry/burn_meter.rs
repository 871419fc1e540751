//! Counts requests and missed latency objectives for burn rates, and reports them to control.

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

/// Interval between reports to control.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Longest time to commit one report; its counts are lost after that.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Prompt tokens that add one millisecond to the objective for the time to first token.
const TOKENS_PER_MS: Tokens = 5;

/// Workspace, prompt class, and minutes since 1970.
type CountKey = (SmolStr, PromptClass, u64);

/// Counts of requests and missed objectives that were not reported yet.
#[derive(Debug, Default)]
pub struct BurnMeter {
    counts: Mutex<HashMap<CountKey, (u64, u64)>>,
}

/// Returns the objective for the time to first token, which grows with the prompt length.
pub fn first_token_objective(workspace: &Workspace, prompt_tokens: Tokens) -> Duration {
    Duration::from_millis(workspace.objective_ms + prompt_tokens / TOKENS_PER_MS)
}

impl BurnMeter {
    /// Counts a request; one without a first token, such as a failed one, misses its objective.
    pub fn record(
        &self,
        workspace: &Workspace,
        prompt_tokens: Tokens,
        first_token: Option<Duration>,
    ) {
        let target = first_token_objective(workspace, prompt_tokens);
        let missed = first_token.is_none_or(|ttft| ttft > target);
        let class = PromptClass::of(prompt_tokens);
        let key = (workspace.name.clone(), class, wall_ms() / 60_000);
        let mut counts = self.counts.lock();
        let count = counts.entry(key).or_default();
        count.0 += 1;
        count.1 += u64::from(missed);
    }

    /// Takes the counts for a report and starts again at zero.
    fn drain(&self) -> Vec<BurnCount> {
        let counts = std::mem::take(&mut *self.counts.lock());
        let build =
            |((workspace, class, minute), (total, missed)): (CountKey, (u64, u64))| BurnCount {
                workspace: workspace.to_string(),
                class: class.name().into(),
                minute,
                total,
                missed,
            };
        counts.into_iter().map(build).collect()
    }

    /// Reports at each interval until cancelled, and sends a last report then.
    pub async fn run(&self, node: Arc<Node>, cx: CancellationToken) {
        let mut number = 0u64;
        loop {
            let is_last = tokio::select! {
                () = cx.cancelled() => true,
                () = sleep(REPORT_INTERVAL) => false,
            };
            let counts = self.drain();
            if !counts.is_empty() {
                number += 1;
                self.report(&node, counts, number).await;
            }
            if is_last {
                return;
            }
        }
    }

    /// Commits a report; the operation id makes a repeated commit idempotent.
    async fn report(&self, node: &Node, counts: Vec<BurnCount>, number: u64) {
        let report = BurnReport { entry: node.name.to_string(), counts: counts.clone() };
        let operation = format!("burn/{}/{}/{number}", node.name, node.incarnation);
        let kind = Some(command::Kind::Burn(report));
        let command = Command { wall_ms: 0, operation, kind };
        let _ = node.control.commit(command, REPORT_TIMEOUT).await;
    }
}
