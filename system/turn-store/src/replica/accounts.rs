//! The accounts of programs: token reservations by attempt, of which the lowest count holds.
//!
//! An account is retained for the longest retention of turns that was in force when it was accessed or since: as long as a
//! program may come back with a turn that it continues from, its budget is remembered. The longest retention that a stored
//! account relies on is itself stored, so that a restart does not shorten it.

use super::{DiskCapacity, MAX_NAME_BYTES, Outcome, ReplicaState};
use crate::disk::Write;
use crate::records::{account_removal, account_retention_write, account_write};
use fleet_model::{Answer, Reservation};
use std::collections::BTreeMap;
use std::ops::Bound::{Included, Unbounded};

/// Shortest retention of an account after its last access, in milliseconds.
const MIN_ACCOUNT_RETENTION_MS: u64 = 600_000;

/// Estimated memory of an account beside its name and reservations, in bytes.
const ACCOUNT_OVERHEAD_BYTES: usize = 160;

/// Estimated memory of a reservation, in bytes.
const RESERVATION_BYTES: usize = 24;

/// Estimated memory of all accounts, in bytes, from which on no program without an account gets one.
const MAX_ACCOUNTS_BYTES: usize = 48 << 20;

/// The account of one program: its tokens by attempt, and how long it is retained.
#[derive(Debug, Default)]
pub(super) struct Account {
    pub(super) tokens: BTreeMap<u64, u32>,
    accessed_ms: u64,
    /// Retention after the last access, in milliseconds.
    retention_ms: u64,
}

impl Account {
    fn expiry_ms(&self) -> u64 {
        self.accessed_ms.saturating_add(self.retention_ms)
    }

    /// Notes an access under this retention. What remains of a longer one is not shortened.
    fn access(&mut self, now_ms: u64, retention_ms: u64) {
        let remaining_ms = self.expiry_ms().saturating_sub(now_ms);
        self.accessed_ms = now_ms;
        self.retention_ms = retention_ms.max(remaining_ms);
    }
}

/// The accounts that a replica stores.
#[derive(Debug)]
pub(super) struct Accounts {
    by_program: BTreeMap<Box<str>, Account>,
    /// Estimated memory, in bytes.
    bytes: usize,
    /// The longest retention in force, in milliseconds.
    retention_ms: u64,
    /// The longest retention that an account on disk relies on, as stored there.
    stored_retention_ms: u64,
}

