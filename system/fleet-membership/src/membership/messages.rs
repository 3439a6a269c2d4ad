//! Handling of received messages.

use super::Membership;
use super::updates::{Outcome, Source};
use crate::wire::{Header, Message, Update, Version};
use std::net::Ipv4Addr;

impl Membership {
    pub(super) fn handle_message(
        &mut self,
        now_ms: u64,
        from: Ipv4Addr,
        header: Header,
        updates: Vec<Update>,
    ) {
        let was_live = self.table.live_entry(from).is_some();
        self.note_sender_version(now_ms, from, header.version);
        let mut outdated = self.apply_gossip(now_ms, updates);
        if self.is_sender_outdated(from, header.version) && !outdated.contains(&from) {
            outdated.push(from);
        }
        let needs_identity = self.needs_identity(from, &header);
        match header.body {
            Message::Ping { sequence_number } => {
                self.send(from, Message::Ack { sequence_number }, &std::mem::take(&mut outdated))
            }
            Message::PingRequest { sequence_number, target } => {
                self.relay_probe(now_ms, from, sequence_number, target)
            }
            Message::Ack { sequence_number } => self.handle_ack(now_ms, from, sequence_number),
            Message::Gossip => {}
            Message::SyncRequest { after, is_isolated } => {
                let state_page = self.state_page(from, after);
                self.send(from, state_page, &std::mem::take(&mut outdated));
                if !was_live && !is_isolated && after.is_none() {
                    self.start_fetch(now_ms, from);
                }
            }
            Message::SyncPage { next, updates } => self.apply_page(now_ms, from, next, updates),
            Message::IdentityRequest => self.send(from, Message::Gossip, &[self.local_member.ip]),
            Message::Leave => return self.apply_leave(now_ms, from, header.version),
        }
        if needs_identity {
            self.send(from, Message::IdentityRequest, &[]);
        }
        if !outdated.is_empty() {
            self.send(from, Message::Gossip, &outdated);
        }
        self.compare_digest(now_ms, from, header.digest);
    }

    /// Applies gossiped updates; returns the members of which the sender has an outdated state.
    fn apply_gossip(&mut self, now_ms: u64, updates: Vec<Update>) -> Vec<Ipv4Addr> {
        let mut outdated = Vec::new();
        for update in updates {
            let ip = update.ip();
            if self.apply_update(now_ms, update, Source::Gossip) == Outcome::SenderOutdated
                && !outdated.contains(&ip)
            {
                outdated.push(ip);
            }
        }
        outdated
    }

    /// Whether a sender's own version is lower than the known one: an earlier incarnation was at its address, or a refutation
    /// of it was lost.
    fn is_sender_outdated(&self, from: Ipv4Addr, version: Version) -> bool {
        self.table.get(from).is_some_and(|entry| version < entry.version)
    }

    /// Whether the sender's incarnation is unknown and must be requested.
    fn needs_identity(&self, from: Ipv4Addr, header: &Header) -> bool {
        let may_ask = !matches!(header.body, Message::Gossip | Message::IdentityRequest);
        may_ask && self.table.get(from).is_none_or(|entry| entry.version < header.version)
    }
}
