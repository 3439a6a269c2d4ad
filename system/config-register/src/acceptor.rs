//! The voter's side.

use crate::record_format::StoredRecord;
use bytes::Bytes;
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest, RegisterValue};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// Whether a machine has accepted as one of the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoterState {
    /// It has read the register to join it, and no voters named it then.
    NonVoter,
    /// It was founded or restored as a voter, or has accepted since.
    Voter,
}

/// What a voter keeps on disk. It is written with the form that it is in, see [`crate::RecordFormat`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "StoredRecord", try_from = "StoredRecord")]
pub struct AcceptorRecord {
    /// It listens to no ballot below this one.
    pub promised: Ballot,
    /// What it has accepted last.
    pub accepted: Option<AcceptedValue>,
    /// Whether it has accepted as a voter.
    pub voter_state: VoterState,
    /// The newest voters that it knows to be chosen, with their epoch; the payload is empty. A run after a restart
    /// starts with these: the accepted value itself may be an unfinished change.
    pub chosen_voters: Option<RegisterValue>,
}

/// The record that every founding voter starts with: the same value under the lowest ballot, so it is chosen.
pub fn founding_record(voters: Vec<Ipv4Addr>) -> AcceptorRecord {
    let value = RegisterValue { epoch: 0, voters, payload: Bytes::new() };
    AcceptorRecord {
        promised: Ballot::default(),
        accepted: Some(AcceptedValue { ballot: Ballot::default(), value: value.clone() }),
        voter_state: VoterState::Voter,
        chosen_voters: Some(value),
    }
}

/// A voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    record: Option<AcceptorRecord>,
    chosen: Ballot,
}

impl Acceptor {
    /// A voter with its record.
    pub fn new(record: AcceptorRecord) -> Self {
        Self { record: Some(record), chosen: Ballot::default() }
    }

    /// A machine that came up without a record: it may have voted before, and does not until it is restored.
    pub fn recovering() -> Self {
        Self { record: None, chosen: Ballot::default() }
    }

    /// Takes the result of a [`crate::Recovery`], once it is synced.
    pub fn restore(&mut self, record: AcceptorRecord) {
        self.record = Some(record);
    }

    /// What is to be kept on disk; none while unfit.
    pub fn record(&self) -> Option<&AcceptorRecord> {
        self.record.as_ref()
    }

    /// The newest ballot that it knows to be chosen.
    pub fn chosen(&self) -> Ballot {
        self.chosen
    }

    /// Takes note that a ballot was chosen. Returns whether the record changed; it need not be synced at once.
    pub fn learn_chosen(&mut self, ballot: Ballot) -> bool {
        self.chosen = self.chosen.max(ballot);
        let accepted = self.record.as_ref().and_then(|record| record.accepted.clone());
        accepted
            .filter(|accepted| accepted.ballot == ballot)
            .is_some_and(|accepted| self.record_chosen_voters(&accepted.value))
    }

    /// Takes note of a chosen value, whether or not it was accepted here. Returns as [`Acceptor::learn_chosen`] does.
    pub fn learn_value(&mut self, chosen: &AcceptedValue) -> bool {
        self.chosen = self.chosen.max(chosen.ballot);
        self.record_chosen_voters(&chosen.value)
    }

    fn record_chosen_voters(&mut self, value: &RegisterValue) -> bool {
        let Some(record) = &mut self.record else { return false };
        let is_newer =
            record.chosen_voters.as_ref().is_none_or(|chosen_voters| chosen_voters.epoch < value.epoch);
        if is_newer {
            record.chosen_voters = Some(RegisterValue { payload: Bytes::new(), ..value.clone() });
        }
        is_newer
    }

    /// Answers a request. The flag tells that the record changed: it is synced before the reply is sent.
    pub fn handle(&mut self, request: &RegisterRequest) -> (RegisterReply, bool) {
        let Some(record) = &mut self.record else { return (RegisterReply::Recovering, false) };
        match request {
            RegisterRequest::Prepare(ballot) if *ballot < record.promised => {
                (RegisterReply::Rejected(record.promised), false)
            }
            RegisterRequest::Prepare(ballot) => {
                let changed = record.promised != *ballot;
                record.promised = *ballot;
                (RegisterReply::Promised(record.accepted.clone()), changed)
            }
            RegisterRequest::Accept(offered) => {
                // A later epoch at a lower ballot is a change that was given up. A proposer whose Prepare came here
                // was told of it and has read a newer value; another may not know, and asks first.
                let later =
                    record.accepted.as_ref().is_some_and(|held| held.value.epoch > offered.value.epoch);
                if offered.ballot < record.promised || (later && offered.ballot > record.promised) {
                    return (RegisterReply::Rejected(record.promised), false);
                }
                let changed = record.promised != offered.ballot || record.accepted.as_ref() != Some(offered);
                record.promised = offered.ballot;
                record.accepted = Some(offered.clone());
                record.voter_state = VoterState::Voter;
                (RegisterReply::Accepted, changed)
            }
            RegisterRequest::Poll { chosen } => {
                let changed = self.learn_chosen(*chosen);
                let accepted = self.record.as_ref().and_then(|record| record.accepted.as_ref());
                let accepted = accepted.map(|accepted| accepted.ballot);
                (RegisterReply::Polled { accepted, chosen: self.chosen }, changed)
            }
            RegisterRequest::Fetch => (RegisterReply::Fetched(record.accepted.clone()), false),
        }
    }
}
