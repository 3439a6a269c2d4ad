//! A storage machine: it keeps turns and accounts, tells the core that it is there, and fills from others what it should hold.

use crate::disk::Durable;
use crate::feed::{Feed, follow};
use crate::members::Members;
use crate::staff::{Desk, Topic, answers};
use crate::start::{Process, StartError, drawn, ended, listen};
use fleet_membership::Role;
use fleet_model::{Answer, Call, Store};
use futures_util::future::join_all;
use peer_wire::{Handler, PeerClient, PeerServer, Pusher};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use turn_store::{Bodies, Body, Disk, Durability, Filling, Replaced, Room, SPACES, StoreState, load};

/// Longest time for one call to another storage machine.
const PATIENCE: Duration = Duration::from_millis(600);
/// A source that does not answer for so long is given up.
const SOURCE_GONE: Duration = Duration::from_millis(1_200);
/// Between two looks for what has expired.
const EXPIRY: Duration = Duration::from_secs(30);

struct TurnKeeper {
    process: Rc<Process>,
    feed: Rc<Feed>,
    state: RefCell<StoreState>,
    disk: Arc<Disk>,
    /// Damages on disk that the start has found.
    damages: usize,
    durable: Durable,
    me: Store,
    peers: RefCell<HashMap<Ipv4Addr, Rc<PeerClient>>>,
    desk: Desk,
}

impl TurnKeeper {
    fn peer(&self, ip: Ipv4Addr) -> Rc<PeerClient> {
        let new = || Rc::new(PeerClient::new(self.process.peer(ip), self.process.fleet(), None));
        self.peers.borrow_mut().entry(ip).or_insert_with(new).clone()
    }

    /// An answer without the disk would be a promise that may be forgotten: the process ends, and comes back.
    async fn synced(&self, writes: Vec<turn_store::Write>) {
        if let Err(e) = self.durable.write(writes).await {
            log::error!("ended: {e}");
            std::process::exit(1);
        }
    }

    fn learn_roster(&self) {
        let state = self.feed.state();
        let writes = self.state.borrow_mut().set_roster(&state.roster);
        self.durable.write_lazily(writes);
    }

    /// Takes note of how much room the disk has. What was set aside as a whole goes first.
    fn look_at_room(&self) {
        let settings = self.process.settings();
        let room = Room::of(self.disk.table_bytes(), (settings.limits.disk_mb * 1e6) as u64);
        if !self.state.borrow_mut().set_room(room) {
            return;
        }
        log::warn!("the disk's room: {room:?}");
        if let (true, Some(folder)) = (room != Room::Ample, &settings.data_directory)
            && let Err(e) = Disk::remove_aside(folder)
        {
            log::error!("what was set aside stays: {e}");
        }
    }

    /// Asks the keepers in turn until one has done it.
    async fn tell_core(&self, call: Call) -> bool {
        let mut ips = self.feed.value().voters.clone();
        ips.extend(self.process.seeds());
        ips.sort();
        ips.dedup();
        let draw = drawn();
        // One keeper changes the roster for all, so that proposers do not get into each other's way.
        let holders: Vec<Ipv4Addr> =
            self.feed.state().fences.values().filter_map(|fence| fence.holder).collect();
        ips.sort_by_key(|ip| (!holders.contains(ip), fleet_model::rank(&ip.octets(), draw)));
        for ip in ips {
            if let Ok(Answer::Done) = self.peer(ip).call(call.clone(), Duration::from_millis(700)).await {
                return true;
            }
        }
        false
    }

