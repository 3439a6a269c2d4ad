//! What a store decides, without I/O and clock.

use crate::backfill::Backfill;
use crate::disk::Write;
use crate::records::{
    BackfillRecord, Stored, StoredTurn, account_removal, account_write, decode, encode, replicas_write,
    turn_removal, turn_write,
};
use bytes::{Bytes, BytesMut};
use fleet_model::{
    Answer, Call, QuorumSizes, Reservation, Roster, StorageNode, Turn, account_replicas, rendezvous_rank,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::ops::Bound::{Excluded, Included, Unbounded};

const TARGET_PAGE_BYTES: usize = 256 << 10;
/// What a record takes in a page beyond its text.
const PAGE_ENTRY_OVERHEAD_BYTES: usize = 64;
const PAGE_RESERVATION_BYTES: usize = 16;
const MIN_RETENTION_MS: u64 = 60_000;
const ACCOUNT_RETENTION_MS: u64 = 600_000;
const MAX_NAME_BYTES: usize = 4096;

/// A turn's text, as it can be had now.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// Here it is.
    Present(Turn),
    /// It is not written yet.
    Pending,
    /// It cannot be read, and never will.
    Lost,
}

/// Where the text of turns is had from.
pub trait Payloads {
    /// The turn of this `Attempt-Id`, which the store has kept.
    fn get(&self, attempt: &str) -> Payload;
}

/// How much room a store's disk has for more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskCapacity {
    /// Enough.
    #[default]
    Ample,
    /// It is kept for programs that have begun: no reservation of another is taken.
    Scarce,
    /// No further turn is taken.
    Full,
}

/// What the engine may need at once beside its tables: a journal that is full, and the next one at its whole length.
const JOURNALS_BYTES: u64 = 2 * (64 << 20);

impl DiskCapacity {
    /// With `table_bytes` in tables on a disk of `limit_bytes`; 0 is a disk without a limit.
    pub fn from_usage(table_bytes: u64, limit_bytes: u64) -> Self {
        let capacity = limit_bytes.saturating_sub(JOURNALS_BYTES).max(limit_bytes / 2);
        match table_bytes {
            _ if limit_bytes == 0 => Self::Ample,
            _ if table_bytes < capacity / 100 * 90 => Self::Ample,
            _ if table_bytes < capacity / 100 * 97 => Self::Scarce,
            _ => Self::Full,
        }
    }
}

/// How the answer of an [`Outcome`] hangs on its writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// There are no writes to wait for.
    Free,
    /// The answer may go at once; the writes follow.
    Lazy,
    /// The answer goes when the writes, and all writes of earlier outcomes, are synced; if that fails, `Unready` goes.
    Synced,
}

/// What a call comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// What the caller is told.
    pub answer: Answer,
    /// What is to be written.
    pub writes: Vec<Write>,
    /// Whether the answer waits for that.
    pub durability: Durability,
}

impl Outcome {
    fn free(answer: Answer) -> Self {
        Self { answer, writes: Vec::new(), durability: Durability::Free }
    }

    fn lazy(answer: Answer, writes: Vec<Write>) -> Self {
        let durability = if writes.is_empty() { Durability::Free } else { Durability::Lazy };
        Self { answer, writes, durability }
    }

    fn synced(answer: Answer, writes: Vec<Write>) -> Self {
        Self { answer, writes, durability: Durability::Synced }
    }
}

#[derive(Debug)]
struct Entry {
    previous: Option<Box<str>>,
    retention_ms: u64,
    expiry_ms: u64,
    length: u32,
    replicas: Vec<u64>,
}

impl Entry {
    fn touch(&mut self, now_ms: u64) {
        let held_ms = self.retention_ms.max(MIN_RETENTION_MS).saturating_mul(2);
        self.expiry_ms = self.expiry_ms.max(now_ms.saturating_add(held_ms));
    }
}

#[derive(Debug, Default)]
struct Account {
    tokens: BTreeMap<u64, u32>,
    expiry_ms: u64,
}

