//! Failure detection: every control node probes the storage nodes and tracks the voters, so that a node that acquires the lease
//! can act immediately; only the lease holder removes unresponsive nodes. The decisions are made in
//! [`controllers::StorageController`] and [`VoterController`].

use crate::membership::CHANGE_TIMEOUT;
use crate::proposer::ProposedChange;
use crate::{ControlBackend, ControlEvent, ControlNode, ENDPOINT_DISCOVERY_TASK, StorageLosses};
use controllers::{RosterStep, UnresponsiveVoter, VoterController, holds_lease, times};
use fleet_model::{Answer, Call, ControlState, StorageNode};
use futures_util::future::join_all;
use node_runtime::Runtime;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a probe of a storage node.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Probes the storage nodes and tracks the voters; removes unresponsive nodes while this node holds the lease.
    pub(crate) async fn run_failure_detection(self: Rc<Self>) {
        loop {
            self.update_controllers();
            if self.storage_nodes.borrow().is_probe_due(self.runtime.now_ms()) {
                self.probe_storage_nodes().await;
                if self.is_fresh()
                    && let Some(token) = self.discovery_token()
                {
                    self.update_storage_nodes(token).await;
                }
            }
            if self.is_fresh()
                && let Some(token) = self.discovery_token()
            {
                self.remove_unresponsive_voter(token).await;
            }
            self.runtime.sleep(Duration::from_millis(times::PROBE_RETRY_INTERVAL_MS)).await;
        }
    }

    /// Updates the controllers with the current voters and storage nodes, and reports a change of the loss tolerance.
    fn update_controllers(&self) {
        let now = self.runtime.now_ms();
        self.voter_controller.borrow_mut().observe(now, &self.feed.value().voters);
        let state = self.feed.state();
        let mut storage_nodes = self.storage_nodes.borrow_mut();
        storage_nodes.observe(now, &state.roster, self.min_storage_nodes());
        let configured = self.backend.tolerance();
        if let Some(tolerated) = storage_nodes.loss_tolerance_change(&state.roster, configured) {
            self.backend.on_event(&ControlEvent::StorageLosses(StorageLosses { configured, tolerated }));
        }
    }

    async fn probe_storage_nodes(&self) {
        let state = self.feed.state();
        let roster = &state.roster;
        let mut probed_nodes = roster.current.clone();
        let proposed =
            controllers::proposed_nodes(roster).iter().filter(|node| !roster.current.contains(node));
        probed_nodes.extend(proposed.cloned());
        self.storage_nodes.borrow_mut().begin_probe_round(self.runtime.now_ms());
        join_all(probed_nodes.iter().map(|node| self.probe(node))).await;
    }

    async fn probe(&self, node: &StorageNode) {
        let call = Call::Inspect { topic: "disk".to_owned() };
        let answer = self.runtime.call(node.ip, call, PROBE_TIMEOUT).await;
        let is_alive = matches!(&answer, Some(Answer::View(text)) if text.trim() == node.disk.to_string());
        let mut storage_nodes = self.storage_nodes.borrow_mut();
        match is_alive {
            true => storage_nodes.record_response(self.runtime.now_ms(), node.disk),
            false => storage_nodes.record_missed_probe(node.disk),
        }
    }

    async fn update_storage_nodes(&self, token: u64) {
        self.update_controllers();
        let state = self.feed.state();
        let epoch = state.roster.epoch;
        let min_storage_nodes = self.min_storage_nodes();
        let step = self.storage_nodes.borrow().step(self.runtime.now_ms(), &state, self.backend.tolerance());
        // A holder whose process was suspended may have lost the lease to a node with newer observations.
        let still_holds_lease =
            |state: &ControlState| holds_lease(state, ENDPOINT_DISCOVERY_TASK, self.me, token);
        if let RosterStep::RemoveNode { store, unresponsive_ms, .. } = &step {
            self.backend.on_event(&ControlEvent::EvictingStorageNode {
                node: store,
                unresponsive_ms: *unresponsive_ms,
            });
        }
        if step != RosterStep::NoChange {
            let change = |state: &ControlState| match still_holds_lease(state) {
                true => step.apply_to(state, epoch, min_storage_nodes).into(),
                false => ProposedChange::Keep,
            };
            self.change(CHANGE_TIMEOUT, change).await;
        }
    }

    async fn remove_unresponsive_voter(&self, token: u64) {
        let unresponsive =
            self.voter_controller.borrow().voter_to_remove(self.runtime.now_ms(), &self.feed.value().voters);
        let Some(UnresponsiveVoter { ip: voter, unresponsive_ms }) = unresponsive else { return };
        self.backend.on_event(&ControlEvent::RemovingVoter { voter, unresponsive_ms });
        let change = |state: &ControlState, voters: &[Ipv4Addr]| match holds_lease(
            state,
            ENDPOINT_DISCOVERY_TASK,
            self.me,
            token,
        ) {
            true => VoterController::without_voter(voters, voter)
                .map_or(ProposedChange::Keep, ProposedChange::Voters),
            false => ProposedChange::Keep,
        };
        self.propose(CHANGE_TIMEOUT, change).await;
    }
}
