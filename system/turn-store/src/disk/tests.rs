use super::*;
use crate::{ACCOUNTS, Bodies, Body, FillRecord, SPACES, STATE, StoreState, TURNS, load};
use fleet_model::{Call, Reservation, Turn};
use googletest::prelude::*;

fn open(dir: &Path) -> Disk {
    Disk::open(dir, SPACES, || 7).unwrap()
}

fn turn(attempt: &str) -> Turn {
    Turn {
        attempt: attempt.into(),
        previous: None,
        input: Bytes::from_static(b"in"),
        output: Bytes::from_static(b"out"),
        retention_ms: 60_000,
        holders: vec![7],
    }
}

fn put_turn(attempt: &str) -> Write {
    crate::records::turn_write(&turn(attempt))
}

/// Put a value as it is, past the frame.
fn put_raw(disk: &Disk, space: &'static str, key: &[u8], raw: &[u8]) {
    disk.space(space).unwrap().insert(key, raw).unwrap();
}

fn raw(disk: &Disk, space: &'static str, key: &[u8]) -> Option<Vec<u8>> {
    disk.space(space).unwrap().get(key).unwrap().map(|value| value.to_vec())
}

#[gtest]
fn a_disk_keeps_its_number_and_records_over_a_reopening() {
    // Given a disk with a turn and a reservation.
    let dir = tempfile::tempdir().unwrap();
    {
        let disk = open(dir.path());
        disk.write(&[put_turn("a"), crate::records::account_write("program", 5, 40)]).unwrap();
    }
    // When it is opened again, by one who would draw another number.
    let disk = Disk::open(dir.path(), SPACES, || 8).unwrap();
    let (kept, damages) = load(&disk).unwrap();
    // Then all is there.
    expect_that!(disk.number(), eq(7));
    expect_that!(damages, is_empty());
    expect_that!(kept.turns.len(), eq(1));
    expect_that!(kept.accounts, eq(&vec![("program".to_owned(), Reservation { attempt: 5, tokens: 40 })]));
    expect_that!(Bodies::get(&disk, "a"), eq(&Body::Held(turn("a"))));
    expect_that!(Bodies::get(&disk, "b"), eq(&Body::Pending));
}

#[gtest]
fn a_half_made_folder_is_made_anew() {
    // Given what a loss of power left while a folder was made.
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
    open(dir.path()).write(&[Write::put(OWN, FORMAT_KEY, vec![9])]).unwrap();
    let error = Disk::open(dir.path(), SPACES, || 7).unwrap_err();
    expect_that!(error.to_string(), contains_substring("format 9"));
}

#[gtest]
fn a_damaged_number_is_told_and_not_drawn_anew() {
    let dir = tempfile::tempdir().unwrap();
    put_raw(&open(dir.path()), OWN, NUMBER_KEY, b"?");
    let error = Disk::open(dir.path(), SPACES, || 8).unwrap_err();
    expect_that!(matches!(error, DiskError::Own { record: "number", .. }), eq(true));
}

