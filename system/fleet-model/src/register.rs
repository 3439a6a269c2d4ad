//! Messages and values of the register: one replicated value that is changed by two-phase agreement (single-decree
//! Paxos) among the voters.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A ballot of the register, ordered by its fields in turn: rounds rise, the machine's address tells two machines of one
/// round apart, and the nonce two lives of one machine. `config-register` makes them (`BallotSource`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The round.
    pub round: u64,
    /// The proposer's address as a number.
    pub proposer: u32,
    /// The nonce of the proposer's life; 0 in the founding ballot and in those read from a record of an older form.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// The register's value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterValue {
    /// Rises by one with each change of the voters.
    pub epoch: u64,
    /// The core machines whose majority counts.
    pub voters: Vec<Ipv4Addr>,
    /// What the register holds: a [`ControlState`], by [`ControlState::to_payload`].
    pub payload: Bytes,
}

/// A value that an acceptor has accepted, under its ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedValue {
    /// The ballot.
    pub ballot: Ballot,
    /// The value.
    pub value: RegisterValue,
}

/// What a proposer asks of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RegisterRequest {
    /// Promise to listen to no lower ballot.
    Prepare(Ballot),
    /// Accept this value.
    Accept(AcceptedValue),
    /// Tell what is held, without a promise; `chosen` is the newest ballot that the asker knows to be chosen.
    Poll {
        /// The newest ballot that the asker knows to be chosen.
        chosen: Ballot,
    },
    /// Tell the accepted value.
    Fetch,
}

/// What an acceptor answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RegisterReply {
    /// It promises; here is what it has accepted.
    Promised(Option<AcceptedValue>),
    /// It has accepted.
    Accepted,
    /// It has promised this ballot, or accepted a value of a later epoch, under it.
    #[serde(rename = "Refused")]
    Rejected(Ballot),
    /// It came back with an empty disk and may not vote yet.
    #[serde(rename = "Unfit")]
    Recovering,
    /// What it holds.
    Polled {
        /// Ballot of the accepted value.
        accepted: Option<Ballot>,
        /// The newest ballot that it knows to be chosen.
        chosen: Ballot,
    },
    /// The accepted value.
    Fetched(Option<AcceptedValue>),
}

/// A chosen value, as it is spread.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChosenValue {
    /// The ballot under which it was chosen: a later one replaces it.
    pub ballot: Ballot,
    /// The voters.
    pub voters: Vec<Ipv4Addr>,
    /// A [`ControlState`], by [`ControlState::to_payload`].
    pub payload: Bytes,
}
