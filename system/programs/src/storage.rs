//! A storage machine: it keeps turns and accounts, tells the core that it is there, and catches up from others with what it
//! should hold.

mod backfill;
mod inspection;
mod placement;
mod recovery;
mod replica;

use crate::admin::Desk;
use crate::feed::{Feed, follow, new_feed};
use crate::members::Members;
use crate::process::{Process, ended};
use crate::start::{StartError, listen};
use fleet_membership::Role;
use fleet_model::{Answer, Call};
use peer_wire::{Handler, PeerClient, PeerServer, Pusher};
use recovery::RecoveringReplica;
use replica::{DirectoryAt, Machine};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Between two looks for what has expired.
const EXPIRY: Duration = Duration::from_secs(30);
/// How long the end of the process waits for the last sync.
const LAST_SYNC: Duration = Duration::from_secs(2);

struct TurnKeeper {
    process: Rc<Process>,
    feed: Rc<Feed>,
    replica: Rc<RecoveringReplica>,
    peers: RefCell<HashMap<Ipv4Addr, Rc<PeerClient>>>,
    desk: Desk,
}

impl TurnKeeper {
    fn peer(&self, ip: Ipv4Addr) -> Rc<PeerClient> {
        let new = || Rc::new(PeerClient::new(self.process.peer(ip), self.process.fleet(), None));
        self.peers.borrow_mut().entry(ip).or_insert_with(new).clone()
    }

    fn learn_roster(&self) {
        self.replica.set_roster(&self.feed.state().roster);
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
