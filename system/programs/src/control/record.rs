//! The acceptor's record on disk, and the initial state that a control node derives from it.

use crate::disk::{Durable, decode_record};
use crate::start::StartError;
use config_register::{AcceptorRecord, RecordFormat, RecordV1};
use control_node::InitialState;
use std::net::Ipv4Addr;
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;
use turn_store::{DiskError, RecordLog, RecoveredRecord};

#[cfg(test)]
mod tests;

/// Delay between two attempts to open a folder that the disk refuses.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The disk of an acceptor.
pub(super) struct Opened {
    /// Where its record is kept.
    pub durable: Durable,
    /// What it starts with.
    pub initial_state: InitialState,
    /// Damages that were found and set aside.
    pub damages: u64,
}

/// Reads a record of a form that this program knows.
fn read_record(folder: &Path, bytes: &[u8]) -> Result<AcceptorRecord, StartError> {
    match RecordFormat::detect(bytes) {
        RecordFormat::Current => decode_record(folder, bytes),
        RecordFormat::V1 => decode_record::<RecordV1>(folder, bytes).map(AcceptorRecord::from),
        RecordFormat::Unknown(form) => {
            let path = folder.display();
            Err(StartError::Disk(format!(
                "{path}: a record of form {form}, which this program does not know"
            )))
        }
    }
}

/// Opens the folder, and tries again for as long as the disk refuses that.
pub(super) async fn open_with_retry(
    folder: &Path,
    first_start: bool,
    me: Ipv4Addr,
    seeds: &[Ipv4Addr],
) -> Result<Opened, StartError> {
    let opened = retry_while_refused("acceptor record", || RecordLog::open(folder)).await?;
    read_initial_state(opened, folder, first_start, me, seeds)
}

/// Opens something on the disk, and tries again for as long as the disk refuses that.
pub(super) async fn retry_while_refused<T>(
    what: &str,
    mut open: impl FnMut() -> Result<T, DiskError>,
) -> Result<T, DiskError> {
    let mut is_logged = false;
    loop {
        match open() {
            Err(refused @ DiskError::Io { .. }) => {
                if !is_logged {
                    log::error!("{what} cannot be opened, retrying: error={refused}");
                }
                is_logged = true;
                sleep(OPEN_RETRY_INTERVAL).await;
            }
            opened => return opened,
        }
    }
}

/// What the folder holds, and how a node begins with it.
fn read_initial_state(
    opened: turn_store::Opened,
    folder: &Path,
    first_start: bool,
    me: Ipv4Addr,
    seeds: &[Ipv4Addr],
) -> Result<Opened, StartError> {
    for damage in &opened.damages {
        log::error!("damaged record set aside: {damage}");
    }
    let initial_state = match opened.found {
        RecoveredRecord::Stored(record) => InitialState::Existing(read_record(folder, &record)?),
        // It has never voted, so there is nothing that it may have forgotten.
        RecoveredRecord::NeverWritten if first_start => InitialState::never_voted(me, seeds),
        // A promise that cannot be read is as good as forgotten.
        RecoveredRecord::NeverWritten | RecoveredRecord::Lost => InitialState::Recovering,
    };
    let damages = opened.damages.len() as u64;
    Ok(Opened { durable: Durable::with_log(opened.log)?, initial_state, damages })
}
