//! The state machine of a storage node's replica, without I/O and clock: membership, dispatch of calls, expiry.
//!
//! Its concerns are in the submodules: [`accounts`], [`turns`], [`backfill`] and [`capacity`].

mod accounts;
mod backfill;
mod capacity;
mod outcome;
mod turns;

pub use capacity::DiskCapacity;
pub use outcome::{Durability, Outcome};

use crate::disk::Write;
use crate::payload::Payloads;
use crate::records::{BackfillRecord, Stored, turn_removal};
use accounts::Accounts;
use fleet_model::{Answer, Call, Roster, StorageNode};
use std::collections::{BTreeMap, BTreeSet};
use turns::Entry;

/// Longest `Attempt-Id` and program name, in bytes.
const MAX_NAME_BYTES: usize = 4096;

/// Amounts of records that a replica stores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordCounts {
    /// Turns.
    pub turns: usize,
    /// Accounts of programs.
    pub accounts: usize,
    /// Estimated memory of the accounts, in bytes.
    pub account_bytes: u64,
    /// Bytes of the turns' inputs and outputs.
    pub turn_bytes: u64,
}

/// The state of a replica: the turns and accounts that it stores, and its position in the roster.
///
/// It relies on the control plane for this: a set of storage nodes becomes `current` only when each of them has reported,
/// for the epoch under which it was `next`, that it is in sync; and the roster's `in_sync` is cleared whenever `next`
/// changes.
#[derive(Debug)]
pub struct ReplicaState {
    disk: u64,
    losses: usize,
    roster: Roster,
    backfill: BackfillRecord,
    capacity: DiskCapacity,
    turns: BTreeMap<Box<str>, Entry>,
    accounts: Accounts,
}

impl ReplicaState {
    /// A replica with the records of its disk, all of them with their retention renewed. `losses` is the number of storage
    /// nodes whose simultaneous loss is tolerated.
    pub fn new(now_ms: u64, disk: u64, losses: usize, stored: Stored) -> Self {
        let mut state = Self {
            disk,
            losses,
            roster: Roster::default(),
            backfill: stored.backfill,
            capacity: DiskCapacity::default(),
            turns: BTreeMap::new(),
            accounts: Accounts::new(stored.account_retention_ms),
        };
        for turn in stored.turns {
            state.insert(now_ms, turn);
        }
        for (program, reservation) in stored.accounts {
            state.accounts.restore(now_ms, &program, reservation);
        }
        state
    }

    /// The number of its disk.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// The epoch of its roster.
    pub fn epoch(&self) -> u64 {
        self.roster.epoch
    }

    /// The amounts of records that it stores.
    pub fn counts(&self) -> RecordCounts {
        RecordCounts {
            turns: self.turns.len(),
            accounts: self.accounts.len(),
            account_bytes: self.accounts.bytes() as u64,
            turn_bytes: self.turns.values().map(|turn| u64::from(turn.length)).sum(),
        }
    }

    /// Adopts a newer roster; an older one is ignored. The returned writes need not be synced.
    pub fn set_roster(&mut self, roster: &Roster) -> Vec<Write> {
        if roster.epoch <= self.roster.epoch {
            return Vec::new();
        }
        let before = self.backfill.clone();
        let next = roster.next.as_deref().map(disks);
        if next.is_some()
            && roster.epoch == self.roster.epoch + 1
            && next == self.roster.next.as_deref().map(disks)
        {
            // The same change continues, with no epoch in between: what was in sync for it still is.
            for (epoch, set) in &mut self.backfill.in_sync {
                if *epoch == self.roster.epoch && Some(&*set) == next.as_ref() {
                    *epoch = roster.epoch;
                }
            }
        }
        self.roster = roster.clone();
        let current = disks(&roster.current);
        let is_reported = roster.in_sync.contains(&self.disk);
        self.backfill.in_sync.retain(|(epoch, set)| {
            *set == current || (Some(set) == next.as_ref() && (*epoch == roster.epoch || is_reported))
        });
        if self.backfill == before { Vec::new() } else { vec![self.backfill.write()] }
    }

