//! Demand for the shared prompt prefixes of one service, estimated from the newest prompts that this proxy sent, and
//! the share of the endpoints that should cache each prefix.
//!
//! An endpoint caches the prefixes that it processed last. If its cache holds all prefixes in use, all endpoints are
//! equally suitable. Otherwise each prefix has to be confined to the fewest endpoints that its share of the requests
//! needs; if it is not, every endpoint repeatedly evicts and prefills all prefixes. The confinement applies to the
//! fleet, not only to the calls of one proxy, since every proxy estimates the same shares.

use std::collections::{HashMap, VecDeque};

/// Number of prompts in the sliding window.
const SAMPLE_SIZE: usize = 96;
/// Minimum number of prompts in the window for an estimate.
const MIN_SAMPLE_SIZE: usize = 4;
/// Share of the cache, less the tokens of running requests, that is available to shared prefixes: session histories
/// occupy the rest.
const PREFIX_CACHE_SHARE: f64 = 0.6;
/// Ratio of a prefix's share of the endpoints to its share of the requests.
const DEMAND_HEADROOM: f64 = 1.5;
/// Subtracted from a prefix's count: most prefixes that occur once in a window occur less than once per window on
/// average.
const COUNT_CORRECTION: f64 = 0.5;

/// The prefix and size of one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// Hash of the prefix id.
    pub(crate) prefix: u64,
    pub(crate) prefix_tokens: u32,
    /// Tokens of the complete prompt plus the maximum number of tokens to generate.
    pub(crate) total_tokens: u32,
}

/// Sliding window of the newest prompts of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixDemand {
    window: VecDeque<Prompt>,
    /// Number of prompts in the window with each prefix.
    prompts_by_prefix: HashMap<u64, u32>,
    /// Sum of the prefix tokens in the window.
    prefix_tokens: u64,
    /// Sum of all other tokens in the window.
    unshared_tokens: u64,
}

impl PrefixDemand {
    /// Adds a prompt to the window, which evicts the oldest if the window is full.
    pub(crate) fn observe(&mut self, prompt: Prompt) {
        self.window.push_back(prompt);
        *self.prompts_by_prefix.entry(prompt.prefix).or_insert(0) += 1;
        self.prefix_tokens += u64::from(prompt.prefix_tokens);
        self.unshared_tokens += u64::from(unshared_tokens(&prompt));
        if self.window.len() > SAMPLE_SIZE
            && let Some(oldest) = self.window.pop_front()
        {
            self.remove(&oldest);
        }
    }

    fn remove(&mut self, oldest: &Prompt) {
        self.prefix_tokens -= u64::from(oldest.prefix_tokens);
        self.unshared_tokens -= u64::from(unshared_tokens(oldest));
        if let Some(count) = self.prompts_by_prefix.get_mut(&oldest.prefix) {
            *count -= 1;
            if *count == 0 {
                self.prompts_by_prefix.remove(&oldest.prefix);
            }
        }
    }

    /// The share of a service's endpoints, between 0 and 1, that should cache this prefix, where each has a cache of
    /// `cache_tokens` tokens and runs `slots` requests concurrently. 1 while there are too few prompts for an estimate.
    pub(crate) fn replica_share(&self, prefix: u64, cache_tokens: u64, slots: u32) -> f64 {
        let sample = self.window.len();
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

    /// Whether one endpoint can cache all prefixes in use in addition to its running requests.
    fn cache_fits_all(&self, cache_tokens: u64, slots: u32) -> bool {
        let sample = self.window.len() as f64;
        let running = self.unshared_tokens as f64 / sample * f64::from(slots);
        let capacity = PREFIX_CACHE_SHARE * (cache_tokens as f64 - running);
        let in_use = self.prefixes_in_use() * self.prefix_tokens as f64 / sample;
        in_use <= capacity.max(0.0)
    }

    /// Estimated number of prefixes in use, from the number of pairs in the window that share one (as in the birthday
    /// problem).
    fn prefixes_in_use(&self) -> f64 {
        let sample = self.window.len() as f64;
        let pairs = sample * (sample - 1.0) / 2.0;
        let matching_pairs: f64 =
            self.prompts_by_prefix.values().map(|count| f64::from(count * (count - 1)) / 2.0).sum();
        // The pair count is dominated by popular prefixes, so the estimate may fall below the number observed.
        (pairs / matching_pairs.max(1.0)).max(self.prompts_by_prefix.len() as f64)
    }
}

fn unshared_tokens(prompt: &Prompt) -> u32 {
    prompt.total_tokens.saturating_sub(prompt.prefix_tokens)
}
