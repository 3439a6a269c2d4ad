//! Acquisition of the lease of a singleton role.

use crate::times::{LEASE_HOLDER_TIMEOUT_MS, LEASE_RANK_DELAY_MS};
use crate::voter_controller::VoterController;
use fleet_model::{ControlState, Lease, rendezvous_rank};
use std::net::Ipv4Addr;

/// Whether `node` holds the lease of `role` under the fencing token `token` in this state.
///
/// The holder has to check this in each change that it proposes, since it may have lost the lease meanwhile.
pub fn holds_lease(state: &ControlState, role: &str, node: Ipv4Addr, token: u64) -> bool {
    state.leases.get(role).is_some_and(|lease| lease.token == token && lease.holder == Some(node))
}

/// A lease without a responsive holder.
#[derive(Clone, Copy, Debug)]
struct Vacancy {
    token: u64,
    /// When this node first observed the vacancy.
    since_ms: u64,
}

/// The candidacy of one incarnation of a control node for the lease of a singleton role.
///
/// A lease that an earlier incarnation acquired does not count as held, because this incarnation does not know what was
/// published under that token. It acquires the lease again under the next token.
#[derive(Clone, Debug)]
pub struct LeaseCandidate {
    role: &'static str,
    own_ip: Ipv4Addr,
    acquired_token: Option<u64>,
    vacancy: Option<Vacancy>,
}

impl LeaseCandidate {
    /// The candidacy for `role` of the control node with the address `own_ip`, which has just started.
    pub fn new(role: &'static str, own_ip: Ipv4Addr) -> Self {
        Self { role, own_ip, acquired_token: None, vacancy: None }
    }

    /// The fencing token under which this incarnation holds the lease; `None` if it does not hold it.
    pub fn held_token(&self, state: &ControlState) -> Option<u64> {
        self.acquired_token.filter(|token| holds_lease(state, self.role, self.own_ip, *token))
    }

    /// The current lease, if this node should now acquire it, to be passed to [`acquire`](Self::acquire).
    ///
    /// Only a voter acquires the lease: if it is vacant and each live voter of a higher rank has had [`LEASE_RANK_DELAY_MS`]
    /// to acquire it, or if an earlier incarnation of this node holds it.
    pub fn lease_to_acquire(
        &mut self,
        now_ms: u64,
        state: &ControlState,
        voters: &[Ipv4Addr],
        voter_controller: &VoterController,
    ) -> Option<Lease> {
        let lease = state.leases.get(self.role).cloned().unwrap_or_default();
        if self.held_token(state).is_some() || !voters.contains(&self.own_ip) {
            self.vacancy = None;
            return None;
        }
        if lease.holder == Some(self.own_ip) {
            return Some(lease);
        }
        let is_live = |holder| {
            voters.contains(&holder)
                && voter_controller.is_presumed_alive(holder, now_ms, LEASE_HOLDER_TIMEOUT_MS)
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
        let is_live_rival = |ip: &&Ipv4Addr| {
            **ip != self.own_ip && voter_controller.responded_within(**ip, now_ms, LEASE_HOLDER_TIMEOUT_MS)
        };
        let higher_ranked =
            voters.iter().filter(is_live_rival).filter(|ip| rank(ip) > rank(&self.own_ip)).count() as u64;
        (now_ms.saturating_sub(since_ms) >= higher_ranked * LEASE_RANK_DELAY_MS).then_some(lease)
    }

    /// The state in which this node holds the lease under the token after that of `from`; `None` if the lease no longer has
    /// the token of `from`.
    pub fn acquire(&self, state: &ControlState, from: &Lease) -> Option<ControlState> {
        let mut state = state.clone();
        let lease = state.leases.entry(self.role.to_owned()).or_default();
        if lease.token != from.token {
            return None;
        }
        *lease = Lease { token: from.token + 1, holder: Some(self.own_ip) };
        Some(state)
    }

    /// Evaluates the committed `state` after an attempt to replace the lease `from`. Returns the fencing token if this
    /// incarnation holds the lease.
    pub fn on_committed(&mut self, state: &ControlState, from: &Lease) -> Option<u64> {
        if holds_lease(state, self.role, self.own_ip, from.token + 1) {
            self.acquired_token = Some(from.token + 1);
            self.vacancy = None;
        }
        self.held_token(state)
    }
}
