//! Backfill: how records move when the roster changes, and when a replica counts as in sync.

use crate::cluster::{Fleet, reservation, roster, sum, turn};
use bytes::Bytes;
use fleet_model::{Answer, Call, Roster, account_replicas};
use googletest::prelude::*;

#[gtest]
fn a_replaced_disk_gets_the_records_of_the_lost_one() {
    // Given turns and an account on three stores, of which one loses its disk and comes back as 4.
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    for (attempt, replicas) in [("a", [1, 3]), ("b", [2, 3]), ("c", [1, 2])] {
        for holder in replicas {
            fleet.at(holder).run_controller(turn(attempt, None, &replicas));
        }
    }
    for disk in [1, 3] {
        fleet.at(disk).reserve("p", reservation(1, 60));
    }
    fleet.down.insert(3);
    fleet.add(4);
    // When the fleet goes over to it.
    fleet.change(&[1, 2, 4]);
    // Then each turn is on two of those that are left, the untouched one where it was.
    for attempt in ["a", "b"] {
        let disks_with_turn: Vec<u64> =
            fleet.disks_with_turn(attempt).into_iter().filter(|disk| *disk != 3).collect();
        expect_that!(disks_with_turn.len(), eq(2));
    }
    expect_that!(fleet.disks_with_turn("c"), eq(&vec![1, 2]));
    expect_that!(fleet.at(4).read_chain("c"), eq(&Answer::Absent { complete: true }));
    // And the account, also where a minority had it.
    for disk in [1, 2, 4] {
        expect_that!(sum(&fleet.at(disk).read_account("p")), eq(60));
    }
}

#[gtest]
fn a_retirement_preserves_the_number_of_copies() {
    // Given four stores, and turns all over.
    let mut fleet = Fleet::founded(&[1, 2, 3, 4], 1);
    for number in 0..40_u64 {
        let replicas = [1 + number % 4, 1 + (number + 1 + number / 4 % 3) % 4];
        for holder in replicas {
            fleet.at(holder).run_controller(turn(&format!("t{number}"), None, &replicas));
        }
    }
    // When one is retired, and then goes away.
    fleet.change(&[1, 2, 3]);
    fleet.machines.remove(&4);
    // Then every turn is on two of the others, not more.
    for number in 0..40 {
        expect_that!(fleet.disks_with_turn(&format!("t{number}")).len(), eq(2));
    }
}

#[gtest]
fn a_second_change_uses_the_replicas_of_the_first() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    for holder in [1, 2] {
        fleet.at(holder).run_controller(turn("a", None, &[1, 2]));
    }
    // When one holder after another is replaced, each time without the old one.
    fleet.down.insert(1);
    fleet.add(4);
    fleet.change(&[2, 3, 4]);
    fleet.down.insert(2);
    fleet.add(5);
    fleet.change(&[3, 4, 5]);
    // Then the turn is still there.
    let left: Vec<u64> = fleet.disks_with_turn("a").into_iter().filter(|disk| *disk > 2).collect();
    expect_that!(left.len(), eq(2));
}

#[gtest]
fn accounts_are_backfilled_to_their_new_replicas_only() {
    // Given five stores that outlive one loss: accounts are on three of them.
    let mut fleet = Fleet::founded(&[1, 2, 3, 4, 5], 1);
    let programs: Vec<String> = (0..30).map(|number| format!("program-{number}")).collect();
    for program in &programs {
        let replicas = account_replicas(&fleet.roster.current, program, 1);
        for holder in replicas.iter().map(|store| store.disk).collect::<Vec<_>>() {
            fleet.at(holder).reserve(program, reservation(1, 9));
        }
    }
    // When the fifth is replaced.
    fleet.down.insert(5);
    fleet.add(6);
    fleet.change(&[1, 2, 3, 4, 6]);
    // Then every holder has the account, and the new store no other.
    let mut of_new = 0;
    for program in &programs {
        let replicas = account_replicas(&fleet.roster.current, program, 1);
        for holder in replicas.iter().map(|store| store.disk).collect::<Vec<_>>() {
            expect_that!(sum(&fleet.at(holder).read_account(program)), eq(9));
            of_new += usize::from(holder == 6);
        }
    }
    expect_that!(fleet.at(6).state.counts().accounts, eq(of_new));
}

