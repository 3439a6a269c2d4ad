//! Times and limits.

/// Times and limits of the protocol. All members of a fleet should have the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The fleet's number: datagrams of another one are dropped.
    pub fleet_id: u32,
    /// Between two probes.
    pub probe_interval_ms: u64,
    /// In every so many periods one more member is probed, in shuffled round robin.
    pub round_robin_every_periods: u64,
    /// How long a probe waits before indirect ones are asked for.
    pub ack_timeout_ms: u64,
    /// How long it then waits before it suspects.
    pub indirect_ack_timeout_ms: u64,
    /// How many members are asked for an indirect probe.
    pub indirect_probe_count: usize,
    /// How long a suspected member has to refute; two in a hundred longer with each doubling of the fleet.
    pub suspicion_timeout_ms: u64,
    /// Between two rounds of gossip.
    pub gossip_interval_ms: u64,
    /// How many members get a round of gossip.
    pub gossip_fanout: usize,
    /// A tick that comes later than due by more than this tells that this process had no time.
    pub stall_threshold_ms: u64,
    /// How long it is remembered that a life has ended.
    pub dead_retention_ms: u64,
    /// Between two tries to rejoin removed members and absent seeds, on average.
    pub rejoin_interval_ms: u64,
    /// The same while no other member is known.
    pub isolated_rejoin_interval_ms: u64,
    /// How long the address of a removed member is tried.
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
    /// How long a suspected member has to refute in a fleet of `members`.
    pub(crate) fn suspicion_for(&self, members: usize) -> u64 {
        self.suspicion_timeout_ms + self.suspicion_timeout_ms * u64::from(log2(members)) / 50
    }

    /// How often a member gossips one change in a fleet of `members`.
    pub(crate) fn sends_per_change(&self, members: usize) -> u32 {
        3 * log2(members)
    }
}

/// Logarithm, rounded up; at least 1.
fn log2(members: usize) -> u32 {
    members.max(2).next_power_of_two().trailing_zeros()
}
