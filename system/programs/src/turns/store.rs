//! Replicated writes of turns, with hedged requests to further nodes.

use super::{CALL_TIMEOUT, HEDGE_DELAY, Round, TurnClient};
use fleet_model::{Answer, Call, StorageNode, Turn, rendezvous_rank};
use futures_util::stream::{FuturesUnordered, StreamExt};
use request_forwarding::CompletedTurn;
use std::collections::BTreeSet;
use tokio::time::timeout;
use turn_store::{NodePreference, copies_needed, copy_order, has_copies};

impl TurnClient {
    pub(super) async fn try_store_turn(&self, turn: &CompletedTurn) -> Round<()> {
        let state = self.feed.state();
        let roster = &state.roster;
        let zone = self.process.settings().zone.clone();
        let copies = self.losses() + 1;
        let stores = copy_order(roster, |store| NodePreference {
            is_down: self.is_unresponsive(store),
            is_remote: store.zone != zone,
            rank: !rendezvous_rank(turn.attempt.as_bytes(), store.disk),
        });
        let Some(first) = copies_needed(roster, &stores, copies) else { return Round::Retry };
        let record = |replicas: Vec<u64>| Turn {
            attempt: turn.attempt.clone(),
            previous: turn.previous.clone(),
            input: turn.input.clone(),
            output: turn.output.clone(),
            retention_ms: turn.retention_ms,
            replicas,
        };
        let keep = async |store: &StorageNode, replicas: Vec<u64>| {
            let call = Call::StoreTurn {
                epoch: roster.epoch,
                turn: record(replicas),
                served_by: turn.served_by.as_deref().map(str::to_owned),
            };
            (store.disk, self.call_node(store, call, CALL_TIMEOUT).await)
        };
        let mut remaining = stores.iter().copied();
        let mut calls: FuturesUnordered<_> =
            remaining.by_ref().take(first.len()).map(|store| keep(store, first.clone())).collect();
        let mut stored: BTreeSet<u64> = BTreeSet::new();
        while !has_copies(roster, &stored, copies) {
            match timeout(HEDGE_DELAY, calls.next()).await {
                Ok(Some((disk, Ok(Answer::Done)))) => drop(stored.insert(disk)),
                Ok(Some(_)) | Err(_) => match remaining.next() {
                    Some(store) => calls.push(keep(store, first.clone())),
                    None if calls.is_empty() => return Round::Retry,
                    None => {}
                },
                Ok(None) => return Round::Retry,
            }
        }
        let replicas: Vec<u64> = stored.iter().copied().collect();
        if first.iter().all(|disk| stored.contains(disk)) {
            return Round::Done(());
        }
        // Each replica has to name the nodes that really store the turn: backfill relies on it.
        let renamed: FuturesUnordered<_> = stores
            .iter()
            .filter(|store| stored.contains(&store.disk))
            .map(|store| keep(store, replicas.clone()))
            .collect();
        let renamed: Vec<_> = renamed.collect().await;
        match renamed.iter().all(|(_, answer)| matches!(answer, Ok(Answer::Done))) {
            true => Round::Done(()),
            false => Round::Retry,
        }
    }
}
