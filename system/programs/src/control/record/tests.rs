//! What a keeper starts with after its disk was harmed, and how much of the disk it takes.

use super::*;
use bytes::Bytes;
use config_register::{Acceptor, AcceptorRecord, VoterState, founding_record};
use controllers::{ConfigVerdict, put_config};
use fleet_model::{
    AcceptedValue, Ballot, CommittedVersion, ControlState, Lease, RegisterReply, RegisterRequest,
    RegisterValue,
};
use googletest::prelude::*;
use std::fs;
use std::path::PathBuf;

mod recorded;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn seeds() -> Vec<Ipv4Addr> {
    vec![ip(1), ip(2), ip(3)]
}

fn open(folder: &Path, first_start: bool, me: Ipv4Addr) -> Result<Opened, StartError> {
    read_initial_state(RecordLog::open(folder)?, folder, first_start, me, &seeds())
}

fn open_as(folder: &Path, first_start: bool, me: Ipv4Addr) -> Opened {
    open(folder, first_start, me).unwrap()
}

fn wait<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(future)
}

fn put(durable: &Durable, record: &AcceptorRecord) {
    wait(durable.put(record)).unwrap();
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: ip(2).into(), incarnation: 0x1234_5678_9abc_def0 }
}

fn state(version: u64, config: usize) -> ControlState {
    let fence = Lease { token: 3, holder: Some(ip(2)) };
    ControlState {
        config: vec![b'c'; config].into(),
        committed: vec![CommittedVersion { version, digest: [7; 32] }],
        leases: [("list".to_owned(), fence)].into(),
        ..ControlState::default()
    }
}

fn accepted(round: u64, state: &ControlState) -> AcceptedValue {
    let payload = Bytes::from(postcard::to_allocvec(state).unwrap());
    AcceptedValue { ballot: ballot(round), value: RegisterValue { epoch: 0, voters: seeds(), payload } }
}

fn voted(round: u64) -> AcceptorRecord {
    AcceptorRecord {
        promised: ballot(round),
        accepted: Some(accepted(round, &state(round, 60))),
        ..founding_record(seeds())
    }
}

/// A folder in which a voter has accepted under rounds 1 and 2, and its file.
fn voted_twice() -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let opened = open_as(folder.path(), true, ip(1));
    for round in [1, 2] {
        put(&opened.durable, &voted(round));
    }
    drop(opened);
    let path = folder.path().join("record.1");
    (folder, path)
}

#[googletest::test]
fn a_first_start_founds_and_an_empty_disk_later_is_unfit() {
    let folder = tempfile::tempdir().unwrap();
    let begins = |first_start, me| open_as(folder.path(), first_start, me).initial_state;
    expect_that!(begins(true, ip(1)), eq(&InitialState::New(founding_record(seeds()))));
    expect_that!(
        matches!(begins(true, ip(9)), InitialState::New(record) if record.accepted.is_none()),
        eq(true)
    );
    expect_that!(begins(false, ip(1)), eq(&InitialState::Recovering));
}

#[googletest::test]
fn a_record_with_any_byte_changed_is_lost_and_never_a_first_start() {
    let (_folder, path) = voted_twice();
    let whole = fs::read(&path).unwrap();
    for place in 0..whole.len() {
        let (folder, path) = voted_twice();
        let mut bytes = whole.clone();
        bytes[place] ^= 1 << (place % 8);
        fs::write(path, bytes).unwrap();
        // Given settings that still tell of a first start, then it is unfit, or has what it promised last.
        let opened = open_as(folder.path(), true, ip(1));
        match &opened.initial_state {
            InitialState::Existing(record) => expect_that!(*record, eq(&voted(2)), "byte {place}"),
            other => expect_that!(*other, eq(&InitialState::Recovering), "byte {place}"),
        }
        expect_that!(opened.damages, ge(1));
        drop(opened);
        // And an unfit one stays so in its next life.
        let again = open_as(folder.path(), true, ip(1)).initial_state;
        expect_that!(matches!(again, InitialState::New(_)), eq(false), "byte {place}");
    }
}

