//! Roster changes, tested as pure functions of the state.

use controllers::{RetireVerdict, RosterStep, complete_backfill, join, remove_node, retire, retire_status};
use fleet_model::{ControlState, StorageNode};
use googletest::prelude::*;
use std::net::Ipv4Addr;

const MIN_NODES: usize = 3;

fn storage_node(name: &str, ip: u8, disk: u64) -> StorageNode {
    StorageNode { name: name.into(), ip: Ipv4Addr::new(10, 3, 0, ip), zone: "a".into(), disk }
}

fn bootstrapped(names: &[&str]) -> ControlState {
    let stores = (1..).zip(names).map(|(number, name)| storage_node(name, number, number.into()));
    let mut state = ControlState::default();
    state.roster.epoch = 7;
    state.roster.current = stores.collect();
    state
}

fn with_next_set(names: &[&str], next: &[&StorageNode]) -> ControlState {
    let mut state = bootstrapped(names);
    let mut next: Vec<StorageNode> = next.iter().map(|store| (*store).clone()).collect();
    next.sort();
    state.roster.next = Some(next);
    state
}

fn names(stores: &[StorageNode]) -> Vec<&str> {
    stores.iter().map(|store| store.name.as_str()).collect()
}

fn complete_all_backfills(mut state: ControlState) -> ControlState {
    let epoch = state.roster.epoch;
    for store in state.roster.next.clone().unwrap_or_default() {
        state = complete_backfill(&state, Some(store.disk), epoch, &[], MIN_NODES).unwrap_or(state);
    }
    state
}

fn bootstrapping(count: u8) -> Result<ControlState> {
    let mut state = ControlState::default();
    for number in 1..=count {
        state =
            join(&state, &storage_node(&format!("s{number}"), number, number.into()), MIN_NODES).or_fail()?;
    }
    Ok(state)
}

#[gtest]
fn the_first_and_later_sets_become_current_once_in_sync() -> Result<()> {
    // Before the bootstrap, three nodes that join, enough for one tolerated loss, form the next set.
    let mut state = bootstrapping(3)?;
    expect_that!(state.roster.current, is_empty());
    expect_that!(names(state.roster.next.as_ref().or_fail()?), elements_are![&"s1", &"s2", &"s3"]);
    // They become the current set once each has reported to be in sync.
    state = complete_all_backfills(state);
    expect_that!(names(&state.roster.current), elements_are![&"s1", &"s2", &"s3"]);
    expect_that!(state.roster.next, none());
    // A fourth node that joins becomes current once all four are in sync.
    state = join(&state, &storage_node("s4", 4, 4), MIN_NODES).or_fail()?;
    expect_that!(state.roster.current.len(), eq(3));
    let epoch = state.roster.epoch;
    for disk in 1..=3 {
        state = complete_backfill(&state, Some(disk), epoch, &[], MIN_NODES).or_fail()?;
        expect_that!(state.roster.current.len(), eq(3));
    }
    state = complete_backfill(&state, Some(4), epoch, &[], MIN_NODES).or_fail()?;
    expect_that!(names(&state.roster.current), elements_are![&"s1", &"s2", &"s3", &"s4"]);
    expect_that!(state.roster.next, none());
    expect_that!(state.roster.epoch, eq(epoch + 1));
    Ok(())
}

#[gtest]
fn a_set_below_the_minimum_becomes_current_only_by_the_bootstrap_step() -> Result<()> {
    let state = bootstrapping(2)?;
    let epoch = state.roster.epoch;
    expect_that!(RosterStep::Bootstrap.apply_to(&state, epoch, MIN_NODES), none());
    let state = complete_all_backfills(state);
    expect_that!(state.roster.current, is_empty());
    expect_that!(RosterStep::Bootstrap.apply_to(&state, epoch + 1, MIN_NODES), none());
    let bootstrapped = RosterStep::Bootstrap.apply_to(&state, epoch, MIN_NODES).or_fail()?;
    expect_that!(names(&bootstrapped.roster.current), elements_are![&"s1", &"s2"]);
    expect_that!(bootstrapped.roster.epoch, eq(epoch + 1));
    // A third node joins the next set, not the current one.
    let state = join(&bootstrapped, &storage_node("s3", 3, 3), MIN_NODES).or_fail()?;
    expect_that!(state.roster.current.len(), eq(2));
    expect_that!(complete_all_backfills(state).roster.current.len(), eq(3));
    Ok(())
}

