//! Failure detection of storage nodes, and the roster steps that follow from it.

use controllers::{
    LossTolerance, RosterStep, StorageController, join, join_founder, remove_node, retire, times,
};
use fleet_model::{ControlState, StorageNode};
use googletest::prelude::*;
use std::net::Ipv4Addr;

fn storage_node(name: &str, ip: u8, disk: u64) -> StorageNode {
    StorageNode { name: name.into(), ip: Ipv4Addr::new(10, 3, 0, ip), zone: "a".into(), disk }
}

fn bootstrapped(count: u8) -> ControlState {
    let mut state = ControlState::default();
    state.roster.epoch = 7;
    state.roster.current = (1..=count).map(|at| storage_node(&format!("s{at}"), at, at.into())).collect();
    state
}

/// The state with another machine as a member.
fn joined(state: &ControlState, store: &StorageNode) -> ControlState {
    completed(join(state, store, 3).expect("it can join"))
}

/// The state without the member with this disk, which did not respond.
fn without(state: &ControlState, disk: u64) -> ControlState {
    let removed = state.roster.current.iter().find(|store| store.disk == disk).expect("a member");
    completed(remove_node(state, removed, state.roster.epoch, 1).expect("it can be removed"))
}

/// The state without this machine, which was retired.
fn retired(state: &ControlState, name: &str) -> ControlState {
    completed(retire(state, name, 1).0.expect("it can be retired"))
}

/// The state in which the next set has become the current one.
fn completed(mut state: ControlState) -> ControlState {
    state.roster.current = state.roster.next.take().expect("a change");
    state
}

/// A storage controller with a clock; it probes whenever a round is due.
struct ProbingController {
    inner: StorageController,
    now: u64,
}

impl ProbingController {
    fn new() -> Self {
        Self { inner: StorageController::default(), now: 10_000 }
    }

    /// Advances the clock to `until`; only the nodes with these disks respond.
    fn run(&mut self, until: u64, state: &ControlState, live: &[u64]) {
        while self.now < until {
            self.inner.observe(self.now, &state.roster, 3);
            if self.inner.is_probe_due(self.now) {
                self.probe(state, live);
            }
            self.now += 50;
        }
    }

    fn probe(&mut self, state: &ControlState, live: &[u64]) {
        self.inner.begin_probe_round(self.now);
        let mut disks: Vec<u64> = state.roster.current.iter().map(|store| store.disk).collect();
        disks.extend(controllers::proposed_nodes(&state.roster).iter().map(|store| store.disk));
        disks.sort_unstable();
        disks.dedup();
        for disk in disks {
            match live.contains(&disk) {
                true => self.inner.record_response(self.now, disk),
                false => self.inner.record_missed_probe(disk),
            }
        }
    }

    fn step(&self, state: &ControlState) -> RosterStep {
        self.inner.step(self.now, state, 1)
    }
}

fn removed_disk(step: &RosterStep) -> Option<u64> {
    match step {
        RosterStep::RemoveNode { store, .. } => Some(store.disk),
        _ => None,
    }
}

#[gtest]
fn an_unresponsive_node_is_removed_after_the_timeout_and_not_before() {
    let state = bootstrapped(4);
    let mut controller = ProbingController::new();
    controller.run(60_000, &state, &[1, 2, 3, 4]);
    controller.run(60_000 + times::STORAGE_TIMEOUT_MS - 1_000, &state, &[1, 2, 3]);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
    controller.run(60_000 + times::STORAGE_TIMEOUT_MS + 500, &state, &[1, 2, 3]);
    expect_that!(removed_disk(&controller.step(&state)), some(eq(4)));
}

#[gtest]
fn a_recently_started_controller_removes_an_unresponsive_node_sooner() {
    // given a controller that cannot know whether one of the four came to replace another
    let state = bootstrapped(4);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3, 4]);
    controller.run(20_000 + times::STORAGE_TIMEOUT_AFTER_START_MS - 1_000, &state, &[1, 2, 3]);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
    controller.run(20_000 + times::STORAGE_TIMEOUT_AFTER_START_MS + 500, &state, &[1, 2, 3]);
    expect_that!(removed_disk(&controller.step(&state)), some(eq(4)));
}

