//! Quorums of voters, and the rule that voters change one node at a time.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// The smallest number of `count` voters of which any two sets intersect.
pub(crate) fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// What a proposer knows about the voters among whom it needs a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VoterKnowledge {
    /// The voters in force before these are known.
    Adjacent,
    /// The voters in force before these are unknown: a quorum must contain a majority of each set that differs from them
    /// by one node.
    PredecessorUnknown,
}

/// Voters of which a number must agree.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Quorum {
    pub(crate) members: BTreeSet<Ipv4Addr>,
    required: usize,
}

impl Quorum {
    /// The quorum among `voters`. `recovering` is the node that has lost its disk, whose vote does not count.
    ///
    /// The sizes are derived in the crate's documentation, "Why it is safe" and "Why a recovered voter is safe".
    pub(crate) fn new(voters: &[Ipv4Addr], knowledge: VoterKnowledge, recovering: Option<Ipv4Addr>) -> Self {
        let mut members: BTreeSet<_> = voters.iter().copied().collect();
        let count = members.len();
        let excludes_recovering = recovering.is_some_and(|node| members.remove(&node));
        let required = match (excludes_recovering, knowledge) {
            (false, VoterKnowledge::Adjacent) => majority(count),
            (false, VoterKnowledge::PredecessorUnknown) => count.div_ceil(2) + 1,
            (true, VoterKnowledge::Adjacent) => count - majority(count) + 1,
            // Of two voters, the remaining one may have missed what the lost one accepted together with a third.
            (true, VoterKnowledge::PredecessorUnknown) => (count - 1).max(2),
        };
        Self { members, required }
    }

    /// Whether the members that satisfy `agrees` are sufficient.
    pub(crate) fn is_reached(&self, mut agrees: impl FnMut(&Ipv4Addr) -> bool) -> bool {
        self.members.iter().filter(|member| agrees(member)).count() >= self.required
    }
}

/// Whether two lists name the same voters.
pub(crate) fn are_same_voters(left: &[Ipv4Addr], right: &[Ipv4Addr]) -> bool {
    BTreeSet::from_iter(left) == BTreeSet::from_iter(right)
}

/// Whether `new` is a non-empty set without duplicates that has one node more or fewer than `old`.
pub(crate) fn is_single_change(old: &[Ipv4Addr], new: &[Ipv4Addr]) -> bool {
    let (old, distinct) = (BTreeSet::from_iter(old), BTreeSet::from_iter(new));
    !new.is_empty() && distinct.len() == new.len() && old.symmetric_difference(&distinct).count() == 1
}
