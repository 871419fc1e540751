//! Protocol between the processes of the system: framed protobuf messages over TCP.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod generated;

pub mod frame;
pub mod link;
pub mod server;

pub use self::generated::*;
