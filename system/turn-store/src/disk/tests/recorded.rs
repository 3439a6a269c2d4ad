//! A storage machine's folder that an earlier program wrote is read as it meant it, and written on by the same bytes.

use super::*;
use crate::records::{account_write, replicas_write};
use crate::{REPLICAS, Stored, StoredTurn};

fn recorded_text(name: &str) -> String {
    let path = format!("{}/tests/recorded/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// A directory as it was recorded: a line for each folder and each file in it, the file's bytes in hexadecimal digits.
fn recorded(name: &str) -> tempfile::TempDir {
    let dir = tempfile::tempdir().unwrap();
    let byte = |pair: &[u8]| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap();
    for line in recorded_text(name).lines() {
        match line.split(' ').collect::<Vec<_>>()[..] {
            ["folder", path] => fs::create_dir_all(dir.path().join(path)).unwrap(),
            ["file", path, digits] => {
                let bytes: Vec<u8> = digits.as_bytes().chunks(2).map(byte).collect();
                fs::write(dir.path().join(path), bytes).unwrap();
            }
            _ => panic!("{line}"),
        }
    }
    dir
}

/// All records of a directory as they are kept, frames and all: keyspace, key and value a line, in hexadecimal digits.
fn listing(disk: &Disk) -> String {
    let digits = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let line = |keyspace: &str, guard: fjall::Guard| {
        let (key, value) = guard.into_inner().unwrap();
        format!("{keyspace} {} {}\n", digits(&key), digits(&value))
    };
    let lines = |(name, keyspace): (&&str, &Keyspace)| -> String {
        keyspace.iter().map(|guard| line(name, guard)).collect()
    };
    disk.keyspaces.iter().map(lines).collect()
}

/// A turn that continues from another, with a text that is kept apart from its key.
fn long_turn() -> Turn {
    Turn {
        attempt: "attempt-2".into(),
        previous: Some("attempt-1".into()),
        input: Bytes::from_static(b"{\"q\":\"more\"}"),
        output: vec![b'x'; 1_500].into(),
        retention_ms: 86_400_000,
        replicas: vec![7, u64::MAX, 0],
    }
}

fn full() -> BackfillRecord {
    BackfillRecord { in_sync: vec![(3, [7, 8].into()), (300, [7, 9, u64::MAX].into())], damaged: false }
}

/// Writes a record of each kind, in batches as a machine does.
fn write_all(disk: &Disk) {
    disk.write(&[full().write()]).unwrap();
    disk.write(&[put_turn("attempt-1"), account_write("chat", 5, 40)]).unwrap();
    disk.write(&[crate::records::turn_write(&long_turn()), put_turn("attempt-3"), put_turn("gone")]).unwrap();
    disk.write(&[replicas_write("attempt-1", &[8, 9]), account_write("chat", u64::MAX, 800)]).unwrap();
    disk.write(&crate::records::turn_removal("gone")).unwrap();
}

/// What [`write_all`] has written.
fn stored() -> Stored {
    let stored = |turn: &Turn| StoredTurn {
        attempt: turn.attempt.clone(),
        previous: turn.previous.clone(),
        retention_ms: turn.retention_ms,
        length: (turn.input.len() + turn.output.len()) as u32,
        replicas: turn.replicas.clone(),
    };
    let account = |attempt, tokens| ("chat".to_owned(), Reservation { attempt, tokens });
    Stored {
        turns: vec![
            StoredTurn { replicas: vec![8, 9], ..stored(&turn("attempt-1")) },
            stored(&long_turn()),
            stored(&turn("attempt-3")),
        ],
        accounts: vec![account(5, 40), account(u64::MAX, 800)],
        account_retention_ms: 0,
        backfill: full(),
    }
}

#[gtest]
fn a_storage_folder_written_before_is_read_and_written_alike() {
    // Given a directory with records of each kind, as it was written before.
    let dir = recorded("storage-folder.txt");
    let disk = open(dir.path());
    // When it is read, then all is there as it was meant, in the same bytes.
    expect_that!(disk.number(), eq(7));
    let (read, damaged) = load(&disk).unwrap();
    expect_that!(read, eq(&stored()));
    expect_that!(damaged, is_empty());
    expect_that!(Payloads::get(&disk, "attempt-1"), eq(&Payload::Present(turn("attempt-1"))));
    expect_that!(Payloads::get(&disk, "attempt-2"), eq(&Payload::Present(long_turn())));
    expect_that!(Payloads::get(&disk, "gone"), eq(&Payload::Pending));
    expect_that!(listing(&disk), eq(&recorded_text("storage-records.txt")));
    // And a new folder with the same records holds the same bytes.
    let fresh = tempfile::tempdir().unwrap();
    let disk = open(fresh.path());
    write_all(&disk);
    expect_that!(listing(&disk), eq(&recorded_text("storage-records.txt")));
}

#[gtest]
fn a_storage_folder_written_before_takes_one_record_more() {
    // Given the recorded folder.
    let dir = recorded("storage-folder.txt");
    // When one turn more is written with its replicas, and the directory is opened again.
    let disk = open(dir.path());
    disk.write(&[put_turn("attempt-4"), replicas_write("attempt-4", &[9])]).unwrap();
    drop(disk);
    let disk = open(dir.path());
    // Then these were added, in the bytes that were recorded, and nothing else changed.
    let more = recorded_text("storage-records-one-more.txt");
    let sorted = |text: String| {
        let mut lines: Vec<_> = text.lines().map(str::to_owned).collect();
        lines.sort_unstable();
        lines
    };
    expect_that!(more.lines().count(), eq(2));
    expect_that!(sorted(listing(&disk)), eq(&sorted(recorded_text("storage-records.txt") + &more)));
    expect_that!(disk.get(REPLICAS, b"attempt-4").unwrap(), some(eq(&vec![1, 9])));
}

/// Spoils one turn past its frame.
fn spoil(disk: &Disk) {
    put_raw(disk, TURNS, b"spoilt", &[1, 0xde, 0xad, 0xbe, 0xef, 1, 2, 3]);
}

#[gtest]
fn quarantined_records_are_found_and_further_ones_quarantined_alike() {
    // Given a directory in which a damaged turn was quarantined.
    let dir = recorded("storage-folder-quarantined.txt");
    let disk = open(dir.path());
    let out_of_sync = BackfillRecord { in_sync: vec![], damaged: true };
    let (read, damaged) = load(&disk).unwrap();
    expect_that!(damaged, is_empty());
    expect_that!(read, eq(&Stored { backfill: out_of_sync, ..stored() }));
    expect_that!(
        raw(&disk, QUARANTINE, b"turns/spoilt"),
        some(eq(&vec![1, 0xde, 0xad, 0xbe, 0xef, 1, 2, 3]))
    );
    expect_that!(listing(&disk), eq(&recorded_text("storage-records-quarantined.txt")));
    // When the same turn is damaged in the other folder, then it is quarantined in the same bytes.
    let dir = recorded("storage-folder.txt");
    let disk = open(dir.path());
    spoil(&disk);
    let (_, damaged) = load(&disk).unwrap();
    expect_that!(damaged.len(), eq(1));
    expect_that!(listing(&disk), eq(&recorded_text("storage-records-quarantined.txt")));
}

#[gtest]
fn a_storage_folder_written_before_is_laid_out_as_a_new_one() {
    // Given the recorded folder and a new one with the same records.
    let before = recorded("storage-folder.txt");
    let fresh = tempfile::tempdir().unwrap();
    write_all(&open(fresh.path()));
    // Then both have a journal, and the same keyspaces in the same order.
    let names = |dir: &Path| {
        let listed = fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().file_name());
        let mut names: Vec<_> = listed.collect();
        names.sort();
        names
    };
    for part in ["", "records", "records/keyspaces"] {
        expect_that!(names(&fresh.path().join(part)), eq(&names(&before.path().join(part))), "{part}");
    }
    // And the journals hold the same batches, with the keyspaces' numbers in them.
    let written = |dir: &Path| {
        let (path, end) = newest_journal(dir);
        fs::read(path).unwrap()[..end as usize].to_vec()
    };
    expect_that!(written(fresh.path()), eq(&written(before.path())));
}