    /// Sets the disk's capacity; returns whether it has changed.
    pub fn set_capacity(&mut self, capacity: DiskCapacity) -> bool {
        std::mem::replace(&mut self.capacity, capacity) != capacity
    }

    /// The disk's capacity.
    pub fn capacity(&self) -> DiskCapacity {
        self.capacity
    }

    fn in_current(&self) -> bool {
        contains(&self.roster.current, self.disk)
    }

    fn in_next(&self) -> bool {
        self.roster.next.as_ref().is_some_and(|next| contains(next, self.disk))
    }

    fn is_in_sync_for(&self, stores: &[StorageNode]) -> bool {
        let set = disks(stores);
        self.backfill.in_sync.iter().any(|(_, in_sync)| *in_sync == set)
    }

    /// Whether it is in the current set and has every record that it has to store there.
    pub fn is_in_sync(&self) -> bool {
        self.in_current() && self.is_in_sync_for(&self.roster.current)
    }

    /// Whether there is a current set. Before, nothing is stored: the first set becomes current only when its members are in
    /// sync, for which they need no sources.
    fn is_founded(&self) -> bool {
        !self.roster.current.is_empty()
    }

    /// A member of the current set accepts writes once it is in sync, one of the next set at once.
    fn accepts_writes(&self) -> bool {
        self.is_founded() && if self.in_current() { self.is_in_sync() } else { self.in_next() }
    }

    /// Handles a call at `now_ms`. One that is not for a storage node is answered with [`Answer::NotReady`].
    pub fn handle(&mut self, now_ms: u64, call: &Call, payloads: &dyn Payloads) -> Outcome {
        let epoch = match call {
            Call::Reserve { epoch, .. }
            | Call::Settle { epoch, .. }
            | Call::ReadAccount { epoch, .. }
            | Call::StoreTurn { epoch, .. }
            | Call::ReadChain { epoch, .. }
            | Call::Backfill { epoch, .. }
            | Call::BackfillDone { epoch, .. } => *epoch,
            _ => return Outcome::without_writes(Answer::NotReady),
        };
        if epoch != self.roster.epoch {
            return Outcome::without_writes(Answer::WrongEpoch(self.roster.epoch));
        }
        match call {
            Call::Reserve { program, reservation, .. } => self.reserve(now_ms, program, *reservation),
            Call::Settle { program, reservation, .. } => self.settle(now_ms, program, *reservation),
            Call::ReadAccount { program, .. } => self.read_account(now_ms, program),
            Call::StoreTurn { turn, served_by, .. } => self.store_turn(now_ms, turn, served_by.as_deref()),
            Call::ReadChain { attempt, .. } => self.read_chain(now_ms, attempt, payloads),
            Call::Backfill { disk, cursor, .. } => self.backfill_page(*disk, cursor, payloads),
            Call::BackfillDone { disk, .. } => self.backfill_done(*disk),
            _ => Outcome::without_writes(Answer::NotReady),
        }
    }

    /// Removes expired records. A turn does not expire before those that continue from it. The returned writes need not be
    /// synced.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Write> {
        self.extend_ancestors();
        let mut writes = Vec::new();
        self.turns.retain(|attempt, entry| {
            let is_retained = entry.expiry_ms > now_ms;
            if !is_retained {
                writes.extend(turn_removal(attempt));
            }
            is_retained
        });
        writes.extend(self.accounts.expire(now_ms));
        writes
    }
}

fn disks(stores: &[StorageNode]) -> BTreeSet<u64> {
    stores.iter().map(|store| store.disk).collect()
}

fn contains(stores: &[StorageNode], disk: u64) -> bool {
    stores.iter().any(|store| store.disk == disk)
}
