//! Contacting dead members and absent seeds again, so that the sides of a partition merge after it heals.

use super::Membership;
use crate::wire::Message;
use rand_chacha::rand_core::RngCore;
use std::net::Ipv4Addr;

/// Maximum number of retained addresses of dead members.
const MAX_LOST_ADDRESSES: usize = 4_096;
/// Number of addresses that an isolated member contacts at once.
pub(super) const MAX_JOIN_TARGETS: usize = 3;
/// Mean number of addresses that all members of one side together contact in one interval.
const FLEET_REJOINS_PER_INTERVAL: usize = 16;

impl Membership {
    /// Sends join requests to some seeds.
    pub(super) fn join_seeds(&mut self, now_ms: u64) {
        let targets = self.choose_random(self.seeds.clone(), MAX_JOIN_TARGETS);
        for ip in targets {
            self.send_join(ip);
        }
        self.next_rejoin = now_ms + self.rejoin_interval();
    }

    /// Sends a join request: a request for the first page of the receiver's state.
    pub(super) fn send_join(&mut self, to: Ipv4Addr) {
        let is_isolated = self.table.live_addresses().is_empty();
        self.send(to, Message::SyncRequest { after: None, is_isolated }, &[self.local_member.ip]);
    }

    /// Retains the address of a dead member, to contact it again.
    pub(super) fn remember_lost(&mut self, now_ms: u64, ip: Ipv4Addr) {
        self.lost_addresses.insert(ip, now_ms);
        if self.lost_addresses.len() > MAX_LOST_ADDRESSES {
            let oldest =
                self.lost_addresses.iter().min_by_key(|(_, removed_at)| **removed_at).map(|(ip, _)| *ip);
            oldest.map(|oldest| self.lost_addresses.remove(&oldest));
        }
    }

    /// Moves the next rejoin attempt forward after a member was lost.
    pub(super) fn schedule_rejoin(&mut self, now_ms: u64) {
        let soon = if self.table.live_addresses().is_empty() {
            self.config.isolated_rejoin_interval_ms
        } else {
            self.rng.next_u64() % self.config.rejoin_interval_ms.max(1)
        };
        self.next_rejoin = self.next_rejoin.min(now_ms + soon);
    }

    fn rejoin_interval(&mut self) -> u64 {
        if self.table.live_addresses().is_empty() {
            return self.config.isolated_rejoin_interval_ms;
        }
        let interval = self.config.rejoin_interval_ms;
        interval / 2 + self.rng.next_u64() % interval.max(1)
    }

    /// Contacts dead members and absent seeds, at random, so that the total rate does not grow with the fleet.
    pub(super) fn rejoin(&mut self, now_ms: u64) {
        self.table.forget_expired(now_ms);
        let oldest = now_ms.saturating_sub(self.config.lost_address_retention_ms);
        self.lost_addresses.retain(|_, removed_at| *removed_at >= oldest);
        let absent = |ip: &Ipv4Addr| self.table.live_entry(*ip).is_none();
        let seeds: Vec<Ipv4Addr> = self.seeds.iter().copied().filter(absent).collect();
        let lost_addresses: Vec<Ipv4Addr> =
            self.lost_addresses.keys().copied().filter(|ip| !seeds.contains(ip)).collect();
        if seeds.is_empty() && lost_addresses.is_empty() {
            self.next_rejoin = u64::MAX;
            return;
        }
        for ip in self.choose_absent(seeds, lost_addresses) {
            self.send_join(ip);
        }
        self.next_rejoin = now_ms + self.rejoin_interval();
    }

    /// Chooses whom to contact. Half of the attempts go to seeds, which new members contact first.
    fn choose_absent(&mut self, seeds: Vec<Ipv4Addr>, lost_addresses: Vec<Ipv4Addr>) -> Vec<Ipv4Addr> {
        let attempts = self.rejoin_attempts();
        let half = (attempts + (self.rng.next_u64() % 2) as usize) / 2;
        let for_seeds = if lost_addresses.is_empty() {
            attempts
        } else {
            half.max(attempts.saturating_sub(lost_addresses.len()))
        };
        let mut chosen = self.choose_random(seeds, for_seeds);
        let for_lost = attempts - chosen.len();
        chosen.extend(self.choose_random(lost_addresses, for_lost));
        chosen
    }

    fn rejoin_attempts(&mut self) -> usize {
        match self.member_count() {
            1 => MAX_JOIN_TARGETS,
            members => {
                (FLEET_REJOINS_PER_INTERVAL + (self.rng.next_u64() % members as u64) as usize) / members
            }
        }
    }
}
