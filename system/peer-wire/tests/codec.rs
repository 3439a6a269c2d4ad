//! Frames to bytes and back.

use bytes::Bytes;
use fleet_model::*;
use googletest::prelude::*;
use peer_wire::{MAX_FRAME_LEN, WireError, decode, encode};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 3, last)
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: ip(7).into() }
}

fn accepted() -> AcceptedValue {
    let value = RegisterValue {
        epoch: 3,
        voters: vec![ip(1), ip(2), ip(3)],
        payload: Bytes::from_static(b"\0state\xff"),
    };
    AcceptedValue { ballot: ballot(9), value }
}

fn endpoint(number: u8, state: EndpointState) -> Endpoint {
    Endpoint {
        instance_id: format!("backend-{number}-7f3a"),
        service: "chat".into(),
        address: SocketAddrV4::new(ip(number), 8080),
        zone: "zone-b".into(),
        capacity_slots: 16,
        state,
    }
}

fn turn(previous: Option<&str>) -> Turn {
    Turn {
        attempt: "6f1c9a52-attempt".into(),
        previous: previous.map(Into::into),
        input: Bytes::from_static(b"{\"q\":\"h\xc3\xa9\"}"),
        output: Bytes::from_static(b"one\ntwo\n"),
        retention_ms: 86_400_000,
        holders: vec![u64::MAX, 0, 5],
    }
}

fn reservations(count: u64) -> Vec<Reservation> {
    (1..=count).map(|n| Reservation { attempt: n.wrapping_mul(0x9e37_79b9_7f4a_7c15), tokens: 800 }).collect()
}

fn reserve() -> Call {
    let reservation = Reservation { attempt: 0x9e37_79b9_7f4a_7c15, tokens: 800 };
    Call::Reserve { epoch: 4, program: "summaries".into(), reservation }
}

fn frames() -> Vec<Frame> {
    use RegisterReply as Reply;
    use RegisterRequest as Request;
    let store = Store { name: "storage-1".into(), ip: ip(9), zone: "zone-a".into(), disk: u64::MAX - 1 };
    let reservation = Reservation { attempt: u64::MAX, tokens: u32::MAX };
    let calls = [
        Call::Register(Request::Prepare(ballot(u64::MAX))),
        Call::Register(Request::Accept(accepted())),
        Call::Register(Request::Poll { chosen: ballot(4) }),
        Call::Register(Request::Fetch),
        Call::JoinCore { ip: ip(255) },
        Call::JoinStorage { store },
        Call::Filled { disk: 1, epoch: 2 },
        Call::Subscribe { ip: ip(4), zone: "zone-c".into(), urgent: true, value: ballot(2), list: (3, 4) },
        Call::Subscribe { ip: ip(4), zone: "".into(), urgent: false, value: Ballot::default(), list: (0, 0) },
        reserve(),
        Call::Settle { epoch: 5, program: "".into(), reservation },
        Call::ReadAccount { epoch: 6, program: "p\0q".into() },
        Call::KeepTurn { epoch: 7, turn: turn(Some("before")) },
        Call::KeepTurn { epoch: 7, turn: turn(Some("")) },
        Call::KeepTurn { epoch: 7, turn: turn(None) },
        Call::ReadChain { epoch: 8, attempt: "a".into() },
        Call::Fill { epoch: 9, disk: 10, cursor: Bytes::new() },
        Call::Fill { epoch: 9, disk: 10, cursor: Bytes::from_static(b"next") },
        Call::FillDone { epoch: 11, disk: 12 },
        Call::Inspect { topic: "members".into() },
    ];
    let chain = |missing: Option<&str>| Answer::Chain {
        text: Bytes::from_static(b"in\nout\n"),
        missing: missing.map(Into::into),
    };
    let records = |cursor| Answer::Records {
        turns: vec![turn(None), turn(Some("x"))],
        accounts: vec![("p".into(), reservations(3)), ("q".into(), vec![])],
        cursor,
    };
    let answers = [
        Answer::Register(Reply::Promised(None)),
        Answer::Register(Reply::Promised(Some(accepted()))),
        Answer::Register(Reply::Accepted),
        Answer::Register(Reply::Refused(ballot(3))),
        Answer::Register(Reply::Unfit),
        Answer::Register(Reply::Polled { accepted: None, chosen: Ballot::default() }),
        Answer::Register(Reply::Polled { accepted: Some(Ballot::default()), chosen: ballot(1) }),
        Answer::Register(Reply::Fetched(None)),
        Answer::Register(Reply::Fetched(Some(accepted()))),
        Answer::Done,
        Answer::Unready,
        Answer::Redirect(vec![]),
        Answer::Redirect(vec![SocketAddrV4::new(ip(1), 1), SocketAddrV4::new(ip(2), u16::MAX)]),
        Answer::WrongEpoch(77),
        Answer::Account(vec![]),
        Answer::Account(reservations(10)),
        chain(None),
        chain(Some("")),
        chain(Some("earlier")),
        Answer::Absent { complete: false },
        Answer::Absent { complete: true },
        records(None),
        records(Some(Bytes::new())),
        records(Some(Bytes::from_static(b"c"))),
        Answer::View("{\"a\":1}".into()),
    ];
    let endpoints = vec![endpoint(1, EndpointState::Ready), endpoint(2, EndpointState::Draining)];
    let pushes = [
        Push::Beat { age_ms: 120, proxies: 40 },
        Push::Value(ChosenValue {
            ballot: ballot(8),
            voters: vec![ip(1)],
            payload: Bytes::from_static(b"v"),
        }),
        Push::List(EndpointList { stamp: (1, 2), endpoints: endpoints.clone() }),
        Push::ListChange { base: (1, 2), stamp: (1, 3), put: endpoints, gone: vec!["x".into(), "".into()] },
    ];
    let calls = (1..).zip(calls).map(|(number, call)| Frame::Call(number, call));
    let answers = answers.into_iter().map(|answer| Frame::Answer(u64::MAX, answer));
    calls.chain(answers).chain(pushes.into_iter().map(Frame::Push)).collect()
}

