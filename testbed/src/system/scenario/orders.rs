//! Orders of operators while the control nodes are disturbed.

use super::{BEGIN_MS, CAUGHT_UP_MS, Case, CaseBuilder, ISOLATED_MS};
use crate::system::schedule::{Class, FaultKind, ISOLATIONS, Isolation, Target};

/// Each way to be kept from others, for the machine that holds the lease and for another one, with changes of the configuration
/// and of the storage machines under way and a proxy that starts meanwhile.
pub(super) fn cut_control_node() -> Vec<Case> {
    let targets = [("the lease holder", Target::LeaseHolder), ("a voter", Target::Machine(1))];
    let mut cases = Vec::new();
    for (which, target) in targets {
        for how in ISOLATIONS {
            let mut builder = CaseBuilder::new(format!("{which}: {how:?}"), cases.len() as u64 + 1, 1, 4, 9);
            let (first, second) = (builder.edge(0), builder.edge(4));
            let (leaver, joins) = (builder.store(3), builder.add_new_machine(Class::Store, None));
            let begins = BEGIN_MS + 1_000;
            builder
                .at(begins - 50, FaultKind::Burst { orders: 40 })
                .at(begins, FaultKind::Isolate { target, how, for_ms: ISOLATED_MS })
                .at(begins + 3_500, FaultKind::Add { machine: joins })
                .at(begins + 5_000, FaultKind::KillProxy { machine: first, back_ms: 300 })
                .at(begins + 9_000, FaultKind::Kill { machine: second, back_ms: 300 })
                .at(begins + 11_000, FaultKind::Retire { machine: leaver })
                .at(begins + ISOLATED_MS - 200, FaultKind::Burst { orders: 40 });
            cases.push(builder.until(begins + ISOLATED_MS + CAUGHT_UP_MS));
        }
    }
    cases
}

pub(super) fn orders_again() -> Vec<Case> {
    let mut cases = Vec::new();
    for seed in 1..=3 {
        for kind in ["answers lost", "and restarts", "and voters replaced", "and losses of all power"] {
            let mut builder = CaseBuilder::new(format!("{kind}, {seed}"), seed, 1, 3, 3);
            builder.at(BEGIN_MS, FaultKind::LoseAnswers { of_thousand: 400, for_ms: 12_000 });
            for burst in 0..4 {
                builder.at(BEGIN_MS + 3_000 * burst, FaultKind::Burst { orders: 60 });
            }
            let mut over = BEGIN_MS + 13_000;
            match kind {
                "and restarts" => {
                    builder
                        .at(BEGIN_MS + 1_000, FaultKind::KillCore { back_ms: 500 })
                        .at(BEGIN_MS + 7_000, FaultKind::KillCore { back_ms: 300 });
                }
                "and voters replaced" => {
                    for index in 0..2 {
                        let (old, new) =
                            (builder.core(index), builder.add_new_machine(Class::ControlNode, None));
                        let at = BEGIN_MS + 1_000 + 9_000 * index as u64;
                        builder.at(at, FaultKind::Replace { old, new, starts_ms: 1_000, ends_ms: 0 });
                    }
                    over += 9_000;
                }
                "and losses of all power" => {
                    builder.at(BEGIN_MS + 5_000, FaultKind::All { power: true, disks: vec![], back_ms: 800 });
                }
                _ => {}
            }
            cases.push(builder.until(over));
        }
    }
    cases
}

/// Number of changes of a case that are sent without a pause.
const CONCURRENT_CHANGES: u64 = 600;

/// Changes without a pause, first undisturbed, then with the lease holder isolated in each way among them.
pub(super) fn proposer_lost() -> Vec<Case> {
    let mut cases = vec![concurrent_changes("undisturbed".to_owned(), 1, None)];
    for (seed, how) in (2..).zip(ISOLATIONS) {
        cases.push(concurrent_changes(format!("the proposer: {how:?}"), seed, Some(how)));
    }
    cases
}

fn concurrent_changes(name: String, seed: u64, isolation: Option<Isolation>) -> Case {
    let mut builder = CaseBuilder::new(name, seed, 2, 5, 3);
    builder.at(BEGIN_MS, FaultKind::Burst { orders: CONCURRENT_CHANGES });
    if let Some(how) = isolation {
        let target = Target::LeaseHolder;
        builder.at(BEGIN_MS + 3_000, FaultKind::Isolate { target, how, for_ms: ISOLATED_MS });
    }
    builder.until(BEGIN_MS + 3_000 + ISOLATED_MS + CAUGHT_UP_MS)
}

/// Five voters. One is away for all changes and comes back during a flood of them; among the others there are a long cut, a wiped
/// disk, restarts of all, and a replaced one.
pub fn thousand_changes(seed: u64, orders: u64) -> Case {
    let mut builder = CaseBuilder::new(format!("{orders} changes, {seed}"), seed, 2, 5, 3);
    let (away, cut, wiped, replaced) = (builder.core(0), builder.core(1), builder.core(2), builder.core(3));
    let new = builder.add_new_machine(Class::ControlNode, None);
    let begins = BEGIN_MS;
    let cut_at = begins + 11_000;
    let killed_at = cut_at + ISOLATED_MS + CAUGHT_UP_MS;
    let replaced_at = killed_at + 1_000 + CAUGHT_UP_MS;
    let returns = replaced_at + 9_000;
    builder
        .at(begins, FaultKind::Kill { machine: away, back_ms: returns - begins })
        .at(begins + 100, FaultKind::Burst { orders })
        .at(begins + 700, FaultKind::KillCore { back_ms: 300 })
        .at(begins + 5_500, FaultKind::LoseDisk { machine: wiped, back_ms: 800 })
        .at(
            cut_at,
            FaultKind::Isolate { target: Target::Machine(cut), how: Isolation::Cut, for_ms: ISOLATED_MS },
        )
        .at(cut_at + ISOLATED_MS - 1_000, FaultKind::Burst { orders: orders / 4 })
        .at(killed_at, FaultKind::KillCore { back_ms: 300 })
        .at(replaced_at, FaultKind::Replace { old: replaced, new, starts_ms: 1_000, ends_ms: 0 })
        .at(returns - 500, FaultKind::Burst { orders: orders / 4 })
        .at(returns + CAUGHT_UP_MS, FaultKind::KillCore { back_ms: 500 });
    builder.until(returns + 3 * CAUGHT_UP_MS)
}
