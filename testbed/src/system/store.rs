//! A storage machine in the simulated world: `turn-store` decides, here its calls and writes are carried out as the program
//! does it.

use super::Mutation;
use super::runtime::{Feed, follow};
use super::world::{Answering, Host};
use fleet_model::{Answer, Call, StorageNode, rendezvous_rank};
use futures_util::future::{Either, join_all, select};
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::Notify;
use turn_store::{Backfill, Durability, ReplicaState, Write};

const CALL_TIMEOUT_MS: u64 = 600;
const SOURCE_GONE: u64 = 1_200;

/// A storage machine's life.
pub struct TurnKeeper {
    host: Host,
    /// What it knows.
    pub feed: Rc<Feed>,
    state: RefCell<ReplicaState>,
    /// Itself, as the roster has it.
    pub me: StorageNode,
}

impl TurnKeeper {
    /// Starts a life.
    pub fn start(host: &Host) -> Rc<Self> {
        let disk = host.disk();
        let me = StorageNode {
            name: host.machine.name.clone(),
            ip: host.machine.ip,
            zone: host.machine.zone.clone(),
            disk: disk.number(),
        };
        let state = ReplicaState::new(host.now_ms(), me.disk, host.losses(), disk.kept());
        let keeper = Rc::new(Self {
            host: host.clone(),
            feed: Feed::new(host.clone()),
            state: RefCell::new(state),
            me,
        });
        if let Some(world) = host.world() {
            let serving = keeper.clone();
            let handler = move |_: Ipv4Addr, call, _| {
                let keeper = serving.clone();
                Box::pin(async move { keeper.answer(call).await }) as Answering
            };
            world.serve(host, Rc::new(handler));
        }
        host.spawn(follow(keeper.feed.clone(), true));
        host.spawn(keeper.clone().keep_place());
        keeper
    }

    async fn synced(&self, writes: Vec<Write>) {
        self.host.disk().write(&self.host, writes, self.host.syncs()).await;
    }

    fn learn_roster(&self) {
        let state = self.feed.state();
        let writes = self.state.borrow_mut().set_roster(&state.roster);
        self.host.disk().write_lazily(&self.host, writes);
    }

    async fn notify_control_nodes(&self, call: Call) -> bool {
        let mut ips = self.feed.value().voters.clone();
        ips.extend(self.host.world().iter().flat_map(|world| world.seeds.clone()));
        ips.sort();
        ips.dedup();
        let draw = self.host.draw();
        let holders: Vec<Ipv4Addr> =
            self.feed.state().leases.values().filter_map(|fence| fence.holder).collect();
        ips.sort_by_key(|ip| (!holders.contains(ip), rendezvous_rank(&ip.octets(), draw)));
        for ip in ips {
            if let Some(Answer::Done) = self.host.call(ip, call.clone(), 700).await {
                return true;
            }
        }
        false
    }

    async fn keep_place(self: Rc<Self>) {
        let mut changes = self.feed.changes();
        loop {
            self.learn_roster();
            let roster = self.feed.state().roster.clone();
            let has = |stores: &[StorageNode]| stores.contains(&self.me);
            let placed = has(roster.next.as_ref().unwrap_or(&roster.current));
            let known = self.feed.confirmed_at().is_some();
            if known && !placed && !roster.retiring.contains(&self.me.name) {
                self.notify_control_nodes(Call::JoinStorage { store: self.me.clone() }).await;
            }
            let filling = self.state.borrow().backfill();
            if let Some(filling) = filling {
                self.fill(filling).await;
            }
            let full = self.state.borrow().is_in_sync_for_next();
            if full && !roster.in_sync.contains(&self.me.disk) && roster.epoch == self.state.borrow().epoch()
            {
                self.notify_control_nodes(Call::InSync { disk: self.me.disk, epoch: roster.epoch }).await;
            }
            let filling = self.state.borrow().backfill().is_some();
            let pause = if placed && !full && !filling { 2_000 } else { 120 };
            let _ = self.host.timeout(pause + self.host.draw() % 60, changes.changed()).await;
        }
    }

