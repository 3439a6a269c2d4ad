use super::*;
use googletest::prelude::*;
use replicated_log::JournalWrite;
use std::fs;

fn wait<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.unwrap().block_on(future)
}

fn open(data_directory: &Path) -> OpenedJournal {
    wait(super::open(data_directory)).unwrap()
}

fn stored(checkpoint: &'static str, records: &[&'static str]) -> RecoveredJournal {
    let records = records.iter().map(|record| (*record).into()).collect();
    RecoveredJournal::Stored { checkpoint: checkpoint.into(), records }
}

fn append(records: &[&'static str]) -> JournalWrite {
    JournalWrite::Append(records.iter().map(|record| (*record).into()).collect())
}

#[googletest::test]
fn the_folder_comes_with_the_first_checkpoint_and_what_is_written_is_found() {
    let data_directory = tempfile::tempdir().unwrap();
    let journal = open(data_directory.path());
    expect_that!(journal.found, eq(&RecoveredJournal::Empty));
    expect_that!(journal.damages, eq(0));
    expect_that!(wait(journal.writer.write(append(&["early"]))), err(anything()));
    expect_that!(data_directory.path().join(JOURNAL_FOLDER).exists(), eq(false));
    for write in [JournalWrite::Checkpoint("first".into()), append(&["a", "b"]), append(&["c"])] {
        expect_that!(wait(journal.writer.write(write)), eq(&Ok(())));
    }
    // A write is done also if nobody waits for it.
    drop(journal.writer.write(append(&["d"])));
    drop(journal);
    expect_that!(open(data_directory.path()).found, eq(&stored("first", &["a", "b", "c", "d"])));
}

#[googletest::test]
fn a_damaged_journal_is_counted_and_the_replica_is_a_new_one() {
    let data_directory = tempfile::tempdir().unwrap();
    let journal = open(data_directory.path());
    expect_that!(wait(journal.writer.write(JournalWrite::Checkpoint("first".into()))), eq(&Ok(())));
    drop(journal);
    let path = data_directory.path().join("coordination/entries.1");
    let mut bytes = fs::read(&path).unwrap();
    bytes[40] ^= 1;
    fs::write(&path, bytes).unwrap();
    let journal = open(data_directory.path());
    expect_that!(journal.found, eq(&RecoveredJournal::Empty));
    expect_that!(journal.damages, eq(1));
    // And it takes a new checkpoint.
    expect_that!(wait(journal.writer.write(JournalWrite::Checkpoint("second".into()))), eq(&Ok(())));
    drop(journal);
    expect_that!(open(data_directory.path()).found, eq(&stored("second", &[])));
}

#[googletest::test]
fn a_journal_that_the_disk_refuses_to_open_is_tried_again() {
    // Given a file where the journal's folder belongs.
    let data_directory = tempfile::tempdir().unwrap();
    let path = data_directory.path().join(JOURNAL_FOLDER);
    fs::write(&path, "").unwrap();
    let opened = wait(async {
        let waits = Rc::default();
        let mut opening = Box::pin(open_with_retry(&waits, data_directory.path()));
        let refused = tokio::time::timeout(std::time::Duration::from_secs(10), &mut opening).await;
        expect_that!(refused.is_err(), eq(true));
        // When it is out of the way, then the journal is opened.
        fs::remove_file(&path).unwrap();
        opening.await
    });
    expect_that!(opened.found, eq(&RecoveredJournal::Empty));
}

#[googletest::test]
fn a_journal_of_another_format_is_not_started_over() {
    let data_directory = tempfile::tempdir().unwrap();
    let journal = open(data_directory.path());
    let foreign = JournalWrite::Checkpoint(vec![250, 1, 2, 3].into());
    expect_that!(wait(journal.writer.write(foreign)), ok(anything()));
    drop(journal);
    let found = open(data_directory.path()).found;
    let refusal = check(&found).expect_err("a refusal");
    expect_that!(refusal.to_string(), contains_substring("unknown format 250"));
    expect_that!(check(&RecoveredJournal::Empty), ok(anything()));
}
