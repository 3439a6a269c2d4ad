//! Deliberate defects that the random schedules must detect.

use crate::node::Node;
use fleet_model::{AcceptedEntry, Ballot, LogEntry, LogReply, LogRequest};

/// A deliberate departure from the protocol or from the obligations of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    /// The protocol without a defect.
    None,
    /// Votes are sent before their records are synced.
    VotesBeforeSync,
    /// A replica without its journal keeps its identity.
    ReplicaIdKeptAfterWipe,
    /// A candidate proposes the entry of the lowest ballot.
    LowestBallotProposed,
    /// An entry is accepted although the previous slot is not known to be chosen.
    AcceptWithoutCommitCheck,
    /// A leader continues after a membership change without another campaign.
    NoCampaignAfterChange,
    /// Votes are counted by address and not by replica.
    VotesCountedByAddress,
    /// A commit applies any entry that is accepted for its slot, whatever its ballot.
    CommitIgnoresBallot,
}

/// The defects that random schedules detect. Two others have separate tests: promises that are not persisted, and a leader that
/// continues without another campaign after a membership change that it found pending.
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
    /// The kind of schedule that detects the defect soonest, as the remainder of its seed.
    pub(crate) fn emphasis(self) -> u64 {
        match self {
            Defect::NoCampaignAfterChange
            | Defect::VotesCountedByAddress
            | Defect::ReplicaIdKeptAfterWipe => 0,
            _ => 1,
        }
    }

    /// Handles a request at a node, with the defect if it concerns acceptors.
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

/// Also accepts an entry for a slot after the next one, and reports it in promises instead of the accepted entry.
fn handle_without_commit_check(node: &mut Node, request: LogRequest) -> LogReply {
    let proposed = match &request {
        LogRequest::Accept { accepted, .. } => Some(accepted.clone()),
        _ => None,
    };
    match (node.replica.handle(request), proposed) {
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

/// The entry that a candidate proposes first, given the entries that were reported to it.
pub(crate) fn proposed_entry(
    defect: Defect,
    won: Option<LogEntry>,
    reported: &[AcceptedEntry],
) -> Option<LogEntry> {
    match defect {
        Defect::LowestBallotProposed => {
            let lowest = reported.iter().min_by_key(|pending: &&AcceptedEntry| -> Ballot { pending.ballot });
            lowest.map(|pending| pending.entry.entry.clone())
        }
        _ => won,
    }
}
