//! Bounded cache of chain texts.

use bytes::Bytes;
use std::collections::{HashMap, VecDeque};

/// Maximum size of all cached texts, in bytes.
const MAX_CACHE_BYTES: usize = 3 * 1024 * 1024;

/// Complete texts of recently read or written chains, by their last turn. The oldest entries are evicted first.
#[derive(Default)]
pub(super) struct ChainCache {
    texts: HashMap<String, Bytes>,
    order: VecDeque<String>,
    bytes: usize,
}

impl ChainCache {
    pub(super) fn get(&mut self, attempt: &str) -> Option<Bytes> {
        self.texts.get(attempt).cloned()
    }

    pub(super) fn put(&mut self, attempt: &str, text: Bytes) {
        if text.len() > MAX_CACHE_BYTES / 4 || self.texts.contains_key(attempt) {
            return;
        }
        self.bytes += text.len();
        self.texts.insert(attempt.to_owned(), text);
        self.order.push_back(attempt.to_owned());
        while self.bytes > MAX_CACHE_BYTES
            && let Some(oldest) = self.order.pop_front()
        {
            self.bytes -= self.texts.remove(&oldest).map_or(0, |text| text.len());
        }
    }
}
