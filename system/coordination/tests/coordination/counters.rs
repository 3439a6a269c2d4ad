//! Tests of the counters: consecutive numbers and limits.

use crate::commands::{apply, batch, next_number};
use coordination::{CoordinationState, MAX_COUNTERS, MAX_TEXT_BYTES};
use fleet_model::CoordinationOutcome::{LimitReached, Number};
use googletest::prelude::*;

#[gtest]
fn each_counter_issues_consecutive_numbers_from_1() {
    let mut state = CoordinationState::default();
    let outcomes =
        state.apply(&batch(0, vec![next_number("a"), next_number("a"), next_number("b"), next_number("a")]));
    expect_that!(
        outcomes,
        eq(&[Number { value: 1 }, Number { value: 2 }, Number { value: 1 }, Number { value: 3 }])
    );
    expect_that!(state.counters().collect::<Vec<_>>(), eq(&vec![("a", 3), ("b", 1)]));
}

#[gtest]
fn counters_beyond_the_limits_are_rejected_and_existing_ones_still_work() {
    let mut state = CoordinationState::default();
    expect_that!(apply(&mut state, next_number(&"n".repeat(MAX_TEXT_BYTES + 1))), eq(&LimitReached));
    expect_that!(state, eq(&CoordinationState::default()));
    apply(&mut state, next_number(&"n".repeat(MAX_TEXT_BYTES)));
    state.apply(&batch(0, (1..MAX_COUNTERS).map(|number| next_number(&number.to_string())).collect()));
    expect_that!(apply(&mut state, next_number("one more")), eq(&LimitReached));
    expect_that!(apply(&mut state, next_number("5")), eq(&Number { value: 2 }));
    expect_that!(state.counters().count(), eq(MAX_COUNTERS));
}
