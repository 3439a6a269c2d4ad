//! Backfill: how records move when the roster changes, and when a replica counts as in sync.

use crate::cluster::{Cluster, reservation, roster, sum, turn};
use bytes::Bytes;
use fleet_model::{Answer, Call, Roster, account_replicas};
use googletest::prelude::*;

#[gtest]
fn a_replaced_disk_gets_the_records_of_the_lost_one() {
    // Given turns and an account on three stores, of which one loses its disk and comes back as 4.
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    for (attempt, replicas) in [("a", [1, 3]), ("b", [2, 3]), ("c", [1, 2])] {
        for holder in replicas {
            cluster.at(holder).run_controller(turn(attempt, None, &replicas));
        }
    }
    for disk in [1, 3] {
        cluster.at(disk).reserve("p", reservation(1, 60));
    }
    cluster.down.insert(3);
    cluster.add(4);
    // When the fleet goes over to it.
    cluster.change(&[1, 2, 4]);
    // Then each turn is on two of those that are left, the untouched one where it was.
    for attempt in ["a", "b"] {
        let disks_with_turn: Vec<u64> =
            cluster.disks_with_turn(attempt).into_iter().filter(|disk| *disk != 3).collect();
        expect_that!(disks_with_turn.len(), eq(2));
    }
    expect_that!(cluster.disks_with_turn("c"), eq(&vec![1, 2]));
    expect_that!(cluster.at(4).read_chain("c"), eq(&Answer::Absent { complete: true }));
    // And the account, also where a minority had it.
    for disk in [1, 2, 4] {
        expect_that!(sum(&cluster.at(disk).read_account("p")), eq(60));
    }
}

#[gtest]
fn a_retirement_preserves_the_number_of_copies() {
    // Given four stores, and turns all over.
    let mut cluster = Cluster::founded(&[1, 2, 3, 4], 1);
    for number in 0..40_u64 {
        let replicas = [1 + number % 4, 1 + (number + 1 + number / 4 % 3) % 4];
        for holder in replicas {
            cluster.at(holder).run_controller(turn(&format!("t{number}"), None, &replicas));
        }
    }
    // When one is retired, and then goes away.
    cluster.change(&[1, 2, 3]);
    cluster.machines.remove(&4);
    // Then every turn is on two of the others, not more.
    for number in 0..40 {
        expect_that!(cluster.disks_with_turn(&format!("t{number}")).len(), eq(2));
    }
}

#[gtest]
fn a_second_change_uses_the_replicas_of_the_first() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    for holder in [1, 2] {
        cluster.at(holder).run_controller(turn("a", None, &[1, 2]));
    }
    // When one holder after another is replaced, each time without the old one.
    cluster.down.insert(1);
    cluster.add(4);
    cluster.change(&[2, 3, 4]);
    cluster.down.insert(2);
    cluster.add(5);
    cluster.change(&[3, 4, 5]);
    // Then the turn is still there.
    let left: Vec<u64> = cluster.disks_with_turn("a").into_iter().filter(|disk| *disk > 2).collect();
    expect_that!(left.len(), eq(2));
}

#[gtest]
fn accounts_are_backfilled_to_their_new_replicas_only() {
    // Given five stores that outlive one loss: accounts are on three of them.
    let mut cluster = Cluster::founded(&[1, 2, 3, 4, 5], 1);
    let programs: Vec<String> = (0..30).map(|number| format!("program-{number}")).collect();
    for program in &programs {
        let replicas = account_replicas(&cluster.roster.current, program, 1);
        for holder in replicas.iter().map(|store| store.disk).collect::<Vec<_>>() {
            cluster.at(holder).reserve(program, reservation(1, 9));
        }
    }
    // When the fifth is replaced.
    cluster.down.insert(5);
    cluster.add(6);
    cluster.change(&[1, 2, 3, 4, 6]);
    // Then every holder has the account, and the new store no other.
    let mut of_new = 0;
    for program in &programs {
        let replicas = account_replicas(&cluster.roster.current, program, 1);
        for holder in replicas.iter().map(|store| store.disk).collect::<Vec<_>>() {
            expect_that!(sum(&cluster.at(holder).read_account(program)), eq(9));
            of_new += usize::from(holder == 6);
        }
    }
    expect_that!(cluster.at(6).state.counts().accounts, eq(of_new));
}

