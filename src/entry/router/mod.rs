//! Chooses an endpoint for an attempt.

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

/// What a choice depends on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteRequest {
    /// Prompt length.
    pub prompt_tokens: Tokens,
    /// Longest answer.
    pub output_tokens: Tokens,
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Limits of the fleet.
    pub limits: FleetLimits,
}

/// An endpoint that could take the attempt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Name.
    pub endpoint: EndpointName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Load, corrected by what this entry has sent since the report.
    pub load: Load,
    /// Prompt tokens that its prefix cache probably holds.
    pub cached: Tokens,
    /// Share of full use that a new endpoint is allowed, from 0 to 1.
    pub warmth: f64,
}

/// A way to choose. Candidates are never empty, unfit, leaving or suspect.
pub trait Router: Send + Sync {
    /// Index of the chosen candidate; `None` when none should take it.
    fn choose(
        &self,
        req: &RouteRequest,
        candidates: &[Candidate],
        rng: &mut ChaCha8Rng,
    ) -> Option<usize>;
}

/// The ways to choose, by name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Routing {
    /// Least predicted time to first token and harm to others.
    #[default]
    Predicted,
    /// Each in turn.
    RoundRobin,
    /// Fewest requests.
    LeastRequests,
    /// The less loaded of two random ones.
    RandomTwo,
}

impl FromStr for Routing {
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

impl Routing {
    /// Builds the router.
    pub fn build(self) -> Box<dyn Router> {
        match self {
            Self::Predicted => Box::new(Predicted::default()),
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::LeastRequests => Box::new(LeastRequests),
            Self::RandomTwo => Box::new(RandomTwo),
        }
    }
}
