//! Random schedules of the log: several proposers, messages that are reordered, repeated, lost and late, processes that end with
//! what they had not synced, empty disks and changes of the members.

mod defect;
mod fleet;
mod ledger;
mod node;
mod schedule;

use defect::{DEFECTS, Defect};
use fleet_model::CoordinationCommand;
use googletest::prelude::*;

/// Number of schedules; the environment variable `SCHEDULES` sets another.
const SCHEDULES: u64 = 1_500;
/// The number of schedules within which each defect is found.
const MAX_SCHEDULES_TO_DEFECT: u64 = 20_000;

pub(crate) fn command_number(command: &CoordinationCommand) -> u64 {
    let CoordinationCommand::NextNumber { name } = command else { panic!("no such command here") };
    name.parse().expect("a number")
}

fn schedules() -> u64 {
    std::env::var("SCHEDULES").ok().and_then(|number| number.parse().ok()).unwrap_or(SCHEDULES)
}

#[gtest]
fn replicas_agree_in_every_schedule() {
    let (mut acknowledged, mut changes, mut wipes) = (0, 0, 0);
    for seed in 0..schedules() {
        let outcome = schedule::run(seed, Defect::None);
        assert_that!(outcome.violation, none(), "seed {seed}");
        acknowledged += outcome.acknowledged;
        changes += outcome.changes;
        wipes += outcome.wipes;
    }
    println!("{} schedules: {acknowledged} acknowledged, {changes} changes, {wipes} wipes", schedules());
    expect_that!(acknowledged as u64, gt(schedules()));
    expect_that!(changes as u64, gt(schedules() / 2));
    expect_that!(wipes as u64, gt(schedules() / 2));
}

#[gtest]
fn every_defect_is_found() {
    for defect in DEFECTS {
        let violation = |seed: u64| Some((seed, schedule::run(seed, defect).violation?));
        let found =
            (0..MAX_SCHEDULES_TO_DEFECT).map(|number| 3 * number + defect.emphasis()).find_map(violation);
        println!("{defect:?}: {found:?}");
        expect_that!(found, some(anything()), "{defect:?}");
    }
}
