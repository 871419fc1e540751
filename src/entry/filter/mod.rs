//! The filter chain that a caller's request passes before it becomes a job.

mod authenticate;
mod concurrency;
mod known_target;
mod prompt_size;
mod ready;

use std::sync::Arc;

use smol_str::SmolStr;

pub use self::authenticate::Authenticate;
pub use self::concurrency::WithinLimits;
pub use self::known_target::KnownTarget;
pub use self::prompt_size::PromptSize;
pub use self::ready::Ready;
use super::failure::Failure;
use super::fleet_view::FleetView;
use super::limits::{Permit, WorkspaceLimits};
use crate::config::Workspace;
use crate::ids::Tokens;
use crate::node::Node;

/// A request between two filters.
pub struct RequestState {
    /// This node.
    pub node: Arc<Node>,
    /// Endpoints.
    pub view: Arc<FleetView>,
    /// Limits of workspaces.
    pub limits: Arc<WorkspaceLimits>,
    /// Bearer key.
    pub bearer: Option<String>,
    /// Workspace, once known.
    pub workspace: Option<Arc<Workspace>>,
    /// Model, or `service:` and the service's name.
    pub target: SmolStr,
    /// Prompt length.
    pub prompt_tokens: Tokens,
    /// Counts against the workspace's limits, once granted.
    pub permit: Option<Permit>,
}

/// One step of the chain.
pub trait Filter: Send + Sync {
    /// Lets a request pass or refuses it.
    fn check(&self, state: &mut RequestState) -> Result<(), Failure>;
}

/// Filters in their order.
pub type Chain = Vec<Box<dyn Filter>>;

/// Filters that run before the body is read.
pub fn head_chain() -> Chain {
    vec![Box::new(Ready), Box::new(Authenticate)]
}

/// Filters that run once the body is known.
pub fn body_chain() -> Chain {
    vec![Box::new(KnownTarget), Box::new(PromptSize), Box::new(WithinLimits)]
}

/// Runs a chain.
pub fn run(chain: &Chain, state: &mut RequestState) -> Result<(), Failure> {
    chain.iter().try_for_each(|filter| filter.check(state))
}