#[gtest]
fn the_bootstrap_waits_for_a_node_that_was_wiped_before_it() -> Result<()> {
    // Three nodes wait for the bootstrap, and all but the third are in sync.
    let mut state = bootstrapping(3)?;
    let epoch = state.roster.epoch;
    for disk in [1, 2] {
        state = complete_backfill(&state, Some(disk), epoch, &[], MIN_NODES).or_fail()?;
    }
    // The third rejoins with another disk: all three have to report again.
    let state = join(&state, &storage_node("s3", 3, 33), MIN_NODES).or_fail()?;
    expect_that!(state.roster.current, is_empty());
    expect_that!(state.roster.in_sync, is_empty());
    expect_that!(complete_all_backfills(state).roster.current.len(), eq(3));
    Ok(())
}

#[gtest]
fn a_change_to_a_single_node_that_loses_its_disk_keeps_the_current_set() -> Result<()> {
    // Of two nodes the first is removed.
    let state = remove_node(&bootstrapped(&["a", "b"]), &storage_node("a", 1, 1), 7, 1).or_fail()?;
    // The second rejoins with an empty disk before it reported to be in sync.
    let state = join(&state, &storage_node("b", 2, 22), MIN_NODES).or_fail()?;
    // The two remain current, because no other node has their records.
    expect_that!(names(&state.roster.current), elements_are![&"a", &"b"]);
    Ok(())
}

#[gtest]
fn no_node_is_retired_before_the_bootstrap() -> Result<()> {
    expect_that!(
        retire(&bootstrapping(4)?, "s4", MIN_NODES),
        eq(&(None, RetireVerdict::TooFew { remaining: 3 }))
    );
    Ok(())
}

#[gtest]
fn a_join_of_a_member_changes_nothing() {
    let state = bootstrapped(&["a", "b", "c"]);
    expect_that!(join(&state, &storage_node("b", 2, 2), MIN_NODES), none());
}

#[gtest]
fn a_wiped_node_replaces_its_old_disk_also_during_another_change() -> Result<()> {
    // Node d is being added, and one node is in sync.
    let state = join(&bootstrapped(&["a", "b", "c"]), &storage_node("d", 4, 4), MIN_NODES).or_fail()?;
    let state = complete_backfill(&state, Some(1), state.roster.epoch, &[], MIN_NODES).or_fail()?;
    let previous_epoch = state.roster.epoch;
    // Node b rejoins with an empty disk.
    let state = join(&state, &storage_node("b", 2, 22), MIN_NODES).or_fail()?;
    // The next set contains its new disk in place of the old one, and all nodes backfill again.
    let next = state.roster.next.clone().or_fail()?;
    expect_that!(next.iter().map(|store| store.disk).collect::<Vec<_>>(), elements_are![&1, &22, &3, &4]);
    expect_that!(state.roster.in_sync.len(), eq(0));
    expect_that!(state.roster.epoch, eq(previous_epoch + 1));
    // A report for the previous epoch is ignored.
    expect_that!(complete_backfill(&state, Some(3), previous_epoch, &[], MIN_NODES), none());
    Ok(())
}

#[gtest]
fn a_change_in_sync_except_for_a_wiped_node_completes_when_that_node_rejoins() -> Result<()> {
    // Node d is being added, and all nodes but b are in sync.
    let mut state = join(&bootstrapped(&["a", "b", "c"]), &storage_node("d", 4, 4), MIN_NODES).or_fail()?;
    let epoch = state.roster.epoch;
    for disk in [1, 3, 4] {
        state = complete_backfill(&state, Some(disk), epoch, &[], MIN_NODES).or_fail()?;
    }
    // Node b rejoins with an empty disk: d becomes current, and b's new disk is part of the next set.
    let state = join(&state, &storage_node("b", 2, 22), MIN_NODES).or_fail()?;
    expect_that!(names(&state.roster.current), elements_are![&"a", &"b", &"c", &"d"]);
    expect_that!(state.roster.current[1].disk, eq(2));
    expect_that!(state.roster.next.as_ref().or_fail()?[1].disk, eq(22));
    expect_that!(state.roster.epoch, eq(epoch + 1));
    Ok(())
}

