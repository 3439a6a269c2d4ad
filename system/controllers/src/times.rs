//! Intervals and time-outs of the controllers, in milliseconds, and the counts that go with them.

/// Interval between two polls of the platform's endpoint list.
pub const POLL_INTERVAL_MS: u64 = 1_000;
/// A poll that took longer than this is discarded: its caller may have been suspended meanwhile.
pub const MAX_POLL_DURATION_MS: u64 = 3_000;
/// An empty endpoint list is accepted only after polls have returned nothing else for this time.
pub const EMPTY_LIST_CONFIRMATION_MS: u64 = 5_000;
/// Empty results that are further apart than this start a new series.
pub const MAX_EMPTY_POLL_GAP_MS: u64 = 2_500;

/// A lease holder that has not responded for this time loses its lease.
pub const LEASE_HOLDER_TIMEOUT_MS: u64 = 1_200;
/// Orders are forwarded only to a node that has responded within this time.
pub const PROPOSER_TIMEOUT_MS: u64 = 700;
/// A node that did not answer a forwarded order is passed over for this time.
pub const FAILED_PROPOSER_PAUSE_MS: u64 = 1_000;
/// Delay before acquiring a vacant lease, for each live voter of a higher rank.
pub const LEASE_RANK_DELAY_MS: u64 = 1_000;
/// A voter that has not responded for this time is removed, if enough voters remain.
pub const VOTER_TIMEOUT_MS: u64 = 5_000;
/// The same once another control node has joined that may replace it.
pub const REPLACED_VOTER_TIMEOUT_MS: u64 = 2_000;
/// Number of voters below which none is removed.
pub const MIN_VOTERS: usize = 3;
/// A control node that has sent no request for longer than this was suspended: nobody's silence counts for that time.
pub const MAX_REQUEST_GAP_MS: u64 = 900;

/// Interval between two probe rounds of the storage nodes.
pub const PROBE_INTERVAL_MS: u64 = 1_000;
/// The same while a storage node is unresponsive.
pub const PROBE_RETRY_INTERVAL_MS: u64 = 250;
/// After probe rounds that are further apart than this, missed probes are counted anew.
pub const MAX_PROBE_GAP_MS: u64 = 2_200;
/// Number of consecutive probes that a storage node has to miss to count as unresponsive.
pub const MIN_MISSED_PROBES: u32 = 2;
/// Time after which an unresponsive storage node is removed if another one has joined that may replace it.
pub const REPLACED_STORAGE_TIMEOUT_MS: u64 = 1_500;
/// Time after which an unresponsive storage node is removed without a replacement, if enough nodes remain.
pub const STORAGE_TIMEOUT_MS: u64 = 10_000;
/// The same for a control node that has not run long enough to know which storage nodes joined recently.
pub const STORAGE_TIMEOUT_AFTER_START_MS: u64 = 5_000;
/// Time for which a node that joined counts as a replacement of one that left, and the reverse.
pub const REPLACEMENT_WINDOW_MS: u64 = 30_000;
/// A fleet with fewer storage nodes than its tolerance needs is bootstrapped this long after the first one joined.
pub const BOOTSTRAP_WAIT_MS: u64 = 3_000;
/// Time after which an unresponsive storage node is removed if nothing can be written without it and the roster has fewer
/// nodes than its tolerance needs.
pub const BLOCKING_STORAGE_TIMEOUT_MS: u64 = 2_000;
/// A node that joins within this time of the bootstrap replaces none.
pub const BOOTSTRAP_SETTLE_MS: u64 = 3_000;
/// An unresponsive node of the next set is not waited for after this time.
pub const BACKFILL_MEMBER_TIMEOUT_MS: u64 = 1_500;
/// Age from which a backfill is allowed to complete before another node is removed.
pub const MIN_BACKFILL_PROTECTED_MS: u64 = 1_000;
/// Age from which a backfill no longer delays the removal of a node.
pub const MAX_BACKFILL_PROTECTED_MS: u64 = 3_000;
