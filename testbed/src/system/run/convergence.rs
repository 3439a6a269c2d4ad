//! Convergence after the last fault: what has to hold, and the wait for it.

use super::SETTLED_MS;
use super::SystemRun;
use crate::system::history::{Fact, LookupResult};
use crate::system::runtime::Feed;
use fleet_model::Ballot;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
/// Maximum age of a process's feed state after convergence.
const FRESH: Duration = Duration::from_millis(2_000);

impl SystemRun {
    /// Waits until all conditions are met and all completed turns can be looked up.
    pub(in crate::system) fn settle(self: &Rc<Self>) -> Fact {
        let started_at = self.cluster.elapsed_ms();
        loop {
            self.cluster.run_ms(200);
            let after = self.cluster.elapsed_ms() - started_at;
            let mut unmet = self.unmet_conditions();
            if unmet.is_empty() {
                unmet.extend(self.missing_turns());
            }
            if unmet.is_empty() || after >= SETTLED_MS {
                return Fact::Settled { after, unmet };
            }
        }
    }

    /// Looks up each completed turn and reports how many were not found.
    pub(in crate::system) fn missing_turns(self: &Rc<Self>) -> Option<String> {
        let missing = Rc::new(Cell::new(0));
        let attempts = self.completed_turns.borrow().clone();
        missing.set(attempts.len());
        for attempt in attempts {
            let (run, missing) = (self.clone(), missing.clone());
            self.cluster.executor.spawn(self.cluster.driver, async move {
                let Some(proxy) = run.pick(&run.proxies) else { return };
                let host = proxy.host().clone();
                let result =
                    run.call_process(&host, 2_000, async move { proxy.look_up(&attempt).await }).await;
                if !matches!(result, None | Some(LookupResult::Unavailable)) {
                    missing.set(missing.get() - 1);
                }
            });
        }
        for _ in 0..22 {
            if missing.get() > 0 {
                self.cluster.run_ms(100);
            }
        }
        (missing.get() > 0).then(|| format!("{} turns are not to be had", missing.get()))
    }

    /// The convergence conditions that are not met.
    pub(in crate::system) fn unmet_conditions(&self) -> Vec<String> {
        let mut unmet = Vec::new();
        let control_nodes = self.control_nodes.borrow();
        let newest = control_nodes
            .values()
            .map(|control_node| control_node.feed.value())
            .max_by_key(|value| value.ballot);
        let Some(newest) = newest else { return vec!["no keeper runs".to_owned()] };
        let state = control_nodes
            .values()
            .map(|control_node| control_node.feed.state())
            .max_by_key(|state| state.version());
        let mut behind = |what: String, feed: &Feed| {
            if feed.value().ballot < newest.ballot || newest.ballot == Ballot::default() {
                unmet.push(format!("{what} goes by an older value"));
            } else if feed.age().is_none_or(|age| age > FRESH) {
                unmet.push(format!("{what} has heard nothing of late"));
            }
        };
        for (node, control_node) in &*control_nodes {
            behind(format!("keeper {node}"), &control_node.feed);
        }
        for (node, store) in &*self.stores.borrow() {
            behind(format!("store {node}"), &store.feed);
        }
        for (node, (_, feed)) in &*self.agents.borrow() {
            behind(format!("agent {node}"), feed);
        }
        for (node, proxy) in &*self.proxies.borrow() {
            behind(format!("proxy {node}"), &proxy.feed);
        }
        for (node, control_node) in &*control_nodes {
            if !control_node.can_vote() || !newest.voters.contains(&self.cluster.machine_of(*node).ip) {
                unmet.push(format!("keeper {node} does not vote"));
            }
        }
        if !control_nodes.values().any(|control_node| control_node.discovery_token().is_some()) {
            unmet.push("nobody holds the duty".to_owned());
        }
        if !self.acknowledged.get() {
            unmet.push("no configuration was acknowledged".to_owned());
        }
        if let Some(state) = state {
            unmet.extend(self.unmet_roster_condition(&state.roster));
        }
        unmet
    }

    pub(in crate::system) fn unmet_roster_condition(&self, roster: &fleet_model::Roster) -> Option<String> {
        let min_members = 2 * self.cluster.tolerance + 1;
        if roster.next.is_some() {
            return Some("a change of the roster is under way".to_owned());
        }
        let retired = |name: &String| roster.retiring.contains(name);
        let live: Vec<u64> = self
            .stores
            .borrow()
            .values()
            .filter(|store| !retired(&store.me.name))
            .map(|store| store.me.disk)
            .collect();
        let current: Vec<u64> = roster.current.iter().map(|store| store.disk).collect();
        if !live.iter().all(|disk| current.contains(disk)) {
            return Some(format!("live {live:?} are not all in {current:?}"));
        }
        if live.len() != current.len() && current.len() != min_members {
            return Some(format!("{current:?} count, and only {live:?} live"));
        }
        roster.current.iter().any(|store| retired(&store.name)).then(|| "a retired machine counts".to_owned())
    }
}
