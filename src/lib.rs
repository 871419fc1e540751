//! bitternlead: a serving layer for model prompts of very different lengths.

pub mod config;
pub mod control;
pub mod derive;
pub mod events;
pub mod faults;
pub mod findings;
pub mod ids;
pub mod raft;
pub mod wire;
