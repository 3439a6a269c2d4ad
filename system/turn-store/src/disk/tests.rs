use super::*;
use crate::{ACCOUNTS, BackfillRecord, Payload, Payloads, ReplicaState, SPACES, STATE, TURNS, load};
use fleet_model::{Call, Reservation, Turn};
use googletest::prelude::*;

mod recorded;

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
        replicas: vec![7],
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
    expect_that!(Payloads::get(&disk, "a"), eq(&Payload::Present(turn("a"))));
    expect_that!(Payloads::get(&disk, "b"), eq(&Payload::Pending));
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
    let full = BackfillRecord { in_sync: vec![(1, [7, 8, 9].into())], damaged: false };
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
    expect_that!(Payloads::get(&disk, "flipped"), eq(&Payload::Lost));
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
    expect_that!(kept.backfill, eq(&BackfillRecord { in_sync: vec![], damaged: true }));
    // And they are kept aside as they were, and the store stays not full over a reopening.
    expect_that!(raw(&disk, ASIDE, b"turns/flipped"), eq(&Some(flipped)));
    drop(disk);
    let disk = open(dir.path());
    let (kept, damages) = load(&disk).unwrap();
    expect_that!(damages, is_empty());
    expect_that!(kept.backfill.damaged, eq(true));
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
    let full = BackfillRecord { in_sync: vec![(1, [7].into())], damaged: false };
    disk.write(&[put_turn("a"), full.write()]).unwrap();
    let (kept, _) = load(&disk).unwrap();
    let mut state = ReplicaState::new(0, 7, 0, kept);
    let me =
        fleet_model::StorageNode { name: "s".into(), ip: [127, 0, 0, 1].into(), zone: "z".into(), disk: 7 };
    state.set_roster(&fleet_model::Roster { epoch: 1, current: vec![me], ..Default::default() });
    expect_that!(state.is_in_sync(), eq(true));
    // When its record is found flipped.
    put_raw(&disk, TURNS, b"a", b"nonsense");
    let outcome = state.handle(1, &Call::ReadChain { epoch: 1, attempt: "a".into() }, &disk);
    // Then the store never says that there is no such turn, and keeps that it has to fill.
    expect_that!(outcome.answer, eq(&fleet_model::Answer::Absent { complete: false }));
    expect_that!(state.is_in_sync(), eq(false));
    disk.write(&outcome.writes).unwrap();
    expect_that!(load(&disk).unwrap().0.backfill.damaged, eq(true));
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
    expect_that!(Payloads::get(&disk, "b"), eq(&Payload::Present(large("b"))));
    drop(disk);
    let changed = change_value(&dir.path().join("records/keyspaces"), b"\x01b");
    expect_that!(changed, eq(1));
    // Then the first is gone, the second is told, and the third is whole.
    let disk = open(dir.path());
    let (_, damages) = load(&disk).unwrap();
    expect_that!(damages.iter().map(|damage| damage.space).collect::<Vec<_>>(), eq(&vec![TURNS]));
    expect_that!(Payloads::get(&disk, "a"), eq(&Payload::Pending));
    expect_that!(Payloads::get(&disk, "b"), eq(&Payload::Lost));
    expect_that!(Payloads::get(&disk, "c"), eq(&Payload::Present(large("c"))));
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

/// A folder with two batches in its journal, which is as long as what is written.
fn two_batches() -> (tempfile::TempDir, PathBuf, Vec<u8>, usize) {
    let dir = tempfile::tempdir().unwrap();
    let disk = open(dir.path());
    let mut end = 0;
    for attempt in ["first", "second"] {
        end = journal(dir.path()).1 as usize;
        disk.write(&[put_turn(attempt), crate::records::account_write(attempt, 5, 40)]).unwrap();
    }
    drop(disk);
    let (path, length) = journal(dir.path());
    fs::OpenOptions::new().write(true).open(&path).unwrap().set_len(length).unwrap();
    let bytes = fs::read(&path).unwrap();
    (dir, path, bytes, end)
}

type Loaded = Replaced<(crate::Stored, Vec<Damage>)>;

fn open_or_replace(dir: &Path) -> std::result::Result<Loaded, DiskError> {
    Disk::open_or_replace(dir, SPACES, || 8, load)
}

