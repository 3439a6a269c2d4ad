//! Turns, written at as many machines as needed.

use super::{HEDGE, PATIENCE, Round, TurnClient};
use fleet_model::{Answer, Call, StorageNode, Turn, rendezvous_rank};
use futures_util::stream::{FuturesUnordered, StreamExt};
use request_forwarding::CompletedTurn;
use std::collections::BTreeSet;
use tokio::time::timeout;
use turn_store::{copies_needed, copy_order, has_copies};

impl TurnClient {
    pub(super) async fn keep_round(&self, turn: &CompletedTurn) -> Round<()> {
        let state = self.feed.state();
        let roster = &state.roster;
        let zone = self.process.settings().zone.clone();
        let copies = self.losses() + 1;
        let stores = copy_order(roster, |store| {
            (self.is_down(store), store.zone != zone, !rendezvous_rank(turn.attempt.as_bytes(), store.disk))
        });
        let Some(first) = copies_needed(roster, &stores, copies) else { return Round::Again };
        let record = |holders: Vec<u64>| Turn {
            attempt: turn.attempt.clone(),
            previous: turn.previous.clone(),
            input: turn.input.clone(),
            output: turn.output.clone(),
            retention_ms: turn.retention_ms,
            replicas: holders,
        };
        let keep = async |store: &StorageNode, holders: Vec<u64>| {
            let call = Call::StoreTurn { epoch: roster.epoch, turn: record(holders) };
            (store.disk, self.ask(store, call, PATIENCE).await)
        };
        let mut waiting = stores.iter().copied();
        let mut calls: FuturesUnordered<_> =
            waiting.by_ref().take(first.len()).map(|store| keep(store, first.clone())).collect();
        let mut kept: BTreeSet<u64> = BTreeSet::new();
        while !has_copies(roster, &kept, copies) {
            match timeout(HEDGE, calls.next()).await {
                Ok(Some((disk, Ok(Answer::Done)))) => drop(kept.insert(disk)),
                Ok(Some(_)) | Err(_) => match waiting.next() {
                    Some(store) => calls.push(keep(store, first.clone())),
                    None if calls.is_empty() => return Round::Again,
                    None => {}
                },
                Ok(None) => return Round::Again,
            }
        }
        let holders: Vec<u64> = kept.iter().copied().collect();
        if first.iter().all(|disk| kept.contains(disk)) {
            return Round::Done(());
        }
        // Each copy has to name the machines that do hold it: by that the others know what to hand over.
        let named: FuturesUnordered<_> = stores
            .iter()
            .filter(|store| kept.contains(&store.disk))
            .map(|store| keep(store, holders.clone()))
            .collect();
        let named: Vec<_> = named.collect().await;
        match named.iter().all(|(_, answer)| matches!(answer, Ok(Answer::Done))) {
            true => Round::Done(()),
            false => Round::Again,
        }
    }
}
