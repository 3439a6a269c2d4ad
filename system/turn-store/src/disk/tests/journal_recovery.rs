//! What the look through the journals cuts off, and what it reports as damage.

use super::*;

#[gtest]
fn a_journal_cut_in_its_last_batch_keeps_what_came_before() {
    // Given two synced batches.
    let dir = tempfile::tempdir().unwrap();
    let (before, after) = {
        let disk = open(dir.path());
        disk.write(&[put_turn("first")]).unwrap();
        let before = disk.db.persist(PersistMode::SyncAll).map(|()| newest_journal(dir.path())).unwrap();
        disk.write(&[put_turn("second")]).unwrap();
        (before, newest_journal(dir.path()))
    };
    expect_that!(before.1 < after.1, eq(true));
    // When the last bytes of the second are lost.
    let file = fs::OpenOptions::new().write(true).open(&after.0).unwrap();
    file.set_len(after.1 - 3).unwrap();
    drop(file);
    // Then the first is there, and the second is not.
    let (stored, _) = load(&open(dir.path())).unwrap();
    expect_that!(
        stored.turns.iter().map(|turn| turn.attempt.as_str()).collect::<Vec<_>>(),
        eq(&vec!["first"])
    );
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
    let begin = newest_journal(dir.path()).1 as usize;
    let long = Turn { input: Bytes::from(vec![b'x'; 40_000]), ..turn("long") };
    disk.write(&[crate::records::turn_write(&long)]).unwrap();
    drop(disk);
    let (path, _) = newest_journal(dir.path());
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
    let (mut lost, mut intact) = (0, 0);
    for position in (0..bytes.len()).step_by(29) {
        let mut changed = bytes.clone();
        changed[position] ^= 0x20;
        fs::write(&path, changed).unwrap();
        let copy = copied(dir.path());
        let loaded = open_or_replace(copy.path()).unwrap();
        match &loaded.lost {
            // Then the directory is quarantined, and the machine is one that lost its disk.
            Some(error) => {
                lost += 1;
                expect_that!(error.is_damage(), eq(true), "byte {position}");
                expect_that!(attempts(&loaded), is_empty());
                expect_that!(loaded.disk.number(), eq(8));
                expect_that!(copy.path().join(QUARANTINE_DIRECTORY).exists(), eq(true));
            }
            // Or it was the number of a batch, which stays in its order.
            None => {
                intact += 1;
                expect_that!(attempts(&loaded), eq(&vec!["first", "second"]), "byte {position}");
                expect_that!(loaded.read.0.accounts.len(), eq(2));
            }
        }
    }
    println!("{lost} lost, {intact} intact");
    expect_that!(lost, gt(10 * intact));
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
fn an_opening_writes_the_newest_journal_again_before_it_counts() {
    // Given a journal whose content may be in the system's cache alone, since a sync has failed.
    let (dir, path, intact, _) = two_batches();
    let long_ago = std::time::SystemTime::UNIX_EPOCH + std::time::Duration::from_secs(1);
    File::options().write(true).open(&path).unwrap().set_modified(long_ago).unwrap();
    // When it is synced for an opening, then it was written again, and is as it was.
    journal::resync_newest(&dir.path().join("records")).unwrap();
    expect_that!(fs::metadata(&path).unwrap().modified().unwrap(), gt(long_ago));
    expect_that!(fs::read(&path).unwrap() == intact, eq(true));
}
