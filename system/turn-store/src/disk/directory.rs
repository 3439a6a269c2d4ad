//! The data directory: creating, opening, probing and replacing it.

use super::{ASIDE, Disk, DiskError, Space, Write, at, journal, manifest};
use bytes::Bytes;
use fjall::compaction::Leveled;
use fjall::{Database, KeyspaceCreateOptions, KvSeparationOptions, PersistMode};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write as _;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::sync::Arc;

const FORMAT: u8 = 1;
const CACHE_BYTES: u64 = 4 << 20;
const JOURNAL_BYTES: u64 = 64 << 20;
/// Files of keys are written from memory when they are merged: their size bounds what that takes.
const TABLE_BYTES: u64 = 4 << 20;
/// Values from this size on are kept apart from their keys, and stay where they are when keys are merged.
const LARGE_BYTES: u32 = 1 << 10;
const OPEN_FILES: usize = 64;
/// What a folder that could not be read is called.
pub(super) const DAMAGED: &str = "records.damaged";
/// A file that is written to see whether the disk takes writes.
pub(super) const PROBE: &str = "probe.new";
const PROBE_BYTES: usize = 64 << 10;
pub(super) const OWN: &str = "own";
pub(super) const NUMBER_KEY: &[u8] = b"number";
pub(super) const FORMAT_KEY: &[u8] = b"format";

/// A folder that was opened, if need be in place of one that could not be read.
#[derive(Debug)]
pub struct Replaced<T> {
    /// The disk.
    pub disk: Disk,
    /// What was read of it.
    pub read: T,
    /// Why the former folder was set aside; this is another disk then, and it holds nothing.
    pub lost: Option<DiskError>,
}

impl Disk {
    /// Open the folder, or make it: then it gets the number that `random_u64` gives. It is made under another name and renamed
    /// when all is synced, so that a half-made one is never taken for a disk.
    pub fn open(dir: &Path, spaces: &[Space], random_u64: impl FnOnce() -> u64) -> Result<Self, DiskError> {
        let (made, half) = (dir.join("records"), dir.join("records.new"));
        if !made.try_exists().map_err(at(&made))? {
            fs::create_dir_all(dir).map_err(at(dir))?;
            if half.try_exists().map_err(at(&half))? {
                fs::remove_dir_all(&half).map_err(at(&half))?;
            }
            Self::create(&half, spaces, random_u64())?;
            fs::rename(&half, &made).map_err(at(&made))?;
            sync_folder(dir)?;
            if let Some(parent) = dir.canonicalize().map_err(at(dir))?.parent() {
                sync_folder(parent)?;
            }
        }
        if let Some(journal::Broken { path, byte }) = journal::look_through(&made)? {
            return Err(DiskError::Journal { path, byte });
        }
        journal::sync_newest(&made)?;
        if let Some(manifest) = manifest::look_through(&made)? {
            return Err(DiskError::Manifest(manifest));
        }
        let mut disk = Self::open_engine(&made, spaces)?;
        match disk.own("format", FORMAT_KEY)?.as_slice() {
            [FORMAT] => {}
            [found] => {
                let (found, known) = (u16::from(*found), u16::from(FORMAT));
                return Err(DiskError::Format { path: made, found, known });
            }
            _ => return Err(DiskError::Own { record: "format", what: "another length".into() }),
        }
        let number = disk.own("number", NUMBER_KEY)?;
        let number =
            number.try_into().map_err(|_| DiskError::Own { record: "number", what: "length".into() })?;
        disk.number = u64::from_be_bytes(number);
        Ok(disk)
    }

