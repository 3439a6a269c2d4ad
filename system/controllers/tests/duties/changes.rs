//! Pure changes of the state.

use bytes::Bytes;
use controllers::{
    ConfigVerdict, RetireVerdict, RosterStep, complete_backfill, join, put_config, remove_node, retire,
    retire_status,
};
use fleet_model::{CommittedVersion, ControlState, StorageNode};
use googletest::prelude::*;
use std::net::Ipv4Addr;

const LEAST: usize = 3;

fn store(name: &str, ip: u8, disk: u64) -> StorageNode {
    StorageNode { name: name.into(), ip: Ipv4Addr::new(10, 3, 0, ip), zone: "a".into(), disk }
}

fn founded(names: &[&str]) -> ControlState {
    let stores = (1..).zip(names).map(|(at, name)| store(name, at, at.into()));
    let mut state = ControlState::default();
    state.roster.epoch = 7;
    state.roster.current = stores.collect();
    state
}

fn changing(names: &[&str], next: &[&StorageNode]) -> ControlState {
    let mut state = founded(names);
    let mut next: Vec<StorageNode> = next.iter().map(|store| (*store).clone()).collect();
    next.sort();
    state.roster.next = Some(next);
    state
}

fn names(stores: &[StorageNode]) -> Vec<&str> {
    stores.iter().map(|store| store.name.as_str()).collect()
}

fn all_fill(mut state: ControlState) -> ControlState {
    let epoch = state.roster.epoch;
    for store in state.roster.next.clone().unwrap_or_default() {
        state = complete_backfill(&state, Some(store.disk), epoch, &[], LEAST).unwrap_or(state);
    }
    state
}

fn version(number: u64) -> CommittedVersion {
    CommittedVersion { version: number, digest: [number as u8; 32] }
}

fn gathered(count: u8) -> Result<ControlState> {
    let mut state = ControlState::default();
    for at in 1..=count {
        state = join(&state, &store(&format!("s{at}"), at, at.into()), LEAST).or_fail()?;
    }
    Ok(state)
}

#[gtest]
fn the_first_machines_count_once_all_of_enough_are_full_and_so_do_later_ones() -> Result<()> {
    // given a fleet without storage machines, when three come, enough for one loss, then they gather;
    let mut state = gathered(3)?;
    expect_that!(state.roster.current, is_empty());
    expect_that!(names(state.roster.next.as_ref().or_fail()?), elements_are![&"s1", &"s2", &"s3"]);
    // and count when each has told that it is full for this
    state = all_fill(state);
    expect_that!(names(&state.roster.current), elements_are![&"s1", &"s2", &"s3"]);
    expect_that!(state.roster.next, none());
    // and when a fourth comes, it counts once all four are full
    state = join(&state, &store("s4", 4, 4), LEAST).or_fail()?;
    expect_that!(state.roster.current.len(), eq(3));
    let epoch = state.roster.epoch;
    for disk in 1..=3 {
        state = complete_backfill(&state, Some(disk), epoch, &[], LEAST).or_fail()?;
        expect_that!(state.roster.current.len(), eq(3));
    }
    state = complete_backfill(&state, Some(4), epoch, &[], LEAST).or_fail()?;
    expect_that!(names(&state.roster.current), elements_are![&"s1", &"s2", &"s3", &"s4"]);
    expect_that!(state.roster.next, none());
    expect_that!(state.roster.epoch, eq(epoch + 1));
    Ok(())
}

#[gtest]
fn fewer_machines_count_only_when_the_founding_has_waited_and_all_of_them_are_full() -> Result<()> {
    let state = gathered(2)?;
    let epoch = state.roster.epoch;
    expect_that!(RosterStep::Bootstrap.apply_to(&state, epoch, LEAST), none());
    let state = all_fill(state);
    expect_that!(state.roster.current, is_empty());
    expect_that!(RosterStep::Bootstrap.apply_to(&state, epoch + 1, LEAST), none());
    let founded = RosterStep::Bootstrap.apply_to(&state, epoch, LEAST).or_fail()?;
    expect_that!(names(&founded.roster.current), elements_are![&"s1", &"s2"]);
    expect_that!(founded.roster.epoch, eq(epoch + 1));
    // and a third is the next set's, and not at once the current one's
    let state = join(&founded, &store("s3", 3, 3), LEAST).or_fail()?;
    expect_that!(state.roster.current.len(), eq(2));
    expect_that!(all_fill(state).roster.current.len(), eq(3));
    Ok(())
}