#[gtest]
fn a_damaged_replica_is_no_source_until_its_backfill() {
    // Given a store that finds a turn unreadable.
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    for attempt in ["a", "b"] {
        for holder in [1, 2] {
            fleet.at(holder).run_controller(turn(attempt, None, &[1, 2]));
        }
    }
    fleet.at(1).payloads.lost.insert("a".into());
    expect_that!(fleet.at(1).read_chain("a"), eq(&Answer::Absent { complete: false }));
    // Then it takes nothing, gives nothing, and still tells what it has.
    expect_that!(fleet.at(1).reserve("p", reservation(1, 1)), eq(&Answer::NotReady));
    expect_that!(
        fleet.at(1).ask(&Call::Backfill { epoch: 1, disk: 2, cursor: Bytes::new() }),
        eq(&Answer::NotReady)
    );
    expect_that!(matches!(fleet.at(1).read_chain("b"), Answer::Chain { .. }), eq(true));
    // One of the others is not enough to fill from.
    fleet.down.insert(2);
    expect_that!(fleet.backfill(1), eq(false));
    expect_that!(fleet.at(1).state.is_in_sync(), eq(false));
    // When both are there, then it is whole again.
    fleet.down.clear();
    fleet.at(1).payloads.lost.clear();
    expect_that!(fleet.backfill(1), eq(true));
    expect_that!(fleet.disks_with_turn("a"), eq(&vec![1, 2]));
    expect_that!(fleet.at(1).read_chain("x"), eq(&Answer::Absent { complete: true }));
}

#[gtest]
fn a_backfill_counts_only_for_its_own_change() {
    // Given a store that has filled for a change.
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    fleet.add(4);
    fleet.set_roster(roster(2, &[1, 2, 3], Some(&[1, 2, 4])));
    let stale = fleet.at(4).state.backfill().unwrap();
    expect_that!(fleet.backfill(4), eq(true));
    expect_that!(fleet.at(4).state.is_in_sync_for_next(), eq(true));
    // While the same change goes on under the next epoch, it still counts.
    fleet.set_roster(roster(3, &[1, 2, 3], Some(&[1, 2, 4])));
    expect_that!(fleet.at(4).state.is_in_sync_for_next(), eq(true));
    // When the change was given up in between and comes again, it does not, seen or unseen.
    let mut seen = fleet;
    seen.set_roster(roster(4, &[1, 2, 3], None));
    seen.set_roster(roster(5, &[1, 2, 3], Some(&[1, 2, 4])));
    expect_that!(seen.at(4).state.is_in_sync_for_next(), eq(false));
    expect_that!(seen.backfill(4), eq(true));
    seen.set_roster(roster(9, &[1, 2, 3], Some(&[1, 2, 4])));
    expect_that!(seen.at(4).state.is_in_sync_for_next(), eq(false));
    // And a filling begun under another epoch marks nothing.
    expect_that!(seen.at(4).state.mark_in_sync(&stale), none());
    // Where the roster itself tells that it was told so, it counts.
    expect_that!(seen.backfill(4), eq(true));
    seen.set_roster(Roster { in_sync: vec![4], ..roster(12, &[1, 2, 3], Some(&[1, 2, 4])) });
    expect_that!(seen.at(4).state.is_in_sync_for_next(), eq(true));
}

#[gtest]
fn current_replicas_stay_in_sync_for_reads_during_backfill_for_the_next_set() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    fleet.at(1).reserve("p", reservation(1, 5));
    fleet.add(4);
    fleet.set_roster(roster(2, &[1, 2, 3], Some(&[1, 2, 4])));
    fleet.fill_all();
    expect_that!(sum(&fleet.at(1).read_account("p")), eq(5));
    expect_that!(sum(&fleet.at(3).read_account("p")), eq(0));
    // When the change is given up, they are still full.
    fleet.set_roster(roster(3, &[1, 2, 3], None));
    expect_that!(fleet.at(1).state.is_in_sync(), eq(true));
}

#[gtest]
fn a_new_cluster_is_in_sync_at_once_also_with_one_down() {
    let mut fleet = Fleet::gathering(&[1, 2, 3], 1);
    fleet.down.insert(3);
    fleet.fill_all();
    fleet.set_roster(roster(2, &[1, 2, 3], None));
    expect_that!(sum(&fleet.at(1).reserve("p", reservation(1, 5))), eq(5));
    expect_that!(sum(&fleet.at(2).reserve("p", reservation(1, 5))), eq(5));
    // When the third comes, it gets what was written meanwhile.
    fleet.down.clear();
    fleet.spread();
    expect_that!(fleet.at(3).read_chain("x"), eq(&Answer::Absent { complete: false }));
    expect_that!(fleet.backfill(3), eq(true));
    expect_that!(sum(&fleet.at(3).read_account("p")), eq(5));
}

