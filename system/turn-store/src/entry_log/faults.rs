//! A log over a disk that refuses operations, is full or stalls, and what is found after a loss of power.

use super::*;
use crate::log_files::faulty::{FaultyFiles, InFolder, OPERATIONS, Operation};
use crate::{Completion, Writer};
use googletest::prelude::*;
use std::fs::File;
use std::io::{Error, ErrorKind, Write as _};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, mpsc};

/// A log in a folder, and what may be found there.
struct FaultRun {
    folder: tempfile::TempDir,
    files: FaultyFiles,
    log: Option<EntryLog>,
    /// What counts: all that was acknowledged.
    current: RecoveredEntries,
    /// What was written without an acknowledgement since.
    unacknowledged: Vec<RecoveredEntries>,
    /// Number of the last write.
    written: usize,
}

fn open_in(folder: &Path, files: &FaultyFiles) -> std::result::Result<OpenedEntryLog, DiskError> {
    let files = InFolder { files: files.clone(), folder: folder.to_owned() };
    EntryLog::open_with(folder, Box::new(files))
}

/// Entries that together fill several sectors.
fn entries(number: usize) -> Vec<Bytes> {
    (1..=number % 4).map(|entry| format!("write {number}, entry {entry} {}", "x".repeat(40)).into()).collect()
}

fn with_entries(found: &RecoveredEntries, more: &[Bytes]) -> RecoveredEntries {
    let RecoveredEntries::Stored { checkpoint, entries } = found else { panic!("no checkpoint") };
    RecoveredEntries::Stored { checkpoint: checkpoint.clone(), entries: [entries, more].concat() }
}

impl FaultRun {
    fn begin() -> Self {
        let mut run = Self {
            folder: tempfile::tempdir().unwrap(),
            files: FaultyFiles::default(),
            log: None,
            current: RecoveredEntries::NeverWritten,
            unacknowledged: Vec::new(),
            written: 0,
        };
        run.reopen().unwrap();
        run
    }

    /// Ends the process, without a loss of power, and opens the log again.
    fn reopen(&mut self) -> std::result::Result<(), DiskError> {
        self.log = None;
        let opened = open_in(self.folder.path(), &self.files)?;
        self.expect_possible(&opened.found, "reopened");
        // What is found is synced, and is told from now on.
        (self.current, self.unacknowledged) = (opened.found, Vec::new());
        self.log = Some(opened.log);
        Ok(())
    }

    fn expect_possible(&self, found: &RecoveredEntries, when: &str) {
        let is_possible = *found == self.current || self.unacknowledged.contains(found);
        expect_that!(is_possible, eq(true), "{when}: {found:?}");
    }

    fn note(&mut self, result: &std::result::Result<(), DiskError>, after: RecoveredEntries) {
        match result {
            Ok(()) => (self.current, self.unacknowledged) = (after, Vec::new()),
            Err(_) => self.unacknowledged.push(after),
        }
    }

    fn restart(&mut self) -> bool {
        self.written += 1;
        let checkpoint = Bytes::from(format!("checkpoint {} {}", self.written, "y".repeat(100)));
        let result = self.log.as_mut().unwrap().restart(&checkpoint);
        self.note(&result, RecoveredEntries::Stored { checkpoint, entries: Vec::new() });
        result.is_ok()
    }

    fn append(&mut self) -> bool {
        self.written += 1;
        let more = entries(self.written);
        let result = self.log.as_mut().unwrap().append(&more);
        if !matches!(result, Err(DiskError::CheckpointNeeded(_))) {
            let after = with_entries(&self.current, &more);
            self.note(&result, after);
        }
        result.is_ok()
    }

    /// The next write of a sequence: mostly appends; after a failure a checkpoint.
    fn write(&mut self, step: usize) -> bool {
        if step % 4 == 1 { self.restart() } else { self.append() || (self.restart() && self.append()) }
    }

    /// Whatever a loss of power leaves now, what was acknowledged is found, and the log goes on.
    fn check(&self, when: &str) {
        for left in self.files.possible_power_losses(self.folder.path()) {
            let mut opened = open_in(left.path(), &FaultyFiles::default()).unwrap();
            self.expect_possible(&opened.found, when);
            expect_that!(opened.damages, is_empty(), "{when}");
            if opened.found != RecoveredEntries::NeverWritten {
                opened.log.append(&entries(3)).unwrap();
                let found = open_in(left.path(), &FaultyFiles::default()).unwrap().found;
                expect_that!(found, eq(&with_entries(&opened.found, &entries(3))), "{when}");
            }
        }
    }

    fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(self.folder.path()).unwrap();
        let mut names: Vec<_> =
            entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
        names.sort();
        names
    }
}

