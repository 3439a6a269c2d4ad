//! The proposer's side.

use crate::Outbox;
use crate::ballot_run::{Progress, Round, is_single_change};
use bytes::Bytes;
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterValue};
use std::net::Ipv4Addr;

/// What is to become of the value that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It stays: nothing is wanted, or it is not the one expected.
    Keep,
    /// It gets this payload.
    Set(Bytes),
    /// It gets these voters, one machine more or less. Taken as `Keep` if they differ by more, or if it cannot be
    /// told that the voters read are in force yet; then that is finished first, and the caller tries again.
    Voters(Vec<Ipv4Addr>),
}

/// What a run has come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposerStep {
    /// Nothing to do until more replies come.
    Wait,
    /// Requests to send.
    Send(Outbox),
    /// This value was chosen; whether it has the wanted change is told by looking at it.
    Done(AcceptedValue),
    /// A higher ballot was seen: try again above it after a random pause. The change may still come about.
    Lost {
        /// The higher ballot.
        seen: Ballot,
    },
    /// Too few machines can be reached. The change may still come about.
    Failed,
}

/// One run by a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    round: Round,
}

impl Proposer {
    /// Starts a run under a ballot that was never used. `known` must have been chosen; it may be old, but a run two
    /// changes of the voters behind may need more than a majority, and had better learn first.
    pub fn start(me: Ipv4Addr, ballot: Ballot, known: &RegisterValue) -> Self {
        Self { round: Round::start(me, ballot, false, Some(known.clone()), &[]) }
    }

    /// The ballot.
    pub fn ballot(&self) -> Ballot {
        self.round.ballot()
    }

    /// The first requests to send.
    pub fn outbox(&self) -> Outbox {
        self.round.outbox()
    }

    /// Takes a reply. `change` is asked once, with the value read.
    pub fn on_reply(
        &mut self,
        from: Ipv4Addr,
        reply: &RegisterReply,
        change: &mut dyn FnMut(&RegisterValue) -> Change,
    ) -> ProposerStep {
        let progress = self.round.on_reply(from, reply);
        self.step(progress, change)
    }

    /// Takes note that a request got no reply. `change` as in [`Proposer::on_reply`].
    pub fn on_failure(
        &mut self,
        from: Ipv4Addr,
        change: &mut dyn FnMut(&RegisterValue) -> Change,
    ) -> ProposerStep {
        let progress = self.round.on_failure(from);
        self.step(progress, change)
    }

    fn step(&mut self, progress: Progress, change: &mut dyn FnMut(&RegisterValue) -> Change) -> ProposerStep {
        match progress {
            Progress::Wait => ProposerStep::Wait,
            Progress::Send(outbox) => ProposerStep::Send(outbox),
            Progress::Accepted(value) => ProposerStep::Done(value),
            Progress::Lost(seen) => ProposerStep::Lost { seen },
            Progress::Failed => ProposerStep::Failed,
            Progress::Read { found, settled, chosen } => {
                let read = &found.value;
                let value = match change(read) {
                    Change::Set(payload) => RegisterValue { payload, ..read.clone() },
                    Change::Voters(voters) if settled && is_single_change(&read.voters, &voters) => {
                        RegisterValue { epoch: read.epoch + 1, voters, payload: read.payload.clone() }
                    }
                    Change::Keep | Change::Voters(_) if chosen => {
                        self.round.end(Progress::Wait);
                        return ProposerStep::Done(found);
                    }
                    Change::Keep | Change::Voters(_) => read.clone(),
                };
                ProposerStep::Send(self.round.propose(value))
            }
        }
    }
}
