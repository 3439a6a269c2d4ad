//! The acceptor of Paxos: it promises ballots, accepts values and answers the reads of learners.
//!
//! The two rules are those of section 2.2 of *Paxos Made Simple*: an acceptor answers `Prepare` for a ballot not below the
//! highest that it has promised, and accepts a value unless it has promised a higher ballot.

use crate::record_format::StoredRecord;
use bytes::Bytes;
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest, RegisterValue};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// Whether a node has accepted a value as one of the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoterState {
    /// The node has read the register in order to join, and the voters named in the value did not include it.
    NonVoter,
    /// The node was founded or recovered as a voter, or has accepted a value since.
    Voter,
}

/// The durable state of an acceptor. On disk it is preceded by a format number, see [`crate::RecordFormat`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "StoredRecord", try_from = "StoredRecord")]
pub struct AcceptorRecord {
    /// The highest promised ballot; requests under a lower one are rejected.
    pub promised: Ballot,
    /// The value accepted last, with its ballot.
    pub accepted: Option<AcceptedValue>,
    /// Whether this node has accepted as a voter.
    pub voter_state: VoterState,
    /// The newest voters known to be chosen, with their epoch; the payload is empty. A proposer starts from these after a
    /// restart, because `accepted` may belong to an unfinished change.
    pub chosen_voters: Option<RegisterValue>,
}

/// The record with which each founding voter starts: the same value under the lowest ballot, which is therefore chosen.
pub fn founding_record(voters: Vec<Ipv4Addr>) -> AcceptorRecord {
    let value = RegisterValue { epoch: 0, voters, payload: Bytes::new() };
    AcceptorRecord {
        promised: Ballot::default(),
        accepted: Some(AcceptedValue { ballot: Ballot::default(), value: value.clone() }),
        voter_state: VoterState::Voter,
        chosen_voters: Some(value),
    }
}

/// The reply of an acceptor, and whether its host must make the record durable before sending it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptorResponse {
    /// The reply.
    pub reply: RegisterReply,
    /// Whether the record changed. The reply to `Prepare` or `Accept` may be sent only after the new record is synced.
    pub record_changed: bool,
}

impl AcceptorResponse {
    fn unchanged(reply: RegisterReply) -> Self {
        Self { reply, record_changed: false }
    }
}

/// An acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    record: Option<AcceptorRecord>,
    chosen: Ballot,
}

impl Acceptor {
    /// An acceptor with its durable record.
    pub fn new(record: AcceptorRecord) -> Self {
        Self { record: Some(record), chosen: Ballot::default() }
    }

    /// An acceptor without a record. It may have voted before and forgotten it, so it answers
    /// [`RegisterReply::Recovering`] until [`Acceptor::restore`].
    pub fn recovering() -> Self {
        Self { record: None, chosen: Ballot::default() }
    }

    /// Installs the result of a [`crate::Recovery`]. The host must have synced the record.
    pub fn restore(&mut self, record: AcceptorRecord) {
        self.record = Some(record);
    }

    /// The record to keep on disk; `None` while recovering.
    pub fn record(&self) -> Option<&AcceptorRecord> {
        self.record.as_ref()
    }

    /// The highest ballot known to be chosen.
    pub fn chosen(&self) -> Ballot {
        self.chosen
    }

    /// Notes that a ballot was chosen. Returns whether the record changed; that change need not be synced at once.
    pub fn learn_chosen(&mut self, ballot: Ballot) -> bool {
        self.chosen = self.chosen.max(ballot);
        let accepted = self.record.as_ref().and_then(|record| record.accepted.clone());
        accepted
            .filter(|accepted| accepted.ballot == ballot)
            .is_some_and(|accepted| self.record_chosen_voters(&accepted.value))
    }

    /// Notes a chosen value, whether or not it was accepted here. Returns the same as [`Acceptor::learn_chosen`].
    pub fn learn_value(&mut self, chosen: &AcceptedValue) -> bool {
        self.chosen = self.chosen.max(chosen.ballot);
        self.record_chosen_voters(&chosen.value)
    }

    fn record_chosen_voters(&mut self, value: &RegisterValue) -> bool {
        let Some(record) = &mut self.record else { return false };
        let is_newer = record.chosen_voters.as_ref().is_none_or(|known| known.epoch < value.epoch);
        if is_newer {
            record.chosen_voters = Some(RegisterValue { payload: Bytes::new(), ..value.clone() });
        }
        is_newer
    }

    /// Answers a request.
    pub fn handle(&mut self, request: &RegisterRequest) -> AcceptorResponse {
        let Some(record) = &mut self.record else {
            return AcceptorResponse::unchanged(RegisterReply::Recovering);
        };
        match request {
            RegisterRequest::Prepare(ballot) => record.prepare(*ballot),
            RegisterRequest::Accept(proposed) => record.accept(proposed),
            RegisterRequest::Poll { chosen } => {
                let record_changed = self.learn_chosen(*chosen);
                let accepted = self.record.as_ref().and_then(|record| record.accepted.as_ref());
                let accepted = accepted.map(|accepted| accepted.ballot);
                let reply = RegisterReply::Polled { accepted, chosen: self.chosen };
                AcceptorResponse { reply, record_changed }
            }
            RegisterRequest::Fetch => {
                AcceptorResponse::unchanged(RegisterReply::Fetched(record.accepted.clone()))
            }
        }
    }
}

impl AcceptorRecord {
    /// Phase 1b of *Paxos Made Simple*.
    fn prepare(&mut self, ballot: Ballot) -> AcceptorResponse {
        if ballot < self.promised {
            return AcceptorResponse::unchanged(RegisterReply::Rejected(self.promised));
        }
        let record_changed = self.promised != ballot;
        self.promised = ballot;
        AcceptorResponse { reply: RegisterReply::Promised(self.accepted.clone()), record_changed }
    }

    /// Phase 2b of *Paxos Made Simple*, with one rule more for changes of the voters.
    fn accept(&mut self, proposed: &AcceptedValue) -> AcceptorResponse {
        // A later epoch under a lower ballot belongs to an abandoned change. A proposer whose Prepare arrived here was sent
        // that value and has since read a newer one; any other may not know of it and must prepare first.
        let has_later_epoch =
            self.accepted.as_ref().is_some_and(|accepted| accepted.value.epoch > proposed.value.epoch);
        if proposed.ballot < self.promised || (has_later_epoch && proposed.ballot > self.promised) {
            return AcceptorResponse::unchanged(RegisterReply::Rejected(self.promised));
        }
        let record_changed = self.promised != proposed.ballot || self.accepted.as_ref() != Some(proposed);
        self.promised = proposed.ballot;
        self.accepted = Some(proposed.clone());
        self.voter_state = VoterState::Voter;
        AcceptorResponse { reply: RegisterReply::Accepted, record_changed }
    }
}
