//! The capacity that a storage node's disk has left.

/// How much room a store's disk has for more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskCapacity {
    /// Enough.
    #[default]
    Ample,
    /// It is kept for programs that have begun: no reservation of another is taken.
    Scarce,
    /// No further turn is taken.
    Full,
}

/// What the engine may need at once beside its tables: a journal that is full, and the next one at its whole length.
const JOURNALS_BYTES: u64 = 2 * (64 << 20);

impl DiskCapacity {
    /// With `table_bytes` in tables on a disk of `limit_bytes`; 0 is a disk without a limit.
    pub fn from_usage(table_bytes: u64, limit_bytes: u64) -> Self {
        let capacity = limit_bytes.saturating_sub(JOURNALS_BYTES).max(limit_bytes / 2);
        match table_bytes {
            _ if limit_bytes == 0 => Self::Ample,
            _ if table_bytes < capacity / 100 * 90 => Self::Ample,
            _ if table_bytes < capacity / 100 * 97 => Self::Scarce,
            _ => Self::Full,
        }
    }
}
