//! The number of proxies, as it is announced to the feed.

use std::collections::VecDeque;

/// How long a larger count is retained after a fall: connections are divided by it.
const COUNT_RETENTION_MS: u64 = 10_000;
/// Time from the first contact to the first announcement; before that, few members are known.
const WARM_UP_MS: u64 = 2_000;

/// How many proxies there are, as it may be told: the largest number that was seen lately, and none before enough is
/// known.
#[derive(Debug, Default)]
pub struct ProxyCount {
    /// When the first other member was met.
    first_contact_ms: Option<u64>,
    /// Counts that none after them exceeds, with the last time that they held.
    recent_maxima: VecDeque<(u64, u32)>,
}

impl ProxyCount {
    /// Takes note that there are `count` proxies now among `members` members; gives what may be told.
    pub fn observe(&mut self, now_ms: u64, members: usize, count: u32) -> Option<u32> {
        if members > 1 {
            self.first_contact_ms.get_or_insert(now_ms);
        }
        while self.recent_maxima.back().is_some_and(|(_, recent_maxima)| *recent_maxima <= count) {
            self.recent_maxima.pop_back();
        }
        self.recent_maxima.push_back((now_ms, count));
        while self.recent_maxima.front().is_some_and(|(at, _)| at + COUNT_RETENTION_MS < now_ms) {
            self.recent_maxima.pop_front();
        }
        let is_warmed_up =
            self.first_contact_ms.is_some_and(|first_contact_ms| first_contact_ms + WARM_UP_MS <= now_ms);
        self.recent_maxima.front().map(|(_, count)| *count).filter(|count| is_warmed_up && *count > 0)
    }
}
