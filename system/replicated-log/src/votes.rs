//! Counting the votes of a round.

use fleet_model::{LogMember, ReplicaId};
use std::collections::BTreeSet;

/// The members that have voted in one round.
#[derive(Clone, Debug)]
pub struct VoteCount {
    members: BTreeSet<ReplicaId>,
    voted: BTreeSet<ReplicaId>,
}

impl VoteCount {
    /// A round among these members.
    pub fn new(members: &[LogMember]) -> Self {
        Self { members: members.iter().map(|member| member.replica).collect(), voted: BTreeSet::new() }
    }

    /// Counts a vote; that of a replica which is no member has no effect. Returns whether a quorum has voted.
    pub fn record(&mut self, replica: ReplicaId) -> bool {
        if self.members.contains(&replica) {
            self.voted.insert(replica);
        }
        self.is_quorum()
    }

    /// Whether a majority of the members has voted; never among no members.
    pub fn is_quorum(&self) -> bool {
        self.voted.len() > self.members.len() / 2
    }
}
