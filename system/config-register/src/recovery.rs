//! Recovery of a machine that came up without a record.

use crate::Outbox;
use crate::acceptor::{AcceptorRecord, VoterState};
use crate::ballot_run::{Progress, Round};
use bytes::Bytes;
use fleet_model::{Ballot, RegisterReply, RegisterValue};
use std::net::Ipv4Addr;

/// What a restore has come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// Nothing to do until more replies come.
    Wait,
    /// Requests to send.
    Send(Outbox),
    /// The record to sync; the machine votes from then on.
    Done(AcceptorRecord),
    /// A higher ballot was seen: try again above it.
    Lost {
        /// The higher ballot.
        seen: Ballot,
    },
    /// Too few machines can be reached, or too little is known: try again later.
    Failed,
}

/// Brings a machine without a record to where it may vote: it reads what the others hold, and has it accepted anew by
/// so many of them that every run with an older promise of this machine gets to see it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recovery {
    me: Ipv4Addr,
    round: Round,
}

impl Recovery {
    /// Starts with all core machines that were heard of. Without a chosen value to start from, all other voters must
    /// answer if `me` is one of them, and there must be three or more.
    pub fn start(me: Ipv4Addr, ballot: Ballot, asked: &[Ipv4Addr]) -> Self {
        Self { me, round: Round::start(me, ballot, true, None, asked) }
    }

    /// Starts from a value that was chosen, as [`crate::Proposer::start`] does: fewer answers are enough then.
    pub fn start_from(me: Ipv4Addr, ballot: Ballot, known: &RegisterValue, asked: &[Ipv4Addr]) -> Self {
        Self { me, round: Round::start(me, ballot, true, Some(known.clone()), asked) }
    }

    /// The first requests to send.
    pub fn outbox(&self) -> Outbox {
        self.round.outbox()
    }

    /// Takes a reply.
    pub fn on_reply(&mut self, from: Ipv4Addr, reply: &RegisterReply) -> RecoveryStep {
        let progress = self.round.on_reply(from, reply);
        self.step(progress)
    }

    /// Takes note that a request got no reply.
    pub fn on_failure(&mut self, from: Ipv4Addr) -> RecoveryStep {
        let progress = self.round.on_failure(from);
        self.step(progress)
    }

    fn step(&mut self, progress: Progress) -> RecoveryStep {
        match progress {
            Progress::Wait => RecoveryStep::Wait,
            Progress::Send(outbox) => RecoveryStep::Send(outbox),
            Progress::Lost(seen) => RecoveryStep::Lost { seen },
            Progress::Failed => RecoveryStep::Failed,
            Progress::Read { found, .. } => RecoveryStep::Send(self.round.propose(found.value)),
            Progress::Accepted(accepted) => {
                let RegisterValue { epoch, voters, .. } = accepted.value.clone();
                let is_voter = voters.contains(&self.me);
                RecoveryStep::Done(AcceptorRecord {
                    promised: self.round.ballot(),
                    voter_state: if is_voter { VoterState::Voter } else { VoterState::NonVoter },
                    chosen_voters: Some(RegisterValue { epoch, voters, payload: Bytes::new() }),
                    accepted: Some(accepted),
                })
            }
        }
    }
}
