//! Adapter to the users' platform: its names, formats and calls, translated and nothing more.

pub mod control;
pub mod document;
pub mod headers;
pub mod roles;
pub mod settings;
