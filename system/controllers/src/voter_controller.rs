//! Failure detection and removal of the register's voters.

use crate::replacement::Replacement;
use crate::times::{
    BOOTSTRAP_SETTLE_MS, MAX_REQUEST_GAP_MS, MIN_VOTERS, REPLACED_VOTER_TIMEOUT_MS, VOTER_TIMEOUT_MS,
};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A voter that does not respond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnresponsiveVoter {
    /// Its address.
    pub ip: Ipv4Addr,
    /// For how many milliseconds it has been unresponsive.
    pub unresponsive_ms: u64,
}

/// What one control node knows of how long the others have been unresponsive.
#[derive(Clone, Debug)]
pub struct VoterController {
    me: Ipv4Addr,
    first_observed_ms: Option<u64>,
    last_request_ms: Option<u64>,
    /// When each node last responded to this incarnation.
    last_response_ms: BTreeMap<Ipv4Addr, u64>,
    /// When each voter was first observed: it has as long to respond as one that has just responded.
    known_since_ms: BTreeMap<Ipv4Addr, u64>,
    replacement: Replacement<Ipv4Addr>,
}

impl VoterController {
    /// The controller of the control node `me`, which has just started.
    pub fn new(me: Ipv4Addr) -> Self {
        Self {
            me,
            first_observed_ms: None,
            last_request_ms: None,
            last_response_ms: BTreeMap::new(),
            known_since_ms: BTreeMap::new(),
            replacement: Replacement::default(),
        }
    }

    /// Records that a request is about to be sent to a node, this node's own acceptor included.
    ///
    /// If the request before was more than [`MAX_REQUEST_GAP_MS`] ago, this node was suspended, and the time in between is
    /// not counted as the others' silence.
    pub fn before_request(&mut self, now_ms: u64) {
        let gap = self.last_request_ms.map_or(0, |last| now_ms.saturating_sub(last));
        if gap > MAX_REQUEST_GAP_MS {
            self.last_response_ms
                .values_mut()
                .chain(self.known_since_ms.values_mut())
                .for_each(|at| *at = now_ms.min(*at + gap));
        }
        self.last_request_ms = Some(now_ms);
    }

    /// Records a response of a node.
    pub fn record_response(&mut self, now_ms: u64, ip: Ipv4Addr) {
        self.last_response_ms.insert(ip, now_ms);
    }

    /// Records the current voters; an empty list, from before the first value is known, is ignored.
    pub fn observe(&mut self, now_ms: u64, voters: &[Ipv4Addr]) {
        if voters.is_empty() {
            return;
        }
        let first_observed = *self.first_observed_ms.get_or_insert(now_ms);
        self.known_since_ms.retain(|ip, _| voters.contains(ip));
        for ip in voters {
            self.known_since_ms.entry(*ip).or_insert(now_ms);
        }
        let settled = now_ms.saturating_sub(first_observed) >= BOOTSTRAP_SETTLE_MS;
        self.replacement.observe(now_ms, voters.iter().copied().collect(), settled, |_| false);
    }

    /// Whether the node has responded within the last `timeout_ms` milliseconds.
    pub fn responded_within(&self, ip: Ipv4Addr, now_ms: u64, timeout_ms: u64) -> bool {
        ip == self.me
            || self.last_response_ms.get(&ip).is_some_and(|at| now_ms.saturating_sub(*at) < timeout_ms)
    }

    /// Like [`responded_within`](Self::responded_within), but a node that has not had `timeout_ms` to respond counts as alive.
    pub fn is_presumed_alive(&self, ip: Ipv4Addr, now_ms: u64, timeout_ms: u64) -> bool {
        ip == self.me || self.unresponsive_ms(ip, now_ms) < timeout_ms
    }

    fn unresponsive_ms(&self, ip: Ipv4Addr, now_ms: u64) -> u64 {
        let last_seen = self.last_response_ms.get(&ip).max(self.known_since_ms.get(&ip));
        last_seen.map_or(0, |at| now_ms.saturating_sub(*at))
    }

    /// The voter that has been unresponsive longest, if it is to be removed.
    pub fn voter_to_remove(&self, now_ms: u64, voters: &[Ipv4Addr]) -> Option<UnresponsiveVoter> {
        if voters.len() <= MIN_VOTERS {
            return None;
        }
        let has_replacement = self.replacement.surplus(now_ms) > 0;
        let timeout = if has_replacement { REPLACED_VOTER_TIMEOUT_MS } else { VOTER_TIMEOUT_MS };
        let unresponsive = voters
            .iter()
            .filter(|ip| **ip != self.me)
            .map(|ip| UnresponsiveVoter { ip: *ip, unresponsive_ms: self.unresponsive_ms(*ip, now_ms) });
        unresponsive.filter(|voter| voter.unresponsive_ms > timeout).max_by_key(|voter| voter.unresponsive_ms)
    }

    /// The voters without `removed`; `None` if it is not one of them, or if at most [`MIN_VOTERS`] are left already.
    pub fn without_voter(voters: &[Ipv4Addr], removed: Ipv4Addr) -> Option<Vec<Ipv4Addr>> {
        (voters.len() > MIN_VOTERS && voters.contains(&removed))
            .then(|| voters.iter().copied().filter(|ip| *ip != removed).collect())
    }
}
