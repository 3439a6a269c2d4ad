//! Phase 1: a candidate gathers the promises of a majority and learns what it has to propose.

use crate::VoteCount;
use fleet_model::{AcceptedEntry, Ballot, LogEntry, LogMember, LogReply, ReplicaId};
use std::net::Ipv4Addr;

/// What a candidate does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CampaignStep {
    /// Wait for more replies.
    Wait,
    /// A majority has promised: the node leads, and proposes this entry first. `None`: no entry may have been chosen for the
    /// next slot.
    Won(Option<LogEntry>),
    /// A member has applied more slots: fetch its state, then campaign anew.
    Behind {
        /// The member's address.
        from: Ipv4Addr,
    },
    /// A member has promised this higher ballot.
    Lost(Ballot),
}

/// A campaign for one ballot among the members of one slot.
#[derive(Clone, Debug)]
pub struct Campaign {
    applied: u64,
    votes: VoteCount,
    newest: Option<AcceptedEntry>,
    ahead: Option<(u64, Ipv4Addr)>,
}

impl Campaign {
    /// A campaign of a node that has applied the slots up to `applied`, among the members of the next one.
    pub fn new(applied: u64, members: &[LogMember]) -> Self {
        Self { applied, votes: VoteCount::new(members), newest: None, ahead: None }
    }

    /// Handles the reply of a replica to `Prepare`.
    pub fn on_reply(&mut self, from: Ipv4Addr, replica: ReplicaId, reply: &LogReply) -> CampaignStep {
        match reply {
            LogReply::Promised { applied, pending } => {
                self.note_promise(from, *applied, pending.as_ref());
                self.votes.record(replica);
                self.step()
            }
            LogReply::Rejected(ballot) => CampaignStep::Lost(*ballot),
            _ => CampaignStep::Wait,
        }
    }

    fn note_promise(&mut self, from: Ipv4Addr, applied: u64, pending: Option<&AcceptedEntry>) {
        if applied > self.ahead.map_or(self.applied, |(slot, _)| slot) {
            self.ahead = Some((applied, from));
        }
        let next = pending.filter(|pending| pending.entry.slot == self.applied + 1);
        if let Some(next) = next
            && self.newest.as_ref().is_none_or(|newest| newest.ballot < next.ballot)
        {
            self.newest = Some(next.clone());
        }
    }

    fn step(&self) -> CampaignStep {
        match (self.votes.is_quorum(), self.ahead) {
            (false, _) => CampaignStep::Wait,
            (true, Some((_, from))) => CampaignStep::Behind { from },
            (true, None) => CampaignStep::Won(self.newest.clone().map(|newest| newest.entry.entry)),
        }
    }
}
