//! Messages and values of the register: one replicated value that is changed by two-phase agreement (single-decree
//! Paxos) among the voters.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A ballot number of the register, ordered by its fields in their order: the round increases, the proposer's address
/// distinguishes two proposers in one round, and the incarnation two starts of one proposer. `config-register` generates
/// them (`BallotSource`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Round number.
    pub round: u64,
    /// IPv4 address of the proposer as a number.
    pub proposer: u32,
    /// Nonce of the proposer's process incarnation; 0 in the initial ballot and in ballots read from the older record format.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// A value of the register: the voters and the payload that they agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterValue {
    /// Increases by one with each change of the voters.
    pub epoch: u64,
    /// Addresses of the control nodes that form the quorums.
    pub voters: Vec<Ipv4Addr>,
    /// An encoded [`ControlState`](crate::ControlState), from [`ControlState::to_payload`](crate::ControlState::to_payload).
    pub payload: Bytes,
}

/// A value that an acceptor has accepted, with its ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedValue {
    /// Ballot under which it was accepted.
    pub ballot: Ballot,
    /// The accepted value.
    pub value: RegisterValue,
}

/// A request from a proposer to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RegisterRequest {
    /// Phase 1: promise to reject all lower ballots.
    Prepare(Ballot),
    /// Phase 2: accept this value under its ballot.
    Accept(AcceptedValue),
    /// Report the accepted ballot without a promise.
    Poll {
        /// Newest ballot that the sender knows to be chosen.
        chosen: Ballot,
    },
    /// Return the accepted value.
    Fetch,
}

/// The reply of an acceptor to a [`RegisterRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RegisterReply {
    /// The promise to [`RegisterRequest::Prepare`], with the value accepted so far.
    Promised(Option<AcceptedValue>),
    /// The value was accepted.
    Accepted,
    /// The request was rejected: the acceptor has promised this higher ballot, or accepted a value of a later epoch under it.
    #[serde(rename = "Refused")]
    Rejected(Ballot),
    /// The acceptor restarted with an empty disk and must not vote yet.
    #[serde(rename = "Unfit")]
    Recovering,
    /// The reply to [`RegisterRequest::Poll`].
    Polled {
        /// Ballot of the accepted value, if any.
        accepted: Option<Ballot>,
        /// Newest ballot that the acceptor knows to be chosen.
        chosen: Ballot,
    },
    /// The reply to [`RegisterRequest::Fetch`]: the accepted value, if any.
    Fetched(Option<AcceptedValue>),
}

/// A chosen value, as the state feed disseminates it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChosenValue {
    /// Ballot under which it was chosen; a value with a higher ballot replaces it.
    pub ballot: Ballot,
    /// Addresses of the voters.
    pub voters: Vec<Ipv4Addr>,
    /// An encoded [`ControlState`](crate::ControlState), from [`ControlState::to_payload`](crate::ControlState::to_payload).
    pub payload: Bytes,
}
