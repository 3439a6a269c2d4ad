//! What a replica accepts when its disk has little capacity left.

use crate::cluster::{Cluster, MINUTE, reservation, sum, turn};
use fleet_model::Answer;
use googletest::prelude::*;
use turn_store::DiskCapacity;

#[gtest]
fn scarce_capacity_is_reserved_for_programs_with_an_account() {
    // Given a store with one program, whose disk has become scarce.
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    let machine = cluster.at(1);
    machine.reserve("old", reservation(1, 60));
    machine.run_controller(turn("a", None, &[1, 2]));
    expect_that!(machine.state.set_capacity(DiskCapacity::Scarce), eq(true));
    expect_that!(machine.state.set_capacity(DiskCapacity::Scarce), eq(false));
    // Then no other one may begin, and that one goes on; what is kept is reported.
    expect_that!(machine.reserve("new", reservation(2, 60)), eq(&Answer::NotReady));
    expect_that!(machine.read_account("new"), eq(&Answer::Account(vec![])));
    expect_that!(sum(&machine.reserve("old", reservation(3, 10))), eq(70));
    expect_that!(machine.run_controller(turn("b", Some("a"), &[1, 2])), eq(&Answer::Done));
    // When it is full, then no further turn is taken, and one that is kept is confirmed.
    machine.state.set_capacity(DiskCapacity::Full);
    expect_that!(machine.run_controller(turn("c", Some("b"), &[1, 2])), eq(&Answer::NotReady));
    expect_that!(machine.run_controller(turn("b", Some("a"), &[1, 2])), eq(&Answer::Done));
    expect_that!(matches!(machine.read_chain("b"), Answer::Chain { .. }), eq(true));
    expect_that!(sum(&machine.reserve("old", reservation(1, 20))), eq(30));
    // And what has expired is removed, after which it takes others again.
    expect_that!(machine.state.expire(100 * MINUTE), not(is_empty()));
    expect_that!(machine.state.set_capacity(DiskCapacity::Ample), eq(true));
    expect_that!(sum(&machine.reserve("new", reservation(2, 60))), eq(60));
    expect_that!(machine.run_controller(turn("c", None, &[1, 2])), eq(&Answer::Done));
}

#[gtest]
fn a_majority_with_capacity_still_admits_a_program() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    cluster.at(1).state.set_capacity(DiskCapacity::Full);
    let answers = [1, 2, 3].map(|disk| cluster.at(disk).reserve("new", reservation(2, 60)));
    expect_that!(answers.iter().filter(|answer| matches!(answer, Answer::Account(_))).count(), eq(2));
}

#[gtest]
fn capacity_depends_on_the_size_of_the_tables() {
    const MB: u64 = 1_000_000;
    // Given 310 MB, of which the journals may take 134.
    let limit = 310 * MB;
    for (tables, capacity) in [
        (0, DiskCapacity::Ample),
        (150 * MB, DiskCapacity::Ample),
        (160 * MB, DiskCapacity::Scarce),
        (170 * MB, DiskCapacity::Scarce),
        (172 * MB, DiskCapacity::Full),
        (u64::MAX, DiskCapacity::Full),
    ] {
        expect_that!(DiskCapacity::from_usage(tables, limit), eq(capacity), "{tables} bytes");
    }
    // A small disk has half of it for tables, and one without a limit is never full.
    expect_that!(DiskCapacity::from_usage(44 * MB, 100 * MB), eq(DiskCapacity::Ample));
    expect_that!(DiskCapacity::from_usage(49 * MB, 100 * MB), eq(DiskCapacity::Full));
    expect_that!(DiskCapacity::from_usage(u64::MAX, 0), eq(DiskCapacity::Ample));
}