/// One number for each variant; with a new one this does not compile until it is told here, and in `VARIANTS`.
fn variant(frame: &Frame) -> usize {
    match frame {
        Frame::Call(_, call) => match call {
            Call::Register(RegisterRequest::Prepare(_)) => 0,
            Call::Register(RegisterRequest::Accept(_)) => 1,
            Call::Register(RegisterRequest::Poll { .. }) => 2,
            Call::Register(RegisterRequest::Fetch) => 3,
            Call::JoinCore { .. } => 4,
            Call::JoinStorage { .. } => 5,
            Call::Filled { .. } => 6,
            Call::Subscribe { .. } => 7,
            Call::Reserve { .. } => 8,
            Call::Settle { .. } => 9,
            Call::ReadAccount { .. } => 10,
            Call::KeepTurn { .. } => 11,
            Call::ReadChain { .. } => 12,
            Call::Fill { .. } => 13,
            Call::FillDone { .. } => 14,
            Call::Inspect { .. } => 15,
        },
        Frame::Answer(_, answer) => match answer {
            Answer::Register(RegisterReply::Promised(_)) => 16,
            Answer::Register(RegisterReply::Accepted) => 17,
            Answer::Register(RegisterReply::Refused(_)) => 18,
            Answer::Register(RegisterReply::Unfit) => 19,
            Answer::Register(RegisterReply::Polled { .. }) => 20,
            Answer::Register(RegisterReply::Fetched(_)) => 21,
            Answer::Done => 22,
            Answer::Unready => 23,
            Answer::Redirect(_) => 24,
            Answer::WrongEpoch(_) => 25,
            Answer::Account(_) => 26,
            Answer::Chain { .. } => 27,
            Answer::Absent { .. } => 28,
            Answer::Records { .. } => 29,
            Answer::View(_) => 30,
        },
        Frame::Push(push) => match push {
            Push::Beat { .. } => 31,
            Push::Value(_) => 32,
            Push::List(_) => 33,
            Push::ListChange { .. } => 34,
        },
    }
}

