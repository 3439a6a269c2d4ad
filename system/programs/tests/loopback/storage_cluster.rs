//! Storage machines with a disk each, whose process can be ended and started again.

use crate::machines::own_address;
use fleet_model::{Answer, Call, Roster, StorageNode};
use peer_wire::{Handler, PeerServer, Pusher};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, spawn_local};
use turn_store::{BackfillRecord, Disk, KEYSPACES, ReplicaState, load};

/// Losses that are to be borne.
const LOSSES: usize = 1;

/// What a life of the process has in memory.
struct Replica {
    disk: Disk,
    state: ReplicaState,
}

impl Replica {
    /// Built from what lies on the disk. Whether it has caught up is not what these stories are about: it has.
    fn open(folder: &Path, number: u64, roster: &Roster) -> Self {
        let disk = Disk::open(folder, KEYSPACES, || number).unwrap();
        let (mut kept, damages) = load(&disk).unwrap();
        assert!(damages.is_empty());
        let members = roster.current.iter().map(|store| store.disk).collect();
        kept.backfill = BackfillRecord { in_sync: vec![(0, members)], damaged: false };
        let mut state = ReplicaState::new(0, disk.number(), LOSSES, kept);
        disk.write(&state.set_roster(roster)).unwrap();
        Self { disk, state }
    }
}

/// Answers calls; every write is synced before its answer.
struct Answers(RefCell<Option<Replica>>);

impl Handler for Answers {
    async fn call(&self, _from: SocketAddr, call: Call, _pusher: Pusher) -> Answer {
        let mut replica = self.0.borrow_mut();
        let Some(Replica { disk, state }) = replica.as_mut() else { return Answer::NotReady };
        let outcome = state.handle(1, &call, disk);
        disk.write(&outcome.writes).unwrap();
        outcome.answer
    }
}

/// One storage machine.
struct StorageMachine {
    store: StorageNode,
    folder: TempDir,
    answers: Rc<Answers>,
    serving: Option<AbortHandle>,
}

/// Storage machines in several zones, full of what they are to hold.
pub(crate) struct Storage {
    machines: Vec<StorageMachine>,
    pub roster: Roster,
    peer_port: u16,
    fleet: u16,
}

impl Storage {
    /// One machine in each of these zones, all at the same port of their own addresses.
    pub(crate) async fn start(zones: &[&str], peer_port: u16, fleet: u16) -> Self {
        let store = |(number, zone): (usize, &&str)| StorageNode {
            name: format!("s{number}"),
            ip: own_address(),
            zone: (*zone).to_owned(),
            disk: number as u64 + 1,
        };
        let stores: Vec<StorageNode> = zones.iter().enumerate().map(store).collect();
        let roster = Roster { epoch: 1, current: stores.clone(), ..Roster::default() };
        let machine = |store| StorageMachine {
            store,
            folder: tempfile::tempdir().unwrap(),
            answers: Rc::new(Answers(RefCell::default())),
            serving: None,
        };
        let machines = stores.into_iter().map(machine).collect();
        let mut storage = Self { machines, roster, peer_port, fleet };
        storage.start_all().await;
        storage
    }

    async fn start_all(&mut self) {
        for machine in &mut self.machines {
            let replica = Replica::open(machine.folder.path(), machine.store.disk, &self.roster);
            machine.answers.0.replace(Some(replica));
            if machine.serving.is_none() {
                let listener = TcpListener::bind((machine.store.ip, self.peer_port)).await.unwrap();
                let server = PeerServer::new(self.fleet, machine.answers.clone());
                let serving = spawn_local(async move { server.serve(listener).await });
                machine.serving = Some(serving.abort_handle());
            }
        }
    }

    /// Ends all processes at once, and starts them again from their disks.
    pub(crate) async fn restart_all(&mut self) {
        for machine in &self.machines {
            drop(machine.answers.0.take());
        }
        self.start_all().await;
    }

    /// The machines in a zone answer nothing any more.
    pub(crate) fn lose_zone(&mut self, zone: &str) {
        for machine in self.machines.iter().filter(|machine| machine.store.zone == zone) {
            drop(machine.answers.0.take());
        }
    }
}
