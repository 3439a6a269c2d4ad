//! Records that are damaged, of another version, or refused when they are written.

use super::*;

#[gtest]
fn damaged_records_are_reported_and_quarantined_and_the_replica_is_out_of_sync() {
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
    let (stored, damaged) = load(&disk).unwrap();
    // Then the good one is there, the others are reported.
    let reported: Vec<_> =
        damaged.iter().map(|damage| (&damage.key[..], damage.reason.to_string())).collect();
    expect_that!(
        stored.turns.iter().map(|turn| turn.attempt.as_str()).collect::<Vec<_>>(),
        eq(&vec!["good"])
    );
    expect_that!(
        reported,
        eq(&vec![
            (&b"cut"[..], "cut short".to_owned()),
            (b"flipped", "wrong checksum".to_owned()),
            (b"moved", "wrong checksum".to_owned()),
            (b"other", "version 2 of a record".to_owned()),
            (b"short", "a key too short".to_owned()),
        ])
    );
    expect_that!(stored.backfill, eq(&BackfillRecord { in_sync: vec![], damaged: true }));
    // And they are kept aside as they were, and the store stays not full over a reopening.
    expect_that!(raw(&disk, QUARANTINE, b"turns/flipped"), eq(&Some(flipped)));
    drop(disk);
    let disk = open(dir.path());
    let (stored, damaged) = load(&disk).unwrap();
    expect_that!(damaged, is_empty());
    expect_that!(stored.backfill.damaged, eq(true));
    expect_that!(raw(&disk, STATE, b"fill").is_some(), eq(true));
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
fn keys_of_invalid_length_are_errors() {
    let dir = tempfile::tempdir().unwrap();
    let disk = open(dir.path());
    expect_that!(matches!(disk.write(&[Write::put(STATE, "", "1")]), Err(DiskError::KeyLength(0))), eq(true));
    expect_that!(disk.write(&[Write::put(STATE, vec![1; 70_000], "1")]).is_err(), eq(true));
    expect_that!(matches!(disk.get("nowhere", b"k"), Err(DiskError::UnknownKeyspace("nowhere"))), eq(true));
}

#[gtest]
fn a_turn_that_becomes_unreadable_while_running_requires_a_backfill() {
    // Given a lone store that is full and holds a turn.
    let dir = tempfile::tempdir().unwrap();
    let disk = open(dir.path());
    let full = BackfillRecord { in_sync: vec![(1, [7].into())], damaged: false };
    disk.write(&[put_turn("a"), full.write()]).unwrap();
    let (stored, _) = load(&disk).unwrap();
    let mut state = ReplicaState::new(0, 7, 0, stored);
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
    disk.keyspace(TURNS).unwrap().rotate_memtable_and_wait().unwrap();
    // When one is removed, and the bytes of another change in its file.
    disk.write(&[Write::remove(TURNS, "a")]).unwrap();
    expect_that!(Payloads::get(&disk, "b"), eq(&Payload::Present(large("b"))));
    drop(disk);
    let changed = change_value(&dir.path().join("records/keyspaces"), b"\x01b");
    expect_that!(changed, eq(1));
    // Then the first is gone, the second is reported, and the third is whole.
    let disk = open(dir.path());
    let (_, damaged) = load(&disk).unwrap();
    expect_that!(damaged.iter().map(|damage| damage.keyspace).collect::<Vec<_>>(), eq(&vec![TURNS]));
    expect_that!(Payloads::get(&disk, "a"), eq(&Payload::Pending));
    expect_that!(Payloads::get(&disk, "b"), eq(&Payload::Lost));
    expect_that!(Payloads::get(&disk, "c"), eq(&Payload::Present(large("c"))));
}

#[gtest]
fn any_file_with_changed_or_missing_bytes_is_reported_and_no_wrong_record_is_read() {
    // Given a disk whose turns have gone to files, some of them large.
    let dir = tempfile::tempdir().unwrap();
    let large = |attempt: &str| Turn { input: Bytes::from(vec![b'x'; 3_000]), ..turn(attempt) };
    let written: Vec<Turn> = vec![turn("a"), large("b"), turn("c"), large("d")];
    {
        let disk = open(dir.path());
        let full = BackfillRecord { in_sync: vec![(1, [7].into())], damaged: false };
        disk.write(&written.iter().map(crate::records::turn_write).collect::<Vec<_>>()).unwrap();
        disk.write(&[full.write()]).unwrap();
        disk.keyspace(TURNS).unwrap().rotate_memtable_and_wait().unwrap();
        disk.write(&[put_turn("late")]).unwrap();
    }
    let all = ["a", "b", "c", "d", "late"];
    let (path, length) = newest_journal(dir.path());
    fs::OpenOptions::new().write(true).open(&path).unwrap().set_len(length).unwrap();
    let mut files = Vec::new();
    list_files(dir.path(), dir.path(), &mut files);
    let (mut harmed, mut reported) = (0, 0);
    for file in files {
        let bytes = fs::read(dir.path().join(&file)).unwrap();
        let is_journal = file.extension().is_some_and(|extension| extension == "jnl");
        for part in 0..4_usize {
            let position = bytes.len() * part / 4;
            let mut changed = bytes.clone();
            match (part % 3, changed.is_empty()) {
                (_, true) => continue,
                // A journal that is cut looks as a loss of power leaves it.
                (0, _) if !is_journal => changed.truncate(position),
                (0, _) => changed[position] ^= 1,
                (1, _) => changed[position] ^= 0x80,
                _ => changed[position] = !changed[position],
            }
            harmed += 1;
            let copy = copied(dir.path());
            fs::write(copy.path().join(&file), changed).unwrap();
            let report_context = format!("{} at {position}", file.display());
            // Then it is refused as another version, or what is damaged is reported, or nothing was.
            let loaded = match open_or_replace(copy.path()) {
                Ok(loaded) => loaded,
                Err(error) => {
                    reported += 1;
                    println!("{report_context}: {error}");
                    continue;
                }
            };
            let damaged = loaded.lost.is_some() || !loaded.read.1.is_empty();
            reported += usize::from(damaged);
            if !damaged {
                expect_that!(attempts(&loaded), eq(&all.to_vec()), "{report_context}");
            } else if loaded.lost.is_none() {
                expect_that!(loaded.read.0.backfill.damaged, eq(true), "{report_context}");
            }
            // And no turn has another text than it was given.
            for attempt in all {
                if let Payload::Present(held) = Payloads::get(&loaded.disk, attempt) {
                    let given = written.iter().find(|turn| turn.attempt == attempt).cloned();
                    expect_that!(held, eq(&given.unwrap_or_else(|| turn("late"))), "{report_context}");
                }
            }
        }
    }
    println!("{harmed} harmed, {reported} told");
    expect_that!(harmed, gt(50));
    expect_that!(reported, gt(0));
}

#[gtest]
fn a_file_that_is_missing_or_empty_keeps_a_storage_machine_from_starting() {
    let dir = tempfile::tempdir().unwrap();
    {
        let disk = open(dir.path());
        disk.write(&[put_turn("a")]).unwrap();
        disk.keyspace(TURNS).unwrap().rotate_memtable_and_wait().unwrap();
        disk.write(&[put_turn("late")]).unwrap();
    }
    let mut files = Vec::new();
    list_files(dir.path(), dir.path(), &mut files);
    for file in &files {
        for is_missing in [true, false] {
            let copy = copied(dir.path());
            let path = copy.path().join(file);
            if is_missing {
                fs::remove_file(path).unwrap()
            } else {
                fs::write(path, b"").unwrap()
            }
            let opened = open_or_replace(copy.path()).map(|_| ());
            expect_that!(opened, ok(anything()), "{} missing: {is_missing}", file.display());
        }
    }
    expect_that!(files.len(), gt(5));
}

#[gtest]
fn a_record_of_another_version_is_refused_by_its_path_and_stays() {
    // Given a record that a later program wrote, with the checksum of its version.
    let dir = tempfile::tempdir().unwrap();
    let disk = open(dir.path());
    let mut later = vec![2];
    later.extend(checksum(2, b"later", b"text"));
    later.extend(b"text");
    put_raw(&disk, TURNS, b"later", &later);
    drop(disk);
    let reported = open_or_replace(dir.path()).unwrap_err().to_string();
    expect_that!(
        reported,
        eq("record \"later\" of keyspace `turns`: written in version 2, this program knows version 1")
    );
    expect_that!(raw(&open(dir.path()), TURNS, b"later"), eq(&Some(later)));
}

#[gtest]
fn every_record_with_any_byte_changed_or_cut_is_damaged() {
    let value = crate::records::encode(&turn("a"));
    let framed = frame(b"a", &value);
    expect_that!(unframe(b"a", &framed), eq(&Ok(&value[..])));
    for position in 0..framed.len() {
        expect_that!(matches!(unframe(b"a", &framed[..position]), Err(Fault::Damaged(_))), eq(true));
        for bit in 0..8 {
            let mut changed = framed.clone();
            changed[position] ^= 1 << bit;
            expect_that!(matches!(unframe(b"a", &changed), Err(Fault::Damaged(_))), eq(true));
        }
    }
}
