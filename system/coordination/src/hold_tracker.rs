//! Expiry of lock holds, measured on the monotonic clock of one process.

use crate::state::CoordinationState;
use std::collections::BTreeMap;

/// The minimum time in milliseconds that is added to a hold before it counts as expired, because the clocks of holder and leader
/// may run at different rates.
pub const MIN_CLOCK_RATE_ALLOWANCE_MS: u64 = 50;
/// A hold is extended by its duration divided by this number, if that exceeds [`MIN_CLOCK_RATE_ALLOWANCE_MS`].
pub const CLOCK_RATE_ALLOWANCE_DIVISOR: u64 = 100;
/// Superseded grants are pruned once the tracker has more than two grants for each held lock and this many on top. The slack
/// bounds how often the grants are scanned.
const MAX_STALE_GRANTS: usize = 64;

/// When a process first saw the current grant of each lock, on its own monotonic clock.
///
/// A process sees a grant when it applies it, which is after the caller sent the request. The caller measures its hold from the
/// time it sent the request, so it always gives up the lock before the hold expires here. The times are not persisted: after a
/// restart, a process sees all grants for the first time and waits for the full duration of each hold.
#[derive(Clone, Debug, Default)]
pub struct HoldTracker {
    /// By grant number.
    first_seen_ms: BTreeMap<u64, u64>,
    last_seen_grant: u64,
}

impl HoldTracker {
    /// Records the time of the grants that are new since the last call. Call it after each applied batch and after the state is
    /// restored. The cost is proportional to the number of new grants.
    pub fn observe(&mut self, state: &CoordinationState, now_ms: u64) {
        let locks = state.lock_table();
        if locks.last_grant() < self.last_seen_grant {
            // The state does not continue the last observed one, so the recorded times do not apply to it.
            *self = Self::default();
        }
        self.first_seen_ms.extend(locks.grants_after(self.last_seen_grant).map(|grant| (grant, now_ms)));
        self.last_seen_grant = locks.last_grant();
        if self.first_seen_ms.len() > 2 * locks.len() + MAX_STALE_GRANTS {
            self.first_seen_ms.retain(|grant, _| locks.is_current_grant(*grant));
        }
    }

    /// Whether the holder must have given up the lock by now. `false` for a lock that is free or has not been observed.
    pub fn is_expired(&self, lock: &str, state: &CoordinationState, now_ms: u64) -> bool {
        self.remaining_ms(lock, state, now_ms) == Some(0)
    }

    /// Milliseconds until the hold expires, 0 once it has; `None` if the lock is free or has not been observed.
    pub fn remaining_ms(&self, lock: &str, state: &CoordinationState, now_ms: u64) -> Option<u64> {
        let lock = state.lock(lock)?;
        let first_seen_ms = self.first_seen_ms.get(&lock.grant)?;
        let allowance_ms = MIN_CLOCK_RATE_ALLOWANCE_MS.max(lock.hold_ms / CLOCK_RATE_ALLOWANCE_DIVISOR);
        let hold_with_allowance_ms = lock.hold_ms.saturating_add(allowance_ms).saturating_add(1);
        Some(hold_with_allowance_ms.saturating_sub(now_ms.saturating_sub(*first_seen_ms)))
    }
}
