//! A storage machine: it keeps turns and accounts, tells the core that it is there, and catches up from others with what it
//! should hold.

mod backfill;
mod recovery;
mod replica;

use crate::admin::metrics::Figures;
use crate::admin::{Desk, Topic, views};
use crate::feed::{Feed, follow, new_feed};
use crate::members::Members;
use crate::start::{Process, StartError, drawn, ended, listen};
use fleet_membership::Role;
use fleet_model::{Answer, Call, Roster, StorageNode};
use peer_wire::{Handler, PeerClient, PeerServer, Pusher};
use recovery::RecoveringReplica;
use replica::{DirectoryAt, Machine, Replica};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use turn_store::{Disk, DiskCapacity, Payload, Payloads, RecordCounts};

/// Longest time for one call to the core.
const CORE_PATIENCE: Duration = Duration::from_millis(700);
/// Between two looks for what has expired.
const EXPIRY: Duration = Duration::from_secs(30);
/// Between two looks at the place in the roster, without news, while there is something to be told to the core or to catch up
/// with.
const BUSY_PAUSE_MS: u64 = 120;
/// The same with nothing to do.
const QUIET_PAUSE_MS: u64 = 2_000;
/// Pauses differ by up to this between machines.
const PAUSE_SPREAD_MS: u64 = 60;
/// How long the end of the process waits for the last sync.
const LAST_SYNC: Duration = Duration::from_secs(2);

struct TurnKeeper {
    process: Rc<Process>,
    feed: Rc<Feed>,
    replica: Rc<RecoveringReplica>,
    peers: RefCell<HashMap<Ipv4Addr, Rc<PeerClient>>>,
    desk: Desk,
}

/// What a machine has to see to for its place, by its roster.
struct Place {
    me: StorageNode,
    roster: Rc<Roster>,
    /// The roster has it, or takes it in.
    is_placed: bool,
    /// It holds all that it is to hold for the set that comes next.
    in_sync: bool,
    /// It has to catch up.
    is_behind: bool,
}

impl Place {
    fn of(replica: &Replica, roster: Rc<Roster>) -> Self {
        let me = replica.me.clone();
        let is_placed = roster.next.as_ref().unwrap_or(&roster.current).contains(&me);
        let in_sync = replica.state.is_in_sync_for_next();
        Self { me, is_placed, in_sync, is_behind: replica.state.backfill().is_some(), roster }
    }

    /// It is to ask for being taken in.
    fn must_join(&self) -> bool {
        !self.is_placed && !self.roster.retiring.contains(&self.me.name)
    }

    /// It is to tell that it is in sync for this epoch.
    fn must_tell_in_sync(&self, epoch: u64) -> bool {
        self.in_sync && !self.roster.in_sync.contains(&self.me.disk) && self.roster.epoch == epoch
    }

    fn pause_ms(&self) -> u64 {
        let is_quiet = self.is_placed && !self.in_sync && !self.is_behind;
        if is_quiet { QUIET_PAUSE_MS } else { BUSY_PAUSE_MS }
    }
}

impl TurnKeeper {
    fn peer(&self, ip: Ipv4Addr) -> Rc<PeerClient> {
        let new = || Rc::new(PeerClient::new(self.process.peer(ip), self.process.fleet(), None));
        self.peers.borrow_mut().entry(ip).or_insert_with(new).clone()
    }

    fn learn_roster(&self) {
        self.replica.set_roster(&self.feed.state().roster);
    }

    /// Takes note of how much room the disk has. What was set aside as a whole goes first.
    fn look_at_room(&self) {
        let settings = self.process.settings();
        let limit = (settings.limits.disk_mb * 1e6) as u64;
        let news = self.replica.with(|replica| {
            let room = DiskCapacity::from_usage(replica.disk.table_bytes(), limit);
            replica.state.set_capacity(room).then_some(room)
        });
        let Some(room) = news.flatten() else { return };
        log::warn!("the disk's room: {room:?}");
        if let (true, Some(folder)) = (room != DiskCapacity::Ample, &settings.data_directory)
            && let Err(e) = Disk::remove_quarantined(folder)
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
            self.feed.state().leases.values().filter_map(|fence| fence.holder).collect();
        ips.sort_by_key(|ip| (!holders.contains(ip), fleet_model::rendezvous_rank(&ip.octets(), draw)));
        for ip in ips {
            if let Ok(Answer::Done) = self.peer(ip).call(call.clone(), CORE_PATIENCE).await {
                return true;
            }
        }
        false
    }

    /// Sees to it that the roster has this machine with this disk, and that it is in sync.
    async fn keep_place(self: Rc<Self>) {
        let mut changes = self.feed.changes();
        loop {
            let pause_ms = self.see_to_place().await;
            let pause = Duration::from_millis(pause_ms + drawn() % PAUSE_SPREAD_MS);
            let _ = timeout(pause, changes.changed()).await;
        }
    }

    /// One look at the place; tells how long to wait for the next. While the disk refuses the place stays as it is.
    async fn see_to_place(&self) -> u64 {
        self.look_at_room();
        self.learn_roster();
        if self.replica.is_refusing() {
            return BUSY_PAUSE_MS;
        }
        let roster = Rc::new(self.feed.state().roster.clone());
        let place = || self.replica.with(|replica| Place::of(replica, roster.clone()));
        let Some(before) = place() else { return BUSY_PAUSE_MS };
        if self.feed.fresh_at().is_some() && before.must_join() {
            self.tell_core(Call::JoinStorage { store: before.me }).await;
        }
        if let Some(filling) = self.replica.with(|replica| replica.state.backfill()).flatten() {
            self.catch_up(filling).await;
        }
        let Some(after) = place() else { return BUSY_PAUSE_MS };
        let epoch = self.replica.with(|replica| replica.state.epoch()).unwrap_or_default();
        if after.must_tell_in_sync(epoch) && !self.replica.is_refusing() {
            self.tell_core(Call::InSync { disk: after.me.disk, epoch }).await;
        }
        after.pause_ms()
    }
}

