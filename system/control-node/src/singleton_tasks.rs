//! Singleton tasks: whoever holds the lease reads the platform's list and looks after storage machines and voters that are
//! gone. What is to be done is decided in `controllers`; here it is carried out.

use crate::membership::CHANGE;
use crate::proposer::Wanted;
use crate::{ControlBackend, ControlEvent, ControlNode, ENDPOINT_DISCOVERY_TASK, StorageLosses};
use controllers::{DiscoveryPolls, RosterStep, UnresponsiveVoter, VoterController, holds_lease, times};
use fleet_model::{Answer, Call, ControlState, Lease, StorageNode};
use futures_util::future::join_all;
use node_runtime::{Runtime, follow_lists, timeout};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for a storage machine's answer to a look.
const LOOK: Duration = Duration::from_millis(400);
/// Who lives is not known before so long after the start.
const KNOWS_OTHERS: Duration = Duration::from_millis(300);
/// Between two looks at whether what is known is fresh, if no poll ends before.
const UNTIL_FRESH: Duration = Duration::from_millis(100);
/// Between two looks at who holds the lease, to be fed by it.
const FOLLOW_AGAIN: Duration = Duration::from_millis(150);

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Who holds the lease of the singleton task.
    fn holder(&self) -> Option<Ipv4Addr> {
        self.feed.state().leases.get(ENDPOINT_DISCOVERY_TASK).and_then(|fence| fence.holder)
    }

    /// Acquires the lease if it is this node's turn.
    async fn acquire_lease(&self) {
        let value = self.feed.value();
        let from: Option<Lease> = {
            let core = self.core.borrow();
            let now = self.runtime.now_ms();
            self.candidate.borrow_mut().lease_to_acquire(now, &self.feed.state(), &value.voters, &core)
        };
        let Some(from) = from else { return };
        let wanted =
            |state: &ControlState| self.backend.acquire(&self.candidate.borrow(), state, &from).into();
        if self.change(CHANGE, wanted).await {
            let token = self.candidate.borrow_mut().change_committed(&self.feed.state(), &from);
            if let Some(token) = token {
                self.backend.on_event(&ControlEvent::LeaseAcquired { task: ENDPOINT_DISCOVERY_TASK, token });
            }
        }
    }

    /// The task of reading the list, as long as the lease is this node's and a majority stands behind it.
    pub(crate) async fn keep_tasks(self: Rc<Self>) {
        if !self.backend.discovers_endpoints() {
            return;
        }
        let mut readings = DiscoveryPolls::default();
        let began = self.runtime.now();
        loop {
            // Who lives is not known at once; a node that had the lease in its former life need not know it.
            let knows_others = self.holder() == Some(self.me) || self.runtime.now() - began >= KNOWS_OTHERS;
            if !self.is_fresh() || !knows_others {
                let _ = timeout(&self.runtime, UNTIL_FRESH, self.polled.notified()).await;
                continue;
            }
            let Some(token) = self.discovery_token() else {
                self.acquire_lease().await;
                if self.discovery_token().is_none() {
                    self.runtime.sleep(Duration::from_millis(200 + self.runtime.random_u64() % 50)).await;
                }
                continue;
            };
            let asked = self.runtime.now_ms();
            self.read_list(&mut readings, asked, token).await;
            let took = self.runtime.now_ms().saturating_sub(asked);
            self.runtime.sleep(Duration::from_millis(times::POLL_INTERVAL_MS.saturating_sub(took))).await;
        }
    }

    async fn read_list(&self, readings: &mut DiscoveryPolls, asked: u64, token: u64) {
        match self.backend.discover_endpoints().await {
            // Read under a lease that may have passed to another: its stamp says so, and loses.
            Ok(endpoints) => {
                let now = self.runtime.now_ms();
                if let Some(list) = readings.accept_poll(now, asked, token, &self.feed.list(), endpoints) {
                    self.feed.update_list(list);
                }
            }
            Err(e) => self.backend.on_event(&ControlEvent::DiscoveryFailed(&e.to_string())),
        }
    }

    /// Knows how the storage and core machines are, so that whoever gets the lease can act at once; the holder acts.
    pub(crate) async fn keep_watch(self: Rc<Self>) {
        loop {
            self.observe();
            if self.stores.borrow().is_probe_due(self.runtime.now_ms()) {
                self.look_at_stores().await;
                if self.is_fresh()
                    && let Some(token) = self.discovery_token()
                {
                    self.look_after_stores(token).await;
                }
            }
            if self.is_fresh()
                && let Some(token) = self.discovery_token()
            {
                self.look_after_voters(token).await;
            }
            self.runtime.sleep(Duration::from_millis(times::PROBE_RETRY_INTERVAL_MS)).await;
        }
    }

    /// Takes note of who belongs to the fleet.
    fn observe(&self) {
        let now = self.runtime.now_ms();
        self.core.borrow_mut().observe(now, &self.feed.value().voters);
        let state = self.feed.state();
        let mut stores = self.stores.borrow_mut();
        stores.observe(now, &state.roster, self.min_storage_nodes());
        let to_bear = self.backend.tolerance();
        if let Some(borne) = stores.loss_tolerance_change(&state.roster, to_bear) {
            self.backend.on_event(&ControlEvent::StorageLosses(StorageLosses { to_bear, borne }));
        }
    }

    async fn look_at_stores(&self) {
        let state = self.feed.state();
        let roster = &state.roster;
        let mut members = roster.current.clone();
        let further =
            controllers::proposed_nodes(roster).iter().filter(|store| !roster.current.contains(store));
        members.extend(further.cloned());
        self.stores.borrow_mut().begin_probe_round(self.runtime.now_ms());
        join_all(members.iter().map(|store| self.look_at(store))).await;
    }

    async fn look_at(&self, store: &StorageNode) {
        let call = Call::Inspect { topic: "disk".to_owned() };
        let answer = self.runtime.call(store.ip, call, LOOK).await;
        let is_there = matches!(&answer, Some(Answer::View(text)) if text.trim() == store.disk.to_string());
        let mut stores = self.stores.borrow_mut();
        match is_there {
            true => stores.record_response(self.runtime.now_ms(), store.disk),
            false => stores.record_missed_probe(store.disk),
        }
    }

    async fn look_after_stores(&self, token: u64) {
        self.observe();
        let state = self.feed.state();
        let epoch = state.roster.epoch;
        let least = self.min_storage_nodes();
        let step = self.stores.borrow().step(self.runtime.now_ms(), &state, self.backend.tolerance());
        // A holder that slept meanwhile may have lost the lease to one that sees better.
        let still_holds = |state: &ControlState| holds_lease(state, ENDPOINT_DISCOVERY_TASK, self.me, token);
        if let RosterStep::RemoveNode { store, unresponsive_ms, .. } = &step {
            self.backend.on_event(&ControlEvent::Evicts { store, silent_ms: *unresponsive_ms });
        }
        if step != RosterStep::NoChange {
            let wanted = |state: &ControlState| match still_holds(state) {
                true => step.apply_to(state, epoch, least).into(),
                false => Wanted::Nothing,
            };
            self.change(CHANGE, wanted).await;
        }
    }

    async fn look_after_voters(&self, token: u64) {
        let gone = self.core.borrow().voter_to_remove(self.runtime.now_ms(), &self.feed.value().voters);
        let Some(UnresponsiveVoter { ip: voter, unresponsive_ms: silent_ms }) = gone else { return };
        self.backend.on_event(&ControlEvent::RemovesVoter { voter, silent_ms });
        let wanted = |state: &ControlState, voters: &[Ipv4Addr]| match holds_lease(
            state,
            ENDPOINT_DISCOVERY_TASK,
            self.me,
            token,
        ) {
            true => VoterController::without_voter(voters, voter).map_or(Wanted::Nothing, Wanted::Voters),
            false => Wanted::Nothing,
        };
        self.propose(CHANGE, wanted).await;
    }

    /// Has the list from the node that holds the lease.
    pub(crate) async fn keep_following_list(self: Rc<Self>) {
        loop {
            match self.holder() {
                Some(holder) if holder != self.me => {
                    follow_lists(&self.feed, holder, || self.holder() == Some(holder)).await;
                }
                _ => {}
            }
            self.runtime.sleep(FOLLOW_AGAIN).await;
        }
    }
}
