//! Messages between processes of the fleet: calls with their answers, and pushes of the state feed.

use crate::{
    Ballot, ChosenValue, CoordinationAnswer, CoordinationCall, Endpoint, EndpointList, ListVersion, Order,
    OrderVerdict, RegisterReply, RegisterRequest, Reservation, StorageNode, Turn,
};
use bytes::Bytes;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A request from one process to another; each call gets one [`Answer`].
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Request to the acceptor of the register.
    Register(RegisterRequest),
    /// A control node that is not a voter requests to become one.
    JoinCore {
        /// Address of the control node.
        ip: Ipv4Addr,
    },
    /// A storage node announces itself, to join the roster or to show that it is alive.
    JoinStorage {
        /// The storage node.
        store: StorageNode,
        /// Whether it was started with the fleet, for the fleet's first time: then it replaces no other machine.
        is_founder: bool,
    },
    /// A storage node reports that it is in sync: it stores every record that it replicates under this roster epoch.
    InSync {
        /// Identifier of its disk.
        disk: u64,
        /// Epoch of the roster.
        epoch: u64,
    },
    /// Subscribe to the state feed: pushes follow on this connection if the answer is [`Answer::Done`].
    Subscribe {
        /// Address of the subscriber.
        ip: Ipv4Addr,
        /// Zone of the subscriber.
        zone: String,
        /// Accept the subscriber even if the limit of subscribers is reached.
        urgent: bool,
        /// Ballot of the newest value that the subscriber knows.
        value: Ballot,
        /// Version of the newest endpoint list that the subscriber knows.
        list: ListVersion,
    },
    /// Reserve tokens for an attempt; the record is synced to disk before the answer.
    Reserve {
        /// Roster epoch that the caller knows.
        epoch: u64,
        /// Program whose account is charged.
        program: String,
        /// The attempt and the maximum number of tokens that it may generate.
        reservation: Reservation,
    },
    /// Settle the reservation of an attempt to the tokens that it actually delivered.
    Settle {
        /// Roster epoch that the caller knows.
        epoch: u64,
        /// Program whose account is charged.
        program: String,
        /// The attempt and the number of tokens that it delivered.
        reservation: Reservation,
    },
    /// Read an account without changing it.
    ReadAccount {
        /// Roster epoch that the caller knows.
        epoch: u64,
        /// Program whose account is charged.
        program: String,
    },
    /// Store a turn; the record is synced to disk before the answer.
    StoreTurn {
        /// Roster epoch that the caller knows.
        epoch: u64,
        /// The turn to store.
        turn: Turn,
        /// Instance id of the endpoint that served it, which caches its chain; a hint that is not stored on disk.
        served_by: Option<String>,
    },
    /// Read the inputs and outputs of a turn and of its predecessors.
    ReadChain {
        /// Roster epoch that the caller knows.
        epoch: u64,
        /// `Attempt-Id` of the last turn of the chain.
        attempt: String,
    },
    /// A storage node requests from another one the records that it replicates under `epoch`, from `cursor` on.
    Backfill {
        /// Roster epoch for which the caller backfills.
        epoch: u64,
        /// Identifier of the caller's disk.
        disk: u64,
        /// Position at which to continue; empty at the start.
        cursor: Bytes,
    },
    /// The caller of [`Call::Backfill`] has synced all records that it received.
    BackfillDone {
        /// Epoch of the roster.
        epoch: u64,
        /// Identifier of the caller's disk.
        disk: u64,
    },
    /// A control node forwards an operator's order to the one that proposes.
    Order(Order),
    /// To the coordination service of a control node.
    Coordination(CoordinationCall),
    /// An operator requests the process's own view of a topic, as JSON.
    Inspect {
        /// The topic: `members`, `config`, `endpoints`, `turns`, `figures` or another one that the program serves.
        topic: String,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Reply of the acceptor of the register.
    Register(RegisterReply),
    /// The call was carried out.
    Done,
    /// The callee cannot serve the call at present.
    NotReady,
    /// The caller should retry at one of these addresses.
    Redirect(Vec<SocketAddrV4>),
    /// The roster epochs of caller and callee differ; this is the callee's.
    WrongEpoch(u64),
    /// All reservations of the account.
    Account(Vec<Reservation>),
    /// The part of a chain that ends with the requested turn.
    Chain {
        /// Inputs and outputs, oldest turn first.
        text: Bytes,
        /// `Attempt-Id` of the preceding turn, if the callee does not store it.
        missing: Option<String>,
        /// Instance id of the endpoint that served the requested turn, if the callee knows it.
        served_by: Option<String>,
    },
    /// The callee does not store the turn.
    Absent {
        /// Whether the callee is in sync, so that the absence counts towards the quorum for it.
        complete: bool,
    },
    /// A batch of records that the caller replicates, in answer to [`Call::Backfill`].
    Records {
        /// The turns.
        turns: Vec<Turn>,
        /// Reservations by program.
        accounts: Vec<(String, Vec<Reservation>)>,
        /// Position at which to continue, if there is more.
        cursor: Option<Bytes>,
    },
    /// The verdict on an order, in answer to [`Call::Order`].
    Verdict(OrderVerdict),
    /// The answer to [`Call::Coordination`].
    Coordination(CoordinationAnswer),
    /// A view for operators, as JSON.
    View(String),
}

/// An update that the state feed pushes to a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub enum Push {
    /// The link is alive, and the state that it delivered has at most this age: that long ago a majority of the voters had
    /// nothing newer.
    Heartbeat {
        /// Upper bound on the state's age, in milliseconds.
        age_ms: u32,
        /// Number of proxies that the source of the feed knows; 0 if unknown.
        proxies: u32,
    },
    /// A newer value of the register.
    Value(ChosenValue),
    /// A newer endpoint list.
    List(EndpointList),
    /// Changes relative to the endpoint list of version `base`.
    ListDelta {
        /// Version of the list to which the changes apply.
        base: ListVersion,
        /// Version of the resulting list.
        version: ListVersion,
        /// New or changed endpoints.
        upserted: Vec<Endpoint>,
        /// Identifiers of the instances that were removed.
        removed: Vec<String>,
    },
}

/// A message on a connection between two processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// A call with the number that the caller assigned to it.
    Call(u64, Call),
    /// The answer to the call with this number.
    Answer(u64, Answer),
    /// An update of the state feed.
    Push(Push),
}
