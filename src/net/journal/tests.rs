use super::*;
use message_sender::{Group, Repeat, Span};

const DISK_LIMIT: u64 = 3_000_000;

fn message(id: &str, body: usize) -> OutstandingMessage {
    let message = SubmittedMessage {
        id: id.to_owned(),
        class: "charge".to_owned(),
        tenant: None,
        key: None,
        idempotency_key: None,
        destination: 7,
        body: vec![b'x'; body].into(),
    };
    let second = Span(1_000_000);
    let class = Class {
        latency_target: second,
        deadline: Span(u64::MAX),
        value: 1.0,
        late_value: 0.5,
        repeat: Repeat::Keyed { group: Group::All, window: second },
        ordered: false,
    };
    OutstandingMessage::new(message, 1, class)
}

fn attempt(at: u64) -> Attempt {
    Attempt { at, zone: "a".to_owned() }
}

fn ids(journal: &Journal) -> Vec<&str> {
    journal.outstanding().map(|(_, entry)| entry.message.id.as_str()).collect()
}

/// Guards against losing, over a restart, which attempt may have executed first.
#[test]
fn a_reopened_journal_restores_the_progress_of_each_message() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(folder.path(), DISK_LIMIT).unwrap();
    let numbers: Vec<u32> = ["a", "b", "c"].map(|id| journal.accept(message(id, 10)).unwrap()).into();
    for at in [5, 6, 7] {
        journal.start_attempt(numbers[0], attempt(at)).unwrap();
        journal.complete_attempt(numbers[0], at > 5).unwrap();
    }
    journal.start_attempt(numbers[1], attempt(8)).unwrap();
    journal.complete(numbers[2]).unwrap();
    drop(journal);
    let (mut journal, damage) = Journal::open(folder.path(), DISK_LIMIT).unwrap();
    assert_eq!((ids(&journal), damage), (vec!["a", "b"], Damage::default()));
    let a = journal.get(numbers[0]).unwrap();
    assert_eq!((a.attempts, &a.first_execution, &a.out), (3, &Some(attempt(6)), &None));
    assert_eq!(journal.get(numbers[1]).unwrap().out, Some(attempt(8)));
    assert!(journal.accept(message("d", 1)).unwrap() > numbers[1]);
}

/// Guards against a start that fails or loses intact records because of a torn tail or a damaged middle.
#[test]
fn damage_loses_only_the_damaged_record() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(folder.path(), DISK_LIMIT).unwrap();
    let mut ends = vec![];
    for id in ["a", "b", "c"] {
        journal.accept(message(id, 100)).unwrap();
        ends.push(journal.length as usize);
    }
    let path = journal.path.clone();
    drop(journal);
    let intact = std::fs::read(&path).unwrap();
    for cut in ends[1] + 1..intact.len() {
        std::fs::write(&path, &intact[..cut]).unwrap();
        let (mut journal, damage) = Journal::open(folder.path(), DISK_LIMIT).unwrap();
        assert_eq!((ids(&journal), damage.torn), (vec!["a", "b"], cut - ends[1]));
        journal.accept(message("d", 1)).unwrap();
        drop(journal);
        let (journal, damage) = Journal::open(folder.path(), DISK_LIMIT).unwrap();
        assert_eq!((ids(&journal), damage), (vec!["a", "b", "d"], Damage::default()));
    }
    for at in ends[0]..ends[1] {
        let mut bytes = intact.clone();
        bytes[at] ^= 0x55;
        std::fs::write(&path, &bytes).unwrap();
        let (journal, damage) = Journal::open(folder.path(), DISK_LIMIT).unwrap();
        assert_eq!((ids(&journal), damage.skipped), (vec!["a", "c"], ends[1] - ends[0]), "byte {at}");
    }
}

/// Guards against miscounting a message's attempts when the disk accepts no more records.
#[test]
fn an_unwritten_attempt_is_an_error_and_still_counts() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(folder.path(), DISK_LIMIT).unwrap();
    let number = journal.accept(message("a", 10)).unwrap();
    journal.file = File::open(&journal.path).unwrap();
    folder.close().unwrap();
    assert!(journal.start_attempt(number, attempt(5)).is_err());
    assert!(journal.complete_attempt(number, false).is_err());
    let entry = journal.get(number).unwrap();
    assert_eq!((entry.attempts, &entry.first_execution, &entry.out), (1, &None, &None));
    assert!(journal.accept(message("b", 10)).is_err());
    assert_eq!(ids(&journal), ["a"]);
}

