//! The accounts of programs: token reservations by attempt, of which the lowest count holds.

use super::{DiskCapacity, MAX_NAME_BYTES, Outcome, ReplicaState};
use crate::records::account_write;
use fleet_model::{Answer, Reservation};
use std::collections::BTreeMap;

/// Retention of an account after its last access, in milliseconds.
const ACCOUNT_RETENTION_MS: u64 = 600_000;

/// The account of one program: its tokens by attempt, and when it expires unless it is accessed again.
#[derive(Debug, Default)]
pub(super) struct Account {
    pub(super) tokens: BTreeMap<u64, u32>,
    pub(super) expiry_ms: u64,
}

impl Account {
    /// Merges a reservation by taking the lower count, which makes the order and repetition of merges irrelevant. Returns
    /// the resulting count and whether it has changed.
    pub(super) fn merge(&mut self, reservation: Reservation) -> (u32, bool) {
        let stored = self.tokens.get(&reservation.attempt).copied();
        let tokens = stored.map_or(reservation.tokens, |stored| stored.min(reservation.tokens));
        self.tokens.insert(reservation.attempt, tokens);
        (tokens, stored != Some(tokens))
    }
}

impl ReplicaState {
    /// The account of a program, created if there is none, with its retention renewed.
    pub(super) fn account(&mut self, now_ms: u64, program: &str) -> &mut Account {
        if !self.accounts.contains_key(program) {
            self.accounts.insert(program.into(), Account::default());
        }
        let account = self.accounts.entry(program.into()).or_default();
        account.expiry_ms = account.expiry_ms.max(now_ms.saturating_add(ACCOUNT_RETENTION_MS));
        account
    }

    /// Stores a reservation and answers with all reservations of the account. It is written also when it repeats a stored
    /// one, whose write may not be synced yet.
    pub(super) fn reserve(&mut self, now_ms: u64, program: &str, reservation: Reservation) -> Outcome {
        if !self.accepts_writes() || program.len() > MAX_NAME_BYTES {
            return Outcome::without_writes(Answer::NotReady);
        }
        if self.capacity != DiskCapacity::Ample && !self.accounts.contains_key(program) {
            return Outcome::without_writes(Answer::NotReady);
        }
        let account = self.account(now_ms, program);
        let (tokens, _) = account.merge(reservation);
        let answer = Answer::Account(reservations(account));
        Outcome::synced(answer, vec![account_write(program, reservation.attempt, tokens)])
    }

    /// Lowers a reservation to the tokens that the attempt has used.
    pub(super) fn settle(&mut self, now_ms: u64, program: &str, reservation: Reservation) -> Outcome {
        if !self.accepts_writes() || program.len() > MAX_NAME_BYTES {
            return Outcome::without_writes(Answer::NotReady);
        }
        let (tokens, changed) = self.account(now_ms, program).merge(reservation);
        let writes = changed.then(|| account_write(program, reservation.attempt, tokens));
        Outcome::deferred(Answer::Done, writes.into_iter().collect())
    }

    /// Answers with all reservations of an account. Only a replica that is in sync may answer a read.
    pub(super) fn read_account(&mut self, now_ms: u64, program: &str) -> Outcome {
        if !self.is_founded() || !self.is_in_sync() {
            return Outcome::without_writes(Answer::NotReady);
        }
        let Some(account) = self.accounts.get_mut(program) else {
            return Outcome::without_writes(Answer::Account(Vec::new()));
        };
        account.expiry_ms = account.expiry_ms.max(now_ms.saturating_add(ACCOUNT_RETENTION_MS));
        Outcome::without_writes(Answer::Account(reservations(account)))
    }
}

fn reservations(account: &Account) -> Vec<Reservation> {
    account.tokens.iter().map(|(&attempt, &tokens)| Reservation { attempt, tokens }).collect()
}
