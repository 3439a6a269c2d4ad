//! Members whose state is still to be disseminated, and how often it was sent.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// Addresses whose state changed lately. What is sent is always the newest state.
#[derive(Default)]
pub(crate) struct GossipQueue {
    sent: BTreeMap<Ipv4Addr, u32>,
    order: BTreeSet<(u32, Ipv4Addr)>,
}

impl GossipQueue {
    /// Disseminates the state of `ip` from the start.
    pub fn insert(&mut self, ip: Ipv4Addr) {
        if let Some(sent) = self.sent.insert(ip, 0) {
            self.order.remove(&(sent, ip));
        }
        self.order.insert((0, ip));
    }

    /// Those to send, least sent first.
    pub fn in_order(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.order.iter().map(|(_, ip)| *ip)
    }

    /// One more was sent; with the `limit`th it ends.
    pub fn record_sent(&mut self, ip: Ipv4Addr, limit: u32) {
        let Some(sent) = self.sent.get(&ip).copied() else { return };
        self.order.remove(&(sent, ip));
        if sent + 1 >= limit {
            self.sent.remove(&ip);
        } else {
            self.sent.insert(ip, sent + 1);
            self.order.insert((sent + 1, ip));
        }
    }

    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }
}
