//! The number of storage node losses that the fleet currently tolerates.

use fleet_model::{QuorumSizes, Roster};

/// Number of storage nodes that a fleet needs to tolerate `tolerance` concurrent losses.
pub fn min_storage_nodes(tolerance: usize) -> usize {
    2 * tolerance + 1
}

/// Losses that the storage nodes tolerate: the minimum over the current and the next set, since records are stored in both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LossTolerance {
    /// Number of nodes that may be unresponsive at once while turns are still served.
    pub losses_served: usize,
    /// Number of disks that may be lost at once without losing an acknowledged record.
    pub losses_survived: usize,
}

impl LossTolerance {
    /// The losses that `roster` tolerates in a fleet configured for `tolerance` losses. Both counts are 0 before the bootstrap.
    pub fn from_roster(roster: &Roster, tolerance: usize) -> Self {
        let sets = [Some(roster.current.as_slice()), roster.next.as_deref()];
        let sizes = sets.into_iter().flatten().map(|set| QuorumSizes::for_machines(set.len(), tolerance));
        let tolerated = |sizes: Option<QuorumSizes>| {
            sizes.map_or_else(Self::default, |sizes| Self {
                losses_served: sizes.losses_served(),
                losses_survived: sizes.losses_survived(),
            })
        };
        let minimum = |a: Self, b: Self| Self {
            losses_served: a.losses_served.min(b.losses_served),
            losses_survived: a.losses_survived.min(b.losses_survived),
        };
        sizes.map(tolerated).reduce(minimum).unwrap_or_default()
    }
}