#[gtest]
fn an_advanced_backfill_is_allowed_to_complete() -> Result<()> {
    // given that s9 is being added
    let mut controller = ProbingController::new();
    controller.run(20_000, &bootstrapped(3), &[1, 2, 3]);
    let state = join(&bootstrapped(3), &storage_node("s9", 9, 9), 3).or_fail()?;
    controller.run(20_100, &state, &[1, 2, 3, 9]);
    // when s3 is lost, then nothing begins anew while that may end soon
    controller.run(20_000 + times::MAX_BACKFILL_PROTECTED_MS - 100, &state, &[1, 2, 9]);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
    // but not for long
    controller.run(20_000 + times::MAX_BACKFILL_PROTECTED_MS + 200, &state, &[1, 2, 9]);
    expect_that!(removed_disk(&controller.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn waiving_an_unresponsive_node_takes_precedence_over_its_removal() -> Result<()> {
    // given that s9 is being added, all others are in sync for it, and s3 is lost
    let mut state = join(&bootstrapped(3), &storage_node("s9", 9, 9), 3).or_fail()?;
    state.roster.in_sync = vec![1, 2, 9];
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3, 9]);
    controller.run(20_000 + times::REPLACED_STORAGE_TIMEOUT_MS + 800, &state, &[1, 2, 9]);
    expect_that!(controller.step(&state), eq(&RosterStep::WaiveBackfill(vec![3])));
    Ok(())
}

#[gtest]
fn a_flapping_node_is_not_removed() {
    let state = bootstrapped(4);
    let mut controller = ProbingController::new();
    for _ in 0..10 {
        let now = controller.now;
        controller.run(now + 4_000, &state, &[1, 2, 3]);
        expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
        controller.run(now + 6_000, &state, &[1, 2, 3, 4]);
    }
}

#[gtest]
fn a_node_replaced_at_another_address_is_removed_soon() -> Result<()> {
    // given that s3 is lost, and s9 comes 1.5 s later
    let state = bootstrapped(3);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3]);
    controller.run(21_500, &state, &[1, 2]);
    let state = join(&state, &storage_node("s9", 9, 9), 3).or_fail()?;
    // after the next probe round
    controller.run(21_850, &state, &[1, 2, 9]);
    // then s3 is removed
    expect_that!(removed_disk(&controller.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn a_planned_replacement_removes_the_old_node_soon() -> Result<()> {
    // given that s9 has joined and is current
    let mut state = bootstrapped(3);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3]);
    state = joined(&state, &storage_node("s9", 9, 9));
    controller.run(25_000, &state, &[1, 2, 3, 9]);
    // when s3 ends
    controller.run(25_000 + times::REPLACED_STORAGE_TIMEOUT_MS + 1_000, &state, &[1, 2, 9]);
    // then it is removed
    expect_that!(removed_disk(&controller.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn a_joined_node_replaces_one_node_only() -> Result<()> {
    // given that s9 came for s4, which is out
    let mut state = bootstrapped(4);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3]);
    state = joined(&without(&state, 4), &storage_node("s9", 9, 9));
    controller.run(21_000, &state, &[1, 2, 3, 9]);
    // when another freezes for four seconds, then it stays
    controller.run(25_000, &state, &[1, 2, 9]);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
    // and where the wrong one was removed and returns, s9 is free for another
    let other = joined(&without(&state, 3), &storage_node("s4", 4, 4));
    controller.run(26_000, &other, &[1, 2, 4, 9]);
    controller.run(29_000, &other, &[1, 4, 9]);
    expect_that!(removed_disk(&controller.step(&other)), some(eq(2)));
    Ok(())
}

#[gtest]
fn a_joined_node_does_not_replace_a_retired_one() -> Result<()> {
    // given that s4 was retired, and s9 has come for s3
    let mut state = bootstrapped(4);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3, 4]);
    state = retired(&state, "s4");
    controller.run(25_000, &state, &[1, 2, 3]);
    state = joined(&state, &storage_node("s9", 9, 9));
    controller.run(28_000, &state, &[1, 2, 9]);
    expect_that!(removed_disk(&controller.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn a_retired_replacement_needs_no_replacement_itself() -> Result<()> {
    // given that s9 came for s4, which is out, and was retired in its turn
    let mut state = bootstrapped(4);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3]);
    state = joined(&without(&state, 4), &storage_node("s9", 9, 9));
    controller.run(21_000, &state, &[1, 2, 3, 9]);
    state = retired(&state, "s9");
    controller.run(24_000, &state, &[1, 2, 3]);
    // when s3 is lost and s10 comes, then it came for s3
    controller.run(25_000, &state, &[1, 2]);
    state = joined(&state, &storage_node("s10", 10, 10));
    controller.run(27_000, &state, &[1, 2, 10]);
    expect_that!(removed_disk(&controller.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn a_wiped_node_replaces_only_itself() -> Result<()> {
    let mut state = bootstrapped(4);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3, 4]);
    state.roster.current[3].disk = 44;
    controller.run(21_000, &state, &[1, 2, 3, 44]);
    controller.run(25_000, &state, &[1, 2, 44]);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
    Ok(())
}

#[gtest]
fn a_controller_started_during_a_change_derives_the_replacement_from_it() -> Result<()> {
    let state = join(&bootstrapped(3), &storage_node("s9", 9, 9), 3).or_fail()?;
    let mut controller = ProbingController::new();
    controller.run(10_000 + times::MAX_BACKFILL_PROTECTED_MS + 500, &state, &[1, 2, 9]);
    expect_that!(removed_disk(&controller.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn a_missed_probe_after_a_long_gap_does_not_count() {
    // given a controller whose last probe round was long ago, as after a suspension
    let state = bootstrapped(4);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3, 4]);
    controller.now = 20_000 + 2 * times::STORAGE_TIMEOUT_MS;
    // when its next probes of s4 are missed
    controller.run(controller.now + 1_000, &state, &[1, 2, 3]);
    // then s4 counts as unresponsive for a second only
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
}

#[gtest]
fn a_probe_round_before_a_suspension_decides_nothing() {
    let state = bootstrapped(4);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3, 4]);
    controller.probe(&state, &[1, 2, 3]);
    controller.probe(&state, &[1, 2, 3]);
    controller.now += 2 * times::STORAGE_TIMEOUT_MS;
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
}