#[gtest]
fn two_nodes_wiped_in_sequence_are_both_repaired() -> Result<()> {
    let state = bootstrapped(&["a", "b", "c"]);
    let state = complete_all_backfills(join(&state, &storage_node("b", 2, 22), MIN_NODES).or_fail()?);
    let state = complete_all_backfills(join(&state, &storage_node("c", 3, 33), MIN_NODES).or_fail()?);
    let disks: Vec<u64> = state.roster.current.iter().map(|store| store.disk).collect();
    expect_that!(disks, elements_are![&1, &22, &33]);
    Ok(())
}

#[gtest]
fn several_spares_that_join_at_once_form_one_set() -> Result<()> {
    let mut state = bootstrapped(&["a", "b", "c"]);
    for number in 4..=6 {
        state =
            join(&state, &storage_node(&format!("s{number}"), number, number.into()), MIN_NODES).or_fail()?;
    }
    expect_that!(complete_all_backfills(state).roster.current.len(), eq(6));
    Ok(())
}

#[gtest]
fn the_earlier_of_two_nodes_of_one_name_cannot_rejoin() -> Result<()> {
    // Node b is replaced at another address while the old machine still runs.
    let state = join(&bootstrapped(&["a", "b", "c"]), &storage_node("b", 9, 99), MIN_NODES).or_fail()?;
    // The old machine cannot rejoin: the two would replace each other for as long as both run.
    expect_that!(join(&state, &storage_node("b", 2, 2), MIN_NODES), none());
    Ok(())
}

#[gtest]
fn a_removed_node_that_returns_rejoins() -> Result<()> {
    let state = bootstrapped(&["a", "b", "c", "d"]);
    let state = remove_node(&state, &storage_node("b", 2, 2), 7, MIN_NODES).or_fail()?;
    let state = join(&state, &storage_node("b", 2, 2), MIN_NODES).or_fail()?;
    expect_that!(state.roster.next, none());
    expect_that!(state.roster.current.len(), eq(4));
    Ok(())
}

#[gtest]
fn a_join_that_would_replace_two_members_below_the_minimum_is_rejected() {
    let state = bootstrapped(&["a", "b", "c"]);
    expect_that!(join(&state, &storage_node("a", 2, 9), MIN_NODES), none());
}

#[gtest]
fn a_set_becomes_current_once_all_but_waived_nodes_are_in_sync() -> Result<()> {
    let state = with_next_set(
        &["a", "b", "c"],
        &[&storage_node("a", 1, 1), &storage_node("b", 2, 22), &storage_node("c", 3, 3)],
    );
    let state = complete_backfill(&state, Some(1), 7, &[], MIN_NODES).or_fail()?;
    expect_that!(complete_backfill(&state, None, 7, &[3], MIN_NODES), none());
    let state = complete_backfill(&state, Some(22), 7, &[], MIN_NODES).or_fail()?;
    expect_that!(state.roster.next, some(anything()));
    let state = complete_backfill(&state, None, 7, &[3], MIN_NODES).or_fail()?;
    expect_that!(state.roster.next, none());
    Ok(())
}

#[gtest]
fn no_node_is_removed_below_the_minimum_or_under_a_stale_epoch() {
    expect_that!(
        remove_node(&bootstrapped(&["a", "b", "c"]), &storage_node("b", 2, 2), 7, MIN_NODES),
        none()
    );
    let state = bootstrapped(&["a", "b", "c", "d"]);
    expect_that!(remove_node(&state, &storage_node("b", 2, 2), 6, MIN_NODES), none());
    expect_that!(remove_node(&state, &storage_node("e", 5, 5), 7, MIN_NODES), none());
}

#[gtest]
fn a_failed_joining_node_is_not_removed_before_the_change_completes() -> Result<()> {
    // Node e is being added; some records may be stored only by it and one other node.
    let state = join(&bootstrapped(&["a", "b", "c"]), &storage_node("e", 5, 5), MIN_NODES).or_fail()?;
    // If e is lost, the current set is not restored without a backfill, since those records have a single copy.
    expect_that!(remove_node(&state, &storage_node("e", 5, 5), state.roster.epoch, MIN_NODES), none());
    // Once the set with e is current, e can be removed.
    let mut completed = state.clone();
    for disk in 1..=3 {
        completed =
            complete_backfill(&completed, Some(disk), state.roster.epoch, &[5], MIN_NODES).or_fail()?;
    }
    expect_that!(completed.roster.next, none());
    let remaining =
        remove_node(&completed, &storage_node("e", 5, 5), completed.roster.epoch, MIN_NODES).or_fail()?;
    expect_that!(names(&remaining.roster.next.or_fail()?), elements_are![&"a", &"b", &"c"]);
    Ok(())
}

