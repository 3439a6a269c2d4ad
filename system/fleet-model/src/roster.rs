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
    /// Machines that joined or left recently. It is encoded apart from the other fields, and only if it is not empty.
    #[serde(skip)]
    pub turnover: Turnover,
}

/// Machines that joined the roster or left it unasked, until their replacement is settled or no longer expected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Turnover {
    /// Names of machines that joined and replace none yet. A machine of the fleet's first start is none of them.
    pub joined: Vec<String>,
    /// Machines that were removed because they did not respond.
    pub departed: Vec<Departure>,
}

impl Turnover {
    /// Whether it has no machine.
    pub fn is_empty(&self) -> bool {
        self.joined.is_empty() && self.departed.is_empty()
    }
}

/// A machine that was removed because it did not respond.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Departure {
    /// Its name.
    pub machine: String,
    /// Name of the machine that replaced it, if one has.
    pub replaced_by: Option<String>,
}
