//! Sends in flight, of this entry and of all others.
//!
//! Sends of this entry and load reports of other entries come in; the load of each endpoint, and the
//! reports for other entries, go out.

pub mod ended_prefills;
pub mod flight_codec;
pub mod in_flight;
pub mod load_exchange;
pub mod moving_average;
pub mod replay;
pub mod send_table;
