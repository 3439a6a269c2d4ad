//! Messages between processes of the fleet: calls with their answers, and pushes of the state feed.

use crate::{
    Ballot, ChosenValue, Endpoint, EndpointList, ListVersion, RegisterReply, RegisterRequest, Reservation,
    StorageNode, Turn,
};
use bytes::Bytes;
use std::net::{Ipv4Addr, SocketAddrV4};

/// What a process asks of another; each call gets one [`Answer`].
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// To an acceptor.
    Register(RegisterRequest),
    /// A core machine that is no voter asks to be one.
    JoinCore {
        /// Its address.
        ip: Ipv4Addr,
    },
    /// A storage machine tells that it is there.
    JoinStorage {
        /// The machine.
        store: StorageNode,
    },
    /// A storage machine holds all that it should hold under this roster's epoch.
    InSync {
        /// Its disk.
        disk: u64,
        /// The epoch.
        epoch: u64,
    },
    /// Open the feed: pushes follow on this connection if the answer is `Done`.
    Subscribe {
        /// The subscriber's address.
        ip: Ipv4Addr,
        /// Its zone.
        zone: String,
        /// Take it on, however many there are.
        urgent: bool,
        /// Newest value that it has.
        value: Ballot,
        /// Newest list that it has.
        list: ListVersion,
    },
    /// Reserve tokens for a try, synced before the answer.
    Reserve {
        /// The asker's epoch of the roster.
        epoch: u64,
        /// The program.
        program: String,
        /// The try and the most it generates.
        reservation: Reservation,
    },
    /// What a try has handed out.
    Settle {
        /// The asker's epoch of the roster.
        epoch: u64,
        /// The program.
        program: String,
        /// The try and what it handed out.
        reservation: Reservation,
    },
    /// The account again, without a change.
    ReadAccount {
        /// The asker's epoch of the roster.
        epoch: u64,
        /// The program.
        program: String,
    },
    /// Keep a turn, synced before the answer.
    StoreTurn {
        /// The asker's epoch of the roster.
        epoch: u64,
        /// The turn.
        turn: Turn,
    },
    /// The inputs and outputs of a turn and those before it.
    ReadChain {
        /// The asker's epoch of the roster.
        epoch: u64,
        /// The turn's `Attempt-Id`.
        attempt: String,
    },
    /// A storage machine asks another for what it should hold under `epoch`, from `cursor` on.
    Backfill {
        /// The epoch of the roster that the asker fills for.
        epoch: u64,
        /// The asker's disk.
        disk: u64,
        /// Where to go on; empty at the start.
        cursor: Bytes,
    },
    /// The asker of `Fill` has synced all that it got.
    BackfillDone {
        /// The epoch.
        epoch: u64,
        /// Its disk.
        disk: u64,
    },
    /// Staff ask for a process's own view, as JSON.
    Inspect {
        /// What about: `members`, `config`, `endpoints`, `turns`, `figures` or another topic that the program knows.
        topic: String,
    },
}

/// What a call is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// From an acceptor.
    Register(RegisterReply),
    /// It is done.
    Done,
    /// The asked one cannot do it now.
    NotReady,
    /// Ask one of these.
    Redirect(Vec<SocketAddrV4>),
    /// The asked one knows this epoch of the roster, and the asker's is another.
    WrongEpoch(u64),
    /// All reservations of an account.
    Account(Vec<Reservation>),
    /// Part of a chain that ends with the asked turn.
    Chain {
        /// Inputs and outputs, oldest first.
        text: Bytes,
        /// The turn before these, where it is not held here.
        missing: Option<String>,
    },
    /// No such turn here. `complete`: this machine holds all that it should.
    Absent {
        /// Whether this machine holds all that it should.
        complete: bool,
    },
    /// Records that the asker should hold.
    Records {
        /// Turns.
        turns: Vec<Turn>,
        /// Accounts.
        accounts: Vec<(String, Vec<Reservation>)>,
        /// Where to go on, if there is more.
        cursor: Option<Bytes>,
    },
    /// A view for staff, as JSON.
    View(String),
}

/// What the feed pushes to a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub enum Push {
    /// The link lives, and what it told is at most so old: a majority of the core had nothing newer then.
    Heartbeat {
        /// Age in milliseconds.
        age_ms: u32,
        /// How many proxies the feed's source knows.
        proxies: u32,
    },
    /// A newer value of the register.
    Value(ChosenValue),
    /// A newer list.
    List(EndpointList),
    /// Changes on top of the list with the stamp `base`.
    ListDelta {
        /// The list that this changes.
        base: ListVersion,
        /// The list that it makes.
        version: ListVersion,
        /// New or changed endpoints.
        upserted: Vec<Endpoint>,
        /// Instances that are gone.
        removed: Vec<String>,
    },
}

/// Everything that travels between two processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// A call under a number of the caller's.
    Call(u64, Call),
    /// The answer to the call of that number.
    Answer(u64, Answer),
    /// The feed.
    Push(Push),
}
