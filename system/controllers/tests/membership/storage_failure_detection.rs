//! Failure detection of storage nodes, and the resulting roster steps.

use controllers::{
    LossTolerance, RosterStep, StorageController, join, join_initial_node, remove_node, retire, times,
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
    state.roster.current =
        (1..=count).map(|number| storage_node(&format!("s{number}"), number, number.into())).collect();
    state
}

/// The state after this node has joined and completed its backfill.
fn joined(state: &ControlState, store: &StorageNode) -> ControlState {
    completed(join(state, store, 3).expect("it can join"))
}

/// The state after the member with this disk was removed as unresponsive.
fn without(state: &ControlState, disk: u64) -> ControlState {
    let removed = state.roster.current.iter().find(|store| store.disk == disk).expect("a member");
    completed(remove_node(state, removed, state.roster.epoch, 1).expect("it can be removed"))
}

/// The state after this machine was retired.
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
    // The controller has not run long enough to know whether one of the four nodes joined to replace another.
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
    // Node s9 is being added.
    let mut controller = ProbingController::new();
    controller.run(20_000, &bootstrapped(3), &[1, 2, 3]);
    let state = join(&bootstrapped(3), &storage_node("s9", 9, 9), 3).or_fail()?;
    controller.run(20_100, &state, &[1, 2, 3, 9]);
    // s3 is lost: its removal, which would restart the backfill, is delayed while the backfill may still complete.
    controller.run(20_000 + times::MAX_BACKFILL_PROTECTED_MS - 100, &state, &[1, 2, 9]);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
    // After the protected time it is removed.
    controller.run(20_000 + times::MAX_BACKFILL_PROTECTED_MS + 200, &state, &[1, 2, 9]);
    expect_that!(removed_disk(&controller.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn waiving_an_unresponsive_node_takes_precedence_over_its_removal() -> Result<()> {
    // Node s9 is being added, all nodes but s3 are in sync, and s3 is lost.
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
    // s3 is lost, and s9 joins 1.5 s later: s3 is removed after the next probe round.
    let state = bootstrapped(3);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3]);
    controller.run(21_500, &state, &[1, 2]);
    let state = join(&state, &storage_node("s9", 9, 9), 3).or_fail()?;
    controller.run(21_850, &state, &[1, 2, 9]);
    expect_that!(removed_disk(&controller.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn a_planned_replacement_removes_the_old_node_soon() -> Result<()> {
    // s9 has joined and is current.
    let mut state = bootstrapped(3);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3]);
    state = joined(&state, &storage_node("s9", 9, 9));
    controller.run(25_000, &state, &[1, 2, 3, 9]);
    // s3 stops, and is removed after the shorter timeout.
    controller.run(25_000 + times::REPLACED_STORAGE_TIMEOUT_MS + 1_000, &state, &[1, 2, 9]);
    expect_that!(removed_disk(&controller.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn a_joined_node_replaces_only_one_node() -> Result<()> {
    // s9 has replaced s4, which was removed.
    let mut state = bootstrapped(4);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3]);
    state = joined(&without(&state, 4), &storage_node("s9", 9, 9));
    controller.run(21_000, &state, &[1, 2, 3, 9]);
    // Another node that is unresponsive for four seconds is not removed.
    controller.run(25_000, &state, &[1, 2, 9]);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
    // If the replaced node returns, s9 may replace another node.
    let other = joined(&without(&state, 3), &storage_node("s4", 4, 4));
    controller.run(26_000, &other, &[1, 2, 4, 9]);
    controller.run(29_000, &other, &[1, 4, 9]);
    expect_that!(removed_disk(&controller.step(&other)), some(eq(2)));
    Ok(())
}

#[gtest]
fn a_joined_node_does_not_replace_a_retired_one() -> Result<()> {
    // s4 was retired. s9 joins afterwards and counts as the replacement of s3, which is lost.
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
    // s9 has replaced s4, which was removed, and is then retired.
    let mut state = bootstrapped(4);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3]);
    state = joined(&without(&state, 4), &storage_node("s9", 9, 9));
    controller.run(21_000, &state, &[1, 2, 3, 9]);
    state = retired(&state, "s9");
    controller.run(24_000, &state, &[1, 2, 3]);
    // s3 is lost, and s10 joins: it counts as the replacement of s3.
    controller.run(25_000, &state, &[1, 2]);
    state = joined(&state, &storage_node("s10", 10, 10));
    controller.run(27_000, &state, &[1, 2, 10]);
    expect_that!(removed_disk(&controller.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn a_wiped_node_does_not_replace_another_node() -> Result<()> {
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
    // The controller's last probe round was long ago, as after a suspension.
    let state = bootstrapped(4);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3, 4]);
    controller.now = 20_000 + 2 * times::STORAGE_TIMEOUT_MS;
    // s4 misses the next probes: it counts as unresponsive for a second only.
    controller.run(controller.now + 1_000, &state, &[1, 2, 3]);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
}

#[gtest]
fn a_probe_round_before_a_suspension_removes_no_node() {
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
    // Two nodes have joined where three are needed.
    let mut controller = ProbingController::new();
    let state = bootstrapping(2, &[1, 2]);
    controller.run(10_000 + times::BOOTSTRAP_WAIT_MS - 200, &state, &[1, 2]);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
    // After the wait they are bootstrapped, but only once each is in sync.
    controller.run(10_000 + times::BOOTSTRAP_WAIT_MS + 200, &state, &[1, 2]);
    expect_that!(controller.step(&bootstrapping(2, &[1])), eq(&RosterStep::NoChange));
    expect_that!(controller.step(&state), eq(&RosterStep::Bootstrap));
    // A change of the next set, as by a node that joins repeatedly, does not restart the wait.
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
    // The last node is not removed.
    controller.run(controller.now + 4_000, &bootstrapping(1, &[]), &[]);
    expect_that!(controller.step(&bootstrapping(1, &[])), eq(&RosterStep::NoChange));
    Ok(())
}

/// Disks of the members that remain when, of `count` members, only the nodes with the disks `live` respond.
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
    // Four nodes with two losses to tolerate need three for a write: one loss blocks no writes, two do.
    expect_that!(remaining_after_losses(4, 2, &[1, 2, 3]), elements_are![&1, &2, &3, &4]);
    expect_that!(remaining_after_losses(4, 2, &[1, 2]), elements_are![&1, &2]);
    // One of four nodes may not store all records.
    expect_that!(remaining_after_losses(4, 2, &[1]), elements_are![&1, &2, &3, &4]);
    expect_that!(remaining_after_losses(3, 2, &[1, 2]), elements_are![&1, &2]);
    expect_that!(remaining_after_losses(3, 2, &[1]), elements_are![&1]);
    expect_that!(remaining_after_losses(2, 1, &[2]), elements_are![&2]);
    // A controller that gets no response at all removes no node.
    expect_that!(remaining_after_losses(2, 1, &[]), elements_are![&1, &2]);
    // A set that has the minimum size stays unchanged until the full timeout.
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
    let tolerance = |served, survived| LossTolerance { losses_served: served, losses_survived: survived };
    let mut controller = StorageController::default();
    expect_that!(controller.loss_tolerance_change(&Default::default(), 2), none());
    expect_that!(controller.loss_tolerance_change(&bootstrapped(5).roster, 2), none());
    expect_that!(controller.loss_tolerance_change(&bootstrapped(4).roster, 2), some(eq(tolerance(1, 2))));
    expect_that!(controller.loss_tolerance_change(&bootstrapped(4).roster, 2), none());
    expect_that!(controller.loss_tolerance_change(&bootstrapped(2).roster, 2), some(eq(tolerance(0, 1))));
    // While a change is in progress, the smaller set determines the tolerance.
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
fn of_two_live_nodes_with_the_same_name_the_member_remains() {
    let state = bootstrapped(3);
    let mut controller = ProbingController::new();
    controller.run(20_000, &state, &[1, 2, 3]);
    let rival = storage_node("s3", 9, 33);
    expect_that!(controller.inner.may_join(&state.roster, &rival), eq(false));
    // A node with an empty disk at the member's address replaces it at once.
    expect_that!(controller.inner.may_join(&state.roster, &storage_node("s3", 3, 33)), eq(true));
    // Once the member has missed a probe, the other node may join.
    controller.run(21_100, &state, &[1, 2]);
    expect_that!(controller.inner.may_join(&state.roster, &rival), eq(true));
}

#[gtest]
fn a_restarted_controller_knows_of_a_replacement() {
    // s9 has joined, and then all control nodes were restarted.
    let state = joined(&bootstrapped(3), &storage_node("s9", 9, 9));
    let mut controller = ProbingController::new();
    // s3 has not responded since the restart: it is removed after the shorter timeout, as the machine that s9 replaces.
    controller.run(10_000 + times::REPLACED_STORAGE_TIMEOUT_MS - 500, &state, &[1, 2, 9]);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
    controller.run(10_000 + times::REPLACED_STORAGE_TIMEOUT_MS + 500, &state, &[1, 2, 9]);
    expect_that!(removed_disk(&controller.step(&state)), some(eq(3)));
}

#[gtest]
fn a_machine_that_joins_after_the_bootstrap_is_a_replacement_unless_it_was_started_with_the_fleet() {
    for (join, timeout_ms) in [
        (
            join as fn(&ControlState, &StorageNode, usize) -> Option<ControlState>,
            times::REPLACED_STORAGE_TIMEOUT_MS,
        ),
        (join_initial_node, times::STORAGE_TIMEOUT_MS),
    ] {
        // The controller has observed the bootstrap, and s9 joins right after it.
        let mut controller = ProbingController::new();
        controller.run(10_500, &bootstrapping(3, &[1, 2, 3]), &[1, 2, 3]);
        controller.run(11_000, &bootstrapped(3), &[1, 2, 3]);
        let state = completed(join(&bootstrapped(3), &storage_node("s9", 9, 9), 3).expect("it can join"));
        controller.run(12_000, &state, &[1, 2, 3, 9]);
        // s3 stops: it is removed after the shorter timeout only if s9 may be its replacement.
        controller.run(12_000 + timeout_ms - 1_000, &state, &[1, 2, 9]);
        expect_that!(controller.step(&state), eq(&RosterStep::NoChange), "within {timeout_ms} ms");
        controller.run(12_000 + timeout_ms + 600, &state, &[1, 2, 9]);
        expect_that!(removed_disk(&controller.step(&state)), some(eq(3)), "after {timeout_ms} ms");
    }
}

#[gtest]
fn the_turnover_is_forgotten_after_the_replacement_window() -> Result<()> {
    // s9 has replaced s4, and s10 has replaced no node.
    let state = joined(&without(&bootstrapped(4), 4), &storage_node("s9", 9, 9));
    let state = joined(&state, &storage_node("s10", 10, 10));
    let live = [1, 2, 3, 9, 10];
    let mut controller = ProbingController::new();
    controller.run(10_000 + times::REPLACEMENT_WINDOW_MS - 500, &state, &live);
    expect_that!(controller.step(&state), eq(&RosterStep::NoChange));
    // After the window both entries are removed, and the rest of the roster is unchanged.
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