#[gtest]
fn an_unresponsive_node_of_the_next_set_is_waived_within_the_tolerance() {
    let mut state = bootstrapped(3);
    state.roster.next =
        Some(vec![storage_node("s1", 1, 1), storage_node("s2", 2, 22), storage_node("s3", 3, 3)]);
    state.roster.in_sync = vec![1, 22];
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 22, 3]);
    controller.run(20_000 + times::BACKFILL_MEMBER_TIMEOUT_MS + 500, &state, &[1, 22]);
    expect_that!(controller.step(&state), eq(&RosterStep::WaiveBackfill(vec![3])));
    controller.run(20_000 + 2 * times::BACKFILL_MEMBER_TIMEOUT_MS + 1_000, &state, &[1]);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
}

fn bootstrapping(count: u8, in_sync: &[u64]) -> ControlState {
    let mut state = bootstrapped(count);
    state.roster.next = Some(std::mem::take(&mut state.roster.current));
    state.roster.in_sync = in_sync.to_vec();
    state
}

#[gtest]
fn a_bootstrap_waits_a_bounded_time_for_more_nodes() {
    // given two machines where three are needed
    let mut controller = ProbingController::new();
    let state = bootstrapping(2, &[1, 2]);
    controller.run(10_000 + times::BOOTSTRAP_WAIT_MS - 200, &state, &[1, 2]);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
    // when the time is over, then they bootstrap, but not before each is in sync
    controller.run(10_000 + times::BOOTSTRAP_WAIT_MS + 200, &state, &[1, 2]);
    expect_that!(controller.step(&bootstrapping(2, &[1])), eq(&RosterStep::NoChange));
    expect_that!(controller.step(&state), eq(&RosterStep::Bootstrap));
    // and a machine that keeps coming and going does not restart the wait
    let mut later = bootstrapping(3, &[1, 2, 3]);
    later.roster.epoch += 1;
    controller.run(controller.now + 200, &later, &[1, 2, 3]);
    expect_that!(controller.step(&later), eq(&RosterStep::Bootstrap));
}

