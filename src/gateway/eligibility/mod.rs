//! Says which endpoints a request may be sent to, and from when on.
//!
//! Announcements, answers of endpoints, the outcome of sends and reports of other entries come in;
//! the list of ready endpoints and an [`Eligibility`] for each of them go out.

pub mod endpoint_limits;
pub mod endpoints;
pub mod health;
