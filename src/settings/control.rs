//! Settings of a control replica, a member of the replicated state machine.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::agent::read_advertise;
use super::{CommonSettings, SettingSource};
use crate::findings::Findings;

/// Settings of a control replica, from flags and environment variables.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// Settings that all roles share.
    pub common: CommonSettings,
    /// Address on which other replicas, entries and agents connect.
    pub listen: SocketAddr,
    /// Address that is reported to other processes; the bound address if missing.
    pub advertise: Option<SocketAddr>,
    /// Address of the operators' HTTP API.
    pub operators_listen: SocketAddr,
    /// Data directory, which holds the replicated log and its snapshots.
    pub data: PathBuf,
    /// Addresses of replicas whose cluster this one joins; empty if it joins none.
    pub join: Vec<SocketAddr>,
    /// Bearer token that operators have to send; `None` accepts requests without one.
    pub operator_token: Option<String>,
    /// Lease on the configuration that a node gets with each sync, in milliseconds.
    pub lease_ms: u64,
    /// Minimum time without word from a leader before an election starts, in milliseconds.
    pub election_ms: u64,
    /// Interval between the leader's heartbeats in milliseconds; at most a third of `election_ms`,
    /// so that a single lost heartbeat causes no election.
    pub heartbeat_ms: u64,
    /// Time for which a new leader collects reports of nodes before it serves the list of members,
    /// in milliseconds.
    pub settle_ms: u64,
    /// Number of log entries after which a snapshot is taken.
    pub snapshot_entries: usize,
}

impl ControlSettings {
    /// Parses and validates all settings.
    ///
    /// # Errors
    /// All missing or invalid settings, each with its flag or variable.
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
            findings.add(place, "must be at most a third of election-ms");
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
