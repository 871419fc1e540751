//! Settings of an agent, the process beside endpoints that runs attempts on them.

use std::net::SocketAddr;

use smol_str::SmolStr;

use super::{CommonSettings, SettingSource};
use crate::findings::Findings;

/// Settings of an agent, from flags and environment variables.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// Settings that all roles share.
    pub common: CommonSettings,
    /// Address on which entries connect.
    pub listen: SocketAddr,
    /// Address that is reported to entries; the bound address if missing.
    pub advertise: Option<SocketAddr>,
    /// Addresses of control replicas.
    pub control: Vec<SocketAddr>,
    /// Names of the endpoints that this agent manages, with their addresses.
    pub endpoints: Vec<(SmolStr, SocketAddr)>,
    /// Maximum number of attempts that wait for one endpoint.
    pub max_waiting: usize,
    /// Maximum number of attempts that run on one endpoint at once.
    pub max_running: usize,
}

impl AgentSettings {
    /// Parses and validates all settings.
    ///
    /// # Errors
    /// All missing or invalid settings, each with its flag or variable.
    pub fn read(mut source: SettingSource) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let f = &mut findings;
        let settings = Self {
            common: CommonSettings::read(&mut source, f),
            listen: source.address("listen", "127.0.0.1:0", f),
            advertise: read_advertise(&mut source, "advertise", f),
            control: source.addresses("control", f),
            endpoints: source.named_addresses("endpoints", f),
            max_waiting: source.number("max_waiting", 1..=1_000_000, 512, f) as usize,
            max_running: source.number("max_running", 1..=1_000_000, 256, f) as usize,
        };
        findings.into_result(settings)
    }
}

/// Takes an optional address that is reported to other processes.
pub(super) fn read_advertise(
    source: &mut SettingSource,
    name: &str,
    findings: &mut Findings,
) -> Option<SocketAddr> {
    let place = source.place(name);
    let text = source.optional(name, findings)?;
    let parsed = text.parse().ok();
    if parsed.is_none() {
        findings.add(place, format!("{text:?} is not an address; give IP:PORT"));
    }
    parsed
}
