//! Records in named keyspaces on fjall, each value framed with a format version and a checksum.

use bytes::Bytes;
use fjall::compaction::Leveled;
use fjall::{Database, Keyspace, KeyspaceCreateOptions, KvSeparationOptions, PersistMode, UserKey};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write as _;
use std::ops::Bound::{Excluded, Unbounded};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::Arc;

mod journal;
mod manifest;
#[cfg(test)]
mod tests;

const RECORD_VERSION: u8 = 1;
const FORMAT: u8 = 1;
const FRAME_BYTES: usize = 5;
const CACHE_BYTES: u64 = 4 << 20;
const JOURNAL_BYTES: u64 = 64 << 20;
/// Files of keys are written from memory when they are merged: their size bounds what that takes.
const TABLE_BYTES: u64 = 4 << 20;
/// Values from this size on are kept apart from their keys, and stay where they are when keys are merged.
const LARGE_BYTES: u32 = 1 << 10;
const OPEN_FILES: usize = 64;
/// Longest key; fjall itself takes up to 65,535 bytes.
const KEY_BYTES: usize = 16 << 10;
/// What a folder that could not be read is called.
const DAMAGED: &str = "records.damaged";
/// A file that is written to see whether the disk takes writes.
const PROBE: &str = "probe.new";
const PROBE_BYTES: usize = 64 << 10;
const OWN: &str = "own";
const ASIDE: &str = "aside";
const NUMBER_KEY: &[u8] = b"number";
const FORMAT_KEY: &[u8] = b"format";

/// A keyspace to be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Space {
    /// Its name; `own` and `aside` are taken.
    pub name: &'static str,
    /// How much of it is gathered in memory before it goes to a file of its own.
    pub memtable_bytes: u64,
}

/// One record to be put or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The keyspace.
    pub space: &'static str,
    /// The key, not empty.
    pub key: Vec<u8>,
    /// The value; `None` removes the record.
    pub value: Option<Bytes>,
}

impl Write {
    /// Put a record.
    pub fn put(space: &'static str, key: impl Into<Vec<u8>>, value: impl Into<Bytes>) -> Self {
        Self { space, key: key.into(), value: Some(value.into()) }
    }

    /// Remove a record.
    pub fn remove(space: &'static str, key: impl Into<Vec<u8>>) -> Self {
        Self { space, key: key.into(), value: None }
    }
}

/// A record that cannot be taken for truth.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Its keyspace.
    pub space: &'static str,
    /// Its key.
    pub key: Vec<u8>,
    /// What is wrong.
    pub what: String,
}

/// Why a disk cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The folder or its files.
    #[error("{}: {source}", path.display())]
    Folder {
        /// The place.
        path: PathBuf,
        /// What failed.
        source: std::io::Error,
    },
    /// The engine.
    #[error("storage engine: {0}")]
    Engine(#[from] fjall::Error),
    /// The folder was written in another format.
    #[error("{}: written in format {found}, this program knows format {known}", path.display())]
    Format {
        /// The place.
        path: PathBuf,
        /// Its format.
        found: u16,
        /// The format that this program writes.
        known: u16,
    },
    /// The folder's own records are damaged.
    #[error("the folder's own record `{record}` is damaged: {what}")]
    Own {
        /// Which one.
        record: &'static str,
        /// What is wrong.
        what: String,
    },
    /// A journal of the engine is damaged at a place that was synced.
    #[error("{}: damaged at byte {byte}", path.display())]
    Journal {
        /// The journal.
        path: PathBuf,
        /// From where on.
        byte: u64,
    },
    /// A manifest of the engine is not as it was written.
    #[error("{}: damaged", .0.display())]
    Manifest(PathBuf),
    /// A part of a keyspace cannot be read, not even its keys.
    #[error("keyspace `{space}` cannot be read: {what}")]
    Unreadable {
        /// The keyspace.
        space: &'static str,
        /// What is wrong.
        what: String,
    },
    /// The engine gave up in a way that is not foreseen.
    #[error("the storage engine broke off: {0}")]
    BrokeOff(String),
    /// A record is damaged.
    #[error("damaged record: {0}")]
    Damaged(String),
    /// A record is whole, and written by a program that is not known here.
    #[error(
        "record {key:?} of keyspace `{space}`: written in version {found}, this program knows version {RECORD_VERSION}"
    )]
    RecordVersion {
        /// The keyspace.
        space: &'static str,
        /// The key.
        key: String,
        /// Its version.
        found: u8,
    },
    /// There is no such keyspace.
    #[error("no keyspace `{0}`")]
    NoSpace(&'static str),
    /// The key is empty or too long.
    #[error("a key of {0} bytes")]
    Key(usize),
}

