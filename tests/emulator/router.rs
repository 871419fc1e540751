//! Routing policies: the gateway's placement code and simple policies to compare it with.

use bitternlead::gateway::placement::engine_model::EngineModel;
use bitternlead::gateway::placement::engine_source::EngineSource;
use bitternlead::gateway::placement::policy::Policy;
use bitternlead::gateway::placement::{
    Decision, OrderContext, PlacementRequest, Plan, decide_among,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// A routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Router {
    /// The gateway's placement code.
    Gateway,
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest requests.
    LeastRequests,
    /// The one with fewer requests of two random engines.
    RandomTwo,
}

impl Router {
    /// Name used in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Gateway => "own",
            Self::RoundRobin => "round robin",
            Self::LeastRequests => "least requests",
            Self::RandomTwo => "random two",
        }
    }

    #[allow(clippy::too_many_arguments)]
    /// Places one request; `turn` counts requests.
    pub fn decide(
        self,
        policy: &Policy,
        model: &EngineModel,
        engines: &impl EngineSource,
        req: &PlacementRequest,
        order: Option<&OrderContext>,
        turn: usize,
        rng: &mut ChaCha8Rng,
    ) -> Decision {
        let count = engines.count();
        let primary = match self {
            Self::Gateway => return decide_among(policy, model, engines, req, order),
            Self::RoundRobin => turn % count,
            Self::LeastRequests => {
                (0..count).min_by_key(|at| engines.all()[*at].request_count).unwrap_or_default()
            }
            Self::RandomTwo => {
                let (a, b) = (rng.random_range(0..count), rng.random_range(0..count));
                let engines = engines.all();
                if engines[a].request_count <= engines[b].request_count { a } else { b }
            }
        };
        if req.prompt_tokens + req.output_tokens > model.memory_tokens {
            return Decision::TooLarge;
        }
        let part_ms = model.prefill_ms(req.prompt_tokens);
        Decision::Send(Plan {
            primary,
            helpers: Vec::new(),
            part_ms,
            first_token_ms: 0.0,
            others_loss: 0.0,
            late: false,
        })
    }
}
