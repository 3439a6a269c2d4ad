//! Locks: grants, fencing tokens, expiry by grant, limits.

use crate::commands::{acquire, apply, batch, granted, release, renew, take};
use coordination::{CoordinationState, Lock, MAX_HOLD_MS, MAX_LOCKS, MAX_TEXT_BYTES};
use fleet_model::CoordinationOutcome::{LimitReached, LockNotHeld, LockReleased};
use googletest::prelude::*;

fn lock(holder: &str, fence: u64, hold_ms: u64, grant: u64) -> Lock {
    Lock { holder: holder.to_owned(), fence, hold_ms, grant }
}

#[gtest]
fn a_free_lock_is_granted_and_refused_to_others() {
    let mut state = CoordinationState::default();
    expect_that!(state.lock("a"), none());
    expect_that!(apply(&mut state, acquire("a", "x", 100)), eq(&granted(1)));
    expect_that!(apply(&mut state, acquire("a", "y", 100)), eq(&LockNotHeld));
    expect_that!(state.lock("a"), some(eq(&lock("x", 1, 100, 1))));
    expect_that!(apply(&mut state, acquire("b", "y", 100)), eq(&granted(2)));
    expect_that!(state.locks().map(|(name, _)| name).collect::<Vec<_>>(), eq(&vec!["a", "b"]));
}

#[gtest]
fn the_holder_that_asks_again_keeps_its_fence_under_a_new_grant() {
    let mut state = CoordinationState::default();
    apply(&mut state, acquire("a", "x", 100));
    expect_that!(apply(&mut state, acquire("a", "x", 300)), eq(&granted(1)));
    expect_that!(state.lock("a"), some(eq(&lock("x", 1, 300, 2))));
}

#[gtest]
fn a_renewal_needs_holder_and_fence() {
    let mut state = CoordinationState::default();
    expect_that!(apply(&mut state, renew("a", "x", 1, 100)), eq(&LockNotHeld));
    apply(&mut state, acquire("a", "x", 100));
    expect_that!(apply(&mut state, renew("a", "y", 1, 100)), eq(&LockNotHeld));
    expect_that!(apply(&mut state, renew("a", "x", 2, 100)), eq(&LockNotHeld));
    expect_that!(state.lock("a"), some(eq(&lock("x", 1, 100, 1))));
    expect_that!(apply(&mut state, renew("a", "x", 1, 200)), eq(&granted(1)));
    expect_that!(state.lock("a"), some(eq(&lock("x", 1, 200, 2))));
}

#[gtest]
fn a_release_needs_holder_and_fence_and_is_always_answered() {
    let mut state = CoordinationState::default();
    expect_that!(apply(&mut state, release("a", "x", 1)), eq(&LockReleased));
    apply(&mut state, acquire("a", "x", 100));
    expect_that!(apply(&mut state, release("a", "y", 1)), eq(&LockReleased));
    expect_that!(apply(&mut state, release("a", "x", 2)), eq(&LockReleased));
    expect_that!(state.lock("a"), some(anything()));
    expect_that!(apply(&mut state, release("a", "x", 1)), eq(&LockReleased));
    expect_that!(state.lock("a"), none());
}

#[gtest]
fn fences_rise_over_release() {
    let mut state = CoordinationState::default();
    apply(&mut state, acquire("a", "x", 100));
    apply(&mut state, renew("a", "x", 1, 100));
    apply(&mut state, release("a", "x", 1));
    expect_that!(apply(&mut state, acquire("a", "x", 100)), eq(&granted(3)));
    expect_that!(apply(&mut state, renew("a", "x", 1, 100)), eq(&LockNotHeld));
    apply(&mut state, release("a", "x", 1));
    expect_that!(state.lock("a"), some(eq(&lock("x", 3, 100, 3))));
}

#[gtest]
fn another_holder_replaces_only_the_grant_that_was_found_expired() {
    let mut state = CoordinationState::default();
    apply(&mut state, acquire("a", "x", 100));
    // The hold is extended after the leader found its first grant expired.
    apply(&mut state, renew("a", "x", 1, 100));
    expect_that!(apply(&mut state, take("a", "y", 100, Some(1))), eq(&LockNotHeld));
    expect_that!(apply(&mut state, take("a", "y", 100, Some(3))), eq(&LockNotHeld));
    expect_that!(apply(&mut state, take("a", "y", 50, Some(2))), eq(&granted(3)));
    expect_that!(state.lock("a"), some(eq(&lock("y", 3, 50, 3))));
    expect_that!(apply(&mut state, renew("a", "x", 1, 100)), eq(&LockNotHeld));
}

#[gtest]
fn an_expired_hold_that_nobody_took_is_renewed() {
    let mut state = CoordinationState::default();
    apply(&mut state, acquire("a", "x", 100));
    state.apply(&batch(1_000_000, Vec::new()));
    expect_that!(apply(&mut state, renew("a", "x", 1, 100)), eq(&granted(1)));
    expect_that!(apply(&mut state, take("a", "x", 100, Some(2))), eq(&granted(1)));
}

#[gtest]
fn a_shorter_renewal_whose_answer_is_lost_does_not_end_the_longer_hold() {
    let mut state = CoordinationState::default();
    apply(&mut state, acquire("a", "x", 300));
    apply(&mut state, renew("a", "x", 1, 100));
    expect_that!(state.lock("a"), some(eq(&lock("x", 1, 300, 2))));
    apply(&mut state, acquire("a", "x", 100));
    expect_that!(state.lock("a"), some(eq(&lock("x", 1, 300, 3))));
}

#[gtest]
fn texts_and_holds_beyond_the_limits_change_nothing() {
    let (fits, long) = ("n".repeat(MAX_TEXT_BYTES), "n".repeat(MAX_TEXT_BYTES + 1));
    let mut state = CoordinationState::default();
    for command in [acquire(&long, "x", 1), acquire("a", &long, 1), acquire("a", "x", MAX_HOLD_MS + 1)] {
        expect_that!(apply(&mut state, command), eq(&LimitReached));
    }
    expect_that!(state, eq(&CoordinationState::default()));
    expect_that!(apply(&mut state, acquire(&fits, &fits, MAX_HOLD_MS)), eq(&granted(1)));
    let before = state.clone();
    expect_that!(apply(&mut state, renew(&fits, &fits, 1, MAX_HOLD_MS + 1)), eq(&LimitReached));
    expect_that!(state, eq(&before));
}

#[gtest]
fn a_lock_beyond_the_largest_number_is_refused_and_held_ones_are_served() {
    let mut state = CoordinationState::default();
    let commands = (0..MAX_LOCKS).map(|number| acquire(&number.to_string(), "x", 100)).collect();
    let outcomes = state.apply(&batch(0, commands));
    expect_that!(outcomes.last(), some(eq(&granted(MAX_LOCKS as u64))));
    expect_that!(apply(&mut state, acquire("one more", "x", 100)), eq(&LimitReached));
    expect_that!(apply(&mut state, renew("7", "x", 8, 100)), eq(&granted(8)));
    expect_that!(apply(&mut state, take("8", "y", 100, Some(9))), eq(&granted(MAX_LOCKS as u64 + 2)));
    apply(&mut state, release("7", "x", 8));
    expect_that!(apply(&mut state, acquire("one more", "x", 100)), eq(&granted(MAX_LOCKS as u64 + 3)));
}
