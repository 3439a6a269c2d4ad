//! Records that earlier versions wrote are read as they meant them, and written again by the same bytes.
use super::*;
use crate::roster::{Farewell, Info};
use omnipaxos::ClusterConfig;

/// Recorded records, a line each: a word on it, and its bytes in hexadecimal digits.
fn recorded() -> Vec<Vec<u8>> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded/disk.txt");
    let text = std::fs::read_to_string(path).unwrap();
    let byte = |pair: &[u8]| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap();
    let bytes = |line: &str| line.split_once(' ').unwrap().1.as_bytes().chunks(2).map(byte).collect();
    text.lines().map(bytes).collect()
}

fn info(name: &str) -> Info {
    Info {
        name: name.to_owned(),
        zone: "zone".to_owned(),
        machine: "machine".to_owned(),
        version: "0.1.0".to_owned(),
        address: "127.0.0.1:9000".parse().unwrap(),
    }
}

/// A step of every kind.
fn changes() -> Vec<Change> {
    let mut changes = vec![
        Change::Start { folder: 5, incarnation: 2, boot: 1 << 60, info: info("five") },
        Change::Leaving { folder: 1 },
        Change::Keepers { group: 2, folders: vec![3, 2, 1] },
    ];
    let why = [Farewell::Left, Farewell::Removed, Farewell::Replaced];
    changes.extend(why.into_iter().zip(2..).map(|(why, folder)| Change::Farewell { folder, why }));
    changes
}

/// A roster with members and former members.
fn roster() -> Roster {
    let founders =
        (1..=4).map(|folder| (folder, 300 + folder as u32, folder << 40, info(&folder.to_string())));
    let mut roster = Roster::found(0x0123_4567_89ab_cdef, 1, founders.collect());
    changes().into_iter().for_each(|change| roster.apply(change));
    roster
}

fn ballot(n: u32) -> Ballot {
    Ballot::with(7, n, 8, 9)
}

fn stop() -> StopSign {
    let next = ClusterConfig { configuration_id: 3, nodes: vec![1, 2, 3], flexible_quorum: None };
    StopSign::with(next, Some(vec![4, 5]))
}

fn state() -> State {
    let keeper = KeeperState {
        group: 2,
        log: changes(),
        promised: Some(ballot(10)),
        decided: 4,
        round: Some(ballot(11)),
        stop: Some(stop()),
    };
    State { folder: 77, incarnation: 6, promise: Some(88), roster: Some(roster()), keeper: Some(keeper) }
}

/// A record of every kind.
fn records() -> Vec<Record> {
    let keeper = [
        KeeperRecord::Began(4),
        KeeperRecord::Accepted(300, changes()),
        KeeperRecord::Promised(ballot(1)),
        KeeperRecord::Decided(301),
        KeeperRecord::Round(ballot(2)),
        KeeperRecord::Stop(Some(stop())),
        KeeperRecord::Stop(None),
    ];
    let mut records = vec![
        Record::Folder(u64::MAX),
        Record::Incarnation(70_000),
        Record::Promise(3),
        Record::Roster(Box::new(roster())),
        Record::Whole(Box::new(state())),
        Record::Whole(Box::default()),
    ];
    records.extend(changes().into_iter().zip(500..).map(|(change, number)| Record::Step(number, change)));
    records.extend(keeper.map(Record::Keeper));
    records
}

#[test]
fn records_of_the_fleet_written_before_are_read_and_written_alike() {
    let recorded = recorded();
    assert_eq!(recorded.len(), records().len());
    for (record, bytes) in records().into_iter().zip(recorded) {
        assert_eq!(postcard::from_bytes::<Record>(&bytes).as_ref(), Ok(&record));
        assert_eq!(postcard::to_allocvec(&record).unwrap(), bytes, "{record:?}");
    }
}