#[gtest]
fn acknowledged_entries_survive_faults_and_any_loss_of_power() {
    for operation in OPERATIONS {
        for let_through in 0..7 {
            for (times, reopen_after) in [(1, None), (1, Some(2)), (3, Some(3)), (usize::MAX, Some(6))] {
                let when = format!("{operation:?} refused {times} times after {let_through}");
                // Given a log on a disk that refuses an operation at some time.
                let mut run = FaultRun::begin();
                run.files.refuse(operation, let_through, times);
                for step in 1..=8 {
                    run.write(step);
                    run.check(&format!("{when}, step {step}"));
                    if reopen_after == Some(step) && run.reopen().is_err() {
                        break;
                    }
                }
                run.check(&when);
                // And once the disk takes all again, the log does too, and holds one file.
                run.files.recover();
                run.reopen().unwrap();
                expect_that!(run.restart() && run.append(), eq(true), "{when}");
                run.check(&format!("{when}, at the end"));
                expect_that!(run.names().len(), eq(1), "{when}: {:?}", run.names());
            }
        }
    }
}

#[gtest]
fn a_file_whose_sync_failed_is_never_appended_to_again() {
    let mut run = FaultRun::begin();
    expect_that!(run.restart() && run.append(), eq(true));
    run.files.refuse(Operation::SyncData, 0, 1);
    expect_that!(run.append(), eq(false));
    let before = fs::read(run.folder.path().join("entries.1")).unwrap();
    // When more is appended, also after a restart that failed, then it is refused and the file is as it was.
    run.files.refuse(Operation::Sync, 0, 1);
    for _ in 0..2 {
        expect_that!(run.append(), eq(false));
        expect_that!(run.restart(), eq(false));
        expect_that!(fs::read(run.folder.path().join("entries.1")).unwrap(), eq(&before));
        run.files.refuse(Operation::SyncFolder, 0, 1);
    }
    // And a restart that succeeds has a file of its own.
    run.files.recover();
    expect_that!(run.restart() && run.append(), eq(true));
    expect_that!(run.names(), eq(&vec!["entries.4".to_owned()]));
}

#[gtest]
fn a_log_that_cannot_be_synced_at_the_start_is_not_opened() {
    let mut run = FaultRun::begin();
    expect_that!(run.restart() && run.append(), eq(true));
    for operation in [Operation::Write, Operation::Sync, Operation::SyncFolder] {
        run.files.refuse(operation, 0, 1);
        expect_that!(run.reopen(), err(matches_pattern!(DiskError::Io { .. })));
        run.check("not opened");
        expect_that!(run.reopen(), ok(eq(&())));
    }
}

/// Operations on a disk of limited size. A write that finds no room is done in part.
#[derive(Debug)]
struct LimitedFiles {
    folder: PathBuf,
    /// Size in bytes.
    capacity: Arc<Mutex<u64>>,
}

impl FileOperations for LimitedFiles {
    fn write(&mut self, file: &mut File, bytes: &[u8]) -> std::io::Result<()> {
        let used: u64 =
            fs::read_dir(&self.folder)?.map(|entry| entry.unwrap().metadata().unwrap().len()).sum();
        let room = self.capacity.lock().unwrap().saturating_sub(used) as usize;
        file.write_all(&bytes[..room.min(bytes.len())])?;
        if room < bytes.len() { Err(Error::from(ErrorKind::StorageFull)) } else { Ok(()) }
    }
}

#[gtest]
fn a_full_disk_recovers_once_a_checkpoint_finds_room() {
    // Given a log that has filled its disk, also with attempts to write a checkpoint.
    let parent = tempfile::tempdir().unwrap();
    let folder = parent.path().join("coordination");
    let capacity = Arc::new(Mutex::new(1_000));
    let files = LimitedFiles { folder: folder.clone(), capacity: capacity.clone() };
    let mut log = EntryLog::open_with(&folder, Box::new(files)).unwrap().log;
    log.restart(b"first").unwrap();
    let mut appended = Vec::new();
    while log.append(&entries(3)).is_ok() {
        appended.extend(entries(3));
    }
    for _ in 0..20 {
        expect_that!(log.append(&entries(1)), err(matches_pattern!(DiskError::CheckpointNeeded(_))));
        expect_that!(log.restart(&[7; 2_000]), err(matches_pattern!(DiskError::Io { .. })));
        expect_that!(fs::read_dir(&folder).unwrap().count(), eq(1));
    }
    // Then all that was acknowledged is there, and when there is room the log takes entries again.
    let found = EntryLog::open(&folder).unwrap().found;
    expect_that!(found, eq(&RecoveredEntries::Stored { checkpoint: "first".into(), entries: appended }));
    *capacity.lock().unwrap() = 3_500;
    log.restart(&[7; 2_000]).unwrap();
    log.append(&entries(3)).unwrap();
    let found = EntryLog::open(&folder).unwrap().found;
    let checkpoint = Bytes::from(vec![7; 2_000]);
    expect_that!(found, eq(&RecoveredEntries::Stored { checkpoint, entries: entries(3) }));
}

/// Operations that tell their order.
#[derive(Debug)]
struct NotedFiles(mpsc::Sender<String>);

