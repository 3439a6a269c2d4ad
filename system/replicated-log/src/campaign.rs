//! Phase 1 of Paxos: a candidate collects promises from a majority and learns which entry it has to propose.

use crate::VoteCount;
use fleet_model::{AcceptedEntry, Ballot, LogEntry, LogMember, LogReply, ReplicaId};
use std::net::Ipv4Addr;

/// What a candidate does after a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CampaignStep {
    /// Wait for more replies.
    Wait,
    /// A majority has promised: the candidate is leader and must propose this entry first. `None` if no entry can have been
    /// chosen for the next slot.
    Won(Option<LogEntry>),
    /// A member has applied more slots: fetch its state, then start another campaign.
    Behind {
        /// The member that has applied the most slots.
        from: Ipv4Addr,
    },
    /// A member has promised this higher ballot, so the campaign has failed.
    Lost(Ballot),
}

/// A campaign for one ballot among the members of one slot.
#[derive(Clone, Debug)]
pub struct Campaign {
    applied: u64,
    votes: VoteCount,
    /// The entry with the highest ballot that was reported for the next slot.
    highest_pending: Option<AcceptedEntry>,
    /// The last applied slot and the address of the member that is furthest ahead of this node.
    most_advanced: Option<(u64, Ipv4Addr)>,
}

impl Campaign {
    /// A campaign of a node that has applied the slots up to `applied`, among the members that decide on the next slot.
    pub fn new(applied: u64, members: &[LogMember]) -> Self {
        Self { applied, votes: VoteCount::new(members), highest_pending: None, most_advanced: None }
    }

    /// Handles a replica's reply to [`fleet_model::LogRequest::Prepare`].
    pub fn on_reply(&mut self, from: Ipv4Addr, replica: ReplicaId, reply: &LogReply) -> CampaignStep {
        match reply {
            LogReply::Promised { applied, pending } => {
                self.record_promise(from, *applied, pending.as_ref());
                self.votes.record(replica);
                self.step()
            }
            LogReply::Rejected(ballot) => CampaignStep::Lost(*ballot),
            _ => CampaignStep::Wait,
        }
    }

    fn record_promise(&mut self, from: Ipv4Addr, applied: u64, pending: Option<&AcceptedEntry>) {
        if applied > self.most_advanced.map_or(self.applied, |(slot, _)| slot) {
            self.most_advanced = Some((applied, from));
        }
        let next = pending.filter(|pending| pending.entry.slot == self.applied + 1);
        if let Some(next) = next
            && self.highest_pending.as_ref().is_none_or(|highest| highest.ballot < next.ballot)
        {
            self.highest_pending = Some(next.clone());
        }
    }

    fn step(&self) -> CampaignStep {
        match (self.votes.is_quorum(), self.most_advanced) {
            (false, _) => CampaignStep::Wait,
            (true, Some((_, from))) => CampaignStep::Behind { from },
            (true, None) => {
                CampaignStep::Won(self.highest_pending.clone().map(|highest| highest.entry.entry))
            }
        }
    }
}
