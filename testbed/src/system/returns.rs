//! How soon a control node that was away, or is new, votes and knows what was chosen meanwhile.

use super::history::Fact;
use super::play::Stage;
use fleet_model::Ballot;
use std::rc::Rc;

/// Between two looks.
const CHECK_INTERVAL_MS: u64 = 10;
/// Who knows it later has not caught up.
const GIVEN_UP_MS: u64 = 10_000;

impl Stage {
    /// Watches the control node of a machine that is back until it knows what was chosen by now.
    pub(super) fn watch_return(self: &Rc<Self>, machine: usize) {
        for node in self.world.nodes_of(machine) {
            if self.keepers.borrow().contains_key(&node) {
                let stage = self.clone();
                let watched = async move { stage.watch_node(node).await };
                self.world.executor.spawn(self.world.driver, watched);
            }
        }
    }

    fn knows(&self, node: usize) -> Option<(Ballot, u64)> {
        let keepers = self.keepers.borrow();
        let keeper = keepers.get(&node)?;
        Some((keeper.feed.value().ballot, keeper.feed.state().version()))
    }

    /// Whether it may vote, and is a voter by what it knows.
    fn votes(&self, node: usize) -> bool {
        let keepers = self.keepers.borrow();
        let ip = self.world.machine_of(node).ip;
        keepers.get(&node).is_some_and(|keeper| keeper.is_fit() && keeper.feed.value().voters.contains(&ip))
    }

    async fn watch_node(&self, node: usize) {
        let life = self.keepers.borrow().get(&node).map(|keeper| keeper.host().life);
        let nodes: Vec<usize> = self.keepers.borrow().keys().copied().collect();
        let newest = nodes.iter().filter_map(|node| self.knows(*node)).max();
        let (Some((ballot, version)), Some((_, own))) = (newest, self.knows(node)) else { return };
        let began = self.world.elapsed_ms();
        loop {
            let after = self.world.elapsed_ms() - began;
            let now = self.keepers.borrow().get(&node).map(|keeper| keeper.host().life);
            if now != life {
                return;
            }
            let knows = self.knows(node).is_some_and(|(known, _)| known >= ballot);
            if knows && self.votes(node) || after >= GIVEN_UP_MS {
                let missed = version.saturating_sub(own);
                return self.world.note(Fact::CaughtUp { node, missed, after });
            }
            self.pause(CHECK_INTERVAL_MS).await;
        }
    }
}
