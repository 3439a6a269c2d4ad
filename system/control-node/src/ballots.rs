//! Ballots of this node's rounds.

use fleet_model::Ballot;
use std::net::Ipv4Addr;
use std::time::Duration;

/// The low bits of a round tell the lives of a proposer apart.
const LIFE_BITS: u32 = 16;

/// The ballot of a new round: above all that were seen, and one which no other life of this machine has used. One that lost
/// its disk does not know its old ballots, but the time of day has risen since. `life`: drawn at the node's start.
pub fn next_ballot(me: Ipv4Addr, highest: Ballot, wall_clock: Duration, life: u64) -> Ballot {
    let rising = ((highest.round >> LIFE_BITS) + 1).max(wall_clock.as_secs());
    let life = life & ((1 << LIFE_BITS) - 1);
    Ballot { round: rising << LIFE_BITS | life, proposer: u32::from(me) }
}
