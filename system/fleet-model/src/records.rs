//! Records that storage nodes replicate: turns and reservations of token budgets.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A kept turn, written once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Its `Attempt-Id`.
    pub attempt: String,
    /// The turn it continues from.
    pub previous: Option<String>,
    /// The new input, as the client sent it.
    pub input: Bytes,
    /// The data of its events, each with a line feed after it.
    pub output: Bytes,
    /// How long it is held, in milliseconds.
    pub retention_ms: u64,
    /// The disks on which it was to be kept when it was written.
    #[serde(rename = "holders")]
    pub replicas: Vec<u64>,
}

/// One reservation of an account: the tokens that a try may have handed out, or did. Two records of one try merge to
/// the lower count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reservation {
    /// The try: a hash of its `Attempt-Id`.
    pub attempt: u64,
    /// Tokens.
    pub tokens: u32,
}