    /// Open the folder and read it. One whose content cannot be read as a whole is set aside, and another takes its
    /// place: as if the disk had been lost.
    pub fn open_or_replace<T>(
        dir: &Path,
        spaces: &[Space],
        random_u64: impl Fn() -> u64,
        read: impl Fn(&Self) -> Result<T, DiskError>,
    ) -> Result<Replaced<T>, DiskError> {
        let open = || {
            // What the engine does with bytes that it never wrote is its own affair: it may break off.
            let opened = AssertUnwindSafe(|| {
                let disk = Self::open(dir, spaces, &random_u64)?;
                let read = read(&disk)?;
                Ok((disk, read))
            });
            catch_unwind(opened).unwrap_or_else(|broke_off| {
                let told = broke_off.downcast_ref::<String>().cloned();
                let told = told.or_else(|| broke_off.downcast_ref::<&str>().map(|told| told.to_string()));
                Err(DiskError::BrokeOff(told.unwrap_or_default()))
            })
        };
        let (lost, (disk, read)) = match open() {
            Ok(opened) => (None, opened),
            Err(error) if error.is_damage() => {
                // Without room the engine may break off over a folder that is whole; nor could another be made.
                Self::probe(dir)?;
                log::error!("{}: set aside, and this is another disk from now on: {error}", dir.display());
                let (made, aside) = (dir.join("records"), dir.join(DAMAGED));
                if aside.try_exists().map_err(at(&aside))? {
                    fs::remove_dir_all(&aside).map_err(at(&aside))?;
                }
                fs::rename(&made, &aside).map_err(at(&made))?;
                sync_folder(dir)?;
                (Some(error), open()?)
            }
            Err(error) => return Err(error),
        };
        Ok(Replaced { disk, read, lost })
    }

    /// See whether the disk takes writes: a small file is written, synced and removed.
    pub fn probe(dir: &Path) -> Result<(), DiskError> {
        let path = dir.join(PROBE);
        let written = File::create(&path).and_then(|mut file| {
            file.write_all(&[0x5a; PROBE_BYTES])?;
            file.sync_all()
        });
        let removed = fs::remove_file(&path);
        written.and(removed).map_err(at(&path))
    }

    /// Remove what was set aside as a whole: its room is needed.
    pub fn remove_aside(dir: &Path) -> Result<(), DiskError> {
        let aside = dir.join(DAMAGED);
        match fs::remove_dir_all(&aside) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(at(&aside)(error)),
            _ => Ok(()),
        }
    }

    fn create(path: &Path, spaces: &[Space], number: u64) -> Result<(), DiskError> {
        let disk = Self::open_engine(path, spaces)?;
        let number = Bytes::copy_from_slice(&number.to_be_bytes());
        disk.write(&[Write::put(OWN, FORMAT_KEY, vec![FORMAT]), Write::put(OWN, NUMBER_KEY, number)])?;
        disk.db.persist(PersistMode::SyncAll)?;
        drop(disk);
        sync_folder(path)
    }

    fn open_engine(path: &Path, spaces: &[Space]) -> Result<Self, DiskError> {
        let db = Database::builder(path)
            .cache_size(CACHE_BYTES)
            .max_journaling_size(JOURNAL_BYTES)
            .max_cached_files(Some(OPEN_FILES))
            .worker_threads(1)
            .open()?;
        let own = [OWN, ASIDE].map(|name| Space { name, memtable_bytes: 64 << 10 });
        let large =
            KvSeparationOptions::default().separation_threshold(LARGE_BYTES).file_target_size(TABLE_BYTES);
        let mut opened = BTreeMap::new();
        for space in own.iter().chain(spaces) {
            let options = || {
                KeyspaceCreateOptions::default()
                    .max_memtable_size(space.memtable_bytes)
                    .compaction_strategy(Arc::new(Leveled::default().with_table_target_size(TABLE_BYTES)))
                    .with_kv_separation(Some(large.clone()))
            };
            opened.insert(space.name, db.keyspace(space.name, options)?);
        }
        Ok(Self { db, spaces: opened, number: 0 })
    }

    fn own(&self, record: &'static str, key: &[u8]) -> Result<Vec<u8>, DiskError> {
        match self.get(OWN, key) {
            Ok(Some(value)) => Ok(value),
            Ok(None) => Err(DiskError::Own { record, what: "it is missing".into() }),
            Err(DiskError::Damaged(what)) => Err(DiskError::Own { record, what }),
            Err(error) => Err(error),
        }
    }
}

fn sync_folder(path: &Path) -> Result<(), DiskError> {
    File::open(path).and_then(|folder| folder.sync_all()).map_err(at(path))
}
