//! Counts the votes of a round.

use fleet_model::{LogMember, ReplicaId};
use std::collections::BTreeSet;

/// The votes of one round. Each member counts once, however often it replies.
#[derive(Clone, Debug)]
pub struct VoteCount {
    members: BTreeSet<ReplicaId>,
    voted: BTreeSet<ReplicaId>,
}

impl VoteCount {
    /// Starts a round among these members; a majority of them is a quorum.
    pub fn new(members: &[LogMember]) -> Self {
        Self { members: members.iter().map(|member| member.replica).collect(), voted: BTreeSet::new() }
    }

    /// Records a vote; the vote of a replica that is not a member is ignored. Returns whether a quorum has voted.
    pub fn record(&mut self, replica: ReplicaId) -> bool {
        if self.members.contains(&replica) {
            self.voted.insert(replica);
        }
        self.is_quorum()
    }

    /// Whether a majority of the members has voted; always `false` without members.
    pub fn is_quorum(&self) -> bool {
        self.voted.len() > self.members.len() / 2
    }
}
