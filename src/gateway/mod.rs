//! Gateway role of an entry: forwards opaque requests with declared token counts to endpoints that
//! announce themselves.

pub mod active_request;
pub mod budget;
pub mod choose;
pub mod config;
pub mod control_updates;
pub mod crash_watch;
pub mod dialect;
pub mod eligibility;
pub mod events;
pub mod handler;
pub mod intake;
pub mod load;
pub mod placement;
pub mod pool;
pub mod reason;
pub mod relay;
pub mod reservation;
pub mod responses;
pub mod run;
pub mod send;
pub mod startup;
pub mod state;