    /// Sees to it that the roster has this machine with this disk, and that it is full.
    async fn keep_place(self: Rc<Self>) {
        let mut changes = self.feed.changes();
        loop {
            self.look_at_room();
            self.learn_roster();
            let roster = self.feed.state().roster.clone();
            let has = |stores: &[Store]| stores.contains(&self.me);
            let placed = has(roster.next.as_ref().unwrap_or(&roster.current));
            let known = self.feed.fresh_at().is_some();
            if known && !placed && !roster.retiring.contains(&self.me.name) {
                self.tell_core(Call::JoinStorage { store: self.me.clone() }).await;
            }
            let filling = self.state.borrow().filling();
            if let Some(filling) = filling {
                self.fill(filling).await;
            }
            let full = self.state.borrow().is_filled_for_next();
            if full && !roster.filled.contains(&self.me.disk) && roster.epoch == self.state.borrow().epoch() {
                self.tell_core(Call::Filled { disk: self.me.disk, epoch: roster.epoch }).await;
            }
            let filling = self.state.borrow().filling().is_some();
            let pause = if placed && !full && !filling { 2_000 } else { 120 };
            let _ = timeout(Duration::from_millis(pause + drawn() % 60), changes.changed()).await;
        }
    }

    /// One filling, as long as the roster stays as it is.
    async fn fill(&self, filling: Filling) {
        let epoch = filling.epoch();
        let filling = RefCell::new(filling);
        let began = Instant::now();
        let sources: Vec<Store> = filling.borrow().calls().map(|(store, _)| store.clone()).collect();
        let enough = Notify::new();
        join_all(sources.iter().map(|source| self.drain(source, &filling, &enough))).await;
        let filling = filling.into_inner();
        if !filling.is_done() || self.state.borrow().epoch() != epoch {
            sleep(Duration::from_millis(60)).await;
            return;
        }
        self.synced(Vec::new()).await;
        let told = filling.drained().map(|source| async {
            let call = Call::FillDone { epoch, disk: self.me.disk };
            // Who does not hear of it offers the same again: no harm.
            let _ = self.peer(source.ip).call(call, PATIENCE).await;
        });
        join_all(told).await;
        let writes = self.state.borrow_mut().mark_filled(&filling);
        if let Some(writes) = writes {
            self.synced(writes).await;
            let (turns, accounts, bytes) = self.state.borrow().counts();
            log::info!(
                "full for epoch {epoch} after {} ms: {turns} turns, {accounts} accounts, {bytes} bytes",
                began.elapsed().as_millis()
            );
        }
    }

    /// Takes over what one source has, until that is all, the source is gone, or there is `enough` from others.
    async fn drain(&self, source: &Store, filling: &RefCell<Filling>, enough: &Notify) {
        let epoch = filling.borrow().epoch();
        let mut answered = Instant::now();
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
            let peer = self.peer(source.ip);
            // Only the asking is left off: what has been absorbed is written in any case.
            let answer = tokio::select! {
                answer = peer.call(call, PATIENCE) => answer,
                () = enough.notified() => return,
            };
            match answer {
                Ok(Answer::Records { turns, accounts, cursor }) => {
                    answered = Instant::now();
                    let now = self.process.now_ms();
                    let writes = self.state.borrow_mut().absorb(now, turns, accounts);
                    if !writes.is_empty() {
                        self.synced(writes).await;
                    }
                    filling.borrow_mut().absorbed(source.disk, cursor);
                }
                _ if answered.elapsed() > SOURCE_GONE => {
                    filling.borrow_mut().give_up(source.disk);
                    return;
                }
                // It may not know the epoch yet, or not be there yet.
                _ => sleep(Duration::from_millis(30)).await,
            }
            self.learn_roster();
        }
    }
}

