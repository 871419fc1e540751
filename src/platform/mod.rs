//! Adapter to the users' platform: translates its names, formats and HTTP calls. No other module
//! knows them, and nothing is decided here.

pub mod checked_document;
pub mod control;
pub mod document;
pub mod document_in_force;
pub mod headers;
pub mod health;
pub mod roles;
pub mod settings;
