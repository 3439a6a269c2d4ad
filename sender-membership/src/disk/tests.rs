//! Compatibility with records on disk: records of earlier versions decode to the same values and encode to the same bytes.
use super::*;
use crate::member_list::{Departure, Info};
use omnipaxos::ClusterConfig;

/// Reads the recorded records. Each line has a label, a space and the bytes in hexadecimal.
fn recorded() -> Vec<Vec<u8>> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded/disk.txt");
    let text = std::fs::read_to_string(path).unwrap();
    let parse_byte = |pair: &[u8]| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap();
    let parse_line =
        |line: &str| line.split_once(' ').unwrap().1.as_bytes().chunks(2).map(parse_byte).collect();
    text.lines().map(parse_line).collect()
}

fn member_info(name: &str) -> Info {
    Info {
        name: name.to_owned(),
        zone: "zone".to_owned(),
        machine: "machine".to_owned(),
        version: "0.1.0".to_owned(),
        address: "127.0.0.1:9000".parse().unwrap(),
    }
}

/// A change of every kind.
fn changes() -> Vec<Change> {
    let mut changes = vec![
        Change::Start { folder: 5, incarnation: 2, boot: 1 << 60, info: member_info("five") },
        Change::Leaving { folder: 1 },
        Change::Voters { group: 2, folders: vec![3, 2, 1] },
    ];
    let reasons = [Departure::Left, Departure::Removed, Departure::Replaced];
    changes.extend(reasons.into_iter().zip(2..).map(|(why, folder)| Change::Departure { folder, why }));
    changes
}

/// A member list with current and departed members.
fn member_list() -> MemberList {
    let founders =
        (1..=4).map(|folder| (folder, 300 + folder as u32, folder << 40, member_info(&folder.to_string())));
    let mut member_list = MemberList::with_founders(0x0123_4567_89ab_cdef, 1, founders.collect());
    changes().into_iter().for_each(|change| member_list.apply(change));
    member_list
}

fn ballot(number: u32) -> Ballot {
    Ballot::with(7, number, 8, 9)
}

fn stop_sign() -> StopSign {
    let next = ClusterConfig { configuration_id: 3, nodes: vec![1, 2, 3], flexible_quorum: None };
    StopSign::with(next, Some(vec![4, 5]))
}

fn state() -> State {
    let voter = VoterState {
        group: 2,
        log: changes(),
        promised: Some(ballot(10)),
        decided_count: 4,
        accepted_ballot: Some(ballot(11)),
        stop_sign: Some(stop_sign()),
    };
    State {
        folder: 77,
        incarnation: 6,
        promise: Some(88),
        member_list: Some(member_list()),
        voter: Some(voter),
    }
}

/// A record of every kind.
fn records() -> Vec<Record> {
    let voter_records = [
        VoterRecord::GroupStarted(4),
        VoterRecord::Accepted(300, changes()),
        VoterRecord::Promised(ballot(1)),
        VoterRecord::Decided(301),
        VoterRecord::AcceptedBallot(ballot(2)),
        VoterRecord::Stop(Some(stop_sign())),
        VoterRecord::Stop(None),
    ];
    let mut records = vec![
        Record::Folder(u64::MAX),
        Record::Incarnation(70_000),
        Record::Promise(3),
        Record::MemberList(Box::new(member_list())),
        Record::Whole(Box::new(state())),
        Record::Whole(Box::default()),
    ];
    records.extend(changes().into_iter().zip(500..).map(|(change, number)| Record::Change(number, change)));
    records.extend(voter_records.map(Record::Voter));
    records
}

#[test]
fn recorded_records_decode_and_encode_unchanged() {
    let recorded = recorded();
    assert_eq!(recorded.len(), records().len());
    for (record, bytes) in records().into_iter().zip(recorded) {
        assert_eq!(postcard::from_bytes::<Record>(&bytes).as_ref(), Ok(&record));
        assert_eq!(postcard::to_allocvec(&record).unwrap(), bytes, "{record:?}");
    }
}