fn attempts(loaded: &Loaded) -> Vec<&str> {
    loaded.read.0.turns.iter().map(|turn| turn.attempt.as_str()).collect()
}

/// A copy of a folder.
fn copied(from: &Path) -> tempfile::TempDir {
    fn copy(from: &Path, to: &Path) {
        fs::create_dir_all(to).unwrap();
        for entry in fs::read_dir(from).unwrap() {
            let path = entry.unwrap().path();
            let to = to.join(path.file_name().unwrap());
            if path.is_dir() {
                copy(&path, &to);
            } else {
                fs::copy(&path, &to).unwrap();
            }
        }
    }
    let dir = tempfile::tempdir().unwrap();
    copy(from, dir.path());
    dir
}

#[gtest]
fn a_batch_that_a_loss_of_power_has_torn_is_cut_off() {
    // Given a last batch that ends early, or has a gap, at some of its bytes.
    let (dir, path, bytes, end) = two_batches();
    for cut in (end..bytes.len()).step_by(67).chain([end + 1, bytes.len() - 1]) {
        for zeros in [0, 5_000] {
            let mut torn = bytes[..cut].to_vec();
            torn.resize(cut + zeros, 0);
            fs::write(&path, torn).unwrap();
            let copy = copied(dir.path());
            let loaded = open_or_replace(copy.path()).unwrap();
            // Then what came before is there, and the disk is the same.
            expect_that!(loaded.lost.is_none(), eq(true), "cut at {cut}, {zeros} zeros");
            expect_that!(attempts(&loaded), eq(&vec!["first"]), "cut at {cut}, {zeros} zeros");
            expect_that!(loaded.disk.number(), eq(7));
        }
    }
}

#[gtest]
fn a_batch_with_a_write_missing_in_its_middle_is_cut_off() {
    // Given a long batch whose end is there, and of whose text a part is not.
    let dir = tempfile::tempdir().unwrap();
    let disk = open(dir.path());
    disk.write(&[put_turn("first")]).unwrap();
    let begin = journal(dir.path()).1 as usize;
    let long = Turn { input: Bytes::from(vec![b'x'; 40_000]), ..turn("long") };
    disk.write(&[crate::records::turn_write(&long)]).unwrap();
    drop(disk);
    let (path, _) = journal(dir.path());
    let mut bytes = fs::read(&path).unwrap();
    bytes[begin + 9_000..begin + 17_000].fill(0);
    fs::write(&path, bytes).unwrap();
    // Then the machine comes up with what it had synced.
    let loaded = open_or_replace(dir.path()).unwrap();
    expect_that!(loaded.lost.is_none(), eq(true));
    expect_that!(attempts(&loaded), eq(&vec!["first"]));
}

#[gtest]
fn a_journal_with_any_byte_changed_makes_another_disk_and_never_an_older_one() {
    let (dir, path, bytes, _) = two_batches();
    let (mut lost, mut whole) = (0, 0);
    for place in (0..bytes.len()).step_by(29) {
        let mut changed = bytes.clone();
        changed[place] ^= 0x20;
        fs::write(&path, changed).unwrap();
        let copy = copied(dir.path());
        let loaded = open_or_replace(copy.path()).unwrap();
        match &loaded.lost {
            // Then the folder is set aside, and the machine is one that lost its disk.
            Some(error) => {
                lost += 1;
                expect_that!(error.is_damage(), eq(true), "byte {place}");
                expect_that!(attempts(&loaded), is_empty());
                expect_that!(loaded.disk.number(), eq(8));
                expect_that!(copy.path().join(DAMAGED).exists(), eq(true));
            }
            // Or it was the number of a batch, which stays in its order.
            None => {
                whole += 1;
                expect_that!(attempts(&loaded), eq(&vec!["first", "second"]), "byte {place}");
                expect_that!(loaded.read.0.accounts.len(), eq(2));
            }
        }
    }
    println!("{lost} lost, {whole} whole");
    expect_that!(lost, gt(10 * whole));
}

