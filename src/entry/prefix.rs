//! Which endpoint probably holds which prompt prefixes; hints from this entry's own traffic.

use std::collections::HashMap;
use std::collections::VecDeque;

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{EndpointName, Tokens};

/// Bytes of a prompt that one block covers.
const BLOCK_BYTES: usize = 4096;

/// Blocks of a prompt that are looked up; the first lie close together, the later ones apart.
const MOST_BLOCKS: usize = 48;

/// Chain of hashes over the prefixes of a prompt, computed once a request.
///
/// ```
/// use bitternlead::entry::prefix::PrefixChain;
///
/// let a = PrefixChain::of(&"x".repeat(9000));
/// let b = PrefixChain::of(&format!("{}y", "x".repeat(9000)));
/// assert_eq!(a.marks()[0], b.marks()[0]);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PrefixChain {
    marks: Vec<(u64, Tokens)>,
}

impl PrefixChain {
    /// Hashes a prompt in one pass.
    pub fn of(prompt: &str) -> Self {
        let mut marks = Vec::new();
        let mut hash = 0;
        let mut next = 1;
        for (number, block) in prompt.as_bytes().chunks_exact(BLOCK_BYTES).enumerate() {
            hash = xxh3_64_with_seed(block, hash);
            let number = number + 1;
            if number == next && marks.len() < MOST_BLOCKS {
                marks.push((hash, (number * BLOCK_BYTES / 4) as Tokens));
                next = (next + 1).max(next * 5 / 4);
            }
        }
        Self { marks }
    }

    /// Hashes of prefixes with their lengths, shortest first.
    pub fn marks(&self) -> &[(u64, Tokens)] {
        &self.marks
    }
}

/// Prefixes held by endpoints, oldest forgotten first.
#[derive(Debug)]
pub struct PrefixIndex {
    capacity: usize,
    holders: HashMap<u64, EndpointName>,
    by_age: VecDeque<u64>,
}

impl PrefixIndex {
    /// Builds an index of at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, holders: HashMap::new(), by_age: VecDeque::new() }
    }

    /// Tokens of the longest known prefix at each endpoint.
    pub fn lookup(&self, chain: &PrefixChain) -> HashMap<EndpointName, Tokens> {
        let mut found = HashMap::new();
        for (hash, tokens) in &chain.marks {
            if let Some(endpoint) = self.holders.get(hash) {
                found.insert(endpoint.clone(), *tokens);
            }
        }
        found
    }

    /// Notes that an endpoint has read a prompt.
    pub fn note(&mut self, chain: &PrefixChain, endpoint: &str) {
        for (hash, _) in &chain.marks {
            if self.holders.insert(*hash, SmolStr::new(endpoint)).is_none() {
                self.by_age.push_back(*hash);
            }
        }
        while self.by_age.len() > self.capacity {
            if let Some(oldest) = self.by_age.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    /// Forgets everything about an endpoint.
    pub fn forget(&mut self, endpoint: &str) {
        self.holders.retain(|_, holder| holder != endpoint);
        let holders = &self.holders;
        self.by_age.retain(|hash| holders.contains_key(hash));
    }
}
