//! Files that earlier programs wrote are read, and written on, byte by byte alike.

use super::*;

/// A recorded file of the directory of a log.
fn recorded(name: &str) -> Vec<u8> {
    fs::read(format!("{}/tests/recorded/record-log/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

#[gtest]
fn a_log_written_before_is_read_and_written_on_alike() {
    // Given the file of a log in which two records were put, as it was written before.
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("record.1");
    fs::write(&path, recorded("two-records")).unwrap();
    // When it is opened, then the second is there.
    let mut opened = open(folder.path());
    expect_that!(opened.found, eq(&RecoveredRecord::Stored(record(2))));
    expect_that!(opened.damages, is_empty());
    expect_that!(fs::read(&path).unwrap(), eq(&recorded("two-records")));
    // And with a third one it is as it was with that.
    opened.log.put(&record(3)).unwrap();
    expect_that!(fs::read(&path).unwrap(), eq(&recorded("three-records")));
    // A new log's file is written alike.
    let (_folder, path, _) = persisted(3);
    expect_that!(fs::read(path).unwrap(), eq(&recorded("three-records")));
}

#[gtest]
fn a_damaged_log_written_before_is_replaced_alike() {
    // Given such a file with a flipped bit in its first record.
    let folder = tempfile::tempdir().unwrap();
    let mut bytes = recorded("three-records");
    bytes[40] ^= 1;
    fs::write(folder.path().join("record.1"), &bytes).unwrap();
    // When it is opened, then the third is there, in a file of its own beside the damaged one.
    let opened = open(folder.path());
    expect_that!(opened.found, eq(&RecoveredRecord::Stored(record(3))));
    expect_that!(fs::read(folder.path().join("record.2")).unwrap(), eq(&recorded("after-damage")));
    expect_that!(fs::read(folder.path().join("damaged")).unwrap(), eq(&bytes));
}
