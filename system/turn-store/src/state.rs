//! What a store decides, without I/O and clock.

use crate::disk::Write;
use crate::filling::Filling;
use crate::records::{
    FillRecord, Kept, KeptTurn, account_removal, account_write, decode, encode, holders_write, turn_removal,
    turn_write,
};
use bytes::{Bytes, BytesMut};
use fleet_model::{
    Answer, Call, QuorumSizes, Reservation, Roster, StorageNode, Turn, account_replicas, rendezvous_rank,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::ops::Bound::{Excluded, Included, Unbounded};

const PAGE_BYTES: usize = 256 << 10;
/// What a record takes in a page beyond its text.
const ENTRY_BYTES: usize = 64;
const RESERVATION_BYTES: usize = 16;
const LEAST_RETENTION_MS: u64 = 60_000;
const ACCOUNT_MS: u64 = 600_000;
const NAME_BYTES: usize = 4096;

/// A turn's text, as it can be had now.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Here it is.
    Held(Turn),
    /// It is not written yet.
    Pending,
    /// It cannot be read, and never will.
    Lost,
}

/// Where the text of turns is had from.
pub trait Bodies {
    /// The turn of this `Attempt-Id`, which the store has kept.
    fn get(&self, attempt: &str) -> Body;
}

/// How much room a store's disk has for more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Room {
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

