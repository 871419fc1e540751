//! Which requests an endpoint crashed under.
//!
//! In come sends, what became of them, and refused connections. Out go crashes with their suspects, and
//! answers that clear requests, to [`crate::quarantine`] and to control.

pub mod open_send;
pub mod recent_suspects;
pub mod watch;
