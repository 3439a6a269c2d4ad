//! The state that the register holds: configuration, leases and the set of storage nodes.

use crate::Roster;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A duty's fence: who has it, under which number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Rises with each hand-over.
    #[serde(rename = "number")]
    pub token: u64,
    /// The machine that has the duty.
    pub holder: Option<Ipv4Addr>,
}

/// A configuration that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CommittedVersion {
    /// Its number.
    pub version: u64,
    /// SHA-256 of its bytes as sent.
    pub digest: [u8; 32],
}

/// A configuration that was refused on top of a version that was not in force yet, and stays refused when it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RejectedConfig {
    /// The version that it goes by.
    pub expected: u64,
    /// What was sent.
    pub sent: CommittedVersion,
}

/// What the register holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlState {
    /// The configuration's bytes as the operator sent them; empty before the first.
    pub config: Bytes,
    /// Versions taken, oldest first; the last is in force.
    #[serde(rename = "taken")]
    pub committed: Vec<CommittedVersion>,
    /// Fences of duties, by duty.
    #[serde(rename = "fences")]
    pub leases: BTreeMap<String, Lease>,
    /// The storage machines.
    pub roster: Roster,
    /// The highest version that was taken and is not among `taken` any more; 0 while all are.
    #[serde(rename = "forgotten")]
    pub highest_pruned: u64,
    /// Refusals that must be remembered, oldest first.
    #[serde(rename = "refused")]
    pub rejected: Vec<RejectedConfig>,
}

impl ControlState {
    /// The number of the configuration in force, 0 before the first.
    pub fn version(&self) -> u64 {
        self.committed.last().map_or(0, |taken| taken.version)
    }
}
