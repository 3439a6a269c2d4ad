//! Demand for the shared prompt prefixes of one service, estimated from the newest prompts that this proxy carried, and
//! the share of the endpoints that are to cache a prefix.
//!
//! An endpoint caches the prefixes that it processed last. If its cache has capacity for all prefixes in use, any endpoint
//! serves as well as another; otherwise each prefix has to be confined to the fewest endpoints that its share of the
//! requests needs, or all of them evict and prefill all prefixes over and over. The bound applies to the fleet, since
//! every proxy estimates the same shares, and not to the calls of a single proxy.

use std::collections::{HashMap, VecDeque};

/// Number of the newest prompts in the sample.
const SAMPLE_SIZE: usize = 96;
/// No estimate is made from fewer prompts.
const MIN_SAMPLE_SIZE: usize = 4;
/// Share of the cache, less the tokens of running requests, that is available to shared prefixes: session histories
/// take the rest.
const PREFIX_CACHE_SHARE: f64 = 0.6;
/// A prefix gets this multiple of its share of the requests as its share of the endpoints.
const DEMAND_HEADROOM: f64 = 1.5;
/// Subtracted from a prefix's count: most prefixes seen once occur less than once per sample.
const COUNT_CORRECTION: f64 = 0.5;

/// The prefix and size of one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// Hash of the prefix id.
    pub(crate) prefix: u64,
    /// Tokens of the prefix.
    pub(crate) prefix_tokens: u32,
    /// Tokens of the complete prompt plus the maximum that is generated.
    pub(crate) total_tokens: u32,
}

/// Sliding window of the newest prompts of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixDemand {
    newest: VecDeque<Prompt>,
    /// Number of prompts in the window with each prefix.
    prompts_by_prefix: HashMap<u64, u32>,
    /// Sum of the prefixes' tokens in the window.
    prefix_tokens: u64,
    /// Sum of the remaining tokens in the window.
    own_tokens: u64,
}

impl PrefixDemand {
    /// Adds a prompt to the window, and removes the oldest from a full one.
    pub(crate) fn observe(&mut self, prompt: Prompt) {
        self.newest.push_back(prompt);
        *self.prompts_by_prefix.entry(prompt.prefix).or_insert(0) += 1;
        self.prefix_tokens += u64::from(prompt.prefix_tokens);
        self.own_tokens += u64::from(own_tokens(&prompt));
        if self.newest.len() > SAMPLE_SIZE
            && let Some(oldest) = self.newest.pop_front()
        {
            self.remove(&oldest);
        }
    }

    fn remove(&mut self, oldest: &Prompt) {
        self.prefix_tokens -= u64::from(oldest.prefix_tokens);
        self.own_tokens -= u64::from(own_tokens(oldest));
        if let Some(count) = self.prompts_by_prefix.get_mut(&oldest.prefix) {
            *count -= 1;
            if *count == 0 {
                self.prompts_by_prefix.remove(&oldest.prefix);
            }
        }
    }

    /// The share of a service's endpoints, within 0 and 1, that is to cache this prefix, where each has a cache of
    /// `cache_tokens` and runs `slots` requests at once.
    pub(crate) fn replica_share(&self, prefix: u64, cache_tokens: u64, slots: u32) -> f64 {
        let sample = self.newest.len();
        if sample < MIN_SAMPLE_SIZE || cache_tokens == 0 {
            return 1.0;
        }
        if self.cache_fits_all(cache_tokens, slots) {
            return 1.0;
        }
        let count = self.prompts_by_prefix.get(&prefix).copied().unwrap_or(1);
        let demand = (f64::from(count) - COUNT_CORRECTION) / sample as f64;
        (DEMAND_HEADROOM * demand).min(1.0)
    }

    /// Whether one endpoint can cache all prefixes in use beside the requests that it runs.
    fn cache_fits_all(&self, cache_tokens: u64, slots: u32) -> bool {
        let sample = self.newest.len() as f64;
        let running = self.own_tokens as f64 / sample * f64::from(slots);
        let capacity = PREFIX_CACHE_SHARE * (cache_tokens as f64 - running);
        let in_use = self.prefixes_in_use() * self.prefix_tokens as f64 / sample;
        in_use <= capacity.max(0.0)
    }

    /// Estimated number of prefixes in use, from the number of pairs in the window that share one (as in the birthday
    /// problem).
    fn prefixes_in_use(&self) -> f64 {
        let sample = self.newest.len() as f64;
        let pairs = sample * (sample - 1.0) / 2.0;
        let matching_pairs: f64 =
            self.prompts_by_prefix.values().map(|count| f64::from(count * (count - 1)) / 2.0).sum();
        // Popular prefixes hide rare ones: there are at least as many as were observed.
        (pairs / matching_pairs.max(1.0)).max(self.prompts_by_prefix.len() as f64)
    }
}

fn own_tokens(prompt: &Prompt) -> u32 {
    prompt.total_tokens.saturating_sub(prompt.prefix_tokens)
}