#[googletest::test]
fn a_record_cut_anywhere_is_never_a_first_start() {
    let (_folder, path) = voted_twice();
    let whole = fs::read(&path).unwrap();
    for cut in 0..whole.len() {
        let (folder, path) = voted_twice();
        fs::write(path, &whole[..cut]).unwrap();
        let initial_state = open_as(folder.path(), true, ip(1)).initial_state;
        let is_former = initial_state == InitialState::Existing(voted(1));
        expect_that!(is_former || initial_state == InitialState::Recovering, eq(true), "cut at {cut}");
    }
}

#[googletest::test]
fn a_damaged_voter_promises_nothing_until_it_is_restored() {
    // Given a voter whose newest record is damaged.
    let (folder, path) = voted_twice();
    let mut bytes = fs::read(&path).unwrap();
    let last = bytes.len() - 10;
    bytes[last] ^= 1;
    fs::write(path, bytes).unwrap();
    let opened = open_as(folder.path(), false, ip(1));
    expect_that!(opened.initial_state, eq(&InitialState::Recovering));
    // Then it answers as one that lost its disk.
    let mut acceptor = Acceptor::recovering();
    let reply = acceptor.handle(&RegisterRequest::Prepare(ballot(9))).reply;
    expect_that!(reply, eq(&RegisterReply::Recovering));
    // And what it is restored with is there in its next life.
    put(&opened.durable, &voted(5));
    drop(opened);
    expect_that!(open_as(folder.path(), false, ip(1)).initial_state, eq(&InitialState::Existing(voted(5))));
}

#[googletest::test]
fn a_whole_record_that_is_none_of_this_programs_is_refused_by_its_place() {
    let folder = tempfile::tempdir().unwrap();
    let opened = open_as(folder.path(), true, ip(1));
    wait(opened.durable.put(&(voted(1), 5_u8))).unwrap();
    drop(opened);
    let told = open(folder.path(), true, ip(1)).err().unwrap().to_string();
    expect_that!(told, contains_substring(folder.path().display().to_string()));
    expect_that!(told, contains_substring("1 bytes too many"));
}

#[googletest::test]
fn given_a_record_from_before_lives_had_nonces_when_read_then_it_is_kept_and_written_anew() {
    // Given records as the first form had them: ballots of a round and a proposer alone.
    let proposer = u32::from(ip(2));
    let value = accepted(6, &state(6, 60)).value;
    let kept =
        ((7_u64, proposer), Some(((6_u64, proposer), value.clone())), VoterState::Voter, Some(value.clone()));
    let founding =
        ((0_u64, 0_u32), None::<((u64, u32), RegisterValue)>, VoterState::NonVoter, None::<RegisterValue>);
    let folder = tempfile::tempdir().unwrap();
    let opened = open_as(folder.path(), true, ip(1));
    wait(opened.durable.put(&kept)).unwrap();
    drop(opened);
    // When the folder is opened, then the promise and the value are there.
    let opened = open_as(folder.path(), false, ip(1));
    let without_nonce = |round| Ballot { round, proposer, incarnation: 0 };
    let record = AcceptorRecord {
        promised: without_nonce(7),
        accepted: Some(AcceptedValue { ballot: without_nonce(6), value: value.clone() }),
        voter_state: VoterState::Voter,
        chosen_voters: Some(value),
    };
    expect_that!(opened.initial_state, eq(&InitialState::Existing(record.clone())));
    // And what is written next is of the present form.
    put(&opened.durable, &record);
    drop(opened);
    expect_that!(
        open_as(folder.path(), false, ip(1)).initial_state,
        eq(&InitialState::Existing(record.clone()))
    );
    // The forms are told apart by how they begin, whatever the first promise was.
    let form = |bytes: Vec<u8>| RecordFormat::detect(&bytes);
    expect_that!(form(postcard::to_allocvec(&record).unwrap()), eq(RecordFormat::Current));
    expect_that!(form(postcard::to_allocvec(&founding).unwrap()), eq(RecordFormat::V1));
    expect_that!(form(postcard::to_allocvec(&(u64::MAX, u32::MAX)).unwrap()), eq(RecordFormat::V1));
}

