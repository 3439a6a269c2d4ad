//! Tests of keys, revisions and the event history of groups.

use crate::commands::{HISTORY_MS, advance_clock, apply, batch, put, stored};
use coordination::{
    CoordinationState, EventsPruned, GroupSummary, HISTORY_MARGIN_MS, KeyEvent, MAX_KEYS, MAX_TEXT_BYTES,
    group_of,
};
use fleet_model::CoordinationOutcome::{LimitReached, RevisionMismatch};
use fleet_model::{CoordinationBatch, KeyRevision};
use googletest::prelude::*;

/// The age up to which an event is retained, in milliseconds.
const RETAINED_MS: u64 = HISTORY_MS + HISTORY_MARGIN_MS;

fn event(key: &str, value: &str, revision: u64) -> KeyEvent {
    KeyEvent { key: key.to_owned(), value: value.to_owned(), revision }
}

fn revision(value: &str, revision: u64) -> KeyRevision {
    KeyRevision { value: value.to_owned(), revision }
}

#[gtest]
fn the_group_of_a_key_ends_at_its_first_dot() {
    expect_that!(group_of("g1.2.3"), eq("g1."));
    expect_that!(group_of("g1."), eq("g1."));
    expect_that!(group_of("g1"), eq("g1"));
    expect_that!(group_of(".x"), eq("."));
    expect_that!(group_of(""), eq(""));
}

#[gtest]
fn the_keys_of_a_group_share_one_revision_counter() {
    let mut state = CoordinationState::default();
    expect_that!(state.group_revision("g."), eq(0));
    expect_that!(state.events("g.", 0), ok(eq(&vec![])));
    expect_that!(apply(&mut state, put("g.a", "1", None)), eq(&stored(1)));
    expect_that!(apply(&mut state, put("g.b", "2", None)), eq(&stored(2)));
    expect_that!(apply(&mut state, put("h.a", "3", None)), eq(&stored(1)));
    expect_that!(apply(&mut state, put("g", "4", None)), eq(&stored(1)));
    expect_that!(apply(&mut state, put("g.a", "5", None)), eq(&stored(3)));
    expect_that!(state.key("g.a"), some(eq(&revision("5", 3))));
    expect_that!(state.key("g.b"), some(eq(&revision("2", 2))));
    expect_that!(state.key("g.c"), none());
    expect_that!(state.group_revision("g."), eq(3));
    let all = vec![event("g.a", "1", 1), event("g.b", "2", 2), event("g.a", "5", 3)];
    expect_that!(state.events("g.", 0), ok(eq(&all)));
    expect_that!(state.events("g.", 2), ok(eq(&all[2..].to_vec())));
    expect_that!(state.events("g.", 3), ok(eq(&vec![])));
    expect_that!(state.events("g.", u64::MAX), ok(eq(&vec![])));
    let summary = GroupSummary { revision: 3, key_count: 2, event_count: 3 };
    expect_that!(state.groups().find(|(name, _)| *name == "g."), some(eq(("g.", summary))));
}

#[gtest]
fn the_expected_revision_is_compared_with_that_of_the_key() {
    let mut state = CoordinationState::default();
    let mismatch = |revision| RevisionMismatch { revision };
    expect_that!(apply(&mut state, put("g.a", "1", Some(1))), eq(&mismatch(0)));
    expect_that!(state.groups().count(), eq(0));
    expect_that!(apply(&mut state, put("g.a", "1", Some(0))), eq(&stored(1)));
    expect_that!(apply(&mut state, put("g.b", "2", Some(0))), eq(&stored(2)));
    expect_that!(apply(&mut state, put("g.a", "3", Some(0))), eq(&mismatch(1)));
    expect_that!(apply(&mut state, put("g.a", "3", Some(2))), eq(&mismatch(1)));
    expect_that!(state.key("g.a"), some(eq(&revision("1", 1))));
    expect_that!(apply(&mut state, put("g.a", "3", Some(1))), eq(&stored(3)));
}

