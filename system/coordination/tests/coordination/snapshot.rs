//! Tests of the snapshot format.

use crate::commands::{HISTORY_MS, acquire, batch, next_number, put, renew};
use coordination::{CoordinationState, HISTORY_MARGIN_MS, SNAPSHOT_FORMAT, SnapshotError};
use googletest::prelude::*;

/// A snapshot of [`sample_state`] as the first release of format 1 wrote it, in hexadecimal digits.
const RECORDED: &str = include_str!("../recorded/snapshot-format-1.hex");

fn recorded_snapshot() -> Vec<u8> {
    let digits: Vec<u8> = RECORDED.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
    let text = String::from_utf8(digits).unwrap();
    (0..text.len()).step_by(2).map(|start| u8::from_str_radix(&text[start..start + 2], 16).unwrap()).collect()
}

/// A state with each kind of content: pruned and retained events, a renewed and a newly acquired lock, and counters.
fn sample_state() -> CoordinationState {
    let mut state = CoordinationState::default();
    state
        .apply(&batch(0, vec![put("g1.a", "5c0e", None), put("g1.b", "7d21", None), put("h", "94b3", None)]));
    let second = vec![
        put("g1.a", "6f80", Some(1)),
        acquire("l1f", "a3.7", 3_000),
        acquire("l2", "b", 60_000),
        renew("l1f", "a3.7", 1, 3_000),
        next_number("n2"),
        next_number("n2"),
        next_number("n1"),
    ];
    state.apply(&batch(HISTORY_MS + HISTORY_MARGIN_MS + 1, second));
    state.apply(&batch(250, vec![put("h", "11aa", None), put("g1.b", "22bb", None)]));
    state
}

#[gtest]
fn a_recorded_snapshot_is_decoded_and_encoded_to_the_same_bytes() {
    expect_that!(CoordinationState::restore(&recorded_snapshot()), ok(eq(&sample_state())));
    expect_that!(sample_state().snapshot(), eq(&recorded_snapshot()));
}

#[gtest]
fn a_restored_state_equals_the_original() {
    let sample_state = sample_state();
    let restored = CoordinationState::restore(&sample_state.snapshot()).unwrap();
    expect_that!(restored, eq(&sample_state));
    expect_that!(restored.events("g1.", 2), eq(&sample_state.events("g1.", 2)));
    expect_that!(restored.events("g1.", 1), err(anything()));
    expect_that!(
        CoordinationState::restore(&CoordinationState::default().snapshot()),
        ok(eq(&CoordinationState::default()))
    );
}

#[gtest]
fn unknown_formats_and_missing_or_trailing_bytes_are_rejected() {
    let bytes = sample_state().snapshot();
    expect_that!(bytes[0], eq(SNAPSHOT_FORMAT));
    expect_that!(CoordinationState::restore(&[]), err(eq(&SnapshotError::Empty)));
    for format in (0..=u8::MAX).filter(|format| *format != SNAPSHOT_FORMAT) {
        let unknown = [&[format], &bytes[1..]].concat();
        expect_that!(CoordinationState::restore(&unknown), err(eq(&SnapshotError::UnknownFormat(format))));
    }
    for len in 1..bytes.len() {
        let truncated = CoordinationState::restore(&bytes[..len]);
        expect_that!(truncated, err(matches_pattern!(SnapshotError::Malformed(_))));
    }
    let trailing = [&bytes[..], &[0, 0]].concat();
    expect_that!(CoordinationState::restore(&trailing), err(eq(&SnapshotError::TrailingBytes(2))));
}

/// A group's name, its last pruned revision, and its keys, each with value and revision.
type GroupFields<'a> = (&'a str, u64, Vec<(&'a str, &'a str, u64)>);

/// Encodes a snapshot from its fields without any check, so that tests can build inconsistent ones. The clock is at 1,000 ms.
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

fn inconsistent(section: &'static str) -> Result<CoordinationState, SnapshotError> {
    Err(SnapshotError::Inconsistent(section))
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
        ("a duplicate group", vec![group(), group()], vec![("g.b", "2", 700)]),
        ("a key of another group", vec![("h.", 4, group().2)], vec![]),
        ("a key with revision 0", vec![("g.", 4, vec![("g.a", "1", 0)])], vec![]),
        ("a group with revision 0", vec![("g.", 0, vec![])], vec![]),
        ("a key's revision above that of its group", vec![group()], vec![]),
        ("an event of an unknown group", vec![group()], vec![("g.b", "2", 700), ("h.b", "2", 700)]),
        ("an event of an unknown key", vec![group()], vec![("g.c", "2", 700)]),
        ("an event whose value differs from the key's", vec![group()], vec![("g.b", "3", 700)]),
        ("an event after the key's last change", vec![group()], vec![("g.b", "2", 700), ("g.b", "9", 700)]),
        ("an event later than the clock", vec![group()], vec![("g.b", "2", 1_001)]),
        (
            "events in descending order of time",
            vec![("g.", 3, group().2)],
            vec![("g.b", "7", 700), ("g.b", "2", 699)],
        ),
    ] {
        expect_that!(restored(&groups, &events), eq(&inconsistent("keys")), "{fault}");
    }
}
