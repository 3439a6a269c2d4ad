//! How long holds last on a process's own clock.

use crate::commands::{acquire, apply, batch, release, renew, take};
use coordination::{CoordinationState, HoldTracker, MIN_CLOCK_RATE_ALLOWANCE_MS};
use googletest::prelude::*;

#[gtest]
fn a_hold_lasts_from_when_its_grant_was_seen_with_an_allowance() {
    let (mut state, mut tracker) = (CoordinationState::default(), HoldTracker::default());
    apply(&mut state, acquire("a", "x", 1_000));
    expect_that!(tracker.remaining_ms("a", &state, 500), none());
    expect_that!(tracker.is_expired("a", &state, u64::MAX), eq(false));
    tracker.observe(&state, 500);
    // Seen again: the hold goes on from the first time.
    tracker.observe(&state, 900);
    let expired_ms = 500 + 1_000 + MIN_CLOCK_RATE_ALLOWANCE_MS + 1;
    expect_that!(tracker.remaining_ms("a", &state, 500), some(eq(expired_ms - 500)));
    expect_that!(tracker.is_expired("a", &state, expired_ms - 1), eq(false));
    expect_that!(tracker.remaining_ms("a", &state, expired_ms - 1), some(eq(1)));
    expect_that!(tracker.is_expired("a", &state, expired_ms), eq(true));
    expect_that!(tracker.remaining_ms("a", &state, expired_ms), some(eq(0)));
    expect_that!(tracker.remaining_ms("free", &state, expired_ms), none());
    expect_that!(tracker.is_expired("free", &state, expired_ms), eq(false));
}

#[gtest]
fn a_long_hold_gets_a_hundredth_more() {
    let (mut state, mut tracker) = (CoordinationState::default(), HoldTracker::default());
    apply(&mut state, acquire("a", "x", 60_000));
    tracker.observe(&state, 0);
    expect_that!(tracker.is_expired("a", &state, 60_600), eq(false));
    expect_that!(tracker.is_expired("a", &state, 60_601), eq(true));
}

#[gtest]
fn a_renewal_and_another_holder_begin_anew() {
    let (mut state, mut tracker) = (CoordinationState::default(), HoldTracker::default());
    apply(&mut state, acquire("a", "x", 1_000));
    tracker.observe(&state, 0);
    apply(&mut state, renew("a", "x", 1, 1_000));
    // Not seen yet: the old grant's time does not count for the new one.
    expect_that!(tracker.is_expired("a", &state, 5_000), eq(false));
    tracker.observe(&state, 5_000);
    expect_that!(tracker.is_expired("a", &state, 6_050), eq(false));
    expect_that!(tracker.is_expired("a", &state, 6_051), eq(true));
    apply(&mut state, take("a", "y", 1_000, Some(2)));
    tracker.observe(&state, 7_000);
    expect_that!(tracker.is_expired("a", &state, 8_050), eq(false));
    expect_that!(tracker.is_expired("a", &state, 8_051), eq(true));
    apply(&mut state, release("a", "y", 3));
    expect_that!(tracker.remaining_ms("a", &state, 8_051), none());
}

#[gtest]
fn another_process_waits_the_whole_hold() {
    let mut state = CoordinationState::default();
    apply(&mut state, acquire("a", "x", 1_000));
    let restored = CoordinationState::restore(&state.snapshot()).unwrap();
    let mut tracker = HoldTracker::default();
    tracker.observe(&restored, 9_000);
    expect_that!(tracker.is_expired("a", &restored, 10_050), eq(false));
    expect_that!(tracker.is_expired("a", &restored, 10_051), eq(true));
}

#[gtest]
fn a_state_that_lies_before_the_last_seen_begins_anew() {
    let mut state = CoordinationState::default();
    apply(&mut state, acquire("a", "x", 1_000));
    let earlier = state.clone();
    apply(&mut state, acquire("b", "x", 1_000));
    let mut tracker = HoldTracker::default();
    tracker.observe(&state, 0);
    tracker.observe(&earlier, 4_000);
    expect_that!(tracker.remaining_ms("a", &earlier, 4_000), some(eq(1_051)));
}

#[gtest]
fn many_grants_of_few_locks_are_forgotten() {
    let (mut state, mut tracker) = (CoordinationState::default(), HoldTracker::default());
    apply(&mut state, acquire("idle", "x", 1_000));
    for now_ms in 0..1_000 {
        apply(&mut state, acquire("a", "x", 1_000));
        tracker.observe(&state, now_ms);
    }
    // The idle lock keeps its first time through all forgetting.
    expect_that!(tracker.remaining_ms("idle", &state, 1_000), some(eq(51)));
    expect_that!(tracker.remaining_ms("a", &state, 1_000), some(eq(1_050)));
    let text = format!("{tracker:?}");
    expect_that!(text.len(), lt(2_000));
}

#[gtest]
fn several_grants_of_one_batch_count_from_its_application() {
    let (mut state, mut tracker) = (CoordinationState::default(), HoldTracker::default());
    state.apply(&batch(0, vec![acquire("a", "x", 100), acquire("b", "y", 100), renew("a", "x", 1, 100)]));
    tracker.observe(&state, 10);
    expect_that!(tracker.remaining_ms("a", &state, 10), some(eq(151)));
    expect_that!(tracker.remaining_ms("b", &state, 10), some(eq(151)));
}
