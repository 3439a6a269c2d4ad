//! The control node's backend: its disk, the platform's endpoint list and the log.

use crate::disk::{Durable, JournalWriter};
use crate::platform::Platform;
use crate::process::Process;
use config_register::AcceptorRecord;
use control_node::{ControlBackend, ControlEvent, DiscoveryError, PersistError};
use fleet_model::Endpoint;
use replicated_log::JournalWrite;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use turn_store::DirectoryLock;

/// Implements [`ControlBackend`] with the process's disk and platform.
pub(super) struct Backend {
    process: Rc<Process>,
    disk: Durable,
    journal: JournalWriter,
    /// None where the settings name no platform.
    platform: Option<Mutex<Platform>>,
    /// Dropped last: until then the disk is written to.
    _lock: Option<DirectoryLock>,
}

impl Backend {
    /// Over the disk of the acceptor's record and the journal of the coordination service's replica.
    pub(super) fn new(
        process: Rc<Process>,
        disk: Durable,
        journal: JournalWriter,
        lock: Option<DirectoryLock>,
    ) -> Self {
        let cloud = process.settings().cloud_api.clone();
        let platform = cloud.map(|cloud| Mutex::new(Platform::new(cloud.address)));
        Self { process, disk, journal, platform, _lock: lock }
    }
}

impl ControlBackend for Backend {
    fn tolerance(&self) -> usize {
        self.process.settings().fault_tolerance.machines
    }

    async fn persist(&self, record: &AcceptorRecord) -> Result<(), PersistError> {
        self.disk.put(record).await.map_err(|e| PersistError(e.to_string()))
    }

    async fn write_journal(&self, write: JournalWrite) -> Result<(), PersistError> {
        self.journal.write(write).await.map_err(|e| PersistError(e.to_string()))
    }

    fn event_retention(&self) -> Duration {
        // Settings may name any number of seconds.
        Duration::try_from_secs_f64(self.process.settings().bounds.history_s).unwrap_or(Duration::MAX)
    }

    fn discovers_endpoints(&self) -> bool {
        self.platform.is_some()
    }

    async fn discover_endpoints(&self) -> Result<Vec<Endpoint>, DiscoveryError> {
        let Some(platform) = &self.platform else {
            return Err(DiscoveryError("the settings name no platform".to_owned()));
        };
        platform.lock().await.read().await.map_err(|e| DiscoveryError(e.to_string()))
    }

    fn on_event(&self, event: &ControlEvent<'_>) {
        match event {
            ControlEvent::Chosen(_) | ControlEvent::Adopted { is_changed: false, .. } => {}
            ControlEvent::DiscoveryFailed(_) => log::debug!("{event}"),
            ControlEvent::UndecodableValue(_) | ControlEvent::DiskFailing(_) => log::error!("{event}"),
            ControlEvent::StorageLosses(_) | ControlEvent::SeedFounded(_) => log::warn!("{event}"),
            _ => log::info!("{event}"),
        }
    }
}