impl DiskError {
    /// Whether the folder's content is damaged, and not just out of reach now or written by another program.
    pub fn is_damage(&self) -> bool {
        match self {
            Self::Own { .. }
            | Self::Journal { .. }
            | Self::Manifest(_)
            | Self::Unreadable { .. }
            | Self::BrokeOff(_) => true,
            Self::Engine(error) => is_damage(error),
            _ => false,
        }
    }

    /// Whether it may pass by itself: a file operation was refused, or the folder is still in use. The folder's content
    /// and its version are not at fault then.
    pub fn may_pass(&self) -> bool {
        use fjall::Error::{Io, Locked, Poisoned, Storage};
        match self {
            Self::Folder { .. } => true,
            Self::Engine(Io(_) | Locked | Poisoned | Storage(fjall::LsmError::Io(_))) => !self.is_damage(),
            _ => false,
        }
    }
}

fn is_damage(error: &fjall::Error) -> bool {
    use fjall::Error;
    let gone = |error: &std::io::Error| {
        use std::io::ErrorKind::{InvalidData, InvalidInput, NotFound, UnexpectedEof};
        matches!(error.kind(), InvalidData | InvalidInput | NotFound | UnexpectedEof)
    };
    match error {
        Error::Io(error) | Error::Storage(fjall::LsmError::Io(error)) => gone(error),
        // Another version is no damage, and neither is a folder in use.
        Error::InvalidVersion(Some(_)) | Error::Storage(fjall::LsmError::InvalidVersion(_)) => false,
        Error::Locked | Error::Poisoned | Error::KeyspaceDeleted => false,
        _ => true,
    }
}

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

/// A folder of records.
pub struct Disk {
    db: Database,
    spaces: BTreeMap<&'static str, Keyspace>,
    number: u64,
}

impl std::fmt::Debug for Disk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Disk").field("number", &self.number).finish_non_exhaustive()
    }
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

    /// The number that was drawn when the folder was made.
    pub fn number(&self) -> u64 {
        self.number
    }

    fn space(&self, name: &'static str) -> Result<&Keyspace, DiskError> {
        self.spaces.get(name).ok_or(DiskError::NoSpace(name))
    }

    /// The value of a record, checked.
    pub fn get(&self, space: &'static str, key: &[u8]) -> Result<Option<Vec<u8>>, DiskError> {
        check_key(key)?;
        match self.space(space)?.get(key)? {
            None => Ok(None),
            Some(framed) => {
                unframe(key, &framed).map(|value| Some(value.to_vec())).map_err(|fault| fault.of(space, key))
            }
        }
    }

    /// Pass over the records of a keyspace by key. Those that are damaged, or that `visit` refuses, are told.
    pub fn scan(
        &self,
        space: &'static str,
        mut visit: impl FnMut(&[u8], &[u8]) -> Result<(), String>,
    ) -> Result<Vec<Damage>, DiskError> {
        let mut damages = Vec::new();
        let keyspace = self.space(space)?;
        let mut take = |key: &[u8], framed: Result<&[u8], String>| {
            let fault = match framed.map(|framed| unframe(key, framed)) {
                Ok(Ok(value)) => visit(key, value).err(),
                Ok(Err(Fault::Version(found))) => return Err(Fault::Version(found).of(space, key)),
                Ok(Err(Fault::Damage(what))) => Some(what),
                Err(unreadable) => Some(unreadable),
            };
            damages.extend(fault.map(|what| Damage { space, key: key.to_vec(), what }));
            Ok(())
        };
        let mut last: Option<UserKey> = None;
        for guard in keyspace.iter() {
            match guard.into_inner() {
                Ok((key, framed)) => {
                    take(&key, Ok(&framed))?;
                    last = Some(key);
                }
                Err(_) => {
                    // A value cannot be read: from here on each is asked for by its key.
                    let unreadable =
                        |error: fjall::Error| DiskError::Unreadable { space, what: error.to_string() };
                    for guard in keyspace.range::<UserKey, _>((last.map_or(Unbounded, Excluded), Unbounded)) {
                        let key = guard.key().map_err(unreadable)?;
                        match keyspace.get(&key) {
                            Ok(Some(framed)) => take(&key, Ok(&framed))?,
                            Ok(None) => {}
                            Err(error) => take(&key, Err(error.to_string()))?,
                        }
                    }
                    break;
                }
            }
        }
        Ok(damages)
    }

    /// Move damaged records out of the way, as they are, together with other writes; synced.
    pub fn set_aside(&self, damages: &[Damage], writes: &[Write]) -> Result<(), DiskError> {
        let aside = self.space(ASIDE)?;
        let mut batch = self.db.batch().durability(Some(PersistMode::SyncData));
        for damage in damages {
            log::error!("damaged record in {}: {}", damage.space, damage.what);
            let space = self.space(damage.space)?;
            // What cannot be read at all stays until it is replaced.
            if let Ok(Some(raw)) = space.get(&damage.key) {
                batch.insert(aside, [damage.space.as_bytes(), b"/", &damage.key].concat(), raw);
                batch.remove(space, damage.key.as_slice());
            }
        }
        self.add(&mut batch, writes)?;
        Ok(batch.commit()?)
    }

    /// Write all of these or none, and sync them. Of two writes of one key the later counts.
    pub fn write(&self, writes: &[Write]) -> Result<(), DiskError> {
        let mut batch = self.db.batch().durability(Some(PersistMode::SyncData));
        self.add(&mut batch, writes)?;
        Ok(batch.commit()?)
    }

    fn add(&self, batch: &mut fjall::OwnedWriteBatch, writes: &[Write]) -> Result<(), DiskError> {
        let mut last = BTreeMap::new();
        for write in writes {
            check_key(&write.key)?;
            last.insert((write.space, write.key.as_slice()), write.value.as_ref());
        }
        for ((space, key), value) in last {
            match value {
                Some(value) => batch.insert(self.space(space)?, key, frame(key, value)),
                None => batch.remove(self.space(space)?, key),
            }
        }
        Ok(())
    }

    /// Sync what was written.
    pub fn sync(&self) -> Result<(), DiskError> {
        Ok(self.db.persist(PersistMode::SyncData)?)
    }

    /// Bytes that the folder takes.
    pub fn bytes(&self) -> Result<u64, DiskError> {
        Ok(self.db.disk_space()?)
    }

    /// Bytes of it in tables; the others are in journals, whose files are longer than what they hold.
    pub fn table_bytes(&self) -> u64 {
        self.spaces.values().map(Keyspace::disk_space).sum()
    }
}

