//! The data directory: creating, opening, probing and replacing it.

use super::{Disk, DiskError, KeyspaceConfig, QUARANTINE, Write, io_error_at, journal, manifest};
use bytes::Bytes;
use fjall::compaction::Leveled;
use fjall::{Database, KeyspaceCreateOptions, KvSeparationOptions, PersistMode};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write as _;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::sync::Arc;

const FORMAT_VERSION: u8 = 1;
const CACHE_BYTES: u64 = 4 << 20;
const MAX_JOURNALING_BYTES: u64 = 64 << 20;
/// Target size of tables, in bytes. They are built in memory when they are merged, which this bounds.
const TARGET_TABLE_BYTES: u64 = 4 << 20;
/// Size in bytes from which on values are stored apart from their keys, and not rewritten when keys are merged.
const SEPARATED_VALUE_MIN_BYTES: u32 = 1 << 10;
const MAX_OPEN_FILES: usize = 64;
/// Name of a directory that could not be read.
pub(super) const QUARANTINE_DIRECTORY: &str = "records.damaged";
/// Name of the file that is written to check whether the disk accepts writes.
pub(super) const PROBE_FILE: &str = "probe.new";
const PROBE_BYTES: usize = 64 << 10;
pub(super) const METADATA: &str = "own";
pub(super) const NUMBER_KEY: &[u8] = b"number";
pub(super) const FORMAT_KEY: &[u8] = b"format";

/// A disk that was opened, possibly in place of one that could not be read.
#[derive(Debug)]
pub struct OpenedDisk<T> {
    /// The disk.
    pub disk: Disk,
    /// Its content, as the caller read it.
    pub read: T,
    /// Why the former directory was quarantined; this is another, empty disk then.
    pub lost: Option<DiskError>,
}

impl Disk {
    /// Opens the data directory, or creates it with the number that `random_u64` returns. A new one is created under
    /// another name and renamed when all of it is synced, so that an incomplete one is never opened as a disk.
    ///
    /// # Errors
    ///
    /// The directory cannot be accessed, is damaged, or is of another format.
    pub fn open(
        dir: &Path,
        keyspaces: &[KeyspaceConfig],
        random_u64: impl FnOnce() -> u64,
    ) -> Result<Self, DiskError> {
        let (records, incomplete) = (dir.join("records"), dir.join("records.new"));
        if !records.try_exists().map_err(io_error_at(&records))? {
            fs::create_dir_all(dir).map_err(io_error_at(dir))?;
            if incomplete.try_exists().map_err(io_error_at(&incomplete))? {
                fs::remove_dir_all(&incomplete).map_err(io_error_at(&incomplete))?;
            }
            Self::create(&incomplete, keyspaces, random_u64())?;
            fs::rename(&incomplete, &records).map_err(io_error_at(&records))?;
            sync_directory(dir)?;
            if let Some(parent) = dir.canonicalize().map_err(io_error_at(dir))?.parent() {
                sync_directory(parent)?;
            }
        }
        if let Some(journal::DamagedJournal { path, byte }) = journal::repair_tail(&records)? {
            return Err(DiskError::Journal { path, byte });
        }
        journal::resync_newest(&records)?;
        if let Some(manifest) = manifest::find_damaged(&records)? {
            return Err(DiskError::Manifest(manifest));
        }
        let mut disk = Self::open_engine(&records, keyspaces)?;
        match disk.read_metadata("format", FORMAT_KEY)?.as_slice() {
            [FORMAT_VERSION] => {}
            [found] => {
                let (found, known) = (u16::from(*found), u16::from(FORMAT_VERSION));
                return Err(DiskError::Format { path: records, found, known });
            }
            _ => return Err(DiskError::Metadata { record: "format", what: "another length".into() }),
        }
        let number = disk.read_metadata("number", NUMBER_KEY)?;
        let number =
            number.try_into().map_err(|_| DiskError::Metadata { record: "number", what: "length".into() })?;
        disk.number = u64::from_be_bytes(number);
        Ok(disk)
    }