#[gtest]
fn a_machine_wiped_before_the_founding_is_no_reason_to_found_without_it() -> Result<()> {
    // given three that gather, of which all but the third are full
    let mut state = gathered(3)?;
    let epoch = state.roster.epoch;
    for disk in [1, 2] {
        state = complete_backfill(&state, Some(disk), epoch, &[], LEAST).or_fail()?;
    }
    // when that one comes with another disk, then all three gather anew
    let state = join(&state, &store("s3", 3, 33), LEAST).or_fail()?;
    expect_that!(state.roster.current, is_empty());
    expect_that!(state.roster.in_sync, is_empty());
    expect_that!(all_fill(state).roster.current.len(), eq(3));
    Ok(())
}

#[gtest]
fn a_change_to_one_machine_that_loses_its_disk_leaves_the_others_current() -> Result<()> {
    // given two of which the first is given up
    let state = remove_node(&founded(&["a", "b"]), &store("a", 1, 1), 7, 1).or_fail()?;
    // when the second comes back without its disk, before it told that it is full
    let state = join(&state, &store("b", 2, 22), LEAST).or_fail()?;
    // then what counts are still the two: nobody has what they held
    expect_that!(names(&state.roster.current), elements_are![&"a", &"b"]);
    Ok(())
}

#[gtest]
fn nobody_is_retired_before_the_founding() -> Result<()> {
    expect_that!(retire(&gathered(4)?, "s4", LEAST), eq(&(None, RetireVerdict::TooFew { remaining: 3 })));
    Ok(())
}

#[gtest]
fn a_machine_that_is_in_changes_nothing() {
    let state = founded(&["a", "b", "c"]);
    expect_that!(join(&state, &store("b", 2, 2), LEAST), none());
}

#[gtest]
fn a_wiped_machine_takes_its_own_place_also_while_another_change_is_under_way() -> Result<()> {
    // given that d is being taken in, and two are full for it
    let state = join(&founded(&["a", "b", "c"]), &store("d", 4, 4), LEAST).or_fail()?;
    let state = complete_backfill(&state, Some(1), state.roster.epoch, &[], LEAST).or_fail()?;
    let former = state.roster.epoch;
    // when b comes back without its disk
    let state = join(&state, &store("b", 2, 22), LEAST).or_fail()?;
    // then the next set has its new disk for the old, and all fill anew
    let next = state.roster.next.clone().or_fail()?;
    expect_that!(next.iter().map(|store| store.disk).collect::<Vec<_>>(), elements_are![&1, &22, &3, &4]);
    expect_that!(state.roster.in_sync.len(), eq(0));
    expect_that!(state.roster.epoch, eq(former + 1));
    // and what is told for the former epoch counts no more
    expect_that!(complete_backfill(&state, Some(3), former, &[], LEAST), none());
    Ok(())
}

#[gtest]
fn a_change_that_is_full_but_for_a_wiped_machine_counts_when_that_one_returns() -> Result<()> {
    // given that d is being taken in, and all but b are full for it
    let mut state = join(&founded(&["a", "b", "c"]), &store("d", 4, 4), LEAST).or_fail()?;
    let epoch = state.roster.epoch;
    for disk in [1, 3, 4] {
        state = complete_backfill(&state, Some(disk), epoch, &[], LEAST).or_fail()?;
    }
    // when b comes back without its disk
    let state = join(&state, &store("b", 2, 22), LEAST).or_fail()?;
    // then d counts, and b's new disk is the next change
    expect_that!(names(&state.roster.current), elements_are![&"a", &"b", &"c", &"d"]);
    expect_that!(state.roster.current[1].disk, eq(2));
    expect_that!(state.roster.next.as_ref().or_fail()?[1].disk, eq(22));
    expect_that!(state.roster.epoch, eq(epoch + 1));
    Ok(())
}

#[gtest]
fn two_machines_wiped_one_after_the_other_are_both_made_good() -> Result<()> {
    let state = founded(&["a", "b", "c"]);
    let state = all_fill(join(&state, &store("b", 2, 22), LEAST).or_fail()?);
    let state = all_fill(join(&state, &store("c", 3, 33), LEAST).or_fail()?);
    let disks: Vec<u64> = state.roster.current.iter().map(|store| store.disk).collect();
    expect_that!(disks, elements_are![&1, &22, &33]);
    Ok(())
}

#[gtest]
fn several_spares_at_once_are_one_set_in_the_end() -> Result<()> {
    let mut state = founded(&["a", "b", "c"]);
    for at in 4..=6 {
        state = join(&state, &store(&format!("s{at}"), at, at.into()), LEAST).or_fail()?;
    }
    expect_that!(all_fill(state).roster.current.len(), eq(6));
    Ok(())
}