/// Guards against a folder over its limit: the journal is compacted in time, and refuses messages before compaction
/// can no longer help.
#[test]
fn the_folder_stays_well_below_its_limit() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(folder.path(), DISK_LIMIT).unwrap();
    let size = || {
        let files = std::fs::read_dir(folder.path()).unwrap();
        files.map(|file| file.unwrap().metadata().unwrap().len()).sum::<u64>()
    };
    for n in 0..500 {
        let number = journal.accept(message(&n.to_string(), 50_000)).unwrap();
        journal.complete(number).unwrap();
        assert!(size() < DISK_LIMIT / 2, "{}", size());
    }
    let mut accepted = 0;
    while journal.accept(message(&format!("m{accepted}"), 50_000)).is_ok() {
        accepted += 1;
        assert!(accepted < 100);
    }
    assert!(accepted > 5 && size() < DISK_LIMIT / 2, "{accepted} accepted, {} bytes", size());
    drop(journal);
    let (journal, _) = Journal::open(folder.path(), DISK_LIMIT).unwrap();
    assert_eq!(journal.outstanding().count(), accepted);
}

/// Guards against a message whose class changes over a restart, and against losing messages from journals of versions
/// that did not store the class.
#[test]
fn a_message_keeps_its_class_over_restarts_and_compactions() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(folder.path(), DISK_LIMIT).unwrap();
    let new = journal.accept(message("new", 10)).unwrap();
    let old = journal.accept(OutstandingMessage { class: None, ..message("old", 10) }).unwrap();
    for _ in 0..2 {
        journal.compact();
        drop(journal);
        journal = Journal::open(folder.path(), DISK_LIMIT).unwrap().0;
        assert_eq!(journal.get(new).unwrap().class, message("new", 10).class);
        assert_eq!(journal.get(old).unwrap().class, None);
    }
}

/// Guards against an exclusion that a restart or a compaction loses, or one that persists after its end.
#[test]
fn exclusions_survive_restarts_and_compactions() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(folder.path(), DISK_LIMIT).unwrap();
    for id in ["s-1", "s-1", "s-2"] {
        journal.exclude(id).unwrap();
    }
    journal.include("s-2").unwrap();
    let before = journal.length;
    for compacts in [false, true] {
        drop(journal);
        journal = Journal::open(folder.path(), DISK_LIMIT).unwrap().0;
        assert!(journal.is_excluded("s-1") && !journal.is_excluded("s-2"));
        if !compacts {
            journal.compact();
            assert!(journal.length < before, "compaction shortens the file");
        }
    }
    journal.include("s-1").unwrap();
    drop(journal);
    let (journal, _) = Journal::open(folder.path(), DISK_LIMIT).unwrap();
    assert_eq!((journal.is_excluded("s-1"), journal.outstanding_bytes), (false, 0));
}

/// Guards against refusing messages although the journal has space (case6025): the maximum number of pending messages
/// fits at their usual size, and the folder stays within its limit during compaction.
#[test]
fn a_thousand_usual_messages_fit() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(folder.path(), DISK_LIMIT).unwrap();
    for n in 0..1_000u64 {
        let mut entry = message(&format!("{n:016}"), 500);
        entry.message.idempotency_key = Some(format!("{n:032}"));
        let number = journal.accept(entry).unwrap_or_else(|e| panic!("message {n}: {e}"));
        for at in 0..8 {
            journal.start_attempt(number, attempt(u64::MAX - at)).unwrap();
            journal.complete_attempt(number, true).unwrap();
            assert!(
                journal.length + journal.outstanding_bytes < DISK_LIMIT,
                "{} and {}",
                journal.length,
                journal.outstanding_bytes
            );
        }
    }
    let written: u64 = journal
        .outstanding
        .iter()
        .map(|(number, entry)| acceptance_frame(*number, entry, vec![]).unwrap().len() as u64)
        .sum();
    assert!(written <= journal.outstanding_bytes, "{written} bytes, accounted {}", journal.outstanding_bytes);
}

