//! A simulated storage node: `turn-store` decides, and its calls and writes are carried out here as the program does.

use super::Mutation;
use super::cluster::{AnswerFuture, Host};
use super::runtime::{Feed, follow};
use fleet_model::{Answer, Call, StorageNode, rendezvous_rank};
use futures_util::future::{Either, join_all, select};
use operator_config::OperatorConfig;
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::Notify;
use turn_store::{Backfill, Durability, ReplicaState, Write};

const CALL_TIMEOUT_MS: u64 = 600;
const SOURCE_TIMEOUT_MS: u64 = 1_200;

/// An incarnation of a storage node.
pub struct SimulatedStorageNode {
    host: Host,
    /// Its state from the feed.
    pub feed: Rc<Feed>,
    state: RefCell<ReplicaState>,
    /// Its entry in the roster.
    pub me: StorageNode,
}

impl SimulatedStorageNode {
    /// Starts an incarnation.
    pub fn start(host: &Host) -> Rc<Self> {
        let disk = host.disk();
        let me = StorageNode {
            name: host.machine.name.clone(),
            ip: host.machine.ip,
            zone: host.machine.zone.clone(),
            disk: disk.number(),
        };
        let state = ReplicaState::new(host.now_ms(), me.disk, host.tolerance(), disk.stored());
        let storage_node = Rc::new(Self {
            host: host.clone(),
            feed: Feed::new(host.clone()),
            state: RefCell::new(state),
            me,
        });
        if let Some(cluster) = host.cluster() {
            let serving = storage_node.clone();
            let handler = move |_: Ipv4Addr, call, _| {
                let storage_node = serving.clone();
                Box::pin(async move { storage_node.answer(call).await }) as AnswerFuture
            };
            cluster.serve(host, Rc::new(handler));
        }
        host.spawn(follow(storage_node.feed.clone(), true));
        host.spawn(storage_node.clone().maintain_membership());
        storage_node
    }

    async fn write_synced(&self, writes: Vec<Write>) {
        self.host.disk().write(&self.host, writes, self.host.syncs()).await;
    }

    fn apply_roster(&self) {
        let state = self.feed.state();
        let writes = self.state.borrow_mut().set_roster(&state.roster);
        self.host.disk().write_lazily(&self.host, writes);
    }

    /// Retains accounts for the longest retention of the newest configuration.
    fn apply_account_retention(&self) {
        let state = self.feed.state();
        if let Ok(config) = OperatorConfig::read(&state.config) {
            let writes = self.state.borrow_mut().set_account_retention(config.longest_retention_ms());
            self.host.disk().write_lazily(&self.host, writes);
        }
    }

    async fn notify_control_nodes(&self, call: Call) -> bool {
        let mut ips = self.feed.value().voters.clone();
        ips.extend(self.host.cluster().iter().flat_map(|cluster| cluster.seeds.clone()));
        ips.sort();
        ips.dedup();
        let random = self.host.random_u64();
        let lease_holders: Vec<Ipv4Addr> = self.feed.state().lease_holders().collect();
        ips.sort_by_key(|ip| (!lease_holders.contains(ip), rendezvous_rank(&ip.octets(), random)));
        for ip in ips {
            if let Some(Answer::Done) = self.host.call(ip, call.clone(), 700).await {
                return true;
            }
        }
        false
    }

    async fn maintain_membership(self: Rc<Self>) {
        let mut changes = self.feed.changes();
        loop {
            self.apply_roster();
            self.apply_account_retention();
            let roster = self.feed.state().roster.clone();
            let has = |stores: &[StorageNode]| stores.contains(&self.me);
            let is_member = has(roster.next.as_ref().unwrap_or(&roster.current));
            let has_state = self.feed.confirmed_at().is_some();
            if has_state && !is_member && !roster.retiring.contains(&self.me.name) {
                let is_founder = self.host.machine.first;
                self.notify_control_nodes(Call::JoinStorage { store: self.me.clone(), is_founder }).await;
            }
            let backfill = self.state.borrow().backfill();
            if let Some(backfill) = backfill {
                self.run_backfill(backfill).await;
            }
            let is_in_sync = self.state.borrow().is_in_sync_for_next();
            if is_in_sync
                && !roster.in_sync.contains(&self.me.disk)
                && roster.epoch == self.state.borrow().epoch()
            {
                self.notify_control_nodes(Call::InSync { disk: self.me.disk, epoch: roster.epoch }).await;
            }
            let is_backfilling = self.state.borrow().backfill().is_some();
            let delay_ms = if is_member && !is_in_sync && !is_backfilling { 2_000 } else { 120 };
            let _ = self.host.timeout(delay_ms + self.host.random_u64() % 60, changes.changed()).await;
        }
    }

