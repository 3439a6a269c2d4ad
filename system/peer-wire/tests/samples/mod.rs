//! Sample frames of each variant.

pub(crate) mod coordination;

use bytes::Bytes;
use fleet_model::*;
use std::net::{Ipv4Addr, SocketAddrV4};

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 3, last)
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: ip(7).into(), incarnation: u64::MAX - round }
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
        replicas: vec![u64::MAX, 0, 5],
    }
}

pub(crate) fn reservations(count: u64) -> Vec<Reservation> {
    (1..=count).map(|n| Reservation { attempt: n.wrapping_mul(0x9e37_79b9_7f4a_7c15), tokens: 800 }).collect()
}

pub(crate) fn reserve() -> Call {
    let reservation = Reservation { attempt: 0x9e37_79b9_7f4a_7c15, tokens: 800 };
    Call::Reserve { epoch: 4, program: "summaries".into(), reservation }
}

fn calls() -> Vec<Call> {
    let store =
        StorageNode { name: "storage-1".into(), ip: ip(9), zone: "zone-a".into(), disk: u64::MAX - 1 };
    let reservation = Reservation { attempt: u64::MAX, tokens: u32::MAX };
    vec![
        Call::Register(RegisterRequest::Prepare(ballot(u64::MAX))),
        Call::Register(RegisterRequest::Accept(accepted())),
        Call::Register(RegisterRequest::Poll { chosen: ballot(4) }),
        Call::Register(RegisterRequest::Fetch),
        Call::JoinCore { ip: ip(255) },
        Call::JoinStorage { store, is_founder: false },
        Call::InSync { disk: 1, epoch: 2 },
        Call::Subscribe {
            ip: ip(4),
            zone: "zone-c".into(),
            urgent: true,
            value: ballot(2),
            list: ListVersion::new(3, 4),
        },
        Call::Subscribe {
            ip: ip(4),
            zone: "".into(),
            urgent: false,
            value: Ballot::default(),
            list: ListVersion::new(0, 0),
        },
        reserve(),
        Call::Settle { epoch: 5, program: "".into(), reservation },
        Call::ReadAccount { epoch: 6, program: "p\0q".into() },
        Call::StoreTurn { epoch: 7, turn: turn(Some("before")), served_by: None },
        Call::StoreTurn { epoch: 7, turn: turn(Some("")), served_by: None },
        Call::StoreTurn { epoch: 7, turn: turn(None), served_by: None },
        Call::ReadChain { epoch: 8, attempt: "a".into() },
        Call::Backfill { epoch: 9, disk: 10, cursor: Bytes::new() },
        Call::Backfill { epoch: 9, disk: 10, cursor: Bytes::from_static(b"next") },
        Call::BackfillDone { epoch: 11, disk: 12 },
        Call::Inspect { topic: "members".into() },
    ]
}

fn answers() -> Vec<Answer> {
    let chain = |missing: Option<&str>| Answer::Chain {
        text: Bytes::from_static(b"in\nout\n"),
        missing: missing.map(Into::into),
        served_by: None,
    };
    let records = |cursor| Answer::Records {
        turns: vec![turn(None), turn(Some("x"))],
        accounts: vec![("p".into(), reservations(3)), ("q".into(), vec![])],
        cursor,
    };
    vec![
        Answer::Register(RegisterReply::Promised(None)),
        Answer::Register(RegisterReply::Promised(Some(accepted()))),
        Answer::Register(RegisterReply::Accepted),
        Answer::Register(RegisterReply::Rejected(ballot(3))),
        Answer::Register(RegisterReply::Recovering),
        Answer::Register(RegisterReply::Polled { accepted: None, chosen: Ballot::default() }),
        Answer::Register(RegisterReply::Polled { accepted: Some(Ballot::default()), chosen: ballot(1) }),
        Answer::Register(RegisterReply::Fetched(None)),
        Answer::Register(RegisterReply::Fetched(Some(accepted()))),
        Answer::Done,
        Answer::NotReady,
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
    ]
}

fn pushes() -> Vec<Push> {
    let endpoints = vec![endpoint(1, EndpointState::Ready), endpoint(2, EndpointState::Draining)];
    vec![
        Push::Heartbeat { age_ms: 120, proxies: 40 },
        Push::Value(ChosenValue {
            ballot: ballot(8),
            voters: vec![ip(1)],
            payload: Bytes::from_static(b"v"),
        }),
        Push::List(EndpointList { version: ListVersion::new(1, 2), endpoints: endpoints.clone() }),
        Push::ListDelta {
            base: ListVersion::new(1, 2),
            version: ListVersion::new(1, 3),
            upserted: endpoints,
            removed: vec!["x".into(), "".into()],
        },
    ]
}

fn orders() -> Vec<Call> {
    let sent = CommittedVersion { version: 8, digest: [7; 32] };
    vec![
        Call::Order(Order::PutConfig { expected: 7, sent, body: Bytes::from_static(b"{}") }),
        Call::Order(Order::Retire { machine: "storage-1".into() }),
    ]
}

fn verdicts() -> Vec<OrderVerdict> {
    vec![
        OrderVerdict::PutConfig(ConfigVerdict::Committed),
        OrderVerdict::PutConfig(ConfigVerdict::VersionMismatch(9)),
        OrderVerdict::PutConfig(ConfigVerdict::NotNewer),
        OrderVerdict::PutConfig(ConfigVerdict::Indeterminate),
        OrderVerdict::Retire(RetireVerdict::Active),
        OrderVerdict::Retire(RetireVerdict::Completed),
        OrderVerdict::Retire(RetireVerdict::Serving),
        OrderVerdict::Retire(RetireVerdict::Unknown),
        OrderVerdict::Retire(RetireVerdict::TooFew { remaining: 2 }),
    ]
}

/// One frame or more of each variant of [`Call`], [`Answer`] and [`Push`]; those of later releases come last.
pub(crate) fn frames() -> Vec<Frame> {
    let calls = (1..).zip(calls()).map(|(number, call)| Frame::Call(number, call));
    let answers = answers().into_iter().map(|answer| Frame::Answer(u64::MAX, answer));
    let orders = (1..).zip(orders()).map(|(number, call)| Frame::Call(number, call));
    let verdicts = verdicts().into_iter().map(|verdict| Frame::Answer(1, Answer::Verdict(verdict)));
    let frames =
        calls.chain(answers).chain(pushes().into_iter().map(Frame::Push)).chain(orders).chain(verdicts);
    frames.chain(coordination::frames()).collect()
}
