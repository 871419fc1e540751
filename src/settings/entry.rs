//! Settings of an entry, the process that accepts callers' requests.

use std::net::SocketAddr;

use super::{CommonSettings, SettingSource};
use crate::entry::router::RoutingPolicy;
use crate::findings::Findings;

/// Settings of an entry, from flags and environment variables.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Settings that all roles share.
    pub common: CommonSettings,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Addresses of control replicas.
    pub control: Vec<SocketAddr>,
    /// Policy that selects the endpoint of a request.
    pub routing: RoutingPolicy,
    /// Maximum size of a request body in bytes.
    pub max_body: usize,
    /// Time within which the whole request body has to arrive, in milliseconds.
    pub body_limit_ms: u64,
    /// Seed of the random number generator; random unless it is set.
    pub seed: u64,
}

impl EntrySettings {
    /// Parses and validates all settings.
    ///
    /// # Errors
    /// All missing or invalid settings, each with its flag or variable.
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
        findings.add(place, format!("{text:?} is not one of {names}"));
        RoutingPolicy::default()
    })
}