#[gtest]
fn batches_out_of_their_order_are_damage() {
    // Given a first batch whose number is above that of the second.
    let (dir, path, mut bytes, _) = two_batches();
    bytes[5] = 0xff;
    fs::write(&path, bytes).unwrap();
    let loaded = open_or_replace(dir.path()).unwrap();
    expect_that!(matches!(loaded.lost, Some(DiskError::Journal { .. })), eq(true));
}

#[gtest]
fn any_file_with_changed_or_missing_bytes_is_told_and_nothing_false_is_read() {
    // Given a disk whose turns have gone to files, some of them large.
    let dir = tempfile::tempdir().unwrap();
    let large = |attempt: &str| Turn { input: Bytes::from(vec![b'x'; 3_000]), ..turn(attempt) };
    let written: Vec<Turn> = vec![turn("a"), large("b"), turn("c"), large("d")];
    {
        let disk = open(dir.path());
        let full = BackfillRecord { in_sync: vec![(1, [7].into())], damaged: false };
        disk.write(&written.iter().map(crate::records::turn_write).collect::<Vec<_>>()).unwrap();
        disk.write(&[full.write()]).unwrap();
        disk.space(TURNS).unwrap().rotate_memtable_and_wait().unwrap();
        disk.write(&[put_turn("late")]).unwrap();
    }
    let all = ["a", "b", "c", "d", "late"];
    let (path, length) = journal(dir.path());
    fs::OpenOptions::new().write(true).open(&path).unwrap().set_len(length).unwrap();
    let mut files = Vec::new();
    list_files(dir.path(), dir.path(), &mut files);
    let (mut harmed, mut told) = (0, 0);
    for file in files {
        let bytes = fs::read(dir.path().join(&file)).unwrap();
        let is_journal = file.extension().is_some_and(|extension| extension == "jnl");
        for part in 0..4_usize {
            let place = bytes.len() * part / 4;
            let mut changed = bytes.clone();
            match (part % 3, changed.is_empty()) {
                (_, true) => continue,
                // A journal that is cut looks as a loss of power leaves it.
                (0, _) if !is_journal => changed.truncate(place),
                (0, _) => changed[place] ^= 1,
                (1, _) => changed[place] ^= 0x80,
                _ => changed[place] = !changed[place],
            }
            harmed += 1;
            let copy = copied(dir.path());
            fs::write(copy.path().join(&file), changed).unwrap();
            let told_where = format!("{} at {place}", file.display());
            // Then it is refused as another version, or what is damaged is told, or nothing was.
            let loaded = match open_or_replace(copy.path()) {
                Ok(loaded) => loaded,
                Err(error) => {
                    told += 1;
                    println!("{told_where}: {error}");
                    continue;
                }
            };
            let damaged = loaded.lost.is_some() || !loaded.read.1.is_empty();
            told += usize::from(damaged);
            if !damaged {
                expect_that!(attempts(&loaded), eq(&all.to_vec()), "{told_where}");
            } else if loaded.lost.is_none() {
                expect_that!(loaded.read.0.backfill.damaged, eq(true), "{told_where}");
            }
            // And no turn has another text than it was given.
            for attempt in all {
                if let Payload::Present(held) = Payloads::get(&loaded.disk, attempt) {
                    let given = written.iter().find(|turn| turn.attempt == attempt).cloned();
                    expect_that!(held, eq(&given.unwrap_or_else(|| turn("late"))), "{told_where}");
                }
            }
        }
    }
    println!("{harmed} harmed, {told} told");
    expect_that!(harmed, gt(50));
    expect_that!(told, gt(0));
}

fn list_files(root: &Path, dir: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            list_files(root, &path, files);
        } else {
            files.push(path.strip_prefix(root).unwrap().to_owned());
        }
    }
}

#[gtest]
fn a_disk_that_is_set_aside_twice_keeps_the_last_one_only() {
    let dir = tempfile::tempdir().unwrap();
    for _ in 0..2 {
        put_raw(&open(dir.path()), OWN, NUMBER_KEY, b"?");
        let loaded = open_or_replace(dir.path()).unwrap();
        expect_that!(matches!(loaded.lost, Some(DiskError::Own { record: "number", .. })), eq(true));
        expect_that!(loaded.disk.number(), eq(8));
    }
    expect_that!(fs::read_dir(dir.path()).unwrap().count(), eq(2));
}

