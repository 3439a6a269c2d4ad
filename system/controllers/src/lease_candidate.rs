//! Acquisition of the lease of a singleton role.

use crate::times::{LEASE_HOLDER_TIMEOUT_MS, LEASE_RANK_DELAY_MS};
use crate::voter_controller::VoterController;
use fleet_model::{ControlState, Lease, rendezvous_rank};
use std::net::Ipv4Addr;

/// Whether `node` holds the lease of `role` under the fencing token `token` in this state.
///
/// The holder has to check this in each change that it makes to the state, since it may have lost the lease meanwhile.
pub fn holds_lease(state: &ControlState, role: &str, node: Ipv4Addr, token: u64) -> bool {
    state.leases.get(role).is_some_and(|lease| lease.token == token && lease.holder == Some(node))
}

/// A vacant lease: its holder does not respond.
#[derive(Clone, Copy, Debug)]
struct Vacancy {
    token: u64,
    /// When this node first noticed it.
    since_ms: u64,
}

/// The candidacy of one control node, in one incarnation, for the lease of one singleton role.
///
/// A lease that an earlier incarnation acquired is not its own: what was published under that token is forgotten, so the
/// node acquires the lease again under the next token.
#[derive(Clone, Debug)]
pub struct LeaseCandidate {
    role: &'static str,
    me: Ipv4Addr,
    acquired_token: Option<u64>,
    vacancy: Option<Vacancy>,
}

impl LeaseCandidate {
    /// The candidacy of the control node `me`, which has just started, for `role`.
    pub fn new(role: &'static str, me: Ipv4Addr) -> Self {
        Self { role, me, acquired_token: None, vacancy: None }
    }

    /// The fencing token under which this incarnation holds the lease, if it does.
    pub fn held_token(&self, state: &ControlState) -> Option<u64> {
        self.acquired_token.filter(|token| holds_lease(state, self.role, self.me, *token))
    }

    /// The current lease, if this node should replace it by one of its own now.
    ///
    /// That is so if the lease is vacant and the live voters of a higher rank have had [`LEASE_RANK_DELAY_MS`] each to
    /// acquire it, or if it belongs to an earlier incarnation of this node.
    pub fn lease_to_acquire(
        &mut self,
        now_ms: u64,
        state: &ControlState,
        voters: &[Ipv4Addr],
        core: &VoterController,
    ) -> Option<Lease> {
        let lease = state.leases.get(self.role).cloned().unwrap_or_default();
        if self.held_token(state).is_some() || !voters.contains(&self.me) {
            self.vacancy = None;
            return None;
        }
        if lease.holder == Some(self.me) {
            return Some(lease);
        }
        let is_live = |holder| {
            voters.contains(&holder) && core.is_presumed_alive(holder, now_ms, LEASE_HOLDER_TIMEOUT_MS)
        };
        if lease.holder.is_some_and(is_live) {
            self.vacancy = None;
            return None;
        }
        let since_ms = match self.vacancy {
            Some(vacancy) if vacancy.token == lease.token => vacancy.since_ms,
            _ => now_ms,
        };
        self.vacancy = Some(Vacancy { token: lease.token, since_ms });
        let rank = |ip: &Ipv4Addr| (rendezvous_rank(&ip.octets(), lease.token), *ip);
        let is_live_rival =
            |ip: &&Ipv4Addr| **ip != self.me && core.responded_within(**ip, now_ms, LEASE_HOLDER_TIMEOUT_MS);
        let higher_ranked =
            voters.iter().filter(is_live_rival).filter(|ip| rank(ip) > rank(&self.me)).count() as u64;
        (now_ms.saturating_sub(since_ms) >= higher_ranked * LEASE_RANK_DELAY_MS).then_some(lease)
    }

    /// The state in which this node holds the lease under the token after `from`'s; `None` if the lease has changed since.
    pub fn acquire(&self, state: &ControlState, from: &Lease) -> Option<ControlState> {
        let mut state = state.clone();
        let lease = state.leases.entry(self.role.to_owned()).or_default();
        if lease.token != from.token {
            return None;
        }
        *lease = Lease { token: from.token + 1, holder: Some(self.me) };
        Some(state)
    }

    /// Evaluates the committed `state` after an attempt to replace the lease `from`. Returns the fencing token, if this
    /// incarnation holds the lease.
    pub fn change_committed(&mut self, state: &ControlState, from: &Lease) -> Option<u64> {
        if holds_lease(state, self.role, self.me, from.token + 1) {
            self.acquired_token = Some(from.token + 1);
            self.vacancy = None;
        }
        self.held_token(state)
    }
}
