//! Files that earlier programs wrote are read, and written on, byte by byte alike.

use super::*;

fn recorded(name: &str) -> Vec<u8> {
    fs::read(format!("{}/tests/recorded/entry-log/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

#[gtest]
fn a_log_written_before_is_read_and_written_on_alike() {
    // Given the file of a log with a checkpoint and two appends.
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entries.1");
    fs::write(&path, recorded("two-appends")).unwrap();
    // When it is opened, then they are there, and the file stays as it is.
    let mut opened = open(folder.path());
    expect_that!(opened.found, eq(&after_appends(2)));
    expect_that!(opened.damages, is_empty());
    expect_that!(fs::read(&path).unwrap(), eq(&recorded("two-appends")));
    // And with a third append it is as it was with that; a new log's file is written alike.
    opened.log.append(&entries(3)).unwrap();
    expect_that!(fs::read(&path).unwrap(), eq(&recorded("three-appends")));
    let (_folder, path, _) = persisted(3);
    expect_that!(fs::read(path).unwrap(), eq(&recorded("three-appends")));
}
