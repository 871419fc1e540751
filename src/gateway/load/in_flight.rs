//! Table of the sends in flight: those of this entry and those that other entries report.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use smol_str::SmolStr;

use super::ended_prefills::EndedPrefills;
use super::flight_codec::{SendNumber, decode_flight, encode_flights};
pub use super::send_table::SendKey;
use super::send_table::SendTable;
use crate::directory::EndpointId;
use crate::ids::Moment;
use crate::wire;

/// Age after which the load reported by another entry is dropped.
const REMOTE_LOAD_TTL: Duration = Duration::from_millis(2000);

/// A request in flight at one endpoint, or the part of its prompt that a helper prefills.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InFlightSend {
    /// Endpoint that received the send.
    pub endpoint: EndpointId,
    /// Hash of the request id; the parts of one prompt share it.
    pub request_hash: u64,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Maximum output length in tokens.
    pub output_tokens: u64,
    /// Prompt tokens that this endpoint prefills.
    pub prefill_tokens: u64,
    /// Prefill time at this endpoint in milliseconds, at the published speed.
    pub prefill_ms: f64,
    /// When the request was sent.
    pub sent_at: Moment,
    /// Output tokens produced so far; 0 during prefill.
    pub written_tokens: u64,
    /// Maximum pause between events before the stream counts as late, in milliseconds; 0 for no
    /// limit.
    pub pause_limit_ms: f64,
    /// KV cache held at this endpoint in tokens.
    pub held_tokens: u64,
    /// Whether the endpoint only prefills a part of the prompt for another endpoint.
    pub is_helper: bool,
    /// Whether several endpoints share the prefill.
    pub shared: bool,
    /// Objective for the first token when the request was sent, in milliseconds.
    pub objective_ms: f64,
    /// Whether the request already missed its objective and is queued behind others.
    pub late: bool,
    /// When the prefill ended; `None` while the send is in flight.
    pub prefill_ended_at: Option<Moment>,
}

impl InFlightSend {
    /// Whether the endpoint has nothing left to prefill: the stream has begun, or a helper only holds
    /// KV cache for it.
    pub fn has_ended_prefill(&self) -> bool {
        self.written_tokens > 0 || self.prefill_ms == 0.0
    }
}

#[derive(Default)]
struct RemoteLoad {
    /// Incarnation of the other entry and number of its newest report; `None` before the first.
    position: Option<(u64, u64)>,
    received_at: Moment,
    /// False while reports are missing, until the other entry has sent all its sends again.
    is_complete: bool,
    sends: HashMap<SendNumber, SendKey>,
}

/// What became of a report of another entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It was applied, and the sends of the other entry are known completely.
    Applied,
    /// It was applied, but earlier reports are missing; the other entry has to send all its sends.
    Incomplete,
    /// A newer report was applied before, so it was ignored.
    Outdated,
}

/// Changes of the sends of this entry since the last report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadChanges {
    /// Sends that were added or changed.
    pub flights: Vec<wire::Flight>,
    /// Numbers of the sends that ended.
    pub ended: Vec<SendNumber>,
}

/// All sends in flight that this entry knows of.
#[derive(Default)]
pub struct InFlightSends {
    table: SendTable,
    /// Sends of this entry.
    local: BTreeMap<SendNumber, SendKey>,
    last_number: SendNumber,
    /// Sends of this entry that were added or changed since the last report.
    changed: Vec<SendKey>,
    /// Sends of this entry that ended since the last report.
    ended: Vec<SendNumber>,
    remote: HashMap<SmolStr, RemoteLoad>,
    ended_prefills: EndedPrefills,
}

impl InFlightSends {
    /// Adds a send of this entry.
    pub fn insert(&mut self, send: InFlightSend) -> SendKey {
        self.last_number = self.last_number.wrapping_add(1).max(1);
        let key = self.table.insert(self.last_number, send);
        self.local.insert(self.last_number, key);
        self.changed.push(key);
        key
    }

    /// Removes a send of this entry.
    pub fn remove(&mut self, now: Moment, key: SendKey) -> Option<InFlightSend> {
        let (number, send) = self.table.remove(key)?;
        self.local.remove(&number);
        self.ended.push(number);
        self.ended_prefills.record(now, &send);
        Some(send)
    }

    /// Adds tokens to the output of a send of this entry; true if they are the first ones, which
    /// end its prefill.
    pub fn add_output(&mut self, now: Moment, key: SendKey, tokens: u64) -> bool {
        let Some(send) = self.table.get_mut(key) else { return false };
        let is_first = send.written_tokens == 0;
        if is_first {
            self.ended_prefills.record(now, send);
            self.changed.push(key);
        }
        send.written_tokens += tokens;
        is_first
    }

    /// Records that the prefill of a shared prompt has ended at a helper. What remains of its send is
    /// the KV cache that the helper holds until the stream ends.
    pub fn end_helper_prefill(&mut self, now: Moment, key: SendKey) {
        let Some(send) = self.table.get_mut(key) else { return };
        if send.held_tokens == 0 {
            self.remove(now, key);
            return;
        }
        self.ended_prefills.record(now, send);
        (send.prefill_tokens, send.prefill_ms) = (0, 0.0);
        self.changed.push(key);
    }

    /// Returns a send of this entry for an update, which must not change its endpoint. Other entries
    /// learn of the update only after [`Self::mark_changed`].
    pub fn get_mut(&mut self, key: SendKey) -> Option<&mut InFlightSend> {
        self.table.get_mut(key)
    }

