//! Events that a control node reports to its host, and their log messages.

use config_register::AcceptorRecord;
use controllers::LossTolerance;
use fleet_model::{AcceptedValue, Ballot, ChosenValue, ControlState, StorageNode};
use std::fmt;
use std::net::Ipv4Addr;

/// The number of storage node losses that are configured to be tolerated, and the number that can be tolerated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StorageLosses {
    /// The number of losses to tolerate, from the program's settings.
    pub configured: usize,
    /// The losses that the current members can tolerate.
    pub tolerated: LossTolerance,
}

/// An event at a control node. Its `Display` form is the log message.
#[derive(Debug)]
pub enum ControlEvent<'a> {
    /// A value is known to be chosen. The event may repeat for the same value.
    Chosen(&'a AcceptedValue),
    /// The node has adopted a newer value.
    Adopted {
        /// The adopted value, with its ballot and voters.
        value: &'a ChosenValue,
        /// The state decoded from it.
        state: &'a ControlState,
        /// The state before the adoption.
        before: &'a ControlState,
        /// Whether the configuration or the voters differ from the previous ones.
        is_changed: bool,
    },
    /// The register contains a value that cannot be decoded.
    UndecodableValue(&'a str),
    /// This incarnation of the node has acquired the lease of a singleton task.
    LeaseAcquired {
        /// The name of the task's lease in the register.
        task: &'static str,
        /// The lease's fencing token.
        token: u64,
    },
    /// The platform's endpoint list could not be read.
    DiscoveryFailed(&'a str),
    /// An unresponsive storage node is about to be removed from the members.
    EvictingStorageNode {
        /// The node that is removed, as listed in the roster.
        node: &'a StorageNode,
        /// How long it has been unresponsive, in milliseconds.
        unresponsive_ms: u64,
    },
    /// The number of storage node losses that can be tolerated has changed.
    StorageLosses(StorageLosses),
    /// An unresponsive voter is about to be removed.
    RemovingVoter {
        /// The address of the voter that is removed.
        voter: Ipv4Addr,
        /// How long it has been unresponsive, in milliseconds.
        unresponsive_ms: u64,
    },
    /// The node has recovered its lost record from its peers and may vote again.
    Recovered(&'a AcceptorRecord),
    /// The register's initial value is sent to a seed without a record, because nothing was ever chosen.
    SeedFounded(Ipv4Addr),
    /// This node has become the leader of the coordination log.
    LeadsCoordination {
        /// The ballot under which it leads.
        ballot: Ballot,
    },
    /// Writes of the acceptor's record have begun to fail: the node does not vote.
    DiskFailing(&'a str),
    /// Writes of the acceptor's record succeed again: the node votes.
    DiskRecovered,
}

impl fmt::Display for ControlEvent<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Chosen(value) => write!(f, "value chosen: ballot {:?}", value.ballot),
            Self::Adopted { value, state, .. } => {
                write!(f, "configuration {} adopted, voters {:?}", state.version(), value.voters)
            }
            Self::UndecodableValue(error) => write!(f, "undecodable value in the register: {error}"),
            Self::LeaseAcquired { task, token } => write!(f, "lease acquired: task {task}, token {token}"),
            Self::DiscoveryFailed(error) => write!(f, "endpoint discovery failed: {error}"),
            Self::EvictingStorageNode { node, unresponsive_ms } => {
                write!(f, "evicting storage node {}: unresponsive for {unresponsive_ms} ms", node.name)
            }
            Self::StorageLosses(StorageLosses { configured, tolerated }) => write!(
                f,
                "storage loss tolerance changed: available without {}, no data lost without {}, configured {configured}",
                tolerated.losses_served, tolerated.losses_survived
            ),
            Self::RemovingVoter { voter, unresponsive_ms } => {
                write!(f, "removing voter {voter}: unresponsive for {unresponsive_ms} ms")
            }
            Self::Recovered(record) => {
                write!(
                    f,
                    "replica recovered: round {}, state {:?}",
                    record.promised.round, record.voter_state
                )
            }
            Self::SeedFounded(seed) => {
                write!(f, "founding seed {seed}: it has no record, and nothing was ever chosen")
            }
            Self::LeadsCoordination { ballot } => {
                write!(f, "leading the coordination log: round {}", ballot.round)
            }
            Self::DiskFailing(error) => write!(f, "disk refuses the acceptor's record, not voting: {error}"),
            Self::DiskRecovered => write!(f, "disk accepts the acceptor's record again"),
        }
    }
}
