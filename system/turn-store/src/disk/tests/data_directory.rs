//! Creating, opening, probing and replacing the data directory.

use super::*;

#[gtest]
fn number_and_records_survive_a_reopening() {
    // Given a disk with a turn and a reservation.
    let dir = tempfile::tempdir().unwrap();
    {
        let disk = open(dir.path());
        disk.write(&[put_turn("a"), crate::records::account_write("program", 5, 40)]).unwrap();
    }
    // When it is opened again, by one who would draw another number.
    let disk = Disk::open(dir.path(), KEYSPACES, || 8).unwrap();
    let (stored, damaged) = load(&disk).unwrap();
    // Then all is there.
    expect_that!(disk.number(), eq(7));
    expect_that!(damaged, is_empty());
    expect_that!(stored.turns.len(), eq(1));
    expect_that!(stored.accounts, eq(&vec![("program".to_owned(), Reservation { attempt: 5, tokens: 40 })]));
    expect_that!(Payloads::get(&disk, "a"), eq(&Payload::Present(turn("a"))));
    expect_that!(Payloads::get(&disk, "b"), eq(&Payload::Pending));
}

#[gtest]
fn an_incomplete_directory_is_created_again() {
    // Given what a loss of power left while a directory was made.
    let dir = tempfile::tempdir().unwrap();
    fs::create_dir_all(dir.path().join("records.new/keyspaces")).unwrap();
    fs::write(dir.path().join("records.new/0.jnl"), b"half").unwrap();
    // When it is opened, then it is a new disk.
    expect_that!(open(dir.path()).number(), eq(7));
    expect_that!(dir.path().join("records.new").exists(), eq(false));
}

#[gtest]
fn a_folder_of_another_format_is_refused_by_name() {
    let dir = tempfile::tempdir().unwrap();
    open(dir.path()).write(&[Write::put(METADATA, FORMAT_KEY, vec![9])]).unwrap();
    let error = Disk::open(dir.path(), KEYSPACES, || 7).unwrap_err();
    expect_that!(error.to_string(), contains_substring("format 9"));
}

#[gtest]
fn a_damaged_disk_number_is_an_error_and_not_replaced() {
    let dir = tempfile::tempdir().unwrap();
    put_raw(&open(dir.path()), METADATA, NUMBER_KEY, b"?");
    let error = Disk::open(dir.path(), KEYSPACES, || 8).unwrap_err();
    expect_that!(matches!(error, DiskError::Metadata { record: "number", .. }), eq(true));
}

#[gtest]
fn only_the_last_quarantined_directory_is_retained() {
    let dir = tempfile::tempdir().unwrap();
    for _ in 0..2 {
        put_raw(&open(dir.path()), METADATA, NUMBER_KEY, b"?");
        let loaded = open_or_replace(dir.path()).unwrap();
        expect_that!(matches!(loaded.lost, Some(DiskError::Metadata { record: "number", .. })), eq(true));
        expect_that!(loaded.disk.number(), eq(8));
    }
    expect_that!(fs::read_dir(dir.path()).unwrap().count(), eq(2));
}

#[gtest]
fn a_folder_of_another_format_is_refused_and_not_replaced() {
    let dir = tempfile::tempdir().unwrap();
    open(dir.path()).write(&[Write::put(METADATA, FORMAT_KEY, vec![9])]).unwrap();
    let reported = open_or_replace(dir.path()).unwrap_err().to_string();
    let position = dir.path().join("records").display().to_string();
    expect_that!(reported, eq(&format!("{position}: written in format 9, this program knows format 1")));
}

#[gtest]
fn a_probe_leaves_nothing_and_detects_a_disk_that_refuses_writes() {
    let dir = tempfile::tempdir().unwrap();
    Disk::probe(dir.path()).unwrap();
    expect_that!(fs::read_dir(dir.path()).unwrap().count(), eq(0));
    // Given a place where no file can be written.
    fs::create_dir(dir.path().join(PROBE_FILE)).unwrap();
    let error = Disk::probe(dir.path()).unwrap_err();
    expect_that!(error.is_transient(), eq(true));
    expect_that!(error.is_damage(), eq(false));
}

#[gtest]
fn a_damaged_directory_is_not_replaced_while_the_disk_refuses_writes() {
    // Given a damaged folder on a disk that takes no file: the engine may have broken off for lack of room alone.
    let (dir, path, intact, begin) = two_batches();
    let mut bytes = intact.clone();
    bytes[begin - 20] ^= 1;
    fs::write(&path, &bytes).unwrap();
    fs::create_dir(dir.path().join(PROBE_FILE)).unwrap();
    // When it is opened, then it is an error that may pass, and nothing is quarantined.
    let error = open_or_replace(dir.path()).unwrap_err();
    expect_that!(error.is_transient(), eq(true), "{error}");
    expect_that!(fs::read(&path).unwrap(), eq(&bytes));
    // And once the disk takes files, it is.
    fs::remove_dir(dir.path().join(PROBE_FILE)).unwrap();
    expect_that!(open_or_replace(dir.path()).unwrap().lost, some(anything()));
}
