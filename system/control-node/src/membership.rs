//! Membership changes requested by nodes: a control node joins the voters, a storage node joins or has completed its backfill.

use crate::proposer::ProposedChange;
use crate::{ControlBackend, ControlNode};
use controllers::complete_backfill;
use fleet_model::{Answer, ControlState, StorageNode};
use node_runtime::Runtime;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Deadline for committing a membership change.
pub(crate) const CHANGE_TIMEOUT: Duration = Duration::from_millis(600);

fn answer(succeeded: bool) -> Answer {
    if succeeded { Answer::Done } else { Answer::NotReady }
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// The number of storage nodes that the tolerance requires.
    pub(crate) fn min_storage_nodes(&self) -> usize {
        controllers::min_storage_nodes(self.backend.tolerance())
    }

    pub(crate) async fn join_core(&self, ip: Ipv4Addr) -> Answer {
        self.add_known_core_node(ip);
        if self.feed.value().voters.contains(&ip) {
            return Answer::Done;
        }
        let make_change = |_: &ControlState, voters: &[Ipv4Addr]| match voters.contains(&ip) {
            true => ProposedChange::Keep,
            false => ProposedChange::Voters(voters.iter().copied().chain([ip]).collect()),
        };
        answer(self.propose(CHANGE_TIMEOUT, make_change).await)
    }

    pub(crate) async fn join_storage(&self, node: StorageNode, is_founder: bool) -> Answer {
        let min_storage_nodes = self.min_storage_nodes();
        let known = self.feed.state();
        let admitted = {
            let mut storage_nodes = self.storage_nodes.borrow_mut();
            storage_nodes.observe(self.runtime.now_ms(), &known.roster, min_storage_nodes);
            storage_nodes.record_response(self.runtime.now_ms(), node.disk);
            storage_nodes.may_join(&known.roster, &node)
        };
        let join = if is_founder { controllers::join_initial_node } else { controllers::join };
        if !admitted || join(&known, &node, min_storage_nodes).is_none() {
            return Answer::Done;
        }
        answer(self.change(CHANGE_TIMEOUT, |state| join(state, &node, min_storage_nodes).into()).await)
    }

    pub(crate) async fn complete_node_backfill(&self, disk: u64, epoch: u64) -> Answer {
        self.storage_nodes.borrow_mut().record_response(self.runtime.now_ms(), disk);
        let min_storage_nodes = self.min_storage_nodes();
        answer(
            self.change(CHANGE_TIMEOUT, |state| {
                complete_backfill(state, Some(disk), epoch, &[], min_storage_nodes).into()
            })
            .await,
        )
    }
}