const VARIANTS: usize = 35;

#[test]
fn given_every_variant_when_encoded_and_decoded_then_it_is_the_same() {
    let frames = frames();
    let seen: BTreeSet<_> = frames.iter().map(variant).collect();
    assert_that!(seen, eq(&(0..VARIANTS).collect::<BTreeSet<_>>()));

    for frame in frames {
        assert_that!(decode(&encode(&frame).unwrap()).unwrap(), eq(&frame));
    }
}

#[test]
fn given_frequent_frames_when_encoded_then_they_are_short() {
    let len = |frame: Frame| encode(&frame).unwrap().len();
    let lens = [
        len(Frame::Push(Push::Beat { age_ms: 120, proxies: 40 })),
        len(Frame::Call(70_000, reserve())),
        len(Frame::Answer(70_000, Answer::Done)),
        len(Frame::Answer(70_000, Answer::Account(reservations(10)))),
    ];
    println!("beat, reserve, done, account of ten: {lens:?} bytes");
    assert_that!(lens, elements_are![le(24), le(64), le(24), le(172)]);
}

#[test]
fn given_a_frame_too_long_when_encoded_then_it_is_refused() {
    let frame = |len| Frame::Answer(1, Answer::Chain { text: vec![1; len].into(), missing: None });

    assert!(matches!(encode(&frame(MAX_FRAME_LEN + 1)), Err(WireError::TooLong(_))));
    assert!(matches!(decode(&vec![0; MAX_FRAME_LEN + 1]), Err(WireError::TooLong(_))));
    // The packed form takes two bytes more for each 2 KiB of such bytes.
    let fits = frame(MAX_FRAME_LEN - (32 << 10));
    assert!(decode(&encode(&fits).unwrap()).unwrap() == fits);
}

#[test]
fn given_bytes_that_unpack_to_far_more_when_decoded_then_they_are_refused() {
    // One segment of 2^28 words, all zero: two packed bytes for each 256 words.
    let mut bytes = vec![0b1000_0000, 0x10];
    bytes.extend([0x00, 0xff].repeat(1 << 20));
    assert!(matches!(decode(&bytes), Err(WireError::Malformed(_))));
}

#[test]
fn given_no_frame_when_decoded_then_it_is_refused() {
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
    fn given_any_bytes_when_decoded_then_nothing_panics(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        if let Ok(frame) = decode(&bytes) {
            prop_assert_eq!(decode(&encode(&frame).unwrap()).unwrap(), frame);
        }
    }

    #[test]
    fn given_changed_bits_when_decoded_then_nothing_panics(
        which in any::<proptest::sample::Index>(),
        flips in proptest::collection::vec((any::<proptest::sample::Index>(), 0..8_u8), 1..6),
        cut in proptest::option::weighted(0.2, any::<proptest::sample::Index>()),
    ) {
        let frames = frames();
        let mut bytes = encode(which.get(&frames)).unwrap().to_vec();
        for (place, bit) in flips {
            let place = place.index(bytes.len());
            bytes[place] ^= 1 << bit;
        }
        if let Some(cut) = cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        if let Ok(frame) = decode(&bytes) {
            prop_assert_eq!(decode(&encode(&frame).unwrap()).unwrap(), frame);
        }
    }

    #[test]
    fn given_any_fields_when_encoded_and_decoded_then_they_are_the_same(
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
            holders,
        };
        let call = Frame::Call(number, Call::KeepTurn { epoch, turn: turn.clone() });
        prop_assert_eq!(&decode(&encode(&call).unwrap()).unwrap(), &call);
        let accounts = vec![(texts[1].clone(), vec![Reservation { attempt: epoch, tokens: 1 }])];
        let answer = Frame::Answer(number, Answer::Records { turns: vec![turn], accounts, cursor: None });
        prop_assert_eq!(&decode(&encode(&answer).unwrap()).unwrap(), &answer);
    }
}
