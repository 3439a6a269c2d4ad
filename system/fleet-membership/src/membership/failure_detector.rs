//! Failure detection: direct and indirect probes, suspicion, and stalls of this process.

use super::Membership;
use super::rejoin::MAX_JOIN_TARGETS;
use super::state_exchange::PAGE_TIMEOUT_MS;
use crate::probing::{IndirectProbe, Probe};
use crate::wire::{Message, Status, Update};
use std::net::Ipv4Addr;

/// Maximum number of out-of-turn probes in one round.
const MAX_EXTRA_PROBES_PER_ROUND: usize = 16;
/// Time between two such rounds, in ms.
const EXTRA_PROBE_INTERVAL_MS: u64 = 100;

impl Membership {
    /// Starts a probe interval: probes the successor on the ring, and every few intervals one more member.
    pub(super) fn begin_period(&mut self, now_ms: u64) {
        self.next_probe =
            (self.next_probe + self.config.probe_interval_ms).max(now_ms + self.config.probe_interval_ms / 2);
        self.periods += 1;
        self.table.forget_expired(now_ms);
        if let Some(successor) = self.table.successor(self.local_member.ip) {
            self.probe(now_ms, successor);
        }
        if self.periods.is_multiple_of(self.config.round_robin_every_periods.max(1)) {
            self.probe_in_turn(now_ms);
        }
    }

    /// Probes the next member of the shuffled round robin.
    fn probe_in_turn(&mut self, now_ms: u64) {
        if self.round_robin.is_empty() {
            self.round_robin = self.choose_random(self.table.live_addresses().to_vec(), usize::MAX);
        }
        while let Some(ip) = self.round_robin.pop() {
            if self.table.status(ip) == Some(Status::Alive) && !self.probes.is_probed(ip) {
                self.probe(now_ms, ip);
                break;
            }
        }
    }

    fn probe(&mut self, now_ms: u64, target: Ipv4Addr) {
        if self.probes.is_probed(target) {
            return;
        }
        let sequence_number = self.probes.next_sequence_number();
        let deadline = now_ms + self.config.ack_timeout_ms;
        self.probes.pending.push(Probe { sequence_number, target, relays: None, deadline });
        self.send(target, Message::Ping { sequence_number }, &[]);
    }

    /// Probes a member on behalf of another.
    pub(super) fn relay_probe(
        &mut self,
        now_ms: u64,
        requester: Ipv4Addr,
        sequence_number: u32,
        target: Ipv4Addr,
    ) {
        if target == self.local_member.ip {
            return;
        }
        let own_sequence_number = self.probes.next_sequence_number();
        let deadline = now_ms + self.config.indirect_ack_timeout_ms;
        let probe = IndirectProbe {
            sequence_number: own_sequence_number,
            target,
            requester,
            requester_sequence_number: sequence_number,
            deadline,
        };
        self.probes.push_indirect(now_ms, probe);
        self.send(target, Message::Ping { sequence_number: own_sequence_number }, &[]);
    }

    /// Handles an acknowledgement: completes the local probe, and relays it to the requester of an indirect one.
    pub(super) fn handle_ack(&mut self, now_ms: u64, from: Ipv4Addr, sequence_number: u32) {
        self.probes.complete(from, sequence_number);
        if let Some(probe) = self.probes.take_indirect(now_ms, from, sequence_number) {
            self.send(
                probe.requester,
                Message::Ack { sequence_number: probe.requester_sequence_number },
                &[from],
            );
        }
    }

    pub(super) fn expire_probes(&mut self, now_ms: u64) {
        for probe in self.probes.take_expired(now_ms) {
            self.handle_probe_timeout(now_ms, probe);
        }
    }

    /// Declares dead the suspected members that have not refuted before their deadline.
    pub(super) fn expire_suspicions(&mut self, now_ms: u64) {
        while let Some((_, ip)) = self.table.next_suspect().filter(|(deadline, _)| *deadline <= now_ms) {
            let Some(version) = self.table.get(ip).map(|entry| entry.version) else { break };
            self.apply(now_ms, Update::Dead { ip, version });
        }
    }

