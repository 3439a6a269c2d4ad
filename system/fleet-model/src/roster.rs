//! The set of storage nodes that replicate turns and accounts.

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A storage machine with its disk: one that lost its disk comes back as another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StorageNode {
    /// The machine's name.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Drawn when the disk's folder was made.
    pub disk: u64,
}

/// The storage machines that count.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Roster {
    /// Rises with every change.
    pub epoch: u64,
    /// Those that hold what was kept.
    pub current: Vec<StorageNode>,
    /// While a change is under way: those that are to hold it. They fill, and all writes go to both.
    pub next: Option<Vec<StorageNode>>,
    /// Those of `next` that have told they are full, by disk.
    #[serde(rename = "filled")]
    pub in_sync: Vec<u64>,
    /// Names of machines that are to be emptied, or were.
    pub retiring: Vec<String>,
}
