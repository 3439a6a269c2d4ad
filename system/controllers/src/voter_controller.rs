//! Failure detection and removal of the register's voters.

use crate::replacement::ReplacementTracker;
use crate::times::{
    BOOTSTRAP_SETTLE_MS, MAX_REQUEST_GAP_MS, MIN_VOTERS, REPLACED_VOTER_TIMEOUT_MS, VOTER_TIMEOUT_MS,
};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A voter to remove because it does not respond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnresponsiveVoter {
    /// Address of the voter.
    pub ip: Ipv4Addr,
    /// Time in milliseconds since its last response or, without one, since it was first observed.
    pub unresponsive_ms: u64,
}

/// One control node's view of how long the other control nodes have been unresponsive.
#[derive(Clone, Debug)]
pub struct VoterController {
    own_ip: Ipv4Addr,
    first_observed_ms: Option<u64>,
    last_request_ms: Option<u64>,
    /// When each node last responded to this incarnation.
    last_response_ms: BTreeMap<Ipv4Addr, u64>,
    /// When each voter was first observed. Its timeouts run from then, as if it had responded at that time.
    first_seen_ms: BTreeMap<Ipv4Addr, u64>,
    replacements: ReplacementTracker<Ipv4Addr>,
}

impl VoterController {
    /// The controller of the control node with the address `own_ip`, which has just started.
    pub fn new(own_ip: Ipv4Addr) -> Self {
        Self {
            own_ip,
            first_observed_ms: None,
            last_request_ms: None,
            last_response_ms: BTreeMap::new(),
            first_seen_ms: BTreeMap::new(),
            replacements: ReplacementTracker::default(),
        }
    }

    /// Records that a request is about to be sent to a node, this node's own acceptor included.
    ///
    /// If the previous request was more than [`MAX_REQUEST_GAP_MS`] ago, this node is assumed to have been suspended, and the
    /// time in between does not count towards the time for which other nodes have been unresponsive.
    pub fn before_request(&mut self, now_ms: u64) {
        let gap = self.last_request_ms.map_or(0, |last| now_ms.saturating_sub(last));
        if gap > MAX_REQUEST_GAP_MS {
            self.last_response_ms
                .values_mut()
                .chain(self.first_seen_ms.values_mut())
                .for_each(|seen_ms| *seen_ms = now_ms.min(*seen_ms + gap));
        }
        self.last_request_ms = Some(now_ms);
    }

    /// Records that the control node `ip` responded to a request.
    pub fn record_response(&mut self, now_ms: u64, ip: Ipv4Addr) {
        self.last_response_ms.insert(ip, now_ms);
    }

    /// Records the current voters. An empty list is ignored: no value of the register is known yet.
    pub fn observe(&mut self, now_ms: u64, voters: &[Ipv4Addr]) {
        if voters.is_empty() {
            return;
        }
        let first_observed = *self.first_observed_ms.get_or_insert(now_ms);
        self.first_seen_ms.retain(|ip, _| voters.contains(ip));
        for ip in voters {
            self.first_seen_ms.entry(*ip).or_insert(now_ms);
        }
        let settled = now_ms.saturating_sub(first_observed) >= BOOTSTRAP_SETTLE_MS;
        self.replacements.observe(now_ms, voters.iter().copied().collect(), settled, |_| false);
    }

    /// Whether the node has responded within the last `timeout_ms` milliseconds; always true for this node.
    pub fn responded_within(&self, ip: Ipv4Addr, now_ms: u64, timeout_ms: u64) -> bool {
        ip == self.own_ip
            || self
                .last_response_ms
                .get(&ip)
                .is_some_and(|response_ms| now_ms.saturating_sub(*response_ms) < timeout_ms)
    }

    /// Like [`responded_within`](Self::responded_within), but a voter first observed within `timeout_ms` counts as alive, and
    /// so does a node that was never observed.
    pub fn is_presumed_alive(&self, ip: Ipv4Addr, now_ms: u64, timeout_ms: u64) -> bool {
        ip == self.own_ip || self.unresponsive_ms(ip, now_ms) < timeout_ms
    }

    fn unresponsive_ms(&self, ip: Ipv4Addr, now_ms: u64) -> u64 {
        let last_seen = self.last_response_ms.get(&ip).max(self.first_seen_ms.get(&ip));
        last_seen.map_or(0, |seen_ms| now_ms.saturating_sub(*seen_ms))
    }

    /// The voter that has been unresponsive longest, if it should be removed now.
    pub fn voter_to_remove(&self, now_ms: u64, voters: &[Ipv4Addr]) -> Option<UnresponsiveVoter> {
        if voters.len() <= MIN_VOTERS {
            return None;
        }
        let has_replacement = self.replacements.unpaired_joins(now_ms) > 0;
        let timeout = if has_replacement { REPLACED_VOTER_TIMEOUT_MS } else { VOTER_TIMEOUT_MS };
        let unresponsive = voters
            .iter()
            .filter(|ip| **ip != self.own_ip)
            .map(|ip| UnresponsiveVoter { ip: *ip, unresponsive_ms: self.unresponsive_ms(*ip, now_ms) });
        unresponsive.filter(|voter| voter.unresponsive_ms > timeout).max_by_key(|voter| voter.unresponsive_ms)
    }

    /// The voters without `removed`; `None` if it is not a voter or there are at most [`MIN_VOTERS`] voters.
    pub fn without_voter(voters: &[Ipv4Addr], removed: Ipv4Addr) -> Option<Vec<Ipv4Addr>> {
        (voters.len() > MIN_VOTERS && voters.contains(&removed))
            .then(|| voters.iter().copied().filter(|ip| *ip != removed).collect())
    }
}
