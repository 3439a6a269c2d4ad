//! The storage node: it stores turns and accounts, registers itself in the roster (`placement`), and backfills missing
//! records from its peers (`backfill`).

mod backfill;
mod inspection;
mod placement;
mod recovery;
mod replica;

use crate::admin::AdminEndpoint;
use crate::feed::{Feed, follow, new_feed};
use crate::late_handler::{LateHandler, serve_peers};
use crate::members::Members;
use crate::process::{Process, shutdown_requested};
use crate::settings_file::MissingSetting;
use crate::start::StartError;
use fleet_membership::Role;
use fleet_model::{Answer, Call};
use node_settings::Settings;
use operator_config::OperatorConfig;
use peer_wire::{Handler, PeerClient, PeerServer, Pusher};
use recovery::RecoveringReplica;
use replica::{DirectoryAt, Machine};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Interval of the removal of expired records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(30);
/// Share of the process's memory for large calls as they arrive. Until it is synced a turn stands in memory several times over:
/// as a frame, decoded, encoded for the disk, and in the engine's tables.
const LARGE_CALL_MEMORY_SHARE: f64 = 0.0625;
/// How long a shutdown waits for the final sync.
const FINAL_SYNC_TIMEOUT: Duration = Duration::from_secs(2);

struct StorageServer {
    process: Rc<Process>,
    feed: Rc<Feed>,
    replica: Rc<RecoveringReplica>,
    /// The version of the configuration whose retention the replica goes by.
    config_version: Cell<u64>,
    peers: RefCell<HashMap<Ipv4Addr, Rc<PeerClient>>>,
    admin: AdminEndpoint,
}

impl StorageServer {
    fn peer(&self, ip: Ipv4Addr) -> Rc<PeerClient> {
        let new = || Rc::new(PeerClient::new(self.process.peer(ip), self.process.fleet(), None));
        self.peers.borrow_mut().entry(ip).or_insert_with(new).clone()
    }

    fn update_roster(&self) {
        self.replica.set_roster(&self.feed.state().roster);
    }

    /// Goes by the retention of the newest configuration.
    fn update_account_retention(&self) {
        let state = self.feed.state();
        if self.config_version.replace(state.version()) == state.version() {
            return;
        }
        match OperatorConfig::read(&state.config) {
            Ok(config) => self.replica.set_account_retention(config.longest_retention_ms()),
            Err(findings) => log::error!("configuration in force cannot be read: {findings}"),
        }
    }
}

impl Handler for StorageServer {
    async fn call(&self, _from: SocketAddr, call: Call, _pusher: Pusher) -> Answer {
        if let Call::Inspect { topic } = &call {
            return self.inspect(topic);
        }
        self.update_roster();
        self.replica.answer(&call).await
    }

    fn expected_answer_len(&self, call: &Call) -> usize {
        match call {
            Call::ReadChain { attempt, .. } => self.replica.chain_bytes(attempt),
            _ => 0,
        }
    }
}

/// A storage node needs a data directory.
///
/// # Errors
///
/// [`MissingSetting`] if it is not there.
pub fn check(settings: &Settings) -> Result<(), MissingSetting> {
    data_directory(settings).map(drop)
}

fn data_directory(settings: &Settings) -> Result<PathBuf, MissingSetting> {
    settings.data_directory.clone().ok_or(MissingSetting("data_directory"))
}

/// Removes expired records now and then; never returns.
async fn remove_expired(replica: Rc<RecoveringReplica>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        replica.expire();
    }
}

/// Runs until the process is to end.
///
/// # Errors
///
/// [`StartError`] if a setting is missing, or the membership cannot be joined.
pub async fn run(process: Rc<Process>) -> Result<(), StartError> {
    let settings = process.settings();
    let folder = data_directory(&settings)?;
    let machine = Machine {
        name: settings.node_name.clone(),
        ip: settings.ip_address,
        zone: settings.zone.clone(),
        losses: settings.fault_tolerance.machines,
    };
    let clock = process.clone();
    let feed = new_feed(&process);
    let admin = AdminEndpoint::new(process.clone(), feed.clone(), None, "storage-node");
    let handler = LateHandler::new(admin);
    let frame_memory = (settings.limits.memory_mb * 1e6 * LARGE_CALL_MEMORY_SHARE) as usize;
    let server = PeerServer::new(process.fleet(), handler.clone()).with_frame_memory(frame_memory);
    let listening = serve_peers(&process, server);
    let directory = Arc::new(DirectoryAt(folder));
    let (replica, failures) =
        RecoveringReplica::new(directory, machine, Box::new(move || clock.now_ms()), process.waits().clone());
    replica.start().await;
    // A node that peers cannot reach must not join. The part ends only with this body.
    let _ = listening.await;
    let members = Members::start(process.clone(), feed.clone(), Role::Storage, |_| ())?;
    let storage_server = Rc::new(StorageServer {
        admin: AdminEndpoint::new(process.clone(), feed.clone(), Some(members), "storage-node"),
        process: process.clone(),
        feed: feed.clone(),
        replica: replica.clone(),
        config_version: Cell::new(0),
        peers: RefCell::default(),
    });
    handler.set(storage_server.clone());
    process.spawn_part("state feed", follow(feed, true));
    process.spawn_part("disk", replica.clone().supervise(failures));
    process.spawn_part("placement", storage_server.maintain_placement());
    process.spawn_part("expiry", remove_expired(replica.clone()));
    process.set_started();
    shutdown_requested(&process).await;
    sleep(Duration::from_millis(200)).await;
    if !matches!(
        timeout(FINAL_SYNC_TIMEOUT, replica.write(replica.generation(), Vec::new())).await,
        Ok(Ok(()))
    ) {
        log::warn!("shutdown without the final sync");
    }
    Ok(())
}
