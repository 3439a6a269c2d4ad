//! A checkpoint and the entries appended to it, on disk as an append-only log.
//!
//! A file begins with the checkpoint, as content 0; each append is one content with the next number, written at once and
//! synced before the next one. So at most the last content of a file was not synced: if its end is torn it is dropped,
//! and any other damage means that the log is lost, since what was acknowledged may be missing.
//!
//! After a failed write, sync or rename the log takes no appends until it was restarted, which begins a new file with a
//! higher number. The older files are removed only after that one, its name and its folder are synced. The file with the
//! highest number counts.

mod entries;

use crate::disk::{DiskError, io_error_at};
use crate::log_files::{
    AppendFile, Contents, End, FileFormat, FileOperations, Inventory, LogFiles, SystemFiles, contents,
};
use bytes::Bytes;
use entries::{decode_entries, encode_entries};
use std::fs;
use std::path::Path;

#[cfg(test)]
mod faults;
#[cfg(test)]
mod tests;

/// The files of a log of entries.
const FORMAT: FileFormat = FileFormat { magic: b"MDentlog", version: 1, file_prefix: "entries" };

/// What was found in a folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveredEntries {
    /// No checkpoint was ever written.
    NeverWritten,
    /// The newest checkpoint, and the entries appended to it in their order.
    Stored {
        /// The checkpoint.
        checkpoint: Bytes,
        /// The entries.
        entries: Vec<Bytes>,
    },
    /// A checkpoint was written, and it or an entry cannot be read.
    Lost,
}

/// A log that was opened, and what was found in it.
#[derive(Debug)]
pub struct OpenedEntryLog {
    /// The log.
    pub log: EntryLog,
    /// What was found.
    pub found: RecoveredEntries,
    /// Descriptions of damage that was found, each with its file.
    pub damages: Vec<String>,
}

/// A write to a log of entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryWrite {
    /// Append these entries.
    Append(Vec<Bytes>),
    /// Begin anew with this checkpoint.
    Restart(Bytes),
}

/// The log of a checkpoint and its entries.
#[derive(Debug)]
pub struct EntryLog {
    files: LogFiles,
    /// The file, and the number of the next append. `None` before the first checkpoint and after a failure.
    append: Option<(AppendFile, u64)>,
}

impl EntryLog {
    /// Opens the folder. One that does not exist is created with the first checkpoint. A damaged file is quarantined.
    ///
    /// # Errors
    ///
    /// The folder cannot be accessed, what was found cannot be synced, or it is of another format.
    pub fn open(folder: &Path) -> Result<OpenedEntryLog, DiskError> {
        Self::open_with(folder, Box::new(SystemFiles))
    }

    fn open_with(folder: &Path, operations: Box<dyn FileOperations>) -> Result<OpenedEntryLog, DiskError> {
        if !folder.try_exists().map_err(io_error_at(folder))? {
            let log = Self { files: LogFiles::absent(folder, &FORMAT, operations), append: None };
            return Ok(OpenedEntryLog { log, found: RecoveredEntries::NeverWritten, damages: Vec::new() });
        }
        let (files, inventory) = LogFiles::list(folder, &FORMAT, operations)?;
        let mut log = Self { files, append: None };
        let mut damages = Vec::new();
        let found = match inventory {
            Inventory::Quarantined => RecoveredEntries::Lost,
            Inventory::Empty => RecoveredEntries::NeverWritten,
            Inventory::Files => log.read_newest(&mut damages)?,
        };
        log.files.remove_outdated();
        Ok(OpenedEntryLog { log, found, damages })
    }

    fn read_newest(&mut self, damages: &mut Vec<String>) -> Result<RecoveredEntries, DiskError> {
        let path = self.files.newest_path();
        let (bytes, is_header_intact) = self.files.read_newest()?;
        let contents = contents(&FORMAT, &bytes);
        let decoded = if is_header_intact { decode(&bytes, &contents) } else { Err(0) };
        match decoded {
            Ok((checkpoint, entries)) => {
                if contents.end == End::Torn {
                    log::warn!("{}: an append was not finished", path.display());
                }
                let end = contents.complete.last().map_or(0, crate::log_files::Content::end);
                let next = contents.complete.len() as u64;
                self.append = Some((self.files.continue_newest(&bytes[..end])?, next));
                Ok(RecoveredEntries::Stored { checkpoint, entries })
            }
            Err(position) => {
                damages.push(format!("{}: damaged at byte {position}", path.display()));
                self.files.quarantine_newest()?;
                Ok(RecoveredEntries::Lost)
            }
        }
    }

    /// Begins a new file with this checkpoint and without entries, and syncs it; then the older files are removed.
    ///
    /// # Errors
    ///
    /// It was not synced, and either it or the former content is found at the next start. The log takes no appends until
    /// a restart succeeds.
    pub fn restart(&mut self, checkpoint: &[u8]) -> Result<(), DiskError> {
        self.append = None;
        let folder = self.files.folder();
        fs::create_dir_all(folder).map_err(io_error_at(folder))?;
        let bytes = [&FORMAT.header()[..], &FORMAT.encode_content(0, checkpoint)].concat();
        self.append = Some((self.files.start_next(&bytes)?, 1));
        self.files.remove_outdated();
        Ok(())
    }

    /// Appends entries with one write and one sync. At the next start all of them are found or, after an error, none.
    ///
    /// # Errors
    ///
    /// They were not synced, and may or may not be found at the next start, or the log needs a restart first.
    pub fn append(&mut self, entries: &[Bytes]) -> Result<(), DiskError> {
        let Some((mut append, number)) = self.append.take() else {
            return Err(DiskError::CheckpointNeeded(self.files.folder().to_owned()));
        };
        if !entries.is_empty() {
            let bytes = FORMAT.encode_content(number, &encode_entries(entries));
            self.files.append(&mut append, &bytes)?;
        }
        self.append = Some((append, number + u64::from(!entries.is_empty())));
        Ok(())
    }

    /// Does these writes in their order. Those before the last checkpoint are covered by it, and all appends after it are
    /// one.
    ///
    /// # Errors
    ///
    /// At least one was not synced.
    pub(crate) fn commit(&mut self, writes: &[EntryWrite]) -> Result<(), DiskError> {
        let mut entries = Vec::new();
        for write in writes.iter().rev() {
            match write {
                EntryWrite::Append(more) => entries.push(more),
                EntryWrite::Restart(checkpoint) => {
                    self.restart(checkpoint)?;
                    break;
                }
            }
        }
        let entries: Vec<Bytes> = entries.into_iter().rev().flatten().cloned().collect();
        self.append(&entries)
    }
}

/// The checkpoint and the entries of a file, or the position from which on it is damaged.
fn decode(bytes: &[u8], contents: &Contents) -> Result<(Bytes, Vec<Bytes>), usize> {
    if let Some(position) = contents.damaged_positions.first() {
        return Err(*position);
    }
    let mut checkpoint = None;
    let mut entries = Vec::new();
    let mut at = FORMAT.header().len();
    for (expected, content) in contents.complete.iter().enumerate() {
        let record = Bytes::from(content.decode(bytes));
        let decoded = match expected {
            _ if content.number != expected as u64 => None,
            0 => {
                checkpoint = Some(record);
                Some(())
            }
            _ => decode_entries(record, &mut entries),
        };
        decoded.ok_or(at)?;
        at = content.end();
    }
    match checkpoint {
        Some(checkpoint) if contents.end != End::Damaged => Ok((checkpoint, entries)),
        _ => Err(at),
    }
}
