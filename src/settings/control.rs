//! Settings of a control replica.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::agent::read_advertise;
use super::{CommonSettings, SettingSource};
use crate::findings::Findings;

/// Settings of a control replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// Settings of all roles.
    pub common: CommonSettings,
    /// Address for the system's own processes.
    pub listen: SocketAddr,
    /// Address that others are told; the bound one if missing.
    pub advertise: Option<SocketAddr>,
    /// Address for operators.
    pub operators_listen: SocketAddr,
    /// Data folder.
    pub data: PathBuf,
    /// Addresses of the other replicas, to join their cluster.
    pub join: Vec<SocketAddr>,
    /// Bearer token of operators.
    pub operator_token: Option<String>,
    /// Lease of nodes on the configuration in milliseconds.
    pub lease_ms: u64,
    /// Shortest silence of a leader before an election in milliseconds.
    pub election_ms: u64,
    /// Interval between heartbeats in milliseconds.
    pub heartbeat_ms: u64,
    /// Time that a new leader listens to nodes before it hands out members, in milliseconds.
    pub settle_ms: u64,
    /// Log entries after which a snapshot is taken.
    pub snapshot_entries: usize,
}

impl ControlSettings {
    /// Reads and checks all settings.
    ///
    /// # Errors
    /// All findings with their places.
    pub fn read(mut source: SettingSource) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let f = &mut findings;
        let place = source.place("heartbeat_ms");
        let join_place = source.place("join");
        let settings = Self {
            common: CommonSettings::read(&mut source, f),
            listen: source.address("listen", "127.0.0.1:7400", f),
            advertise: read_advertise(&mut source, "advertise", f),
            operators_listen: source.address("operators_listen", "127.0.0.1:7401", f),
            data: source.required("data", f).into(),
            join: read_join(&mut source, join_place, f),
            operator_token: source.optional("operator_token", f),
            lease_ms: source.number("lease_ms", 500..=60_000, 3000, f),
            election_ms: source.number("election_ms", 100..=60_000, 800, f),
            heartbeat_ms: source.number("heartbeat_ms", 10..=10_000, 150, f),
            settle_ms: source.number("settle_ms", 0..=60_000, 2500, f),
            snapshot_entries: source.number("snapshot_entries", 10..=10_000_000, 20_000, f)
                as usize,
        };
        if settings.heartbeat_ms * 3 > settings.election_ms {
            findings.add(place, "has to be at most a third of election-ms");
        }
        findings.into_result(settings)
    }
}

fn read_join(
    source: &mut SettingSource,
    place: crate::findings::Place,
    findings: &mut Findings,
) -> Vec<SocketAddr> {
    let Some(text) = source.optional("join", findings) else { return Vec::new() };
    let mut list = Vec::new();
    for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
        match part.parse() {
            Ok(addr) => list.push(addr),
            Err(_) => {
                findings.add(place.clone(), format!("{part:?} is not an address; give IP:PORT"));
            }
        }
    }
    list
}