impl NotedFiles {
    fn note(&self, operation: &str, path: &Path) {
        self.0.send(format!("{operation} {}", path.file_name().unwrap().display())).unwrap();
    }
}

impl FileOperations for NotedFiles {
    fn sync_data(&mut self, _: &File) -> std::io::Result<()> {
        self.0.send("sync data".to_owned()).unwrap();
        Ok(())
    }

    fn sync(&mut self, _: &File) -> std::io::Result<()> {
        self.0.send("sync".to_owned()).unwrap();
        Ok(())
    }

    fn rename(&mut self, from: &Path, to: &Path) -> std::io::Result<()> {
        self.note("rename", to);
        SystemFiles.rename(from, to)
    }

    fn remove(&mut self, path: &Path) -> std::io::Result<()> {
        self.note("remove", path);
        SystemFiles.remove(path)
    }

    fn sync_directory(&mut self, path: &Path) -> std::io::Result<()> {
        self.note("sync directory", path);
        Ok(())
    }
}

#[gtest]
fn the_name_of_a_new_folder_is_synced_before_a_checkpoint_counts() {
    let parent = tempfile::Builder::new().prefix("data").tempdir().unwrap();
    let (noted, notes) = mpsc::channel();
    let folder = parent.path().join("coordination");
    let mut log = EntryLog::open_with(&folder, Box::new(NotedFiles(noted))).unwrap().log;
    log.restart(b"first").unwrap();
    log.append(&entries(1)).unwrap();
    log.restart(b"second").unwrap();
    drop(log);
    let parent = format!("sync directory {}", parent.path().file_name().unwrap().display());
    let begin = |file: &str| {
        let rename = format!("rename {file}");
        ["sync".to_owned(), rename, "sync directory coordination".to_owned(), parent.clone()]
    };
    let mut expected = begin("entries.1").to_vec();
    // A file that a first one replaces does not exist.
    expected.push("remove entries.0".to_owned());
    expected.push("sync data".to_owned());
    expected.extend(begin("entries.2"));
    expected.push("remove entries.1".to_owned());
    expect_that!(notes.iter().collect::<Vec<_>>(), eq(&expected));
}

fn note(log: &mpsc::Sender<(u8, bool)>, number: u8) -> Completion {
    let log = log.clone();
    Box::new(move |result| log.send((number, result.is_ok())).unwrap())
}

#[gtest]
fn a_writer_refuses_entries_after_a_failure_until_a_checkpoint() {
    let mut run = FaultRun::begin();
    expect_that!(run.restart(), eq(true));
    run.files.refuse(Operation::Write, 0, 1);
    let log = Arc::new(Mutex::new(run.log.take().unwrap()));
    let writer = Writer::start_entry_log(log).unwrap();
    let (told, completed) = mpsc::channel();
    let append = || EntryWrite::Append(entries(1));
    for (number, write, is_synced) in [
        (1, append(), false),
        (2, append(), false),
        (3, EntryWrite::Restart("checkpoint".into()), true),
        (4, append(), true),
    ] {
        writer.submit(vec![write], note(&told, number));
        expect_that!(completed.recv().unwrap(), eq((number, is_synced)));
        expect_that!(writer.is_failing(), eq(!is_synced));
    }
    drop(writer);
    let found = open_in(run.folder.path(), &run.files).unwrap().found;
    let checkpoint = "checkpoint".into();
    expect_that!(found, eq(&RecoveredEntries::Stored { checkpoint, entries: entries(1) }));
}

/// Operations whose data syncs wait for a word.
#[derive(Debug)]
struct StalledFiles {
    begun: mpsc::Sender<()>,
    go: mpsc::Receiver<()>,
}

impl FileOperations for StalledFiles {
    fn sync_data(&mut self, file: &File) -> std::io::Result<()> {
        self.begun.send(()).unwrap();
        self.go.recv().unwrap();
        file.sync_data()
    }
}

#[gtest]
fn no_entry_is_reported_as_synced_while_a_sync_stalls() {
    let folder = tempfile::tempdir().unwrap();
    let ((begun, begins), (go, gone)) = (mpsc::channel(), mpsc::channel());
    let files = StalledFiles { begun, go: gone };
    let mut log = EntryLog::open_with(folder.path(), Box::new(files)).unwrap().log;
    log.restart(b"checkpoint").unwrap();
    let writer = Writer::start_entry_log(Arc::new(Mutex::new(log))).unwrap();
    let (told, completed) = mpsc::channel();
    for number in 1..=3 {
        writer.submit(vec![EntryWrite::Append(entries(1))], note(&told, number));
    }
    begins.recv().unwrap();
    expect_that!(completed.try_recv().is_err(), eq(true));
    // When the disk goes on, then all are; those that waited share a sync.
    go.send(()).unwrap();
    go.send(()).unwrap();
    let all: Vec<_> = completed.iter().take(3).collect();
    expect_that!(all, eq(&vec![(1, true), (2, true), (3, true)]));
}
