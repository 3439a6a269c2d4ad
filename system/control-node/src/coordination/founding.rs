//! The first members of the log. They are agreed once through the configuration register, which keeps them as leases, under names
//! that begin with [`COORDINATION_FOUNDER_PREFIX`]. So programs that do not know the service keep them too.

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

/// How long to try to have the first members chosen.
const FOUNDING_TIMEOUT: Duration = Duration::from_millis(600);

/// The first members of the log, if they are chosen.
pub(super) fn founders(state: &ControlState) -> Vec<LogMember> {
    let leases = state.leases.iter().filter(|(name, _)| name.starts_with(COORDINATION_FOUNDER_PREFIX));
    leases
        .filter_map(|(_, lease)| Some(LogMember { ip: lease.holder?, replica: ReplicaId(lease.token) }))
        .collect()
}

/// The state with these first members; `None` if there are others already.
fn with_founders(state: &ControlState, members: &[LogMember]) -> Option<ControlState> {
    if !founders(state).is_empty() {
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
    /// Has the voters that answer chosen as the first members, if they are a majority of the voters.
    pub(super) async fn found_log(self: &Rc<Self>) {
        if !self.confirm_now(FOUNDING_TIMEOUT).await || !founders(&self.feed.state()).is_empty() {
            return;
        }
        let voters = self.feed.value().voters.clone();
        let members = join_all(voters.iter().map(|ip| self.locate_member(*ip))).await;
        let members: Vec<LogMember> = members.into_iter().flatten().collect();
        if members.len() <= voters.len() / 2 {
            return;
        }
        let make_change = |state: &ControlState| {
            with_founders(state, &members)
                .map_or(ProposedChange::Keep, |state| ProposedChange::State(Box::new(state)))
        };
        self.change(FOUNDING_TIMEOUT, make_change).await;
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