impl TurnKeeper {
    /// Answers staff.
    fn inspect(&self, topic: &str) -> Answer {
        let (turns, accounts, bytes) = self.state.borrow().counts();
        let (full, room) = (self.state.borrow().is_full(), self.state.borrow().room());
        match (Topic::read(topic).name, Topic::read(topic).argument) {
            ("disk", _) => Answer::View(self.me.disk.to_string()),
            ("turns", _) => self.desk.view(serde_json::json!({
                "disk": self.me.disk, "epoch": self.state.borrow().epoch(), "full": full,
                "turns": turns, "accounts": accounts, "bytes": bytes,
            })),
            ("turn", Some(attempt)) => {
                let (state, turn) = match Bodies::get(&*self.disk, attempt) {
                    Body::Held(turn) => ("held", Some(turn)),
                    Body::Lost => ("unreadable", None),
                    Body::Pending if full => ("absent", None),
                    Body::Pending => ("not here yet", None),
                };
                let losses = self.process.settings().fault_tolerance.machines;
                self.desk.view(answers::turn(self.me.disk, losses, state, turn.as_ref()))
            }
            ("account", Some(program)) => {
                let call =
                    Call::ReadAccount { epoch: self.state.borrow().epoch(), program: program.to_owned() };
                let now = self.process.now_ms();
                let outcome = self.state.borrow_mut().handle(now, &call, &*self.disk);
                let reservations = match &outcome.answer {
                    Answer::Account(reservations) => Some(reservations.as_slice()),
                    _ => None,
                };
                self.desk.view(answers::account(self.me.disk, reservations))
            }
            _ => self.desk.answer(topic, |figures| {
                figures.gauge("turn_keeper_turns", turns as f64);
                figures.gauge("turn_keeper_accounts", accounts as f64);
                figures.gauge("turn_keeper_turn_bytes", bytes as f64);
                figures.gauge("turn_keeper_damages_found", self.damages as f64);
                figures.gauge("turn_keeper_table_bytes", self.disk.table_bytes() as f64);
                figures.gauge("turn_keeper_room_scarce", f64::from(u8::from(room != Room::Ample)));
                figures.gauge("turn_keeper_full", f64::from(u8::from(full)));
            }),
        }
    }
}

impl Handler for TurnKeeper {
    async fn call(&self, _from: SocketAddr, call: Call, _pusher: Pusher) -> Answer {
        if let Call::Inspect { topic } = &call {
            return self.inspect(topic);
        }
        self.learn_roster();
        let outcome = self.state.borrow_mut().handle(self.process.now_ms(), &call, &*self.disk);
        match outcome.durability {
            Durability::Free => {}
            Durability::Lazy => self.durable.write_lazily(outcome.writes),
            Durability::Synced => self.synced(outcome.writes).await,
        }
        outcome.answer
    }
}

/// Runs until the process is to end.
pub async fn run(process: Rc<Process>) -> Result<(), StartError> {
    let settings = process.settings();
    let folder = settings.data_directory.clone().ok_or(StartError::Lacking("data_directory"))?;
    let Replaced { disk, read: (kept, damages), lost } = Disk::open_or_replace(&folder, SPACES, drawn, load)?;
    let disk = Arc::new(disk);
    if !damages.is_empty() {
        log::error!("{} damaged records set aside: this machine fills again", damages.len());
    }
    let me = Store {
        name: settings.node_name.clone(),
        ip: settings.ip_address,
        zone: settings.zone.clone(),
        disk: disk.number(),
    };
    let state = StoreState::new(process.now_ms(), me.disk, settings.fault_tolerance.machines, kept);
    let (turns, accounts, bytes) = state.counts();
    log::info!("disk {} with {turns} turns, {accounts} accounts, {bytes} bytes", me.disk);
    let feed = Rc::new(Feed::default());
    let members = Members::start(process.clone(), feed.clone(), Role::Storage, |_| ())?;
    let keeper = Rc::new(TurnKeeper {
        desk: Desk::new(process.clone(), feed.clone(), Some(members), "turn-keeper"),
        process: process.clone(),
        feed: feed.clone(),
        state: RefCell::new(state),
        durable: Durable::over(disk.clone())?,
        disk,
        damages: damages.len() + usize::from(lost.is_some()),
        me,
        peers: RefCell::default(),
    });
    let peers = listen(SocketAddrV4::new(settings.ip_address, settings.peer_port())).await?;
    let server = PeerServer::new(process.fleet(), keeper.clone());
    spawn_local(async move { server.serve(peers).await });
    spawn_local(follow(process.clone(), feed, true));
    spawn_local(keeper.clone().keep_place());
    let expiring = keeper.clone();
    spawn_local(async move {
        loop {
            sleep(EXPIRY).await;
            let writes = expiring.state.borrow_mut().expire(expiring.process.now_ms());
            expiring.durable.write_lazily(writes);
        }
    });
    ended(&process).await;
    sleep(Duration::from_millis(200)).await;
    keeper.synced(Vec::new()).await;
    Ok(())
}
