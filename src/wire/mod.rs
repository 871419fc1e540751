//! Protocol between the processes of the system: length-prefixed protobuf messages over TCP, many
//! calls on one connection.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod generated;

pub mod frame;
pub mod link;
mod progress;
pub mod server;

pub use self::generated::*;
