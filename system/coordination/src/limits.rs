//! Limits on what the state holds; a command that would exceed one changes nothing.

/// The longest name of a lock, holder, counter or key, and the longest value, in bytes.
pub const MAX_TEXT_BYTES: usize = 512;
/// The largest number of held locks.
pub const MAX_LOCKS: usize = 100_000;
/// The largest number of counters.
pub const MAX_COUNTERS: usize = 100_000;
/// The largest number of keys in all groups together.
pub const MAX_KEYS: usize = 100_000;
/// The longest hold of a lock in milliseconds: a day. A longer one is rejected, not shortened, because its caller would count
/// on all of it.
pub const MAX_HOLD_MS: u64 = 24 * 60 * 60 * 1000;

/// Whether each of the texts is short enough.
pub(crate) fn are_within_limit(texts: &[&str]) -> bool {
    texts.iter().all(|text| text.len() <= MAX_TEXT_BYTES)
}
