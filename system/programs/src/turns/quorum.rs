//! Quorum writes and reads of accounts at their replicas.

use super::{CALL_TIMEOUT, Round, TurnClient, increment};
use fleet_model::{Answer, Call, Reservation, StorageNode};
use futures_util::stream::{FuturesUnordered, StreamExt};
use request_forwarding::ReserveOutcome;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::{sleep, timeout};
use turn_store::{AccountReplicas, merge_reservations};

/// How long the remaining replicas are awaited once a quorum has answered.
const STRAGGLER_GRACE: Duration = Duration::from_millis(6);

impl TurnClient {
    pub(super) async fn try_reserve(
        &self,
        program: &str,
        reservation: Reservation,
        budget: u32,
    ) -> Round<ReserveOutcome> {
        let state = self.feed.state();
        let roster = &state.roster;
        let Some(replicas) = AccountReplicas::for_program(roster, program, self.losses()) else {
            return Round::Retry;
        };
        let write =
            |_: &StorageNode| Call::Reserve { epoch: roster.epoch, program: program.to_owned(), reservation };
        let Some((written, all)) = self.call_quorum(&replicas, write, true).await else {
            return Round::Retry;
        };
        let account = match all {
            true => {
                increment(&self.metrics.granted_in_one_round);
                written
            }
            // A concurrent write is possible: a read after the own write sees all writes that were completed before it.
            false => {
                increment(&self.metrics.granted_after_read);
                let read =
                    |_: &StorageNode| Call::ReadAccount { epoch: roster.epoch, program: program.to_owned() };
                let Some((mut account, _)) = self.call_quorum(&replicas.current_only(), read, false).await
                else {
                    return Round::Retry;
                };
                merge_reservations(
                    &mut account,
                    written.into_iter().map(|(attempt, tokens)| Reservation { attempt, tokens }),
                );
                account
            }
        };
        let sum: u64 = account.values().map(|tokens| u64::from(*tokens)).sum();
        Round::Done(if sum <= u64::from(budget) {
            ReserveOutcome::Granted
        } else {
            ReserveOutcome::BudgetExhausted
        })
    }

    /// Calls all replicas and waits for a quorum of the current set and of the next one. Returns the merged account of the
    /// current replicas, and whether all of them answered.
    async fn call_quorum(
        &self,
        replicas: &AccountReplicas<'_>,
        call: impl Fn(&StorageNode) -> Call,
        wait_for_all: bool,
    ) -> Option<(BTreeMap<u64, u32>, bool)> {
        let mut calls: FuturesUnordered<_> = replicas
            .all()
            .map(|store| async { (store.disk, self.call_node(store, call(store), CALL_TIMEOUT).await) })
            .collect();
        let (mut account, mut answered) = (BTreeMap::new(), BTreeSet::new());
        loop {
            let enough = replicas.is_quorum(&answered);
            let all = replicas.current.iter().all(|store| answered.contains(&store.disk));
            if enough && (all || !wait_for_all) {
                return Some((account, all));
            }
            let next = match enough {
                true => timeout(STRAGGLER_GRACE, calls.next()).await.ok().flatten(),
                false => calls.next().await,
            };
            match next {
                Some((disk, Ok(Answer::Account(reservations)))) => {
                    answered.insert(disk);
                    if replicas.current.iter().any(|store| store.disk == disk) {
                        merge_reservations(&mut account, reservations);
                    }
                }
                Some(_) => {}
                None if enough => return Some((account, false)),
                None => return None,
            }
        }
    }

    pub(super) async fn settle_at_replicas(&self, program: &str, reservation: Reservation) {
        // A lost settlement leaves the reservation at its maximum, which is safe: two attempts are enough.
        for _ in 0..2 {
            let state = self.feed.state();
            let Some(replicas) = AccountReplicas::for_program(&state.roster, program, self.losses()) else {
                return;
            };
            let epoch = state.roster.epoch;
            let call = |_: &StorageNode| Call::Settle { epoch, program: program.to_owned(), reservation };
            let calls: FuturesUnordered<_> =
                replicas.all().map(|store| self.call_node(store, call(store), CALL_TIMEOUT)).collect();
            let answers: Vec<_> = calls.collect().await;
            if answers.iter().all(|answer| matches!(answer, Ok(Answer::Done | Answer::Account(_)))) {
                return;
            }
            sleep(Duration::from_millis(150)).await;
        }
    }
}
