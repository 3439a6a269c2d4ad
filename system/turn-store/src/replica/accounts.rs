//! The accounts of programs: token reservations by attempt, of which the lowest count holds.

use super::{DiskCapacity, MAX_NAME_BYTES, Outcome, ReplicaState};
use crate::records::account_write;
use fleet_model::{Answer, Reservation};
use std::collections::BTreeMap;

const ACCOUNT_RETENTION_MS: u64 = 600_000;

#[derive(Debug, Default)]
pub(super) struct Account {
    pub(super) tokens: BTreeMap<u64, u32>,
    pub(super) expiry_ms: u64,
}

impl Account {
    /// Takes the lower count; tells what then holds, and whether that is news.
    pub(super) fn merge(&mut self, reservation: Reservation) -> (u32, bool) {
        let held = self.tokens.get(&reservation.attempt).copied();
        let tokens = held.map_or(reservation.tokens, |held| held.min(reservation.tokens));
        self.tokens.insert(reservation.attempt, tokens);
        (tokens, held != Some(tokens))
    }
}

impl ReplicaState {
    pub(super) fn account(&mut self, now_ms: u64, program: &str) -> &mut Account {
        if !self.accounts.contains_key(program) {
            self.accounts.insert(program.into(), Account::default());
        }
        let account = self.accounts.entry(program.into()).or_default();
        account.expiry_ms = account.expiry_ms.max(now_ms.saturating_add(ACCOUNT_RETENTION_MS));
        account
    }

    pub(super) fn reserve(&mut self, now_ms: u64, program: &str, reservation: Reservation) -> Outcome {
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

    pub(super) fn settle(&mut self, now_ms: u64, program: &str, reservation: Reservation) -> Outcome {
        if !self.accepts_writes() || program.len() > MAX_NAME_BYTES {
            return Outcome::free(Answer::NotReady);
        }
        let (tokens, news) = self.account(now_ms, program).merge(reservation);
        let writes = news.then(|| account_write(program, reservation.attempt, tokens));
        Outcome::lazy(Answer::Done, writes.into_iter().collect())
    }

    pub(super) fn read_account(&mut self, now_ms: u64, program: &str) -> Outcome {
        if !self.is_founded() || !self.is_in_sync() {
            return Outcome::free(Answer::NotReady);
        }
        let Some(account) = self.accounts.get_mut(program) else {
            return Outcome::free(Answer::Account(Vec::new()));
        };
        account.expiry_ms = account.expiry_ms.max(now_ms.saturating_add(ACCOUNT_RETENTION_MS));
        Outcome::free(Answer::Account(reservations(account)))
    }
}

fn reservations(account: &Account) -> Vec<Reservation> {
    account.tokens.iter().map(|(&attempt, &tokens)| Reservation { attempt, tokens }).collect()
}