impl Account {
    /// Takes the lower count; tells what then holds, and whether that is news.
    fn merge(&mut self, reservation: Reservation) -> (u32, bool) {
        let held = self.tokens.get(&reservation.attempt).copied();
        let tokens = held.map_or(reservation.tokens, |held| held.min(reservation.tokens));
        self.tokens.insert(reservation.attempt, tokens);
        (tokens, held != Some(tokens))
    }
}

/// Where a page of filling begins. Accounts come first.
#[derive(Serialize, Deserialize)]
enum Cursor<'a> {
    Accounts { program: &'a str, after: Option<u64> },
    Turns { after: Option<&'a str> },
}

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

    /// The filling that this store has to do under its roster, if any. It needs as many full current stores, itself
    /// counted if it is one, as together know every record ([`QuorumSizes::covering`]). That holds also where some were
    /// not waited for when the set became current: with `w` of those, a record is on `write - w` full ones or more, and
    /// of the `n - w` full ones `covering` leave out only `write - 1 - w`. A founding has no sources and needs none.
    pub fn backfill(&self) -> Option<Backfill> {
        let due = match &self.roster.next {
            Some(next) if self.in_next() => !self.is_in_sync_for(next),
            _ => self.in_current() && !self.is_in_sync(),
        };
        due.then(|| {
            let sources = self.roster.current.iter().filter(|store| store.disk != self.disk).cloned();
            let covering = QuorumSizes::for_machines(self.roster.current.len(), self.losses)
                .map_or(0, |sizes| sizes.covering);
            Backfill::new(self.roster.epoch, self.disk, sources, covering, self.is_source())
        })
    }

    /// A [`Backfill`] is done and all that it brought is synced. Once the writes are synced too, `Filled` is told, if the
    /// store is in `next`. `None` if the roster has moved on, or the store counted on itself and has found damage since:
    /// then it begins anew.
    pub fn mark_in_sync(&mut self, backfill: &Backfill) -> Option<Vec<Write>> {
        if backfill.epoch() != self.roster.epoch || !backfill.is_done() {
            return None;
        }
        if backfill.relies_on_local_records() && !self.is_source() {
            return None;
        }
        let set = match &self.roster.next {
            Some(next) if self.in_next() => disks(next),
            _ if self.in_current() => disks(&self.roster.current),
            _ => return None,
        };
        self.backfill.in_sync.retain(|(_, in_sync)| *in_sync != set);
        self.backfill.in_sync.push((self.roster.epoch, set));
        self.backfill.damaged = false;
        Some(vec![self.backfill.write()])
    }

    /// Whether `Filled` is to be told for the roster's epoch.
    pub fn is_in_sync_for_next(&self) -> bool {
        self.in_next() && self.roster.next.as_ref().is_some_and(|next| self.is_in_sync_for(next))
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

    fn account(&mut self, now_ms: u64, program: &str) -> &mut Account {
        if !self.accounts.contains_key(program) {
            self.accounts.insert(program.into(), Account::default());
        }
        let account = self.accounts.entry(program.into()).or_default();
        account.expiry_ms = account.expiry_ms.max(now_ms.saturating_add(ACCOUNT_RETENTION_MS));
        account
    }

    fn reserve(&mut self, now_ms: u64, program: &str, reservation: Reservation) -> Outcome {
        if !self.accepts_writes() || program.len() > MAX_NAME_BYTES {
            return Outcome::free(Answer::NotReady);
        }
        if self.capacity != DiskCapacity::Ample && !self.accounts.contains_key(program) {
            return Outcome::free(Answer::NotReady);
        }
        let account = self.account(now_ms, program);
        let (tokens, _) = account.merge(reservation);
        let answer = Answer::Account(reservations(account));
        Outcome::synced(answer, vec![account_write(program, reservation.attempt, tokens)])
    }

    fn settle(&mut self, now_ms: u64, program: &str, reservation: Reservation) -> Outcome {
        if !self.accepts_writes() || program.len() > MAX_NAME_BYTES {
            return Outcome::free(Answer::NotReady);
        }
        let (tokens, news) = self.account(now_ms, program).merge(reservation);
        let writes = news.then(|| account_write(program, reservation.attempt, tokens));
        Outcome::lazy(Answer::Done, writes.into_iter().collect())
    }

    fn read_account(&mut self, now_ms: u64, program: &str) -> Outcome {
        if !self.is_founded() || !self.is_in_sync() {
            return Outcome::free(Answer::NotReady);
        }
        let Some(account) = self.accounts.get_mut(program) else {
            return Outcome::free(Answer::Account(Vec::new()));
        };
        account.expiry_ms = account.expiry_ms.max(now_ms.saturating_add(ACCOUNT_RETENTION_MS));
        Outcome::free(Answer::Account(reservations(account)))
    }

    fn store_turn(&mut self, now_ms: u64, turn: &Turn) -> Outcome {
        let named = (1..=MAX_NAME_BYTES).contains(&turn.attempt.len());
        if !self.accepts_writes() || !named {
            return Outcome::free(Answer::NotReady);
        }
        // Kept already: the record stays as it is, and the answer waits for the first one's sync.
        let writes = match self.turns.get_mut(turn.attempt.as_str()) {
            None if self.capacity == DiskCapacity::Full => return Outcome::free(Answer::NotReady),
            None => {
                self.insert(now_ms, StoredTurn::from(turn));
                vec![turn_write(turn)]
            }
            Some(entry) => {
                entry.touch(now_ms);
                // Sent again, it names who does hold it: one named before may not have answered.
                let news = entry.replicas != turn.replicas;
                entry.replicas.clone_from(&turn.replicas);
                news.then(|| replicas_write(&turn.attempt, &turn.replicas)).into_iter().collect()
            }
        };
        Outcome::synced(Answer::Done, writes)
    }

    fn insert(&mut self, now_ms: u64, turn: StoredTurn) {
        let mut entry = Entry {
            previous: turn.previous.map(Into::into),
            retention_ms: turn.retention_ms,
            expiry_ms: 0,
            length: turn.length,
            replicas: turn.replicas,
        };
        entry.touch(now_ms);
        self.turns.insert(turn.attempt.into(), entry);
    }

    fn read_chain(&mut self, now_ms: u64, attempt: &str, payloads: &dyn Payloads) -> Outcome {
        let mut parts = Vec::new();
        let mut seen = HashSet::new();
        let mut writes = Vec::new();
        let mut missing = Some(attempt.to_owned());
        while let Some(asked) = missing.take() {
            if !seen.insert(asked.clone()) {
                break;
            }
            let Some(entry) = self.turns.get_mut(asked.as_str()) else {
                missing = Some(asked);
                break;
            };
            entry.touch(now_ms);
            match payloads.get(&asked) {
                Payload::Present(turn) => {
                    missing = turn.previous;
                    parts.push(turn.output);
                    parts.push(turn.input);
                }
                Payload::Pending => return Outcome::lazy(Answer::NotReady, writes),
                Payload::Lost => {
                    writes.extend(self.mark_lost(&asked));
                    missing = Some(asked);
                    break;
                }
            }
        }
        let answer = if parts.is_empty() {
            Answer::Absent { complete: self.is_founded() && self.is_in_sync() }
        } else {
            let mut text = BytesMut::with_capacity(parts.iter().map(Bytes::len).sum());
            parts.iter().rev().for_each(|part| text.extend_from_slice(part));
            Answer::Chain { text: text.freeze(), missing }
        };
        Outcome::lazy(answer, writes)
    }

    /// A record turned out to be unreadable: the store has to fill again. The record stays until it is replaced, or set
    /// aside at the next start.
    fn mark_lost(&mut self, attempt: &str) -> Vec<Write> {
        self.turns.remove(attempt);
        self.backfill = BackfillRecord { in_sync: Vec::new(), damaged: true };
        vec![self.backfill.write()]
    }

    /// The set of stores for which a disk fills.
    fn backfill_target(&self, disk: u64) -> Option<&[StorageNode]> {
        match &self.roster.next {
            Some(next) if contains(next, disk) => Some(next),
            _ if contains(&self.roster.current, disk) => Some(&self.roster.current),
            _ => None,
        }
    }

    /// A store may be drawn on if it is full. An empty one that is not may lack all that it should have: it joined, was not
    /// waited for, and came back.
    fn is_source(&self) -> bool {
        self.is_in_sync()
    }

    fn backfill_page(&mut self, asker: u64, cursor: &[u8], payloads: &dyn Payloads) -> Outcome {
        let unready = Outcome::free(Answer::NotReady);
        let cursor = match cursor {
            [] => Ok(Cursor::Accounts { program: "", after: None }),
            bytes => decode(bytes),
        };
        let (Ok(cursor), true) = (cursor, self.is_source()) else { return unready };
        let Some(set) = self.backfill_target(asker) else { return unready };
        let mut size = 0;
        let mut accounts = Vec::new();
        let mut after = None;
        match cursor {
            Cursor::Turns { after: last } => after = last,
            Cursor::Accounts { program, after } => {
                let begun = (program, after);
                for (program, account) in self.accounts.range::<str, _>((Included(program), Unbounded)) {
                    if !account_replicas(set, program, self.losses).iter().any(|store| store.disk == asker) {
                        continue;
                    }
                    size += PAGE_ENTRY_OVERHEAD_BYTES + program.len();
                    let mut page = Vec::new();
                    let done = if **program == *begun.0 { begun.1 } else { None };
                    for (&attempt, &tokens) in &account.tokens {
                        if done.is_some_and(|done| attempt <= done) {
                            continue;
                        }
                        page.push(Reservation { attempt, tokens });
                        size += PAGE_RESERVATION_BYTES;
                        if size >= TARGET_PAGE_BYTES {
                            let cursor = encode(&Cursor::Accounts { program, after: Some(attempt) });
                            accounts.push((program.to_string(), page));
                            return records(Vec::new(), accounts, Some(cursor));
                        }
                    }
                    if !page.is_empty() {
                        accounts.push((program.to_string(), page));
                    }
                }
            }
        }
        let mut turns = Vec::new();
        let range = (after.map_or(Unbounded, Excluded), Unbounded);
        for (attempt, entry) in self.turns.range::<str, _>(range) {
            let wanted = wanted_replicas(attempt, &entry.replicas, set, self.losses);
            if !wanted.contains(&asker) {
                after = Some(attempt);
                continue;
            }
            size += PAGE_ENTRY_OVERHEAD_BYTES + attempt.len() + entry.length as usize;
            let full_page = size > TARGET_PAGE_BYTES && !(turns.is_empty() && accounts.is_empty());
            match if full_page { Payload::Pending } else { payloads.get(attempt) } {
                Payload::Present(turn) => turns.push(Turn { replicas: wanted, ..turn }),
                Payload::Pending if turns.is_empty() && accounts.is_empty() => return unready,
                Payload::Pending => {
                    let cursor = encode(&Cursor::Turns { after });
                    return records(turns, accounts, Some(cursor));
                }
                Payload::Lost => {
                    let attempt = attempt.to_string();
                    return Outcome::lazy(Answer::NotReady, self.mark_lost(&attempt));
                }
            }
            after = Some(attempt);
        }
        records(turns, accounts, None)
    }

    fn backfill_done(&mut self, asker: u64) -> Outcome {
        let Some(set) = self.backfill_target(asker).map(<[StorageNode]>::to_vec) else {
            return Outcome::free(Answer::NotReady);
        };
        let mut writes = Vec::new();
        for (attempt, entry) in &mut self.turns {
            let wanted = wanted_replicas(attempt, &entry.replicas, &set, self.losses);
            if wanted.contains(&asker) && wanted != entry.replicas {
                writes.push(replicas_write(attempt, &wanted));
                entry.replicas = wanted;
            }
        }
        Outcome::lazy(Answer::Done, writes)
    }

    /// Take in a page that another store gave. The page counts when the writes, and all earlier ones, are synced.
    pub fn apply_page(
        &mut self,
        now_ms: u64,
        turns: Vec<Turn>,
        accounts: Vec<(String, Vec<Reservation>)>,
    ) -> Vec<Write> {
        let mut writes = Vec::new();
        for turn in turns {
            if !(1..=MAX_NAME_BYTES).contains(&turn.attempt.len()) {
                continue;
            }
            match self.turns.get_mut(turn.attempt.as_str()) {
                Some(entry) => {
                    entry.touch(now_ms);
                    writes.extend(add_replicas(&turn.attempt, &mut entry.replicas, &turn.replicas));
                }
                None => {
                    self.insert(now_ms, StoredTurn::from(&turn));
                    writes.push(turn_write(&turn));
                }
            }
        }
        for (program, reservations) in accounts {
            if program.len() > MAX_NAME_BYTES {
                continue;
            }
            let account = self.account(now_ms, &program);
            for reservation in reservations {
                let (tokens, news) = account.merge(reservation);
                writes.extend(news.then(|| account_write(&program, reservation.attempt, tokens)));
            }
        }
        writes
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

    fn extend_ancestors(&mut self) {
        let mut longer: BTreeMap<Box<str>, u64> = BTreeMap::new();
        for entry in self.turns.values() {
            let mut previous = entry.previous.as_deref();
            while let Some(name) = previous {
                let Some((name, ancestor)) = self.turns.get_key_value(name) else { break };
                let held_ms = longer.get(name).copied().unwrap_or(ancestor.expiry_ms);
                if held_ms >= entry.expiry_ms {
                    break;
                }
                longer.insert(name.clone(), entry.expiry_ms);
                previous = ancestor.previous.as_deref();
            }
        }
        for (name, expiry_ms) in longer {
            if let Some(entry) = self.turns.get_mut(&name) {
                entry.expiry_ms = expiry_ms;
            }
        }
    }
}

fn records(turns: Vec<Turn>, accounts: Vec<(String, Vec<Reservation>)>, cursor: Option<Bytes>) -> Outcome {
    Outcome::free(Answer::Records { turns, accounts, cursor })
}

fn reservations(account: &Account) -> Vec<Reservation> {
    account.tokens.iter().map(|(&attempt, &tokens)| Reservation { attempt, tokens }).collect()
}

fn disks(stores: &[StorageNode]) -> BTreeSet<u64> {
    stores.iter().map(|store| store.disk).collect()
}

fn contains(stores: &[StorageNode], disk: u64) -> bool {
    stores.iter().any(|store| store.disk == disk)
}

fn add_replicas(attempt: &str, held: &mut Vec<u64>, more: &[u64]) -> Option<Write> {
    let before = held.len();
    for disk in more {
        if !held.contains(disk) {
            held.push(*disk);
        }
    }
    (held.len() > before).then(|| replicas_write(attempt, held))
}

/// Who is to hold a turn once `set` is what counts: its holders there, and where these are too few for the losses, the
/// best-ranked of the others.
fn wanted_replicas(attempt: &str, replicas: &[u64], set: &[StorageNode], losses: usize) -> Vec<u64> {
    let mut wanted: Vec<u64> = replicas.iter().copied().filter(|disk| contains(set, *disk)).collect();
    if wanted.len() <= losses {
        let mut others: Vec<u64> =
            set.iter().map(|store| store.disk).filter(|disk| !wanted.contains(disk)).collect();
        others.sort_by_key(|disk| (std::cmp::Reverse(rendezvous_rank(attempt.as_bytes(), *disk)), *disk));
        wanted.extend(others.into_iter().take(losses + 1 - wanted.len()));
    }
    wanted
}
