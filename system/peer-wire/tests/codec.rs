//! Encoding and decoding of frames.

mod samples;

use fleet_model::*;
use googletest::prelude::*;
use peer_wire::{MAX_FRAME_LEN, WireError, decode, encode};
use proptest::prelude::*;
use samples::{frames, reservations, reserve};
use std::collections::BTreeSet;

/// One number for each variant; a new variant does not compile until it is added here and to `VARIANTS`.
fn variant(frame: &Frame) -> usize {
    match frame {
        Frame::Call(_, call) => match call {
            Call::Register(RegisterRequest::Prepare(_)) => 0,
            Call::Register(RegisterRequest::Accept(_)) => 1,
            Call::Register(RegisterRequest::Poll { .. }) => 2,
            Call::Register(RegisterRequest::Fetch) => 3,
            Call::JoinCore { .. } => 4,
            Call::JoinStorage { .. } => 5,
            Call::InSync { .. } => 6,
            Call::Subscribe { .. } => 7,
            Call::Reserve { .. } => 8,
            Call::Settle { .. } => 9,
            Call::ReadAccount { .. } => 10,
            Call::StoreTurn { .. } => 11,
            Call::ReadChain { .. } => 12,
            Call::Backfill { .. } => 13,
            Call::BackfillDone { .. } => 14,
            Call::Inspect { .. } => 15,
            Call::Order(Order::PutConfig { .. }) => 35,
            Call::Order(Order::Retire { .. }) => 36,
            Call::Coordination(_) => 39,
        },
        Frame::Answer(_, answer) => match answer {
            Answer::Register(RegisterReply::Promised(_)) => 16,
            Answer::Register(RegisterReply::Accepted) => 17,
            Answer::Register(RegisterReply::Rejected(_)) => 18,
            Answer::Register(RegisterReply::Recovering) => 19,
            Answer::Register(RegisterReply::Polled { .. }) => 20,
            Answer::Register(RegisterReply::Fetched(_)) => 21,
            Answer::Done => 22,
            Answer::NotReady => 23,
            Answer::Redirect(_) => 24,
            Answer::WrongEpoch(_) => 25,
            Answer::Account(_) => 26,
            Answer::Chain { .. } => 27,
            Answer::Absent { .. } => 28,
            Answer::Records { .. } => 29,
            Answer::View(_) => 30,
            Answer::Verdict(OrderVerdict::PutConfig(_)) => 37,
            Answer::Verdict(OrderVerdict::Retire(_)) => 38,
            Answer::Coordination(_) => 40,
        },
        Frame::Push(push) => match push {
            Push::Heartbeat { .. } => 31,
            Push::Value(_) => 32,
            Push::List(_) => 33,
            Push::ListDelta { .. } => 34,
        },
    }
}

const VARIANTS: usize = 41;