    /// Includes a send of this entry in the next report.
    pub fn mark_changed(&mut self, key: SendKey) {
        self.changed.push(key);
    }

    /// Number of sends in flight that this entry made.
    pub fn local_count(&self) -> usize {
        self.local.len()
    }

    /// Encodes all sends of this entry for other entries.
    pub fn encode_local(&self, now: Moment) -> Vec<wire::Flight> {
        let sends = self.local.values().filter_map(|key| self.table.get(*key));
        encode_flights(sends.collect(), now)
    }

    /// Takes the changes since the last call, encoded for other entries.
    pub fn take_changes(&mut self, now: Moment) -> LoadChanges {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort_unstable();
        changed.dedup();
        let existing = changed.iter().filter_map(|key| self.table.get(*key));
        let flights = encode_flights(existing.collect(), now);
        LoadChanges { flights, ended: std::mem::take(&mut self.ended) }
    }

    /// Applies a report of another entry: all its sends, or those that changed.
    ///
    /// The cost is that of what the report lists, however many sends and entries are known.
    pub fn apply_report(&mut self, now: Moment, load: wire::SharedLoad) -> ReportOutcome {
        let Self { table, remote, ended_prefills, .. } = self;
        let remote = remote.entry(SmolStr::new(&load.node)).or_default();
        let position = (load.incarnation, load.seq);
        if remote.position.is_some_and(|known| position <= known) {
            return ReportOutcome::Outdated;
        }
        let same_run = remote.position.is_some_and(|(known, _)| known == load.incarnation);
        let follows = remote.is_complete
            && remote.position.is_some_and(|(known, seq)| position == (known, seq + 1));
        let mut changes = RemoteChanges { now, table, sends: &mut remote.sends, ended_prefills };
        if !same_run {
            changes.retain(|_| false);
        }
        for number in &load.ended {
            changes.remove(*number);
        }
        let listed = changes.apply_flights(&load.flights);
        if !load.partial {
            changes.retain(|number| listed.contains(&number));
        }
        remote.position = Some(position);
        remote.received_at = now;
        remote.is_complete = !load.partial || follows;
        if remote.is_complete { ReportOutcome::Applied } else { ReportOutcome::Incomplete }
    }

    /// Drops the load of entries that have not reported recently.
    pub fn expire(&mut self, now: Moment) {
        let Self { table, remote, .. } = self;
        remote.retain(|_, r| {
            let is_recent = now.saturating_sub(r.received_at) < REMOTE_LOAD_TTL;
            if !is_recent {
                r.sends.values().for_each(|key| drop(table.remove(*key)));
            }
            is_recent
        });
        self.ended_prefills.expire(now);
    }

    /// Number of entries that reported recently, including this one.
    pub fn entry_count(&self) -> usize {
        self.remote.len() + 1
    }

    /// Prefills that ended in the last seconds, of this entry and of others. Engines spent time on
    /// them while others waited there.
    pub fn ended_prefills(&self) -> impl Iterator<Item = &InFlightSend> {
        self.ended_prefills.iter()
    }

    /// All sends in flight, local and remote.
    pub fn all(&self) -> impl Iterator<Item = &InFlightSend> {
        self.table.iter()
    }

    /// The sends in flight at one endpoint, local and remote.
    pub fn sends_at(&self, endpoint: &str) -> impl Iterator<Item = &InFlightSend> {
        self.table.sends_at(endpoint)
    }

    /// The prefills that ended at one endpoint in the last seconds.
    pub fn ended_prefills_at(&self, endpoint: &str) -> impl Iterator<Item = &InFlightSend> {
        self.ended_prefills.at(endpoint)
    }

    /// Number of sends in flight at one endpoint, local and remote.
    pub fn count_at(&self, endpoint: &str) -> usize {
        self.table.count_at(endpoint)
    }
}

/// Changes of the sends of another entry while a report of it is applied.
struct RemoteChanges<'a> {
    now: Moment,
    table: &'a mut SendTable,
    sends: &'a mut HashMap<SendNumber, SendKey>,
    ended_prefills: &'a mut EndedPrefills,
}

impl RemoteChanges<'_> {
    /// Adds or replaces the sends of these flights and returns their numbers.
    fn apply_flights(&mut self, flights: &[wire::Flight]) -> HashSet<SendNumber> {
        let mut listed = HashSet::with_capacity(flights.len());
        for (index, flight) in flights.iter().enumerate() {
            // Earlier versions send all their sends each time and don't number them.
            let number = match flight.number {
                0 => SendNumber::MAX - index as SendNumber,
                number => number,
            };
            for (number, send) in decode_flight(flight, number, self.now) {
                listed.insert(number);
                let has_ended = send.has_ended_prefill();
                match self.sends.entry(number) {
                    Entry::Vacant(vacant) => {
                        vacant.insert(self.table.insert(number, send));
                    }
                    Entry::Occupied(held) => {
                        let before = self.table.replace(*held.get(), send);
                        if let Some(before) = before.filter(|_| has_ended) {
                            self.ended_prefills.record(self.now, &before);
                        }
                    }
                }
            }
        }
        listed
    }

    fn remove(&mut self, number: SendNumber) {
        let removed = self.sends.remove(&number).and_then(|key| self.table.remove(key));
        if let Some((_, send)) = removed {
            self.ended_prefills.record(self.now, &send);
        }
    }

    fn retain(&mut self, is_kept: impl Fn(SendNumber) -> bool) {
        let dropped: Vec<SendNumber> =
            self.sends.keys().copied().filter(|number| !is_kept(*number)).collect();
        for number in dropped {
            self.remove(number);
        }
    }
}
