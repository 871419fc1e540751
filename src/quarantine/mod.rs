//! Finds poison requests, which crash the endpoints that answer them, and keeps them away.
//!
//! Entries record crashes of endpoints with the requests that these had just begun to answer, and
//! properties of requests that endpoints answered without a crash. Control keeps what all entries
//! recorded. Everything here is a state machine without I/O.

mod answers;
mod crash;
mod events;
mod judgement;
mod report;
mod state;
mod verdict;

pub use self::crash::{Crash, MAX_KEYS, MAX_SUSPECTS};
pub use self::events::{format_keys, log_changes};
pub use self::state::{Change, Quarantine};
pub use self::verdict::Verdict;

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Hash of a property of a request that may crash endpoints, such as a part of its prompt.
pub type SuspectKey = u64;

/// Seed that keeps the keys of prompt parts apart from those of other properties.
const PROMPT_PART_SEED: u64 = 1;

/// Seed of the keys of whole requests.
const REQUEST_SEED: u64 = 2;

/// Key of a part of a prompt, by the id that callers give it.
///
/// ```
/// use bitternlead::quarantine::prompt_part_key;
///
/// assert_eq!(prompt_part_key("5c1e07a2"), prompt_part_key("5c1e07a2"));
/// assert_ne!(prompt_part_key("5c1e07a2"), prompt_part_key("91bd3f06"));
/// ```
pub fn prompt_part_key(id: &str) -> SuspectKey {
    xxh3_64_with_seed(id.as_bytes(), PROMPT_PART_SEED)
}

/// Key of a whole request, which is the same when its caller repeats it.
///
/// ```
/// use bitternlead::quarantine::request_key;
///
/// let key = request_key("GET", "fair.example", "/status?stand=3", "manuals", b"");
/// assert_eq!(key, request_key("GET", "fair.example", "/status?stand=3", "manuals", b""));
/// assert_ne!(key, request_key("GET", "fair.example", "/status?stand=4", "manuals", b""));
/// ```
pub fn request_key(
    method: &str,
    host: &str,
    target: &str,
    caller: &str,
    body: &[u8],
) -> SuspectKey {
    let mut hasher = Xxh3::with_seed(REQUEST_SEED);
    let head = [method, host, target, caller].map(str::as_bytes);
    for field in head.into_iter().chain([body]) {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.digest()
}

/// Key of an endpoint, by its id.
pub fn endpoint_key(id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), 0)
}
