//! How long a process has seen each lock held.

use crate::state::CoordinationState;
use std::collections::BTreeMap;

/// The least time in milliseconds that a hold is given beyond its duration, for clocks that run at other rates.
pub const MIN_CLOCK_RATE_ALLOWANCE_MS: u64 = 50;
/// The part of its duration that a hold is given beyond it, if that is more: one in this number.
pub const RELATIVE_CLOCK_RATE_ALLOWANCE: u64 = 100;
/// How many past grants are kept at most beside as many as there are locks; this bounds how often they are searched.
const MAX_SPARE_GRANTS: usize = 64;

/// When a process first saw the current grant of each lock, on its own steady clock.
///
/// A grant is seen at the earliest when it is applied, which is after its caller sent for it. The caller counts its hold from
/// the sending, so it always stops before the hold is expired here. This is volatile: a process that starts sees all grants
/// anew and waits the whole of each hold.
#[derive(Clone, Debug, Default)]
pub struct HoldTracker {
    seen_ms: BTreeMap<u64, u64>,
    last_grant: u64,
}

impl HoldTracker {
    /// Notes the grants that are new since the last call. It is called after each batch is applied and after a state is
    /// restored; its cost is that of what changed.
    pub fn observe(&mut self, state: &CoordinationState, now_ms: u64) {
        let locks = state.all_locks();
        if locks.last_grant() < self.last_grant {
            // The state is not a successor of the one seen before.
            *self = Self::default();
        }
        self.seen_ms.extend(locks.grants_after(self.last_grant).map(|grant| (grant, now_ms)));
        self.last_grant = locks.last_grant();
        if self.seen_ms.len() > 2 * locks.len() + MAX_SPARE_GRANTS {
            self.seen_ms.retain(|grant, _| locks.is_current(*grant));
        }
    }

    /// Whether the holder has surely stopped counting on the lock. A lock that is free or was never seen is not expired.
    pub fn is_expired(&self, lock: &str, state: &CoordinationState, now_ms: u64) -> bool {
        self.remaining_ms(lock, state, now_ms) == Some(0)
    }

    /// The time in milliseconds until the lock is expired, 0 if it is; `None` if it is free or was never seen.
    pub fn remaining_ms(&self, lock: &str, state: &CoordinationState, now_ms: u64) -> Option<u64> {
        let lock = state.lock(lock)?;
        let seen_ms = self.seen_ms.get(&lock.grant)?;
        let allowance_ms = MIN_CLOCK_RATE_ALLOWANCE_MS.max(lock.hold_ms / RELATIVE_CLOCK_RATE_ALLOWANCE);
        let expired_after_ms = lock.hold_ms.saturating_add(allowance_ms).saturating_add(1);
        Some(expired_after_ms.saturating_sub(now_ms.saturating_sub(*seen_ms)))
    }
}
