//! The state that the register holds: configuration, leases and the set of storage nodes.

use crate::Roster;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// The lease of a singleton role: its holder and the fencing token under which it is held.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Fencing token; it increases with each change of the holder.
    #[serde(rename = "number")]
    pub token: u64,
    /// Address of the control node that holds the role; `None` before the first acquisition.
    pub holder: Option<Ipv4Addr>,
}

/// Identity of a committed configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CommittedVersion {
    /// Version number that the operator gave it.
    pub version: u64,
    /// SHA-256 digest of its bytes as sent.
    pub digest: [u8; 32],
}

/// A configuration that was rejected because its expected version was above the current one. It stays rejected when that
/// version is committed, so that a delayed copy of the same request cannot succeed later.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RejectedConfig {
    /// The version that the operator expected to be current.
    pub expected: u64,
    /// Version and digest of the rejected configuration.
    pub sent: CommittedVersion,
}

/// The replicated control state: the decoded payload of the register's value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlState {
    /// Bytes of the current configuration as the operator sent them; empty before the first one.
    pub config: Bytes,
    /// Committed versions, oldest first; the last one is current. Old ones are pruned.
    #[serde(rename = "taken")]
    pub committed: Vec<CommittedVersion>,
    /// Leases by the name of their singleton role.
    #[serde(rename = "fences")]
    pub leases: BTreeMap<String, Lease>,
    /// The set of storage nodes.
    pub roster: Roster,
    /// The highest committed version that was pruned from `committed`; 0 while none was.
    #[serde(rename = "forgotten")]
    pub highest_pruned: u64,
    /// Rejections that must be remembered, oldest first.
    #[serde(rename = "refused")]
    pub rejected: Vec<RejectedConfig>,
}

/// Beginning of the names under which `leases` keeps the first members of the coordination log: the holder is the member's address
/// and the token its replica.
pub const COORDINATION_FOUNDER_PREFIX: &str = "coordination/";

impl ControlState {
    /// The holders of singleton roles.
    pub fn lease_holders(&self) -> impl Iterator<Item = Ipv4Addr> {
        let leases = self.leases.iter().filter(|(name, _)| !name.starts_with(COORDINATION_FOUNDER_PREFIX));
        leases.filter_map(|(_, lease)| lease.holder)
    }

    /// Version of the current configuration; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.committed.last().map_or(0, |current| current.version)
    }
}
