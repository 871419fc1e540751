//! Settings of an agent.

use std::net::SocketAddr;

use smol_str::SmolStr;

use super::{CommonSettings, SettingSource};
use crate::findings::Findings;

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// Settings of all roles.
    pub common: CommonSettings,
    /// Address for entries.
    pub listen: SocketAddr,
    /// Address that entries are told; the bound one if missing.
    pub advertise: Option<SocketAddr>,
    /// Addresses of control.
    pub control: Vec<SocketAddr>,
    /// Endpoints and their addresses.
    pub endpoints: Vec<(SmolStr, SocketAddr)>,
    /// Attempts that may wait for one endpoint.
    pub max_waiting: usize,
    /// Attempts that may run on one endpoint at once.
    pub max_running: usize,
}

impl AgentSettings {
    /// Reads and checks all settings.
    ///
    /// # Errors
    /// All findings with their places.
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
