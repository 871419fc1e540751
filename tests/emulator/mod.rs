//! Offline emulator of engines, entries and callers in virtual time.
//!
//! Entries run the gateway's placement code on views that lag behind each other. Engines work in
//! passes as their services publish it: parts of shared prompts are prefilled before other
//! prompts, the newest part first, and a pass with decoding streams runs `stride` decoding steps.

#![allow(dead_code)]

pub mod engine;
pub mod fleet;
pub mod load;
pub mod router;