impl TurnKeeper {
    /// Answers staff, also while the data directory cannot be opened.
    fn inspect(&self, topic: &str) -> Answer {
        let asked = Topic::read(topic);
        let own = self.replica.with(|replica| self.inspect_replica(replica, asked));
        match (own.flatten(), asked.name) {
            (Some(answer), _) => answer,
            (None, "disk" | "turns" | "turn" | "account") => Answer::NotReady,
            (None, _) => self.desk.answer(topic, |figures| self.figures(figures)),
        }
    }

    /// What staff ask of the replica itself.
    fn inspect_replica(&self, replica: &mut Replica, asked: Topic<'_>) -> Option<Answer> {
        let in_sync = replica.state.is_in_sync();
        let disk = replica.me.disk;
        let answer = match (asked.name, asked.argument) {
            ("disk", _) => Answer::View(disk.to_string()),
            ("turns", _) => {
                let RecordCounts { turns, accounts, turn_bytes } = replica.state.counts();
                self.desk.view(serde_json::json!({
                    "disk": disk, "epoch": replica.state.epoch(), "full": in_sync,
                    "turns": turns, "accounts": accounts, "bytes": turn_bytes,
                }))
            }
            ("turn", Some(attempt)) => {
                let (state, turn) = match Payloads::get(&*replica.disk, attempt) {
                    Payload::Present(turn) => ("held", Some(turn)),
                    Payload::Lost => ("unreadable", None),
                    Payload::Pending if in_sync => ("absent", None),
                    Payload::Pending => ("not here yet", None),
                };
                let losses = self.process.settings().fault_tolerance.machines;
                self.desk.view(views::turn(disk, losses, state, turn.as_ref()))
            }
            ("account", Some(program)) => {
                let call = Call::ReadAccount { epoch: replica.state.epoch(), program: program.to_owned() };
                let outcome = replica.state.handle(self.process.now_ms(), &call, &*replica.disk);
                let reservations = match &outcome.answer {
                    Answer::Account(reservations) => Some(reservations.as_slice()),
                    _ => None,
                };
                self.desk.view(views::account(disk, reservations))
            }
            _ => return None,
        };
        Some(answer)
    }

    fn figures(&self, figures: &mut Figures) {
        let flag = |set: bool| f64::from(u8::from(set));
        figures.gauge("storage_node_disk_refusing", flag(self.replica.is_refusing()));
        figures.counter("storage_node_disk_refusals", self.replica.refusals());
        self.replica.with(|replica| {
            let RecordCounts { turns, accounts, turn_bytes } = replica.state.counts();
            figures.gauge("storage_node_turns", turns as f64);
            figures.gauge("storage_node_accounts", accounts as f64);
            figures.gauge("storage_node_turn_bytes", turn_bytes as f64);
            figures.gauge("storage_node_damages_found", replica.damages as f64);
            figures.gauge("storage_node_table_bytes", replica.disk.table_bytes() as f64);
            figures.gauge("storage_node_room_scarce", flag(replica.state.capacity() != DiskCapacity::Ample));
            figures.gauge("storage_node_full", flag(replica.state.is_in_sync()));
        });
    }
}

impl Handler for TurnKeeper {
    async fn call(&self, _from: SocketAddr, call: Call, _pusher: Pusher) -> Answer {
        if let Call::Inspect { topic } = &call {
            return self.inspect(topic);
        }
        self.learn_roster();
        self.replica.answer(&call).await
    }
}

/// Runs until the process is to end.
pub async fn run(process: Rc<Process>) -> Result<(), StartError> {
    let settings = process.settings();
    let folder = settings.data_directory.clone().ok_or(StartError::Lacking("data_directory"))?;
    let machine = Machine {
        name: settings.node_name.clone(),
        ip: settings.ip_address,
        zone: settings.zone.clone(),
        losses: settings.fault_tolerance.machines,
    };
    let clock = process.clone();
    let (replica, failures) =
        RecoveringReplica::new(Arc::new(DirectoryAt(folder)), machine, Box::new(move || clock.now_ms()));
    replica.start().await?;
    let feed = new_feed(&process);
    let members = Members::start(process.clone(), feed.clone(), Role::Storage, |_| ())?;
    let keeper = Rc::new(TurnKeeper {
        desk: Desk::new(process.clone(), feed.clone(), Some(members), "storage-node"),
        process: process.clone(),
        feed: feed.clone(),
        replica: replica.clone(),
        peers: RefCell::default(),
    });
    let peers = listen(SocketAddrV4::new(settings.ip_address, settings.peer_port())).await?;
    let server = PeerServer::new(process.fleet(), keeper.clone());
    spawn_local(async move { server.serve(peers).await });
    spawn_local(follow(feed, true));
    spawn_local(replica.clone().keep_open(failures));
    spawn_local(keeper.keep_place());
    let expiring = replica.clone();
    spawn_local(async move {
        loop {
            sleep(EXPIRY).await;
            expiring.expire();
        }
    });
    ended(&process).await;
    sleep(Duration::from_millis(200)).await;
    if !matches!(timeout(LAST_SYNC, replica.write(replica.generation(), Vec::new())).await, Ok(Ok(()))) {
        log::warn!("ended without the last sync");
    }
    Ok(())
}