#[gtest]
fn a_damaged_replica_is_no_source_until_its_backfill() {
    // Given a store that finds a turn unreadable.
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    for attempt in ["a", "b"] {
        for holder in [1, 2] {
            cluster.at(holder).run_controller(turn(attempt, None, &[1, 2]));
        }
    }
    cluster.at(1).payloads.lost.insert("a".into());
    expect_that!(cluster.at(1).read_chain("a"), eq(&Answer::Absent { complete: false }));
    // Then it takes nothing, gives nothing, and still tells what it has.
    expect_that!(cluster.at(1).reserve("p", reservation(1, 1)), eq(&Answer::NotReady));
    expect_that!(
        cluster.at(1).ask(&Call::Backfill { epoch: 1, disk: 2, cursor: Bytes::new() }),
        eq(&Answer::NotReady)
    );
    expect_that!(matches!(cluster.at(1).read_chain("b"), Answer::Chain { .. }), eq(true));
    // One of the others is not enough to fill from.
    cluster.down.insert(2);
    expect_that!(cluster.backfill(1), eq(false));
    expect_that!(cluster.at(1).state.is_in_sync(), eq(false));
    // When both are there, then it is whole again.
    cluster.down.clear();
    cluster.at(1).payloads.lost.clear();
    expect_that!(cluster.backfill(1), eq(true));
    expect_that!(cluster.disks_with_turn("a"), eq(&vec![1, 2]));
    expect_that!(cluster.at(1).read_chain("x"), eq(&Answer::Absent { complete: true }));
}

#[gtest]
fn a_backfill_counts_only_for_its_own_change() {
    // Given a store that has filled for a change.
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    cluster.add(4);
    cluster.set_roster(roster(2, &[1, 2, 3], Some(&[1, 2, 4])));
    let stale = cluster.at(4).state.backfill().unwrap();
    expect_that!(cluster.backfill(4), eq(true));
    expect_that!(cluster.at(4).state.is_in_sync_for_next(), eq(true));
    // While the same change goes on under the next epoch, it still counts.
    cluster.set_roster(roster(3, &[1, 2, 3], Some(&[1, 2, 4])));
    expect_that!(cluster.at(4).state.is_in_sync_for_next(), eq(true));
    // When the change was given up in between and comes again, it does not, seen or unseen.
    let mut seen = cluster;
    seen.set_roster(roster(4, &[1, 2, 3], None));
    seen.set_roster(roster(5, &[1, 2, 3], Some(&[1, 2, 4])));
    expect_that!(seen.at(4).state.is_in_sync_for_next(), eq(false));
    expect_that!(seen.backfill(4), eq(true));
    seen.set_roster(roster(9, &[1, 2, 3], Some(&[1, 2, 4])));
    expect_that!(seen.at(4).state.is_in_sync_for_next(), eq(false));
    // And a backfill begun under another epoch marks nothing.
    expect_that!(seen.at(4).state.mark_in_sync(&stale), none());
    // Where the roster itself tells that it was reported so, it counts.
    expect_that!(seen.backfill(4), eq(true));
    seen.set_roster(Roster { in_sync: vec![4], ..roster(12, &[1, 2, 3], Some(&[1, 2, 4])) });
    expect_that!(seen.at(4).state.is_in_sync_for_next(), eq(true));
}

#[gtest]
fn current_replicas_stay_in_sync_for_reads_during_backfill_for_the_next_set() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    cluster.at(1).reserve("p", reservation(1, 5));
    cluster.add(4);
    cluster.set_roster(roster(2, &[1, 2, 3], Some(&[1, 2, 4])));
    cluster.fill_all();
    expect_that!(sum(&cluster.at(1).read_account("p")), eq(5));
    expect_that!(sum(&cluster.at(3).read_account("p")), eq(0));
    // When the change is given up, they are still full.
    cluster.set_roster(roster(3, &[1, 2, 3], None));
    expect_that!(cluster.at(1).state.is_in_sync(), eq(true));
}

#[gtest]
fn a_new_cluster_is_in_sync_at_once_also_with_one_down() {
    let mut cluster = Cluster::gathering(&[1, 2, 3], 1);
    cluster.down.insert(3);
    cluster.fill_all();
    cluster.set_roster(roster(2, &[1, 2, 3], None));
    expect_that!(sum(&cluster.at(1).reserve("p", reservation(1, 5))), eq(5));
    expect_that!(sum(&cluster.at(2).reserve("p", reservation(1, 5))), eq(5));
    // When the third comes, it gets what was written meanwhile.
    cluster.down.clear();
    cluster.spread();
    expect_that!(cluster.at(3).read_chain("x"), eq(&Answer::Absent { complete: false }));
    expect_that!(cluster.backfill(3), eq(true));
    expect_that!(sum(&cluster.at(3).read_account("p")), eq(5));
}

