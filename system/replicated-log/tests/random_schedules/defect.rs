//! Defects that the schedules must find.

use crate::node::Node;
use fleet_model::{AcceptedEntry, Ballot, LogEntry, LogReply, LogRequest};

/// A deliberate departure from the protocol or from the obligations of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    /// None: the protocol as it is.
    None,
    /// Votes are sent before their records are synced.
    VotesBeforeSync,
    /// A replica without its journal keeps its identity.
    ReplicaIdKeptAfterWipe,
    /// A candidate proposes the entry of the lowest ballot.
    LowestBallotProposed,
    /// An entry is accepted though the slot before it is not known to be chosen.
    AcceptWithoutCommitCheck,
    /// A leader goes on after a change of the members.
    NoCampaignAfterChange,
    /// Votes are counted by address.
    VotesCountedByAddress,
    /// A commit applies to whatever is accepted for its slot.
    CommitIgnoresBallot,
}

/// The defects that random schedules find. Two others have tests of their own: promises that are
/// not persisted, and a leader that goes on after a change of the members that it has found pending.
pub(crate) const DEFECTS: [Defect; 7] = [
    Defect::VotesBeforeSync,
    Defect::ReplicaIdKeptAfterWipe,
    Defect::LowestBallotProposed,
    Defect::AcceptWithoutCommitCheck,
    Defect::NoCampaignAfterChange,
    Defect::VotesCountedByAddress,
    Defect::CommitIgnoresBallot,
];

impl Defect {
    /// The remainder of the seeds of the schedules that find it soonest.
    pub(crate) fn emphasis(self) -> u64 {
        match self {
            Defect::NoCampaignAfterChange
            | Defect::VotesCountedByAddress
            | Defect::ReplicaIdKeptAfterWipe => 0,
            _ => 1,
        }
    }

    /// Has a node's replica handle a request.
    pub(crate) fn handle(self, node: &mut Node, request: LogRequest) -> LogReply {
        match self {
            Defect::CommitIgnoresBallot => {
                let request = with_pending_ballot(node, request);
                node.replica.handle(request)
            }
            Defect::AcceptWithoutCommitCheck => handle_without_commit_check(node, request),
            _ => node.replica.handle(request),
        }
    }
}

fn with_pending_ballot(node: &Node, mut request: LogRequest) -> LogRequest {
    let pending_ballot = node.pending().map(|pending| pending.ballot);
    if let LogRequest::Accept { committed, .. } | LogRequest::Heartbeat { committed, .. } = &mut request
        && let Some(ballot) = pending_ballot
    {
        committed.ballot = ballot;
    }
    request
}

/// An entry for a later slot than the next replaces the accepted one.
fn handle_without_commit_check(node: &mut Node, request: LogRequest) -> LogReply {
    let offered = match &request {
        LogRequest::Accept { accepted, .. } => Some(accepted.clone()),
        _ => None,
    };
    match (node.replica.handle(request), offered) {
        (LogReply::Behind(_), Some(accepted)) => {
            node.skipped = Some(accepted);
            LogReply::Accepted
        }
        (LogReply::Promised { applied, pending }, _) => {
            let skipped = node.skipped.clone().filter(|skipped| skipped.entry.slot > applied + 1);
            LogReply::Promised { applied, pending: skipped.or(pending) }
        }
        (reply, _) => reply,
    }
}

/// The entry that a candidate proposes first.
pub(crate) fn proposed_entry(
    defect: Defect,
    won: Option<LogEntry>,
    heard: &[AcceptedEntry],
) -> Option<LogEntry> {
    match defect {
        Defect::LowestBallotProposed => {
            let lowest = heard.iter().min_by_key(|pending: &&AcceptedEntry| -> Ballot { pending.ballot });
            lowest.map(|pending| pending.entry.entry.clone())
        }
        _ => won,
    }
}
