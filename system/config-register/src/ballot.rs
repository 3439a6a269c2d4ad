//! Ballots of a proposer: the proposal numbers of *Paxos Made Simple*, section 2.2, which must be unique.

use fleet_model::Ballot;
use std::net::Ipv4Addr;

/// The highest round that [`BallotSource::observe`] follows. Counting cannot reach a higher one, so it can only come from a
/// damaged message; following it could exhaust the counter.
const MAX_OBSERVED_ROUND: u64 = u64::MAX / 2;
/// How many rounds above the highest known one a recovering replica chooses its ballot. It learns others' rounds only from
/// rejections, and by its next attempt they may have started several more; with the next round alone it would be rejected
/// as long as changes follow one another.
const RECOVERY_LEAP_ROUNDS: u64 = 64;

/// Generates all ballots of one incarnation of a proposer's process.
///
/// # Why no two attempts share a ballot
///
/// A ballot is `(round, proposer, incarnation)`.
///
/// - Two nodes differ in `proposer`, their address.
/// - Two attempts of one incarnation differ in `round`: each ballot is in a higher round than the one before, whatever was
///   observed in between. The counter is in memory, which a process keeps while frozen and loses when it ends.
/// - Two incarnations of one node differ in `incarnation`, a nonce of 64 random bits that the host generates at process
///   start. It depends on no state of an earlier incarnation, so a lost disk, a disk restored from an older copy, or a
///   record synced too late do not matter. It depends on no clock either.
///
/// There are two assumptions: an address belongs to one process at a time, and a process is never resumed from a copy of its
/// memory; and no two incarnations of one address have the same nonce. For n incarnations the probability of a collision
/// is below `n^2 / 2^65`: 3e-12 for 10,000. Two colliding incarnations would also have to reach the same round.
///
/// # Alternatives considered
///
/// - *Time of day in the high bits and 16 random bits* (the former scheme): a clock set back together with a lost disk
///   repeats a second, and then one in 65,536 incarnations repeats the nonce.
/// - *A counter reserved in the acceptor's synced record* (no round above N before a new N is synced): certain as long as
///   the disk is kept, and useless once it is lost or restored from an older copy. It would need the nonce as well, and
///   costs a sync.
/// - *A nonce generated once per disk, with a synced counter*: equally strong against a lost disk, weaker against an older
///   copy of one, and more complex.
///
/// # Progress of an incarnation without knowledge
///
/// It starts at round 1. An acceptor that has promised more rejects its first attempt and reports the ballot in the
/// rejection; the next attempt is above it.
///
/// The page on this is `docs/control-safety.md`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BallotSource {
    proposer: u32,
    incarnation: u64,
    /// The highest round generated or observed.
    round: u64,
}

impl BallotSource {
    /// The source for a new incarnation of `me`. All 64 bits of `incarnation` must be random.
    pub fn new(me: Ipv4Addr, incarnation: u64) -> Self {
        Self { proposer: u32::from(me), incarnation, round: 0 }
    }

    /// Notes a ballot of any proposer: ballots generated later are above it. Needed for progress only, not for safety.
    pub fn observe(&mut self, ballot: Ballot) {
        if ballot.round <= MAX_OBSERVED_ROUND {
            self.round = self.round.max(ballot.round);
        }
    }

    /// A ballot for a recovering replica, 64 rounds above all that were generated or observed.
    pub fn recovery_ballot(&mut self) -> Ballot {
        self.round += RECOVERY_LEAP_ROUNDS - 1;
        self.next_ballot()
    }

    /// A ballot for a new attempt, in a round above all that were generated or observed.
    pub fn next_ballot(&mut self) -> Ballot {
        self.round += 1;
        Ballot { round: self.round, proposer: self.proposer, incarnation: self.incarnation }
    }
}
