//! The set of storage nodes that replicate turns and accounts.

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A storage node, identified by its disk: a node that lost its disk returns as another one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StorageNode {
    /// Name of the machine.
    pub name: String,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// Zone (failure domain) of the machine.
    pub zone: String,
    /// Random identifier that was generated when the data directory was created.
    pub disk: u64,
}

/// The replicated membership of storage nodes, with a change under way if there is one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Roster {
    /// Increases with every change of the membership.
    pub epoch: u64,
    /// The nodes that store all acknowledged records.
    pub current: Vec<StorageNode>,
    /// The next membership while a change is under way: its nodes backfill, and writes go to both sets.
    pub next: Option<Vec<StorageNode>>,
    /// Disks of the nodes of `next` that have reported to be in sync.
    #[serde(rename = "filled")]
    pub in_sync: Vec<u64>,
    /// Names of machines that are being retired, or were.
    pub retiring: Vec<String>,
}