#[gtest]
fn damaged_records_are_told_and_set_aside_and_the_store_is_not_full() {
    // Given good records, and one each that is cut, flipped, moved to another key, and of another version.
    let dir = tempfile::tempdir().unwrap();
    let disk = open(dir.path());
    let full = FillRecord { filled: vec![(1, [7, 8, 9].into())], damaged: false };
    disk.write(&[put_turn("good"), put_turn("flipped"), put_turn("cut"), full.write()]).unwrap();
    let mut flipped = raw(&disk, TURNS, b"flipped").unwrap();
    *flipped.last_mut().unwrap() ^= 1;
    let cut = raw(&disk, TURNS, b"cut").unwrap();
    put_raw(&disk, TURNS, b"flipped", &flipped);
    put_raw(&disk, TURNS, b"cut", &cut[..3]);
    put_raw(&disk, TURNS, b"moved", &raw(&disk, TURNS, b"good").unwrap());
    put_raw(&disk, TURNS, b"other", &[2, 0, 0, 0, 0, 1]);
    put_raw(&disk, ACCOUNTS, b"short", &frame(b"short", b"1234"));
    // When it is loaded.
    expect_that!(Bodies::get(&disk, "flipped"), eq(&Body::Lost));
    let (kept, damages) = load(&disk).unwrap();
    // Then the good one is there, the others are told.
    let told: Vec<_> = damages.iter().map(|damage| (&damage.key[..], damage.what.as_str())).collect();
    expect_that!(kept.turns.iter().map(|turn| turn.attempt.as_str()).collect::<Vec<_>>(), eq(&vec!["good"]));
    expect_that!(
        told,
        eq(&vec![
            (&b"cut"[..], "cut short"),
            (b"flipped", "wrong checksum"),
            (b"moved", "wrong checksum"),
            (b"other", "version 2 of a record"),
            (b"short", "a key too short"),
        ])
    );
    expect_that!(kept.fill, eq(&FillRecord { filled: vec![], damaged: true }));
    // And they are kept aside as they were, and the store stays not full over a reopening.
    expect_that!(raw(&disk, ASIDE, b"turns/flipped"), eq(&Some(flipped)));
    drop(disk);
    let disk = open(dir.path());
    let (kept, damages) = load(&disk).unwrap();
    expect_that!(damages, is_empty());
    expect_that!(kept.fill.damaged, eq(true));
    expect_that!(raw(&disk, STATE, b"fill").is_some(), eq(true));
}

#[gtest]
fn a_journal_cut_in_its_last_batch_keeps_what_came_before() {
    // Given two synced batches.
    let dir = tempfile::tempdir().unwrap();
    let (before, after) = {
        let disk = open(dir.path());
        disk.write(&[put_turn("first")]).unwrap();
        let before = disk.db.persist(PersistMode::SyncAll).map(|()| journal(dir.path())).unwrap();
        disk.write(&[put_turn("second")]).unwrap();
        (before, journal(dir.path()))
    };
    expect_that!(before.1 < after.1, eq(true));
    // When the last bytes of the second are lost.
    let file = fs::OpenOptions::new().write(true).open(&after.0).unwrap();
    file.set_len(after.1 - 3).unwrap();
    drop(file);
    // Then the first is there, and the second is not.
    let (kept, _) = load(&open(dir.path())).unwrap();
    expect_that!(kept.turns.iter().map(|turn| turn.attempt.as_str()).collect::<Vec<_>>(), eq(&vec!["first"]));
}

/// The newest journal and where its last byte is that is not zero.
fn journal(dir: &Path) -> (PathBuf, u64) {
    let mut files: Vec<_> =
        fs::read_dir(dir.join("records")).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.retain(|path| path.extension().is_some_and(|extension| extension == "jnl"));
    files.sort();
    let path = files.pop().unwrap();
    let bytes = fs::read(&path).unwrap();
    let end = bytes.iter().rposition(|byte| *byte != 0).map_or(0, |at| at + 1);
    (path, end as u64)
}

#[gtest]
fn of_two_writes_of_one_key_in_a_batch_the_later_counts() {
    let dir = tempfile::tempdir().unwrap();
    let disk = open(dir.path());
    disk.write(&[Write::put(STATE, "k", "1"), Write::remove(STATE, "k"), Write::put(STATE, "k", "2")])
        .unwrap();
    expect_that!(disk.get(STATE, b"k").unwrap(), eq(&Some(b"2".to_vec())));
    disk.write(&[Write::put(STATE, "k", "3"), Write::remove(STATE, "k")]).unwrap();
    expect_that!(disk.get(STATE, b"k").unwrap(), none());
}

