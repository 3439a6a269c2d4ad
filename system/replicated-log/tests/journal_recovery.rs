//! Tests of recovery from the journal: each prefix of the records restores the state at that time, promises survive a restart, and
//! invalid bytes are errors.

use byte_mutation::mutated;
use bytes::Bytes;
use fleet_model::{
    AcceptedEntry, Ballot, CommitPosition, CoordinationBatch, CoordinationOutcome, LogEntry, LogMember,
    LogReply, LogRequest, ReplicaId, SlotEntry,
};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, prop_assert, proptest};
use replicated_log::{JournalError, Replica, StateMachine, VoteCount};
use std::net::Ipv4Addr;

#[derive(Clone, Debug, Default, PartialEq)]
struct BatchCount(u8);

impl StateMachine for BatchCount {
    fn apply(&mut self, _: &CoordinationBatch) -> Vec<CoordinationOutcome> {
        self.0 += 1;
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        vec![self.0]
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let [count] = snapshot else { return false };
        self.0 = *count;
        true
    }
}

type CountingReplica = Replica<BatchCount>;

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 1, incarnation: 1 }
}

fn members() -> Vec<LogMember> {
    (1..=3)
        .map(|last| LogMember { ip: Ipv4Addr::new(10, 0, 0, last), replica: ReplicaId(u64::from(last)) })
        .collect()
}

fn accept(round: u64, slot: u64, entry: LogEntry, committed: (u64, u64)) -> LogRequest {
    let accepted = AcceptedEntry { ballot: ballot(round), entry: SlotEntry { slot, entry } };
    LogRequest::Accept {
        accepted,
        committed: CommitPosition { slot: committed.0, ballot: ballot(committed.1) },
    }
}

/// Requests that together produce each kind of record.
fn requests() -> Vec<LogRequest> {
    let batch = || LogEntry::Batch(CoordinationBatch::default());
    let learned = |slot| SlotEntry { slot, entry: batch() };
    vec![
        LogRequest::Prepare(ballot(1)),
        accept(1, 1, LogEntry::Members(members()), (0, 0)),
        accept(1, 2, batch(), (1, 1)),
        LogRequest::Prepare(ballot(2)),
        LogRequest::Learn { entries: vec![learned(2), learned(3)] },
        accept(2, 4, LogEntry::Empty, (3, 2)),
        LogRequest::Heartbeat { ballot: ballot(2), committed: CommitPosition { slot: 4, ballot: ballot(2) } },
        LogRequest::Prepare(ballot(3)),
    ]
}

/// Everything that the interface of a replica reveals about its state.
fn observable_state(
    replica: &CountingReplica,
) -> (ReplicaId, Ballot, u64, Vec<LogMember>, BatchCount, LogReply) {
    let reply = replica.clone().handle(LogRequest::Prepare(replica.promised()));
    (
        replica.id(),
        replica.promised(),
        replica.applied(),
        replica.members().to_vec(),
        replica.machine().clone(),
        reply,
    )
}

fn first_checkpoint() -> (CountingReplica, Bytes) {
    let mut replica = CountingReplica::new(ReplicaId(7));
    let checkpoint = replica.checkpoint();
    (replica, checkpoint)
}

#[gtest]
fn every_prefix_of_the_records_restores_the_state_at_that_time() {
    let (mut replica, checkpoint) = first_checkpoint();
    let mut records = Vec::new();
    for request in requests() {
        replica.handle(request);
        records.extend(replica.take_records().unwrap());
        let recovered = CountingReplica::recover(&checkpoint, &records).unwrap();
        expect_that!(observable_state(&recovered), eq(&observable_state(&replica)));
        let from_checkpoint = CountingReplica::recover(&replica.clone().checkpoint(), &[]).unwrap();
        expect_that!(observable_state(&from_checkpoint), eq(&observable_state(&replica)));
    }
    for length in 0..records.len() {
        expect_that!(CountingReplica::recover(&checkpoint, &records[..length]), ok(anything()));
    }
}

