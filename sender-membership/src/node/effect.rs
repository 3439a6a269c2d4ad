//! What a node hands to its host: effects, log events, and counters.
use super::CommandError;
use crate::disk::Record;
use crate::failure_view::Health;
use crate::member_list::Change;
use std::net::SocketAddr;

/// What is to be done, in the order given: a record is on disk before what stands after it is carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write to disk.
    Persist(Record),
    /// Send, as a datagram or, if it has to come whole and in order, on a connection.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        bytes: Vec<u8>,
        /// Whether it needs a connection.
        connection: bool,
    },
    /// A line for the log.
    Notify(Notification),
    /// The disk took no record, and may again: try it, and tell what it holds by [`Node::reloaded`](super::Node::reloaded).
    Reload,
    /// This sender takes no part any more.
    Halt(Halt),
    /// The answer to an order.
    Answer(u64, Result<(), CommandError>),
}

/// Why a sender takes no part any more.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Halt {
    /// Another process runs on a copy of this folder, or ran and was known first.
    #[error(
        "another process has this folder's identity (incarnation {theirs}, and this is {own}): two run on copies of one folder"
    )]
    Copied {
        /// The incarnation that is agreed on.
        theirs: u32,
        /// This one's.
        own: u32,
    },
    /// It does not belong any more.
    #[error("this sender does not belong to the fleet any more: {0}")]
    Departed(&'static str),
}

/// A line for the log: what changed, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A member's health changed.
    Health {
        /// Its name.
        name: String,
        /// What was believed before.
        before: Health,
        /// What is believed now.
        now: Health,
        /// Its incarnation.
        incarnation: u32,
    },
    /// The member list has a new number.
    MemberList {
        /// The number before.
        before: u64,
        /// The number now.
        now: u64,
        /// What the step says; none where the whole record was taken over.
        change: Option<Change>,
    },
    /// This sender was held lost by others, and is back.
    Returned(u32),
    /// Founding waits.
    Waiting(String),
    /// A fleet of the same name, but another one, was heard.
    OtherFleet(SocketAddr),
    /// The voters' group that this one works in.
    Voter(Option<u32>),
}

/// What came and went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Frames sent.
    pub frames: u64,
    /// Bytes sent in both.
    pub bytes: u64,
    /// Packets taken in.
    pub received: u64,
    /// Dropped: of another fleet, of another version, damaged or unreadable.
    pub foreign: u64,
    /// Dropped, being of another version.
    pub versions: u64,
    /// Dropped, being damaged or unreadable.
    pub damaged: u64,
}
