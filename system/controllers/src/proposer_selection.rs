//! Selection of the control node that proposes operators' orders.
//!
//! Any node may propose, and ballots alone keep the register safe, but competing proposers preempt each other and need more
//! rounds. All nodes therefore forward orders to one *distinguished proposer* (*Paxos Made Simple*, section 2.4): the lease
//! holder of the singleton role. While the holder does not respond, each node chooses the responsive voter of the highest
//! rank, which is the voter that acquires the lease. If nodes choose different proposers, that only costs time.

use crate::times::{FAILED_PROPOSER_PAUSE_MS, PROPOSER_TIMEOUT_MS};
use crate::voter_controller::VoterController;
use fleet_model::{Lease, rendezvous_rank};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Selects the node to which orders are forwarded, and excludes nodes that recently failed to answer one.
#[derive(Clone, Debug, Default)]
pub struct ProposerSelection {
    /// By node, the time in milliseconds until which no orders are forwarded to it.
    passed_over_until_ms: BTreeMap<Ipv4Addr, u64>,
}

impl ProposerSelection {
    /// Records that a node has not answered a forwarded order in time: it is not selected for [`FAILED_PROPOSER_PAUSE_MS`].
    pub fn record_failure(&mut self, now_ms: u64, node: Ipv4Addr) {
        self.passed_over_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        self.passed_over_until_ms.insert(node, now_ms + FAILED_PROPOSER_PAUSE_MS);
    }

    /// The node to which the node `own_ip` forwards an order; `own_ip` itself if it should propose the order.
    pub fn select(
        &self,
        now_ms: u64,
        own_ip: Ipv4Addr,
        lease: Option<&Lease>,
        voters: &[Ipv4Addr],
        voter_controller: &VoterController,
    ) -> Ipv4Addr {
        let is_excluded =
            |ip: &Ipv4Addr| self.passed_over_until_ms.get(ip).is_some_and(|until_ms| *until_ms > now_ms);
        let is_responsive = |ip: &&Ipv4Addr| {
            voter_controller.responded_within(**ip, now_ms, PROPOSER_TIMEOUT_MS) && !is_excluded(ip)
        };
        let holder = lease.and_then(|lease| lease.holder);
        let token = lease.map_or(0, |lease| lease.token);
        let rank = |ip: &&Ipv4Addr| (Some(**ip) == holder, rendezvous_rank(&ip.octets(), token), **ip);
        voters.iter().filter(is_responsive).max_by_key(rank).copied().unwrap_or(own_ip)
    }
}
