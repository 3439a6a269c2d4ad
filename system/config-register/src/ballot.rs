//! The ballots of a proposer.

use fleet_model::Ballot;
use std::net::Ipv4Addr;

/// A higher round comes from no count, but from a damaged message: it is not followed, so that the count never ends.
const MOST_ROUND: u64 = u64::MAX / 2;
/// How many rounds the ballot of a recovering replica lies above the highest that it has seen. It hears of others' rounds only by
/// their refusals, and by its next attempt they may have begun some more: with the next round alone it would be refused for as
/// long as changes follow one another.
const RECOVERY_LEAP_ROUNDS: u64 = 64;

/// The only maker of ballots: one for each life of a proposer's process.
///
/// # Why no two runs share a ballot
///
/// A ballot is `(round, proposer, incarnation)`.
///
/// - Two machines differ in `proposer`: their addresses.
/// - Two runs of one life differ in `round`: each ballot made is in a higher round than the one before, whatever was
///   seen between. The count is in memory, which a process keeps over a freeze and which ends with it.
/// - Two lives of one machine differ in `life`, a nonce of 64 random bits that the caller draws as the process starts.
///   Nothing that a life must remember of an earlier one is involved, so a lost disk, an older copy of the disk or a
///   record whose sync came too late changes nothing. Nor does any clock: none is asked.
///
/// So the assumptions are two: an address belongs to one process at a time and a process is never resumed from a copy of its
/// memory; and no two of the lives of one address draw the same nonce. Among n lives that has a chance of less than
/// `n^2 / 2^65`: 3e-12 for 10,000 lives. Even those two must also come to the same round.
///
/// # What was weighed
///
/// - *The time of day in the high bits and 16 random bits* (what was here before): a clock set back together with a lost disk
///   brings the same second again, and then one in 65,536 lives repeats the nonce.
/// - *A count that is reserved in the acceptor's synced record* (no round above N before a new N is synced): certain as
///   long as the disk is kept, and as weak as no count once it is lost or put back from an older copy. It would need the
///   nonce all the same, and costs a sync.
/// - *A nonce drawn once for each disk, with a synced count*: as strong as this against a lost disk, weaker against an older copy
///   of one, and with more to go wrong.
///
/// # Why a life that knows nothing gets on
///
/// It begins at round 1. Its first run is refused by any acceptor that has promised more, and the refusal tells the ballot;
/// the next one is above it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BallotSource {
    proposer: u32,
    incarnation: u64,
    /// The highest round that was made or seen.
    round: u64,
}

impl BallotSource {
    /// The source of a life of `me` that has just begun. `life` was drawn for it at random, all 64 bits.
    pub fn new(me: Ipv4Addr, incarnation: u64) -> Self {
        Self { proposer: u32::from(me), incarnation, round: 0 }
    }

    /// Takes note of a ballot of any proposer: later ones of this source are above it.
    pub fn observe(&mut self, ballot: Ballot) {
        if ballot.round <= MOST_ROUND {
            self.round = self.round.max(ballot.round);
        }
    }

    /// The ballot of a recovering replica's run: in a round some way above all that were made or seen.
    pub fn recovery_ballot(&mut self) -> Ballot {
        self.round += RECOVERY_LEAP_ROUNDS - 1;
        self.next_ballot()
    }

    /// The ballot of a new run: in a round above all that were made or seen.
    pub fn next_ballot(&mut self) -> Ballot {
        self.round += 1;
        Ballot { round: self.round, proposer: self.proposer, incarnation: self.incarnation }
    }
}
