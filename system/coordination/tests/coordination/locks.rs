//! Tests of locks: grants, fencing tokens, takeover of an expired grant, limits.

use crate::commands::{acquire, acquire_after_expiry, apply, batch, granted, release, renew};
use coordination::{CoordinationState, Lock, MAX_HOLD_MS, MAX_LOCKS, MAX_TEXT_BYTES};
use fleet_model::CoordinationOutcome::{LimitReached, LockNotHeld, LockReleased};
use googletest::prelude::*;

fn lock(holder: &str, fence: u64, hold_ms: u64, grant: u64) -> Lock {
    Lock { holder: holder.to_owned(), fence, hold_ms, grant }
}

#[gtest]
fn a_free_lock_is_granted_and_then_denied_to_others() {
    let mut state = CoordinationState::default();
    expect_that!(state.lock("a"), none());
    expect_that!(apply(&mut state, acquire("a", "x", 100)), eq(&granted(1)));
    expect_that!(apply(&mut state, acquire("a", "y", 100)), eq(&LockNotHeld));
    expect_that!(state.lock("a"), some(eq(&lock("x", 1, 100, 1))));
    expect_that!(apply(&mut state, acquire("b", "y", 100)), eq(&granted(2)));
    expect_that!(state.locks().map(|(name, _)| name).collect::<Vec<_>>(), eq(&vec!["a", "b"]));
}

#[gtest]
fn a_repeated_acquire_keeps_the_fencing_token_and_gets_a_new_grant() {
    let mut state = CoordinationState::default();
    apply(&mut state, acquire("a", "x", 100));
    expect_that!(apply(&mut state, acquire("a", "x", 300)), eq(&granted(1)));
    expect_that!(state.lock("a"), some(eq(&lock("x", 1, 300, 2))));
}

#[gtest]
fn a_renewal_needs_the_holder_and_its_fencing_token() {
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
fn a_release_needs_the_holder_and_its_fencing_token_but_always_succeeds() {
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
fn fencing_tokens_increase_across_a_release() {
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
fn a_new_holder_replaces_only_the_grant_that_was_found_expired() {
    let mut state = CoordinationState::default();
    apply(&mut state, acquire("a", "x", 100));
    // The hold is extended after the leader has found its first grant expired.
    apply(&mut state, renew("a", "x", 1, 100));
    expect_that!(apply(&mut state, acquire_after_expiry("a", "y", 100, Some(1))), eq(&LockNotHeld));
    expect_that!(apply(&mut state, acquire_after_expiry("a", "y", 100, Some(3))), eq(&LockNotHeld));
    expect_that!(apply(&mut state, acquire_after_expiry("a", "y", 50, Some(2))), eq(&granted(3)));
    expect_that!(state.lock("a"), some(eq(&lock("y", 3, 50, 3))));
    expect_that!(apply(&mut state, renew("a", "x", 1, 100)), eq(&LockNotHeld));
}

#[gtest]
fn an_expired_hold_without_a_new_holder_can_be_renewed() {
    let mut state = CoordinationState::default();
    apply(&mut state, acquire("a", "x", 100));
    state.apply(&batch(1_000_000, Vec::new()));
    expect_that!(apply(&mut state, renew("a", "x", 1, 100)), eq(&granted(1)));
    expect_that!(apply(&mut state, acquire_after_expiry("a", "x", 100, Some(2))), eq(&granted(1)));
}

#[gtest]
fn a_shorter_renewal_does_not_shorten_the_hold() {
    let mut state = CoordinationState::default();
    apply(&mut state, acquire("a", "x", 300));
    apply(&mut state, renew("a", "x", 1, 100));
    expect_that!(state.lock("a"), some(eq(&lock("x", 1, 300, 2))));
    apply(&mut state, acquire("a", "x", 100));
    expect_that!(state.lock("a"), some(eq(&lock("x", 1, 300, 3))));
}

#[gtest]
fn texts_and_holds_beyond_the_limits_are_rejected_without_a_change() {
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
fn locks_beyond_the_maximum_are_rejected_and_held_ones_still_work() {
    let mut state = CoordinationState::default();
    let commands = (0..MAX_LOCKS).map(|number| acquire(&number.to_string(), "x", 100)).collect();
    let outcomes = state.apply(&batch(0, commands));
    expect_that!(outcomes.last(), some(eq(&granted(MAX_LOCKS as u64))));
    expect_that!(apply(&mut state, acquire("one more", "x", 100)), eq(&LimitReached));
    expect_that!(apply(&mut state, renew("7", "x", 8, 100)), eq(&granted(8)));
    expect_that!(
        apply(&mut state, acquire_after_expiry("8", "y", 100, Some(9))),
        eq(&granted(MAX_LOCKS as u64 + 2))
    );
    apply(&mut state, release("7", "x", 8));
    expect_that!(apply(&mut state, acquire("one more", "x", 100)), eq(&granted(MAX_LOCKS as u64 + 3)));
}
