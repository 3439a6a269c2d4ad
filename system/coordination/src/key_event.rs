//! The change events that a watch of a key group delivers.

use serde::{Deserialize, Serialize};

/// A change of a key: the value that was stored.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyEvent {
    /// The full name of the key, including its group.
    #[serde(rename = "name")]
    pub key: String,
    /// The value after the change.
    pub value: String,
    /// The revision that the change has within the key's group.
    pub revision: u64,
}
