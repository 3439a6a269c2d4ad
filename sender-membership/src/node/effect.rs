//! What a node returns to its host: effects, log events and counters.
use super::CommandError;
use crate::disk::Record;
use crate::failure_view::Health;
use crate::member_list::Change;
use std::net::SocketAddr;

/// An action for the host. The host carries out effects in order: a record must be on disk before the effects after it.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append the record to the log on disk.
    Persist(Record),
    /// Send a packet as a datagram, or on a connection if it needs ordered delivery or is too large.
    Send {
        /// Address of the receiving peer.
        to: SocketAddr,
        /// The encoded packet.
        bytes: Vec<u8>,
        /// Whether to send it on a connection.
        connection: bool,
    },
    /// Write an event to the log of the program.
    Notify(Notification),
    /// Try the disk again after a failed write, and on success pass the stored state to
    /// [`Node::reloaded`](super::Node::reloaded).
    Reload,
    /// This sender stopped taking part in the fleet.
    Halt(Halt),
    /// The result of the command with this ID, as passed to [`Node::execute`](super::Node::execute).
    Answer(u64, Result<(), CommandError>),
}

/// Why a sender stopped taking part in the fleet.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Halt {
    /// Another process runs, or ran, on a copy of this folder and was agreed on first.
    #[error(
        "another process has this folder's identity (incarnation {theirs}, this process has {own}): two processes run on copies of one folder"
    )]
    Copied {
        /// The incarnation in the member list.
        theirs: u32,
        /// The incarnation of this process.
        own: u32,
    },
    /// This sender is a departed member, for the given reason.
    #[error("this sender is no longer a member of the fleet: {0}")]
    Departed(&'static str),
}

/// An event for the log of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A member's health changed.
    Health {
        /// The member's name, or its folder ID if the member list does not have it.
        name: String,
        /// Health reported before.
        before: Health,
        /// Health reported with this event.
        now: Health,
        /// The member's incarnation.
        incarnation: u32,
    },
    /// The member list has a new version.
    MemberList {
        /// Number of the previous version; 0 if there was none.
        before: u64,
        /// Number of the new version.
        now: u64,
        /// The change that was applied; `None` if a full list was adopted.
        change: Option<Change>,
    },
    /// Others declared this sender down, and it rejoined; with the number of times that this happened to the process.
    Returned(u32),
    /// The sender cannot join or found a fleet yet, for the given reason.
    Waiting(String),
    /// The peer at this address belongs to another fleet of the same name.
    OtherFleet(SocketAddr),
    /// The group in which this sender is now a voter; `None` if it is no longer a voter.
    Voter(Option<u32>),
}

/// Traffic counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Packets sent as datagrams.
    pub datagrams: u64,
    /// Packets sent as frames on connections.
    pub frames: u64,
    /// Bytes sent in datagrams and frames.
    pub bytes: u64,
    /// Packets received and accepted.
    pub received: u64,
    /// Packets dropped because they are from another fleet.
    pub foreign: u64,
    /// Packets dropped because of another protocol version.
    pub versions: u64,
    /// Packets dropped because they are damaged or cannot be decoded.
    pub damaged: u64,
}
