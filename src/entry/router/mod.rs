//! Routing policies, which choose the endpoint for an attempt.

pub mod group;
mod least_requests;
mod predicted;
mod random_two;
mod round_robin;

use std::str::FromStr;

use rand_chacha::ChaCha8Rng;

pub use self::least_requests::LeastRequests;
pub use self::predicted::{Predicted, first_token_estimate};
pub use self::random_two::RandomTwo;
pub use self::round_robin::RoundRobin;
use crate::config::FleetLimits;
use crate::ids::{EndpointName, Tokens, ZoneName};
use crate::wire::Load;

/// Properties of a request that a routing decision depends on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteRequest {
    /// Prompt length; after a failed attempt it includes the tokens already streamed.
    pub prompt_tokens: Tokens,
    /// Largest number of tokens that remain to be generated.
    pub output_tokens: Tokens,
    /// Availability zone of this entry; engines elsewhere cost more.
    pub zone: ZoneName,
    /// Fleet-wide limits from the configuration, such as the length of a long prompt.
    pub limits: FleetLimits,
}

/// An endpoint that can accept the attempt, with what this entry knows about it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Endpoint name, unique in the fleet.
    pub endpoint: EndpointName,
    /// Availability zone of the endpoint, compared with that of the entry.
    pub zone: ZoneName,
    /// Last reported load plus the attempts that this entry has sent since the report.
    pub load: Load,
    /// Prompt tokens that the prefix cache of the engine probably holds.
    pub cached: Tokens,
    /// Slow-start weight from 0 to 1; it reaches 1 some seconds after the endpoint joined.
    pub slow_start_weight: f64,
}

/// A routing policy.
///
/// Candidates are never empty, and exclude endpoints that drain or whose circuit breaker is open.
pub trait Router: Send + Sync {
    /// Returns the index of the chosen candidate, or `None` when the request fits none of them.
    fn choose(
        &self,
        req: &RouteRequest,
        candidates: &[Candidate],
        rng: &mut ChaCha8Rng,
    ) -> Option<usize>;
}

/// Routing policies by their names in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Lowest predicted time to first token plus the delay caused to other requests.
    #[default]
    Predicted,
    /// Candidates in rotation.
    RoundRobin,
    /// Fewest running and queued requests.
    LeastRequests,
    /// The less loaded of two random candidates.
    RandomTwo,
}

impl FromStr for RoutingPolicy {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "predicted" => Ok(Self::Predicted),
            "round-robin" => Ok(Self::RoundRobin),
            "least-requests" => Ok(Self::LeastRequests),
            "random-two" => Ok(Self::RandomTwo),
            _ => Err(()),
        }
    }
}

impl RoutingPolicy {
    /// Builds the router that implements this policy.
    pub fn build(self) -> Box<dyn Router> {
        match self {
            Self::Predicted => Box::new(Predicted::default()),
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::LeastRequests => Box::new(LeastRequests),
            Self::RandomTwo => Box::new(RandomTwo),
        }
    }
}