    async fn fill(&self, filling: Backfill) {
        let epoch = filling.epoch();
        let filling = RefCell::new(filling);
        let sources: Vec<StorageNode> = filling.borrow().calls().map(|(store, _)| store.clone()).collect();
        let enough = Notify::new();
        join_all(sources.iter().map(|source| self.drain(source, &filling, &enough))).await;
        let filling = filling.into_inner();
        if !filling.is_done() || self.state.borrow().epoch() != epoch {
            self.host.sleep(60).await;
            return;
        }
        self.synced(Vec::new()).await;
        let told = filling.drained().map(|source| async {
            let call = Call::BackfillDone { epoch, disk: self.me.disk };
            let _ = self.host.call(source.ip, call, CALL_TIMEOUT_MS).await;
        });
        join_all(told).await;
        let writes = self.state.borrow_mut().mark_in_sync(&filling);
        if let Some(writes) = writes {
            self.synced(writes).await;
        }
    }

    async fn drain(&self, source: &StorageNode, filling: &RefCell<Backfill>, enough: &Notify) {
        let epoch = filling.borrow().epoch();
        let mut answered = self.host.now_ms();
        loop {
            if filling.borrow().is_done() {
                enough.notify_waiters();
                return;
            }
            let Some(call) = filling.borrow().call(source.disk) else { return };
            if self.state.borrow().epoch() != epoch {
                filling.borrow_mut().give_up(source.disk);
                return;
            }
            if self.host.breaks(Mutation::NextCountsUnfilled) {
                // Broken on purpose: a member counts as full before it has filled.
                filling.borrow_mut().page_applied(source.disk, None);
                return;
            }
            let asked = pin!(self.host.call(source.ip, call, CALL_TIMEOUT_MS));
            let Either::Left((answer, _)) = select(asked, pin!(enough.notified())).await else { return };
            match answer {
                Some(Answer::Records { turns, accounts, cursor }) => {
                    answered = self.host.now_ms();
                    let writes = self.state.borrow_mut().apply_page(answered, turns, accounts);
                    if !writes.is_empty() {
                        self.synced(writes).await;
                    }
                    filling.borrow_mut().page_applied(source.disk, cursor);
                }
                _ if self.host.now_ms() - answered > SOURCE_GONE => {
                    filling.borrow_mut().give_up(source.disk);
                    return;
                }
                _ => self.host.sleep(30).await,
            }
            self.learn_roster();
        }
    }

    async fn answer(&self, mut call: Call) -> Answer {
        if matches!(&call, Call::Inspect { .. }) {
            return Answer::View(self.me.disk.to_string());
        }
        self.learn_roster();
        if self.host.breaks(Mutation::EpochNotChecked) {
            // Broken on purpose: whatever roster the caller went by.
            set_epoch(&mut call, self.state.borrow().epoch());
        }
        let outcome = self.state.borrow_mut().handle(self.host.now_ms(), &call, &**self.host.disk());
        match outcome.durability {
            Durability::NoWrites => {}
            Durability::Deferred => self.host.disk().write_lazily(&self.host, outcome.writes),
            Durability::Synced => self.synced(outcome.writes).await,
        }
        match outcome.answer {
            // Broken on purpose: who has it not says that there is none.
            Answer::Absent { .. } if self.host.breaks(Mutation::EmptyStoreSaysNone) => {
                Answer::Absent { complete: true }
            }
            answer => answer,
        }
    }
}

fn set_epoch(call: &mut Call, known: u64) {
    match call {
        Call::Reserve { epoch, .. }
        | Call::Settle { epoch, .. }
        | Call::ReadAccount { epoch, .. }
        | Call::StoreTurn { epoch, .. }
        | Call::ReadChain { epoch, .. } => *epoch = known,
        _ => {}
    }
}
