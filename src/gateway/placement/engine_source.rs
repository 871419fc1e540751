//! Engines whose states are derived only when a decision asks for them.
//!
//! A short prompt looks at a sample of the engines; the state of all others is not derived for it.

use std::cell::OnceCell;

use super::engine_model::EngineModel;
use super::engine_state::{EngineState, align_shared_prefills, is_short};
use crate::directory::EndpointId;
use crate::gateway::load::in_flight::{InFlightSend, InFlightSends};
use crate::ids::Moment;

/// The candidates of a decision, in an order that all entries share.
pub trait EngineSource {
    /// Number of engines.
    fn count(&self) -> usize;

    /// Identity of one engine's endpoint.
    fn id(&self, index: usize) -> &EndpointId;

    /// State of one engine on its own: a part of a shared prompt counts as done when this engine is
    /// done with it. That makes no difference to a prompt that one engine prefills.
    fn state(&self, index: usize) -> EngineState;

    /// States of all engines; a part of a shared prompt counts as done when all engines are.
    fn all(&self) -> &[EngineState];

    /// Number of requests in flight whose prompts are short, at all engines.
    fn short_streams(&self) -> usize;

    /// Share of its usual load that one engine may take.
    fn load_share(&self, index: usize) -> f64;
}

impl EngineSource for [EngineState] {
    fn count(&self) -> usize {
        self.len()
    }

    fn id(&self, index: usize) -> &EndpointId {
        &self[index].id
    }

    fn state(&self, index: usize) -> EngineState {
        self[index].clone()
    }

    fn all(&self) -> &[EngineState] {
        self
    }

    fn short_streams(&self) -> usize {
        self.iter().map(|e| e.short_streams).sum()
    }

    fn load_share(&self, index: usize) -> f64 {
        self[index].load_share()
    }
}

/// Engines with the sends in flight that an entry knows of.
pub struct KnownEngines<'a, F, S> {
    model: &'a EngineModel,
    now: Moment,
    ids: Vec<&'a EndpointId>,
    in_flight: &'a InFlightSends,
    /// Adds to the state of the engine at an index what does not follow from sends.
    complete: F,
    /// Share of its usual load that the engine at an index may take.
    load_share: S,
    all: OnceCell<Vec<EngineState>>,
}

impl<'a, F: Fn(usize, &mut EngineState), S: Fn(usize) -> f64> KnownEngines<'a, F, S> {
    /// Lists the engines with these ids. `complete` adds to the state of the engine at an index what
    /// does not follow from sends; `load_share` is the share of its usual load that it may take.
    pub fn new(
        model: &'a EngineModel,
        now: Moment,
        ids: impl Iterator<Item = &'a EndpointId>,
        in_flight: &'a InFlightSends,
        complete: F,
        load_share: S,
    ) -> Self {
        let ids = ids.collect();
        Self { model, now, ids, in_flight, complete, load_share, all: OnceCell::new() }
    }
}

impl<F, S> EngineSource for KnownEngines<'_, F, S>
where
    F: Fn(usize, &mut EngineState),
    S: Fn(usize) -> f64,
{
    fn count(&self) -> usize {
        self.ids.len()
    }

    fn id(&self, index: usize) -> &EndpointId {
        self.ids[index]
    }

    fn state(&self, index: usize) -> EngineState {
        if let Some(all) = self.all.get() {
            return all[index].clone();
        }
        let id = self.ids[index];
        let sends = self.in_flight.sends_at(id).chain(self.in_flight.ended_prefills_at(id));
        let sends: Vec<&InFlightSend> = sends.collect();
        let mut state = EngineState::from_sends(id.clone(), self.model, self.now, &sends);
        (self.complete)(index, &mut state);
        state
    }

    fn all(&self) -> &[EngineState] {
        self.all.get_or_init(|| {
            let mut states: Vec<EngineState> = (0..self.count()).map(|i| self.state(i)).collect();
            align_shared_prefills(&mut states);
            states
        })
    }

    fn short_streams(&self) -> usize {
        let sends = self.ids.iter().flat_map(|id| self.in_flight.sends_at(id));
        sends.filter(|f| is_short(self.model, f)).count()
    }

    fn load_share(&self, index: usize) -> f64 {
        (self.load_share)(index)
    }
}
