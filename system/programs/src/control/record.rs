//! The acceptor's record on disk, and the initial state that a control node derives from it.

use crate::disk::{Durable, decode_record};
use crate::start::StartError;
use config_register::{AcceptorRecord, RecordFormat, RecordV1};
use control_node::InitialState;
use process_lifecycle::blocking::run_on_thread;
use process_lifecycle::waits::Waits;
use std::net::Ipv4Addr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use turn_store::{DirectoryLock, DiskError, RecordLog, RecoveredRecord};

#[cfg(test)]
mod tests;

/// Delay between two attempts to open a folder that cannot be used.
pub(super) const OPEN_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// What a control node waits for while its disk stalls.
const RECORD_WAIT: &str = "the acceptor's record";

/// The disk of an acceptor.
pub(super) struct Opened {
    /// Where its record is kept.
    pub durable: Durable,
    /// What it starts with.
    pub initial_state: InitialState,
    /// Damages that were found and set aside.
    pub damages: u64,
    /// Held for as long as the record is written to.
    pub lock: Option<DirectoryLock>,
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

/// Opens the folder, and tries again for as long as it cannot be used.
pub(super) async fn open_with_retry(
    waits: &Rc<Waits>,
    folder: &Path,
    first_start: bool,
    me: Ipv4Addr,
    seeds: &[Ipv4Addr],
) -> Opened {
    let open = async || {
        let path = folder.to_owned();
        let open_locked = move || {
            // A former process that is still ending may write on: what is read before its end could be outdated.
            let lock = DirectoryLock::acquire(&path)?;
            Ok::<_, DiskError>((lock, RecordLog::open(&path)?))
        };
        let (lock, opened) = run_on_thread("open record", open_locked).await??;
        let opened = read_initial_state(opened, folder, first_start, me, seeds)?;
        Ok::<_, StartError>(Opened { lock: Some(lock), ..opened })
    };
    waits.retry(RECORD_WAIT, OPEN_RETRY_INTERVAL, open).await
}

/// Writes the initial record of a node that has never voted, at once: without it the next start, which is no first start, would
/// take the node for one that has lost its disk. While the disk refuses, the node itself goes on trying.
pub(super) async fn write_initial_record(waits: &Rc<Waits>, opened: Opened) -> Opened {
    let InitialState::New(record) = opened.initial_state else { return opened };
    let written = waits.observe(RECORD_WAIT, opened.durable.put(&record)).await;
    let initial_state = match written {
        Ok(()) => InitialState::NewOnDisk(record),
        Err(_) => InitialState::New(record),
    };
    Opened { initial_state, ..opened }
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
    Ok(Opened { durable: Durable::with_log(opened.log)?, initial_state, damages, lock: None })
}
