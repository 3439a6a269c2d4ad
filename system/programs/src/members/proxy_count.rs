//! The number of proxies.

use std::collections::VecDeque;

/// For so long a count that has fallen is not believed: connections are shared out by it.
const BELIEVED_MS: u64 = 10_000;
/// So long after the first other member was met the count is told; before that, few are known.
const SETTLED_MS: u64 = 2_000;

/// How many proxies there are, as it may be told: the largest number that was seen lately, and none before enough is
/// known.
#[derive(Debug, Default)]
pub struct ProxyCount {
    /// When the first other member was met.
    met: Option<u64>,
    /// Counts that none after them exceeds, with the last time that they held.
    seen: VecDeque<(u64, u32)>,
}

impl ProxyCount {
    /// Takes note that there are `count` proxies now among `members` members; gives what may be told.
    pub fn note(&mut self, now_ms: u64, members: usize, count: u32) -> Option<u32> {
        if members > 1 {
            self.met.get_or_insert(now_ms);
        }
        while self.seen.back().is_some_and(|(_, seen)| *seen <= count) {
            self.seen.pop_back();
        }
        self.seen.push_back((now_ms, count));
        while self.seen.front().is_some_and(|(at, _)| at + BELIEVED_MS < now_ms) {
            self.seen.pop_front();
        }
        let settled = self.met.is_some_and(|met| met + SETTLED_MS <= now_ms);
        self.seen.front().map(|(_, count)| *count).filter(|count| settled && *count > 0)
    }
}
