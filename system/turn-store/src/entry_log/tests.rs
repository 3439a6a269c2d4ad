use super::*;
use crate::log_files::{HEAD_BYTES, MIN_GAP_BYTES, list_files};
use googletest::prelude::*;
use std::path::PathBuf;
use std::time::Instant;

mod recorded;

/// Operations without syncs, so that the many logs of these tests take little time.
#[derive(Debug)]
struct UnsyncedFiles;

impl FileOperations for UnsyncedFiles {
    fn sync_data(&mut self, _: &fs::File) -> std::io::Result<()> {
        Ok(())
    }

    fn sync(&mut self, _: &fs::File) -> std::io::Result<()> {
        Ok(())
    }

    fn sync_directory(&mut self, _: &Path) -> std::io::Result<()> {
        Ok(())
    }
}

fn open(folder: &Path) -> OpenedEntryLog {
    EntryLog::open_with(folder, Box::new(UnsyncedFiles)).unwrap()
}

/// The entries of append number `append`: as many as its number, the first with many zeros.
fn entries(append: usize) -> Vec<Bytes> {
    let entry = |number| Bytes::from(format!("append {append}, entry {number}{}", "\0".repeat(30 / number)));
    (1..=append).map(entry).collect()
}

fn stored(checkpoint: &'static str, entries: impl IntoIterator<Item = Bytes>) -> RecoveredEntries {
    RecoveredEntries::Stored { checkpoint: checkpoint.into(), entries: entries.into_iter().collect() }
}

fn after_appends(count: usize) -> RecoveredEntries {
    stored("checkpoint", (1..=count).flat_map(entries))
}

/// A folder with a checkpoint and `count` appends, and where in its one file each of them ends.
fn persisted(count: usize) -> (tempfile::TempDir, PathBuf, Vec<usize>) {
    let folder = tempfile::tempdir().unwrap();
    let mut log = open(folder.path()).log;
    let path = folder.path().join("entries.1");
    log.restart(b"checkpoint").unwrap();
    let mut ends = vec![fs::read(&path).unwrap().len()];
    for append in 1..=count {
        log.append(&entries(append)).unwrap();
        ends.push(fs::read(&path).unwrap().len());
    }
    (folder, path, ends)
}

#[gtest]
fn a_folder_is_created_with_the_first_checkpoint_only() {
    // Given a folder that does not exist.
    let parent = tempfile::tempdir().unwrap();
    let folder = parent.path().join("coordination");
    let mut opened = open(&folder);
    expect_that!(opened.found, eq(&RecoveredEntries::NeverWritten));
    // Then entries need a checkpoint first, and nothing is created for them.
    expect_that!(opened.log.append(&entries(1)), err(matches_pattern!(DiskError::CheckpointNeeded(_))));
    expect_that!(folder.exists(), eq(false));
    // And the checkpoint and the entries after it are found.
    opened.log.restart(b"checkpoint").unwrap();
    opened.log.append(&entries(1)).unwrap();
    opened.log.append(&[]).unwrap();
    opened.log.append(&entries(2)).unwrap();
    let opened = open(&folder);
    expect_that!(opened.found, eq(&after_appends(2)));
    expect_that!(opened.damages, is_empty());
}

#[gtest]
fn a_restart_replaces_the_entries_and_leaves_one_file() {
    let (folder, _, _) = persisted(2);
    let mut log = open(folder.path()).log;
    log.restart(b"").unwrap();
    expect_that!(open(folder.path()).found, eq(&stored("", [])));
    log.append(&[Bytes::new()]).unwrap();
    expect_that!(open(folder.path()).found, eq(&stored("", [Bytes::new()])));
    expect_that!(list_files(folder.path(), &FORMAT).unwrap(), eq(&(vec![2], false)));
}

#[gtest]
fn a_file_that_never_got_its_name_is_no_checkpoint() {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("entries.new"), FORMAT.header()).unwrap();
    expect_that!(open(folder.path()).found, eq(&RecoveredEntries::NeverWritten));
}

