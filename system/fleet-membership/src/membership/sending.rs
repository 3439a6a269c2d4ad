//! Outgoing datagrams and the updates that they carry.

use super::Membership;
use crate::effects::Effect;
use crate::table::digest_of;
use crate::wire::{DatagramWriter, Header, Message, Status, Update, Version};
use rand_chacha::rand_core::RngCore;
use std::net::Ipv4Addr;

impl Membership {
    /// Sends a message with piggybacked updates: the receiver's own state if it is not alive here, then the states of
    /// `first`, then queued gossip while there is capacity.
    pub(super) fn send(&mut self, to: Ipv4Addr, body: Message, first: &[Ipv4Addr]) {
        let header = Header { version: self.local_version(), digest: self.digest().to_le_bytes(), body };
        let mut writer = DatagramWriter::new(self.config.fleet_id, &header);
        let included = self.write_updates(&mut writer, to, first);
        let limit = self.config.sends_per_change(self.member_count());
        for ip in included {
            self.gossip_queue.record_sent(ip, limit);
        }
        let bytes = writer.finish();
        self.counters.datagrams_sent += 1;
        self.counters.bytes_sent += bytes.len() as u64;
        self.effects.push(Effect::Send { to, bytes });
    }

    /// Adds updates while there is capacity; returns the addresses of their members.
    fn write_updates(&self, writer: &mut DatagramWriter, to: Ipv4Addr, first: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
        let mut included = Vec::new();
        let about_receiver = self.table.status(to).filter(|status| *status != Status::Alive).map(|_| to);
        let may_include = |ip: Ipv4Addr| ip != to || about_receiver.is_some() || first.contains(&to);
        for ip in about_receiver.into_iter().chain(first.iter().copied()).chain(self.gossip_queue.in_order())
        {
            if included.contains(&ip) || !may_include(ip) {
                continue;
            }
            let Some(update) = self.update_about(ip) else { continue };
            if !writer.push(&update) {
                break;
            }
            included.push(ip);
        }
        included
    }

    fn update_about(&self, ip: Ipv4Addr) -> Option<Update> {
        if ip == self.local_member.ip { Some(self.local_update()) } else { self.table.get(ip)?.update(ip) }
    }

    pub(super) fn local_update(&self) -> Update {
        Update::Alive { member: self.local_member.clone(), refutation: self.refutation }
    }

    pub(super) fn local_version(&self) -> Version {
        Version { incarnation: self.local_member.incarnation, refutation: self.refutation }
    }

    /// Digest of the local view.
    pub(super) fn digest(&self) -> u64 {
        self.table.digest() ^ digest_of(self.local_member.ip, self.local_version())
    }

    /// Chooses `count` of these, in random order.
    pub(super) fn choose_random(&mut self, mut from: Vec<Ipv4Addr>, count: usize) -> Vec<Ipv4Addr> {
        let count = count.min(from.len());
        for index in 0..count {
            let other = index + (self.rng.next_u64() % (from.len() - index) as u64) as usize;
            from.swap(index, other);
        }
        from.truncate(count);
        from
    }

    pub(super) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
