//! Chains, read near first and then everywhere.

use super::{Found, HEDGE, PATIENCE, Round, TurnClient};
use fleet_model::{Answer, Call, StorageNode};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::collections::BTreeSet;
use turn_store::is_surely_absent;

impl TurnClient {
    pub(super) async fn find_round(&self, attempt: &str) -> Round<Found> {
        let state = self.feed.state();
        let roster = &state.roster;
        let mut stores: Vec<&StorageNode> = roster.current.iter().collect();
        stores.extend(roster.next.iter().flatten().filter(|store| !roster.current.contains(store)));
        let zone = self.process.settings().zone.clone();
        let call = || Call::ReadChain { epoch: roster.epoch, attempt: attempt.to_owned() };
        let mut surely_not: BTreeSet<u64> = BTreeSet::new();
        let (near, far): (Vec<&StorageNode>, Vec<&StorageNode>) =
            stores.into_iter().partition(|store| store.zone == zone && !self.is_down(store));
        for (stores, patience) in [(near, HEDGE), (far, PATIENCE)] {
            let mut calls: FuturesUnordered<_> = stores
                .into_iter()
                .map(|store| async { (store.disk, self.ask(store, call(), patience).await) })
                .collect();
            while let Some((disk, answer)) = calls.next().await {
                match answer {
                    Ok(Answer::Chain { text, missing }) => return Round::Done(Found::Piece(text, missing)),
                    Ok(Answer::Absent { complete: true }) => drop(surely_not.insert(disk)),
                    _ => {}
                }
            }
        }
        match is_surely_absent(roster, &surely_not, self.losses()) {
            true => Round::Done(Found::Nowhere),
            false => Round::Again,
        }
    }
}
