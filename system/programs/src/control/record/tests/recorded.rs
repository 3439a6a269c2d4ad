//! Records that earlier programs wrote are read as they meant them, and written again by the same bytes.

use super::*;

/// A recorded file's bytes; the file holds them in hexadecimal digits, with line ends anywhere.
fn recorded(name: &str) -> Vec<u8> {
    let path = format!("{}/tests/recorded/{name}.hex", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    let digits: Vec<u8> = text.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

/// A record with every field filled.
fn record() -> AcceptorRecord {
    let value = |epoch, payload: &'static [u8]| RegisterValue {
        epoch,
        voters: seeds(),
        payload: Bytes::from_static(payload),
    };
    AcceptorRecord {
        promised: ballot(301),
        accepted: Some(AcceptedValue { ballot: ballot(300), value: value(6, b"state") }),
        voter_state: VoterState::Voter,
        chosen_voters: Some(value(5, b"")),
    }
}

/// A record of one that only joined.
fn blank() -> AcceptorRecord {
    AcceptorRecord {
        promised: ballot(2),
        accepted: None,
        voter_state: VoterState::NonVoter,
        chosen_voters: None,
    }
}

/// A folder that holds one recorded file.
fn folder_with(bytes: &[u8]) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("record.1"), bytes).unwrap();
    folder
}

#[googletest::test]
fn a_control_record_written_before_is_read_and_written_alike() {
    // Given the file of a voter that kept two records, as it was written before.
    let bytes = recorded("control-record");
    // When its folder is opened, then the second record is there, under the same bytes.
    let folder = folder_with(&bytes);
    let opened = open_as(folder.path(), false, ip(1));
    expect_that!(opened.initial_state, eq(&InitialState::Existing(record())));
    expect_that!(opened.damages, eq(0));
    drop(opened);
    expect_that!(fs::read(folder.path().join("record.1")).unwrap(), eq(&bytes));
    // And a new folder with the same records is written by the same bytes.
    let fresh = tempfile::tempdir().unwrap();
    let opened = open_as(fresh.path(), true, ip(1));
    for kept in [blank(), record()] {
        put(&opened.durable, &kept);
    }
    drop(opened);
    expect_that!(fs::read(fresh.path().join("record.1")).unwrap(), eq(&bytes));
}

#[googletest::test]
fn a_control_record_written_before_goes_on_alike() {
    // Given a file with one record, and the same file with one more.
    let (before, after) = (recorded("control-record-blank"), recorded("control-record"));
    let folder = folder_with(&before);
    let opened = open_as(folder.path(), false, ip(1));
    expect_that!(opened.initial_state, eq(&InitialState::Existing(blank())));
    // When one more is put, then the file is as that one.
    put(&opened.durable, &record());
    drop(opened);
    expect_that!(fs::read(folder.path().join("record.1")).unwrap(), eq(&after));
}

#[googletest::test]
fn a_control_record_of_the_first_form_is_still_read() {
    let folder = folder_with(&recorded("control-record-first-form"));
    let without_nonce = |ballot: Ballot| Ballot { incarnation: 0, ..ballot };
    let AcceptorRecord { promised, accepted, voter_state, chosen_voters } = record();
    let accepted =
        accepted.map(|held| AcceptedValue { ballot: without_nonce(held.ballot), value: held.value });
    let read = AcceptorRecord { promised: without_nonce(promised), accepted, voter_state, chosen_voters };
    expect_that!(open_as(folder.path(), false, ip(1)).initial_state, eq(&InitialState::Existing(read)));
}
