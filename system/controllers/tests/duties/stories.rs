//! Stories of the whole fleet: how the roster, the duty and the voters come through one trouble.

use crate::fleet::{Event, Fleet, LIST};
use controllers::{RetireVerdict, retire_status};
use googletest::prelude::*;

/// A machine counts as lost until so long after its return: by then full copies stand again.
const CATCH_UP: u64 = 4_000;

fn is_in(fleet: &Fleet, disk: u64) -> bool {
    fleet.roster().next.is_none() && fleet.roster().current.iter().any(|store| store.disk == disk)
}

fn is_out(fleet: &Fleet, disk: u64) -> bool {
    fleet.roster().next.is_none() && fleet.roster().current.iter().all(|store| store.disk != disk)
}

fn fence(fleet: &Fleet) -> u64 {
    fleet.state().leases.get(LIST).map_or(0, |fence| fence.token)
}

/// When lists were read, from a time on.
fn readings(fleet: &Fleet, since: u64) -> Vec<u64> {
    let read = |(_, event): &(u64, Event)| match event {
        Event::List(_, read) if *read >= since => Some(*read),
        _ => None,
    };
    fleet.history.iter().filter_map(read).collect()
}

fn each(tell: impl Fn(u64)) {
    (0..20).for_each(tell);
}

#[gtest]
fn a_wiped_machine_is_full_again_in_time() {
    each(|seed| {
        let mut fleet = Fleet::new(seed, 1, 3, 3);
        expect_that!(fleet.is_settled(), eq(true));
        fleet.stop(2);
        fleet.run(1_000);
        let disk = fleet.start("s2", 2);
        expect_that!(fleet.run_until(CATCH_UP, |fleet| is_in(fleet, disk)), some(anything()));
        expect_that!(fleet.broken(), elements_are![]);
    });
}

#[gtest]
fn a_wiped_machine_is_full_again_in_time_while_one_of_its_sources_is_silent() {
    let mut longest = 0;
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, 2, 3, 6);
        fleet.stop(2);
        fleet.run(1_000);
        fleet.freeze(3, 60_000);
        let disk = fleet.start("s2", 2);
        let took = fleet.run_until(CATCH_UP, |fleet| is_in(fleet, disk));
        expect_that!(took, some(anything()), "seed {seed}");
        longest = longest.max(took.unwrap_or(CATCH_UP));
        expect_that!(fleet.broken(), elements_are![]);
    }
    println!("full again after {longest} ms at most");
}

#[gtest]
fn a_fleet_of_fewer_machines_than_asked_for_is_founded_shrinks_and_grows() {
    each(|seed| {
        // given four machines where two losses are to be borne
        let mut fleet = Fleet::new(seed, 2, 3, 4);
        expect_that!(fleet.roster().current.len(), eq(4), "seed {seed}");
        expect_that!(fleet.is_settled(), eq(true));
        // when two are gone, then the other two go on by themselves
        fleet.stop(1);
        fleet.stop(2);
        let two_left = |fleet: &Fleet| is_out(fleet, 1) && is_out(fleet, 2);
        expect_that!(fleet.run_until(6_000, two_left), some(anything()), "seed {seed}");
        expect_that!(fleet.roster().current.len(), eq(2));
        // and when one of those is gone and five more come, then they are one set in the end
        fleet.stop(3);
        expect_that!(fleet.run_until(6_000, |fleet| is_out(fleet, 3)), some(anything()), "seed {seed}");
        for at in 11..=15 {
            fleet.start(&format!("s{at}"), at);
        }
        let all = |fleet: &Fleet| fleet.is_settled() && fleet.roster().current.len() == 6;
        expect_that!(fleet.run_until(CATCH_UP, all), some(anything()), "seed {seed}");
        expect_that!(fleet.broken(), elements_are![]);
    });
}

#[gtest]
fn a_machine_that_is_gone_for_good_leaves_also_below_what_was_founded_and_a_later_wipe_is_made_good() {
    each(|seed| {
        // given three machines where one loss is to be borne
        let mut fleet = Fleet::new(seed, 1, 3, 3);
        // when one is gone for good and none comes for it, then the two others become the set, but not soon
        fleet.stop(2);
        fleet.run(6_000);
        expect_that!(is_out(&fleet, 2), eq(false), "seed {seed}");
        expect_that!(fleet.run_until(8_000, |fleet| is_out(fleet, 2)), some(anything()), "seed {seed}");
        // and when one of these loses its disk, then it fills from the other, which knows all
        fleet.stop(1);
        fleet.run(1_000);
        let disk = fleet.start("s1", 1);
        let filled = |fleet: &Fleet| {
            fleet.is_settled() && fleet.roster().current.iter().any(|store| store.disk == disk)
        };
        expect_that!(fleet.run_until(CATCH_UP, filled), some(anything()), "seed {seed}");
        expect_that!(fleet.broken(), elements_are![]);
    });
}

