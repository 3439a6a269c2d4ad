//! Files over a disk that refuses operations, and what a loss of power leaves of them.

use super::{FileOperations, SystemFiles};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::{self, File};
use std::io::{Error, ErrorKind, Result, Seek as _};
use std::os::unix::fs::MetadataExt as _;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// What can be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Operation {
    Write,
    SyncData,
    Sync,
    Rename,
    Remove,
    SyncFolder,
}

pub(crate) const OPERATIONS: [Operation; 6] = [
    Operation::Write,
    Operation::SyncData,
    Operation::Sync,
    Operation::Rename,
    Operation::Remove,
    Operation::SyncFolder,
];

/// A file as the disk has it, and what the system's cache has more.
#[derive(Debug, Default)]
struct Content {
    synced: Vec<u8>,
    /// Bytes written since the last sync.
    dirty: BTreeSet<u64>,
    /// Bytes that a failed sync has left in the cache alone: a later sync does not write them.
    cache_only: BTreeSet<u64>,
}

/// What stands behind a synced name.
#[derive(Clone, Debug)]
enum Named {
    Inode(u64),
    /// The file was removed, and the directory not synced since.
    Removed(Vec<u8>),
}

#[derive(Debug, Default)]
struct Disk {
    /// Refused, after so many more of them were let through, for so many times.
    refused: BTreeMap<Operation, (usize, usize)>,
    contents: HashMap<u64, Content>,
    names: BTreeMap<String, Named>,
}

/// Files whose operations can be refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultyFiles(Arc<Mutex<Disk>>);

impl FaultyFiles {
    /// Refuse this operation `times` times, after `let_through` more of them.
    pub(crate) fn refuse(&self, operation: Operation, let_through: usize, times: usize) {
        self.0.lock().unwrap().refused.insert(operation, (let_through, times));
    }

    /// Nothing is refused any more.
    pub(crate) fn recover(&self) {
        self.0.lock().unwrap().refused.clear();
    }

    fn is_refused(&self, operation: Operation) -> bool {
        match self.0.lock().unwrap().refused.get_mut(&operation) {
            Some((0, 0)) | None => false,
            Some((0, times)) => {
                *times -= 1;
                true
            }
            Some((let_through, _)) => {
                *let_through -= 1;
                false
            }
        }
    }

    fn check(&self, operation: Operation) -> Result<()> {
        if self.is_refused(operation) { Err(Error::from(ErrorKind::StorageFull)) } else { Ok(()) }
    }

    fn note_sync(&self, file: &File, folder: &Path, result: &Result<()>) {
        let inode = file.metadata().unwrap().ino();
        let mut disk = self.0.lock().unwrap();
        let content = disk.contents.entry(inode).or_default();
        let dirty = std::mem::take(&mut content.dirty);
        if result.is_err() {
            content.cache_only.extend(dirty);
            return;
        }
        let mut bytes = fs::read(path_of(inode, folder)).unwrap();
        for position in &content.cache_only {
            if let Some(byte) = bytes.get_mut(*position as usize) {
                *byte = 0;
            }
        }
        content.synced = bytes;
    }

    /// What the directory holds after a loss of power now.
    pub(crate) fn after_power_loss(&self) -> tempfile::TempDir {
        let left = tempfile::tempdir().unwrap();
        let disk = self.0.lock().unwrap();
        for (name, named) in &disk.names {
            let bytes = match named {
                Named::Inode(inode) => disk.contents.get(inode).map_or(&[][..], |content| &content.synced),
                Named::Removed(bytes) => bytes,
            };
            fs::write(left.path().join(name), bytes).unwrap();
        }
        left
    }
}

/// Size in bytes of what is written or missing as a whole: less than on a real disk, so that short writes cover several.
const SECTOR_BYTES: usize = 64;

impl FaultyFiles {
    /// Names with their inodes that a loss of power now may leave: the synced ones, the present ones, or both.
    fn possible_names(&self, folder: &Path) -> Vec<BTreeMap<String, Named>> {
        let entries = fs::read_dir(folder).into_iter().flatten().map(|entry| entry.unwrap());
        let present: BTreeMap<_, _> = entries
            .map(|entry| {
                let inode = entry.metadata().unwrap().ino();
                (entry.file_name().into_string().unwrap(), Named::Inode(inode))
            })
            .collect();
        let synced = self.0.lock().unwrap().names.clone();
        let both = synced.clone().into_iter().chain(present.clone()).collect();
        vec![synced, present, both]
    }

