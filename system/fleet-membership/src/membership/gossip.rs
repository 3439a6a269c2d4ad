//! Dissemination: updates are piggybacked on every datagram and, while there are recent ones, sent in gossip datagrams.

use super::Membership;
use crate::wire::Message;
use std::net::Ipv4Addr;

impl Membership {
    /// Queues the state of a member for gossip.
    pub(super) fn disseminate(&mut self, now_ms: u64, ip: Ipv4Addr) {
        if self.gossip_queue.is_empty() {
            // A short delay, so that updates of one moment share a datagram.
            self.next_gossip = self.next_gossip.max(now_ms + self.config.gossip_interval_ms / 10);
        }
        self.gossip_queue.insert(ip);
    }

    /// Sends recent updates to a few random members.
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
