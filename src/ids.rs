//! Names of the plain values that pass between modules.

use std::time::Duration;

use smol_str::SmolStr;

/// Monotonic time since the start of a process.
pub type Moment = Duration;
/// Identity of a control replica; it lives in the data directory.
pub type ReplicaId = u64;
/// Position in the replicated log.
pub type Index = u64;
/// Term of a leader.
pub type Term = u64;
/// Version of the configuration.
pub type Version = u64;
/// Identity of one run of a process.
pub type Incarnation = u64;
/// Name of an endpoint.
pub type EndpointName = SmolStr;
/// Name of a workspace.
pub type WorkspaceName = SmolStr;
/// Name of a model.
pub type ModelName = SmolStr;
/// Name of an availability zone.
pub type ZoneName = SmolStr;
/// Identity of a caller's request.
pub type RequestId = SmolStr;
/// Number of tokens.
pub type Tokens = u64;
/// Number of an attempt of one request, from 1.
pub type AttemptNumber = u32;
