//! Changes of members that machines ask for: voters, storage machines, and what these have caught up with.

use crate::proposer::Wanted;
use crate::{ControlBackend, ControlNode};
use controllers::complete_backfill;
use fleet_model::{Answer, ControlState, StorageNode};
use node_runtime::Runtime;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Longest time for a change.
pub(crate) const CHANGE: Duration = Duration::from_millis(600);

fn done(is_done: bool) -> Answer {
    if is_done { Answer::Done } else { Answer::NotReady }
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// So many storage machines make a set.
    pub(crate) fn min_storage_nodes(&self) -> usize {
        controllers::min_storage_nodes(self.backend.tolerance())
    }

    pub(crate) async fn join_core(&self, ip: Ipv4Addr) -> Answer {
        self.add_known_core_node(ip);
        if self.feed.value().voters.contains(&ip) {
            return Answer::Done;
        }
        let wanted = |_: &ControlState, voters: &[Ipv4Addr]| match voters.contains(&ip) {
            true => Wanted::Nothing,
            false => Wanted::Voters(voters.iter().copied().chain([ip]).collect()),
        };
        done(self.propose(CHANGE, wanted).await)
    }

    pub(crate) async fn join_storage(&self, store: StorageNode) -> Answer {
        let least = self.min_storage_nodes();
        let known = self.feed.state();
        let admitted = {
            let mut stores = self.stores.borrow_mut();
            stores.observe(self.runtime.now_ms(), &known.roster, least);
            stores.record_response(self.runtime.now_ms(), store.disk);
            stores.admits(&known.roster, &store)
        };
        if !admitted || controllers::join(&known, &store, least).is_none() {
            return Answer::Done;
        }
        done(self.change(CHANGE, |state| controllers::join(state, &store, least).into()).await)
    }

    pub(crate) async fn filled(&self, disk: u64, epoch: u64) -> Answer {
        self.stores.borrow_mut().record_response(self.runtime.now_ms(), disk);
        let least = self.min_storage_nodes();
        done(
            self.change(CHANGE, |state| complete_backfill(state, Some(disk), epoch, &[], least).into()).await,
        )
    }
}