#[gtest]
fn a_retirement_is_active_until_the_others_are_in_sync() -> Result<()> {
    let state = bootstrapped(&["a", "b", "c", "d"]);
    expect_that!(retire_status(&state, "d"), eq(RetireVerdict::Serving));
    let (state, verdict) = retire(&state, "d", MIN_NODES);
    expect_that!(verdict, eq(RetireVerdict::Active));
    let state = state.or_fail()?;
    // A repeated request changes nothing.
    expect_that!(retire(&state, "d", MIN_NODES), eq(&(None, RetireVerdict::Active)));
    // Once the others are in sync, the retirement is completed and stays completed.
    let state = complete_all_backfills(state);
    expect_that!(retire_status(&state, "d"), eq(RetireVerdict::Completed));
    expect_that!(retire(&state, "d", MIN_NODES), eq(&(None, RetireVerdict::Completed)));
    // A machine of that name cannot rejoin, with its old disk or an empty one.
    expect_that!(join(&state, &storage_node("d", 4, 4), MIN_NODES), none());
    expect_that!(join(&state, &storage_node("d", 4, 44), MIN_NODES), none());
    Ok(())
}

#[gtest]
fn a_retirement_does_not_wait_for_a_waived_node() -> Result<()> {
    let (state, _) = retire(&bootstrapped(&["a", "b", "c", "d"]), "d", MIN_NODES);
    let mut state = state.or_fail()?;
    let epoch = state.roster.epoch;
    for disk in [1, 2] {
        state = complete_backfill(&state, Some(disk), epoch, &[], MIN_NODES).or_fail()?;
    }
    let state = complete_backfill(&state, None, epoch, &[3], MIN_NODES).or_fail()?;
    expect_that!(retire_status(&state, "d"), eq(RetireVerdict::Completed));
    Ok(())
}

#[gtest]
fn a_retirement_below_the_minimum_or_of_an_unknown_machine_changes_nothing() {
    let state = bootstrapped(&["a", "b", "c"]);
    expect_that!(retire(&state, "c", MIN_NODES), eq(&(None, RetireVerdict::TooFew { remaining: 2 })));
    expect_that!(retire(&state, "z", MIN_NODES), eq(&(None, RetireVerdict::Unknown)));
    expect_that!(retire_status(&state, "z"), eq(RetireVerdict::Unknown));
}

#[gtest]
fn a_removed_node_can_be_retired() -> Result<()> {
    // Node d is unresponsive and being removed, but remains current until the others are in sync.
    let state = remove_node(&bootstrapped(&["a", "b", "c", "d"]), &storage_node("d", 4, 4), 7, MIN_NODES)
        .or_fail()?;
    // Its retirement starts, and it cannot rejoin.
    let (retired, verdict) = retire(&state, "d", MIN_NODES);
    expect_that!(verdict, eq(RetireVerdict::Active));
    let retired = retired.or_fail()?;
    expect_that!(join(&retired, &storage_node("d", 4, 4), MIN_NODES), none());
    expect_that!(retire_status(&complete_all_backfills(retired), "d"), eq(RetireVerdict::Completed));
    Ok(())
}

#[gtest]
fn a_joining_node_retired_during_its_backfill_is_removed_by_a_separate_change() -> Result<()> {
    // Node e is being added.
    let state = join(&bootstrapped(&["a", "b", "c"]), &storage_node("e", 5, 5), MIN_NODES).or_fail()?;
    // Its retirement is active rather than completed, because it already stores records.
    let (state, verdict) = retire(&state, "e", MIN_NODES);
    let state = state.or_fail()?;
    expect_that!(verdict, eq(RetireVerdict::Active));
    expect_that!(retire_status(&state, "e"), eq(RetireVerdict::Active));
    // Once all are in sync, the next change removes it.
    let state = complete_all_backfills(state);
    expect_that!(names(&state.roster.current), elements_are![&"a", &"b", &"c", &"e"]);
    expect_that!(names(state.roster.next.as_ref().or_fail()?), elements_are![&"a", &"b", &"c"]);
    let state = complete_all_backfills(state);
    expect_that!(retire_status(&state, "e"), eq(RetireVerdict::Completed));
    Ok(())
}
