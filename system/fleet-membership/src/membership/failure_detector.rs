//! Failure detection: direct and indirect probes, suspicion, and what is made of a time in which this process did not
//! run.

use super::Membership;
use super::rejoin::JOINED_AT_ONCE;
use super::state_exchange::PAGE_TIMEOUT_MS;
use crate::probing::{IndirectProbe, Probe};
use crate::wire::{Body, Claim, Status};
use std::net::Ipv4Addr;

/// Members that are probed out of turn in one round.
const DOUBTED_AT_ONCE: usize = 16;
/// Between two such rounds.
const DOUBTED_INTERVAL_MS: u64 = 100;

impl Membership {
    /// A new period: the successor on the ring is probed, and now and then another.
    pub(super) fn begin_period(&mut self, now_ms: u64) {
        self.next_probe =
            (self.next_probe + self.config.probe_interval_ms).max(now_ms + self.config.probe_interval_ms / 2);
        self.periods += 1;
        self.table.forget(now_ms);
        if let Some(successor) = self.table.successor(self.local_member.ip) {
            self.probe(now_ms, successor);
        }
        if self.periods.is_multiple_of(self.config.round_robin_every_periods.max(1)) {
            self.probe_in_turn(now_ms);
        }
    }

    /// Probes the next member of the shuffled round robin.
    fn probe_in_turn(&mut self, now_ms: u64) {
        if self.round.is_empty() {
            self.round = self.choose(self.table.addresses().to_vec(), usize::MAX);
        }
        while let Some(ip) = self.round.pop() {
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
        let number = self.probes.next_number();
        let deadline = now_ms + self.config.ack_timeout_ms;
        self.probes.waiting.push(Probe { number, target, relays: None, deadline });
        self.send(target, Body::Ping { number }, &[]);
    }

    /// Probes a member on behalf of another.
    pub(super) fn probe_for(&mut self, now_ms: u64, requester: Ipv4Addr, number: u32, target: Ipv4Addr) {
        if target == self.local_member.ip {
            return;
        }
        let own_number = self.probes.next_number();
        let deadline = now_ms + self.config.indirect_ack_timeout_ms;
        let probe =
            IndirectProbe { number: own_number, target, requester, requester_number: number, deadline };
        self.probes.put_indirect(now_ms, probe);
        self.send(target, Body::Ping { number: own_number }, &[]);
    }

    /// An acknowledgement ends a probe of this member's own, and is passed on to who asked for an indirect one.
    pub(super) fn acknowledged(&mut self, now_ms: u64, from: Ipv4Addr, number: u32) {
        self.probes.acknowledged(from, number);
        if let Some(probe) = self.probes.take_indirect(now_ms, from, number) {
            self.send(probe.requester, Body::Ack { number: probe.requester_number }, &[from]);
        }
    }

    pub(super) fn expire_probes(&mut self, now_ms: u64) {
        for probe in self.probes.take_expired(now_ms) {
            self.unanswered(now_ms, probe);
        }
    }

    /// Removes the suspected members that have not refuted in time.
    pub(super) fn expire_suspicions(&mut self, now_ms: u64) {
        while let Some((_, ip)) = self.table.next_suspect().filter(|(deadline, _)| *deadline <= now_ms) {
            let Some(version) = self.table.get(ip).map(|entry| entry.version) else { break };
            self.change(now_ms, Claim::Removed { ip, version });
        }
    }

    /// A probe's time is over: indirect probes are asked for, or the target is suspected.
    fn unanswered(&mut self, now_ms: u64, probe: Probe) {
        let target = probe.target;
        let Some(entry) = self.table.get(target).filter(|entry| entry.status == Status::Alive) else {
            return;
        };
        if probe.relays.is_some() {
            let version = entry.version;
            self.change(now_ms, Claim::Suspect { ip: target, version });
        } else {
            self.probe_indirectly(now_ms, probe);
        }
    }

    /// Asks others to probe the target, and probes it once more.
    fn probe_indirectly(&mut self, now_ms: u64, mut probe: Probe) {
        let Probe { number, target, .. } = probe;
        let others = self.table.addresses().iter().copied().filter(|ip| *ip != target).collect();
        let relays = self.choose(others, self.config.indirect_probe_count);
        for relay in &relays {
            self.send(*relay, Body::PingRequest { number, target }, &[]);
        }
        self.send(target, Body::Ping { number }, &[]);
        probe.relays = Some(relays);
        probe.deadline = now_ms + self.config.indirect_ack_timeout_ms;
        self.probes.waiting.push(probe);
    }

    /// If `tick` should have been called a while ago, this process had no time, and what it missed says nothing of
    /// others: it probes again, and gives suspected ones more time. It probes some others, too, to hear how they see it.
    pub(super) fn notice_gap(&mut self, now_ms: u64) {
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
        for at in
            [&mut self.next_probe, &mut self.next_gossip, &mut self.next_doubted_probe, &mut self.next_rejoin]
        {
            *at = (*at).max(now_ms);
        }
        let asked = self.choose(self.table.addresses().to_vec(), JOINED_AT_ONCE);
        for ip in asked {
            self.doubted.push_front(ip);
        }
    }

    fn restart_probes(&mut self, now_ms: u64) {
        for mut probe in std::mem::take(&mut self.probes.waiting) {
            probe.relays = None;
            probe.deadline = now_ms + self.config.ack_timeout_ms;
            self.send(probe.target, Body::Ping { number: probe.number }, &[]);
            self.probes.waiting.push(probe);
        }
    }

    /// Has a member probed out of turn.
    pub(super) fn doubt(&mut self, now_ms: u64, ip: Ipv4Addr) {
        if !self.doubted.contains(&ip) {
            self.next_doubted_probe = self.next_doubted_probe.max(now_ms);
            self.doubted.push_back(ip);
        }
    }

    pub(super) fn probe_doubted(&mut self, now_ms: u64) {
        self.next_doubted_probe = now_ms + DOUBTED_INTERVAL_MS;
        for _ in 0..DOUBTED_AT_ONCE {
            let Some(ip) = self.doubted.pop_front() else { break };
            match self.table.status(ip) {
                Some(Status::Alive) => self.probe(now_ms, ip),
                Some(Status::Suspect | Status::Removed) => {
                    let number = self.probes.next_number();
                    self.send(ip, Body::Ping { number }, &[]);
                }
                Some(Status::Left) | None => {}
            }
        }
    }
}
