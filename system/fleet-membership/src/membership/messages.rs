//! What a received message leads to.

use super::Membership;
use super::claims::{Outcome, Source};
use crate::wire::{Body, Claim, Head, Version};
use std::net::Ipv4Addr;

impl Membership {
    pub(super) fn message(&mut self, now_ms: u64, from: Ipv4Addr, head: Head, claims: Vec<Claim>) {
        let was_live = self.table.live(from).is_some();
        self.heard_from(now_ms, from, head.version);
        let mut outdated = self.learn_gossip(now_ms, claims);
        if self.is_behind(from, head.version) && !outdated.contains(&from) {
            outdated.push(from);
        }
        let is_unknown = self.is_unknown(from, &head);
        match head.body {
            Body::Ping { number } => self.send(from, Body::Ack { number }, &std::mem::take(&mut outdated)),
            Body::PingRequest { number, target } => self.probe_for(now_ms, from, number, target),
            Body::Ack { number } => self.acknowledged(now_ms, from, number),
            Body::Gossip => {}
            Body::Join { after, alone } => {
                let page = self.page(from, after);
                self.send(from, page, &std::mem::take(&mut outdated));
                if !was_live && !alone && after.is_none() {
                    self.start_fetch(now_ms, from);
                }
            }
            Body::Page { next, claims } => self.learn_page(now_ms, from, next, claims),
            Body::Unknown => self.send(from, Body::Gossip, &[self.local_member.ip]),
            Body::Leave => return self.learn_leave(now_ms, from, head.version),
        }
        if is_unknown {
            self.send(from, Body::Unknown, &[]);
        }
        if !outdated.is_empty() {
            self.send(from, Body::Gossip, &outdated);
        }
        self.compare(now_ms, from, head.digest);
    }

    /// Takes gossiped claims in; returns the members that their teller sees in an outdated state.
    fn learn_gossip(&mut self, now_ms: u64, claims: Vec<Claim>) -> Vec<Ipv4Addr> {
        let mut outdated = Vec::new();
        for claim in claims {
            let ip = claim.ip();
            if self.learn(now_ms, claim, Source::Gossip) == Outcome::Outdated && !outdated.contains(&ip) {
                outdated.push(ip);
            }
        }
        outdated
    }

    /// Whether a sender's own version is behind what is known of it: it has lived here before, or had it lost on the
    /// way.
    fn is_behind(&self, from: Ipv4Addr, version: Version) -> bool {
        self.table.get(from).is_some_and(|entry| version < entry.version)
    }

    /// Whether the sender's life is to be asked for.
    fn is_unknown(&self, from: Ipv4Addr, head: &Head) -> bool {
        let may_ask = !matches!(head.body, Body::Gossip | Body::Unknown);
        may_ask && self.table.get(from).is_none_or(|entry| entry.version < head.version)
    }
}
