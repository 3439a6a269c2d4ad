//! Sample frames of the coordination service.

use super::{ballot, ip};
use bytes::Bytes;
use fleet_model::*;

fn member(last: u8) -> LogMember {
    LogMember { ip: ip(last), replica: ReplicaId(u64::MAX - u64::from(last)) }
}

fn commands() -> Vec<CoordinationCommand> {
    let (lock, holder) = ("l1f".to_owned(), "a3.7".to_owned());
    let acquire = |expired_grant| CoordinationCommand::AcquireLock {
        lock: lock.clone(),
        holder: holder.clone(),
        hold_ms: 3_000,
        expired_grant,
    };
    let put = |value: &str, expected| CoordinationCommand::PutKey {
        key: "g1.2d".to_owned(),
        value: value.to_owned(),
        expected,
    };
    vec![
        acquire(None),
        acquire(Some(u64::MAX)),
        CoordinationCommand::RenewLock {
            lock: lock.clone(),
            holder: holder.clone(),
            fence: 41,
            hold_ms: u64::MAX,
        },
        CoordinationCommand::ReleaseLock { lock: lock.clone(), holder: holder.clone(), fence: 41 },
        CoordinationCommand::NextNumber { name: String::new() },
        put("5c0e\0\u{e9}", Some(0)),
        put("", None),
    ]
}

fn outcomes() -> Vec<CoordinationOutcome> {
    vec![
        CoordinationOutcome::LockGranted { fence: 41 },
        CoordinationOutcome::LockNotHeld,
        CoordinationOutcome::LockReleased,
        CoordinationOutcome::Number { value: u64::MAX },
        CoordinationOutcome::KeyStored { revision: 931 },
        CoordinationOutcome::RevisionMismatch { revision: 0 },
        CoordinationOutcome::LimitReached,
    ]
}

fn slot_entries() -> Vec<SlotEntry> {
    let batch = CoordinationBatch { elapsed_ms: 5, history_ms: 20_000, commands: commands() };
    let entries = [
        LogEntry::Empty,
        LogEntry::Batch(batch),
        LogEntry::Batch(CoordinationBatch::default()),
        LogEntry::Members(vec![member(1), member(2), member(3)]),
    ];
    (u64::MAX - 4..).zip(entries).map(|(slot, entry)| SlotEntry { slot, entry }).collect()
}

pub(crate) fn accepted(entry: SlotEntry) -> AcceptedEntry {
    AcceptedEntry { ballot: ballot(9), entry }
}

pub(crate) fn snapshot(state: impl Into<Bytes>) -> LogSnapshot {
    LogSnapshot { slot: 88, members: vec![member(1), member(2)], state: state.into() }
}

pub(crate) fn log_requests() -> Vec<LogRequest> {
    let committed = CommitPosition { slot: 7, ballot: ballot(8) };
    let mut requests = vec![
        LogRequest::Prepare(ballot(u64::MAX)),
        LogRequest::Heartbeat { ballot: ballot(2), committed },
        LogRequest::Heartbeat { ballot: ballot(2), committed: CommitPosition::default() },
        LogRequest::Resign(ballot(2)),
        LogRequest::Learn { entries: vec![] },
        LogRequest::Learn { entries: slot_entries() },
        LogRequest::Install(snapshot("")),
        LogRequest::Install(snapshot(&b"\0state\xff"[..])),
        LogRequest::Fetch,
    ];
    let accept = |entry| LogRequest::Accept { accepted: accepted(entry), committed };
    requests.extend(slot_entries().into_iter().map(accept));
    requests
}

pub(crate) fn log_replies() -> Vec<LogReply> {
    let mut replies = vec![
        LogReply::Promised { applied: 0, pending: None },
        LogReply::Accepted,
        LogReply::Confirmed,
        LogReply::Rejected(ballot(3)),
        LogReply::Behind(u64::MAX),
        LogReply::Learned(12),
        LogReply::Fetched(snapshot("")),
        LogReply::Fetched(snapshot(&b"\0state\xff"[..])),
    ];
    let promised = |entry| LogReply::Promised { applied: 87, pending: Some(accepted(entry)) };
    replies.extend(slot_entries().into_iter().map(promised));
    replies
}

pub(crate) fn calls() -> Vec<CoordinationCall> {
    let read = |query| CoordinationCall::Read { ballot: ballot(5), query };
    let submit = |command| CoordinationCall::Submit { ballot: ballot(4), command };
    let mut calls = vec![
        read(CoordinationQuery::Key("g1.2d".to_owned())),
        read(CoordinationQuery::CommitIndex),
        CoordinationCall::Locate { needs_leader: true },
    ];
    calls.extend(commands().into_iter().map(submit));
    calls.extend(log_requests().into_iter().map(CoordinationCall::Log));
    calls
}

pub(crate) fn answers() -> Vec<CoordinationAnswer> {
    let replica = ReplicaId(u64::MAX);
    let leader = LogLeader { ballot: ballot(6), ip: ip(255) };
    let key = KeyRevision { value: "5c0e".to_owned(), revision: 931 };
    let mut answers = vec![
        CoordinationAnswer::Reading(CoordinationReading::Key(Some(key))),
        CoordinationAnswer::Reading(CoordinationReading::Key(None)),
        CoordinationAnswer::Reading(CoordinationReading::CommitIndex(u64::MAX)),
        CoordinationAnswer::NotExecuted { leader: Some(leader) },
        CoordinationAnswer::NotExecuted { leader: None },
        CoordinationAnswer::Overloaded,
        CoordinationAnswer::Indeterminate,
        CoordinationAnswer::Located { replica, leader: Some(leader) },
        CoordinationAnswer::Located { replica: ReplicaId(0), leader: None },
    ];
    answers.extend(outcomes().into_iter().map(CoordinationAnswer::Outcome));
    for has_watchers in [false, true] {
        let answer = |reply| CoordinationAnswer::Log { replica, has_watchers, reply };
        answers.extend(log_replies().into_iter().map(answer));
    }
    answers
}

/// Frames with each variant of the calls and answers; the first two were recorded first.
pub(super) fn frames() -> Vec<Frame> {
    let first_ballot = Ballot { round: 3, proposer: 4, incarnation: 5 };
    let command = CoordinationCommand::NextNumber { name: "n".into() };
    let outcome = CoordinationOutcome::Number { value: 6 };
    let first = [
        Frame::Call(1, Call::Coordination(CoordinationCall::Submit { ballot: first_ballot, command })),
        Frame::Answer(1, Answer::Coordination(CoordinationAnswer::Outcome(outcome))),
    ];
    let calls = (1..).zip(calls()).map(|(number, call)| Frame::Call(number, Call::Coordination(call)));
    let answers = answers().into_iter().map(|answer| Frame::Answer(1, Answer::Coordination(answer)));
    first.into_iter().chain(calls).chain(answers).collect()
}
