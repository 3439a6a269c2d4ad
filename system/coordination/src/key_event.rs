//! Events of a watch.

use serde::{Deserialize, Serialize};

/// A value that was stored under a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyEvent {
    /// The key.
    #[serde(rename = "name")]
    pub key: String,
    /// The value.
    pub value: String,
    /// Its revision within the key's group.
    pub revision: u64,
}
