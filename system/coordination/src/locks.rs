//! Locks with fencing tokens.
//!
//! One count of grants serves all locks and never falls: each acquisition and renewal takes its next number, and a new holder
//! gets that number as its fencing token. Fencing tokens therefore rise over the release of a lock, and nothing is kept of
//! locks that are free.
//!
//! Time has no part in this. A leader that finds a hold expired names the grant that it saw when it proposes another holder;
//! if the hold was extended since, the grant differs and the proposal fails.

use crate::limits::{MAX_HOLD_MS, MAX_LOCKS, are_within_limit};
use fleet_model::CoordinationOutcome;
use std::collections::BTreeMap;
use std::ops::Bound;

/// A held lock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lock {
    /// Name of the holder.
    pub holder: String,
    /// Fencing token of the hold.
    pub fence: u64,
    /// Duration of the hold in milliseconds, from its last grant on: the longest that was granted under this fencing token. A
    /// holder that asks for less may miss the answer and go on counting on the longer one.
    pub hold_ms: u64,
    /// Number of the last acquisition or renewal.
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
    /// Locks and the last grant; `None` if two locks have the same grant, or one a grant or fencing token that was not given.
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

    /// Grants the lock to the holder if it is free, already held by it, or held under the expired grant.
    pub(crate) fn acquire(
        &mut self,
        name: &str,
        holder: &str,
        hold_ms: u64,
        expired_grant: Option<u64>,
    ) -> CoordinationOutcome {
        if !are_within_limit(&[name, holder]) {
            return CoordinationOutcome::LimitReached;
        }
        match self.held.get(name) {
            Some(lock) if lock.holder == holder => self.extend(name, hold_ms),
            Some(lock) if expired_grant != Some(lock.grant) => CoordinationOutcome::LockNotHeld,
            None if self.held.len() >= MAX_LOCKS => CoordinationOutcome::LimitReached,
            _ => self.grant_anew(name, holder, hold_ms),
        }
    }

    /// Extends a hold if it was not lost.
    pub(crate) fn renew(
        &mut self,
        name: &str,
        holder: &str,
        fence: u64,
        hold_ms: u64,
    ) -> CoordinationOutcome {
        if !self.is_held_under(name, holder, fence) {
            return CoordinationOutcome::LockNotHeld;
        }
        self.extend(name, hold_ms)
    }

    /// Frees the lock if it is held by this holder under this fencing token.
    pub(crate) fn release(&mut self, name: &str, holder: &str, fence: u64) -> CoordinationOutcome {
        if self.is_held_under(name, holder, fence)
            && let Some(lock) = self.held.remove(name)
        {
            self.names_by_grant.remove(&lock.grant);
        }
        CoordinationOutcome::LockReleased
    }

    /// A held lock.
    pub(crate) fn get(&self, name: &str) -> Option<&Lock> {
        self.held.get(name)
    }

    /// The held locks in the order of their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &Lock)> {
        self.held.iter().map(|(name, lock)| (name.as_str(), lock))
    }

    /// The number of held locks.
    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    /// The current grants above one, rising.
    pub(crate) fn grants_after(&self, grant: u64) -> impl Iterator<Item = u64> {
        self.names_by_grant.range((Bound::Excluded(grant), Bound::Unbounded)).map(|(grant, _)| *grant)
    }

    /// Whether this is the current grant of a lock.
    pub(crate) fn is_current(&self, grant: u64) -> bool {
        self.names_by_grant.contains_key(&grant)
    }

    /// The last grant of any lock.
    pub(crate) fn last_grant(&self) -> u64 {
        self.last_grant
    }

    fn is_held_under(&self, name: &str, holder: &str, fence: u64) -> bool {
        self.held.get(name).is_some_and(|lock| lock.holder == holder && lock.fence == fence)
    }

    /// The next grant, if a hold of this duration is allowed.
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

    fn grant_anew(&mut self, name: &str, holder: &str, hold_ms: u64) -> CoordinationOutcome {
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
