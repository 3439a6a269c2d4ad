//! The members of the log follow the voters of the configuration register.

use super::leadership::Leadership;
use crate::{ControlBackend, ControlNode};
use fleet_model::LogMember;
use node_runtime::Runtime;
use replicated_log::{KnownReplica, next_members};

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// The members after the next change, if the voters call for one and a majority confirms that they are current.
    pub(super) fn members_to_propose(&self, leadership: &Leadership) -> Option<Vec<LogMember>> {
        if !self.is_fresh() {
            return None;
        }
        let mut known = leadership.known_replicas(self.runtime.now());
        known.insert(self.me, KnownReplica { replica: self.replica_id(), is_responsive: true });
        next_members(&self.log_members(), &self.feed.value().voters, &known)
    }
}
