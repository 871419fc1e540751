//! An offline emulator of engines, entries and callers in virtual time.
//!
//! Entries run the product's own placing code on views that lag behind each other. Engines work
//! in passes as their services publish it: parts of a prompt that several engines read go ahead
//! of other reading, the newest first; a pass with writers makes a stride of steps.

#![allow(dead_code)]

pub mod engine;
pub mod fleet;
pub mod load;
pub mod router;
