//! Measures how soon a control node that returned, or is new, votes and knows what was chosen meanwhile.

use super::history::Fact;
use super::run::SystemRun;
use fleet_model::Ballot;
use std::rc::Rc;

/// Interval between two checks.
const CHECK_INTERVAL_MS: u64 = 10;
/// The measurement ends after this time.
const CATCH_UP_TIMEOUT_MS: u64 = 10_000;

impl SystemRun {
    /// Observes the control node of a returned machine until it knows what was chosen by now.
    pub(super) fn watch_return(self: &Rc<Self>, machine: usize) {
        for node in self.cluster.nodes_of(machine) {
            if self.control_nodes.borrow().contains_key(&node) {
                let run = self.clone();
                let watched = async move { run.watch_node(node).await };
                self.cluster.executor.spawn(self.cluster.driver, watched);
            }
        }
    }

    fn knows(&self, node: usize) -> Option<(Ballot, u64)> {
        let control_nodes = self.control_nodes.borrow();
        let control_node = control_nodes.get(&node)?;
        Some((control_node.feed.value().ballot, control_node.feed.state().version()))
    }

    /// Whether it may vote and is a voter in the value that it knows.
    fn votes(&self, node: usize) -> bool {
        let control_nodes = self.control_nodes.borrow();
        let ip = self.cluster.machine_of(node).ip;
        control_nodes.get(&node).is_some_and(|control_node| {
            control_node.can_vote() && control_node.feed.value().voters.contains(&ip)
        })
    }

    async fn watch_node(&self, node: usize) {
        let incarnation =
            self.control_nodes.borrow().get(&node).map(|control_node| control_node.host().incarnation);
        let nodes: Vec<usize> = self.control_nodes.borrow().keys().copied().collect();
        let newest = nodes.iter().filter_map(|node| self.knows(*node)).max();
        let (Some((ballot, version)), Some((_, own))) = (newest, self.knows(node)) else { return };
        let began = self.cluster.elapsed_ms();
        loop {
            let after = self.cluster.elapsed_ms() - began;
            let now =
                self.control_nodes.borrow().get(&node).map(|control_node| control_node.host().incarnation);
            if now != incarnation {
                return;
            }
            let knows = self.knows(node).is_some_and(|(known, _)| known >= ballot);
            if knows && self.votes(node) || after >= CATCH_UP_TIMEOUT_MS {
                let missed = version.saturating_sub(own);
                return self.cluster.record(Fact::CaughtUp { node, missed, after });
            }
            self.sleep_ms(CHECK_INTERVAL_MS).await;
        }
    }
}
