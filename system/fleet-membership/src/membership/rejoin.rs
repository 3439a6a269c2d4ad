//! Finding removed members and absent seeds again, so that the parts of a cut fleet join.

use super::Membership;
use crate::wire::Body;
use rand_chacha::rand_core::RngCore;
use std::net::Ipv4Addr;

/// Most addresses of removed members that are kept.
const MAX_LOST: usize = 4_096;
/// Addresses that one without others asks at once.
pub(super) const JOINED_AT_ONCE: usize = 3;
/// Addresses that all members of a part together ask in one interval, on average.
const JOINED_BY_ALL: usize = 16;

impl Membership {
    /// Asks some seeds to be let in.
    pub(super) fn join_seeds(&mut self, now_ms: u64) {
        let asked = self.choose(self.seeds.clone(), JOINED_AT_ONCE);
        for ip in asked {
            self.send_join(ip);
        }
        self.next_rejoin = now_ms + self.rejoin_interval();
    }

    pub(super) fn send_join(&mut self, to: Ipv4Addr) {
        let alone = self.table.addresses().is_empty();
        self.send(to, Body::Join { after: None, alone }, &[self.local_member.ip]);
    }

    /// Keeps the address of a removed member, to find it again.
    pub(super) fn remember_lost(&mut self, now_ms: u64, ip: Ipv4Addr) {
        self.lost.insert(ip, now_ms);
        if self.lost.len() > MAX_LOST {
            let oldest = self.lost.iter().min_by_key(|(_, at)| **at).map(|(ip, _)| *ip);
            oldest.map(|oldest| self.lost.remove(&oldest));
        }
    }

    pub(super) fn rejoin_soon(&mut self, now_ms: u64) {
        let soon = if self.table.addresses().is_empty() {
            self.config.isolated_rejoin_interval_ms
        } else {
            self.random.next_u64() % self.config.rejoin_interval_ms.max(1)
        };
        self.next_rejoin = self.next_rejoin.min(now_ms + soon);
    }

    fn rejoin_interval(&mut self) -> u64 {
        if self.table.addresses().is_empty() {
            return self.config.isolated_rejoin_interval_ms;
        }
        let interval = self.config.rejoin_interval_ms;
        interval / 2 + self.random.next_u64() % interval.max(1)
    }

    /// Asks removed members and absent seeds, by chance, so that a big part doesn't ask more in all than a small one.
    pub(super) fn rejoin(&mut self, now_ms: u64) {
        self.table.forget(now_ms);
        let oldest = now_ms.saturating_sub(self.config.lost_address_retention_ms);
        self.lost.retain(|_, at| *at >= oldest);
        let absent = |ip: &Ipv4Addr| self.table.live(*ip).is_none();
        let seeds: Vec<Ipv4Addr> = self.seeds.iter().copied().filter(absent).collect();
        let lost: Vec<Ipv4Addr> = self.lost.keys().copied().filter(|ip| !seeds.contains(ip)).collect();
        if seeds.is_empty() && lost.is_empty() {
            self.next_rejoin = u64::MAX;
            return;
        }
        for ip in self.choose_absent(seeds, lost) {
            self.send_join(ip);
        }
        self.next_rejoin = now_ms + self.rejoin_interval();
    }

    /// Draws whom to ask. Half of the tries go to seeds: those who start first ask there.
    fn choose_absent(&mut self, seeds: Vec<Ipv4Addr>, lost: Vec<Ipv4Addr>) -> Vec<Ipv4Addr> {
        let tries = self.rejoin_tries();
        let half = (tries + (self.random.next_u64() % 2) as usize) / 2;
        let for_seeds = if lost.is_empty() { tries } else { half.max(tries.saturating_sub(lost.len())) };
        let mut chosen = self.choose(seeds, for_seeds);
        let for_lost = tries - chosen.len();
        chosen.extend(self.choose(lost, for_lost));
        chosen
    }

    fn rejoin_tries(&mut self) -> usize {
        match self.member_count() {
            1 => JOINED_AT_ONCE,
            members => (JOINED_BY_ALL + (self.random.next_u64() % members as u64) as usize) / members,
        }
    }
}
