//! How long the node's acceptor takes for a vote, which is the time of a synced write.
//!
//! A ballot needs two votes of a majority, one after the other. Limits that suit a disk that syncs in milliseconds end every
//! ballot on one that needs hundreds, as a disk does that many processes sync to at once: each vote is then wasted, and
//! the ballots of several nodes overlap for as long as the disk is slow. So limits grow with the time of a vote.

use std::cell::Cell;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The shortest of this many writes counts, so that a single stall changes nothing.
const SAMPLES: usize = 3;
/// Longest delay that counts.
const MAX_VOTE_DELAY: Duration = Duration::from_millis(500);
/// How many vote delays an answer to a register request may take: a write in flight, the vote's own, and a margin.
const CALL_VOTES: u32 = 3;
/// How many vote delays a change of the register may take: three ballots of two phases, each behind a write in flight.
const CHANGE_VOTES: u32 = 12;

/// The times of the acceptor's latest writes.
#[derive(Debug, Default)]
pub(crate) struct VoteDelay {
    latest: Cell<[Duration; SAMPLES]>,
}

impl VoteDelay {
    /// Records how long a write took.
    pub(crate) fn record(&self, duration: Duration) {
        let [_, second, third] = self.latest.get();
        self.latest.set([second, third, duration.min(MAX_VOTE_DELAY)]);
    }

    /// How long a vote takes at present; zero until enough writes have completed.
    pub(crate) fn get(&self) -> Duration {
        self.latest.get().into_iter().min().unwrap_or_default()
    }

    /// The time limit of a register request that has `usual` on a fast disk.
    pub(crate) fn call_timeout(&self, usual: Duration) -> Duration {
        usual.max(self.get() * CALL_VOTES)
    }

    /// The time limit of a change of the register that has `usual` on a fast disk.
    pub(crate) fn change_timeout(&self, usual: Duration) -> Duration {
        usual.max(self.get() * CHANGE_VOTES)
    }
}
