//! The state of the coordination service, and how a batch of commands changes it.

use crate::counters::Counters;
use crate::key_event::KeyEvent;
use crate::keys::{EventsPruned, GroupSummary, Keys};
use crate::locks::{Lock, Locks};
use crate::snapshot::{SnapshotError, decode, encode};
use fleet_model::{CoordinationBatch, CoordinationCommand, CoordinationOutcome, KeyRevision};

/// The state of the coordination service after it has applied the log up to some slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoordinationState {
    locks: Locks,
    counters: Counters,
    keys: Keys,
}

impl CoordinationState {
    pub(crate) fn new(locks: Locks, counters: Counters, keys: Keys) -> Self {
        Self { locks, counters, keys }
    }

    /// Advances the logical clock, then applies the commands of the batch in order. Returns one outcome for each command.
    pub fn apply(&mut self, batch: &CoordinationBatch) -> Vec<CoordinationOutcome> {
        self.keys.advance_clock(batch.elapsed_ms, batch.history_ms);
        batch.commands.iter().map(|command| self.apply_command(command)).collect()
    }

    fn apply_command(&mut self, command: &CoordinationCommand) -> CoordinationOutcome {
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

    /// Encodes the state; the first byte is [`crate::SNAPSHOT_FORMAT`]. Equal states have equal snapshots.
    pub fn snapshot(&self) -> Vec<u8> {
        encode(&self.locks, &self.counters, &self.keys)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// If the format version is unknown, or the bytes do not encode a consistent state.
    pub fn restore(bytes: &[u8]) -> Result<Self, SnapshotError> {
        decode(bytes)
    }

    /// The lock with this name; `None` if it is free. The hold may have expired, see [`crate::HoldTracker`].
    pub fn lock(&self, name: &str) -> Option<&Lock> {
        self.locks.get(name)
    }

    /// The held locks in order of name.
    pub fn locks(&self) -> impl Iterator<Item = (&str, &Lock)> {
        self.locks.iter()
    }

    /// The value of a key with its revision; `None` if nothing was stored under it.
    pub fn key(&self, key: &str) -> Option<KeyRevision> {
        self.keys.get(key).cloned()
    }

    /// The last revision of a group; 0 if nothing was stored in it.
    pub fn group_revision(&self, group: &str) -> u64 {
        self.keys.group_revision(group)
    }

    /// All events of a group after a revision, in ascending order and without gaps.
    ///
    /// # Errors
    ///
    /// If some of them have been pruned.
    pub fn events(&self, group: &str, after_revision: u64) -> Result<Vec<KeyEvent>, EventsPruned> {
        self.keys.events(group, after_revision)
    }

    /// The groups in order of name.
    pub fn groups(&self) -> impl Iterator<Item = (&str, GroupSummary)> {
        self.keys.groups()
    }

    /// The counters in order of name, each with the last number that it issued.
    pub fn counters(&self) -> impl Iterator<Item = (&str, u64)> {
        self.counters.iter()
    }

    /// The lock table, for [`crate::HoldTracker`].
    pub(crate) fn lock_table(&self) -> &Locks {
        &self.locks
    }
}