impl Room {
    /// With so many bytes in tables on a disk of `limit` bytes; 0 is a disk without a limit.
    pub fn of(tables: u64, limit: u64) -> Self {
        let room = limit.saturating_sub(JOURNALS_BYTES).max(limit / 2);
        match tables {
            _ if limit == 0 => Self::Ample,
            _ if tables < room / 100 * 90 => Self::Ample,
            _ if tables < room / 100 * 97 => Self::Scarce,
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
    holders: Vec<u64>,
}

impl Entry {
    fn touch(&mut self, now_ms: u64) {
        let held_ms = self.retention_ms.max(LEAST_RETENTION_MS).saturating_mul(2);
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
/// the epoch under which it was `next`, that it is filled; and `filled` is emptied whenever `next` changes.
#[derive(Debug)]
pub struct StoreState {
    disk: u64,
    losses: usize,
    roster: Roster,
    fill: FillRecord,
    room: Room,
    turns: BTreeMap<Box<str>, Entry>,
    accounts: BTreeMap<Box<str>, Account>,
}

impl StoreState {
    /// A store with what its disk holds. All of it gets a fresh expiry.
    pub fn new(now_ms: u64, disk: u64, losses: usize, kept: Kept) -> Self {
        let mut state = Self {
            disk,
            losses,
            roster: Roster::default(),
            fill: kept.fill,
            room: Room::default(),
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
        let before = self.fill.clone();
        let next = roster.next.as_deref().map(disks);
        if next.is_some()
            && roster.epoch == self.roster.epoch + 1
            && next == self.roster.next.as_deref().map(disks)
        {
            // The same change goes on, with no epoch between: what was filled still holds.
            for (epoch, set) in &mut self.fill.filled {
                if *epoch == self.roster.epoch && Some(&*set) == next.as_ref() {
                    *epoch = roster.epoch;
                }
            }
        }
        self.roster = roster.clone();
        let current = disks(&roster.current);
        let told = roster.in_sync.contains(&self.disk);
        self.fill.filled.retain(|(epoch, set)| {
            *set == current || (Some(set) == next.as_ref() && (*epoch == roster.epoch || told))
        });
        if self.fill == before { Vec::new() } else { vec![self.fill.write()] }
    }

    /// Take note of the disk's room; tells whether that is news.
    pub fn set_room(&mut self, room: Room) -> bool {
        std::mem::replace(&mut self.room, room) != room
    }

    /// The room that the disk has.
    pub fn room(&self) -> Room {
        self.room
    }

    fn in_current(&self) -> bool {
        contains(&self.roster.current, self.disk)
    }

    fn in_next(&self) -> bool {
        self.roster.next.as_ref().is_some_and(|next| contains(next, self.disk))
    }

    fn filled_for(&self, stores: &[StorageNode]) -> bool {
        let set = disks(stores);
        self.fill.filled.iter().any(|(_, filled)| *filled == set)
    }

    /// Whether it is one of the current stores and holds all that they kept, as far as it should.
    pub fn is_full(&self) -> bool {
        self.in_current() && self.filled_for(&self.roster.current)
    }

    /// Before there is a current set, nothing is kept: the founding ends only when its members are full without sources.
    fn is_founded(&self) -> bool {
        !self.roster.current.is_empty()
    }

    fn takes_writes(&self) -> bool {
        self.is_founded() && if self.in_current() { self.is_full() } else { self.in_next() }
    }

    /// The filling that this store has to do under its roster, if any. It needs as many full current stores, itself
    /// counted if it is one, as together know every record ([`QuorumSizes::covering`]). That holds also where some were
    /// not waited for when the set became current: with `w` of those, a record is on `write - w` full ones or more, and
    /// of the `n - w` full ones `covering` leave out only `write - 1 - w`. A founding has no sources and needs none.
    pub fn filling(&self) -> Option<Filling> {
        let due = match &self.roster.next {
            Some(next) if self.in_next() => !self.filled_for(next),
            _ => self.in_current() && !self.is_full(),
        };
        due.then(|| {
            let sources = self.roster.current.iter().filter(|store| store.disk != self.disk).cloned();
            let covering = QuorumSizes::for_machines(self.roster.current.len(), self.losses)
                .map_or(0, |sizes| sizes.covering);
            Filling::new(self.roster.epoch, self.disk, sources, covering, self.is_source())
        })
    }

    /// A [`Filling`] is done and all that it brought is synced. Once the writes are synced too, `Filled` is told, if the
    /// store is in `next`. `None` if the roster has moved on, or the store counted on itself and has found damage since:
    /// then it begins anew.
    pub fn mark_filled(&mut self, filling: &Filling) -> Option<Vec<Write>> {
        if filling.epoch() != self.roster.epoch || !filling.is_done() {
            return None;
        }
        if filling.counts_itself() && !self.is_source() {
            return None;
        }
        let set = match &self.roster.next {
            Some(next) if self.in_next() => disks(next),
            _ if self.in_current() => disks(&self.roster.current),
            _ => return None,
        };
        self.fill.filled.retain(|(_, filled)| *filled != set);
        self.fill.filled.push((self.roster.epoch, set));
        self.fill.damaged = false;
        Some(vec![self.fill.write()])
    }

    /// Whether `Filled` is to be told for the roster's epoch.
    pub fn is_filled_for_next(&self) -> bool {
        self.in_next() && self.roster.next.as_ref().is_some_and(|next| self.filled_for(next))
    }

    /// Answer a call. One that is not for a store gets `Unready`.
    pub fn handle(&mut self, now_ms: u64, call: &Call, bodies: &dyn Bodies) -> Outcome {
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
            Call::StoreTurn { turn, .. } => self.keep_turn(now_ms, turn),
            Call::ReadChain { attempt, .. } => self.read_chain(now_ms, attempt, bodies),
            Call::Backfill { disk, cursor, .. } => self.fill_page(*disk, cursor, bodies),
            Call::BackfillDone { disk, .. } => self.fill_done(*disk),
            _ => Outcome::free(Answer::NotReady),
        }
    }

    fn account(&mut self, now_ms: u64, program: &str) -> &mut Account {
        if !self.accounts.contains_key(program) {
            self.accounts.insert(program.into(), Account::default());
        }
        let account = self.accounts.entry(program.into()).or_default();
        account.expiry_ms = account.expiry_ms.max(now_ms.saturating_add(ACCOUNT_MS));
        account
    }

    fn reserve(&mut self, now_ms: u64, program: &str, reservation: Reservation) -> Outcome {
        if !self.takes_writes() || program.len() > NAME_BYTES {
            return Outcome::free(Answer::NotReady);
        }
        if self.room != Room::Ample && !self.accounts.contains_key(program) {
            return Outcome::free(Answer::NotReady);
        }
        let account = self.account(now_ms, program);
        let (tokens, _) = account.merge(reservation);
        let answer = Answer::Account(reservations(account));
        Outcome::synced(answer, vec![account_write(program, reservation.attempt, tokens)])
    }

    fn settle(&mut self, now_ms: u64, program: &str, reservation: Reservation) -> Outcome {
        if !self.takes_writes() || program.len() > NAME_BYTES {
            return Outcome::free(Answer::NotReady);
        }
        let (tokens, news) = self.account(now_ms, program).merge(reservation);
        let writes = news.then(|| account_write(program, reservation.attempt, tokens));
        Outcome::lazy(Answer::Done, writes.into_iter().collect())
    }

    fn read_account(&mut self, now_ms: u64, program: &str) -> Outcome {
        if !self.is_founded() || !self.is_full() {
            return Outcome::free(Answer::NotReady);
        }
        let Some(account) = self.accounts.get_mut(program) else {
            return Outcome::free(Answer::Account(Vec::new()));
        };
        account.expiry_ms = account.expiry_ms.max(now_ms.saturating_add(ACCOUNT_MS));
        Outcome::free(Answer::Account(reservations(account)))
    }

    fn keep_turn(&mut self, now_ms: u64, turn: &Turn) -> Outcome {
        let named = (1..=NAME_BYTES).contains(&turn.attempt.len());
        if !self.takes_writes() || !named {
            return Outcome::free(Answer::NotReady);
        }
        // Kept already: the record stays as it is, and the answer waits for the first one's sync.
        let writes = match self.turns.get_mut(turn.attempt.as_str()) {
            None if self.room == Room::Full => return Outcome::free(Answer::NotReady),
            None => {
                self.insert(now_ms, KeptTurn::of(turn));
                vec![turn_write(turn)]
            }
            Some(entry) => {
                entry.touch(now_ms);
                // Sent again, it names who does hold it: one named before may not have answered.
                let news = entry.holders != turn.replicas;
                entry.holders.clone_from(&turn.replicas);
                news.then(|| holders_write(&turn.attempt, &turn.replicas)).into_iter().collect()
            }
        };
        Outcome::synced(Answer::Done, writes)
    }

    fn insert(&mut self, now_ms: u64, turn: KeptTurn) {
        let mut entry = Entry {
            previous: turn.previous.map(Into::into),
            retention_ms: turn.retention_ms,
            expiry_ms: 0,
            length: turn.length,
            holders: turn.holders,
        };
        entry.touch(now_ms);
        self.turns.insert(turn.attempt.into(), entry);
    }

    fn read_chain(&mut self, now_ms: u64, attempt: &str, bodies: &dyn Bodies) -> Outcome {
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
            match bodies.get(&asked) {
                Body::Held(turn) => {
                    missing = turn.previous;
                    parts.push(turn.output);
                    parts.push(turn.input);
                }
                Body::Pending => return Outcome::lazy(Answer::NotReady, writes),
                Body::Lost => {
                    writes.extend(self.lose(&asked));
                    missing = Some(asked);
                    break;
                }
            }
        }
        let answer = if parts.is_empty() {
            Answer::Absent { complete: self.is_founded() && self.is_full() }
        } else {
            let mut text = BytesMut::with_capacity(parts.iter().map(Bytes::len).sum());
            parts.iter().rev().for_each(|part| text.extend_from_slice(part));
            Answer::Chain { text: text.freeze(), missing }
        };
        Outcome::lazy(answer, writes)
    }

    /// A record turned out to be unreadable: the store has to fill again. The record stays until it is replaced, or set
    /// aside at the next start.
    fn lose(&mut self, attempt: &str) -> Vec<Write> {
        self.turns.remove(attempt);
        self.fill = FillRecord { filled: Vec::new(), damaged: true };
        vec![self.fill.write()]
    }

    /// The set of stores for which a disk fills.
    fn filled_set(&self, disk: u64) -> Option<&[StorageNode]> {
        match &self.roster.next {
            Some(next) if contains(next, disk) => Some(next),
            _ if contains(&self.roster.current, disk) => Some(&self.roster.current),
            _ => None,
        }
    }

    /// A store may be drawn on if it is full. An empty one that is not may lack all that it should have: it joined, was not
    /// waited for, and came back.
    fn is_source(&self) -> bool {
        self.is_full()
    }

    fn fill_page(&mut self, asker: u64, cursor: &[u8], bodies: &dyn Bodies) -> Outcome {
        let unready = Outcome::free(Answer::NotReady);
        let cursor = match cursor {
            [] => Ok(Cursor::Accounts { program: "", after: None }),
            bytes => decode(bytes),
        };
        let (Ok(cursor), true) = (cursor, self.is_source()) else { return unready };
        let Some(set) = self.filled_set(asker) else { return unready };
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
                    size += ENTRY_BYTES + program.len();
                    let mut page = Vec::new();
                    let done = if **program == *begun.0 { begun.1 } else { None };
                    for (&attempt, &tokens) in &account.tokens {
                        if done.is_some_and(|done| attempt <= done) {
                            continue;
                        }
                        page.push(Reservation { attempt, tokens });
                        size += RESERVATION_BYTES;
                        if size >= PAGE_BYTES {
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
            let wanted = wanted_holders(attempt, &entry.holders, set, self.losses);
            if !wanted.contains(&asker) {
                after = Some(attempt);
                continue;
            }
            size += ENTRY_BYTES + attempt.len() + entry.length as usize;
            let full_page = size > PAGE_BYTES && !(turns.is_empty() && accounts.is_empty());
            match if full_page { Body::Pending } else { bodies.get(attempt) } {
                Body::Held(turn) => turns.push(Turn { replicas: wanted, ..turn }),
                Body::Pending if turns.is_empty() && accounts.is_empty() => return unready,
                Body::Pending => {
                    let cursor = encode(&Cursor::Turns { after });
                    return records(turns, accounts, Some(cursor));
                }
                Body::Lost => {
                    let attempt = attempt.to_string();
                    return Outcome::lazy(Answer::NotReady, self.lose(&attempt));
                }
            }
            after = Some(attempt);
        }
        records(turns, accounts, None)
    }

    fn fill_done(&mut self, asker: u64) -> Outcome {
        let Some(set) = self.filled_set(asker).map(<[StorageNode]>::to_vec) else {
            return Outcome::free(Answer::NotReady);
        };
        let mut writes = Vec::new();
        for (attempt, entry) in &mut self.turns {
            let wanted = wanted_holders(attempt, &entry.holders, &set, self.losses);
            if wanted.contains(&asker) && wanted != entry.holders {
                writes.push(holders_write(attempt, &wanted));
                entry.holders = wanted;
            }
        }
        Outcome::lazy(Answer::Done, writes)
    }

    /// Take in a page that another store gave. The page counts when the writes, and all earlier ones, are synced.
    pub fn absorb(
        &mut self,
        now_ms: u64,
        turns: Vec<Turn>,
        accounts: Vec<(String, Vec<Reservation>)>,
    ) -> Vec<Write> {
        let mut writes = Vec::new();
        for turn in turns {
            if !(1..=NAME_BYTES).contains(&turn.attempt.len()) {
                continue;
            }
            match self.turns.get_mut(turn.attempt.as_str()) {
                Some(entry) => {
                    entry.touch(now_ms);
                    writes.extend(add_holders(&turn.attempt, &mut entry.holders, &turn.replicas));
                }
                None => {
                    self.insert(now_ms, KeptTurn::of(&turn));
                    writes.push(turn_write(&turn));
                }
            }
        }
        for (program, reservations) in accounts {
            if program.len() > NAME_BYTES {
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

fn add_holders(attempt: &str, held: &mut Vec<u64>, more: &[u64]) -> Option<Write> {
    let before = held.len();
    for disk in more {
        if !held.contains(disk) {
            held.push(*disk);
        }
    }
    (held.len() > before).then(|| holders_write(attempt, held))
}

/// Who is to hold a turn once `set` is what counts: its holders there, and where these are too few for the losses, the
/// best-ranked of the others.
fn wanted_holders(attempt: &str, holders: &[u64], set: &[StorageNode], losses: usize) -> Vec<u64> {
    let mut wanted: Vec<u64> = holders.iter().copied().filter(|disk| contains(set, *disk)).collect();
    if wanted.len() <= losses {
        let mut others: Vec<u64> =
            set.iter().map(|store| store.disk).filter(|disk| !wanted.contains(disk)).collect();
        others.sort_by_key(|disk| (std::cmp::Reverse(rendezvous_rank(attempt.as_bytes(), *disk)), *disk));
        wanted.extend(others.into_iter().take(losses + 1 - wanted.len()));
    }
    wanted
}
