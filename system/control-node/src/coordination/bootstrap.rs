//! The log's initial members. They are agreed on once through the configuration register, which stores them as leases whose names
//! start with [`COORDINATION_FOUNDER_PREFIX`]. Stored as leases, they are preserved also by program versions without the
//! coordination service.

use super::election::LOCATE_TIMEOUT;
use crate::proposer::ProposedChange;
use crate::{ControlBackend, ControlNode};
use fleet_model::{
    COORDINATION_FOUNDER_PREFIX, ControlState, CoordinationAnswer, CoordinationCall, Lease, LogMember,
    ReplicaId,
};
use futures_util::future::join_all;
use node_runtime::Runtime;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Deadline for committing the initial members.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(600);

/// The log's initial members; empty if they are not chosen yet.
pub(super) fn initial_members(state: &ControlState) -> Vec<LogMember> {
    let leases = state.leases.iter().filter(|(name, _)| name.starts_with(COORDINATION_FOUNDER_PREFIX));
    leases
        .filter_map(|(_, lease)| Some(LogMember { ip: lease.holder?, replica: ReplicaId(lease.token) }))
        .collect()
}

/// The state with these initial members; `None` if it has initial members already.
fn with_initial_members(state: &ControlState, members: &[LogMember]) -> Option<ControlState> {
    if !initial_members(state).is_empty() {
        return None;
    }
    let mut state = state.clone();
    state.leases.extend(members.iter().map(|member| {
        let lease = Lease { token: member.replica.0, holder: Some(member.ip) };
        (format!("{COORDINATION_FOUNDER_PREFIX}{}", member.ip), lease)
    }));
    Some(state)
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Commits the voters that respond as the initial members, if they are a majority of the voters.
    pub(super) async fn bootstrap_log(self: &Rc<Self>) {
        if !self.confirm_now(BOOTSTRAP_TIMEOUT).await || !initial_members(&self.feed.state()).is_empty() {
            return;
        }
        let voters = self.feed.value().voters.clone();
        let members = join_all(voters.iter().map(|ip| self.locate_member(*ip))).await;
        let members: Vec<LogMember> = members.into_iter().flatten().collect();
        if members.len() <= voters.len() / 2 {
            return;
        }
        let make_change = |state: &ControlState| {
            with_initial_members(state, &members)
                .map_or(ProposedChange::Keep, |state| ProposedChange::State(Box::new(state)))
        };
        self.change(BOOTSTRAP_TIMEOUT, make_change).await;
    }

    async fn locate_member(self: &Rc<Self>, ip: Ipv4Addr) -> Option<LogMember> {
        let call = CoordinationCall::Locate { needs_leader: false };
        let answer = match ip == self.me {
            true => self.answer_coordination(ip, call).await,
            false => self.call_coordination(ip, call, LOCATE_TIMEOUT).await,
        };
        match answer? {
            CoordinationAnswer::Located { replica, .. } => Some(LogMember { ip, replica }),
            _ => None,
        }
    }
}
