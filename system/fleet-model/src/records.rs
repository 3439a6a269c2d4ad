//! Records that storage nodes replicate: turns and reservations of token budgets.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A stored turn of a conversation. It is immutable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// `Attempt-Id` of the attempt that made the turn; its key.
    pub attempt: String,
    /// `Attempt-Id` of the turn that it continues.
    pub previous: Option<String>,
    /// The new input, as the client sent it.
    pub input: Bytes,
    /// The data of its output events, each followed by a line feed.
    pub output: Bytes,
    /// Retention time in milliseconds.
    pub retention_ms: u64,
    /// Identifiers of the disks that were to replicate it when it was written.
    #[serde(rename = "holders")]
    pub replicas: Vec<u64>,
}

/// One reservation of an account: the tokens that an attempt may have delivered, or has. Two records of one attempt merge
/// to the lower count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reservation {
    /// Hash of the attempt's `Attempt-Id`.
    pub attempt: u64,
    /// Number of tokens.
    pub tokens: u32,
}
