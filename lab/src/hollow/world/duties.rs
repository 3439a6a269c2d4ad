//! The singleton task of the control nodes, and whom its holder looks after.

use super::calls::Pending;
use super::network::LinkKind;
use super::schedule::Due;
use super::{MS, World};
use crate::hollow::feed::MOST_AGE;
use crate::hollow::keeper::{LIST, ListFeed, Wanted};
use fleet_model::{Call, rank};
use std::net::Ipv4Addr;

impl World {
    pub(super) fn duty(&mut self, node: usize) {
        let now = self.now;
        let ip = self.nodes[node].ip;
        let fence = self.nodes[node].feed.state().fences.get(LIST).cloned().unwrap_or_default();
        let fresh = self.nodes[node].feed.age(now).is_some_and(|age| age < MOST_AGE);
        if fence.holder == Some(ip) {
            if fresh {
                self.read_list(node, fence.number);
                self.look_after_stores(node);
                self.look_after_voters(node);
            }
            return self.later(node, if fresh { 1_000 * MS } else { 100 * MS }, Due::Duty);
        }
        let keeper = self.nodes[node].keeper.as_ref();
        let answers = |other: Ipv4Addr| {
            other == ip
                || keeper.and_then(|keeper| keeper.seen.get(&other)).is_some_and(|at| now - at < 1_200 * MS)
        };
        let voters = self.nodes[node].feed.value().voters.clone();
        let stands = fence.holder.is_some_and(|holder| voters.contains(&holder) && answers(holder));
        let best = voters
            .iter()
            .filter(|voter| answers(**voter))
            .max_by_key(|voter| rank(&voter.octets(), fence.number))
            .copied();
        if fresh && !stands && best == Some(ip) {
            self.want(node, Wanted::Duty(fence.number + 1, ip), 600 * MS);
        }
        self.follow_lists(node, fence.holder);
        self.later(node, 200 * MS, Due::Duty);
    }

    pub(super) fn follow_lists(&mut self, node: usize, holder: Option<Ipv4Addr>) {
        let follows = self.nodes[node].keeper.as_ref().and_then(|keeper| keeper.follows.as_ref());
        if let Some(follows) = follows {
            if Some(follows.holder) == holder && self.now < follows.heard_at + MOST_AGE {
                return;
            }
            self.leave_lists(node);
        }
        let Some((ip, to)) = holder.and_then(|ip| Some((ip, *self.by_ip.get(&ip)?))) else { return };
        let Some(link) = self.open(LinkKind::Lists, node, to) else { return };
        let zone = format!("core:{}", self.plan.zone(self.nodes[node].zone));
        let call = self.subscription(node, true, Some(zone));
        let now = self.now;
        self.call_on(node, link, to, call);
        if let Some(keeper) = &mut self.nodes[node].keeper {
            keeper.follows = Some(ListFeed { link, holder: ip, heard_at: now });
        }
    }

    pub(super) fn leave_lists(&mut self, node: usize) {
        let keeper = self.nodes[node].keeper.as_mut();
        if let Some(follows) = keeper.and_then(|keeper| keeper.follows.take()) {
            self.close(node, follows.link);
        }
    }

    pub(super) fn look_after_stores(&mut self, node: usize) {
        let now = self.now;
        let state = self.nodes[node].feed.state().clone();
        let next = state.roster.next.as_ref().unwrap_or(&state.roster.current);
        for store in next {
            if let Some(to) = self.by_ip.get(&store.ip).copied() {
                let call = Call::Inspect { topic: "disk".to_owned() };
                self.call(node, to, call, Pending::Inspect { disk: store.disk }, 400 * MS);
            }
        }
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        for store in next {
            keeper.stores_seen.entry(store.disk).or_insert(now);
        }
        // Who is silent is judged once all have answered, or have had the time to.
        self.later(node, 400 * MS, Due::Judge);
    }

    pub(super) fn judge_stores(&mut self, node: usize) {
        let now = self.now;
        let state = self.nodes[node].feed.state().clone();
        let next = state.roster.next.as_ref().unwrap_or(&state.roster.current);
        let Some(keeper) = &self.nodes[node].keeper else { return };
        let silent = |disk: u64| now - keeper.stores_seen.get(&disk).copied().unwrap_or(now);
        let gone =
            next.iter().max_by_key(|store| silent(store.disk)).filter(|s| silent(s.disk) > 10_000 * MS);
        if let Some(gone) = gone
            && next.len() > 3
        {
            self.want(node, Wanted::WithoutStore(gone.disk, state.roster.epoch), 600 * MS);
        }
    }

    pub(super) fn look_after_voters(&mut self, node: usize) {
        let (now, ip) = (self.now, self.nodes[node].ip);
        let voters = self.nodes[node].feed.value().voters.clone();
        let Some(keeper) = &self.nodes[node].keeper else { return };
        let silent = |voter: &&Ipv4Addr| {
            **voter != ip && keeper.seen.get(*voter).is_none_or(|at| now - at > 5_000 * MS)
        };
        if voters.len() > 3
            && let Some(gone) = voters.iter().find(silent).copied()
        {
            self.want(node, Wanted::WithoutVoter(gone), 600 * MS);
        }
    }
}
