//! The form of an encoded state.

use crate::commands::{HISTORY_MS, acquire, batch, next, put, renew};
use coordination::{CoordinationState, HISTORY_MARGIN_MS, SNAPSHOT_FORMAT, SnapshotError};
use googletest::prelude::*;

/// A snapshot of [`sample`] as the first release of format 1 wrote it, in hexadecimal digits.
const RECORDED: &str = include_str!("../recorded/snapshot-format-1.hex");

fn recorded() -> Vec<u8> {
    let digits: Vec<u8> = RECORDED.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
    let text = String::from_utf8(digits).unwrap();
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

/// A state with each kind of content: pruned and retained events, an extended and a fresh lock.
fn sample() -> CoordinationState {
    let mut state = CoordinationState::default();
    state
        .apply(&batch(0, vec![put("g1.a", "5c0e", None), put("g1.b", "7d21", None), put("h", "94b3", None)]));
    let second = vec![
        put("g1.a", "6f80", Some(1)),
        acquire("l1f", "a3.7", 3_000),
        acquire("l2", "b", 60_000),
        renew("l1f", "a3.7", 1, 3_000),
        next("n2"),
        next("n2"),
        next("n1"),
    ];
    state.apply(&batch(HISTORY_MS + HISTORY_MARGIN_MS + 1, second));
    state.apply(&batch(250, vec![put("h", "11aa", None), put("g1.b", "22bb", None)]));
    state
}

#[gtest]
fn a_recorded_snapshot_is_decoded_and_written_again() {
    expect_that!(CoordinationState::restore(&recorded()), ok(eq(&sample())));
    expect_that!(sample().snapshot(), eq(&recorded()));
}

#[gtest]
fn a_restored_state_is_the_same() {
    let sample = sample();
    let restored = CoordinationState::restore(&sample.snapshot()).unwrap();
    expect_that!(restored, eq(&sample));
    expect_that!(restored.events("g1.", 2), eq(&sample.events("g1.", 2)));
    expect_that!(restored.events("g1.", 1), err(anything()));
    expect_that!(
        CoordinationState::restore(&CoordinationState::default().snapshot()),
        ok(eq(&CoordinationState::default()))
    );
}

#[gtest]
fn other_formats_missing_and_surplus_bytes_are_rejected() {
    let bytes = sample().snapshot();
    expect_that!(bytes[0], eq(SNAPSHOT_FORMAT));
    expect_that!(CoordinationState::restore(&[]), err(eq(&SnapshotError::Empty)));
    for format in (0..=u8::MAX).filter(|format| *format != SNAPSHOT_FORMAT) {
        let other = [&[format], &bytes[1..]].concat();
        expect_that!(CoordinationState::restore(&other), err(eq(&SnapshotError::UnknownFormat(format))));
    }
    for len in 1..bytes.len() {
        let cut = CoordinationState::restore(&bytes[..len]);
        expect_that!(cut, err(matches_pattern!(SnapshotError::Malformed(_))));
    }
    let surplus = [&bytes[..], &[0, 0]].concat();
    expect_that!(CoordinationState::restore(&surplus), err(eq(&SnapshotError::SurplusBytes(2))));
}

/// A group's name, its last pruned revision, and its keys, each with value and revision.
type GroupFields<'a> = (&'a str, u64, Vec<(&'a str, &'a str, u64)>);

/// A snapshot from the fields in their order: last grant, locks, counters, clock, groups, events.
fn encoded(
    last_grant: u64,
    locks: &[(&str, &str, u64, u64, u64)],
    counters: &[(&str, u64)],
    groups: &[GroupFields],
    events: &[(&str, &str, u64)],
) -> Vec<u8> {
    let clock_ms = 1_000_u64;
    let fields = (last_grant, locks, counters, clock_ms, groups, events);
    postcard::to_extend(&fields, vec![SNAPSHOT_FORMAT]).unwrap()
}

fn inconsistent(part: &'static str) -> Result<CoordinationState, SnapshotError> {
    Err(SnapshotError::Inconsistent(part))
}

#[gtest]
fn inconsistent_locks_and_counters_are_rejected() {
    let restored =
        |last_grant, locks: &[_]| CoordinationState::restore(&encoded(last_grant, locks, &[], &[], &[]));
    expect_that!(restored(9, &[("a", "x", 1, 100, 2), ("b", "x", 3, 100, 9)]), ok(anything()));
    for (last_grant, locks) in [
        (8, vec![("a", "x", 1, 100, 2), ("b", "x", 3, 100, 9)]),
        (9, vec![("a", "x", 1, 100, 2), ("b", "x", 2, 100, 2)]),
        (9, vec![("b", "x", 1, 100, 2), ("a", "x", 3, 100, 9)]),
        (9, vec![("a", "x", 1, 100, 2), ("a", "x", 3, 100, 9)]),
        (9, vec![("a", "x", 3, 100, 2)]),
        (9, vec![("a", "x", 0, 100, 2)]),
        (9, vec![("a", "x", 1, u64::MAX, 2)]),
    ] {
        expect_that!(restored(last_grant, &locks), eq(&inconsistent("locks")), "{locks:?}");
    }
    let counters = encoded(0, &[], &[("b", 1), ("a", 1)], &[], &[]);
    expect_that!(CoordinationState::restore(&counters), eq(&inconsistent("counters")));
}

#[gtest]
fn inconsistent_keys_are_rejected() {
    let restored =
        |groups: &[_], events: &[_]| CoordinationState::restore(&encoded(0, &[], &[], groups, events));
    let group = || ("g.", 4, vec![("g.a", "1", 3), ("g.b", "2", 5)]);
    expect_that!(restored(&[group()], &[("g.b", "2", 700)]), ok(anything()));
    for (fault, groups, events) in [
        ("two of a group", vec![group(), group()], vec![("g.b", "2", 700)]),
        ("a key of another group", vec![("h.", 4, group().2)], vec![]),
        ("a key without revision", vec![("g.", 4, vec![("g.a", "1", 0)])], vec![]),
        ("a group without revision", vec![("g.", 0, vec![])], vec![]),
        ("a key's revision that was not given", vec![group()], vec![]),
        ("an event of no group", vec![group()], vec![("g.b", "2", 700), ("h.b", "2", 700)]),
        ("an event of no key", vec![group()], vec![("g.c", "2", 700)]),
        ("an event of another value", vec![group()], vec![("g.b", "3", 700)]),
        ("an event after the key's last", vec![group()], vec![("g.b", "2", 700), ("g.b", "9", 700)]),
        ("an event of the future", vec![group()], vec![("g.b", "2", 1_001)]),
        ("falling times", vec![("g.", 3, group().2)], vec![("g.b", "7", 700), ("g.b", "2", 699)]),
    ] {
        expect_that!(restored(&groups, &events), eq(&inconsistent("keys")), "{fault}");
    }
}
