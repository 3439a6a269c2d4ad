//! The proposer of Paxos: changes the register's value by a function of the value that it reads.
//!
//! Both phases of *Paxos Made Simple*, section 2.2, run for each change. As in `CASPaxos` the proposed value is a function of
//! the value found in phase 1, which makes the register a compare-and-swap.

use crate::Outbox;
use crate::ballot_run::{BallotRun, Progress, ReadValue};
use crate::quorum::is_single_change;
use bytes::Bytes;
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterValue};
use std::net::Ipv4Addr;

/// The change to make to the value that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Keep the value: no change is wanted, or the value is not the expected one.
    Keep,
    /// Replace the payload.
    Set(Bytes),
    /// Replace the voters by a set with one node more or fewer. Treated as `Keep` if they differ by more, or if the voters
    /// read are not known to be in force yet; that change is then completed first, and the caller retries.
    Voters(Vec<Ipv4Addr>),
}

/// The progress of a proposer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposerStep {
    /// More replies are needed.
    Wait,
    /// Requests to send.
    Send(Outbox),
    /// This value is chosen. The caller compares it to what it wanted to know whether its change was made.
    Done(AcceptedValue),
    /// A higher ballot was seen: retry above it after a random backoff. The change may still be chosen.
    Lost {
        /// The higher ballot.
        seen: Ballot,
    },
    /// No quorum can be reached. The change may still be chosen.
    Failed,
}

/// One attempt to change the value, under one ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    run: BallotRun,
}

impl Proposer {
    /// Starts an attempt under a ballot that was never used. `known` must be a chosen value. It may be old, but an attempt
    /// that is two changes of the voters behind may need more than a majority and should learn first.
    pub fn start(ballot: Ballot, known: &RegisterValue) -> Self {
        Self { run: BallotRun::start(ballot, None, Some(known.clone()), &[]) }
    }

    /// The ballot of this attempt.
    pub fn ballot(&self) -> Ballot {
        self.run.ballot()
    }

    /// The first requests to send.
    pub fn outbox(&self) -> Outbox {
        self.run.outbox()
    }

    /// Handles a reply. `change` is called once, with the value read.
    pub fn on_reply(
        &mut self,
        from: Ipv4Addr,
        reply: &RegisterReply,
        change: &mut dyn FnMut(&RegisterValue) -> Change,
    ) -> ProposerStep {
        let progress = self.run.on_reply(from, reply);
        self.step(progress, change)
    }

    /// Notes that a request got no reply. `change` is as in [`Proposer::on_reply`].
    pub fn on_failure(
        &mut self,
        from: Ipv4Addr,
        change: &mut dyn FnMut(&RegisterValue) -> Change,
    ) -> ProposerStep {
        let progress = self.run.on_failure(from);
        self.step(progress, change)
    }

    fn step(&mut self, progress: Progress, change: &mut dyn FnMut(&RegisterValue) -> Change) -> ProposerStep {
        match progress {
            Progress::Wait => ProposerStep::Wait,
            Progress::Send(outbox) => ProposerStep::Send(outbox),
            Progress::Accepted(value) => ProposerStep::Done(value),
            Progress::Lost(seen) => ProposerStep::Lost { seen },
            Progress::Failed => ProposerStep::Failed,
            Progress::Read(read) => self.propose(read, change),
        }
    }

    fn propose(
        &mut self,
        ReadValue { value: accepted, voters_in_force, is_chosen }: ReadValue,
        change: &mut dyn FnMut(&RegisterValue) -> Change,
    ) -> ProposerStep {
        let read = &accepted.value;
        let value = match change(read) {
            Change::Set(payload) => RegisterValue { payload, ..read.clone() },
            Change::Voters(voters) if voters_in_force && is_single_change(&read.voters, &voters) => {
                RegisterValue { epoch: read.epoch + 1, voters, payload: read.payload.clone() }
            }
            Change::Keep | Change::Voters(_) if is_chosen => {
                self.run.finish(Progress::Wait);
                return ProposerStep::Done(accepted);
            }
            Change::Keep | Change::Voters(_) => read.clone(),
        };
        ProposerStep::Send(self.run.propose(value))
    }
}