/// Guards against a folder over its limit when compaction fails (case5360: no descriptor was left for the new file):
/// the journal stops growing, refuses messages, and accepts them again once compaction succeeds.
#[test]
fn a_journal_that_cannot_be_compacted_stops_growing() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(folder.path(), DISK_LIMIT).unwrap();
    std::fs::create_dir(journal.compacted_path()).unwrap();
    let mut refused = 0;
    for n in 0..8_000 {
        match journal.accept(message(&n.to_string(), 500)) {
            Ok(number) => drop(journal.complete(number)),
            Err(_) => refused += 1,
        }
        let length = std::fs::metadata(&journal.path).unwrap().len();
        assert!(length + journal.outstanding_bytes < DISK_LIMIT, "{length} bytes after {n} messages");
    }
    assert!(refused > 0);
    std::fs::remove_dir(journal.compacted_path()).unwrap();
    assert!(journal.accept(message("one", 500)).is_err(), "the file is compacted only now");
    journal.accept(message("two", 500)).unwrap();
    assert_eq!(ids(&journal), ["two"]);
}

fn recorded(name: &str) -> Vec<u8> {
    std::fs::read(format!("{}/tests/recorded/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

/// Writes a record of each kind, and leaves a message in each state.
fn write_all(journal: &mut Journal) {
    let full = message("full", 40);
    let names = SubmittedMessage {
        tenant: Some("tenant".to_owned()),
        key: Some("key".to_owned()),
        idempotency_key: Some("once".to_owned()),
        ..full.message.clone()
    };
    let full = OutstandingMessage { message: names, deadline: 1 << 40, ..full };
    let former = OutstandingMessage { class: None, ..message("former", 3) };
    let [full, former] = [full, former].map(|entry| journal.accept(entry).unwrap());
    let [safe, failed, over] = ["safe", "failed", "over"].map(|id| {
        let entry = message(id, 2);
        let class = Class { repeat: Repeat::Safe, ordered: true, ..entry.class.unwrap() };
        journal.accept(OutstandingMessage { class: Some(class), ..entry }).unwrap()
    });
    for at in [300, 301] {
        journal.start_attempt(full, attempt(at)).unwrap();
        journal.complete_attempt(full, at > 300).unwrap();
    }
    journal.start_attempt(full, Attempt { at: 1 << 50, zone: "other".to_owned() }).unwrap();
    journal.start_attempt(former, attempt(302)).unwrap();
    journal.end(safe, FinalOutcome::Returned(Some(7_000))).unwrap();
    journal.end(failed, FinalOutcome::Failed).unwrap();
    journal.complete(over).unwrap();
    for id in ["endpoint-1", "endpoint-2"] {
        journal.exclude(id).unwrap();
    }
    journal.include("endpoint-1").unwrap();
}

/// Guards against a format change: after an upgrade, the new version reads the journal of the earlier one.
#[test]
fn the_journal_format_matches_the_recorded_files() {
    let folders = [(); 2].map(|()| tempfile::tempdir().unwrap());
    let [before, fresh] = folders.each_ref().map(|folder| folder.path().join("messages.wal"));
    // A recorded journal, and one that is written now.
    std::fs::write(&before, recorded("messages.wal")).unwrap();
    let (mut written, _) = Journal::open(folders[1].path(), DISK_LIMIT).unwrap();
    write_all(&mut written);
    // Both have the same bytes and the same meaning.
    assert_eq!(std::fs::read(&fresh).unwrap(), recorded("messages.wal"));
    let (mut read, damage) = Journal::open(folders[0].path(), DISK_LIMIT).unwrap();
    assert_eq!(damage, Damage::default());
    assert_eq!(read.outstanding().collect::<Vec<_>>(), written.outstanding().collect::<Vec<_>>());
    assert_eq!(ids(&read), ["full", "former", "safe", "failed"]);
    assert_eq!(read.get(3).unwrap().end, Some(FinalOutcome::Failed));
    assert!(read.is_excluded("endpoint-2") && !read.is_excluded("endpoint-1"));
    // So do both after compaction.
    read.compact();
    assert_eq!(std::fs::read(&before).unwrap(), recorded("messages-compacted.wal"));
    let (again, damage) = Journal::open(folders[0].path(), DISK_LIMIT).unwrap();
    assert_eq!(damage, Damage::default());
    assert_eq!(again.outstanding().collect::<Vec<_>>(), written.outstanding().collect::<Vec<_>>());
}
