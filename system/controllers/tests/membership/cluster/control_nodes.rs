//! Control nodes of the cluster: polling, leases, probes and changes of the register.

use super::{Cluster, Event, MAX_STATE_AGE_MS, POLL_INTERVAL_MS, PendingChange, ROLE, disk_set};
use controllers::{RosterStep, UnresponsiveVoter, VoterController, holds_lease, proposed_nodes, times};
use fleet_model::ControlState;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

impl Cluster {
    /// Whether the control node `ip` would respond to a request of the control node with the index `from`.
    pub(super) fn responds(&self, from: usize, ip: Ipv4Addr) -> bool {
        let Some(to) = self.control_nodes.iter().position(|node| node.ip == ip) else { return false };
        let other = &self.control_nodes[to];
        to == from
            || (other.up
                && other.frozen_until <= self.now
                && !other.partitioned
                && !self.control_nodes[from].partitioned)
    }

    pub(super) fn reaches_majority(&self, index: usize) -> bool {
        let reached = self.voters.iter().filter(|ip| self.responds(index, **ip)).count();
        reached > self.voters.len() / 2
    }

    /// Commits a change that a control node makes to the state. Returns false if that node does not reach a majority.
    pub(super) fn change(
        &mut self,
        index: usize,
        waived: Vec<u64>,
        next_state: impl FnOnce(&ControlState) -> Option<ControlState>,
    ) -> bool {
        if !self.reaches_majority(index) {
            return false;
        }
        if let Some(state) = next_state(&self.state) {
            self.commit(state, waived);
        }
        self.learn(index);
        true
    }

    /// Updates a control node with the committed value.
    pub(super) fn learn(&mut self, index: usize) {
        let node = &mut self.control_nodes[index];
        (node.version, node.state, node.voters) = (self.version, self.state.clone(), self.voters.clone());
        node.confirmed_at = Some(self.now);
    }

    pub(super) fn step_control_node(&mut self, index: usize) {
        let now = self.now;
        if !self.control_nodes[index].up || self.control_nodes[index].frozen_until > now {
            return;
        }
        if let Some(pending) = self.control_nodes[index].pending.take() {
            self.execute(index, pending);
        }
        if self.control_nodes[index].next_poll <= now {
            self.control_nodes[index].next_poll = now + POLL_INTERVAL_MS;
            self.control_nodes[index].voter_controller.before_request(now);
            let voters = self.control_nodes[index].voters.clone();
            let responding: Vec<Ipv4Addr> =
                voters.into_iter().filter(|ip| self.responds(index, *ip)).collect();
            responding
                .into_iter()
                .for_each(|ip| self.control_nodes[index].voter_controller.record_response(now, ip));
            if self.reaches_majority(index) {
                self.learn(index);
            }
        }
        let is_fresh = self.control_nodes[index]
            .confirmed_at
            .is_some_and(|confirmed_at| now - confirmed_at < MAX_STATE_AGE_MS);
        if is_fresh
            && self.control_nodes[index].next_lease_check <= now
            && now - self.control_nodes[index].started_at >= 300
        {
            self.step_lease(index);
        }
        if self.control_nodes[index].next_probe_check <= now {
            self.control_nodes[index].next_probe_check = now + times::PROBE_RETRY_INTERVAL_MS;
            self.step_storage_controller(index, is_fresh);
        }
    }

    pub(super) fn step_lease(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.control_nodes[index];
        if let Some(token) = node.candidate.held_token(&node.state) {
            node.next_lease_check = now + times::DISCOVERY_POLL_INTERVAL_MS;
            // The instance id is the current time, so that each poll returns a different list.
            let mut endpoint = fleet_model::Endpoint {
                instance_id: now.to_string(),
                service: String::new(),
                address: "10.9.0.1:80".parse().unwrap(),
                zone: String::new(),
                capacity_slots: 1,
                state: fleet_model::EndpointState::Ready,
            };
            endpoint.zone = "a".into();
            if let Some(list) = node.polls.accept_poll(now, now, token, &node.list, vec![endpoint])
                && list.version > node.list.version
            {
                self.history.push((now, Event::ListPublished(list.version, now)));
                node.list = list;
            }
            return;
        }
        node.next_lease_check = now + 200;
        let Some(from) =
            node.candidate.lease_to_acquire(now, &node.state, &node.voters, &node.voter_controller)
        else {
            return;
        };
        let candidate = node.candidate.clone();
        if self.change(index, Vec::new(), |state| candidate.acquire(state, &from)) {
            let node = &mut self.control_nodes[index];
            node.candidate.on_committed(&node.state, &from);
            node.next_lease_check = now;
        }
    }

    pub(super) fn step_storage_controller(&mut self, index: usize, is_fresh: bool) {
        let (now, min_nodes, tolerance) = (self.now, self.min_nodes(), self.tolerance);
        let live: BTreeSet<u64> = self
            .machines
            .iter()
            .filter(|machine| {
                machine.up && machine.frozen_until <= now && !self.control_nodes[index].partitioned
            })
            .map(|machine| machine.store.disk)
            .collect();
        let node = &mut self.control_nodes[index];
        node.voter_controller.observe(now, &node.voters);
        node.storage_controller.observe(now, &node.state.roster, min_nodes);
        let held_token = node.candidate.held_token(&node.state).filter(|_| is_fresh);
        if node.storage_controller.is_probe_due(now) {
            node.storage_controller.begin_probe_round(now);
            for disk in
                disk_set(&node.state.roster.current).union(&disk_set(proposed_nodes(&node.state.roster)))
            {
                match live.contains(disk) {
                    true => node.storage_controller.record_response(now, *disk),
                    false => node.storage_controller.record_missed_probe(*disk),
                }
            }
            if let Some(token) = held_token {
                let epoch = node.state.roster.epoch;
                node.pending = match node.storage_controller.step(now, &node.state, tolerance) {
                    RosterStep::NoChange => None,
                    step => Some(PendingChange::Roster(step, epoch, token)),
                };
            }
        }
        if let (Some(token), None, Some(UnresponsiveVoter { ip: removed, .. })) =
            (held_token, &node.pending, node.voter_controller.voter_to_remove(now, &node.voters))
        {
            node.pending = Some(PendingChange::RemoveVoter(removed, token));
        }
    }

    pub(super) fn execute(&mut self, index: usize, pending: PendingChange) {
        let (me, min_nodes) = (self.control_nodes[index].ip, self.min_nodes());
        match pending {
            PendingChange::Roster(step, epoch, token) => {
                let waived = match &step {
                    RosterStep::WaiveBackfill(waived) => waived.clone(),
                    _ => Vec::new(),
                };
                self.change(index, waived, |state| {
                    holds_lease(state, ROLE, me, token)
                        .then(|| step.apply_to(state, epoch, min_nodes))
                        .flatten()
                });
            }
            PendingChange::RemoveVoter(removed, token) => {
                if self.reaches_majority(index)
                    && holds_lease(&self.state, ROLE, me, token)
                    && let Some(voters) = VoterController::without_voter(&self.voters, removed)
                {
                    self.voters = voters;
                    self.version += 1;
                    self.learn(index);
                }
            }
        }
    }
}
