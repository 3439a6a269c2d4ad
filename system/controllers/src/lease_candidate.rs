use crate::times::{LEASE_HOLDER_TIMEOUT_MS, LEASE_RANK_DELAY_MS};
use crate::voter_controller::VoterController;
use fleet_model::{ControlState, Lease, rendezvous_rank};
use std::net::Ipv4Addr;

/// Whether `holder` has `duty` under fence `number` in this state: what a holder does to the state is done only then.
pub fn holds_lease(state: &ControlState, duty: &str, holder: Ipv4Addr, number: u64) -> bool {
    state.leases.get(duty).is_some_and(|fence| fence.token == number && fence.holder == Some(holder))
}

/// One keeper's claim to one duty, in this life of it. A fence that a former life took is not its own: what was told under
/// it is forgotten here, so it takes the next one.
#[derive(Clone, Debug)]
pub struct LeaseCandidate {
    duty: &'static str,
    me: Ipv4Addr,
    took: Option<u64>,
    /// The fence whose holder is gone, and since when this is seen.
    vacant: Option<(u64, u64)>,
}

impl LeaseCandidate {
    /// The claim of a keeper that has just started.
    pub fn new(duty: &'static str, me: Ipv4Addr) -> Self {
        Self { duty, me, took: None, vacant: None }
    }

    /// The fence under which this life holds the duty.
    pub fn held_token(&self, state: &ControlState) -> Option<u64> {
        self.took.filter(|number| holds_lease(state, self.duty, self.me, *number))
    }

    /// The fence to take the duty over from: its holder is gone, and the live voters that rank before this one have had
    /// their time.
    pub fn lease_to_acquire(
        &mut self,
        now_ms: u64,
        state: &ControlState,
        voters: &[Ipv4Addr],
        core: &VoterController,
    ) -> Option<Lease> {
        let fence = state.leases.get(self.duty).cloned().unwrap_or_default();
        if self.held_token(state).is_some() || !voters.contains(&self.me) {
            self.vacant = None;
            return None;
        }
        if fence.holder == Some(self.me) {
            return Some(fence);
        }
        if fence.holder.is_some_and(|holder| {
            voters.contains(&holder) && core.is_presumed_alive(holder, now_ms, LEASE_HOLDER_TIMEOUT_MS)
        }) {
            self.vacant = None;
            return None;
        }
        let since = match self.vacant {
            Some((number, since)) if number == fence.token => since,
            _ => now_ms,
        };
        self.vacant = Some((fence.token, since));
        let place = |ip: &Ipv4Addr| (rendezvous_rank(&ip.octets(), fence.token), *ip);
        let live =
            |ip: &&Ipv4Addr| **ip != self.me && core.responded_within(**ip, now_ms, LEASE_HOLDER_TIMEOUT_MS);
        let before = voters.iter().filter(live).filter(|ip| place(ip) > place(&self.me)).count() as u64;
        (now_ms.saturating_sub(since) >= before * LEASE_RANK_DELAY_MS).then_some(fence)
    }

    /// The state in which this keeper has the duty, if it still stands as in `from`.
    pub fn acquire(&self, state: &ControlState, from: &Lease) -> Option<ControlState> {
        let mut state = state.clone();
        let standing = state.leases.entry(self.duty.to_owned()).or_default();
        if standing.token != from.token {
            return None;
        }
        *standing = Lease { token: from.token + 1, holder: Some(self.me) };
        Some(state)
    }

    /// The change is chosen, and this is the state now; the fence, if the duty is this life's.
    pub fn change_committed(&mut self, state: &ControlState, from: &Lease) -> Option<u64> {
        if holds_lease(state, self.duty, self.me, from.token + 1) {
            self.took = Some(from.token + 1);
            self.vacant = None;
        }
        self.held_token(state)
    }
}
