//! A log over a disk that refuses operations, once or for a while, and what is found after a loss of power.

use super::*;
use crate::log_files::faulty::{FaultyFiles, InFolder, OPERATIONS, Operation};
use crate::{Completion, Write, Writer};
use googletest::prelude::*;
use std::fs::File;
use std::sync::mpsc;

/// A log in a directory, what was put, and what was reported as synced.
struct FaultRun {
    folder: tempfile::TempDir,
    files: FaultyFiles,
    log: Option<RecordLog>,
    /// Number of the last record that was put.
    put: usize,
    /// Number of the last record that was reported as synced.
    describe: usize,
}

fn record(number: usize) -> Bytes {
    format!("record {number} of the story").into()
}

fn number(found: &RecoveredRecord) -> usize {
    match found {
        RecoveredRecord::NeverWritten => 0,
        RecoveredRecord::Stored(record) => {
            let text = std::str::from_utf8(record).unwrap();
            text.split(' ').nth(1).unwrap().parse().unwrap()
        }
        RecoveredRecord::Lost => panic!("a record that was told synced is lost"),
    }
}

impl FaultRun {
    fn begin() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut run = Self { folder, files: FaultyFiles::default(), log: None, put: 0, describe: 0 };
        run.restart().unwrap();
        run
    }

    /// Ends the process, without a loss of power, and starts it again.
    fn restart(&mut self) -> std::result::Result<(), DiskError> {
        self.log = None;
        let folder = self.folder.path().to_owned();
        let files = InFolder { files: self.files.clone(), folder: folder.clone() };
        let opened = RecordLog::open_with(&folder, Box::new(files))?;
        // What is found is reported from now on, as soon as the log says that it is synced.
        let found = number(&opened.found);
        expect_that!(found, ge(self.describe));
        self.log = Some(opened.log);
        if self.log().sync_newest().is_ok() {
            self.describe = found;
        }
        Ok(())
    }

    fn log(&mut self) -> &mut RecordLog {
        self.log.as_mut().unwrap()
    }

    fn put(&mut self) -> bool {
        self.put += 1;
        let record = record(self.put);
        let synced = self.log().put(&record).is_ok();
        if synced {
            self.describe = self.put;
        }
        synced
    }

    /// What was reported as synced is found after a loss of power now, or what was put later.
    fn check(&self, when: &str) {
        let left = self.files.after_power_loss();
        let files = InFolder { files: FaultyFiles::default(), folder: left.path().to_owned() };
        let opened = RecordLog::open_with(left.path(), Box::new(files)).unwrap();
        let found = number(&opened.found);
        expect_that!(found, all!(ge(self.describe), le(self.put)), "{when}");
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
fn records_reported_as_synced_survive_faults_and_loss_of_power() {
    for operation in OPERATIONS {
        for let_through in 0..6 {
            for times in [1, 2, 5] {
                for restart_after in [None, Some(2), Some(4)] {
                    let when = format!(
                        "{operation:?} refused {times} times after {let_through}, restart {restart_after:?}"
                    );
                    // Given a log on a disk that refuses an operation at some time.
                    let mut run = FaultRun::begin();
                    run.files.refuse(operation, let_through, times);
                    for step in 1..=6 {
                        // When records are put, then each is synced when that was reported.
                        run.put();
                        run.check(&format!("{when}, step {step}"));
                        if restart_after == Some(step) && run.restart().is_ok() {
                            run.check(&format!("{when}, restart"));
                        }
                        if run.log.is_none() {
                            break;
                        }
                    }
                    // And once the disk takes all again, the log does too, and holds one file.
                    run.files.recover();
                    if run.log.is_none() {
                        run.restart().unwrap();
                    }
                    expect_that!(run.put(), eq(true), "{when}");
                    run.check(&format!("{when}, at the end"));
                    expect_that!(run.names().len(), eq(1), "{when}: {:?}", run.names());
                }
            }
        }
    }
}

#[gtest]
fn failed_puts_do_not_use_up_a_full_disk() {
    // Given a log with a record, on a disk that is full.
    let mut run = FaultRun::begin();
    expect_that!(run.put(), eq(true));
    run.files.refuse(Operation::Write, 0, usize::MAX);
    // When a hundred are put.
    for _ in 0..100 {
        expect_that!(run.put(), eq(false));
        // Then nothing but the file that counts lies there.
        expect_that!(run.names(), eq(&vec!["record.1".to_owned()]));
    }
    // And when names are not synced, files do not gather beyond the first room.
    run.files.recover();
    run.files.refuse(Operation::SyncFolder, 0, 20);
    for _ in 0..20 {
        expect_that!(run.put(), eq(false));
    }
    run.check("names not synced");
    expect_that!(run.put(), eq(true));
    expect_that!(run.names().len(), eq(1));
}

#[gtest]
fn a_file_whose_sync_failed_is_never_appended_to_again() {
    let mut run = FaultRun::begin();
    expect_that!(run.put(), eq(true));
    run.files.refuse(Operation::SyncData, 0, 1);
    expect_that!(run.put(), eq(false));
    expect_that!(run.log().has_unsynced_record(), eq(true));
    let before = fs::read(run.folder.path().join("record.1")).unwrap();
    // When the next one is put while the new file cannot be synced, then the former file is as it was.
    run.files.refuse(Operation::Sync, 0, 1);
    expect_that!(run.put(), eq(false));
    expect_that!(fs::read(run.folder.path().join("record.1")).unwrap(), eq(&before));
    // And the next one has a file of its own.
    expect_that!(run.put(), eq(true));
    expect_that!(run.names(), eq(&vec!["record.3".to_owned()]));
    expect_that!(run.log().has_unsynced_record(), eq(false));
}

#[gtest]
fn a_record_whose_sync_failed_is_written_again_without_another_put() {
    let mut run = FaultRun::begin();
    expect_that!(run.put(), eq(true));
    run.files.refuse(Operation::SyncData, 0, 1);
    expect_that!(run.put(), eq(false));
    // When the log is settled, then the newest record is synced.
    expect_that!(run.log().sync_newest().is_ok(), eq(true));
    run.describe = run.put;
    run.check("settled");
}

fn note(log: &mpsc::Sender<(u8, bool)>, number: u8) -> Completion {
    let log = log.clone();
    Box::new(move |result| log.send((number, result.is_ok())).unwrap())
}

#[gtest]
fn each_batch_of_a_log_tells_for_itself_whether_it_was_synced() {
    // Given a writer over a log whose disk refuses for three batches.
    let mut run = FaultRun::begin();
    expect_that!(run.put(), eq(true));
    run.files.refuse(Operation::Write, 0, 3);
    let writer = Writer::start_log(run.log.take().unwrap()).unwrap();
    let (log, completed) = mpsc::channel();
    let put = |number| vec![Write::put("record", Vec::new(), record(number))];
    writer.submit(put(2), note(&log, 2));
    expect_that!(completed.recv().unwrap(), eq((2, false)));
    expect_that!(writer.is_failing(), eq(true));
    // When a request comes that only waits, then it is not told that the failed record is synced.
    writer.submit(vec![], note(&log, 3));
    expect_that!(completed.recv().unwrap(), eq((3, false)));
    writer.submit(put(4), note(&log, 4));
    expect_that!(completed.recv().unwrap(), eq((4, false)));
    // And once the disk takes writes again, one that only waits has the newest record synced.
    writer.submit(vec![], note(&log, 5));
    expect_that!(completed.recv().unwrap(), eq((5, true)));
    expect_that!(writer.is_failing(), eq(false));
    (run.put, run.describe) = (4, 4);
    run.check("after the writer");
}

/// Files whose syncs wait for a word.
#[derive(Debug)]
struct StalledFiles {
    begun: mpsc::Sender<()>,
    go: mpsc::Receiver<()>,
}

impl FileOperations for StalledFiles {
    fn sync(&mut self, file: &File) -> std::io::Result<()> {
        self.begun.send(()).unwrap();
        self.go.recv().unwrap();
        file.sync_all()
    }
}

#[gtest]
fn no_record_is_reported_as_synced_while_a_sync_stalls() {
    // Given a writer over a log whose disk stalls in a sync.
    let folder = tempfile::tempdir().unwrap();
    let ((begun, begins), (go, gone)) = (mpsc::channel(), mpsc::channel());
    let files = StalledFiles { begun, go: gone };
    let log = RecordLog::open_with(folder.path(), Box::new(files)).unwrap().log;
    let writer = Writer::start_log(log).unwrap();
    let (log, completed) = mpsc::channel();
    writer.submit(vec![Write::put("record", Vec::new(), record(1))], note(&log, 1));
    begins.recv().unwrap();
    // When another request comes that only waits, then neither is reported.
    writer.submit(vec![], note(&log, 2));
    expect_that!(completed.try_recv().is_err(), eq(true));
    // And both are once the disk goes on.
    go.send(()).unwrap();
    expect_that!(completed.iter().take(2).collect::<Vec<_>>(), eq(&vec![(1, true), (2, true)]));
}

#[gtest]
fn an_older_file_never_replaces_a_damaged_one() {
    // Given an older file that came back beside a damaged newer one, on a disk that refuses to remove it.
    let mut run = FaultRun::begin();
    expect_that!(run.put(), eq(true));
    let older = fs::read(run.folder.path().join("record.1")).unwrap();
    let mut damaged = older.clone();
    let position = damaged.len() - 10;
    damaged[position] ^= 1;
    fs::write(run.folder.path().join("record.2"), damaged).unwrap();
    run.log = None;
    run.files.refuse(Operation::Remove, 0, 1);
    let folder = run.folder.path().to_owned();
    let open = || {
        let files = InFolder { files: run.files.clone(), folder: folder.clone() };
        RecordLog::open_with(&folder, Box::new(files)).map(|opened| opened.found)
    };
    // When it is opened, and again, then the record is lost, and at no time the older one.
    expect_that!(open().is_err(), eq(true));
    expect_that!(open().unwrap(), eq(&RecoveredRecord::Lost));
    expect_that!(open().unwrap(), eq(&RecoveredRecord::Lost));
}
