//! Filter chains, which a client request passes before it becomes a job.

mod authenticate;
mod known_target;
mod prompt_size;
mod ready;
mod workspace_limit;

use std::sync::Arc;

use smol_str::SmolStr;

pub use self::authenticate::Authenticate;
pub use self::known_target::KnownTarget;
pub use self::prompt_size::PromptSize;
pub use self::ready::Ready;
pub use self::workspace_limit::WithinLimits;
use super::failure::Failure;
use super::fleet_view::FleetView;
use super::limits::{Permit, WorkspaceLimits};
use crate::config::Workspace;
use crate::ids::Tokens;
use crate::node::Node;

/// What the filters know about a request, and what they add to it.
pub struct FilterState {
    /// Node state: configuration, lease and clock.
    pub node: Arc<Node>,
    /// Fleet view, which knows this entry's share of the limits.
    pub view: Arc<FleetView>,
    /// Current usage of the workspaces.
    pub limits: Arc<WorkspaceLimits>,
    /// Bearer key of the request, if it has one.
    pub bearer: Option<String>,
    /// Workspace of the key, set by [`Authenticate`].
    pub workspace: Option<Arc<Workspace>>,
    /// Name of the model, or `service:` followed by the name of the service; empty until the body
    /// is read.
    pub target: SmolStr,
    /// Estimated prompt length; 0 until the body is read, and for services.
    pub prompt_tokens: Tokens,
    /// Concurrency slot of the workspace, set by [`WithinLimits`].
    pub permit: Option<Permit>,
}

/// One check of a filter chain.
pub trait Filter: Send + Sync {
    /// Lets a request pass, or returns the failure to report to the client.
    fn check(&self, state: &mut FilterState) -> Result<(), Failure>;
}

/// Filters in the order in which they run.
pub type FilterChain = Vec<Box<dyn Filter>>;

/// Builds the filters that run before the body is read.
pub fn build_header_filters() -> FilterChain {
    vec![Box::new(Ready), Box::new(Authenticate)]
}

/// Builds the filters that need the parsed body. The entry may have begun to drain while the body
/// arrived.
pub fn build_body_filters() -> FilterChain {
    vec![Box::new(Ready), Box::new(KnownTarget), Box::new(PromptSize), Box::new(WithinLimits)]
}

/// Runs the filters of a chain up to the first failure.
///
/// # Errors
/// The failure of the first filter that refuses the request.
pub fn run(chain: &FilterChain, state: &mut FilterState) -> Result<(), Failure> {
    chain.iter().try_for_each(|filter| filter.check(state))
}
