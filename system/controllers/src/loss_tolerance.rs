//! Which losses of storage nodes the fleet tolerates at present.

use fleet_model::{QuorumSizes, Roster};

/// Number of storage nodes that a fleet needs to tolerate `tolerance` losses.
pub fn min_storage_nodes(tolerance: usize) -> usize {
    2 * tolerance + 1
}

/// The losses that the storage nodes tolerate, by the smaller one of the sets that store records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LossTolerance {
    /// Number of nodes that may be unresponsive at once while turns are still served.
    pub served: usize,
    /// Number of disks that may be lost at once without losing an acknowledged record.
    pub survived: usize,
}

impl LossTolerance {
    /// The losses that `roster` tolerates if `tolerance` are to be; none before the fleet is bootstrapped.
    pub fn from_roster(roster: &Roster, tolerance: usize) -> Self {
        let sets = [Some(roster.current.as_slice()), roster.next.as_deref()];
        let sizes = sets.into_iter().flatten().map(|set| QuorumSizes::for_machines(set.len(), tolerance));
        let tolerated = |sizes: Option<QuorumSizes>| {
            sizes.map_or_else(Self::default, |sizes| Self {
                served: sizes.losses_served(),
                survived: sizes.losses_survived(),
            })
        };
        let fewer =
            |a: Self, b: Self| Self { served: a.served.min(b.served), survived: a.survived.min(b.survived) };
        sizes.map(tolerated).reduce(fewer).unwrap_or_default()
    }
}
