//! The journal of the coordination service's replica on disk, and what a replica finds there at its start.

use super::record::OPEN_RETRY_INTERVAL;
use crate::disk::JournalWriter;
use crate::start::StartError;
use process_lifecycle::blocking::run_on_thread;
use process_lifecycle::waits::Waits;
use replicated_log::RecoveredJournal;
use std::path::Path;
use std::rc::Rc;
use turn_store::{EntryLog, OpenedEntryLog, RecoveredEntries};

#[cfg(test)]
mod tests;

/// Name of the journal's folder in the data directory. It is created with the first write.
const JOURNAL_FOLDER: &str = "coordination";

/// A journal that was opened.
pub(super) struct OpenedJournal {
    /// Writes to it.
    pub writer: JournalWriter,
    /// What it held.
    pub found: RecoveredJournal,
    /// Number of damages that were found.
    pub damages: u64,
}

/// Opens the journal in the data directory, and tries again for as long as it cannot be used.
pub(super) async fn open_with_retry(waits: &Rc<Waits>, data_directory: &Path) -> OpenedJournal {
    let open_checked = async || {
        let journal = open(data_directory).await?;
        check(&journal.found)?;
        Ok::<_, StartError>(journal)
    };
    waits.retry("the coordination journal", OPEN_RETRY_INTERVAL, open_checked).await
}

/// Opens the journal in the data directory, whatever program has written it.
async fn open(data_directory: &Path) -> Result<OpenedJournal, StartError> {
    let folder = data_directory.join(JOURNAL_FOLDER);
    let opened = run_on_thread("open journal", move || EntryLog::open(&folder)).await??;
    Ok(into_journal(opened))
}

/// Refuses a journal that another program has written: the node must not start over it as a new replica.
fn check(found: &RecoveredJournal) -> Result<(), StartError> {
    control_node::check_journal(found).map_err(|error| StartError::Disk(error.to_string()))
}

fn into_journal(opened: OpenedEntryLog) -> OpenedJournal {
    for damage in &opened.damages {
        log::error!("damaged journal set aside: {damage}");
    }
    let found = match opened.found {
        RecoveredEntries::Stored { checkpoint, entries: records } => {
            RecoveredJournal::Stored { checkpoint, records }
        }
        RecoveredEntries::NeverWritten => RecoveredJournal::Empty,
        RecoveredEntries::Lost => {
            log::error!("journal lost, the replica starts as a new one");
            RecoveredJournal::Empty
        }
    };
    let damages = opened.damages.len() as u64;
    OpenedJournal { writer: JournalWriter::new(opened.log), found, damages }
}