#[gtest]
fn a_bootstrap_removes_a_node_that_became_unresponsive() -> Result<()> {
    let state = bootstrapping(2, &[1]);
    let mut controller = ProbingController::new();
    controller.run(11_000, &state, &[1, 2]);
    controller.run(10_000 + times::BOOTSTRAP_WAIT_MS + 600, &state, &[1]);
    let step = controller.step(&state);
    expect_that!(removed_disk(&step), some(eq(2)));
    expect_that!(step.apply_to(&state, 7, 3).or_fail()?.roster.next, some(len(eq(1))));
    // but the last one is not removed
    controller.run(controller.now + 4_000, &bootstrapping(1, &[]), &[]);
    expect_that!(controller.step(&bootstrapping(1, &[])), eq(&RosterStep::NoChange));
    Ok(())
}

/// Members of `count` that are removed, one after the other, when only these are live.
fn remaining_after_losses(count: u8, tolerance: usize, live: &[u64]) -> Vec<u64> {
    let mut state = bootstrapped(count);
    let mut controller = ProbingController::new();
    let all: Vec<u64> = (1..=count.into()).collect();
    controller.run(60_000, &state, &all);
    loop {
        controller.run(controller.now + times::BLOCKING_STORAGE_TIMEOUT_MS + 1_000, &state, live);
        let step = controller.inner.step(controller.now, &state, tolerance);
        let Some(next) = step.apply_to(&state, state.roster.epoch, 2 * tolerance + 1) else { break };
        state = next;
    }
    controllers::proposed_nodes(&state.roster).iter().map(|store| store.disk).collect()
}

#[gtest]
fn a_set_below_the_minimum_shrinks_to_the_nodes_that_store_all_records() {
    // four with two losses to tolerate: three write, so one loss is served through, and two are not
    expect_that!(remaining_after_losses(4, 2, &[1, 2, 3]), elements_are![&1, &2, &3, &4]);
    expect_that!(remaining_after_losses(4, 2, &[1, 2]), elements_are![&1, &2]);
    // one of four may not store all
    expect_that!(remaining_after_losses(4, 2, &[1]), elements_are![&1, &2, &3, &4]);
    expect_that!(remaining_after_losses(3, 2, &[1, 2]), elements_are![&1, &2]);
    expect_that!(remaining_after_losses(3, 2, &[1]), elements_are![&1]);
    expect_that!(remaining_after_losses(2, 1, &[2]), elements_are![&2]);
    // a controller without any response removes no node
    expect_that!(remaining_after_losses(2, 1, &[]), elements_are![&1, &2]);
    // a set of enough nodes is kept unchanged for the full timeout
    expect_that!(remaining_after_losses(3, 1, &[1, 2]), elements_are![&1, &2, &3]);
    expect_that!(remaining_after_losses(3, 1, &[1]), elements_are![&1, &2, &3]);
    expect_that!(remaining_after_losses(5, 2, &[1, 2, 3]), elements_are![&1, &2, &3, &4, &5]);
}

#[gtest]
fn the_only_node_of_a_next_set_is_not_waived() {
    let mut state = bootstrapped(1);
    state.roster.next = Some(vec![storage_node("s1", 1, 11)]);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 11]);
    controller.run(20_000 + times::BACKFILL_MEMBER_TIMEOUT_MS + 1_000, &state, &[1]);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
}

#[gtest]
fn the_loss_tolerance_is_reported_when_reduced_and_when_it_changes() {
    let tolerance = |served, survived| LossTolerance { served, survived };
    let mut controller = StorageController::default();
    expect_that!(controller.loss_tolerance_change(&Default::default(), 2), none());
    expect_that!(controller.loss_tolerance_change(&bootstrapped(5).roster, 2), none());
    expect_that!(controller.loss_tolerance_change(&bootstrapped(4).roster, 2), some(eq(tolerance(1, 2))));
    expect_that!(controller.loss_tolerance_change(&bootstrapped(4).roster, 2), none());
    expect_that!(controller.loss_tolerance_change(&bootstrapped(2).roster, 2), some(eq(tolerance(0, 1))));
    // while a set grows, the smaller one counts
    let mut growing = bootstrapped(2);
    growing.roster.next = Some(bootstrapped(5).roster.current);
    expect_that!(controller.loss_tolerance_change(&growing.roster, 2), none());
    expect_that!(controller.loss_tolerance_change(&bootstrapped(6).roster, 2), some(eq(tolerance(2, 2))));
    expect_that!(
        controller.loss_tolerance_change(&bootstrapping(5, &[]).roster, 2),
        some(eq(tolerance(0, 0)))
    );
}