#[gtest]
fn keys_that_cannot_be_kept_are_errors() {
    let dir = tempfile::tempdir().unwrap();
    let disk = open(dir.path());
    expect_that!(matches!(disk.write(&[Write::put(STATE, "", "1")]), Err(DiskError::Key(0))), eq(true));
    expect_that!(disk.write(&[Write::put(STATE, vec![1; 70_000], "1")]).is_err(), eq(true));
    expect_that!(matches!(disk.get("nowhere", b"k"), Err(DiskError::NoSpace("nowhere"))), eq(true));
}

#[gtest]
fn a_turn_that_becomes_unreadable_while_running_makes_the_store_fill_again() {
    // Given a lone store that is full and holds a turn.
    let dir = tempfile::tempdir().unwrap();
    let disk = open(dir.path());
    let full = FillRecord { filled: vec![(1, [7].into())], damaged: false };
    disk.write(&[put_turn("a"), full.write()]).unwrap();
    let (kept, _) = load(&disk).unwrap();
    let mut state = StoreState::new(0, 7, 0, kept);
    let me = fleet_model::Store { name: "s".into(), ip: [127, 0, 0, 1].into(), zone: "z".into(), disk: 7 };
    state.set_roster(&fleet_model::Roster { epoch: 1, current: vec![me], ..Default::default() });
    expect_that!(state.is_full(), eq(true));
    // When its record is found flipped.
    put_raw(&disk, TURNS, b"a", b"nonsense");
    let outcome = state.handle(1, &Call::ReadChain { epoch: 1, attempt: "a".into() }, &disk);
    // Then the store never says that there is no such turn, and keeps that it has to fill.
    expect_that!(outcome.answer, eq(&fleet_model::Answer::Absent { complete: false }));
    expect_that!(state.is_full(), eq(false));
    disk.write(&outcome.writes).unwrap();
    expect_that!(load(&disk).unwrap().0.fill.damaged, eq(true));
}

#[gtest]
fn large_values_that_went_to_files_are_checked_and_can_be_removed() {
    // Given three large turns that have gone from memory to files.
    let dir = tempfile::tempdir().unwrap();
    let disk = open(dir.path());
    let large = |attempt: &str| Turn { input: Bytes::from(vec![b'x'; 20_000]), ..turn(attempt) };
    let puts = ["a", "b", "c"].map(|attempt| crate::records::turn_write(&large(attempt)));
    disk.write(&puts).unwrap();
    disk.space(TURNS).unwrap().rotate_memtable_and_wait().unwrap();
    // When one is removed, and the bytes of another change in its file.
    disk.write(&[Write::remove(TURNS, "a")]).unwrap();
    expect_that!(Bodies::get(&disk, "b"), eq(&Body::Held(large("b"))));
    drop(disk);
    let changed = change_value(&dir.path().join("records/keyspaces"), b"\x01b");
    expect_that!(changed, eq(1));
    // Then the first is gone, the second is told, and the third is whole.
    let disk = open(dir.path());
    let (_, damages) = load(&disk).unwrap();
    expect_that!(damages.iter().map(|damage| damage.space).collect::<Vec<_>>(), eq(&vec![TURNS]));
    expect_that!(Bodies::get(&disk, "a"), eq(&Body::Pending));
    expect_that!(Bodies::get(&disk, "b"), eq(&Body::Lost));
    expect_that!(Bodies::get(&disk, "c"), eq(&Body::Held(large("c"))));
}

/// Change a byte of the large turn whose record begins so, wherever a file under `dir` has it.
fn change_value(dir: &Path, begin: &[u8]) -> usize {
    let mut changed = 0;
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            changed += change_value(&path, begin);
            continue;
        }
        let mut bytes = fs::read(&path).unwrap();
        let at = bytes.windows(begin.len() + 500).position(|window| {
            window.starts_with(begin) && window[window.len() - 400..].iter().all(|byte| *byte == b'x')
        });
        if let Some(at) = at {
            bytes[at + 450] = b'y';
            fs::write(&path, bytes).unwrap();
            changed += 1;
        }
    }
    changed
}
