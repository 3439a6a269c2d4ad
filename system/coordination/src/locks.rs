//! Locks with fencing tokens.
//!
//! All locks share one counter of grants, which never decreases. Each acquisition and renewal gets the next grant number, and a
//! new holder gets its grant number as its fencing token. The fencing tokens of a lock therefore increase even after a release,
//! and nothing needs to be stored for free locks.
//!
//! The state machine does not measure the duration of holds. A leader that finds a hold expired proposes the next holder together
//! with the grant that has expired. If the hold has been extended meanwhile, its grant differs and the command fails.

use crate::limits::{MAX_HOLD_MS, MAX_LOCKS, fit_text_limit};
use fleet_model::CoordinationOutcome;
use std::collections::BTreeMap;
use std::ops::Bound;

/// A held lock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lock {
    /// The name that the caller gave itself in its request.
    pub holder: String,
    /// Fencing token: the grant with which this holder acquired the lock. Renewals leave it unchanged.
    pub fence: u64,
    /// Duration of the hold in milliseconds, measured from the last grant. It is the longest duration that was granted under this
    /// fencing token: a holder that renews for a shorter time may miss the reply and continue to rely on the longer one.
    pub hold_ms: u64,
    /// Grant number of the last acquisition or renewal.
    pub grant: u64,
}

/// All held locks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Locks {
    held: BTreeMap<String, Lock>,
    names_by_grant: BTreeMap<u64, String>,
    last_grant: u64,
}

impl Locks {
    /// Restores the held locks. `None` if two locks have the same grant, a lock has a grant or a fencing token that was never
    /// issued, or a hold is too long.
    pub(crate) fn restore(held: BTreeMap<String, Lock>, last_grant: u64) -> Option<Self> {
        let is_consistent = held.values().all(|lock| {
            (1..=lock.grant).contains(&lock.fence) && lock.grant <= last_grant && lock.hold_ms <= MAX_HOLD_MS
        });
        let names_by_grant: BTreeMap<u64, String> =
            held.iter().map(|(name, lock)| (lock.grant, name.clone())).collect();
        (is_consistent && names_by_grant.len() == held.len()).then_some(Self {
            held,
            names_by_grant,
            last_grant,
        })
    }

    /// Grants the lock if it is free, if this holder has it already (the hold is extended), or if its current grant is
    /// `expired_grant`.
    pub(crate) fn acquire(
        &mut self,
        name: &str,
        holder: &str,
        hold_ms: u64,
        expired_grant: Option<u64>,
    ) -> CoordinationOutcome {
        if !fit_text_limit(&[name, holder]) {
            return CoordinationOutcome::LimitReached;
        }
        match self.held.get(name) {
            Some(lock) if lock.holder == holder => self.extend(name, hold_ms),
            Some(lock) if expired_grant != Some(lock.grant) => CoordinationOutcome::LockNotHeld,
            None if self.held.len() >= MAX_LOCKS => CoordinationOutcome::LimitReached,
            _ => self.grant_to_new_holder(name, holder, hold_ms),
        }
    }

    /// Extends the hold if the lock is still held by this holder with this fencing token.
    pub(crate) fn renew(
        &mut self,
        name: &str,
        holder: &str,
        fence: u64,
        hold_ms: u64,
    ) -> CoordinationOutcome {
        if !self.is_held_with_fence(name, holder, fence) {
            return CoordinationOutcome::LockNotHeld;
        }
        self.extend(name, hold_ms)
    }

    /// Frees the lock if it is held by this holder with this fencing token; otherwise nothing changes, and the outcome is the
    /// same, so that a caller can safely retry.
    pub(crate) fn release(&mut self, name: &str, holder: &str, fence: u64) -> CoordinationOutcome {
        if self.is_held_with_fence(name, holder, fence)
            && let Some(lock) = self.held.remove(name)
        {
            self.names_by_grant.remove(&lock.grant);
        }
        CoordinationOutcome::LockReleased
    }

    /// The lock with this name; `None` if it is free.
    pub(crate) fn get(&self, name: &str) -> Option<&Lock> {
        self.held.get(name)
    }

    /// The held locks in order of name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &Lock)> {
        self.held.iter().map(|(name, lock)| (name.as_str(), lock))
    }

    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    /// The current grants greater than `grant`, in ascending order.
    pub(crate) fn grants_after(&self, grant: u64) -> impl Iterator<Item = u64> {
        self.names_by_grant.range((Bound::Excluded(grant), Bound::Unbounded)).map(|(grant, _)| *grant)
    }

    /// Whether a lock is held under this grant; `false` once it was superseded.
    pub(crate) fn is_current_grant(&self, grant: u64) -> bool {
        self.names_by_grant.contains_key(&grant)
    }

    /// The last grant that was issued to any lock.
    pub(crate) fn last_grant(&self) -> u64 {
        self.last_grant
    }

    fn is_held_with_fence(&self, name: &str, holder: &str, fence: u64) -> bool {
        self.held.get(name).is_some_and(|lock| lock.holder == holder && lock.fence == fence)
    }

    /// The next grant number; `None` if the hold is too long or the numbers are exhausted.
    fn next_grant(&self, hold_ms: u64) -> Option<u64> {
        self.last_grant.checked_add(1).filter(|_| hold_ms <= MAX_HOLD_MS)
    }

    fn extend(&mut self, name: &str, hold_ms: u64) -> CoordinationOutcome {
        let Some(grant) = self.next_grant(hold_ms) else { return CoordinationOutcome::LimitReached };
        let Some(lock) = self.held.get_mut(name) else { return CoordinationOutcome::LockNotHeld };
        self.names_by_grant.remove(&lock.grant);
        self.names_by_grant.insert(grant, name.to_owned());
        self.last_grant = grant;
        lock.grant = grant;
        lock.hold_ms = lock.hold_ms.max(hold_ms);
        CoordinationOutcome::LockGranted { fence: lock.fence }
    }

    fn grant_to_new_holder(&mut self, name: &str, holder: &str, hold_ms: u64) -> CoordinationOutcome {
        let Some(grant) = self.next_grant(hold_ms) else { return CoordinationOutcome::LimitReached };
        let lock = Lock { holder: holder.to_owned(), fence: grant, hold_ms, grant };
        if let Some(replaced) = self.held.insert(name.to_owned(), lock) {
            self.names_by_grant.remove(&replaced.grant);
        }
        self.names_by_grant.insert(grant, name.to_owned());
        self.last_grant = grant;
        CoordinationOutcome::LockGranted { fence: grant }
    }
}