#[gtest]
fn the_earlier_of_two_machines_with_one_name_takes_nothing_back() -> Result<()> {
    // given that b is replaced at another address while the old one still runs
    let state = join(&founded(&["a", "b", "c"]), &store("b", 9, 99), LEAST).or_fail()?;
    // when the old one sees that it has no place, and asks for one
    // then it gets none: the two would push each other out for as long as both run
    expect_that!(join(&state, &store("b", 2, 2), LEAST), none());
    Ok(())
}

#[gtest]
fn a_machine_given_up_that_returns_takes_its_place_again() -> Result<()> {
    let state = founded(&["a", "b", "c", "d"]);
    let state = remove_node(&state, &store("b", 2, 2), 7, LEAST).or_fail()?;
    let state = join(&state, &store("b", 2, 2), LEAST).or_fail()?;
    expect_that!(state.roster.next, none());
    expect_that!(state.roster.current.len(), eq(4));
    Ok(())
}

#[gtest]
fn a_newcomer_with_ones_name_and_anothers_address_does_not_make_the_set_too_small() {
    let state = founded(&["a", "b", "c"]);
    expect_that!(join(&state, &store("a", 2, 9), LEAST), none());
}

#[gtest]
fn a_set_becomes_current_without_those_waived_but_not_without_others() -> Result<()> {
    let state = changing(&["a", "b", "c"], &[&store("a", 1, 1), &store("b", 2, 22), &store("c", 3, 3)]);
    let state = complete_backfill(&state, Some(1), 7, &[], LEAST).or_fail()?;
    expect_that!(complete_backfill(&state, None, 7, &[3], LEAST), none());
    let state = complete_backfill(&state, Some(22), 7, &[], LEAST).or_fail()?;
    expect_that!(state.roster.next, some(anything()));
    let state = complete_backfill(&state, None, 7, &[3], LEAST).or_fail()?;
    expect_that!(state.roster.next, none());
    Ok(())
}

#[gtest]
fn none_is_given_up_where_too_few_are_left_or_the_roster_has_moved_on() {
    expect_that!(remove_node(&founded(&["a", "b", "c"]), &store("b", 2, 2), 7, LEAST), none());
    let state = founded(&["a", "b", "c", "d"]);
    expect_that!(remove_node(&state, &store("b", 2, 2), 6, LEAST), none());
    expect_that!(remove_node(&state, &store("e", 5, 5), 7, LEAST), none());
}

#[gtest]
fn a_newcomer_that_dies_is_not_given_up_back_to_the_former_set() -> Result<()> {
    // given that e is being taken in: turns are kept by it and one other
    let state = join(&founded(&["a", "b", "c"]), &store("e", 5, 5), LEAST).or_fail()?;
    // when it is gone, then the former set does not come back without a filling: those turns have one copy
    expect_that!(remove_node(&state, &store("e", 5, 5), state.roster.epoch, LEAST), none());
    // but once the set counts, it leaves like any other
    let mut counted = state.clone();
    for disk in 1..=3 {
        counted = complete_backfill(&counted, Some(disk), state.roster.epoch, &[5], LEAST).or_fail()?;
    }
    expect_that!(counted.roster.next, none());
    let left = remove_node(&counted, &store("e", 5, 5), counted.roster.epoch, LEAST).or_fail()?;
    expect_that!(names(&left.roster.next.or_fail()?), elements_are![&"a", &"b", &"c"]);
    Ok(())
}

#[gtest]
fn a_retire_is_active_until_the_others_are_full() -> Result<()> {
    let state = founded(&["a", "b", "c", "d"]);
    expect_that!(retire_status(&state, "d"), eq(RetireVerdict::Serving));
    let (state, verdict) = retire(&state, "d", LEAST);
    expect_that!(verdict, eq(RetireVerdict::Active));
    let state = state.or_fail()?;
    // when it is sent twice, then nothing changes
    expect_that!(retire(&state, "d", LEAST), eq(&(None, RetireVerdict::Active)));
    // when the others are full, then it is done, and stays so
    let state = all_fill(state);
    expect_that!(retire_status(&state, "d"), eq(RetireVerdict::Completed));
    expect_that!(retire(&state, "d", LEAST), eq(&(None, RetireVerdict::Completed)));
    // and a machine of that name, emptied or not, stays out
    expect_that!(join(&state, &store("d", 4, 4), LEAST), none());
    expect_that!(join(&state, &store("d", 4, 44), LEAST), none());
    Ok(())
}

