use super::*;
use crate::log_files::{HEAD_BYTES, MIN_GAP_BYTES, list_files};
use googletest::prelude::*;
use std::path::PathBuf;

mod recorded;

fn open(folder: &Path) -> Opened {
    RecordLog::open(folder).unwrap()
}

fn record(number: usize) -> Bytes {
    Bytes::from(format!(
        "promise {number}, and an accepted value of some length \0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0"
    ))
}

/// A directory with records 1 to `count` put one after another, and where in its one file each ends.
fn persisted(count: usize) -> (tempfile::TempDir, PathBuf, Vec<usize>) {
    let folder = tempfile::tempdir().unwrap();
    let mut log = open(folder.path()).log;
    let path = folder.path().join("record.1");
    let ends = (1..=count).map(|number| {
        log.put(&record(number)).unwrap();
        fs::read(&path).unwrap().len()
    });
    let ends = ends.collect();
    (folder, path, ends)
}

#[gtest]
fn a_folder_that_was_never_used_tells_so_and_keeps_what_is_put() {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = open(folder.path());
    expect_that!(opened.found, eq(&RecoveredRecord::NeverWritten));
    opened.log.put(b"first").unwrap();
    opened.log.put(b"second").unwrap();
    let opened = open(folder.path());
    expect_that!(opened.found, eq(&RecoveredRecord::Stored("second".into())));
    expect_that!(opened.damages, is_empty());
}

#[gtest]
fn a_file_that_never_got_its_name_is_no_record() {
    // Given what a loss of power left before the first record was synced.
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("record.new"), &FORMAT.header()[..9]).unwrap();
    expect_that!(open(folder.path()).found, eq(&RecoveredRecord::NeverWritten));
}

#[gtest]
fn an_append_that_is_cut_off_anywhere_leaves_the_record_before() {
    // Given three records, the last of which is cut, or has a gap from there on, at each of its bytes.
    let (_folder, path, ends) = persisted(3);
    let is_complete = fs::read(&path).unwrap();
    for cut in ends[1]..ends[2] {
        let (folder, _, _) = persisted(1);
        let path = folder.path().join("record.1");
        let gap = cut.saturating_sub(ends[1]) > HEAD_BYTES;
        for zeros in if gap { vec![0, MIN_GAP_BYTES, 5_000] } else { vec![0, 5_000] } {
            let mut bytes = is_complete[..cut].to_vec();
            bytes.resize(cut + zeros, 0);
            fs::write(&path, bytes).unwrap();
            // Then the second one counts, and nothing is reported: an append that was never synced was never told of.
            let mut opened = open(folder.path());
            expect_that!(
                opened.found,
                eq(&RecoveredRecord::Stored(record(2))),
                "cut at {cut}, {zeros} zeros"
            );
            expect_that!(opened.damages, is_empty());
            // And what is put next is found.
            opened.log.put(b"next").unwrap();
            expect_that!(open(folder.path()).found, eq(&RecoveredRecord::Stored("next".into())));
        }
    }
}

#[gtest]
fn an_append_of_several_writes_with_one_of_them_missing_leaves_the_record_before() {
    // Given a long record in whose middle a write is missing, its end being there.
    let (folder, path, _) = persisted(2);
    let mut bytes = fs::read(&path).unwrap();
    let mut long = FORMAT.encode_content(3, &vec![7; 30_000]);
    long[8_192..16_384].fill(0);
    bytes.extend(long);
    fs::write(&path, bytes).unwrap();
    expect_that!(open(folder.path()).found, eq(&RecoveredRecord::Stored(record(2))));
}

#[gtest]
fn the_newest_record_with_any_byte_changed_is_lost_and_set_aside() {
    let (_folder, path, ends) = persisted(3);
    let is_complete = fs::read(&path).unwrap();
    for position in ends[1]..ends[2] {
        for change in [1, 0x80, 0xff] {
            let (folder, path, _) = persisted(1);
            let mut bytes = is_complete.clone();
            bytes[position] ^= change;
            fs::write(&path, &bytes).unwrap();
            // Then it is lost, not what it was before and not never there; in the next life too.
            let opened = open(folder.path());
            expect_that!(opened.found, eq(&RecoveredRecord::Lost), "byte {position} ^ {change}");
            expect_that!(opened.damages, not(is_empty()));
            expect_that!(fs::read(folder.path().join("damaged")).unwrap(), eq(&bytes));
            let mut again = open(folder.path());
            expect_that!(again.found, eq(&RecoveredRecord::Lost));
            // And once it is restored, it is kept as any other.
            again.log.put(b"restored").unwrap();
            expect_that!(open(folder.path()).found, eq(&RecoveredRecord::Stored("restored".into())));
        }
    }
}

