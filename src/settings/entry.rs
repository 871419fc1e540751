//! Settings of an entry.

use std::net::SocketAddr;

use super::{CommonSettings, SettingSource};
use crate::entry::router::RoutingPolicy;
use crate::findings::Findings;

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Settings of all roles.
    pub common: CommonSettings,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Addresses of control.
    pub control: Vec<SocketAddr>,
    /// The way to choose an endpoint.
    pub routing: RoutingPolicy,
    /// Largest body of a caller in bytes.
    pub max_body: usize,
    /// Longest time for a caller's body in milliseconds.
    pub body_limit_ms: u64,
    /// Seed of random choices.
    pub seed: u64,
}

impl EntrySettings {
    /// Reads and checks all settings.
    ///
    /// # Errors
    /// All findings with their places.
    pub fn read(mut source: SettingSource) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let f = &mut findings;
        let settings = Self {
            common: CommonSettings::read(&mut source, f),
            listen: source.address("listen", "127.0.0.1:8080", f),
            control: source.addresses("control", f),
            routing: read_routing(&mut source, f),
            max_body: source.number("max_body", 1024..=67_108_864, 16_777_216, f) as usize,
            body_limit_ms: source.number("body_limit_ms", 100..=600_000, 30_000, f),
            seed: source.number("seed", 0..=u64::MAX, rand::random(), f),
        };
        findings.into_result(settings)
    }
}

fn read_routing(source: &mut SettingSource, findings: &mut Findings) -> RoutingPolicy {
    let place = source.place("routing");
    let text = source.text("routing", "predicted", findings);
    text.parse().unwrap_or_else(|()| {
        let names = "predicted, round-robin, least-requests, random-two";
        findings.add(place, format!("{text:?} is none of {names}"));
        RoutingPolicy::default()
    })
}
