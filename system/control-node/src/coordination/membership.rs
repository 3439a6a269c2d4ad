//! Keeps the log's members equal to the voters of the configuration register.

use super::bootstrap::initial_members;
use super::leadership::Leadership;
use crate::{ControlBackend, ControlNode};
use fleet_model::LogMember;
use node_runtime::Runtime;
use replicated_log::{KnownReplica, next_members};

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Whether the log's members, as known to this node, differ from the voters or lack this node's replica. Only a leader changes
    /// the members, so without one the voters could be replaced one after another until the log has no majority left.
    pub(super) fn has_outdated_members(&self) -> bool {
        let voters = &self.feed.value().voters;
        if initial_members(&self.feed.state()).is_empty() || !voters.contains(&self.me) || !self.is_fresh() {
            return false;
        }
        let members = self.log_members();
        let is_member = members.iter().any(|member| member.replica == self.replica_id());
        !is_member
            || members.len() != voters.len()
            || members.iter().any(|member| !voters.contains(&member.ip))
    }

    /// The members after the next change; `None` if none is due, or no majority has confirmed recently that the known
    /// voters are current.
    pub(super) fn members_to_propose(&self, leadership: &Leadership) -> Option<Vec<LogMember>> {
        if !self.is_fresh() {
            return None;
        }
        let mut known = leadership.known_replicas(self.runtime.now());
        known.insert(self.me, KnownReplica { replica: self.replica_id(), is_responsive: true });
        next_members(&self.log_members(), &self.feed.value().voters, &known)
    }
}
