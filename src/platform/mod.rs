//! Adapter to the users' platform: translates its names, formats and HTTP calls. No other module
//! knows them, and nothing is decided here.

pub mod control;
pub mod document;
pub mod headers;
pub mod roles;
pub mod settings;
