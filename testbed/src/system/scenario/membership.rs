//! Losses of machines during changes of the members.

use super::{BEGIN_MS, CAUGHT_UP_MS, Case, CaseBuilder};
use crate::system::schedule::{Class, FaultKind, MembershipStep, Victim};

/// The first set of storage nodes has just been formed.
const FOUNDED_MS: u64 = 4_500;
const STEPS: [MembershipStep; 5] = [
    MembershipStep::Agreed,
    MembershipStep::Filling,
    MembershipStep::Filled,
    MembershipStep::Current,
    MembershipStep::Released,
];
const VICTIMS: [Victim; 4] = [Victim::Newcomer, Victim::Source, Victim::Leaver, Victim::Oldest];

/// How the set of storage nodes changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SetChange {
    Joins,
    Retires,
    /// Both at once.
    JoinsAndRetires,
    /// The old one goes on for a while after the new one has started.
    Replaced,
    /// The old one is lost first; only where two may be lost.
    ReplacedAfterLoss,
    /// One loses its disk; only where two may be lost.
    Wiped,
}

pub(super) fn second_loss() -> Vec<Case> {
    let mut cases = Vec::new();
    let planned = [SetChange::Joins, SetChange::Retires, SetChange::JoinsAndRetires, SetChange::Replaced];
    for change in planned {
        cases.extend(at_each_step(1, change));
    }
    for change in [SetChange::Replaced, SetChange::ReplacedAfterLoss, SetChange::Wiped] {
        cases.extend(at_each_step(2, change));
    }
    cases.extend([1, 2].into_iter().flat_map(core_at_each_step));
    for tolerance in [1, 2] {
        cases.extend([1, 2, 3].map(|seed| retire_then_wipe(seed, tolerance)));
        cases.push(in_turn(tolerance, Class::Store));
        cases.push(in_turn(tolerance, Class::ControlNode));
        cases.push(one_name(tolerance));
        cases.extend([false, true].map(|restarts| replaced_at_the_start(tolerance, restarts)));
    }
    cases
}

/// A planned replacement that begins right after the founding; once it counts as caught up, all lose power and others their
/// disks. With `restarts` no control node remembers by itself that a machine joined.
fn replaced_at_the_start(tolerance: usize, restarts: bool) -> Case {
    let name = format!("replaced at the start, restarts {restarts}, {tolerance} may be lost");
    let mut builder = CaseBuilder::new(name, 7, tolerance, 2 * tolerance + 2, 3);
    let old = builder.store(0);
    let new = builder.add_new_machine(Class::Store, None);
    let disks: Vec<usize> = (1..=tolerance).map(|index| builder.store(index)).collect();
    let ends_ms = 4_700;
    let lost_at = FOUNDED_MS + ends_ms + CAUGHT_UP_MS;
    builder.at(FOUNDED_MS, FaultKind::Replace { old, new, starts_ms: 0, ends_ms });
    if restarts {
        builder.at(FOUNDED_MS + ends_ms - 400, FaultKind::KillCore { back_ms: 300 });
    }
    builder.at(lost_at, FaultKind::All { power: true, disks, back_ms: 1_700 });
    builder.until(lost_at + 2 * CAUGHT_UP_MS)
}

/// Whether a change of this kind has such a member.
fn has_victim(change: SetChange, victim: Victim) -> bool {
    match victim {
        Victim::Newcomer => change != SetChange::Retires,
        Victim::Leaver => {
            matches!(change, SetChange::Retires | SetChange::JoinsAndRetires | SetChange::Replaced)
        }
        Victim::Source | Victim::Oldest => true,
    }
}

fn at_each_step(tolerance: usize, change: SetChange) -> Vec<Case> {
    let mut cases = Vec::new();
    for step in STEPS {
        for victim in VICTIMS.into_iter().filter(|victim| has_victim(change, *victim)) {
            let name = format!("{change:?}, {step:?}: {victim:?}, {tolerance} may be lost");
            let mut builder = CaseBuilder::new(name, cases.len() as u64 + 1, tolerance, 2 * tolerance + 2, 3);
            let old = builder.store(2);
            builder.at(BEGIN_MS + 900, FaultKind::LossAtStep { step, victim, wiped: true, back_ms: 600 });
            begin_change(&mut builder, change, old);
            cases.push(builder.until(BEGIN_MS + 9_000 + CAUGHT_UP_MS));
        }
    }
    cases
}

