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

#[test]
fn every_variant_survives_encoding_and_decoding() {
    let frames = frames();
    let seen: BTreeSet<_> = frames.iter().map(variant).collect();
    assert_that!(seen, eq(&(0..VARIANTS).collect::<BTreeSet<_>>()));

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
    let frame = |len| Frame::Answer(1, Answer::Chain { text: vec![1; len].into(), missing: None });

    assert!(matches!(encode(&frame(MAX_FRAME_LEN + 1)), Err(WireError::TooLong(_))));
    assert!(matches!(decode(&vec![0; MAX_FRAME_LEN + 1]), Err(WireError::TooLong(_))));
    // The packed form takes two bytes more for each 2 KiB of such bytes.
    let fits = frame(MAX_FRAME_LEN - (32 << 10));
    assert!(decode(&encode(&fits).unwrap()).unwrap() == fits);
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
    ) {
        let turn = Turn {
            attempt: texts[0].clone(),
            previous,
            input: blobs[0].clone().into(),
            output: blobs[1].clone().into(),
            retention_ms: epoch,
            replicas: holders,
        };
        let call = Frame::Call(number, Call::StoreTurn { epoch, turn: turn.clone() });
        prop_assert_eq!(&decode(&encode(&call).unwrap()).unwrap(), &call);
        let accounts = vec![(texts[1].clone(), vec![Reservation { attempt: epoch, tokens: 1 }])];
        let answer = Frame::Answer(number, Answer::Records { turns: vec![turn], accounts, cursor: None });
        prop_assert_eq!(&decode(&encode(&answer).unwrap()).unwrap(), &answer);
    }
}
