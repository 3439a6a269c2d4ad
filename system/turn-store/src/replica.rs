//! The state machine of a storage node's replica, without I/O and clock: membership, dispatch of calls, expiry.

mod accounts;
mod backfill;
mod capacity;
mod outcome;
mod turns;

pub use capacity::DiskCapacity;
pub use outcome::{Durability, Outcome};

use crate::disk::Write;
use crate::payload::Payloads;
use crate::records::{BackfillRecord, Stored, account_removal, turn_removal};
use accounts::Account;
use fleet_model::{Answer, Call, Roster, StorageNode};
use std::collections::{BTreeMap, BTreeSet};
use turns::Entry;

const MAX_NAME_BYTES: usize = 4096;

/// A store: the turns and accounts it holds, its place in the roster, and how it answers.
///
/// It relies on the keeper of the roster for this: a set of stores becomes `current` only when each of them has told, for
/// the epoch under which it was `next`, that it is filled; and `in_sync` is emptied whenever `next` changes.
#[derive(Debug)]
pub struct ReplicaState {
    disk: u64,
    losses: usize,
    roster: Roster,
    backfill: BackfillRecord,
    capacity: DiskCapacity,
    turns: BTreeMap<Box<str>, Entry>,
    accounts: BTreeMap<Box<str>, Account>,
}

impl ReplicaState {
    /// A store with what its disk holds. All of it gets a fresh expiry.
    pub fn new(now_ms: u64, disk: u64, losses: usize, kept: Stored) -> Self {
        let mut state = Self {
            disk,
            losses,
            roster: Roster::default(),
            backfill: kept.backfill,
            capacity: DiskCapacity::default(),
            turns: BTreeMap::new(),
            accounts: BTreeMap::new(),
        };
        for turn in kept.turns {
            state.insert(now_ms, turn);
        }
        for (program, reservation) in kept.accounts {
            state.account(now_ms, &program).merge(reservation);
        }
        state
    }

    /// Its disk's number.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// The epoch of the roster that it goes by.
    pub fn epoch(&self) -> u64 {
        self.roster.epoch
    }

    /// How many turns, accounts and bytes of turns it holds.
    pub fn counts(&self) -> (usize, usize, u64) {
        let bytes = self.turns.values().map(|turn| u64::from(turn.length)).sum();
        (self.turns.len(), self.accounts.len(), bytes)
    }

    /// Take a newer roster; an older one is passed over. The writes may be lazy.
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
            // The same change goes on, with no epoch between: what was filled still holds.
            for (epoch, set) in &mut self.backfill.in_sync {
                if *epoch == self.roster.epoch && Some(&*set) == next.as_ref() {
                    *epoch = roster.epoch;
                }
            }
        }
        self.roster = roster.clone();
        let current = disks(&roster.current);
        let told = roster.in_sync.contains(&self.disk);
        self.backfill.in_sync.retain(|(epoch, set)| {
            *set == current || (Some(set) == next.as_ref() && (*epoch == roster.epoch || told))
        });
        if self.backfill == before { Vec::new() } else { vec![self.backfill.write()] }
    }

    /// Take note of the disk's room; tells whether that is news.
    pub fn set_capacity(&mut self, capacity: DiskCapacity) -> bool {
        std::mem::replace(&mut self.capacity, capacity) != capacity
    }

    /// The room that the disk has.
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

    /// Whether it is one of the current stores and holds all that they kept, as far as it should.
    pub fn is_in_sync(&self) -> bool {
        self.in_current() && self.is_in_sync_for(&self.roster.current)
    }

    /// Before there is a current set, nothing is kept: the founding ends only when its members are full without sources.
    fn is_founded(&self) -> bool {
        !self.roster.current.is_empty()
    }

    fn accepts_writes(&self) -> bool {
        self.is_founded() && if self.in_current() { self.is_in_sync() } else { self.in_next() }
    }

    /// Answer a call. One that is not for a store gets `Unready`.
    pub fn handle(&mut self, now_ms: u64, call: &Call, payloads: &dyn Payloads) -> Outcome {
        let epoch = match call {
            Call::Reserve { epoch, .. }
            | Call::Settle { epoch, .. }
            | Call::ReadAccount { epoch, .. }
            | Call::StoreTurn { epoch, .. }
            | Call::ReadChain { epoch, .. }
            | Call::Backfill { epoch, .. }
            | Call::BackfillDone { epoch, .. } => *epoch,
            _ => return Outcome::free(Answer::NotReady),
        };
        if epoch != self.roster.epoch {
            return Outcome::free(Answer::WrongEpoch(self.roster.epoch));
        }
        match call {
            Call::Reserve { program, reservation, .. } => self.reserve(now_ms, program, *reservation),
            Call::Settle { program, reservation, .. } => self.settle(now_ms, program, *reservation),
            Call::ReadAccount { program, .. } => self.read_account(now_ms, program),
            Call::StoreTurn { turn, .. } => self.store_turn(now_ms, turn),
            Call::ReadChain { attempt, .. } => self.read_chain(now_ms, attempt, payloads),
            Call::Backfill { disk, cursor, .. } => self.backfill_page(*disk, cursor, payloads),
            Call::BackfillDone { disk, .. } => self.backfill_done(*disk),
            _ => Outcome::free(Answer::NotReady),
        }
    }

    /// Drop what has expired. A turn outlives none of those that continue from it. The writes may be lazy.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Write> {
        self.extend_ancestors();
        let mut writes = Vec::new();
        self.turns.retain(|attempt, entry| {
            let held = entry.expiry_ms > now_ms;
            if !held {
                writes.extend(turn_removal(attempt));
            }
            held
        });
        self.accounts.retain(|program, account| {
            let held = account.expiry_ms > now_ms;
            if !held {
                writes.extend(account.tokens.keys().map(|&attempt| account_removal(program, attempt)));
            }
            held
        });
        writes
    }
}

fn disks(stores: &[StorageNode]) -> BTreeSet<u64> {
    stores.iter().map(|store| store.disk).collect()
}

fn contains(stores: &[StorageNode], disk: u64) -> bool {
    stores.iter().any(|store| store.disk == disk)
}