#[gtest]
fn of_two_live_nodes_of_one_name_the_member_remains() {
    let state = bootstrapped(3);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3]);
    let rival = storage_node("s3", 9, 33);
    expect_that!(controller.inner.admits(&state.roster, &rival), eq(false));
    // one that lost its disk is at its old address, and takes its place at once
    expect_that!(controller.inner.admits(&state.roster, &storage_node("s3", 3, 33)), eq(true));
    // and once the member is missed, the other may join
    controller.run(21_100, &state, &[1, 2]);
    expect_that!(controller.inner.admits(&state.roster, &rival), eq(true));
}

#[gtest]
fn a_restarted_controller_knows_of_a_replacement() {
    // given that s9 joined, and then all control nodes were restarted
    let state = joined(&bootstrapped(3), &storage_node("s9", 9, 9));
    let mut controller = ProbingController::new();
    // when s3 has not responded since,
    controller.run(10_000 + times::REPLACED_STORAGE_TIMEOUT_MS - 500, &state, &[1, 2, 9]);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
    // then it is removed as the machine that s9 replaces
    controller.run(10_000 + times::REPLACED_STORAGE_TIMEOUT_MS + 500, &state, &[1, 2, 9]);
    expect_that!(removed_disk(&controller.step(&state)), some(eq(3)));
}

#[gtest]
fn a_machine_that_joins_right_after_the_bootstrap_replaces_one_unless_it_founds_the_fleet() {
    for (join, timeout_ms) in [
        (
            join as fn(&ControlState, &StorageNode, usize) -> Option<ControlState>,
            times::REPLACED_STORAGE_TIMEOUT_MS,
        ),
        (join_founder, times::STORAGE_TIMEOUT_MS),
    ] {
        // given a bootstrap that this controller has observed, and s9 that joins at once
        let mut controller = ProbingController::new();
        controller.run(10_500, &bootstrapping(3, &[1, 2, 3]), &[1, 2, 3]);
        controller.run(11_000, &bootstrapped(3), &[1, 2, 3]);
        let state = completed(join(&bootstrapped(3), &storage_node("s9", 9, 9), 3).expect("it can join"));
        controller.run(12_000, &state, &[1, 2, 3, 9]);
        // when s3 ends, then it is removed at once only if s9 may have come for it
        controller.run(12_000 + timeout_ms - 1_000, &state, &[1, 2, 9]);
        expect_that!(controller.step(&state), eq(&RosterStep::NoChange), "within {timeout_ms} ms");
        controller.run(12_000 + timeout_ms + 600, &state, &[1, 2, 9]);
        expect_that!(removed_disk(&controller.step(&state)), some(eq(3)), "after {timeout_ms} ms");
    }
}

#[gtest]
fn a_turnover_is_forgotten_after_its_window() -> Result<()> {
    // given that s9 came for s4, and s10 for none
    let state = joined(&without(&bootstrapped(4), 4), &storage_node("s9", 9, 9));
    let state = joined(&state, &storage_node("s10", 10, 10));
    let live = [1, 2, 3, 9, 10];
    let mut controller = ProbingController::new();
    controller.run(10_000 + times::REPLACEMENT_WINDOW_MS - 500, &state, &live);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
    // when the window is over, then both are forgotten, and the roster is otherwise unchanged
    controller.run(10_000 + times::REPLACEMENT_WINDOW_MS + 500, &state, &live);
    let step = controller.step(&state);
    expect_that!(step, eq(&RosterStep::ForgetTurnover(vec!["s10".to_owned(), "s4".to_owned()])));
    let after = step.apply_to(&state, state.roster.epoch, 3).or_fail()?;
    expect_that!(after.roster.turnover.is_empty(), eq(true));
    expect_that!(
        (after.roster.epoch, &after.roster.current),
        eq((state.roster.epoch, &state.roster.current))
    );
    expect_that!(step.apply_to(&after, after.roster.epoch, 3), none());
    Ok(())
}
