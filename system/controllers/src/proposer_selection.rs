//! Which control node proposes the orders of operators.
//!
//! Any node may propose, and ballots alone keep the register safe, but proposers that compete cost each other rounds. So all
//! nodes forward orders to one *distinguished proposer* (*Paxos Made Simple*, section 2.4): the holder of the lease of the
//! singleton role. While it does not respond, each node chooses the responsive voter of the highest rank, which is the one
//! that acquires the lease. Nodes that choose differently lose time and nothing else.

use crate::times::{FAILED_PROPOSER_PAUSE_MS, PROPOSER_TIMEOUT_MS};
use crate::voter_controller::VoterController;
use fleet_model::{Lease, rendezvous_rank};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// The nodes that have failed to answer a forwarded order recently.
#[derive(Clone, Debug, Default)]
pub struct ProposerSelection {
    /// By node, the time until which it is passed over, in milliseconds.
    passed_over_until_ms: BTreeMap<Ipv4Addr, u64>,
}

impl ProposerSelection {
    /// Records that a node has not answered a forwarded order in time.
    pub fn record_failure(&mut self, now_ms: u64, node: Ipv4Addr) {
        self.passed_over_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        self.passed_over_until_ms.insert(node, now_ms + FAILED_PROPOSER_PAUSE_MS);
    }

    /// The node to which `me` forwards an order; `me` itself if it is to propose.
    pub fn select(
        &self,
        now_ms: u64,
        me: Ipv4Addr,
        lease: Option<&Lease>,
        voters: &[Ipv4Addr],
        core: &VoterController,
    ) -> Ipv4Addr {
        let is_passed_over =
            |ip: &Ipv4Addr| self.passed_over_until_ms.get(ip).is_some_and(|until_ms| *until_ms > now_ms);
        let is_responsive =
            |ip: &&Ipv4Addr| core.responded_within(**ip, now_ms, PROPOSER_TIMEOUT_MS) && !is_passed_over(ip);
        let holder = lease.and_then(|lease| lease.holder);
        let token = lease.map_or(0, |lease| lease.token);
        let rank = |ip: &&Ipv4Addr| (Some(**ip) == holder, rendezvous_rank(&ip.octets(), token), **ip);
        voters.iter().filter(is_responsive).max_by_key(rank).copied().unwrap_or(me)
    }
}
