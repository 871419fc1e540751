//! Index of the prompt prefixes that endpoints probably have in their prefix caches.
//!
//! It is a hint for routing, learned only from the traffic of this entry.

use std::collections::HashMap;
use std::collections::VecDeque;

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{EndpointName, Tokens};

/// Size of one hashed block of a prompt, in bytes.
const BLOCK_BYTES: usize = 4096;

/// Largest number of prefixes recorded for one prompt. Their spacing grows with the length, so that
/// this number covers long prompts too.
const MAX_PREFIXES_PER_PROMPT: usize = 48;

/// Chained block hashes of a prompt, computed once per request.
///
/// Each hash is seeded with the previous one, so equal hashes mean equal prefixes.
///
/// ```
/// use bitternlead::entry::prefix::PrefixChain;
///
/// let a = PrefixChain::of(&"x".repeat(9000));
/// let b = PrefixChain::of(&format!("{}y", "x".repeat(9000)));
/// assert_eq!(a.prefixes()[0], b.prefixes()[0]);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PrefixChain {
    prefixes: Vec<(u64, Tokens)>,
}

impl PrefixChain {
    /// Hashes a prompt in one pass; a last block that is not full is ignored.
    pub fn of(prompt: &str) -> Self {
        let mut prefixes = Vec::new();
        let mut hash = 0;
        let mut next_recorded = 1;
        for (block_number, block) in prompt.as_bytes().chunks_exact(BLOCK_BYTES).enumerate() {
            hash = xxh3_64_with_seed(block, hash);
            let block_number = block_number + 1;
            if block_number == next_recorded && prefixes.len() < MAX_PREFIXES_PER_PROMPT {
                prefixes.push((hash, (block_number * BLOCK_BYTES / 4) as Tokens));
                next_recorded = (next_recorded + 1).max(next_recorded * 5 / 4);
            }
        }
        Self { prefixes }
    }

    /// Returns the hashes of the recorded prefixes with their lengths in tokens, shortest first.
    pub fn prefixes(&self) -> &[(u64, Tokens)] {
        &self.prefixes
    }
}

/// Map from prefix hashes to the endpoint that last received the prefix.
///
/// At capacity, the prefix that was added first is evicted.
#[derive(Debug)]
pub struct PrefixIndex {
    capacity: usize,
    holders: HashMap<u64, EndpointName>,
    insertion_order: VecDeque<u64>,
}

impl PrefixIndex {
    /// Builds an empty index of at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, holders: HashMap::new(), insertion_order: VecDeque::new() }
    }

    /// Returns the length of the longest known prefix at each endpoint, in tokens.
    pub fn lookup(&self, chain: &PrefixChain) -> HashMap<EndpointName, Tokens> {
        let mut found = HashMap::new();
        for (hash, tokens) in &chain.prefixes {
            if let Some(endpoint) = self.holders.get(hash) {
                found.insert(endpoint.clone(), *tokens);
            }
        }
        found
    }

    /// Records that a prompt was sent to an endpoint, which replaces earlier endpoints.
    pub fn record_prompt(&mut self, chain: &PrefixChain, endpoint: &str) {
        for (hash, _) in &chain.prefixes {
            if self.holders.insert(*hash, SmolStr::new(endpoint)).is_none() {
                self.insertion_order.push_back(*hash);
            }
        }
        while self.insertion_order.len() > self.capacity {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    /// Removes all prefixes of an endpoint, for example after its agent has restarted.
    pub fn forget(&mut self, endpoint: &str) {
        self.holders.retain(|_, holder| holder != endpoint);
        let holders = &self.holders;
        self.insertion_order.retain(|hash| holders.contains_key(hash));
    }
}
