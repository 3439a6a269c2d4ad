//! Limits on the size of the state. A command that would exceed a limit changes nothing.

/// The maximum length in bytes of a value and of the name of a lock, holder, counter or key.
pub const MAX_TEXT_BYTES: usize = 512;
/// The maximum number of held locks.
pub const MAX_LOCKS: usize = 100_000;
/// The maximum number of counters.
pub const MAX_COUNTERS: usize = 100_000;
/// The maximum number of keys over all groups.
pub const MAX_KEYS: usize = 100_000;
/// The longest hold of a lock in milliseconds: one day. A longer hold is rejected and not shortened, because the caller would
/// rely on the full duration.
pub const MAX_HOLD_MS: u64 = 24 * 60 * 60 * 1000;

/// Whether no text exceeds [`MAX_TEXT_BYTES`].
pub(crate) fn fit_text_limit(texts: &[&str]) -> bool {
    texts.iter().all(|text| text.len() <= MAX_TEXT_BYTES)
}