#[gtest]
fn an_append_that_is_cut_off_anywhere_leaves_the_entries_before() {
    let (_folder, path, ends) = persisted(3);
    let is_complete = fs::read(&path).unwrap();
    for cut in ends[2]..ends[3] {
        let gap = cut - ends[2] > HEAD_BYTES;
        for zeros in if gap { vec![0, MIN_GAP_BYTES, 5_000] } else { vec![0, 5_000] } {
            let (folder, path, _) = persisted(0);
            let mut bytes = is_complete[..cut].to_vec();
            bytes.resize(cut + zeros, 0);
            fs::write(&path, bytes).unwrap();
            // Then no entry of it is found, nothing counts as damaged, and entries can be appended.
            let mut opened = open(folder.path());
            expect_that!(opened.found, eq(&after_appends(2)), "cut at {cut}, {zeros} zeros");
            expect_that!(opened.damages, is_empty());
            opened.log.append(&entries(3)).unwrap();
            expect_that!(open(folder.path()).found, eq(&after_appends(3)));
        }
    }
}

#[gtest]
fn an_append_whose_first_sector_is_missing_is_not_damage() {
    let (_folder, path, ends) = persisted(3);
    let is_complete = fs::read(&path).unwrap();
    for missing in 1..ends[3] - ends[2] {
        let (folder, path, _) = persisted(0);
        let mut bytes = is_complete.clone();
        bytes[ends[2]..ends[2] + missing].fill(0);
        fs::write(&path, bytes).unwrap();
        expect_that!(open(folder.path()).found, eq(&after_appends(2)), "{missing} bytes");
    }
}

#[gtest]
fn a_log_with_any_byte_changed_is_lost_and_set_aside() {
    let (_folder, path, _) = persisted(3);
    let is_complete = fs::read(&path).unwrap();
    for position in 0..is_complete.len() {
        for change in [1, 0x80, 0xff] {
            let (folder, path, _) = persisted(0);
            let mut bytes = is_complete.clone();
            bytes[position] ^= change;
            fs::write(&path, &bytes).unwrap();
            // Then it is lost, at the next start too, and is damage once.
            let opened = open(folder.path());
            expect_that!(opened.found, eq(&RecoveredEntries::Lost), "byte {position} ^ {change}");
            expect_that!(opened.damages.len(), eq(1));
            expect_that!(opened.damages[0], contains_substring(path.display().to_string()));
            expect_that!(fs::read(folder.path().join("damaged")).unwrap(), eq(&bytes));
            let mut again = open(folder.path());
            expect_that!(again.found, eq(&RecoveredEntries::Lost));
            expect_that!(again.damages, is_empty());
            // And it takes entries after a checkpoint only.
            expect_that!(again.log.append(&entries(1)), err(anything()));
            again.log.restart(b"checkpoint").unwrap();
            again.log.append(&entries(1)).unwrap();
            expect_that!(open(folder.path()).found, eq(&after_appends(1)));
        }
    }
}

#[gtest]
fn appends_that_are_missing_repeated_or_exchanged_are_damage() {
    let (_folder, path, ends) = persisted(3);
    let bytes = fs::read(&path).unwrap();
    let (begin, first, second, third) =
        (&bytes[..ends[0]], &bytes[ends[0]..ends[1]], &bytes[ends[1]..ends[2]], &bytes[ends[2]..]);
    let header = &bytes[..FORMAT.header().len()];
    for spliced in [
        [begin, second, third].concat(),
        [begin, first, first, second].concat(),
        [begin, second, first, third].concat(),
        [header, first, second].concat(),
        header.to_vec(),
        Vec::new(),
    ] {
        let (folder, path, _) = persisted(0);
        fs::write(&path, &spliced).unwrap();
        expect_that!(open(folder.path()).found, eq(&RecoveredEntries::Lost));
    }
}