#[gtest]
fn a_repeated_put_returns_its_original_revision() {
    let mut state = CoordinationState::default();
    apply(&mut state, put("g.a", "1", Some(0)));
    // First while the value is current, then after another value has replaced it.
    expect_that!(apply(&mut state, put("g.a", "1", Some(0))), eq(&stored(1)));
    apply(&mut state, put("g.a", "2", Some(1)));
    let before = state.clone();
    expect_that!(apply(&mut state, put("g.a", "1", Some(0))), eq(&stored(1)));
    expect_that!(state, eq(&before));
    // The same value under another key is a separate put.
    expect_that!(apply(&mut state, put("g.b", "1", Some(0))), eq(&stored(3)));
    // A put of the current value is still recognised after its event was pruned.
    advance_clock(&mut state, RETAINED_MS + 1);
    expect_that!(apply(&mut state, put("g.a", "2", Some(1))), eq(&stored(2)));
}

#[gtest]
fn events_are_pruned_only_after_the_history_and_its_margin() {
    let mut state = CoordinationState::default();
    apply(&mut state, put("g.a", "1", None));
    advance_clock(&mut state, 10);
    apply(&mut state, put("g.a", "2", None));
    apply(&mut state, put("h.a", "3", None));
    advance_clock(&mut state, RETAINED_MS - 10);
    expect_that!(state.events("g.", 0), ok(len(eq(2))));
    advance_clock(&mut state, 1);
    expect_that!(state.events("g.", 0), err(eq(&EventsPruned { pruned_revision: 1 })));
    expect_that!(state.events("g.", 1), ok(eq(&vec![event("g.a", "2", 2)])));
    expect_that!(state.events("h.", 0), ok(len(eq(1))));
    advance_clock(&mut state, 10);
    expect_that!(state.events("g.", 1), err(eq(&EventsPruned { pruned_revision: 2 })));
    expect_that!(state.events("g.", 2), ok(eq(&vec![])));
    expect_that!(state.events("h.", 0), err(eq(&EventsPruned { pruned_revision: 1 })));
    expect_that!(state.key("g.a"), some(eq(&revision("2", 2))));
    expect_that!(apply(&mut state, put("g.a", "4", None)), eq(&stored(3)));
    expect_that!(state.events("g.", 2), ok(eq(&vec![event("g.a", "4", 3)])));
}

#[gtest]
fn each_batch_sets_the_history_that_applies_to_it() {
    let mut state = CoordinationState::default();
    apply(&mut state, put("g.a", "1", None));
    let empty_batch = |history_ms, elapsed_ms| CoordinationBatch { elapsed_ms, history_ms, commands: vec![] };
    state.apply(&empty_batch(100_000, 60_000));
    expect_that!(state.events("g.", 0), ok(len(eq(1))));
    state.apply(&empty_batch(50_000, 0));
    expect_that!(state.events("g.", 0), ok(len(eq(1))));
    state.apply(&empty_batch(49_999, 0));
    expect_that!(state.events("g.", 0), err(anything()));
}

#[gtest]
fn the_logical_clock_saturates_at_its_maximum() {
    let mut state = CoordinationState::default();
    state.apply(&batch(u64::MAX, vec![put("g.a", "1", None)]));
    state.apply(&batch(u64::MAX, vec![put("g.a", "2", None)]));
    expect_that!(state.events("g.", 0), ok(len(eq(2))));
}

#[gtest]
fn keys_beyond_the_limits_are_rejected_and_existing_ones_can_change() {
    let long = "n".repeat(MAX_TEXT_BYTES + 1);
    let mut state = CoordinationState::default();
    for command in [put(&long, "1", None), put("g.a", &long, None)] {
        expect_that!(apply(&mut state, command), eq(&LimitReached));
    }
    expect_that!(state, eq(&CoordinationState::default()));
    let commands = (0..MAX_KEYS).map(|number| put(&format!("g{}.{number}", number % 7), "1", None)).collect();
    state.apply(&batch(0, commands));
    expect_that!(apply(&mut state, put("g1.new", "1", None)), eq(&LimitReached));
    expect_that!(apply(&mut state, put("new.a", "1", None)), eq(&LimitReached));
    expect_that!(state.group_revision("new."), eq(0));
    expect_that!(apply(&mut state, put("g1.new", "1", Some(4))), eq(&RevisionMismatch { revision: 0 }));
    let last_revision = state.group_revision("g1.");
    expect_that!(apply(&mut state, put("g1.8", "2", None)), eq(&stored(last_revision + 1)));
}
