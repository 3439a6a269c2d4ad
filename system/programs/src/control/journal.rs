//! The journal of the coordination service's replica on disk, and what a replica finds there at its start.

use super::record::retry_while_refused;
use crate::disk::JournalWriter;
use crate::start::StartError;
use replicated_log::RecoveredJournal;
use std::path::Path;
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

/// Opens the journal in the data directory, and tries again for as long as the disk refuses that.
pub(super) async fn open_with_retry(data_directory: &Path) -> Result<OpenedJournal, StartError> {
    let folder = data_directory.join(JOURNAL_FOLDER);
    Ok(into_journal(retry_while_refused("journal", || EntryLog::open(&folder)).await?))
}

/// Refuses a journal that another program has written: the node must not start over it as a new replica.
pub(super) fn check(found: &RecoveredJournal) -> Result<(), StartError> {
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
