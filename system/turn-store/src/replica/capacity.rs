//! The capacity that a storage node's disk has left.

/// How much capacity a storage node's disk has left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskCapacity {
    /// There is enough for all writes.
    #[default]
    Ample,
    /// What is left is reserved for programs that have an account: reservations of others are rejected.
    Scarce,
    /// New turns are rejected too.
    Full,
}

/// Space that the engine may need beside its tables: a full journal, and the next one at its allocated length.
const JOURNALS_BYTES: u64 = 2 * (64 << 20);

impl DiskCapacity {
    /// The capacity left with `table_bytes` in tables and `limit_bytes` for the whole data directory, of which 0 means no
    /// limit. It is scarce from 90 % and full from 97 % of what the journals leave to the tables.
    pub fn from_usage(table_bytes: u64, limit_bytes: u64) -> Self {
        let table_limit_bytes = limit_bytes.saturating_sub(JOURNALS_BYTES).max(limit_bytes / 2);
        match table_bytes {
            _ if limit_bytes == 0 => Self::Ample,
            _ if table_bytes < table_limit_bytes / 100 * 90 => Self::Ample,
            _ if table_bytes < table_limit_bytes / 100 * 97 => Self::Scarce,
            _ => Self::Full,
        }
    }
}
