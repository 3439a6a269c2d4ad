//! All times of the duties, in milliseconds, and the counts that go with them.

/// Between two readings of the list.
pub const POLL_INTERVAL_MS: u64 = 1_000;
/// A reading that took longer is not taken: its asker may have slept over it.
pub const MAX_POLL_DURATION_MS: u64 = 3_000;
/// An empty list counts only after so long.
pub const EMPTY_LIST_CONFIRMATION_MS: u64 = 5_000;
/// Empty answers that are further apart than this begin anew.
pub const MAX_EMPTY_POLL_GAP_MS: u64 = 2_500;

/// A holder that did not answer for so long loses its duty.
pub const LEASE_HOLDER_TIMEOUT_MS: u64 = 1_200;
/// Each better-ranked live voter has so long to take a vacant duty first.
pub const LEASE_RANK_DELAY_MS: u64 = 1_000;
/// A voter that did not answer for so long is removed, where enough are left.
pub const VOTER_TIMEOUT_MS: u64 = 5_000;
/// And after this, once another joined that may replace it.
pub const REPLACED_VOTER_TIMEOUT_MS: u64 = 2_000;
/// The smallest set of voters that removal leaves.
pub const MIN_VOTERS: usize = 3;
/// A keeper that asked nobody for so long slept: nobody's silence counts for that time.
pub const MAX_REQUEST_GAP_MS: u64 = 900;

/// Between two looks at the storage machines.
pub const PROBE_INTERVAL_MS: u64 = 1_000;
/// The same while one of them is silent.
pub const PROBE_RETRY_INTERVAL_MS: u64 = 250;
/// After looks further apart than this, silence is counted anew.
pub const MAX_PROBE_GAP_MS: u64 = 2_200;
/// So many looks in a row have to be missed before silence counts.
pub const MIN_MISSED_PROBES: u32 = 2;
/// A storage machine that did not answer for so long is replaced by one that joined meanwhile.
pub const REPLACED_STORAGE_TIMEOUT_MS: u64 = 1_500;
/// And is given up without one after this, where enough are left.
pub const STORAGE_TIMEOUT_MS: u64 = 10_000;
/// The same for a keeper that has not been there long enough to know who came lately.
pub const STORAGE_TIMEOUT_AFTER_START_MS: u64 = 5_000;
/// A newcomer counts as a replacement for so long.
pub const REPLACEMENT_WINDOW_MS: u64 = 30_000;
/// With fewer machines than the tolerance asks for, a fleet is founded so long after the first one joined.
pub const BOOTSTRAP_WAIT_MS: u64 = 3_000;
/// Where fewer machines than the tolerance asks for are left, one without which nothing can be written is given up after
/// it did not answer for so long.
pub const BLOCKING_STORAGE_TIMEOUT_MS: u64 = 2_000;
/// Who comes within this time of the founding replaces nobody.
pub const BOOTSTRAP_SETTLE_MS: u64 = 3_000;
/// A member of the next set that does not answer is not waited for after this.
pub const BACKFILL_MEMBER_TIMEOUT_MS: u64 = 1_500;
/// A filling that has gone on for so long is let come to its end before another member is given up.
pub const MIN_BACKFILL_PROTECTED_MS: u64 = 1_000;
/// But only for so long in all.
pub const MAX_BACKFILL_PROTECTED_MS: u64 = 3_000;