#[gtest]
fn a_fleet_is_founded_at_once_where_enough_machines_come_and_in_bounded_time_where_not() {
    for (machines, tolerance, within) in
        [(3, 1, 1_500), (5, 2, 1_500), (2, 1, 6_000), (1, 1, 6_000), (4, 2, 6_000)]
    {
        let fleet = Fleet::new(1, tolerance, 3, machines);
        let founded = |(at, event): &(u64, Event)| match event {
            Event::Roster(roster, _) if roster.current.len() == usize::from(machines) => Some(*at),
            _ => None,
        };
        let at = fleet.history.iter().find_map(founded);
        expect_that!(at, some(le(within)), "{machines} machines");
    }
}

#[gtest]
fn a_machine_replaced_at_another_address_is_made_good_in_time() {
    each(|seed| {
        let mut fleet = Fleet::new(seed, 1, 3, 3);
        fleet.stop(2);
        fleet.run(1_000 + seed * 50);
        let disk = fleet.start("s9", 9);
        let took = fleet.run_until(CATCH_UP, |fleet| is_in(fleet, disk) && is_out(fleet, 2));
        expect_that!(took, some(anything()), "seed {seed}");
        expect_that!(fleet.broken(), elements_are![]);
    });
}

#[gtest]
fn a_machine_replaced_under_its_name_at_another_address_is_made_good_in_time() {
    each(|seed| {
        let mut fleet = Fleet::new(seed, 1, 3, 3);
        fleet.stop(2);
        fleet.run(1_500);
        let disk = fleet.start("s2", 9);
        let took = fleet.run_until(CATCH_UP, |fleet| is_in(fleet, disk) && is_out(fleet, 2));
        expect_that!(took, some(anything()), "seed {seed}");
    });
}

#[gtest]
fn a_planned_replacement_under_one_name_does_not_go_to_and_fro() {
    each(|seed| {
        let mut fleet = Fleet::new(seed, 1, 3, 3);
        // given a new machine under the name of one that still runs
        let before = fleet.roster().epoch;
        let disk = fleet.start("s2", 9);
        fleet.run(4_000);
        // then the old one keeps its place
        expect_that!(fleet.roster().epoch, eq(before));
        // and when it ends, the new one takes the place, once and in time
        fleet.stop(2);
        expect_that!(fleet.run_until(CATCH_UP, |fleet| is_in(fleet, disk)), some(anything()), "seed {seed}");
        fleet.run(15_000);
        expect_that!(fleet.roster().epoch, eq(before + 2));
        expect_that!(fleet.is_settled(), eq(true));
    });
}

#[gtest]
fn a_machine_that_wakes_after_another_took_its_name_and_place_takes_nothing_back() {
    each(|seed| {
        let mut fleet = Fleet::new(seed, 1, 3, 3);
        fleet.freeze(2, 9_000);
        fleet.run(2_000);
        let disk = fleet.start("s2", 9);
        fleet.run(20_000);
        expect_that!(is_in(&fleet, disk), eq(true), "seed {seed}");
        expect_that!(fleet.roster().epoch, le(7));
    });
}

#[gtest]
fn a_planned_replacement_under_another_name_lets_the_old_one_go() {
    each(|seed| {
        let mut fleet = Fleet::new(seed, 1, 3, 3);
        let disk = fleet.start("s9", 9);
        fleet.run(4_000);
        expect_that!(is_in(&fleet, disk), eq(true));
        fleet.stop(2);
        expect_that!(fleet.run_until(CATCH_UP + 1_000, |fleet| is_out(fleet, 2)), some(anything()));
        expect_that!(fleet.broken(), elements_are![]);
    });
}

#[gtest]
fn two_machines_wiped_one_after_the_other_are_both_made_good() {
    each(|seed| {
        let mut fleet = Fleet::new(seed, 1, 3, 3);
        for (former, name, ip) in [(2, "s2", 2), (3, "s3", 3)] {
            fleet.stop(former);
            fleet.run(500);
            fleet.start(name, ip);
            fleet.run(CATCH_UP);
            expect_that!(fleet.is_settled(), eq(true), "seed {seed}");
        }
        expect_that!(fleet.broken(), elements_are![]);
    });
}

#[gtest]
fn a_machine_that_flaps_sets_off_no_change() {
    let mut fleet = Fleet::new(1, 1, 3, 4);
    let before = fleet.roster().epoch;
    for _ in 0..10 {
        fleet.freeze(2, 4_000);
        fleet.run(6_000);
    }
    expect_that!(fleet.roster().epoch, eq(before));
}

