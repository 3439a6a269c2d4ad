//! Compatibility with recorded datagrams of earlier releases: they decode to the same messages and encode to the same bytes.

use super::*;
use crate::member::Role;
use googletest::prelude::*;
use std::fs;

const FLEET: u32 = 0x0102_0304;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 5, last)
}

fn version(refutation: u32) -> Version {
    Version { incarnation: 0x0123_4567_89ab_cdef, refutation }
}

fn alive(last: u8, role: Role) -> Update {
    let member = Member {
        ip: ip(last),
        role,
        zone: "zone-a".into(),
        name: format!("machine-{last}"),
        incarnation: 1 << 40,
        tags: vec![1, 0, 255],
    };
    Update::Alive { member, refutation: 300 }
}

/// An update of each kind, and a member of each role.
fn updates() -> Vec<Update> {
    vec![
        alive(1, Role::Edge),
        alive(2, Role::Core),
        alive(3, Role::Storage),
        Update::Suspect { ip: ip(4), version: version(1) },
        Update::Dead { ip: ip(5), version: version(2) },
        Update::Left { ip: ip(6), version: version(300) },
    ]
}

/// A message of each kind.
fn messages() -> Vec<Message> {
    vec![
        Message::Ping { sequence_number: 70_000 },
        Message::PingRequest { sequence_number: 70_001, target: ip(9) },
        Message::Ack { sequence_number: 70_002 },
        Message::Gossip,
        Message::SyncRequest { after: Some(ip(7)), is_isolated: true },
        Message::SyncRequest { after: None, is_isolated: false },
        Message::SyncPage { next: Some(ip(8)), updates: updates() },
        Message::SyncPage { next: None, updates: Vec::new() },
        Message::IdentityRequest,
        Message::Leave,
    ]
}

/// What was recorded, a datagram a line: a word on its kind, then its bytes in hexadecimal digits.
fn recorded() -> Vec<Vec<u8>> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded/datagrams.txt");
    let text = fs::read_to_string(path).unwrap();
    let byte = |pair: &[u8]| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap();
    let bytes = |line: &str| line.split_once(' ').unwrap().1.as_bytes().chunks(2).map(byte).collect();
    text.lines().map(bytes).collect()
}

fn header(body: Message) -> Header {
    Header { version: version(5), digest: [8, 7, 6, 5, 4, 3, 2, 1], body }
}

fn written(body: Message) -> Vec<u8> {
    let mut writer = DatagramWriter::new(FLEET, &header(body));
    assert!(updates().iter().all(|update| writer.push(update)), "the datagram has capacity");
    writer.finish()
}

#[googletest::test]
fn datagrams_sent_before_are_read_and_written_alike() {
    let recorded = recorded();
    expect_that!(recorded.len(), eq(messages().len()));
    for (body, bytes) in messages().into_iter().zip(recorded) {
        expect_that!(decode(FLEET, &bytes), ok(eq(&(header(body.clone()), updates()))));
        expect_that!(written(body), eq(&bytes));
    }
}
