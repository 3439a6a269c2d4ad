//! Intervals and timeouts of the controllers, in milliseconds, and related thresholds.

/// Interval between two polls of the platform's endpoint list.
pub const DISCOVERY_POLL_INTERVAL_MS: u64 = 1_000;
/// Duration above which the result of a poll is discarded: the polling node may have been suspended meanwhile.
pub const MAX_DISCOVERY_POLL_DURATION_MS: u64 = 3_000;
/// Time for which all polls have to return an empty endpoint list before it is accepted.
pub const EMPTY_LIST_CONFIRMATION_MS: u64 = 5_000;
/// Gap between two empty results above which [`EMPTY_LIST_CONFIRMATION_MS`] starts again.
pub const MAX_EMPTY_POLL_GAP_MS: u64 = 2_500;

/// Time without a response after which a lease holder loses its lease.
pub const LEASE_HOLDER_TIMEOUT_MS: u64 = 1_200;
/// Age of the last response up to which orders are forwarded to a node.
pub const PROPOSER_TIMEOUT_MS: u64 = 700;
/// Time for which no orders are forwarded to a node that did not answer one.
pub const FAILED_PROPOSER_PAUSE_MS: u64 = 1_000;
/// Delay before a voter acquires a vacant lease, per live voter of a higher rank.
pub const LEASE_RANK_DELAY_MS: u64 = 1_000;
/// Time without a response after which a voter is removed, if enough voters remain.
pub const VOTER_TIMEOUT_MS: u64 = 5_000;
/// As [`VOTER_TIMEOUT_MS`], once another control node has joined that may replace the voter.
pub const REPLACED_VOTER_TIMEOUT_MS: u64 = 2_000;
/// Number of voters at or below which no voter is removed.
pub const MIN_VOTERS: usize = 3;
/// Gap between two requests of a control node above which that node is assumed to have been suspended: the gap does not count
/// towards the time for which other nodes have been unresponsive.
pub const MAX_REQUEST_GAP_MS: u64 = 900;

/// Interval between two probe rounds of the storage nodes.
pub const PROBE_INTERVAL_MS: u64 = 1_000;
/// As [`PROBE_INTERVAL_MS`], while a storage node has missed its last probe.
pub const PROBE_RETRY_INTERVAL_MS: u64 = 250;
/// Gap between two probe rounds above which the counts of missed probes are reset.
pub const MAX_PROBE_GAP_MS: u64 = 2_200;
/// Number of consecutive missed probes from which a storage node counts as unresponsive.
pub const MIN_MISSED_PROBES: u32 = 2;
/// Time after which an unresponsive storage node is removed if another node has joined that may replace it.
pub const REPLACED_STORAGE_TIMEOUT_MS: u64 = 1_500;
/// Time after which an unresponsive storage node is removed without a replacement, if enough nodes remain.
pub const STORAGE_TIMEOUT_MS: u64 = 10_000;
/// As [`STORAGE_TIMEOUT_MS`], for a control node that has not run long enough to know which storage nodes joined recently.
pub const STORAGE_TIMEOUT_AFTER_START_MS: u64 = 5_000;
/// Time within which a node that joined and a node that left count as replacement and replaced, in either order.
pub const REPLACEMENT_WINDOW_MS: u64 = 30_000;
/// Time after the first storage node joined when a fleet with fewer nodes than its tolerance needs is bootstrapped anyway.
pub const BOOTSTRAP_WAIT_MS: u64 = 3_000;
/// Time after which an unresponsive storage node is removed if nothing can be written without it and the roster has fewer
/// nodes than its tolerance needs.
pub const BLOCKING_STORAGE_TIMEOUT_MS: u64 = 2_000;
/// Time after a control node first observed the voters for which they count as still being bootstrapped: a voter that is
/// added in that time replaces no other.
pub const BOOTSTRAP_SETTLE_MS: u64 = 3_000;
/// Time after which a backfill no longer waits for an unresponsive node of the next set.
pub const BACKFILL_MEMBER_TIMEOUT_MS: u64 = 1_500;
/// Age from which a backfill delays the removal of a node, so that it can complete first.
pub const MIN_BACKFILL_PROTECTED_MS: u64 = 1_000;
/// Age from which a backfill no longer delays the removal of a node.
pub const MAX_BACKFILL_PROTECTED_MS: u64 = 3_000;
