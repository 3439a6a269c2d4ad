//! Queue of members whose state is still to be gossiped, with the number of times that it was sent.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// Addresses of members with recent updates, ordered by how often these were sent. What is sent is always the newest
/// state.
#[derive(Default)]
pub(crate) struct GossipQueue {
    sent: BTreeMap<Ipv4Addr, u32>,
    order: BTreeSet<(u32, Ipv4Addr)>,
}

impl GossipQueue {
    /// Queues the member's state and resets its send count.
    pub(crate) fn insert(&mut self, ip: Ipv4Addr) {
        if let Some(sent) = self.sent.insert(ip, 0) {
            self.order.remove(&(sent, ip));
        }
        self.order.insert((0, ip));
    }

    /// Queued addresses, least sent first (as in SWIM, section 4.1).
    pub(crate) fn in_order(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.order.iter().map(|(_, ip)| *ip)
    }

    /// Counts one send; with the `limit`th one the member leaves the queue.
    pub(crate) fn record_sent(&mut self, ip: Ipv4Addr, limit: u32) {
        let Some(sent) = self.sent.get(&ip).copied() else { return };
        self.order.remove(&(sent, ip));
        if sent + 1 >= limit {
            self.sent.remove(&ip);
        } else {
            self.sent.insert(ip, sent + 1);
            self.order.insert((sent + 1, ip));
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }
}