#[gtest]
fn several_spares_that_come_at_once_all_count_in_time() {
    each(|seed| {
        let mut fleet = Fleet::new(seed, 1, 3, 3);
        let spares: Vec<u64> = (7..10).map(|at| fleet.start(&format!("s{at}"), at)).collect();
        let all = |fleet: &Fleet| spares.iter().all(|disk| is_in(fleet, *disk));
        expect_that!(fleet.run_until(CATCH_UP, all), some(anything()), "seed {seed}");
        expect_that!(fleet.broken(), elements_are![]);
    });
}

#[gtest]
fn a_retire_while_another_machine_is_down_completes() {
    each(|seed| {
        let mut fleet = Fleet::new(seed, 1, 3, 4);
        fleet.stop(2);
        fleet.run(300);
        expect_that!(fleet.retire("s4"), eq(RetireVerdict::Active));
        expect_that!(fleet.retire("s4"), eq(RetireVerdict::Active));
        let done = |fleet: &Fleet| retire_status(fleet.state(), "s4") == RetireVerdict::Completed;
        expect_that!(fleet.run_until(8_000, done), some(anything()));
        // and the one that was down fills when it is back
        fleet.come_back(2);
        fleet.run(5_000);
        expect_that!(fleet.is_settled(), eq(true));
        expect_that!(fleet.broken(), elements_are![]);
    });
}

#[gtest]
fn a_holder_that_freezes_loses_the_duty_and_wakes_without_harm() {
    each(|seed| {
        let mut fleet = Fleet::new(seed, 1, 3, 4);
        let (holder, before, since) = (fleet.holder().unwrap(), fence(&fleet), fleet.now);
        let (roster, voters) = (fleet.roster().clone(), fleet.voters().to_vec());
        // given that the holder freezes for four seconds
        fleet.freeze_keeper(holder, 4_000);
        fleet.run(10_000);
        // then another took the duty once, and the list was read again soon
        expect_that!(fence(&fleet), eq(before + 1));
        expect_that!(fleet.holder(), not(some(eq(holder))));
        let reads = readings(&fleet, since);
        let gaps = reads.windows(2).map(|pair| pair[1] - pair[0]).max();
        expect_that!(gaps, some(le(3_500)));
        // and nobody was taken for gone
        expect_that!(fleet.roster(), eq(&roster));
        expect_that!(fleet.voters(), eq(voters.as_slice()));
        expect_that!(fleet.broken(), elements_are![]);
    });
}

#[gtest]
fn a_holder_cut_off_with_a_minority_does_nothing() {
    each(|seed| {
        let mut fleet = Fleet::new(seed, 1, 5, 4);
        let holder = fleet.holder().unwrap();
        let roster = fleet.roster().clone();
        fleet.keepers[holder].cut = true;
        fleet.run(4_000);
        expect_that!(fleet.holder(), not(some(eq(holder))));
        fleet.keepers[holder].cut = false;
        fleet.run(4_000);
        expect_that!(fleet.roster(), eq(&roster));
        expect_that!(fleet.broken(), elements_are![]);
    });
}

#[gtest]
fn a_holder_that_restarts_reads_under_another_fence() {
    each(|seed| {
        let mut fleet = Fleet::new(seed, 1, 3, 4);
        let (holder, before) = (fleet.holder().unwrap(), fence(&fleet));
        fleet.restart_keeper(holder);
        let since = fleet.now;
        fleet.run(3_000);
        expect_that!(fence(&fleet), gt(before));
        expect_that!(readings(&fleet, since).len(), ge(2));
        expect_that!(fleet.broken(), elements_are![]);
    });
}

#[gtest]
fn a_holder_that_died_a_moment_before_a_machine_was_replaced_costs_little() {
    each(|seed| {
        // given that the holder dies half a second before a storage machine that is replaced
        let mut fleet = Fleet::new(seed, 1, 3, 3);
        let holder = fleet.holder().unwrap();
        fleet.keepers[holder].up = false;
        fleet.run(500);
        fleet.stop(2);
        fleet.run(1_500);
        let disk = fleet.start("s9", 9);
        // then it is made good in time all the same: the next holder has looked for itself
        let took = fleet.run_until(CATCH_UP, |fleet| is_in(fleet, disk) && is_out(fleet, 2));
        expect_that!(took, some(anything()), "seed {seed}");
    });
}

#[gtest]
fn a_core_machine_that_is_replaced_is_no_voter_soon() {
    each(|seed| {
        let mut fleet = Fleet::new(seed, 1, 3, 3);
        let gone = fleet.keepers[0].ip;
        fleet.keepers[0].up = false;
        fleet.run(1_500);
        fleet.add_keeper(9);
        let took = fleet.run_until(CATCH_UP, |fleet| !fleet.voters().contains(&gone));
        expect_that!(took, some(anything()), "seed {seed}");
        expect_that!(fleet.voters().len(), eq(3));
        fleet.run(10_000);
        expect_that!(fleet.voters().len(), eq(3));
    });
}
