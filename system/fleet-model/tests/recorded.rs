//! What earlier programs wrote is read as they meant it, and written again by the same bytes.

use fleet_model::*;
use googletest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A recorded file's bytes; the file holds them in hexadecimal digits, with line ends anywhere.
fn recorded(name: &str) -> Vec<u8> {
    let path = format!("{}/tests/recorded/{name}.hex", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    let digits: Vec<u8> = text.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 2, last)
}

fn store(name: &str, last: u8) -> StorageNode {
    StorageNode {
        name: name.into(),
        ip: ip(last),
        zone: format!("zone-{last}"),
        disk: u64::MAX - u64::from(last),
    }
}

/// A state with every field filled.
fn state() -> ControlState {
    ControlState {
        config: r#"{"routes":[{"name":"first"},{"name":"second"},{"name":"third"}]}"#.into(),
        committed: vec![
            CommittedVersion { version: 11, digest: [0x11; 32] },
            CommittedVersion { version: 300, digest: [0xfe; 32] },
        ],
        leases: [
            ("endpoint-list".to_owned(), Lease { token: 5, holder: Some(ip(21)) }),
            ("storage-roster".to_owned(), Lease { token: 1 << 40, holder: None }),
        ]
        .into(),
        roster: Roster {
            epoch: 9,
            current: vec![store("storage-1", 31), store("storage-2", 32)],
            next: Some(vec![store("storage-3", 33)]),
            in_sync: vec![u64::MAX - 33, 7],
            retiring: vec!["storage-1".into(), "storage-0".into()],
            turnover: Turnover::default(),
        },
        highest_pruned: 10,
        rejected: vec![RejectedConfig {
            expected: 301,
            sent: CommittedVersion { version: 302, digest: [0xab; 32] },
        }],
    }
}

#[gtest]
fn a_control_state_written_before_is_read_and_written_alike() {
    let payload = recorded("control-state");
    expect_that!(ControlState::from_payload(&payload), ok(eq(&state())));
    expect_that!(state().to_payload().unwrap().to_vec(), eq(&payload));
    let empty = recorded("control-state-empty");
    expect_that!(ControlState::from_payload(&empty), ok(eq(&ControlState::default())));
    expect_that!(ControlState::default().to_payload().unwrap().to_vec(), eq(&empty));
}

#[gtest]
fn a_control_state_of_the_first_form_is_still_read() {
    let read = ControlState::from_payload(&recorded("control-state-first-form"));
    expect_that!(read, ok(eq(&ControlState { highest_pruned: 0, rejected: Vec::new(), ..state() })));
}

/// Compares a value's form by postcard with what was recorded, both ways.
#[track_caller]
fn check<T: Serialize + DeserializeOwned + std::fmt::Debug + PartialEq>(name: &str, value: T) {
    let bytes = recorded(name);
    assert_eq!(postcard::from_bytes::<T>(&bytes).as_ref(), Ok(&value), "{name}, as it is read");
    assert_eq!(postcard::to_allocvec(&value).unwrap(), bytes, "{name}, as it is written");
}

#[test]
fn messages_of_the_register_written_before_are_read_and_written_alike() {
    let ballot = |round| Ballot { round, proposer: ip(7).into(), incarnation: u64::MAX - round };
    let value = RegisterValue { epoch: 3, voters: vec![ip(1), ip(2)], payload: "state".into() };
    let accepted = AcceptedValue { ballot: ballot(9), value };
    let requests = vec![
        RegisterRequest::Prepare(ballot(1)),
        RegisterRequest::Accept(accepted.clone()),
        RegisterRequest::Poll { chosen: ballot(2) },
        RegisterRequest::Fetch,
    ];
    check("register-requests", requests);
    let replies = vec![
        RegisterReply::Promised(Some(accepted.clone())),
        RegisterReply::Accepted,
        RegisterReply::Rejected(ballot(3)),
        RegisterReply::Recovering,
        RegisterReply::Polled { accepted: Some(ballot(4)), chosen: ballot(5) },
        RegisterReply::Fetched(Some(accepted)),
    ];
    check("register-replies", replies);
}

#[test]
fn endpoints_and_turns_written_before_are_read_and_written_alike() {
    let endpoint = |last, state| Endpoint {
        instance_id: format!("backend-{last}"),
        service: "chat".into(),
        address: SocketAddrV4::new(ip(last), 8_080),
        zone: "zone-b".into(),
        capacity_slots: 16,
        state,
    };
    let endpoints = vec![endpoint(1, EndpointState::Ready), endpoint(2, EndpointState::Draining)];
    check("endpoint-list", EndpointList { version: (4, 500).into(), endpoints });
    let turn = Turn {
        attempt: "attempt".into(),
        previous: Some("before".into()),
        input: "in".into(),
        output: "one\ntwo\n".into(),
        retention_ms: 86_400_000,
        replicas: vec![u64::MAX, 0, 5],
    };
    check("turn", (turn.clone(), Turn { previous: None, ..turn }));
    check("reservation", Reservation { attempt: u64::MAX, tokens: 800 });
}
