//! How the prompts of one service share their prefixes, learned from the newest prompts that this proxy carried, and
//! how many endpoints are to keep one of them.
//!
//! An endpoint keeps the prefixes that it has read lately. Where its memory holds all that are in use, any endpoint
//! will do; where it does not, each prefix has to be confined to as few endpoints as its share of the requests needs,
//! or all of them read all prefixes again and again. The bound is one for the fleet, since every proxy estimates the
//! same shares, and not one for the calls of a single proxy.

use std::collections::{HashMap, VecDeque};

/// Prompts that are remembered.
const SAMPLE: usize = 96;
/// With fewer nothing is concluded.
const LEAST_SAMPLE: usize = 4;
/// So much of the memory that running requests leave counts as room for shared prefixes: what sessions said before
/// takes the rest.
const PREFIX_ROOM: f64 = 0.6;
/// A prefix gets this multiple of its share of the endpoints.
const DEMAND_HEADROOM: f64 = 1.5;
/// Taken off what was counted of a prefix: of those seen once, most are rarer than once in a sample.
const COUNT_CORRECTION: f64 = 0.5;

/// One prompt, as far as sharing goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// Hash of its first part's id.
    pub prefix: u64,
    /// Tokens of that part.
    pub prefix_tokens: u32,
    /// Tokens of the whole prompt and of the most that it generates.
    pub total_tokens: u32,
}

/// The newest prompts of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixDemand {
    newest: VecDeque<Prompt>,
    /// How many of them begin with each prefix.
    counts: HashMap<u64, u32>,
    prefix_tokens: u64,
    own_tokens: u64,
}

impl PrefixDemand {
    /// Takes in one more prompt.
    pub fn observe(&mut self, prompt: Prompt) {
        self.newest.push_back(prompt);
        *self.counts.entry(prompt.prefix).or_insert(0) += 1;
        self.prefix_tokens += u64::from(prompt.prefix_tokens);
        self.own_tokens += u64::from(own_tokens(&prompt));
        if self.newest.len() > SAMPLE
            && let Some(oldest) = self.newest.pop_front()
        {
            self.forget(&oldest);
        }
    }

    fn forget(&mut self, oldest: &Prompt) {
        self.prefix_tokens -= u64::from(oldest.prefix_tokens);
        self.own_tokens -= u64::from(own_tokens(oldest));
        if let Some(count) = self.counts.get_mut(&oldest.prefix) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&oldest.prefix);
            }
        }
    }

    /// The share of a service's endpoints, within 0 and 1, that is to keep this prefix, where each has memory for
    /// `cache_tokens` and runs `slots` requests at once.
    pub fn replica_share(&self, prefix: u64, cache_tokens: u64, slots: u32) -> f64 {
        let sample = self.newest.len();
        if sample < LEAST_SAMPLE || cache_tokens == 0 {
            return 1.0;
        }
        if self.memory_holds_all(cache_tokens, slots) {
            return 1.0;
        }
        let count = self.counts.get(&prefix).copied().unwrap_or(1);
        let demand = (f64::from(count) - COUNT_CORRECTION) / sample as f64;
        (DEMAND_HEADROOM * demand).min(1.0)
    }

    /// Whether one endpoint can keep all prefixes in use beside the requests that it runs.
    fn memory_holds_all(&self, cache_tokens: u64, slots: u32) -> bool {
        let sample = self.newest.len() as f64;
        let running = self.own_tokens as f64 / sample * f64::from(slots);
        let room = PREFIX_ROOM * (cache_tokens as f64 - running);
        let in_use = self.prefixes_in_use() * self.prefix_tokens as f64 / sample;
        in_use <= room.max(0.0)
    }

    /// How many prefixes are in use, by how often two of the newest prompts share one.
    fn prefixes_in_use(&self) -> f64 {
        let sample = self.newest.len() as f64;
        let pairs = sample * (sample - 1.0) / 2.0;
        let alike: f64 = self.counts.values().map(|count| f64::from(count * (count - 1)) / 2.0).sum();
        // Popular ones hide rare ones: there are at least as many as were seen.
        (pairs / alike.max(1.0)).max(self.counts.len() as f64)
    }
}

fn own_tokens(prompt: &Prompt) -> u32 {
    prompt.total_tokens.saturating_sub(prompt.prefix_tokens)
}