#[gtest]
fn a_record_of_another_version_is_refused_by_its_place_and_stays() {
    // Given a record that a later program wrote, with the checksum of its version.
    let dir = tempfile::tempdir().unwrap();
    let disk = open(dir.path());
    let mut later = vec![2];
    later.extend(checksum(2, b"later", b"text"));
    later.extend(b"text");
    put_raw(&disk, TURNS, b"later", &later);
    drop(disk);
    let told = open_or_replace(dir.path()).unwrap_err().to_string();
    expect_that!(
        told,
        eq("record \"later\" of keyspace `turns`: written in version 2, this program knows version 1")
    );
    expect_that!(raw(&open(dir.path()), TURNS, b"later"), eq(&Some(later)));
}

#[gtest]
fn a_folder_of_another_format_is_refused_and_not_replaced() {
    let dir = tempfile::tempdir().unwrap();
    open(dir.path()).write(&[Write::put(OWN, FORMAT_KEY, vec![9])]).unwrap();
    let told = open_or_replace(dir.path()).unwrap_err().to_string();
    let place = dir.path().join("records").display().to_string();
    expect_that!(told, eq(&format!("{place}: written in format 9, this program knows format 1")));
}

#[gtest]
fn every_record_with_any_byte_changed_or_cut_is_damaged() {
    let value = crate::records::encode(&turn("a"));
    let framed = frame(b"a", &value);
    expect_that!(unframe(b"a", &framed), eq(&Ok(&value[..])));
    for place in 0..framed.len() {
        expect_that!(matches!(unframe(b"a", &framed[..place]), Err(Fault::Damage(_))), eq(true));
        for bit in 0..8 {
            let mut changed = framed.clone();
            changed[place] ^= 1 << bit;
            expect_that!(matches!(unframe(b"a", &changed), Err(Fault::Damage(_))), eq(true));
        }
    }
}

#[gtest]
fn a_probe_leaves_nothing_and_tells_a_disk_that_refuses() {
    let dir = tempfile::tempdir().unwrap();
    Disk::probe(dir.path()).unwrap();
    expect_that!(fs::read_dir(dir.path()).unwrap().count(), eq(0));
    // Given a place where no file can be written.
    fs::create_dir(dir.path().join(PROBE)).unwrap();
    let error = Disk::probe(dir.path()).unwrap_err();
    expect_that!(error.may_pass(), eq(true));
    expect_that!(error.is_damage(), eq(false));
}

#[gtest]
fn a_damaged_folder_stays_in_its_place_while_the_disk_refuses() {
    // Given a damaged folder on a disk that takes no file: the engine may have broken off for lack of room alone.
    let (dir, path, whole, begin) = two_batches();
    let mut bytes = whole.clone();
    bytes[begin - 20] ^= 1;
    fs::write(&path, &bytes).unwrap();
    fs::create_dir(dir.path().join(PROBE)).unwrap();
    // When it is opened, then it is an error that may pass, and nothing is set aside.
    let error = open_or_replace(dir.path()).unwrap_err();
    expect_that!(error.may_pass(), eq(true), "{error}");
    expect_that!(fs::read(&path).unwrap(), eq(&bytes));
    // And once the disk takes files, it is.
    fs::remove_dir(dir.path().join(PROBE)).unwrap();
    expect_that!(open_or_replace(dir.path()).unwrap().lost, some(anything()));
}

#[gtest]
fn an_opening_writes_the_newest_journal_again_before_it_counts() {
    // Given a journal whose content may be in the system's cache alone, since a sync has failed.
    let (dir, path, whole, _) = two_batches();
    let long_ago = std::time::SystemTime::UNIX_EPOCH + std::time::Duration::from_secs(1);
    File::options().write(true).open(&path).unwrap().set_modified(long_ago).unwrap();
    // When it is synced for an opening, then it was written again, and is as it was.
    journal::sync_newest(&dir.path().join("records")).unwrap();
    expect_that!(fs::metadata(&path).unwrap().modified().unwrap(), gt(long_ago));
    expect_that!(fs::read(&path).unwrap() == whole, eq(true));
}
