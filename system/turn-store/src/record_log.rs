//! One record on disk as an append-only log: each new content is appended and synced, the last one counts.
//!
//! A file gets its name when its first content is synced, so one without any complete content is damaged. What a loss of
//! power leaves of an append that was not synced ends too early or has a gap of zeros; any other end that cannot be
//! read was synced once, and the record counts as lost rather than as its previous content.
//!
//! After a failed write, sync or rename the contents of the file are unknown, so it is never appended to again: the next
//! content goes to a new file with a higher number, and the older files are removed only after that one, its name and its
//! folder are synced. The file with the highest number counts.

use crate::disk::{DiskError, io_error_at};
use crate::log_files::{
    AppendFile, Content, End, FileFormat, FileOperations, Inventory, LogFiles, SystemFiles, contents,
};
use bytes::Bytes;
use std::fs;
use std::path::Path;

#[cfg(test)]
mod faults;
#[cfg(test)]
mod tests;

/// Size in bytes beyond which a file is followed by another.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// The files of a record. Version 1 was a directory of records in the engine's format.
const FORMAT: FileFormat = FileFormat { magic: b"MDrecord", version: 2, file_prefix: "record" };

/// The record that was found in a directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveredRecord {
    /// No record was ever written.
    NeverWritten,
    /// The newest record.
    Stored(Bytes),
    /// A record was written, and it cannot be read.
    Lost,
}

/// A log that was opened, and what was found in it.
#[derive(Debug)]
pub struct Opened {
    /// The log.
    pub log: RecordLog,
    /// The record that was found.
    pub found: RecoveredRecord,
    /// Descriptions of damage that was found, each with its file.
    pub damages: Vec<String>,
}

/// The log of a single record.
#[derive(Debug)]
pub struct RecordLog {
    files: LogFiles,
    /// `None` before the first record and after a failure.
    append: Option<AppendFile>,
    /// Number of the newest content.
    content: u64,
    /// The newest record, while it is not known to be synced.
    unsynced: Option<Bytes>,
}

impl RecordLog {
    /// Opens the directory, or creates it. A damaged file is quarantined.
    ///
    /// # Errors
    ///
    /// The directory cannot be accessed, or it is of another format.
    pub fn open(folder: &Path) -> Result<Opened, DiskError> {
        Self::open_with(folder, Box::new(SystemFiles))
    }

    fn open_with(folder: &Path, operations: Box<dyn FileOperations>) -> Result<Opened, DiskError> {
        fs::create_dir_all(folder).map_err(io_error_at(folder))?;
        let former = folder.join("records");
        if former.try_exists().map_err(io_error_at(&former))? {
            return Err(DiskError::Format { path: former, found: 1, known: FORMAT.version });
        }
        let (files, inventory) = LogFiles::list(folder, &FORMAT, operations)?;
        let mut log = Self { files, append: None, content: 0, unsynced: None };
        let mut damages = Vec::new();
        let found = match inventory {
            Inventory::Quarantined => RecoveredRecord::Lost,
            Inventory::Empty => RecoveredRecord::NeverWritten,
            Inventory::Files => log.read_newest(&mut damages)?,
        };
        if !log.has_unsynced_record() {
            log.files.remove_outdated();
        }
        Ok(Opened { log, found, damages })
    }

    fn read_newest(&mut self, damages: &mut Vec<String>) -> Result<RecoveredRecord, DiskError> {
        let path = self.files.newest_path();
        let (bytes, is_header_intact) = self.files.read_newest()?;
        let describe = |what: &str| format!("{}: {what}", path.display());
        if !is_header_intact {
            damages.push(describe("damaged at its beginning"));
        }
        let contents = contents(&FORMAT, &bytes);
        damages.extend(
            contents
                .damaged_positions
                .iter()
                .map(|position| describe(&format!("damaged at byte {position}"))),
        );
        match (contents.complete.last(), contents.end) {
            (Some(last), End::Complete | End::Torn) => {
                if damages.is_empty() && contents.end == End::Torn {
                    log::warn!("{}: an append was not finished", path.display());
                }
                Ok(RecoveredRecord::Stored(self.adopt(&path, &bytes, last, damages.is_empty())))
            }
            (None, _) | (_, End::Damaged) => {
                damages.push(describe("the newest record is damaged"));
                self.files.quarantine_newest()?;
                Ok(RecoveredRecord::Lost)
            }
        }
    }

    /// Takes over the newest record of a file, and syncs it if the disk permits.
    fn adopt(&mut self, path: &Path, bytes: &[u8], last: &Content, is_file_intact: bool) -> Bytes {
        self.content = last.number;
        let record = last.decode(bytes);
        let persisted = if is_file_intact {
            self.files.continue_newest(&bytes[..last.end()]).map(|append| self.append = Some(append))
        } else {
            // The record itself is intact: it is written to a new file before the damaged one is quarantined.
            self.start_file(&record).and_then(|()| self.files.quarantine(path))
        };
        let record = Bytes::from(record);
        if let Err(error) = persisted {
            log::error!("the record as it was found is not synced yet: {error}");
            self.append = None;
            self.unsynced = Some(record.clone());
            self.files.mark_outdated(path.to_owned());
        }
        record
    }

    /// Writes a new content of the record and syncs it.
    ///
    /// # Errors
    ///
    /// It was not synced, and may or may not be found at the next start. The log can still be used:
    /// [`RecordLog::sync_newest`] and the next `put` write the newest record again.
    pub fn put(&mut self, record: &[u8]) -> Result<(), DiskError> {
        self.unsynced = Some(Bytes::copy_from_slice(record));
        self.sync_newest()
    }

    /// Whether the newest record is not known to be synced.
    pub fn has_unsynced_record(&self) -> bool {
        self.unsynced.is_some()
    }

    /// Syncs the newest record if it is not synced.
    ///
    /// # Errors
    ///
    /// It was not synced.
    pub fn sync_newest(&mut self) -> Result<(), DiskError> {
        let Some(record) = self.unsynced.clone() else { return Ok(()) };
        match self.append.take() {
            Some(append) if append.length <= MAX_FILE_BYTES => self.append_to(append, &record)?,
            _ => self.start_file(&record)?,
        }
        self.unsynced = None;
        self.files.remove_outdated();
        Ok(())
    }

    /// Appends. After an error the file is not appended to again: what it holds then is unknown.
    fn append_to(&mut self, mut append: AppendFile, record: &[u8]) -> Result<(), DiskError> {
        self.content += 1;
        let bytes = FORMAT.encode_content(self.content, record);
        let appended = self.files.append(&mut append, &bytes);
        match appended {
            Ok(()) => self.append = Some(append),
            Err(_) => self.files.mark_outdated(self.files.newest_path()),
        }
        appended
    }

    /// Starts the next file, with this as its first content.
    fn start_file(&mut self, record: &[u8]) -> Result<(), DiskError> {
        self.content += 1;
        let bytes = [&FORMAT.header()[..], &FORMAT.encode_content(self.content, record)].concat();
        self.append = Some(self.files.start_next(&bytes)?);
        Ok(())
    }
}