impl Accounts {
    /// No accounts yet, of a disk that states this retention.
    pub(super) fn new(stored_retention_ms: u64) -> Self {
        Self {
            by_program: BTreeMap::new(),
            bytes: 0,
            retention_ms: MIN_ACCOUNT_RETENTION_MS,
            stored_retention_ms: stored_retention_ms.max(MIN_ACCOUNT_RETENTION_MS),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_program.len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// The accounts from this program on.
    pub(super) fn starting_at(&self, program: &str) -> impl Iterator<Item = (&str, &Account)> {
        let range = self.by_program.range::<str, _>((Included(program), Unbounded));
        range.map(|(program, account)| (&**program, account))
    }

    /// Whether this program has an account, or there is memory for another one.
    fn admits(&self, program: &str) -> bool {
        self.bytes < MAX_ACCOUNTS_BYTES || self.by_program.contains_key(program)
    }

    /// The account of a program, if there is one, after an access.
    fn read(&mut self, now_ms: u64, program: &str) -> Option<&Account> {
        let account = self.by_program.get_mut(program)?;
        account.access(now_ms, self.retention_ms);
        Some(account)
    }

    /// Merges a reservation by taking the lower count, which makes the order and repetition of merges irrelevant. Returns
    /// the resulting count and whether it has changed.
    pub(super) fn merge(&mut self, now_ms: u64, program: &str, reservation: Reservation) -> (u32, bool) {
        if !self.by_program.contains_key(program) {
            self.by_program.insert(program.into(), Account::default());
            self.bytes += ACCOUNT_OVERHEAD_BYTES + program.len();
        }
        let account = self.by_program.entry(program.into()).or_default();
        account.access(now_ms, self.retention_ms);
        let stored = account.tokens.get(&reservation.attempt).copied();
        let tokens = stored.map_or(reservation.tokens, |stored| stored.min(reservation.tokens));
        account.tokens.insert(reservation.attempt, tokens);
        if stored.is_none() {
            self.bytes += RESERVATION_BYTES;
        }
        (tokens, stored != Some(tokens))
    }

    /// Restores an account from disk: when it was accessed last is not stored, so that its full retention begins anew.
    pub(super) fn restore(&mut self, now_ms: u64, program: &str, reservation: Reservation) {
        self.merge(now_ms, program, reservation);
        if let Some(account) = self.by_program.get_mut(program) {
            account.access(now_ms, self.stored_retention_ms);
        }
    }

    /// Sets the longest retention in force: stored accounts are retained for it from their last access on.
    fn set_retention(&mut self, retention_ms: u64) -> Option<Write> {
        self.retention_ms = retention_ms.max(MIN_ACCOUNT_RETENTION_MS);
        for account in self.by_program.values_mut() {
            account.retention_ms = account.retention_ms.max(self.retention_ms);
        }
        self.store_retention(self.stored_retention_ms.max(self.retention_ms))
    }

    fn store_retention(&mut self, retention_ms: u64) -> Option<Write> {
        let before_ms = std::mem::replace(&mut self.stored_retention_ms, retention_ms);
        (retention_ms != before_ms).then(|| account_retention_write(retention_ms))
    }

    /// Removes expired accounts, and lowers the stored retention to what the others rely on.
    pub(super) fn expire(&mut self, now_ms: u64) -> Vec<Write> {
        let mut writes = Vec::new();
        let mut longest_ms = self.retention_ms;
        let mut freed = 0;
        self.by_program.retain(|program, account| {
            let is_retained = account.expiry_ms() > now_ms;
            if is_retained {
                longest_ms = longest_ms.max(account.retention_ms);
            } else {
                writes.extend(account.tokens.keys().map(|&attempt| account_removal(program, attempt)));
                freed += ACCOUNT_OVERHEAD_BYTES + program.len() + RESERVATION_BYTES * account.tokens.len();
            }
            is_retained
        });
        self.bytes -= freed;
        writes.extend(self.store_retention(longest_ms));
        writes
    }
}

impl ReplicaState {
    /// Sets the longest retention of turns in force, in milliseconds, by which accounts are retained. The returned writes need
    /// not be synced.
    pub fn set_account_retention(&mut self, retention_ms: u64) -> Vec<Write> {
        self.accounts.set_retention(retention_ms).into_iter().collect()
    }

    /// The longest retention of a stored account after its last access, in milliseconds.
    pub fn account_retention_ms(&self) -> u64 {
        self.accounts.stored_retention_ms
    }

    /// Whether the account of `program` may be written.
    fn accepts_account_writes(&self, program: &str) -> bool {
        self.accepts_writes() && program.len() <= MAX_NAME_BYTES
    }

    /// Stores a reservation and answers with all reservations of the account. It is written also when it repeats a stored
    /// one, whose write may not be synced yet.
    pub(super) fn reserve(&mut self, now_ms: u64, program: &str, reservation: Reservation) -> Outcome {
        if !self.accepts_account_writes(program) || !self.accounts.admits(program) {
            return Outcome::without_writes(Answer::NotReady);
        }
        if self.capacity != DiskCapacity::Ample && self.accounts.read(now_ms, program).is_none() {
            return Outcome::without_writes(Answer::NotReady);
        }
        let (tokens, _) = self.accounts.merge(now_ms, program, reservation);
        let answer = Answer::Account(self.reservations(now_ms, program));
        Outcome::synced(answer, vec![account_write(program, reservation.attempt, tokens)])
    }

    /// Lowers a reservation to the tokens that the attempt has used.
    pub(super) fn settle(&mut self, now_ms: u64, program: &str, reservation: Reservation) -> Outcome {
        if !self.accepts_account_writes(program) {
            return Outcome::without_writes(Answer::NotReady);
        }
        let (tokens, changed) = self.accounts.merge(now_ms, program, reservation);
        let writes = changed.then(|| account_write(program, reservation.attempt, tokens));
        Outcome::deferred(Answer::Done, writes.into_iter().collect())
    }

    /// Answers with all reservations of an account. Only a replica that is in sync may answer a read.
    pub(super) fn read_account(&mut self, now_ms: u64, program: &str) -> Outcome {
        if !self.is_founded() || !self.is_in_sync() {
            return Outcome::without_writes(Answer::NotReady);
        }
        Outcome::without_writes(Answer::Account(self.reservations(now_ms, program)))
    }

    fn reservations(&mut self, now_ms: u64, program: &str) -> Vec<Reservation> {
        let account = self.accounts.read(now_ms, program);
        let tokens = account.into_iter().flat_map(|account| &account.tokens);
        tokens.map(|(&attempt, &tokens)| Reservation { attempt, tokens }).collect()
    }
}