#[gtest]
fn unknown_formats_and_undecodable_bytes_are_errors() {
    let (_, checkpoint) = first_checkpoint();
    let mut unknown = checkpoint.to_vec();
    unknown[0] = 2;
    let error = CountingReplica::recover(&unknown, &[]).map(drop);
    expect_that!(error, err(eq(&JournalError::UnknownFormat(2))));
    for length in 0..checkpoint.len() {
        let truncated = CountingReplica::recover(&checkpoint[..length], &[]).map(drop);
        expect_that!(truncated, err(matches_pattern!(JournalError::Undecodable(_))));
    }
    for record in [&[][..], &[4], &[0]] {
        let error = CountingReplica::recover(&checkpoint, &[Bytes::copy_from_slice(record)]).map(drop);
        expect_that!(error, err(matches_pattern!(JournalError::Undecodable(_))));
    }
}

#[gtest]
fn a_journal_recorded_in_format_1_is_still_read() {
    // A checkpoint and the record of a promise, as encoded in format 1.
    let checkpoint = [1, 7, 0, 0, 0, 0, 0, 0, 1, 0];
    let record = Bytes::from_static(&[0, 5, 1, 1]);
    let (_, written) = first_checkpoint();
    expect_that!(written.to_vec(), eq(&checkpoint));
    let recovered = CountingReplica::recover(&checkpoint, &[record]).unwrap();
    expect_that!(recovered.id(), eq(ReplicaId(7)));
    expect_that!(recovered.promised(), eq(ballot(5)));
}

/// Whether two leaders both have an entry chosen for the same slot. Replica 2 restarts after it has promised the ballot of the
/// second leader, and then receives a late accept of the first leader.
fn two_entries_are_chosen(keeps_record: impl Fn(&[u8]) -> bool) -> bool {
    let mut replicas: Vec<CountingReplica> = (1..=3).map(|id| CountingReplica::new(ReplicaId(id))).collect();
    let checkpoint = replicas[1].checkpoint();
    replicas.iter_mut().for_each(|replica| drop(replica.handle(LogRequest::Prepare(ballot(1)))));
    replicas[0].handle(accept(1, 1, LogEntry::Empty, (0, 0)));
    replicas[1..].iter_mut().for_each(|replica| drop(replica.handle(LogRequest::Prepare(ballot(2)))));
    let records = replicas[1].take_records().unwrap();
    let records: Vec<Bytes> = records.into_iter().filter(|record| keeps_record(record)).collect();
    replicas[1] = CountingReplica::recover(&checkpoint, &records).unwrap();
    let mut first_votes = VoteCount::new(&members());
    first_votes.record(ReplicaId(1));
    if replicas[1].handle(accept(1, 1, LogEntry::Empty, (0, 0))) == LogReply::Accepted {
        first_votes.record(ReplicaId(2));
    }
    let mut second_votes = VoteCount::new(&members());
    for replica in &mut replicas[1..] {
        if replica.handle(accept(2, 1, LogEntry::Members(members()), (0, 0))) == LogReply::Accepted {
            second_votes.record(replica.id());
        }
    }
    first_votes.is_quorum() && second_votes.is_quorum()
}

#[gtest]
fn losing_a_promise_lets_two_entries_be_chosen() {
    const PROMISE_TAG: u8 = 0;
    expect_that!(two_entries_are_chosen(|_| true), eq(false));
    expect_that!(two_entries_are_chosen(|record| record.first() != Some(&PROMISE_TAG)), eq(true));
}

fn sample_journals() -> (Vec<Vec<u8>>, Vec<Vec<u8>>) {
    let (mut replica, checkpoint) = first_checkpoint();
    let (mut checkpoints, mut records) = (vec![checkpoint.to_vec()], Vec::new());
    for request in requests() {
        replica.handle(request);
        records.extend(replica.take_records().unwrap().iter().map(|record| record.to_vec()));
        checkpoints.push(replica.clone().checkpoint().to_vec());
    }
    (checkpoints, records)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn mutated_journals_are_recovered_or_rejected(
        checkpoint in mutated(sample_journals().0),
        record in mutated(sample_journals().1),
    ) {
        let (_, valid) = first_checkpoint();
        let _ = CountingReplica::recover(&valid, &[record.into()]);
        if let Ok(mut replica) = CountingReplica::recover(&checkpoint, &[]) {
            let recovered = CountingReplica::recover(&replica.checkpoint(), &[]).unwrap();
            prop_assert!(observable_state(&recovered) == observable_state(&replica));
        }
    }
}