#[gtest]
fn a_new_cluster_that_changes_at_once_is_backfilled() {
    // Given a new fleet that was full when it was founded, of which nobody has heard that;
    let mut fleet = Fleet::gathering(&[1, 2, 3], 1);
    fleet.fill_all();
    // when a fourth joins at that moment, then all fill.
    fleet.add(4);
    fleet.set_roster(roster(3, &[1, 2, 3], Some(&[1, 2, 3, 4])));
    expect_that!(sum(&fleet.at(1).reserve("p", reservation(1, 5))), eq(5));
    for disk in 1..=4 {
        expect_that!(fleet.backfill(disk), eq(true), "store {disk}");
    }
    // But one that has taken a write and is not full gives nothing: it may lack what it answered for.
    fleet.set_roster(roster(4, &[1, 2, 3, 4], None));
    fleet.at(4).reserve("p", reservation(2, 5));
    fleet.set_roster(roster(5, &[1, 2, 4], None));
    let call = Call::Backfill { epoch: 5, disk: 1, cursor: Bytes::new() };
    expect_that!(fleet.at(4).ask(&call), eq(&Answer::NotReady));
}

#[gtest]
fn an_empty_replica_is_no_source_and_does_not_rely_on_local_records() {
    // Given a turn on 1 and 2; 2 is replaced by 4, which is not waited for,
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    for holder in [1, 2] {
        fleet.at(holder).run_controller(turn("a", None, &[1, 2]));
    }
    fleet.down.extend([2, 4]);
    fleet.add(4);
    fleet.set_roster(roster(2, &[1, 2, 3], Some(&[1, 3, 4])));
    expect_that!(fleet.backfill(1) && fleet.backfill(3), eq(true));
    fleet.set_roster(roster(3, &[1, 3, 4], None));
    // when it comes while 1 is away, then it does not fill from 3 alone, and says nothing of the turn,
    fleet.down.extend([1]);
    fleet.down.remove(&4);
    fleet.spread();
    let has_it = fleet.disks_with_turn("a").contains(&3);
    expect_that!(fleet.backfill(4), eq(false));
    expect_that!(fleet.at(4).read_chain("a"), eq(&Answer::Absent { complete: false }));
    let call = Call::Backfill { epoch: 3, disk: 3, cursor: Bytes::new() };
    expect_that!(fleet.at(4).ask(&call), eq(&Answer::NotReady));
    // and with 1 it gets what it should.
    fleet.down.remove(&1);
    expect_that!(fleet.backfill(4), eq(true));
    let disks_with_turn = fleet.disks_with_turn("a");
    expect_that!(disks_with_turn.contains(&4), eq(!has_it));
}

#[gtest]
fn damage_voids_a_backfill_that_relies_on_local_records() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    fleet.at(1).run_controller(turn("a", None, &[1, 2]));
    fleet.add(4);
    fleet.set_roster(roster(2, &[1, 2, 3], Some(&[1, 2, 4])));
    let mut backfill = fleet.at(1).state.backfill().unwrap();
    backfill.page_applied(3, None);
    expect_that!(backfill.is_done(), eq(true));
    fleet.at(1).payloads.lost.insert("a".into());
    fleet.at(1).read_chain("a");
    expect_that!(fleet.at(1).state.mark_in_sync(&backfill), none());
    expect_that!(fleet.at(1).state.backfill().is_some_and(|backfill| !backfill.is_done()), eq(true));
}

#[gtest]
fn backfill_is_paged() {
    // Given more than a page of turns, of which one is larger than a page, and an account larger than a page.
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    for number in 0..20 {
        let mut big = turn(&format!("t{number:02}"), None, &[1, 4]);
        big.input = Bytes::from(vec![b'x'; if number == 7 { 300_000 } else { 50_000 }]);
        fleet.at(1).run_controller(big);
    }
    for attempt in 0..40_000 {
        fleet.at(1).reserve_quietly("", attempt);
        fleet.at(1).reserve_quietly("p", attempt);
    }
    fleet.down.insert(3);
    fleet.add(4);
    fleet.pages = 0;
    // When a new store fills, then all comes over, in pages as large as they may be.
    fleet.change(&[1, 2, 4]);
    expect_that!(fleet.at(4).state.counts().turns, eq(20));
    for program in ["", "p"] {
        expect_that!(sum(&fleet.at(4).read_account(program)), eq(40_000));
    }
    expect_that!(fleet.pages, ge(10));
}

#[gtest]
fn an_invalid_cursor_is_rejected() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    let call = Call::Backfill { epoch: 1, disk: 2, cursor: Bytes::from_static(&[9, 9, 9]) };
    expect_that!(fleet.at(1).ask(&call), eq(&Answer::NotReady));
}