#[googletest::test]
fn a_record_of_an_unknown_form_is_refused_by_its_place() {
    let folder = tempfile::tempdir().unwrap();
    let opened = open_as(folder.path(), true, ip(1));
    wait(opened.durable.put(&([0xff_u8; 10], 9_u8, voted(1)))).unwrap();
    drop(opened);
    let told = open(folder.path(), true, ip(1)).err().unwrap().to_string();
    expect_that!(told, contains_substring(folder.path().display().to_string()));
    expect_that!(told, contains_substring("a record of form 9"));
}

#[googletest::test]
fn thousands_of_changes_of_the_configuration_take_a_small_part_of_the_disk() {
    // Given a voter with a configuration of 20 KB.
    let folder = tempfile::tempdir().unwrap();
    let opened = open_as(folder.path(), true, ip(1));
    let mut acceptor = Acceptor::new(founding_record(seeds()));
    let mut state = ControlState::default();
    let mut most = 0;
    // When 2,000 changes are promised and accepted, each put on disk before its answer.
    for version in 1..=2_000_u64 {
        let body = Bytes::from(vec![b'c'; 20_000]);
        let taken = CommittedVersion { version, digest: [version as u8; 32] };
        let (next, verdict) = put_config(&state, version - 1, &taken, &body);
        expect_that!(verdict, eq(ConfigVerdict::Committed));
        state = next.unwrap();
        for request in
            [RegisterRequest::Prepare(ballot(version)), RegisterRequest::Accept(accepted(version, &state))]
        {
            let changed = acceptor.handle(&request).record_changed;
            expect_that!(changed, eq(true));
            put(&opened.durable, acceptor.record().unwrap());
        }
        if version % 10 == 0 {
            most = most.max(size(folder.path()));
        }
    }
    println!("most on disk: {most} bytes");
    // Then the folder never came near the 128 MB of a core machine.
    expect_that!(most, lt(8 << 20));
    // And the last one is there.
    drop(opened);
    let initial_state = open_as(folder.path(), false, ip(1)).initial_state;
    expect_that!(initial_state, eq(&InitialState::Existing(acceptor.record().unwrap().clone())));
}

#[googletest::test]
fn a_folder_that_the_disk_refuses_is_opened_once_it_lets_it() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.unwrap().block_on(async {
        // Given a folder that cannot be had,
        let place = tempfile::tempdir().unwrap();
        let folder = place.path().join("data");
        fs::write(&folder, "no folder").unwrap();
        let (seeds, waits) = (seeds(), Rc::default());
        let opening = open_with_retry(&waits, &folder, true, ip(1), &seeds);
        let mut opening = std::pin::pin!(opening);
        let early = tokio::time::timeout(Duration::from_secs(60), &mut opening).await;
        expect_that!(early.is_err(), eq(true));
        // when it can, then the node begins as if it could from the start.
        fs::remove_file(&folder).unwrap();
        let opened = opening.await;
        expect_that!(opened.initial_state, eq(&InitialState::New(founding_record(seeds.clone()))));
    });
}

#[googletest::test]
fn a_start_beside_a_process_that_is_ending_reads_a_record_that_is_still_written() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.unwrap().block_on(async {
        // Given a process that has voted,
        let folder = tempfile::tempdir().unwrap();
        let (seeds, waits) = (seeds(), Rc::<Waits>::default());
        let former = open_with_retry(&waits, folder.path(), true, ip(1), &seeds).await;
        former.durable.put(&voted(1)).await.unwrap();
        // when another one starts, and the former votes once more before its end,
        let opening = open_with_retry(&waits, folder.path(), false, ip(1), &seeds);
        let mut opening = std::pin::pin!(opening);
        let waited = async {
            while waits.begun() == 0 {
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            _ = &mut opening => panic!("opened beside the former process"),
            () = waited => {}
        }
        former.durable.put(&voted(2)).await.unwrap();
        drop(former);
        // then the new one begins with the last vote.
        let opened = opening.await;
        expect_that!(opened.initial_state, eq(&InitialState::Existing(voted(2))));
    });
}

fn size(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).unwrap().filter_map(|entry| entry.ok()?.metadata().ok());
    entries.map(|metadata| metadata.len()).sum()
}