#[gtest]
fn a_new_cluster_that_changes_at_once_is_backfilled() {
    // Given a new fleet that was full when it was founded, of which nobody has heard that;
    let mut cluster = Cluster::gathering(&[1, 2, 3], 1);
    cluster.fill_all();
    // when a fourth joins at that moment, then all fill.
    cluster.add(4);
    cluster.set_roster(roster(3, &[1, 2, 3], Some(&[1, 2, 3, 4])));
    expect_that!(sum(&cluster.at(1).reserve("p", reservation(1, 5))), eq(5));
    for disk in 1..=4 {
        expect_that!(cluster.backfill(disk), eq(true), "store {disk}");
    }
    // But one that has taken a write and is not full gives nothing: it may lack what it answered for.
    cluster.set_roster(roster(4, &[1, 2, 3, 4], None));
    cluster.at(4).reserve("p", reservation(2, 5));
    cluster.set_roster(roster(5, &[1, 2, 4], None));
    let call = Call::Backfill { epoch: 5, disk: 1, cursor: Bytes::new() };
    expect_that!(cluster.at(4).ask(&call), eq(&Answer::NotReady));
}

#[gtest]
fn an_empty_replica_is_no_source_and_does_not_rely_on_local_records() {
    // Given a turn on 1 and 2; 2 is replaced by 4, which is not waited for,
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    for holder in [1, 2] {
        cluster.at(holder).run_controller(turn("a", None, &[1, 2]));
    }
    cluster.down.extend([2, 4]);
    cluster.add(4);
    cluster.set_roster(roster(2, &[1, 2, 3], Some(&[1, 3, 4])));
    expect_that!(cluster.backfill(1) && cluster.backfill(3), eq(true));
    cluster.set_roster(roster(3, &[1, 3, 4], None));
    // when it comes while 1 is away, then it does not fill from 3 alone, and says nothing of the turn,
    cluster.down.extend([1]);
    cluster.down.remove(&4);
    cluster.spread();
    let has_it = cluster.disks_with_turn("a").contains(&3);
    expect_that!(cluster.backfill(4), eq(false));
    expect_that!(cluster.at(4).read_chain("a"), eq(&Answer::Absent { complete: false }));
    let call = Call::Backfill { epoch: 3, disk: 3, cursor: Bytes::new() };
    expect_that!(cluster.at(4).ask(&call), eq(&Answer::NotReady));
    // and with 1 it gets what it should.
    cluster.down.remove(&1);
    expect_that!(cluster.backfill(4), eq(true));
    let disks_with_turn = cluster.disks_with_turn("a");
    expect_that!(disks_with_turn.contains(&4), eq(!has_it));
}

#[gtest]
fn damage_voids_a_backfill_that_relies_on_local_records() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    cluster.at(1).run_controller(turn("a", None, &[1, 2]));
    cluster.add(4);
    cluster.set_roster(roster(2, &[1, 2, 3], Some(&[1, 2, 4])));
    let mut backfill = cluster.at(1).state.backfill().unwrap();
    backfill.page_applied(3, None);
    expect_that!(backfill.is_done(), eq(true));
    cluster.at(1).payloads.lost.insert("a".into());
    cluster.at(1).read_chain("a");
    expect_that!(cluster.at(1).state.mark_in_sync(&backfill), none());
    expect_that!(cluster.at(1).state.backfill().is_some_and(|backfill| !backfill.is_done()), eq(true));
}

#[gtest]
fn backfill_is_paged() {
    // Given more than a page of turns, of which one is larger than a page, and an account larger than a page.
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    for number in 0..20 {
        let mut big = turn(&format!("t{number:02}"), None, &[1, 4]);
        big.input = Bytes::from(vec![b'x'; if number == 7 { 300_000 } else { 50_000 }]);
        cluster.at(1).run_controller(big);
    }
    for attempt in 0..40_000 {
        cluster.at(1).reserve_quietly("", attempt);
        cluster.at(1).reserve_quietly("p", attempt);
    }
    cluster.down.insert(3);
    cluster.add(4);
    cluster.pages = 0;
    // When a new store fills, then all comes over, in pages as large as they may be.
    cluster.change(&[1, 2, 4]);
    expect_that!(cluster.at(4).state.counts().turns, eq(20));
    for program in ["", "p"] {
        expect_that!(sum(&cluster.at(4).read_account(program)), eq(40_000));
    }
    expect_that!(cluster.pages, ge(10));
}

#[gtest]
fn an_invalid_cursor_is_rejected() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    let call = Call::Backfill { epoch: 1, disk: 2, cursor: Bytes::from_static(&[9, 9, 9]) };
    expect_that!(cluster.at(1).ask(&call), eq(&Answer::NotReady));
}
