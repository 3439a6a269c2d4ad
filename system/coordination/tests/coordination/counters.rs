//! Counters.

use crate::commands::{apply, batch, next};
use coordination::{CoordinationState, MAX_COUNTERS, MAX_TEXT_BYTES};
use fleet_model::CoordinationOutcome::{LimitReached, Number};
use googletest::prelude::*;

#[gtest]
fn each_counter_gives_each_number_once_from_1_on() {
    let mut state = CoordinationState::default();
    let outcomes = state.apply(&batch(0, vec![next("a"), next("a"), next("b"), next("a")]));
    expect_that!(
        outcomes,
        eq(&[Number { value: 1 }, Number { value: 2 }, Number { value: 1 }, Number { value: 3 }])
    );
    expect_that!(state.counters().collect::<Vec<_>>(), eq(&vec![("a", 3), ("b", 1)]));
}

#[gtest]
fn a_counter_beyond_the_limits_is_refused_and_existing_ones_go_on() {
    let mut state = CoordinationState::default();
    expect_that!(apply(&mut state, next(&"n".repeat(MAX_TEXT_BYTES + 1))), eq(&LimitReached));
    expect_that!(state, eq(&CoordinationState::default()));
    apply(&mut state, next(&"n".repeat(MAX_TEXT_BYTES)));
    state.apply(&batch(0, (1..MAX_COUNTERS).map(|number| next(&number.to_string())).collect()));
    expect_that!(apply(&mut state, next("one more")), eq(&LimitReached));
    expect_that!(apply(&mut state, next("5")), eq(&Number { value: 2 }));
    expect_that!(state.counters().count(), eq(MAX_COUNTERS));
}