/// One number for each variant of the coordination service's messages, with those of what they carry.
fn coordination_variant(frame: &Frame) -> Option<usize> {
    let command = |command: &CoordinationCommand| match command {
        CoordinationCommand::AcquireLock { .. } => 0,
        CoordinationCommand::RenewLock { .. } => 1,
        CoordinationCommand::ReleaseLock { .. } => 2,
        CoordinationCommand::NextNumber { .. } => 3,
        CoordinationCommand::PutKey { .. } => 4,
    };
    let entry = |entry: &LogEntry| match entry {
        LogEntry::Empty => 0,
        LogEntry::Batch(_) => 1,
        LogEntry::Members(_) => 2,
    };
    Some(match frame {
        Frame::Call(_, Call::Coordination(call)) => match call {
            CoordinationCall::Log(LogRequest::Prepare(_)) => 0,
            CoordinationCall::Log(LogRequest::Heartbeat { .. }) => 1,
            CoordinationCall::Log(LogRequest::Resign(_)) => 39,
            CoordinationCall::Log(LogRequest::Learn { .. }) => 2,
            CoordinationCall::Log(LogRequest::Install(_)) => 3,
            CoordinationCall::Log(LogRequest::Fetch) => 4,
            CoordinationCall::Log(LogRequest::Accept { accepted, .. }) => 5 + entry(&accepted.entry.entry),
            CoordinationCall::Submit { command: submitted, .. } => 8 + command(submitted),
            CoordinationCall::Read { query: CoordinationQuery::Key(_), .. } => 13,
            CoordinationCall::Read { query: CoordinationQuery::CommitIndex, .. } => 14,
            CoordinationCall::Locate { .. } => 15,
        },
        Frame::Answer(_, Answer::Coordination(answer)) => match answer {
            CoordinationAnswer::Log { reply, .. } => match reply {
                LogReply::Promised { pending: None, .. } => 16,
                LogReply::Promised { pending: Some(accepted), .. } => 17 + entry(&accepted.entry.entry),
                LogReply::Accepted => 20,
                LogReply::Confirmed => 21,
                LogReply::Rejected(_) => 22,
                LogReply::Behind(_) => 23,
                LogReply::Learned(_) => 24,
                LogReply::Fetched(_) => 25,
            },
            CoordinationAnswer::Outcome(outcome) => match outcome {
                CoordinationOutcome::LockGranted { .. } => 26,
                CoordinationOutcome::LockNotHeld => 27,
                CoordinationOutcome::LockReleased => 28,
                CoordinationOutcome::Number { .. } => 29,
                CoordinationOutcome::KeyStored { .. } => 30,
                CoordinationOutcome::RevisionMismatch { .. } => 31,
                CoordinationOutcome::LimitReached => 32,
            },
            CoordinationAnswer::Reading(CoordinationReading::Key(_)) => 33,
            CoordinationAnswer::Reading(CoordinationReading::CommitIndex(_)) => 34,
            CoordinationAnswer::NotExecuted { .. } => 35,
            CoordinationAnswer::Overloaded => 36,
            CoordinationAnswer::Indeterminate => 37,
            CoordinationAnswer::Located { .. } => 38,
        },
        _ => return None,
    })
}

const COORDINATION_VARIANTS: usize = 40;

#[test]
fn every_variant_survives_encoding_and_decoding() {
    let frames = frames();
    let seen: BTreeSet<_> = frames.iter().map(variant).collect();
    assert_that!(seen, eq(&(0..VARIANTS).collect::<BTreeSet<_>>()));
    let seen: BTreeSet<_> = frames.iter().filter_map(coordination_variant).collect();
    assert_that!(seen, eq(&(0..COORDINATION_VARIANTS).collect::<BTreeSet<_>>()));

    for frame in frames {
        assert_that!(decode(&encode(&frame).unwrap()).unwrap(), eq(&frame));
    }
}

#[test]
fn frequent_frames_are_short() {
    let len = |frame: Frame| encode(&frame).unwrap().len();
    let lens = [
        len(Frame::Push(Push::Heartbeat { age_ms: 120, proxies: 40 })),
        len(Frame::Call(70_000, reserve())),
        len(Frame::Answer(70_000, Answer::Done)),
        len(Frame::Answer(70_000, Answer::Account(reservations(10)))),
    ];
    println!("beat, reserve, done, account of ten: {lens:?} bytes");
    assert_that!(lens, elements_are![le(24), le(64), le(24), le(172)]);
}

#[test]
fn a_frame_that_is_too_long_is_rejected_by_the_encoder() {
    let frame =
        |len| Frame::Answer(1, Answer::Chain { text: vec![1; len].into(), missing: None, served_by: None });

    assert!(matches!(encode(&frame(MAX_FRAME_LEN + 1)), Err(WireError::TooLong(_))));
    assert!(matches!(decode(&vec![0; MAX_FRAME_LEN + 1]), Err(WireError::TooLong(_))));
    // The packed form takes two bytes more for each 2 KiB of such bytes.
    let fits = frame(MAX_FRAME_LEN - (32 << 10));
    assert!(decode(&encode(&fits).unwrap()).unwrap() == fits);
}

