//! Control nodes of the cluster: polling, leases, probes and changes of the register.

use super::{Event, FRESH, Fleet, LIST, POLL, Pending, disks};
use controllers::{RosterStep, UnresponsiveVoter, VoterController, holds_lease, proposed_nodes, times};
use fleet_model::ControlState;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

impl Fleet {
    pub(super) fn answers(&self, from: usize, ip: Ipv4Addr) -> bool {
        let Some(to) = self.keepers.iter().position(|keeper| keeper.ip == ip) else { return false };
        let other = &self.keepers[to];
        to == from || (other.up && other.frozen_until <= self.now && !other.cut && !self.keepers[from].cut)
    }

    pub(super) fn reaches_majority(&self, at: usize) -> bool {
        let reached = self.voters.iter().filter(|ip| self.answers(at, **ip)).count();
        reached > self.voters.len() / 2
    }

    /// The keeper's change of the state, if it reaches a majority.
    pub(super) fn change(
        &mut self,
        at: usize,
        waived: Vec<u64>,
        wanted: impl FnOnce(&ControlState) -> Option<ControlState>,
    ) -> bool {
        if !self.reaches_majority(at) {
            return false;
        }
        if let Some(state) = wanted(&self.state) {
            self.choose(state, waived);
        }
        self.learn(at);
        true
    }

    pub(super) fn learn(&mut self, at: usize) {
        let keeper = &mut self.keepers[at];
        (keeper.version, keeper.state, keeper.voters) =
            (self.version, self.state.clone(), self.voters.clone());
        keeper.fresh_at = Some(self.now);
    }

    pub(super) fn keep(&mut self, at: usize) {
        let now = self.now;
        if !self.keepers[at].up || self.keepers[at].frozen_until > now {
            return;
        }
        if let Some(pending) = self.keepers[at].pending.take() {
            self.carry_out(at, pending);
        }
        if self.keepers[at].next_poll <= now {
            self.keepers[at].next_poll = now + POLL;
            self.keepers[at].core.before_request(now);
            let voters = self.keepers[at].voters.clone();
            let answering: Vec<Ipv4Addr> = voters.into_iter().filter(|ip| self.answers(at, *ip)).collect();
            answering.into_iter().for_each(|ip| self.keepers[at].core.record_response(now, ip));
            if self.reaches_majority(at) {
                self.learn(at);
            }
        }
        let fresh = self.keepers[at].fresh_at.is_some_and(|then| now - then < FRESH);
        if fresh && self.keepers[at].next_duty <= now && now - self.keepers[at].began >= 300 {
            self.duty(at);
        }
        if self.keepers[at].next_watch <= now {
            self.keepers[at].next_watch = now + times::PROBE_RETRY_INTERVAL_MS;
            self.watch(at, fresh);
        }
    }

    pub(super) fn duty(&mut self, at: usize) {
        let now = self.now;
        let keeper = &mut self.keepers[at];
        if let Some(fence) = keeper.claim.held_token(&keeper.state) {
            keeper.next_duty = now + times::POLL_INTERVAL_MS;
            // What the platform lists is told by its time here: it is another one each time.
            let mut endpoint = fleet_model::Endpoint {
                instance_id: now.to_string(),
                service: String::new(),
                address: "10.9.0.1:80".parse().unwrap(),
                zone: String::new(),
                capacity_slots: 1,
                state: fleet_model::EndpointState::Ready,
            };
            endpoint.zone = "a".into();
            if let Some(list) = keeper.readings.accept_poll(now, now, fence, &keeper.list, vec![endpoint])
                && list.version > keeper.list.version
            {
                self.history.push((now, Event::List(list.version, now)));
                keeper.list = list;
            }
            return;
        }
        keeper.next_duty = now + 200;
        let Some(from) = keeper.claim.lease_to_acquire(now, &keeper.state, &keeper.voters, &keeper.core)
        else {
            return;
        };
        let claim = keeper.claim.clone();
        if self.change(at, Vec::new(), |state| claim.acquire(state, &from)) {
            let keeper = &mut self.keepers[at];
            keeper.claim.change_committed(&keeper.state, &from);
            keeper.next_duty = now;
        }
    }

    pub(super) fn watch(&mut self, at: usize, fresh: bool) {
        let (now, least, tolerance) = (self.now, self.least(), self.tolerance);
        let live: BTreeSet<u64> = self
            .machines
            .iter()
            .filter(|machine| machine.up && machine.frozen_until <= now && !self.keepers[at].cut)
            .map(|machine| machine.store.disk)
            .collect();
        let keeper = &mut self.keepers[at];
        keeper.core.observe(now, &keeper.voters);
        keeper.watch.observe(now, &keeper.state.roster, least);
        let holds = keeper.claim.held_token(&keeper.state).filter(|_| fresh);
        if keeper.watch.is_probe_due(now) {
            keeper.watch.begin_probe_round(now);
            for disk in
                disks(&keeper.state.roster.current).union(&disks(proposed_nodes(&keeper.state.roster)))
            {
                match live.contains(disk) {
                    true => keeper.watch.record_response(now, *disk),
                    false => keeper.watch.record_missed_probe(*disk),
                }
            }
            if let Some(fence) = holds {
                let epoch = keeper.state.roster.epoch;
                keeper.pending = match keeper.watch.step(now, &keeper.state, tolerance) {
                    RosterStep::NoChange => None,
                    step => Some(Pending::Roster(step, epoch, fence)),
                };
            }
        }
        if let (Some(fence), None, Some(UnresponsiveVoter { ip: gone, .. })) =
            (holds, &keeper.pending, keeper.core.voter_to_remove(now, &keeper.voters))
        {
            keeper.pending = Some(Pending::Remove(gone, fence));
        }
    }

    pub(super) fn carry_out(&mut self, at: usize, pending: Pending) {
        let (me, least) = (self.keepers[at].ip, self.least());
        match pending {
            Pending::Roster(step, epoch, fence) => {
                let waived = match &step {
                    RosterStep::WaiveBackfill(waived) => waived.clone(),
                    _ => Vec::new(),
                };
                self.change(at, waived, |state| {
                    holds_lease(state, LIST, me, fence).then(|| step.apply_to(state, epoch, least)).flatten()
                });
            }
            Pending::Remove(gone, fence) => {
                if self.reaches_majority(at)
                    && holds_lease(&self.state, LIST, me, fence)
                    && let Some(voters) = VoterController::without_voter(&self.voters, gone)
                {
                    self.voters = voters;
                    self.version += 1;
                    self.learn(at);
                }
            }
        }
    }
}
