//! Datagrams that go out, with the claims that they carry.

use super::Membership;
use crate::effects::Effect;
use crate::table::digest_of;
use crate::wire::{Body, Claim, Head, Status, Version, Writer};
use rand_chacha::rand_core::RngCore;
use std::net::Ipv4Addr;

impl Membership {
    /// Sends a message with what the receiver should know: how it is seen itself if that isn't as alive, the claims
    /// about `first`, then gossip as there is room.
    pub(super) fn send(&mut self, to: Ipv4Addr, body: Body, first: &[Ipv4Addr]) {
        let head = Head { version: self.my_version(), digest: self.digest().to_le_bytes(), body };
        let mut writer = Writer::new(self.config.fleet_id, &head);
        let told = self.write_claims(&mut writer, to, first);
        let limit = self.config.sends_per_change(self.member_count());
        for ip in told {
            self.gossip_queue.count(ip, limit);
        }
        let bytes = writer.finish();
        self.counters.datagrams_sent += 1;
        self.counters.bytes_sent += bytes.len() as u64;
        self.effects.push(Effect::Send { to, bytes });
    }

    /// Adds claims while there is room; returns whom they are about.
    fn write_claims(&self, writer: &mut Writer, to: Ipv4Addr, first: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
        let mut told = Vec::new();
        let about_receiver = self.table.status(to).filter(|status| *status != Status::Alive).map(|_| to);
        let may_tell = |ip: Ipv4Addr| ip != to || about_receiver.is_some() || first.contains(&to);
        for ip in about_receiver.into_iter().chain(first.iter().copied()).chain(self.gossip_queue.in_order())
        {
            if told.contains(&ip) || !may_tell(ip) {
                continue;
            }
            let Some(claim) = self.claim(ip) else { continue };
            if !writer.push(&claim) {
                break;
            }
            told.push(ip);
        }
        told
    }

    fn claim(&self, ip: Ipv4Addr) -> Option<Claim> {
        if ip == self.local_member.ip { Some(self.my_claim()) } else { self.table.get(ip)?.claim(ip) }
    }

    pub(super) fn my_claim(&self) -> Claim {
        Claim::Alive { member: self.local_member.clone(), refutation: self.refutation }
    }

    pub(super) fn my_version(&self) -> Version {
        Version { incarnation: self.local_member.incarnation, refutation: self.refutation }
    }

    /// The digest of this member's view.
    pub(super) fn digest(&self) -> u64 {
        self.table.digest() ^ digest_of(self.local_member.ip, self.my_version())
    }

    /// Draws `count` of these, in random order.
    pub(super) fn choose(&mut self, mut from: Vec<Ipv4Addr>, count: usize) -> Vec<Ipv4Addr> {
        let count = count.min(from.len());
        for at in 0..count {
            let other = at + (self.random.next_u64() % (from.len() - at) as u64) as usize;
            from.swap(at, other);
        }
        from.truncate(count);
        from
    }

    pub(super) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