#[gtest]
fn any_bytes_in_the_file_are_read_without_a_panic() {
    let (_folder, path, _) = persisted(3);
    let is_complete = fs::read(&path).unwrap();
    for step in 1..is_complete.len() {
        let (folder, path, _) = persisted(0);
        let spliced = [&is_complete[step..], &is_complete[..step], &[0xff; 40][..step % 41]].concat();
        fs::write(&path, spliced).unwrap();
        expect_that!(open(folder.path()).found, eq(&RecoveredEntries::Lost));
        // And a content with a right checksum whose entries cannot be decoded is damage.
        let undecodable = FORMAT.encode_content(1, &encode_entries(&entries(2))[..step.min(40)]);
        let bytes = [&FORMAT.header()[..], &FORMAT.encode_content(0, b"checkpoint"), &undecodable].concat();
        let (folder, path, _) = persisted(0);
        fs::write(&path, bytes).unwrap();
        expect_that!(open(folder.path()).found, eq(&RecoveredEntries::Lost));
    }
}

#[gtest]
fn another_version_of_the_file_is_refused_by_its_path() {
    let (folder, path, _) = persisted(1);
    let mut bytes = fs::read(&path).unwrap();
    bytes[8..10].copy_from_slice(&9_u16.to_be_bytes());
    let checksum = crc32fast::hash(&bytes[..10]);
    bytes[10..14].copy_from_slice(&checksum.to_be_bytes());
    fs::write(&path, &bytes).unwrap();
    let describe = EntryLog::open(folder.path()).unwrap_err().to_string();
    expect_that!(describe, contains_substring(path.display().to_string()));
    expect_that!(describe, contains_substring("format 9, this program knows format 1"));
    expect_that!(fs::read(&path).unwrap(), eq(&bytes));
}

#[gtest]
fn an_older_file_never_replaces_a_damaged_one() {
    // Given an older file that came back beside a damaged newer one.
    let (folder, path, _) = persisted(1);
    let mut damaged = fs::read(&path).unwrap();
    damaged[30] ^= 1;
    fs::write(folder.path().join("entries.2"), damaged).unwrap();
    // Then the log is lost, now and later.
    expect_that!(open(folder.path()).found, eq(&RecoveredEntries::Lost));
    expect_that!(open(folder.path()).found, eq(&RecoveredEntries::Lost));
}

#[gtest]
fn writes_of_one_batch_are_done_in_their_order() {
    let folder = tempfile::tempdir().unwrap();
    let mut log = open(folder.path()).log;
    let append = |number| EntryWrite::Append(entries(number));
    let restart = |checkpoint: &'static str| EntryWrite::Restart(checkpoint.into());
    log.commit(&[append(1), restart("first"), append(1), append(2)]).unwrap();
    expect_that!(open(folder.path()).found, eq(&stored("first", (1..=2).flat_map(entries))));
    log.commit(&[append(3), restart("second"), append(2), restart("third"), append(3)]).unwrap();
    expect_that!(open(folder.path()).found, eq(&stored("third", entries(3))));
    log.commit(&[append(1), restart("fourth")]).unwrap();
    expect_that!(open(folder.path()).found, eq(&stored("fourth", [])));
}

#[test]
#[ignore = "measures durations on the disk of the temporary directory"]
fn measure_open_and_append() {
    const ROUNDS: u32 = 200;
    let folder = tempfile::tempdir().unwrap();
    let mut log = EntryLog::open(folder.path()).unwrap().log;
    log.restart(&vec![7; 60_000]).unwrap();
    let entry = Bytes::from(vec![9; 300]);
    let mut durations: Vec<_> = (0..1_000)
        .map(|_| {
            let begin = Instant::now();
            log.append(std::slice::from_ref(&entry)).unwrap();
            begin.elapsed()
        })
        .collect();
    durations.sort();
    println!(
        "append of 300 bytes: median {:?}, p99 {:?}, max {:?}",
        durations[500], durations[990], durations[999]
    );
    drop(log);
    let begin = Instant::now();
    for _ in 0..ROUNDS {
        EntryLog::open(folder.path()).unwrap();
    }
    println!("open: mean of {ROUNDS} {:?}", begin.elapsed() / ROUNDS);
    let begin = Instant::now();
    let path = folder.path().join("entries.1");
    for _ in 0..ROUNDS {
        let bytes = fs::read(&path).unwrap();
        decode(&bytes, &contents(&FORMAT, &bytes)).unwrap();
    }
    println!("reading and decoding only: mean of {ROUNDS} {:?}", begin.elapsed() / ROUNDS);
}
