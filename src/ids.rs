//! Type aliases for identities, counters and times that several modules share.

use std::time::Duration;

use smol_str::SmolStr;

/// Monotonic time since the start of a process or host; only differences have a meaning.
pub type Moment = Duration;
/// Identity of a control replica, stored in its data directory; a replica that lost its data gets a
/// new one.
pub type ReplicaId = u64;
/// Position of an entry in the replicated log.
pub type Index = u64;
/// Raft term; each election starts a higher one.
pub type Term = u64;
/// Version of the fleet configuration; each accepted change increments it.
pub type Version = u64;
/// Identity of one run of a node's process; later runs have higher numbers.
pub type Incarnation = u64;
/// Name of an endpoint, from the inventory.
pub type EndpointName = SmolStr;
/// Name of a workspace, from the rules.
pub type WorkspaceName = SmolStr;
/// Name of a model, from the rules.
pub type ModelName = SmolStr;
/// Name of an availability zone, from the inventory and the settings of nodes.
pub type ZoneName = SmolStr;
/// Name of a region, which consists of availability zones.
pub type RegionName = SmolStr;
/// Identity of a caller's request, which log lines and headers carry.
pub type RequestId = SmolStr;
/// Number of tokens of a prompt, an answer or KV memory.
pub type Tokens = u64;
/// Number of an attempt within its request, from 1.
pub type AttemptNumber = u32;