fn begin_change(builder: &mut CaseBuilder, change: SetChange, old: usize) {
    let at = BEGIN_MS + 1_000;
    let joins = |builder: &mut CaseBuilder| {
        let machine = builder.add_new_machine(Class::Store, None);
        builder.at(at, FaultKind::Add { machine });
    };
    let replaces = |builder: &mut CaseBuilder, starts_ms, ends_ms| {
        let new = builder.add_new_machine(Class::Store, None);
        builder.at(at, FaultKind::Replace { old, new, starts_ms, ends_ms });
    };
    match change {
        SetChange::Joins => joins(builder),
        SetChange::Retires => drop(builder.at(at, FaultKind::Retire { machine: old })),
        SetChange::JoinsAndRetires => {
            joins(builder);
            builder.at(at, FaultKind::Retire { machine: old });
        }
        SetChange::Replaced => replaces(builder, 0, 5_000),
        SetChange::ReplacedAfterLoss => replaces(builder, 1_500, 0),
        SetChange::Wiped => drop(builder.at(at, FaultKind::LoseDisk { machine: old, back_ms: 500 })),
    }
}

fn core_at_each_step(tolerance: usize) -> Vec<Case> {
    let mut cases = Vec::new();
    for step in [MembershipStep::VoterAdded, MembershipStep::VoterRemoved] {
        for victim in [Victim::Newcomer, Victim::Source, Victim::Oldest] {
            let name = format!("core, {step:?}: {victim:?}, {tolerance} may be lost");
            let mut builder = CaseBuilder::new(name, cases.len() as u64 + 1, tolerance, 2 * tolerance + 1, 3);
            let new = builder.add_new_machine(Class::ControlNode, None);
            let old = builder.core(1);
            let at = BEGIN_MS + 1_000;
            builder.at(at - 100, FaultKind::LossAtStep { step, victim, wiped: true, back_ms: 600 });
            match tolerance {
                // With one loss to be borne the newcomer only joins.
                1 => builder.at(at, FaultKind::Add { machine: new }),
                _ => builder.at(at, FaultKind::Replace { old, new, starts_ms: 500, ends_ms: 0 }),
            };
            cases.push(builder.until(BEGIN_MS + 9_000 + CAUGHT_UP_MS));
        }
    }
    cases
}

/// A machine is taken away once its retire is completed, and in that moment as many as may be lost lose their disks.
fn retire_then_wipe(seed: u64, tolerance: usize) -> Case {
    let name = format!("retired, then {tolerance} wiped, {seed}");
    let mut builder = CaseBuilder::new(name, seed, tolerance, 2 * tolerance + 2, 3);
    let machine = builder.store(seed as usize);
    let others = (0..2 * tolerance + 2).filter(|index| *index != seed as usize);
    let wiped = others.take(tolerance).map(|index| builder.store(index)).collect();
    builder.at(BEGIN_MS + 3_000, FaultKind::RetireThenWipe { machine, wiped, back_ms: 600 });
    builder.until(BEGIN_MS + 8_000 + CAUGHT_UP_MS)
}

/// Each machine of a class loses its disk, one after the other, as soon as the one before counts as well again.
fn in_turn(tolerance: usize, class: Class) -> Case {
    let mut builder = CaseBuilder::new(
        format!("{class:?}, wiped in turn, {tolerance} may be lost"),
        1,
        tolerance,
        2 * tolerance + 1,
        3,
    );
    let back_ms = 500;
    let mut at = BEGIN_MS;
    for machine in builder.schedule.machines_of(class) {
        builder.at(at, FaultKind::LoseDisk { machine, back_ms });
        at += back_ms + CAUGHT_UP_MS;
    }
    builder.until(at)
}

/// A storage machine is replaced again and again by one of the same name.
fn one_name(tolerance: usize) -> Case {
    let mut builder =
        CaseBuilder::new(format!("one name, {tolerance} may be lost"), 1, tolerance, 2 * tolerance + 1, 3);
    let mut old = builder.store(0);
    let name = builder.schedule.machines[old].name.clone();
    let mut at = BEGIN_MS;
    for planned in [true, false, true] {
        let new = builder.add_new_machine(Class::Store, Some(name.clone()));
        let (starts_ms, ends_ms) = if planned { (0, 5_000) } else { (1_500, 0) };
        builder.at(at, FaultKind::Replace { old, new, starts_ms, ends_ms });
        at += starts_ms.max(ends_ms) + CAUGHT_UP_MS + 1_000;
        old = new;
    }
    builder.until(at)
}
