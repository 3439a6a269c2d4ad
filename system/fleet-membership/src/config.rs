//! Time-outs, intervals and limits of the protocol.

/// Time-outs, intervals and limits of the protocol. All members of a fleet should have the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of the fleet: datagrams of other fleets are dropped.
    pub fleet_id: u32,
    /// Time between two probes (SWIM's protocol period), in ms.
    pub probe_interval_ms: u64,
    /// Every this many probe intervals one more member is probed, in shuffled round robin.
    pub round_robin_every_periods: u64,
    /// Time-out of a direct probe, in ms; then indirect probes are requested.
    pub ack_timeout_ms: u64,
    /// Time-out of the indirect probes, in ms; then the target is suspected.
    pub indirect_ack_timeout_ms: u64,
    /// Number of members that are asked for an indirect probe (SWIM's `k`).
    pub indirect_probe_count: usize,
    /// Time that a suspected member has to refute, in ms; it grows by 2 % with each doubling of the fleet.
    pub suspicion_timeout_ms: u64,
    /// Time between two rounds of gossip, in ms.
    pub gossip_interval_ms: u64,
    /// Number of members to which a round of gossip is sent.
    pub gossip_fanout: usize,
    /// A tick that is late by more than this, in ms, counts as a stall of this process.
    pub stall_threshold_ms: u64,
    /// Time for which a dead incarnation is remembered, in ms, against late gossip.
    pub dead_retention_ms: u64,
    /// Mean time between two attempts to reach dead members and absent seeds, in ms.
    pub rejoin_interval_ms: u64,
    /// The same while no other member is known, in ms.
    pub isolated_rejoin_interval_ms: u64,
    /// Time for which the address of a dead member is contacted again, in ms.
    pub lost_address_retention_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            fleet_id: 0,
            probe_interval_ms: 1_000,
            round_robin_every_periods: 4,
            ack_timeout_ms: 200,
            indirect_ack_timeout_ms: 400,
            indirect_probe_count: 2,
            suspicion_timeout_ms: 1_500,
            gossip_interval_ms: 100,
            gossip_fanout: 3,
            stall_threshold_ms: 100,
            dead_retention_ms: 60_000,
            rejoin_interval_ms: 5_000,
            isolated_rejoin_interval_ms: 1_000,
            lost_address_retention_ms: 24 * 3_600_000,
        }
    }
}

impl Config {
    /// Time in ms that a suspected member has to refute in a fleet of `members`.
    pub(crate) fn suspicion_for(&self, members: usize) -> u64 {
        self.suspicion_timeout_ms + self.suspicion_timeout_ms * u64::from(log2(members)) / 50
    }

    /// Number of datagrams in which a member gossips one update, in a fleet of `members`: SWIM's λ log n, with λ = 3.
    pub(crate) fn sends_per_change(&self, members: usize) -> u32 {
        3 * log2(members)
    }
}

/// Binary logarithm, rounded up; at least 1.
fn log2(members: usize) -> u32 {
    members.max(2).next_power_of_two().trailing_zeros()
}
