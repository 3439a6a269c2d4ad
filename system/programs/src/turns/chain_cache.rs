//! Bounded cache of chains.

use request_forwarding::Chain;
use std::collections::{HashMap, VecDeque};

/// Maximum size of all cached texts, in bytes.
const MAX_CACHE_BYTES: usize = 3 * 1024 * 1024;

/// Recently read or written chains, complete, by their last turn. The oldest entries are evicted first.
#[derive(Default)]
pub(super) struct ChainCache {
    chains: HashMap<String, Chain>,
    order: VecDeque<String>,
    bytes: usize,
}

impl ChainCache {
    pub(super) fn get(&mut self, attempt: &str) -> Option<Chain> {
        self.chains.get(attempt).cloned()
    }

    pub(super) fn put(&mut self, attempt: &str, chain: Chain) {
        let size = chain.text.len();
        if size > MAX_CACHE_BYTES / 4 || self.chains.contains_key(attempt) {
            return;
        }
        self.bytes += size;
        self.chains.insert(attempt.to_owned(), chain);
        self.order.push_back(attempt.to_owned());
        while self.bytes > MAX_CACHE_BYTES
            && let Some(oldest) = self.order.pop_front()
        {
            self.bytes -= self.chains.remove(&oldest).map_or(0, |chain| chain.text.len());
        }
    }
}
