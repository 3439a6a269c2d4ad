//! What a replica answers by its place in the roster.

use crate::cluster::{Cluster, Machine, reservation, roster, sum, turn};
use bytes::Bytes;
use fleet_model::{Answer, Call, QuorumSizes};
use googletest::prelude::*;
use turn_store::RecordCounts;

#[gtest]
fn a_call_of_another_epoch_is_answered_with_the_replicas_epoch() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    for epoch in [0, 2] {
        let calls = [
            Call::Reserve { epoch, program: "p".into(), reservation: reservation(1, 1) },
            Call::Settle { epoch, program: "p".into(), reservation: reservation(1, 1) },
            Call::ReadAccount { epoch, program: "p".into() },
            Call::StoreTurn { epoch, turn: turn("a", None, &[1]), served_by: None },
            Call::ReadChain { epoch, attempt: "a".into() },
            Call::Backfill { epoch, disk: 2, cursor: Bytes::new() },
            Call::BackfillDone { epoch, disk: 2 },
        ];
        for call in calls {
            expect_that!(cluster.at(1).ask(&call), eq(&Answer::WrongEpoch(1)));
        }
    }
    expect_that!(cluster.at(1).state.counts(), eq(RecordCounts::default()));
}

#[gtest]
fn an_older_roster_is_ignored() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    cluster.set_roster(roster(0, &[4, 5, 6], None));
    expect_that!(cluster.at(1).state.epoch(), eq(1));
    expect_that!(cluster.at(1).state.is_in_sync(), eq(true));
}

#[gtest]
fn replicas_serve_nothing_before_the_first_set_is_current() {
    // Given stores that have gathered, and are full as far as there is anything.
    let mut cluster = Cluster::gathering(&[1, 2, 3], 1);
    cluster.fill_all();
    for disk in 1..=3 {
        let machine = cluster.at(disk);
        expect_that!(machine.state.is_in_sync_for_next(), eq(true));
        expect_that!(machine.reserve("p", reservation(1, 1)), eq(&Answer::NotReady));
        expect_that!(machine.read_account("p"), eq(&Answer::NotReady));
        expect_that!(machine.run_controller(turn("a", None, &[1, 2])), eq(&Answer::NotReady));
        expect_that!(machine.read_chain("a"), eq(&Answer::Absent { complete: false }));
    }
    // When they are founded, then all of them take and tell.
    cluster.set_roster(roster(2, &[1, 2, 3], None));
    for disk in 1..=3 {
        let machine = cluster.at(disk);
        expect_that!(sum(&machine.reserve("p", reservation(1, 1))), eq(1));
        expect_that!(machine.run_controller(turn("a", None, &[1, 2])), eq(&Answer::Done));
        expect_that!(machine.read_chain("b"), eq(&Answer::Absent { complete: true }));
    }
}

#[gtest]
fn clusters_below_the_tolerated_losses_accept_writes_and_backfill() {
    for (losses, machines) in [(1, 1), (1, 2), (2, 1), (2, 2), (2, 3), (2, 4)] {
        let disks: Vec<u64> = (1..=machines).collect();
        let mut cluster = Cluster::founded(&disks, losses);
        for disk in &disks {
            expect_that!(sum(&cluster.at(*disk).reserve("p", reservation(1, 5))), eq(5));
            expect_that!(cluster.at(*disk).run_controller(turn("a", None, &disks)), eq(&Answer::Done));
        }
        // When as many are lost as the copies allow, then one that takes their place has all.
        let survived = QuorumSizes::for_machines(disks.len(), losses).unwrap().losses_survived() as u64;
        cluster.down.extend(1..=survived);
        cluster.add(9);
        let next: Vec<u64> = (survived + 1..=machines).chain([9]).collect();
        cluster.change(&next);
        expect_that!(sum(&cluster.at(9).read_account("p")), eq(5), "{machines} machines, {losses} losses");
        expect_that!(matches!(cluster.at(9).read_chain("a"), Answer::Chain { .. }), eq(true));
    }
}

#[gtest]
fn a_replica_outside_the_roster_serves_nothing() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    cluster.at(1).run_controller(turn("a", None, &[1, 2]));
    cluster.add(4);
    cluster.spread();
    let machine = cluster.at(4);
    expect_that!(machine.reserve("p", reservation(1, 1)), eq(&Answer::NotReady));
    expect_that!(machine.read_account("p"), eq(&Answer::NotReady));
    expect_that!(machine.run_controller(turn("b", None, &[4])), eq(&Answer::NotReady));
    expect_that!(machine.read_chain("a"), eq(&Answer::Absent { complete: false }));
    expect_that!(
        machine.ask(&Call::Backfill { epoch: 1, disk: 1, cursor: Bytes::new() }),
        eq(&Answer::NotReady)
    );
    // And it is given nothing.
    expect_that!(
        cluster.at(1).ask(&Call::Backfill { epoch: 1, disk: 4, cursor: Bytes::new() }),
        eq(&Answer::NotReady)
    );
}

#[gtest]
fn a_retired_replica_still_serves_a_turn_but_no_absence() {
    let mut cluster = Cluster::founded(&[1, 2, 3, 4], 1);
    cluster.at(4).run_controller(turn("a", None, &[4, 1]));
    cluster.change(&[1, 2, 3]);
    expect_that!(matches!(cluster.at(4).read_chain("a"), Answer::Chain { .. }), eq(true));
    expect_that!(cluster.at(4).read_chain("b"), eq(&Answer::Absent { complete: false }));
    expect_that!(cluster.at(1).read_chain("b"), eq(&Answer::Absent { complete: true }));
}

#[gtest]
fn a_replica_out_of_sync_never_reports_complete_absence() {
    // Given a store in `current` that has not filled, and one in `next`, before and after filling.
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    cluster.at(1).run_controller(turn("a", None, &[1, 2]));
    cluster.add(4);
    cluster.set_roster(roster(2, &[1, 2, 3], Some(&[1, 2, 4])));
    expect_that!(cluster.at(4).read_chain("a"), eq(&Answer::Absent { complete: false }));
    expect_that!(cluster.backfill(4), eq(true));
    expect_that!(cluster.at(4).read_chain("x"), eq(&Answer::Absent { complete: false }));
    // A stranger to the change that finds itself in `current`.
    let mut machine = Machine::new(2, 1);
    machine.state.set_roster(&roster(3, &[1, 2, 4], None));
    expect_that!(machine.read_chain("a"), eq(&Answer::Absent { complete: false }));
    expect_that!(machine.reserve("p", reservation(1, 1)), eq(&Answer::NotReady));
    expect_that!(machine.read_account("p"), eq(&Answer::NotReady));
    expect_that!(machine.run_controller(turn("b", None, &[2])), eq(&Answer::NotReady));
    // The one that had filled says it once it is in `current`.
    cluster.set_roster(roster(3, &[1, 2, 4], None));
    expect_that!(cluster.at(4).read_chain("x"), eq(&Answer::Absent { complete: true }));
}

#[gtest]
fn a_member_of_the_next_set_accepts_writes_and_no_account_reads() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    cluster.add(4);
    cluster.set_roster(roster(2, &[1, 2, 3], Some(&[1, 2, 4])));
    expect_that!(sum(&cluster.at(4).reserve("p", reservation(1, 5))), eq(5));
    expect_that!(cluster.at(4).read_account("p"), eq(&Answer::NotReady));
    expect_that!(cluster.at(4).run_controller(turn("a", None, &[4, 1])), eq(&Answer::Done));
    expect_that!(matches!(cluster.at(4).read_chain("a"), Answer::Chain { .. }), eq(true));
}
