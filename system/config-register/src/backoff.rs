//! When a proposer may start a ballot: it defers to others' ballots and backs off after losing its own.
//!
//! Paxos is safe with any number of proposers but may livelock among them (*Paxos Made Simple*, section 2.4). There is no
//! leader here; deferring and random exponential backoff provide the progress.

use fleet_model::Ballot;

/// How long to defer to a competing ballot after each message of it, in milliseconds.
const COMPETING_BALLOT_TIMEOUT_MS: u64 = 200;
/// Shortest backoff after a lost ballot, in milliseconds; the random part is added to it.
const MIN_BACKOFF_MS: u64 = 4;
/// Bound of the random part after the first ballot lost in a row, in milliseconds; it doubles with each further one.
const INITIAL_BACKOFF_RANGE_MS: u64 = 16;
/// Highest bound of the random part, in milliseconds.
const MAX_BACKOFF_RANGE_MS: u64 = 320;
/// How many vote delays to defer to a competing ballot after each message of it: two phases, and one that was under way.
const COMPETING_BALLOT_VOTES: u64 = 3;
/// Bound of the random part of a backoff, in vote delays: a ballot that starts first has time for both phases.
const BACKOFF_RANGE_VOTES: u64 = 4;
/// Number of doublings after which the exponent stops rising, so that the shift cannot overflow.
const MAX_BACKOFF_EXPONENT: u32 = 8;

/// A ballot of another proposer that may still be in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CompetingBallot {
    ballot: Ballot,
    /// Time until which to defer to it, in milliseconds.
    until_ms: u64,
}

/// Decides how long a proposer waits before it starts a ballot.
///
/// Two ballots that overlap cost each other a round, and the larger the value, the longer a ballot takes: proposers that
/// started whenever they wished could overlap indefinitely. An acceptor sees every ballot, so the proposer on the same node
/// waits while another's is in progress. Proposers that started at the same moment are separated by random backoffs; these
/// grow until a ballot is won or nothing newer remains undecided, across any number of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProposerBackoff {
    competing: Option<CompetingBallot>,
    /// Own ballots lost in a row.
    consecutive_losses: u32,
    /// End of the current backoff, in milliseconds.
    backoff_until_ms: u64,
    /// How long an acceptor takes for a vote at present, in milliseconds.
    vote_delay_ms: u64,
}

impl ProposerBackoff {
    /// Sets how long an acceptor takes for a vote at present, in milliseconds. Where the disk is slow, a ballot is longer than
    /// the usual times, and proposers that went by those would overlap indefinitely.
    pub fn set_vote_delay(&mut self, vote_delay_ms: u64) {
        self.vote_delay_ms = vote_delay_ms;
    }

    /// Notes that the local acceptor has promised or accepted under another proposer's ballot.
    pub fn on_competing_ballot(&mut self, now_ms: u64, ballot: Ballot) {
        if self.competing.is_none_or(|competing| competing.ballot <= ballot) {
            let until_ms =
                now_ms + COMPETING_BALLOT_TIMEOUT_MS.max(COMPETING_BALLOT_VOTES * self.vote_delay_ms);
            self.competing = Some(CompetingBallot { ballot, until_ms });
        }
    }

    /// Notes that a ballot was chosen: it and all lower ones are over.
    pub fn on_chosen(&mut self, chosen: Ballot) {
        self.competing = self.competing.filter(|competing| competing.ballot > chosen);
    }

    /// Notes that an own ballot was lost to another. `random` is any random number.
    pub fn on_lost(&mut self, now_ms: u64, random: u64) {
        let exponent = self.consecutive_losses.min(MAX_BACKOFF_EXPONENT);
        let range_ms = MAX_BACKOFF_RANGE_MS.min(INITIAL_BACKOFF_RANGE_MS << exponent);
        let range_ms = range_ms.max(BACKOFF_RANGE_VOTES * self.vote_delay_ms);
        self.consecutive_losses += 1;
        self.backoff_until_ms = now_ms + MIN_BACKOFF_MS + random % range_ms;
    }

    /// Resets the growth of the backoff: an own value was chosen, or a majority knows of nothing newer.
    pub fn reset(&mut self) {
        self.consecutive_losses = 0;
    }

    /// How long to wait before the next ballot as far as known now, in milliseconds; 0 if it may start.
    pub fn remaining_delay_ms(&self, now_ms: u64) -> u64 {
        let deferred_until_ms = self.competing.map_or(0, |competing| competing.until_ms);
        deferred_until_ms.max(self.backoff_until_ms).saturating_sub(now_ms)
    }
}
