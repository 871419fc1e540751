//! The whole path on a stand-in of the users' platform, with real processes.

mod deployment;
mod requests;
mod servers;
mod system;
