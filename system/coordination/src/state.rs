//! The whole state, and the order in which a batch changes it.

use crate::counters::Counters;
use crate::key_event::KeyEvent;
use crate::keys::{EventsPruned, GroupSummary, Keys};
use crate::locks::{Lock, Locks};
use crate::snapshot::{SnapshotError, decode, encode};
use fleet_model::{CoordinationBatch, CoordinationCommand, CoordinationOutcome, KeyRevision};

/// The state of the coordination service after some slots of its log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoordinationState {
    locks: Locks,
    counters: Counters,
    keys: Keys,
}

impl CoordinationState {
    /// Assembles a state that was restored.
    pub(crate) fn new(locks: Locks, counters: Counters, keys: Keys) -> Self {
        Self { locks, counters, keys }
    }

    /// Applies a batch. Returns the outcome of each command, in their order.
    pub fn apply(&mut self, batch: &CoordinationBatch) -> Vec<CoordinationOutcome> {
        self.keys.advance(batch.elapsed_ms, batch.history_ms);
        batch.commands.iter().map(|command| self.execute(command)).collect()
    }

    fn execute(&mut self, command: &CoordinationCommand) -> CoordinationOutcome {
        match command {
            CoordinationCommand::AcquireLock { lock, holder, hold_ms, expired_grant } => {
                self.locks.acquire(lock, holder, *hold_ms, *expired_grant)
            }
            CoordinationCommand::RenewLock { lock, holder, fence, hold_ms } => {
                self.locks.renew(lock, holder, *fence, *hold_ms)
            }
            CoordinationCommand::ReleaseLock { lock, holder, fence } => {
                self.locks.release(lock, holder, *fence)
            }
            CoordinationCommand::NextNumber { name } => self.counters.next(name),
            CoordinationCommand::PutKey { key, value, expected } => self.keys.put(key, value, *expected),
        }
    }

    /// The encoded state; its first byte is [`crate::SNAPSHOT_FORMAT`].
    pub fn snapshot(&self) -> Vec<u8> {
        encode(&self.locks, &self.counters, &self.keys)
    }

    /// Decodes a state.
    ///
    /// # Errors
    ///
    /// If the format is not known, or the bytes are not those of a state.
    pub fn restore(bytes: &[u8]) -> Result<Self, SnapshotError> {
        decode(bytes)
    }

    /// A held lock; `None` if it is free. Its hold may be expired.
    pub fn lock(&self, lock: &str) -> Option<&Lock> {
        self.locks.get(lock)
    }

    /// The held locks in the order of their names.
    pub fn locks(&self) -> impl Iterator<Item = (&str, &Lock)> {
        self.locks.iter()
    }

    /// The value of a key; `None` if it was never stored.
    pub fn key(&self, key: &str) -> Option<KeyRevision> {
        self.keys.get(key).cloned()
    }

    /// The last revision of a group, 0 if nothing was stored in it.
    pub fn group_revision(&self, group: &str) -> u64 {
        self.keys.group_revision(group)
    }

    /// All events of a group after a revision, rising and without gaps.
    ///
    /// # Errors
    ///
    /// If one of them is not retained any more.
    pub fn events(&self, group: &str, after: u64) -> Result<Vec<KeyEvent>, EventsPruned> {
        self.keys.events(group, after)
    }

    /// The groups in the order of their names.
    pub fn groups(&self) -> impl Iterator<Item = (&str, GroupSummary)> {
        self.keys.groups()
    }

    /// The counters in the order of their names, with the last number of each.
    pub fn counters(&self) -> impl Iterator<Item = (&str, u64)> {
        self.counters.iter()
    }

    /// All locks, for [`crate::HoldTracker`].
    pub(crate) fn all_locks(&self) -> &Locks {
        &self.locks
    }
}