    /// Opens the data directory and reads it. One whose content cannot be read is quarantined and replaced by an empty
    /// one, as if the disk had been lost.
    ///
    /// # Errors
    ///
    /// The directory cannot be accessed or is of another format, or the disk refuses writes, so that it cannot be replaced.
    pub fn open_or_replace<T>(
        dir: &Path,
        keyspaces: &[KeyspaceConfig],
        random_u64: impl Fn() -> u64,
        read: impl Fn(&Self) -> Result<T, DiskError>,
    ) -> Result<OpenedDisk<T>, DiskError> {
        let open = || {
            // The engine may panic on bytes that it has not written.
            let opened = AssertUnwindSafe(|| {
                let disk = Self::open(dir, keyspaces, &random_u64)?;
                let read = read(&disk)?;
                Ok((disk, read))
            });
            catch_unwind(opened).unwrap_or_else(|panic| {
                let message = panic.downcast_ref::<String>().cloned();
                let message = message.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
                Err(DiskError::EnginePanicked(message.unwrap_or_default()))
            })
        };
        let (lost, (disk, read)) = match open() {
            Ok(opened) => (None, opened),
            Err(error) if error.is_damage() => {
                // Without free space the engine may panic over an intact directory, and no other could be created.
                Self::probe(dir)?;
                log::error!("{}: set aside, and this is another disk from now on: {error}", dir.display());
                let (records, quarantine) = (dir.join("records"), dir.join(QUARANTINE_DIRECTORY));
                if quarantine.try_exists().map_err(io_error_at(&quarantine))? {
                    fs::remove_dir_all(&quarantine).map_err(io_error_at(&quarantine))?;
                }
                fs::rename(&records, &quarantine).map_err(io_error_at(&records))?;
                sync_directory(dir)?;
                (Some(error), open()?)
            }
            Err(error) => return Err(error),
        };
        Ok(OpenedDisk { disk, read, lost })
    }

    /// Checks whether the disk accepts writes: a small file is written, synced and removed.
    ///
    /// # Errors
    ///
    /// One of these operations failed.
    pub fn probe(dir: &Path) -> Result<(), DiskError> {
        let path = dir.join(PROBE_FILE);
        let written = File::create(&path).and_then(|mut file| {
            file.write_all(&[0x5a; PROBE_BYTES])?;
            file.sync_all()
        });
        let removed = fs::remove_file(&path);
        written.and(removed).map_err(io_error_at(&path))
    }

    /// Removes a quarantined directory, to free its space.
    ///
    /// # Errors
    ///
    /// It cannot be removed.
    pub fn remove_quarantined(dir: &Path) -> Result<(), DiskError> {
        let quarantine = dir.join(QUARANTINE_DIRECTORY);
        match fs::remove_dir_all(&quarantine) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                Err(io_error_at(&quarantine)(error))
            }
            _ => Ok(()),
        }
    }

    fn create(path: &Path, keyspaces: &[KeyspaceConfig], number: u64) -> Result<(), DiskError> {
        let disk = Self::open_engine(path, keyspaces)?;
        let number = Bytes::copy_from_slice(&number.to_be_bytes());
        disk.write(&[
            Write::put(METADATA, FORMAT_KEY, vec![FORMAT_VERSION]),
            Write::put(METADATA, NUMBER_KEY, number),
        ])?;
        disk.db.persist(PersistMode::SyncAll)?;
        drop(disk);
        sync_directory(path)
    }

    fn open_engine(path: &Path, keyspaces: &[KeyspaceConfig]) -> Result<Self, DiskError> {
        let db = Database::builder(path)
            .cache_size(CACHE_BYTES)
            .max_journaling_size(MAX_JOURNALING_BYTES)
            .max_cached_files(Some(MAX_OPEN_FILES))
            .worker_threads(1)
            .open()?;
        let internal = [METADATA, QUARANTINE].map(|name| KeyspaceConfig { name, memtable_bytes: 64 << 10 });
        let large = KvSeparationOptions::default()
            .separation_threshold(SEPARATED_VALUE_MIN_BYTES)
            .file_target_size(TARGET_TABLE_BYTES);
        let mut opened = BTreeMap::new();
        for keyspace in internal.iter().chain(keyspaces) {
            let options = || {
                KeyspaceCreateOptions::default()
                    .max_memtable_size(keyspace.memtable_bytes)
                    .compaction_strategy(Arc::new(
                        Leveled::default().with_table_target_size(TARGET_TABLE_BYTES),
                    ))
                    .with_kv_separation(Some(large.clone()))
            };
            opened.insert(keyspace.name, db.keyspace(keyspace.name, options)?);
        }
        Ok(Self { db, keyspaces: opened, number: 0 })
    }

    fn read_metadata(&self, record: &'static str, key: &[u8]) -> Result<Vec<u8>, DiskError> {
        match self.get(METADATA, key) {
            Ok(Some(value)) => Ok(value),
            Ok(None) => Err(DiskError::Metadata { record, what: "it is missing".into() }),
            Err(DiskError::Damaged(reason)) => Err(DiskError::Metadata { record, what: reason.to_string() }),
            Err(error) => Err(error),
        }
    }
}

fn sync_directory(path: &Path) -> Result<(), DiskError> {
    File::open(path).and_then(|folder| folder.sync_all()).map_err(io_error_at(path))
}
