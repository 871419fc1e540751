//! Replicated state machine of the control plane: configuration, claims, orders and counts.

use std::collections::{HashMap, VecDeque};

use prost::Message;
use smol_str::SmolStr;

use super::burn_counts::BurnCounts;
use super::claims::Claims;
use super::config_records::ConfigRecords;
use super::orders::Orders;
use crate::ids::{Index, Term};
use crate::wire::{
    Command, Document, Entry, Members, OperationState, Outcome, Replica, Snapshot, command,
};

/// Operations whose outcome is kept; a repeated one gets that outcome and is not executed again.
const MAX_OPERATIONS: usize = 10_000;

/// State that results from applying the committed log entries in order.
///
/// Every replica computes the same state: it depends only on the entries, and on no local clock.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlState {
    /// Index of the last applied entry.
    pub applied_index: Index,
    /// Term of the last applied entry.
    pub applied_term: Term,
    /// Control replicas of the last committed membership.
    pub replicas: Vec<Replica>,
    /// Records of the fleet configuration; nodes receive them through syncs.
    pub config: ConfigRecords,
    /// Claims of idempotency keys for non-idempotent calls.
    pub claims: Claims,
    /// Orders for endpoints, such as to load a model.
    pub orders: Orders,
    /// Requests and missed objectives, for the burn rate of the error budget.
    pub burn: BurnCounts,
    /// Configuration document with the highest version so far.
    pub document: Document,
    operations: HashMap<SmolStr, OperationState>,
    operation_order: VecDeque<SmolStr>,
}

impl ControlState {
    /// Applies the next committed entry and returns its outcome.
    ///
    /// A command whose operation was applied before changes nothing and returns the first outcome.
    pub fn apply(&mut self, entry: Entry) -> Outcome {
        debug_assert_eq!(entry.index, self.applied_index + 1);
        self.applied_index = entry.index;
        self.applied_term = entry.term;
        let command = entry.command.unwrap_or_default();
        let operation = SmolStr::new(&command.operation);
        if let Some(recorded) = self.operations.get(&operation) {
            return recorded.outcome.clone().unwrap_or_default();
        }
        let wall_ms = command.wall_ms;
        let outcome = self.execute(entry.index, command);
        if !operation.is_empty() {
            self.record_operation(operation, outcome.clone(), wall_ms);
        }
        outcome
    }

    fn execute(&mut self, index: Index, command: Command) -> Outcome {
        let wall_ms = command.wall_ms;
        match command.kind {
            Some(command::Kind::Change(change)) => self.config.apply(change),
            Some(command::Kind::Claim(claim)) => self.claims.claim(index, wall_ms, claim),
            Some(command::Kind::Settle(settle)) => self.claims.settle(settle),
            Some(command::Kind::PlaceOrder(order)) => self.orders.place(index, order),
            Some(command::Kind::OrderResult(result)) => self.orders.finish(result),
            Some(command::Kind::Burn(report)) => self.burn.add(wall_ms, report),
            Some(command::Kind::Members(members)) => {
                self.replicas = members.replicas;
                Outcome { result: "ok".into(), number: index, ..Outcome::default() }
            }
            Some(command::Kind::Document(document)) => self.accept_document(document),
            Some(command::Kind::Noop(_)) | None => Outcome::default(),
        }
    }

    /// Replaces the document if the new version is higher; otherwise the result is `exists`.
    fn accept_document(&mut self, document: Document) -> Outcome {
        let current_version = self.document.version;
        let is_newer = document.version > current_version;
        if is_newer {
            self.document = document;
        }
        let result = if is_newer { "ok" } else { "exists" };
        Outcome { result: result.into(), number: self.document.version, ..Outcome::default() }
    }

    fn record_operation(&mut self, operation: SmolStr, outcome: Outcome, wall_ms: u64) {
        let text = operation.to_string();
        let state = OperationState { operation: text, outcome: Some(outcome), wall_ms };
        self.operations.insert(operation.clone(), state);
        self.operation_order.push_back(operation);
        if self.operation_order.len() > MAX_OPERATIONS
            && let Some(oldest) = self.operation_order.pop_front()
        {
            self.operations.remove(&oldest);
        }
    }

    /// Encodes the whole state as a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let (records, removed_floor) = self.config.export();
        let operations =
            self.operation_order.iter().filter_map(|o| self.operations.get(o).cloned());
        let snapshot = Snapshot {
            last_index: self.applied_index,
            last_term: self.applied_term,
            members: Some(Members { replicas: self.replicas.clone() }),
            config_version: self.config.version(),
            removed_floor,
            records,
            claims: self.claims.export(),
            orders: self.orders.all(),
            operations: operations.collect(),
            burn: self.burn.export(),
            document: Some(self.document.clone()),
        };
        snapshot.encode_to_vec()
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    /// Fails if `data` is not an encoded snapshot.
    pub fn decode(data: &[u8]) -> Result<Self, prost::DecodeError> {
        let s = Snapshot::decode(data)?;
        let mut state = Self {
            applied_index: s.last_index,
            applied_term: s.last_term,
            replicas: s.members.map(|m| m.replicas).unwrap_or_default(),
            config: ConfigRecords::import(s.config_version, s.removed_floor, s.records),
            claims: Claims::import(s.claims),
            orders: Orders::import(s.orders),
            burn: BurnCounts::import(s.burn),
            document: s.document.unwrap_or_default(),
            ..Self::default()
        };
        for operation in s.operations {
            let name = SmolStr::new(&operation.operation);
            state.operation_order.push_back(name.clone());
            state.operations.insert(name, operation);
        }
        Ok(state)
    }
}