#[gtest]
fn damage_before_the_newest_record_is_reported_and_the_record_is_read() {
    let (_folder, path, ends) = persisted(3);
    let is_complete = fs::read(&path).unwrap();
    for position in 0..ends[1] {
        let (folder, path, _) = persisted(1);
        let mut bytes = is_complete.clone();
        bytes[position] ^= 0x10;
        fs::write(&path, &bytes).unwrap();
        let opened = open(folder.path());
        expect_that!(opened.found, eq(&RecoveredRecord::Stored(record(3))), "byte {position}");
        expect_that!(opened.damages.len(), eq(1));
        expect_that!(opened.damages[0], contains_substring(path.display().to_string()));
        expect_that!(folder.path().join("damaged").exists(), eq(true));
        // And it is reported once.
        let opened = open(folder.path());
        expect_that!(opened.found, eq(&RecoveredRecord::Stored(record(3))));
        expect_that!(opened.damages, is_empty());
    }
}

#[gtest]
fn a_file_cut_into_its_first_record_is_lost() {
    let (_folder, path, ends) = persisted(1);
    let is_complete = fs::read(&path).unwrap();
    for cut in 0..ends[0] {
        let (folder, path, _) = persisted(1);
        fs::write(&path, &is_complete[..cut]).unwrap();
        expect_that!(open(folder.path()).found, eq(&RecoveredRecord::Lost), "cut at {cut}");
    }
}

#[gtest]
fn any_bytes_in_the_file_are_read_without_a_panic() {
    let (_folder, path, _) = persisted(3);
    let is_complete = fs::read(&path).unwrap();
    // Given the same file spliced, repeated and filled in many ways.
    for step in 1..is_complete.len() {
        let (folder, path, _) = persisted(1);
        let spliced = [&is_complete[step..], &is_complete[..step], &[0xff; 40][..step % 41]].concat();
        fs::write(&path, spliced).unwrap();
        let opened = open(folder.path());
        // Then nothing is found but what was once put.
        if let RecoveredRecord::Stored(found) = &opened.found {
            expect_that!((1..=3).map(record).collect::<Vec<_>>().contains(found), eq(true));
        }
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
    let describe = RecordLog::open(folder.path()).unwrap_err().to_string();
    expect_that!(describe, contains_substring(path.display().to_string()));
    expect_that!(describe, contains_substring("format 9, this program knows format 2"));
    // And it stays as it was.
    expect_that!(fs::read(&path).unwrap(), eq(&bytes));
}

#[gtest]
fn a_directory_of_the_former_format_is_refused_by_its_path() {
    let folder = tempfile::tempdir().unwrap();
    fs::create_dir(folder.path().join("records")).unwrap();
    let describe = RecordLog::open(folder.path()).unwrap_err().to_string();
    expect_that!(describe, contains_substring("records: written in format 1"));
}

#[gtest]
fn a_file_that_has_grown_is_followed_by_another_and_one_that_comes_back_is_removed() {
    let folder = tempfile::tempdir().unwrap();
    let mut log = open(folder.path()).log;
    let long = vec![5; 300 << 10];
    let names = || list_files(folder.path(), &FORMAT).unwrap().0;
    log.put(&long).unwrap();
    let first = fs::read(folder.path().join("record.1")).unwrap();
    for _ in 0..20 {
        log.put(&long).unwrap();
        expect_that!(names().len(), eq(1));
    }
    expect_that!(names(), eq(&vec![2]));
    log.put(b"newest").unwrap();
    // When a loss of power brings the removed file back.
    fs::write(folder.path().join("record.1"), first).unwrap();
    let opened = open(folder.path());
    expect_that!(opened.found, eq(&RecoveredRecord::Stored("newest".into())));
    expect_that!(names(), eq(&vec![2]));
}
