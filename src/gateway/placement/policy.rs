//! Switches of the mechanisms that decide about requests.

/// Which mechanisms are in use. All of them are by default; tests and simulations switch single
/// ones off to measure what each is worth.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Several engines prefill parts of one prompt.
    pub helpers: bool,
    /// Helpers hold KV cache for prompts over one engine's memory.
    pub reservations: bool,
    /// The first engines are kept for short prompts.
    pub short_engines: bool,
    /// Short prompts look at a sample of these engines first.
    pub engine_samples: bool,
    /// Long prompts wait at the entry while others would lose too much by them.
    pub wait_long: bool,
    /// Late short requests wait at the entry for a slot to spare.
    pub wait_late_short: bool,
    /// Long prefills must be worth their engine time while the fleet is busy.
    pub prefill_price: bool,
    /// Callers that return after a refusal pay less of that price.
    pub retry_relief: bool,
    /// Plans are charged for the pauses that they cause to streams.
    pub pause_cost: bool,
    /// Plans are charged for the prompts that they delay.
    pub delay_cost: bool,
    /// Recent failures and slowness of an engine count.
    pub health_estimates: bool,
    /// Entries tell each other about their sends.
    pub load_exchange: bool,
    /// Requests of services with several priorities wait in one order.
    pub placement_queue: bool,
    /// Less urgent requests leave capacity for more urgent ones that wait at other entries.
    pub shared_demand: bool,
    /// Requests wait for the first configuration after a start.
    pub wait_for_config: bool,
    /// Bodies and answers are held within a budget where the settings name a memory limit, and
    /// callers that read nothing are disconnected.
    pub memory_budget: bool,
    /// Entries tell each other what they observe of endpoints.
    pub pooled_evidence: bool,
    /// All entries together send a bounded rate to cold endpoints.
    pub cold_bound: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            helpers: true,
            reservations: true,
            short_engines: true,
            engine_samples: true,
            wait_long: true,
            wait_late_short: true,
            prefill_price: true,
            retry_relief: true,
            pause_cost: true,
            delay_cost: true,
            health_estimates: true,
            load_exchange: true,
            placement_queue: true,
            shared_demand: true,
            wait_for_config: true,
            memory_budget: true,
            pooled_evidence: true,
            cold_bound: true,
        }
    }
}

impl Policy {
    /// The policy without the mechanisms of these names.
    ///
    /// # Errors
    /// A name is unknown; the text lists the known ones.
    ///
    /// ```
    /// use bitternlead::gateway::placement::policy::Policy;
    ///
    /// let policy = Policy::without(&["helpers", "retry-relief"]).unwrap();
    /// assert!(!policy.helpers && !policy.retry_relief && policy.wait_long);
    /// assert!(Policy::without(&["magic"]).is_err());
    /// ```
    pub fn without(names: &[impl AsRef<str>]) -> Result<Self, String> {
        let mut policy = Self::default();
        for name in names.iter().map(AsRef::as_ref) {
            let found = policy.switches().into_iter().find(|(known, _)| *known == name);
            let Some((_, switch)) = found else {
                let known = Self::names().join(", ");
                return Err(format!("no mechanism {name:?}; use one of {known}"));
            };
            *switch = false;
        }
        Ok(policy)
    }

    /// Names of all mechanisms.
    pub fn names() -> Vec<&'static str> {
        Self::default().switches().into_iter().map(|(name, _)| name).collect()
    }

    fn switches(&mut self) -> Vec<(&'static str, &mut bool)> {
        vec![
            ("helpers", &mut self.helpers),
            ("reservations", &mut self.reservations),
            ("short-engines", &mut self.short_engines),
            ("engine-samples", &mut self.engine_samples),
            ("wait-long", &mut self.wait_long),
            ("wait-late-short", &mut self.wait_late_short),
            ("prefill-price", &mut self.prefill_price),
            ("retry-relief", &mut self.retry_relief),
            ("pause-cost", &mut self.pause_cost),
            ("delay-cost", &mut self.delay_cost),
            ("health-estimates", &mut self.health_estimates),
            ("load-exchange", &mut self.load_exchange),
            ("placement-queue", &mut self.placement_queue),
            ("shared-demand", &mut self.shared_demand),
            ("wait-for-config", &mut self.wait_for_config),
            ("memory-budget", &mut self.memory_budget),
            ("pooled-evidence", &mut self.pooled_evidence),
            ("cold-bound", &mut self.cold_bound),
        ]
    }
}