    async fn run_backfill(&self, backfill: Backfill) {
        let epoch = backfill.epoch();
        let backfill = RefCell::new(backfill);
        let sources: Vec<StorageNode> = backfill.borrow().calls().map(|(store, _)| store.clone()).collect();
        let enough = Notify::new();
        join_all(sources.iter().map(|source| self.backfill_from(source, &backfill, &enough))).await;
        let backfill = backfill.into_inner();
        if !backfill.is_done() || self.state.borrow().epoch() != epoch {
            self.host.sleep(60).await;
            return;
        }
        self.write_synced(Vec::new()).await;
        let notifications = backfill.drained().map(|source| async {
            let call = Call::BackfillDone { epoch, disk: self.me.disk };
            let _ = self.host.call(source.ip, call, CALL_TIMEOUT_MS).await;
        });
        join_all(notifications).await;
        let writes = self.state.borrow_mut().mark_in_sync(&backfill);
        if let Some(writes) = writes {
            self.write_synced(writes).await;
        }
    }

    async fn backfill_from(&self, source: &StorageNode, backfill: &RefCell<Backfill>, enough: &Notify) {
        let epoch = backfill.borrow().epoch();
        let mut answered = self.host.now_ms();
        loop {
            if backfill.borrow().is_done() {
                enough.notify_waiters();
                return;
            }
            let Some(call) = backfill.borrow().call(source.disk) else { return };
            if self.state.borrow().epoch() != epoch {
                backfill.borrow_mut().give_up(source.disk);
                return;
            }
            if self.host.breaks(Mutation::NextCountsUnfilled) {
                // Mutation: a member counts as in sync before its backfill is complete.
                backfill.borrow_mut().page_applied(source.disk, None);
                return;
            }
            let request = pin!(self.host.call(source.ip, call, CALL_TIMEOUT_MS));
            let Either::Left((answer, _)) = select(request, pin!(enough.notified())).await else { return };
            match answer {
                Some(Answer::Records { turns, accounts, cursor }) => {
                    answered = self.host.now_ms();
                    let writes = self.state.borrow_mut().apply_page(answered, turns, accounts);
                    if !writes.is_empty() {
                        self.write_synced(writes).await;
                    }
                    backfill.borrow_mut().page_applied(source.disk, cursor);
                }
                _ if self.host.now_ms() - answered > SOURCE_TIMEOUT_MS => {
                    backfill.borrow_mut().give_up(source.disk);
                    return;
                }
                _ => self.host.sleep(30).await,
            }
            self.apply_roster();
        }
    }

    async fn answer(&self, mut call: Call) -> Answer {
        if matches!(&call, Call::Inspect { .. }) {
            return Answer::View(self.me.disk.to_string());
        }
        self.apply_roster();
        if self.host.breaks(Mutation::EpochNotChecked) {
            // Mutation: accepts any roster epoch of the caller.
            set_epoch(&mut call, self.state.borrow().epoch());
        }
        let outcome = self.state.borrow_mut().handle(self.host.now_ms(), &call, &**self.host.disk());
        match outcome.durability {
            Durability::NoWrites => {}
            Durability::Deferred => self.host.disk().write_lazily(&self.host, outcome.writes),
            Durability::Synced => self.write_synced(outcome.writes).await,
        }
        match outcome.answer {
            // Mutation: reports a missing turn as surely absent.
            Answer::Absent { .. } if self.host.breaks(Mutation::EmptyStoreSaysNone) => {
                Answer::Absent { complete: true }
            }
            answer => answer,
        }
    }
}

fn set_epoch(call: &mut Call, epoch_in_use: u64) {
    match call {
        Call::Reserve { epoch, .. }
        | Call::Settle { epoch, .. }
        | Call::ReadAccount { epoch, .. }
        | Call::StoreTurn { epoch, .. }
        | Call::ReadChain { epoch, .. } => *epoch = epoch_in_use,
        _ => {}
    }
}
