//! The learner of Paxos (*Paxos Made Simple*, section 2.3): finds out by a quorum read whether the newest chosen value is
//! known.

use crate::quorum::majority;
use crate::{Outbox, OutgoingRequest};
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest, RegisterValue, rendezvous_rank};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// The outcome of a poll so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// Undetermined until more replies arrive.
    Pending,
    /// Nothing newer had been chosen when the poll began.
    Fresh,
    /// A newer value was chosen, or has been accepted by a majority: fetch it from one of these nodes and check it with
    /// [`Learner::confirms`].
    Behind {
        /// Nodes that have accepted it.
        from: Vec<Ipv4Addr>,
        /// Its ballot.
        ballot: Ballot,
    },
    /// A newer value was accepted, and it is unknown whether it is chosen. A proposer that proposes it unchanged decides that.
    Undecided,
    /// Too few nodes replied.
    Failed,
}

/// The state of one polled voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollReply {
    Pending,
    Failed,
    Polled(BallotReport),
}

/// What a voter replied to a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BallotReport {
    accepted: Option<Ballot>,
    chosen: Ballot,
}

/// The value that a node both has accepted and knows to be chosen, given its replies to a poll and to a later fetch.
pub fn known_chosen_value(polled: &RegisterReply, fetched: &RegisterReply) -> Option<RegisterValue> {
    let RegisterReply::Polled { accepted: Some(accepted), chosen } = polled else { return None };
    let RegisterReply::Fetched(Some(stored)) = fetched else { return None };
    (accepted == chosen && stored.ballot == *chosen).then(|| stored.value.clone())
}

/// One poll of the voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Learner {
    known_ballot: Ballot,
    replies: BTreeMap<Ipv4Addr, PollReply>,
}

impl Learner {
    /// Starts a poll of the voters of the value that was chosen under `chosen`.
    pub fn start(voters: &[Ipv4Addr], chosen: Ballot) -> Self {
        let replies =
            BTreeSet::from_iter(voters).into_iter().map(|voter| (*voter, PollReply::Pending)).collect();
        Self { known_ballot: chosen, replies }
    }

    /// The requests to send.
    pub fn outbox(&self) -> Outbox {
        let request = RegisterRequest::Poll { chosen: self.known_ballot };
        self.replies.keys().map(|voter| OutgoingRequest { to: *voter, request: request.clone() }).collect()
    }

    /// Handles a reply to the poll.
    pub fn on_polled(&mut self, from: Ipv4Addr, accepted: Option<Ballot>, chosen: Ballot) -> PollOutcome {
        if let Some(reply) = self.replies.get_mut(&from) {
            *reply = PollReply::Polled(BallotReport { accepted, chosen });
        }
        self.outcome()
    }

    /// Notes that a voter did not reply or is recovering.
    pub fn on_failure(&mut self, from: Ipv4Addr) -> PollOutcome {
        if let Some(reply @ PollReply::Pending) = self.replies.get_mut(&from) {
            *reply = PollReply::Failed;
        }
        self.outcome()
    }

    /// Whether the replies of this poll prove that a fetched value is chosen. `known` is the value chosen under the ballot
    /// that the poll began with. If they do not, a proposer that proposes the fetched value unchanged decides it.
    pub fn confirms(&self, known: &RegisterValue, fetched: &AcceptedValue) -> bool {
        let is_reported_chosen = self.reports().any(|report| report.chosen == fetched.ballot);
        // With other voters, a majority of the known voters is not sufficient.
        let has_known_voters = known.epoch == fetched.value.epoch;
        is_reported_chosen || (has_known_voters && self.accepted_by(fetched.ballot).len() >= self.majority())
    }

    fn majority(&self) -> usize {
        majority(self.replies.len())
    }

    fn reports(&self) -> impl Iterator<Item = BallotReport> + '_ {
        self.replies.values().filter_map(|reply| match reply {
            PollReply::Polled(report) => Some(*report),
            PollReply::Pending | PollReply::Failed => None,
        })
    }

    fn accepted_by(&self, ballot: Ballot) -> Vec<Ipv4Addr> {
        let has_accepted =
            |reply: &PollReply| matches!(reply, PollReply::Polled(report) if report.accepted == Some(ballot));
        self.replies.iter().filter(|(_, reply)| has_accepted(reply)).map(|(voter, _)| *voter).collect()
    }

    fn outcome(&self) -> PollOutcome {
        let pending = self.replies.values().filter(|reply| **reply == PollReply::Pending).count();
        let polled = self.reports().count();
        let newer_accepted: BTreeSet<Ballot> = self
            .reports()
            .filter_map(|report| report.accepted)
            .filter(|ballot| *ballot > self.known_ballot)
            .collect();
        let newer_chosen =
            self.reports().map(|report| report.chosen).max().filter(|chosen| *chosen > self.known_ballot);
        for ballot in newer_accepted.iter().rev() {
            let from = self.accepted_by(*ballot);
            if from.len() >= self.majority() || Some(*ballot) == newer_chosen {
                return PollOutcome::Behind { from, ballot: *ballot };
            }
        }
        if polled + pending < self.majority() {
            return PollOutcome::Failed;
        }
        if polled < self.majority() {
            return PollOutcome::Pending;
        }
        if newer_accepted.is_empty() && newer_chosen.is_none() {
            return PollOutcome::Fresh;
        }
        // A voter that has not replied yet may complete a majority, or have the value reported as chosen.
        let can_reach_majority =
            |ballot: &Ballot| self.accepted_by(*ballot).len() + pending >= self.majority();
        if pending > 0 && (newer_chosen.is_some() || newer_accepted.iter().any(can_reach_majority)) {
            return PollOutcome::Pending;
        }
        PollOutcome::Undecided
    }
}

/// The position of `me` in the order in which nodes complete a value that was accepted under `ballot` and stays undecided.
/// Without an order, all nodes that see it would compete with each other and with its proposer, which comes last.
pub fn completion_rank(me: Ipv4Addr, voters: &[Ipv4Addr], ballot: Ballot) -> usize {
    let mut others: Vec<Ipv4Addr> =
        voters.iter().copied().filter(|voter| u32::from(*voter) != ballot.proposer).collect();
    others.sort_by_key(|voter| (rendezvous_rank(&voter.octets(), ballot.round), *voter));
    others.iter().position(|voter| *voter == me).unwrap_or(others.len())
}
