//! Dissemination: changes travel on every datagram and, while there are fresh ones, in datagrams of their own.

use super::Membership;
use crate::wire::Message;
use std::net::Ipv4Addr;

impl Membership {
    /// Disseminates the state of a member that has changed.
    pub(super) fn disseminate(&mut self, now_ms: u64, ip: Ipv4Addr) {
        if self.gossip_queue.is_empty() {
            // A little later, so that what changes together travels together.
            self.next_gossip = self.next_gossip.max(now_ms + self.config.gossip_interval_ms / 10);
        }
        self.gossip_queue.insert(ip);
    }

    /// Sends fresh changes to a few random members.
    pub(super) fn gossip(&mut self, now_ms: u64) {
        self.next_gossip = now_ms + self.config.gossip_interval_ms;
        let recipients = self.choose_random(self.table.live_addresses().to_vec(), self.config.gossip_fanout);
        for ip in recipients {
            if !self.gossip_queue.is_empty() {
                self.send(ip, Message::Gossip, &[]);
            }
        }
    }
}
