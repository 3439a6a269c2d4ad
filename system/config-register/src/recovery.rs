//! Recovery of a replica that started without a record: it must not vote before it has learned what it may have forgotten.
//!
//! *Paxos Made Simple* assumes that an acceptor remembers its promises over a restart (section 2.4); this is for one that lost
//! its disk. The proof is in the crate's documentation, "Why a recovered voter is safe", and in `docs/control-safety.md`.

use crate::Outbox;
use crate::acceptor::{AcceptorRecord, VoterState};
use crate::ballot_run::{BallotRun, Progress};
use bytes::Bytes;
use fleet_model::{Ballot, RegisterReply, RegisterValue};
use std::net::Ipv4Addr;

/// The progress of a recovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// More replies are needed.
    Wait,
    /// Requests to send.
    Send(Outbox),
    /// The record to sync. The replica may vote once it is synced.
    Done(AcceptorRecord),
    /// A higher ballot was seen: retry above it.
    Lost {
        /// The higher ballot.
        seen: Ballot,
    },
    /// No quorum can be reached, or too little is known: retry later.
    Failed,
}

/// One attempt to recover a replica without a record, under one ballot. It reads what the other voters have accepted, and has
/// that accepted anew by enough of them that every ballot with an older promise of this replica sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recovery {
    me: Ipv4Addr,
    run: BallotRun,
}

impl Recovery {
    /// Starts with all known control nodes. Without a chosen value to start from, all other voters must reply if `me` is a
    /// voter, and there must be three voters or more.
    pub fn start(me: Ipv4Addr, ballot: Ballot, peers: &[Ipv4Addr]) -> Self {
        Self { me, run: BallotRun::start(ballot, Some(me), None, peers) }
    }

    /// Starts from a chosen value, as [`crate::Proposer::start`] does; fewer replies are sufficient then.
    pub fn start_from(me: Ipv4Addr, ballot: Ballot, known: &RegisterValue, peers: &[Ipv4Addr]) -> Self {
        Self { me, run: BallotRun::start(ballot, Some(me), Some(known.clone()), peers) }
    }

    /// The first requests to send.
    pub fn outbox(&self) -> Outbox {
        self.run.outbox()
    }

    /// Handles a reply.
    pub fn on_reply(&mut self, from: Ipv4Addr, reply: &RegisterReply) -> RecoveryStep {
        let progress = self.run.on_reply(from, reply);
        self.step(progress)
    }

    /// Notes that a request got no reply.
    pub fn on_failure(&mut self, from: Ipv4Addr) -> RecoveryStep {
        let progress = self.run.on_failure(from);
        self.step(progress)
    }

    fn step(&mut self, progress: Progress) -> RecoveryStep {
        match progress {
            Progress::Wait => RecoveryStep::Wait,
            Progress::Send(outbox) => RecoveryStep::Send(outbox),
            Progress::Lost(seen) => RecoveryStep::Lost { seen },
            Progress::Failed => RecoveryStep::Failed,
            Progress::Read(read) => RecoveryStep::Send(self.run.propose(read.value.value)),
            Progress::Accepted(accepted) => {
                let RegisterValue { epoch, voters, .. } = accepted.value.clone();
                let is_voter = voters.contains(&self.me);
                RecoveryStep::Done(AcceptorRecord {
                    promised: self.run.ballot(),
                    voter_state: if is_voter { VoterState::Voter } else { VoterState::NonVoter },
                    chosen_voters: Some(RegisterValue { epoch, voters, payload: Bytes::new() }),
                    accepted: Some(accepted),
                })
            }
        }
    }
}
