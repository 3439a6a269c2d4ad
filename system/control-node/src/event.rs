//! Changes of state that a control node tells of.

use config_register::AcceptorRecord;
use controllers::LossTolerance;
use fleet_model::{AcceptedValue, ChosenValue, ControlState, StorageNode};
use std::fmt;
use std::net::Ipv4Addr;

/// How many losses of storage nodes are to be borne, and how many are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StorageLosses {
    /// As the settings have it.
    pub to_bear: usize,
    /// As the current set allows.
    pub borne: LossTolerance,
}

/// A change of a control node's state. Shown, it is a line for the log.
#[derive(Debug)]
pub enum ControlEvent<'a> {
    /// A value is known to be chosen, maybe not for the first time.
    Chosen(&'a AcceptedValue),
    /// It goes by a newer value now.
    Adopted {
        /// The value.
        value: &'a ChosenValue,
        /// The same, read.
        state: &'a ControlState,
        /// The one before.
        before: &'a ControlState,
        /// Whether the configuration or the voters are others than before.
        is_changed: bool,
    },
    /// The register holds a value that cannot be read.
    Unreadable(&'a str),
    /// This life of the node holds the lease of a singleton task.
    LeaseAcquired {
        /// The task.
        task: &'static str,
        /// The lease's fencing token.
        token: u64,
    },
    /// The platform's list could not be read.
    DiscoveryFailed(&'a str),
    /// A storage node is to be evicted.
    Evicts {
        /// Which.
        store: &'a StorageNode,
        /// For how long it has been silent, in milliseconds.
        silent_ms: u64,
    },
    /// The storage nodes bear more or fewer losses than before.
    StorageLosses(StorageLosses),
    /// A voter is to be removed.
    RemovesVoter {
        /// Which.
        voter: Ipv4Addr,
        /// For how long it has been silent, in milliseconds.
        silent_ms: u64,
    },
    /// A replica that had lost its state may vote again.
    Recovered(&'a AcceptorRecord),
    /// The disk refuses writes from now on: the node does not vote.
    DiskRefuses(&'a str),
    /// The disk takes writes again: the node votes.
    DiskAccepts,
}

impl fmt::Display for ControlEvent<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Chosen(value) => write!(f, "chosen: ballot {:?}", value.ballot),
            Self::Adopted { value, state, .. } => {
                write!(f, "configuration {}, voters {:?}", state.version(), value.voters)
            }
            Self::Unreadable(why) => write!(f, "the register holds what cannot be read: {why}"),
            Self::LeaseAcquired { task, token } => write!(f, "holds the duty {task} under fence {token}"),
            Self::DiscoveryFailed(why) => write!(f, "the list: {why}"),
            Self::Evicts { store, silent_ms } => {
                write!(f, "{} is given up: silent for {silent_ms} ms", store.name)
            }
            Self::StorageLosses(StorageLosses { to_bear, borne }) => write!(
                f,
                "the storage machines now go on without {} and keep all through the loss of {}, of {to_bear} asked for",
                borne.served, borne.survived
            ),
            Self::RemovesVoter { voter, silent_ms } => {
                write!(f, "voter {voter} is removed: silent for {silent_ms} ms")
            }
            Self::Recovered(record) => {
                write!(
                    f,
                    "restored under round {}: voter_state {:?}",
                    record.promised.round, record.voter_state
                )
            }
            Self::DiskRefuses(why) => write!(f, "the disk refuses the acceptor's record, no vote: {why}"),
            Self::DiskAccepts => write!(f, "the disk takes the acceptor's record again"),
        }
    }
}