    /// Handles a probe's time-out: requests indirect probes, or suspects the target if these have timed out as well.
    fn handle_probe_timeout(&mut self, now_ms: u64, probe: Probe) {
        let target = probe.target;
        let Some(entry) = self.table.get(target).filter(|entry| entry.status == Status::Alive) else {
            return;
        };
        if probe.relays.is_some() {
            let version = entry.version;
            self.apply(now_ms, Update::Suspect { ip: target, version });
        } else {
            self.probe_indirectly(now_ms, probe);
        }
    }

    /// Requests indirect probes from random members, and probes the target once more.
    fn probe_indirectly(&mut self, now_ms: u64, mut probe: Probe) {
        let Probe { sequence_number, target, .. } = probe;
        let others = self.table.live_addresses().iter().copied().filter(|ip| *ip != target).collect();
        let relays = self.choose_random(others, self.config.indirect_probe_count);
        for relay in &relays {
            self.send(*relay, Message::PingRequest { sequence_number, target }, &[]);
        }
        self.send(target, Message::Ping { sequence_number }, &[]);
        probe.relays = Some(relays);
        probe.deadline = now_ms + self.config.indirect_ack_timeout_ms;
        self.probes.pending.push(probe);
    }

    /// Detects that `tick` is late. This process was then the slow one, and missing acknowledgements say nothing about
    /// others: it restarts its probes and extends its suspicions (compare Lifeguard's local health awareness). It also
    /// probes some members to learn how they see it.
    pub(super) fn detect_stall(&mut self, now_ms: u64) {
        let due = self.next_tick_ms();
        if now_ms <= due.saturating_add(self.config.stall_threshold_ms) {
            return;
        }
        self.counters.stalls += 1;
        self.table.extend_suspicions(now_ms - due);
        self.restart_probes(now_ms);
        if let Some(fetch) = &mut self.fetch {
            fetch.deadline = now_ms + PAGE_TIMEOUT_MS;
        }
        for due_at in
            [&mut self.next_probe, &mut self.next_gossip, &mut self.next_extra_probe, &mut self.next_rejoin]
        {
            *due_at = (*due_at).max(now_ms);
        }
        let targets = self.choose_random(self.table.live_addresses().to_vec(), MAX_JOIN_TARGETS);
        for ip in targets {
            self.extra_probes.push_front(ip);
        }
    }

    fn restart_probes(&mut self, now_ms: u64) {
        for mut probe in std::mem::take(&mut self.probes.pending) {
            probe.relays = None;
            probe.deadline = now_ms + self.config.ack_timeout_ms;
            self.send(probe.target, Message::Ping { sequence_number: probe.sequence_number }, &[]);
            self.probes.pending.push(probe);
        }
    }

    /// Schedules an out-of-turn probe.
    pub(super) fn schedule_extra_probe(&mut self, now_ms: u64, ip: Ipv4Addr) {
        if !self.extra_probes.contains(&ip) {
            self.next_extra_probe = self.next_extra_probe.max(now_ms);
            self.extra_probes.push_back(ip);
        }
    }

    pub(super) fn send_extra_probes(&mut self, now_ms: u64) {
        self.next_extra_probe = now_ms + EXTRA_PROBE_INTERVAL_MS;
        for _ in 0..MAX_EXTRA_PROBES_PER_ROUND {
            let Some(ip) = self.extra_probes.pop_front() else { break };
            match self.table.status(ip) {
                Some(Status::Alive) => self.probe(now_ms, ip),
                Some(Status::Suspect | Status::Dead) => {
                    let sequence_number = self.probes.next_sequence_number();
                    self.send(ip, Message::Ping { sequence_number }, &[]);
                }
                Some(Status::Left) | None => {}
            }
        }
    }
}