fn check_key(key: &[u8]) -> Result<(), DiskError> {
    if key.is_empty() || key.len() > KEY_BYTES { Err(DiskError::Key(key.len())) } else { Ok(()) }
}

/// Why the value of a record is not to be had.
#[derive(Debug, PartialEq, Eq)]
enum Fault {
    Damage(String),
    Version(u8),
}

impl Fault {
    fn of(self, space: &'static str, key: &[u8]) -> DiskError {
        match self {
            Self::Damage(what) => DiskError::Damaged(what),
            Self::Version(found) => {
                DiskError::RecordVersion { space, key: String::from_utf8_lossy(key).into_owned(), found }
            }
        }
    }
}

fn checksum(version: u8, key: &[u8], value: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[version]);
    hasher.update(key);
    hasher.update(value);
    hasher.finalize().to_le_bytes()
}

fn frame(key: &[u8], value: &[u8]) -> Vec<u8> {
    let mut framed = Vec::with_capacity(FRAME_BYTES + value.len());
    framed.push(RECORD_VERSION);
    framed.extend(checksum(RECORD_VERSION, key, value));
    framed.extend(value);
    framed
}

/// A record of another version is one only if its checksum is that version's.
fn unframe<'a>(key: &[u8], framed: &'a [u8]) -> Result<&'a [u8], Fault> {
    let Some((head, value)) = framed.split_first_chunk::<FRAME_BYTES>() else {
        return Err(Fault::Damage("cut short".into()));
    };
    match (head[0], head[1..] == checksum(head[0], key, value)) {
        (RECORD_VERSION, true) => Ok(value),
        (RECORD_VERSION, false) => Err(Fault::Damage("wrong checksum".into())),
        (version, true) => Err(Fault::Version(version)),
        (version, false) => Err(Fault::Damage(format!("version {version} of a record"))),
    }
}

pub(crate) fn at(path: &Path) -> impl FnOnce(std::io::Error) -> DiskError + use<'_> {
    move |source| DiskError::Folder { path: path.to_owned(), source }
}

pub(crate) fn sync_folder(path: &Path) -> Result<(), DiskError> {
    File::open(path).and_then(|folder| folder.sync_all()).map_err(at(path))
}
