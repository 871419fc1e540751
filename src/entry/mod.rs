//! The entry role: callers' HTTP, the filter chain, routing, attempts and streaming.

pub mod assembly;
pub mod breaker;
pub mod limits;
pub mod prefix;
pub mod prompt_class;
pub mod retry;
pub mod router;
