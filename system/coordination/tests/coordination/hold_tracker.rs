//! Tests of hold expiry on the monotonic clock of one process.

use crate::commands::{acquire, acquire_after_expiry, apply, batch, release, renew};
use coordination::{CoordinationState, HoldTracker, MIN_CLOCK_RATE_ALLOWANCE_MS};
use googletest::prelude::*;

#[gtest]
fn a_hold_expires_after_its_duration_and_an_allowance_from_the_first_observation() {
    let (mut state, mut tracker) = (CoordinationState::default(), HoldTracker::default());
    apply(&mut state, acquire("a", "x", 1_000));
    expect_that!(tracker.remaining_ms("a", &state, 500), none());
    expect_that!(tracker.is_expired("a", &state, u64::MAX), eq(false));
    tracker.observe(&state, 500);
    // A repeated observation does not restart the hold.
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
fn the_allowance_of_a_long_hold_is_a_hundredth_of_it() {
    let (mut state, mut tracker) = (CoordinationState::default(), HoldTracker::default());
    apply(&mut state, acquire("a", "x", 60_000));
    tracker.observe(&state, 0);
    expect_that!(tracker.is_expired("a", &state, 60_600), eq(false));
    expect_that!(tracker.is_expired("a", &state, 60_601), eq(true));
}

#[gtest]
fn a_renewal_and_a_new_holder_restart_the_hold() {
    let (mut state, mut tracker) = (CoordinationState::default(), HoldTracker::default());
    apply(&mut state, acquire("a", "x", 1_000));
    tracker.observe(&state, 0);
    apply(&mut state, renew("a", "x", 1, 1_000));
    // The new grant has not been observed yet; the time of the old grant must not apply to it.
    expect_that!(tracker.is_expired("a", &state, 5_000), eq(false));
    tracker.observe(&state, 5_000);
    expect_that!(tracker.is_expired("a", &state, 6_050), eq(false));
    expect_that!(tracker.is_expired("a", &state, 6_051), eq(true));
    apply(&mut state, acquire_after_expiry("a", "y", 1_000, Some(2)));
    tracker.observe(&state, 7_000);
    expect_that!(tracker.is_expired("a", &state, 8_050), eq(false));
    expect_that!(tracker.is_expired("a", &state, 8_051), eq(true));
    apply(&mut state, release("a", "y", 3));
    expect_that!(tracker.remaining_ms("a", &state, 8_051), none());
}

#[gtest]
fn a_process_that_restores_a_snapshot_waits_for_the_full_hold() {
    let mut state = CoordinationState::default();
    apply(&mut state, acquire("a", "x", 1_000));
    let restored = CoordinationState::restore(&state.snapshot()).unwrap();
    let mut tracker = HoldTracker::default();
    tracker.observe(&restored, 9_000);
    expect_that!(tracker.is_expired("a", &restored, 10_050), eq(false));
    expect_that!(tracker.is_expired("a", &restored, 10_051), eq(true));
}

#[gtest]
fn observing_an_earlier_state_restarts_its_holds() {
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
fn superseded_grants_are_pruned() {
    let (mut state, mut tracker) = (CoordinationState::default(), HoldTracker::default());
    apply(&mut state, acquire("idle", "x", 1_000));
    for now_ms in 0..1_000 {
        apply(&mut state, acquire("a", "x", 1_000));
        tracker.observe(&state, now_ms);
    }
    // Pruning retains the time of the lock that was granted only once.
    expect_that!(tracker.remaining_ms("idle", &state, 1_000), some(eq(51)));
    expect_that!(tracker.remaining_ms("a", &state, 1_000), some(eq(1_050)));
    let debug_text = format!("{tracker:?}");
    expect_that!(debug_text.len(), lt(2_000));
}

#[gtest]
fn all_grants_of_one_batch_are_measured_from_its_observation() {
    let (mut state, mut tracker) = (CoordinationState::default(), HoldTracker::default());
    state.apply(&batch(0, vec![acquire("a", "x", 100), acquire("b", "y", 100), renew("a", "x", 1, 100)]));
    tracker.observe(&state, 10);
    expect_that!(tracker.remaining_ms("a", &state, 10), some(eq(151)));
    expect_that!(tracker.remaining_ms("b", &state, 10), some(eq(151)));
}
