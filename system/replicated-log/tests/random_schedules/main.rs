//! Random schedules of the replicated log: competing proposers; reordered, duplicated, lost and delayed messages; crashes that lose
//! unsynced records; lost disks and membership changes.

mod cluster;
mod defect;
mod node;
mod oracle;
mod schedule;

use defect::{DEFECTS, Defect};
use fleet_model::CoordinationCommand;
use googletest::prelude::*;

/// Default number of schedules; the environment variable `SCHEDULES` overrides it.
const SCHEDULES: u64 = 1_500;
/// Number of schedules within which each defect must be detected.
const MAX_SCHEDULES_TO_DEFECT: u64 = 20_000;

pub(crate) fn command_number(command: &CoordinationCommand) -> u64 {
    let CoordinationCommand::NextNumber { name } = command else { panic!("unexpected command: {command:?}") };
    name.parse().expect("the name of each command is a number")
}

fn schedule_count() -> u64 {
    std::env::var("SCHEDULES").ok().and_then(|number| number.parse().ok()).unwrap_or(SCHEDULES)
}

#[gtest]
fn replicas_agree_in_every_schedule() {
    let (mut acknowledged, mut changes, mut wipes) = (0, 0, 0);
    for seed in 0..schedule_count() {
        let outcome = schedule::run(seed, Defect::None);
        assert_that!(outcome.violation, none(), "seed {seed}");
        acknowledged += outcome.acknowledged;
        changes += outcome.changes;
        wipes += outcome.wipes;
    }
    println!("{} schedules: {acknowledged} acknowledged, {changes} changes, {wipes} wipes", schedule_count());
    expect_that!(acknowledged as u64, gt(schedule_count()));
    expect_that!(changes as u64, gt(schedule_count() / 2));
    expect_that!(wipes as u64, gt(schedule_count() / 2));
}

#[gtest]
fn every_defect_is_detected() {
    for defect in DEFECTS {
        let violation = |seed: u64| Some((seed, schedule::run(seed, defect).violation?));
        let found =
            (0..MAX_SCHEDULES_TO_DEFECT).map(|number| 3 * number + defect.emphasis()).find_map(violation);
        println!("{defect:?}: {found:?}");
        expect_that!(found, some(anything()), "{defect:?}");
    }
}