    /// What a loss of power now may leave of a file: of the bytes that are not synced all, none, those before a sector's
    /// begin, or all but a sector, or those of a sector alone.
    fn possible_contents(&self, inode: u64, folder: &Path) -> Vec<Vec<u8>> {
        let disk = self.0.lock().unwrap();
        let Some(content) = disk.contents.get(&inode) else { return vec![Vec::new()] };
        let unsynced: BTreeSet<u64> = content.dirty.union(&content.cache_only).copied().collect();
        if unsynced.is_empty() {
            return vec![content.synced.clone()];
        }
        let present = fs::read(path_of(inode, folder)).unwrap();
        let leave = |is_kept: &dyn Fn(usize) -> bool| {
            let mut left = present.clone();
            for position in unsynced.iter().map(|position| *position as usize).filter(|at| !is_kept(*at)) {
                if let Some(byte) = left.get_mut(position) {
                    *byte = content.synced.get(position).copied().unwrap_or(0);
                }
            }
            left
        };
        let mut possible = vec![content.synced.clone(), present.clone()];
        for sector in 0..=present.len() / SECTOR_BYTES {
            possible.push(leave(&|at| at / SECTOR_BYTES != sector));
            possible.push(leave(&|at| at / SECTOR_BYTES == sector));
            possible.push(leave(&|at| at / SECTOR_BYTES < sector));
        }
        possible
    }

    /// The folders that a loss of power now may leave.
    pub(crate) fn possible_power_losses(&self, folder: &Path) -> Vec<tempfile::TempDir> {
        let mut left = Vec::new();
        for names in self.possible_names(folder) {
            let contents: Vec<(&String, Vec<Vec<u8>>)> = names
                .iter()
                .map(|(name, named)| match named {
                    Named::Inode(inode) => (name, self.possible_contents(*inode, folder)),
                    Named::Removed(bytes) => (name, vec![bytes.clone()]),
                })
                .collect();
            let variants = contents.iter().map(|(_, possible)| possible.len()).max().unwrap_or(1);
            for variant in 0..variants {
                let directory = tempfile::tempdir().unwrap();
                for (name, possible) in &contents {
                    fs::write(directory.path().join(name), &possible[variant.min(possible.len() - 1)])
                        .unwrap();
                }
                left.push(directory);
            }
        }
        left
    }
}

fn path_of(inode: u64, folder: &Path) -> PathBuf {
    let entries = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap());
    entries.into_iter().find(|entry| entry.metadata().unwrap().ino() == inode).unwrap().path()
}

/// Faulty files in a directory.
#[derive(Debug)]
pub(crate) struct InFolder {
    pub(crate) files: FaultyFiles,
    pub(crate) folder: PathBuf,
}

impl FileOperations for InFolder {
    fn write(&mut self, file: &mut File, bytes: &[u8]) -> Result<()> {
        let refused = self.files.is_refused(Operation::Write);
        let written = if refused { &bytes[..bytes.len() / 2] } else { bytes };
        let begin = file.stream_position()?;
        SystemFiles.write(file, written)?;
        let mut disk = self.files.0.lock().unwrap();
        let content = disk.contents.entry(file.metadata()?.ino()).or_default();
        for position in begin..begin + written.len() as u64 {
            content.dirty.insert(position);
            content.cache_only.remove(&position);
        }
        if refused { Err(Error::from(ErrorKind::StorageFull)) } else { Ok(()) }
    }

    fn sync_data(&mut self, file: &File) -> Result<()> {
        let result = self.files.check(Operation::SyncData);
        self.files.note_sync(file, &self.folder, &result);
        result
    }

    fn sync(&mut self, file: &File) -> Result<()> {
        let result = self.files.check(Operation::Sync);
        self.files.note_sync(file, &self.folder, &result);
        result
    }

    fn rename(&mut self, from: &Path, to: &Path) -> Result<()> {
        self.files.check(Operation::Rename)?;
        SystemFiles.rename(from, to)
    }

    fn remove(&mut self, path: &Path) -> Result<()> {
        self.files.check(Operation::Remove)?;
        let inode = fs::metadata(path)?.ino();
        let mut disk = self.files.0.lock().unwrap();
        let synced = disk.contents.remove(&inode).unwrap_or_default().synced;
        for named in disk.names.values_mut() {
            if matches!(named, Named::Inode(of) if *of == inode) {
                *named = Named::Removed(synced.clone());
            }
        }
        SystemFiles.remove(path)
    }

    fn sync_directory(&mut self, path: &Path) -> Result<()> {
        if path != self.folder {
            return Ok(());
        }
        self.files.check(Operation::SyncFolder)?;
        let entries = fs::read_dir(path)?.map(|entry| entry.unwrap());
        let name = |entry: fs::DirEntry| {
            (entry.file_name().into_string().unwrap(), Named::Inode(entry.metadata().unwrap().ino()))
        };
        self.files.0.lock().unwrap().names = entries.map(name).collect();
        Ok(())
    }
}
