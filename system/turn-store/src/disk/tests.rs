use super::directory::{FORMAT_KEY, METADATA, NUMBER_KEY, PROBE_FILE, QUARANTINE_DIRECTORY};
use super::frame::{Fault, checksum, frame, unframe};
use super::{DamagedRecord, Disk, DiskError, OpenedDisk, QUARANTINE, Write, journal};
use crate::{ACCOUNTS, BackfillRecord, KEYSPACES, Payload, Payloads, ReplicaState, STATE, TURNS, load};
use bytes::Bytes;
use fjall::{Keyspace, PersistMode};
use fleet_model::{Call, Reservation, Turn};
use googletest::prelude::*;
use std::fs::{self, File};
use std::path::{Path, PathBuf};

mod damaged_records;

mod data_directory;
mod file_size_limit;
mod journal_recovery;
mod recorded;

fn open(dir: &Path) -> Disk {
    Disk::open(dir, KEYSPACES, || 7).unwrap()
}

fn turn(attempt: &str) -> Turn {
    Turn {
        attempt: attempt.into(),
        previous: None,
        input: Bytes::from_static(b"in"),
        output: Bytes::from_static(b"out"),
        retention_ms: 60_000,
        replicas: vec![7],
    }
}

fn put_turn(attempt: &str) -> Write {
    crate::records::turn_write(&turn(attempt))
}

/// Put a value as it is, past the frame.
fn put_raw(disk: &Disk, keyspace: &'static str, key: &[u8], raw: &[u8]) {
    disk.keyspace(keyspace).unwrap().insert(key, raw).unwrap();
}

fn raw(disk: &Disk, keyspace: &'static str, key: &[u8]) -> Option<Vec<u8>> {
    disk.keyspace(keyspace).unwrap().get(key).unwrap().map(|value| value.to_vec())
}

/// The newest journal and where its last byte is that is not zero.
fn newest_journal(dir: &Path) -> (PathBuf, u64) {
    let mut files: Vec<_> =
        fs::read_dir(dir.join("records")).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.retain(|path| path.extension().is_some_and(|extension| extension == "jnl"));
    files.sort();
    let path = files.pop().unwrap();
    let bytes = fs::read(&path).unwrap();
    let end = bytes.iter().rposition(|byte| *byte != 0).map_or(0, |at| at + 1);
    (path, end as u64)
}

/// Change a byte of the large turn whose record begins so, wherever a file under `dir` has it.
fn change_value(dir: &Path, begin: &[u8]) -> usize {
    let mut changed = 0;
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            changed += change_value(&path, begin);
            continue;
        }
        let mut bytes = fs::read(&path).unwrap();
        let at = bytes.windows(begin.len() + 500).position(|window| {
            window.starts_with(begin) && window[window.len() - 400..].iter().all(|byte| *byte == b'x')
        });
        if let Some(at) = at {
            bytes[at + 450] = b'y';
            fs::write(&path, bytes).unwrap();
            changed += 1;
        }
    }
    changed
}

/// A directory with two batches in its journal, which is as long as what is written.
fn two_batches() -> (tempfile::TempDir, PathBuf, Vec<u8>, usize) {
    let dir = tempfile::tempdir().unwrap();
    let disk = open(dir.path());
    let mut end = 0;
    for attempt in ["first", "second"] {
        end = newest_journal(dir.path()).1 as usize;
        disk.write(&[put_turn(attempt), crate::records::account_write(attempt, 5, 40)]).unwrap();
    }
    drop(disk);
    let (path, length) = newest_journal(dir.path());
    fs::OpenOptions::new().write(true).open(&path).unwrap().set_len(length).unwrap();
    let bytes = fs::read(&path).unwrap();
    (dir, path, bytes, end)
}

type Loaded = OpenedDisk<(crate::Stored, Vec<DamagedRecord>)>;

fn open_or_replace(dir: &Path) -> std::result::Result<Loaded, DiskError> {
    Disk::open_or_replace(dir, KEYSPACES, || 8, load)
}

fn attempts(loaded: &Loaded) -> Vec<&str> {
    loaded.read.0.turns.iter().map(|turn| turn.attempt.as_str()).collect()
}

/// A copy of a directory.
fn copied(from: &Path) -> tempfile::TempDir {
    fn copy(from: &Path, to: &Path) {
        fs::create_dir_all(to).unwrap();
        for entry in fs::read_dir(from).unwrap() {
            let path = entry.unwrap().path();
            let to = to.join(path.file_name().unwrap());
            if path.is_dir() {
                copy(&path, &to);
            } else {
                fs::copy(&path, &to).unwrap();
            }
        }
    }
    let dir = tempfile::tempdir().unwrap();
    copy(from, dir.path());
    dir
}

fn list_files(root: &Path, dir: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            list_files(root, &path, files);
        } else {
            files.push(path.strip_prefix(root).unwrap().to_owned());
        }
    }
}