#[test]
fn a_coordination_message_that_is_too_long_is_rejected_by_the_encoder() {
    let entry = |len| {
        let command = CoordinationCommand::NextNumber { name: "n".repeat(len) };
        let batch = CoordinationBatch { commands: vec![command], ..CoordinationBatch::default() };
        SlotEntry { slot: 1, entry: LogEntry::Batch(batch) }
    };
    let accepted = |len| AcceptedEntry { ballot: Ballot::default(), entry: entry(len) };
    let snapshot = |len| LogSnapshot { slot: 1, members: vec![], state: vec![1; len].into() };
    let call = |request| Frame::Call(1, Call::Coordination(CoordinationCall::Log(request)));
    let answer = |reply| {
        let answer = CoordinationAnswer::Log { replica: ReplicaId(1), has_watchers: false, reply };
        Frame::Answer(1, Answer::Coordination(answer))
    };
    let committed = CommitPosition::default();
    let all = |len| {
        [
            call(LogRequest::Learn { entries: vec![entry(len / 2), entry(len / 2)] }),
            call(LogRequest::Accept { accepted: accepted(len), committed }),
            call(LogRequest::Install(snapshot(len))),
            answer(LogReply::Promised { applied: 0, pending: Some(accepted(len)) }),
            answer(LogReply::Fetched(snapshot(len))),
        ]
    };
    for frame in all(MAX_FRAME_LEN) {
        assert!(matches!(encode(&frame), Err(WireError::TooLong(len)) if len > MAX_FRAME_LEN));
    }
    for frame in all(MAX_FRAME_LEN - (32 << 10)) {
        assert!(decode(&encode(&frame).unwrap()).unwrap() == frame);
    }
}

#[test]
fn bytes_that_unpack_beyond_the_limit_are_rejected() {
    // One segment of 2^28 words, all zero: two packed bytes for each 256 words.
    let mut bytes = vec![0b1000_0000, 0x10];
    bytes.extend([0x00, 0xff].repeat(1 << 20));
    assert!(matches!(decode(&bytes), Err(WireError::Malformed(_))));
}

#[test]
fn bytes_that_are_not_a_frame_are_rejected() {
    // An empty message, a message with nothing in it, and a frame with bytes after it.
    assert!(matches!(decode(&[]), Err(WireError::Malformed(_))));
    assert!(matches!(decode(&[0x10, 0x01, 0x00, 0x00]), Err(WireError::Malformed(_))));
    let mut bytes = encode(&Frame::Answer(1, Answer::Done)).unwrap().to_vec();
    bytes.push(0);
    assert!(matches!(decode(&bytes), Err(WireError::Trailing(1))));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        if let Ok(frame) = decode(&bytes) {
            prop_assert_eq!(decode(&encode(&frame).unwrap()).unwrap(), frame);
        }
    }

    #[test]
    fn flipped_bits_never_panic(
        which in any::<proptest::sample::Index>(),
        flips in proptest::collection::vec((any::<proptest::sample::Index>(), 0..8_u8), 1..6),
        cut in proptest::option::weighted(0.2, any::<proptest::sample::Index>()),
    ) {
        let frames = frames();
        let mut bytes = encode(which.get(&frames)).unwrap().to_vec();
        for (position, bit) in flips {
            let position = position.index(bytes.len());
            bytes[position] ^= 1 << bit;
        }
        if let Some(cut) = cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        if let Ok(frame) = decode(&bytes) {
            prop_assert_eq!(decode(&encode(&frame).unwrap()).unwrap(), frame);
        }
    }

    #[test]
    fn arbitrary_field_values_survive_encoding_and_decoding(
        number in any::<u64>(),
        epoch in any::<u64>(),
        texts in proptest::collection::vec(".{0,40}", 2),
        blobs in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 2),
        holders in proptest::collection::vec(any::<u64>(), 0..5),
        previous in proptest::option::of(".{0,20}"),
        served_by in proptest::option::of(".{0,20}"),
    ) {
        let turn = Turn {
            attempt: texts[0].clone(),
            previous,
            input: blobs[0].clone().into(),
            output: blobs[1].clone().into(),
            retention_ms: epoch,
            replicas: holders,
        };
        let call = Frame::Call(number, Call::StoreTurn { epoch, turn: turn.clone(), served_by: served_by.clone() });
        prop_assert_eq!(&decode(&encode(&call).unwrap()).unwrap(), &call);
        let chain = Answer::Chain { text: blobs[0].clone().into(), missing: None, served_by };
        let answer = Frame::Answer(number, chain);
        prop_assert_eq!(&decode(&encode(&answer).unwrap()).unwrap(), &answer);
        let accounts = vec![(texts[1].clone(), vec![Reservation { attempt: epoch, tokens: 1 }])];
        let answer = Frame::Answer(number, Answer::Records { turns: vec![turn], accounts, cursor: None });
        prop_assert_eq!(&decode(&encode(&answer).unwrap()).unwrap(), &answer);
    }
}