#[gtest]
fn a_retire_while_one_is_down_goes_on_without_waiting_for_that_one() -> Result<()> {
    let (state, _) = retire(&founded(&["a", "b", "c", "d"]), "d", LEAST);
    let mut state = state.or_fail()?;
    let epoch = state.roster.epoch;
    for disk in [1, 2] {
        state = complete_backfill(&state, Some(disk), epoch, &[], LEAST).or_fail()?;
    }
    let state = complete_backfill(&state, None, epoch, &[3], LEAST).or_fail()?;
    expect_that!(retire_status(&state, "d"), eq(RetireVerdict::Completed));
    Ok(())
}

#[gtest]
fn a_retire_that_would_leave_too_few_or_names_nobody_changes_nothing() {
    let state = founded(&["a", "b", "c"]);
    expect_that!(retire(&state, "c", LEAST), eq(&(None, RetireVerdict::TooFew { remaining: 2 })));
    expect_that!(retire(&state, "z", LEAST), eq(&(None, RetireVerdict::Unknown)));
    expect_that!(retire_status(&state, "z"), eq(RetireVerdict::Unknown));
}

#[gtest]
fn a_machine_that_is_given_up_already_can_be_retired() -> Result<()> {
    // given that d is down and given up, but counts until the others are full
    let state = remove_node(&founded(&["a", "b", "c", "d"]), &store("d", 4, 4), 7, LEAST).or_fail()?;
    // when it is retired, then it is being emptied, and does not come back
    let (retired, verdict) = retire(&state, "d", LEAST);
    expect_that!(verdict, eq(RetireVerdict::Active));
    let retired = retired.or_fail()?;
    expect_that!(join(&retired, &store("d", 4, 4), LEAST), none());
    expect_that!(retire_status(&all_fill(retired), "d"), eq(RetireVerdict::Completed));
    Ok(())
}

#[gtest]
fn a_newcomer_retired_while_it_fills_leaves_by_a_change_of_its_own() -> Result<()> {
    // given that e is being taken in
    let state = join(&founded(&["a", "b", "c"]), &store("e", 5, 5), LEAST).or_fail()?;
    // when it is retired, then it is active: turns are kept by it
    let (state, verdict) = retire(&state, "e", LEAST);
    let state = state.or_fail()?;
    expect_that!(verdict, eq(RetireVerdict::Active));
    expect_that!(retire_status(&state, "e"), eq(RetireVerdict::Active));
    // and once all are full, the next change empties it
    let state = all_fill(state);
    expect_that!(names(&state.roster.current), elements_are![&"a", &"b", &"c", &"e"]);
    expect_that!(names(state.roster.next.as_ref().or_fail()?), elements_are![&"a", &"b", &"c"]);
    let state = all_fill(state);
    expect_that!(retire_status(&state, "e"), eq(RetireVerdict::Completed));
    Ok(())
}

#[gtest]
fn a_configuration_is_taken_once_on_top_of_the_version_that_its_operator_knows() -> Result<()> {
    let body = Bytes::from_static(b"{}");
    let (state, verdict) = put_config(&ControlState::default(), 0, &version(3), &body);
    expect_that!(verdict, eq(ConfigVerdict::Committed));
    let state = state.or_fail()?;
    expect_that!(state.version(), eq(3));
    // the same again, whatever it goes by
    expect_that!(put_config(&state, 0, &version(3), &body), eq(&(None, ConfigVerdict::Committed)));
    // other bytes under its number, and a lower number
    let other = CommittedVersion { version: 3, digest: [9; 32] };
    expect_that!(put_config(&state, 3, &other, &body), eq(&(None, ConfigVerdict::NotNewer)));
    expect_that!(put_config(&state, 3, &version(2), &body), eq(&(None, ConfigVerdict::NotNewer)));
    // another version in the operator's mind comes first
    expect_that!(put_config(&state, 2, &version(2), &body), eq(&(None, ConfigVerdict::VersionMismatch(3))));
    expect_that!(put_config(&state, 2, &version(4), &body), eq(&(None, ConfigVerdict::VersionMismatch(3))));
    // and what was taken before the current one is still known as taken
    let state = put_config(&state, 3, &version(4), &body).0.or_fail()?;
    expect_that!(put_config(&state, 4, &version(3), &body), eq(&(None, ConfigVerdict::Committed)));
    Ok(())
}

#[gtest]
fn only_the_latest_versions_are_remembered() {
    let mut state = ControlState::default();
    for number in 1..=600 {
        state = put_config(&state, number - 1, &version(number), &Bytes::new()).0.unwrap_or_default();
    }
    expect_that!(state.version(), eq(600));
    expect_that!(state.committed.len(), eq(512));
}
