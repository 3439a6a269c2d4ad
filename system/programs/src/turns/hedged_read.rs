//! Chain reads: nodes of the own zone first, then all others.

use super::{CALL_TIMEOUT, ChainRead, ChainSegment, HEDGE_DELAY, Round, TurnClient};
use fleet_model::{Answer, Call, StorageNode};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::collections::BTreeSet;
use turn_store::is_surely_absent;

impl TurnClient {
    pub(super) async fn try_read_chain(&self, attempt: &str) -> Round<ChainRead> {
        let state = self.feed.state();
        let roster = &state.roster;
        let mut stores: Vec<&StorageNode> = roster.current.iter().collect();
        stores.extend(roster.next.iter().flatten().filter(|store| !roster.current.contains(store)));
        let zone = self.process.settings().zone.clone();
        let call = || Call::ReadChain { epoch: roster.epoch, attempt: attempt.to_owned() };
        let mut absent_at: BTreeSet<u64> = BTreeSet::new();
        let (near, far): (Vec<&StorageNode>, Vec<&StorageNode>) =
            stores.into_iter().partition(|store| store.zone == zone && !self.is_unresponsive(store));
        for (stores, timeout) in [(near, HEDGE_DELAY), (far, CALL_TIMEOUT)] {
            let mut calls: FuturesUnordered<_> = stores
                .into_iter()
                .map(|store| async { (store.disk, self.call_node(store, call(), timeout).await) })
                .collect();
            while let Some((disk, answer)) = calls.next().await {
                match answer {
                    Ok(Answer::Chain { text, missing, served_by }) => {
                        let served_by = served_by.map(Into::into);
                        return Round::Done(ChainRead::Segment(ChainSegment { text, missing, served_by }));
                    }
                    Ok(Answer::Absent { complete: true }) => drop(absent_at.insert(disk)),
                    _ => {}
                }
            }
        }
        match is_surely_absent(roster, &absent_at, self.losses()) {
            true => Round::Done(ChainRead::Absent),
            false => Round::Retry,
        }
    }
}
