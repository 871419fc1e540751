//! Drains of availability zones: the orders of operators, and the configuration records that hold them.

use std::collections::BTreeSet;

use tokio::sync::oneshot;

use super::config_records::ConfigRecords;
use super::core::{Answer, CoreView, Input};
use super::service::{CallError, ControlService};
use crate::config::fleet_config::ZONE_DRAIN_PREFIX;
use crate::wire::{Change, Command, ConfigRecord, Outcome, ZoneDrains, command};

/// Builds the change that drains a zone or ends its drain.
///
/// ```
/// use bitternlead::control::config_records::ConfigRecords;
/// use bitternlead::control::zone_drains::{build_change, read};
///
/// let mut records = ConfigRecords::default();
/// records.apply(build_change("north", true));
/// assert_eq!(read(&records).zones, ["north"]);
/// records.apply(build_change("north", false));
/// assert!(read(&records).zones.is_empty());
/// ```
pub fn build_change(zone: &str, drained: bool) -> Change {
    let key = format!("{ZONE_DRAIN_PREFIX}{zone}");
    let value = drained.then(|| "true".to_owned());
    let records = vec![ConfigRecord { key, version: 0, value }];
    Change { base: 0, records, author: String::new() }
}

/// Drained zones in the order of their names, with the version of the records as the revision.
pub fn read(records: &ConfigRecords) -> ZoneDrains {
    let drained = records.with_prefix(ZONE_DRAIN_PREFIX).filter(|r| r.value.is_some());
    let zones = drained.map(|r| r.key[ZONE_DRAIN_PREFIX.len()..].to_owned()).collect();
    ZoneDrains { revision: records.version(), zones }
}

/// Zones that are drained or were once drained.
pub fn recorded_zones(records: &ConfigRecords) -> Vec<String> {
    let all = records.with_prefix(ZONE_DRAIN_PREFIX);
    all.map(|r| r.key[ZONE_DRAIN_PREFIX.len()..].to_owned()).collect()
}

/// Whether a command drains a zone or ends its drain.
pub fn is_zone_drain(command: &Command) -> bool {
    let Some(command::Kind::Change(change)) = &command.kind else { return false };
    change.records.iter().any(|r| r.key.starts_with(ZONE_DRAIN_PREFIX))
}

/// Why this replica did not drain a zone or end its drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneDrainError {
    /// There is no such zone; the zones that exist.
    UnknownZone(BTreeSet<String>),
    /// The call was not answered.
    Call(CallError),
}

impl ControlService {
    /// Drains an availability zone or ends its drain; returns once the order is committed. Repeated
    /// orders are committed again, so that an acknowledgement always means as many copies.
    ///
    /// # Errors
    /// Only a confirmed leader knows that there is no such zone. Other errors are as for
    /// [`ControlService::propose_document`].
    pub async fn set_zone_drain(
        &self,
        zone: &str,
        drained: bool,
    ) -> Result<Outcome, ZoneDrainError> {
        let is_name = !zone.is_empty() && !zone.contains('/');
        let mut known = self.known_zones();
        if !is_name {
            return Err(ZoneDrainError::UnknownZone(known));
        }
        if !known.contains(zone) {
            known.extend(self.recorded_zones().await.map_err(ZoneDrainError::Call)?);
        }
        if !known.contains(zone) {
            return Err(ZoneDrainError::UnknownZone(known));
        }
        let kind = Some(command::Kind::Change(build_change(zone, drained)));
        let command = Command { kind, ..Command::default() };
        self.call(|tx| Input::Propose(command, tx)).await.map_err(ZoneDrainError::Call)
    }

    /// Zones of the settings, of the replicas and of the announced endpoints.
    fn known_zones(&self) -> BTreeSet<String> {
        let mut zones = self.hub().zones();
        zones.extend(self.zones.iter().cloned());
        zones.extend(self.published().replicas.iter().map(|r| r.zone.clone()));
        zones.remove("");
        zones
    }

    /// Zones of which the confirmed leader has a record.
    async fn recorded_zones(&self) -> Result<Vec<String>, CallError> {
        let read = |tx: oneshot::Sender<Answer<Vec<String>>>| {
            Input::Read(Box::new(move |view: CoreView<'_>| {
                let answer = match view.may_read {
                    true => Answer::Done(recorded_zones(&view.state.config)),
                    false => Answer::NotLeader(view.other_leader()),
                };
                let _ = tx.send(answer);
            }))
        };
        self.call(read).await
    }
}
