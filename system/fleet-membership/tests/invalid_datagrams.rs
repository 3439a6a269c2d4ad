//! Datagrams that no member of the fleet has sent: they are dropped and counted, and never cause a panic.

use fleet_membership::{Config, Effect, Member, MemberError, Membership, Role, new_incarnation};
use googletest::prelude::*;
use proptest::prelude::*;
use std::net::Ipv4Addr;

const ME: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const FLEET: u32 = 7;

fn member(ip: Ipv4Addr) -> Member {
    let incarnation = new_incarnation(1_000, 0);
    Member { ip, role: Role::Core, zone: "a".into(), name: ip.to_string(), incarnation, tags: Vec::new() }
}

fn membership(ip: Ipv4Addr, fleet: u32) -> Membership {
    Membership::new(member(ip), Config { fleet_id: fleet, ..Config::default() }, 1, 0)
        .expect("a sound member")
}

fn datagrams(effects: Vec<Effect>) -> Vec<Vec<u8>> {
    effects
        .into_iter()
        .filter_map(|effect| if let Effect::Send { bytes, .. } = effect { Some(bytes) } else { None })
        .collect()
}

/// A join request of a member of this fleet.
fn join_datagram(fleet: u32) -> Vec<u8> {
    datagrams(membership(OTHER, fleet).join(0, &[ME])).remove(0)
}

#[googletest::test]
fn datagrams_of_another_fleet_are_dropped_and_counted() {
    // Given a process of one fleet.
    let mut membership = membership(ME, FLEET);

    // When a member of another fleet requests to join.
    let effects = membership.receive_datagram(1, OTHER, &join_datagram(FLEET + 1));

    // Then nothing comes of it.
    expect_that!(effects, is_empty());
    expect_that!(membership.member_count(), eq(1));
    expect_that!(membership.counters().foreign_datagrams, eq(1));

    // But one of its own is let in.
    expect_that!(membership.receive_datagram(2, OTHER, &join_datagram(FLEET)), not(is_empty()));
    expect_that!(membership.member_count(), eq(2));
    expect_that!(membership.counters().foreign_datagrams, eq(1));
}

#[googletest::test]
fn datagrams_of_another_version_are_dropped_and_counted() {
    let mut membership = membership(ME, FLEET);
    let mut bytes = join_datagram(FLEET);
    bytes[0] += 1;
    expect_that!(membership.receive_datagram(1, OTHER, &bytes), is_empty());
    expect_that!(membership.counters().foreign_datagrams, eq(1));
    expect_that!(membership.member_count(), eq(1));
}

#[googletest::test]
fn truncated_or_extended_datagrams_are_dropped_and_counted() {
    // Given a sound datagram.
    let mut membership = membership(ME, FLEET);
    let bytes = join_datagram(FLEET);

    // When it comes cut off, or with more behind it.
    for length in 0..bytes.len() {
        expect_that!(membership.receive_datagram(1, OTHER, &bytes[..length]), is_empty(), "{length} bytes");
    }
    let longer = [&bytes[..], &[0]].concat();
    expect_that!(membership.receive_datagram(1, OTHER, &longer), is_empty());

    // Then all were dropped.
    expect_that!(membership.member_count(), eq(1));
    expect_that!(membership.counters().malformed_datagrams, eq(bytes.len() as u64 + 1));
}

#[googletest::test]
fn datagrams_from_the_local_address_are_dropped_and_counted() {
    let mut membership = membership(ME, FLEET);
    expect_that!(membership.receive_datagram(1, ME, &join_datagram(FLEET)), is_empty());
    expect_that!(membership.counters().foreign_datagrams, eq(1));
}

#[googletest::test]
fn an_oversized_or_unaddressable_member_is_rejected() {
    let rejection = |member| Membership::new(member, Config::default(), 1, 0).err();
    expect_that!(rejection(member(ME)), none());
    expect_that!(
        rejection(member(Ipv4Addr::UNSPECIFIED)),
        some(eq(&MemberError::Address(Ipv4Addr::UNSPECIFIED)))
    );
    expect_that!(rejection(Member { name: "x".repeat(129), ..member(ME) }), some(eq(&MemberError::TooLong)));
    expect_that!(rejection(Member { tags: vec![0; 129], ..member(ME) }), some(eq(&MemberError::TooLong)));
}

#[googletest::test]
fn a_member_that_has_left_is_silent() {
    let mut membership = membership(ME, FLEET);
    membership.receive_datagram(1, OTHER, &join_datagram(FLEET));
    expect_that!(datagrams(membership.leave(2)), len(eq(1)));
    expect_that!(membership.receive_datagram(3, OTHER, &join_datagram(FLEET)), is_empty());
    expect_that!(membership.tick(10_000), is_empty());
    expect_that!(membership.join(10_000, &[OTHER]), is_empty());
    expect_that!(membership.next_tick_ms(), eq(u64::MAX));
}

/// Feeds bytes to a process that has a member, and lets time go by.
fn feed(datagram_list: &[Vec<u8>]) {
    let mut membership = membership(ME, FLEET);
    let mut now = 1;
    membership.receive_datagram(now, OTHER, &join_datagram(FLEET));
    for bytes in datagram_list {
        now += 10;
        for bytes in datagrams(membership.receive_datagram(now, OTHER, bytes)) {
            assert!(bytes.len() <= fleet_membership::MAX_DATAGRAM);
        }
        now = now.max(membership.next_tick_ms().min(now + 10_000));
        membership.tick(now);
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(datagram_list in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..1_300), 1..8)) {
        feed(&datagram_list);
    }

    #[test]
    fn arbitrary_bytes_behind_a_sound_start_never_panic(
        datagram_list in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 1..20),
    ) {
        let start = &join_datagram(FLEET)[..5];
        feed(&datagram_list.iter().map(|bytes| [start, bytes].concat()).collect::<Vec<_>>());
    }

    #[test]
    fn sound_datagrams_with_byte_mutation_never_panic(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..20),
    ) {
        let mut bytes = join_datagram(FLEET);
        let mut datagram_list = Vec::new();
        for (at, byte) in changes {
            let at = at.index(bytes.len() - 5) + 5;
            bytes[at] = byte;
            datagram_list.push(bytes.clone());
        }
        feed(&datagram_list);
    }
}
