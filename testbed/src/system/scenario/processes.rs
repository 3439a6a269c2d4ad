//! Herds of processes that go at once, and processor quotas that are spent.

use super::{BEGIN_MS, CAUGHT_UP_MS, Case, CaseBuilder};
use crate::system::schedule::{Class, FaultKind, Isolation, Target};

/// Duration for which processor quotas are spent.
const QUOTA_SPENT_MS: u64 = 10_000;
const ALL_CLASSES: [Class; 3] = [Class::ControlNode, Class::Store, Class::Agent];

/// Machines that go at once, twice: the second time `GAPS_MS` after they have been started again.
pub(super) fn herd_twice() -> Vec<Case> {
    const BACK_MS: u64 = 500;
    const GAPS_MS: [u64; 3] = [50, 300, 1_500];
    let herds = [&[Class::ControlNode][..], &[Class::Store], &[Class::Agent], &ALL_CLASSES];
    let mut cases = Vec::new();
    for (seed, gap_ms) in (1..).zip(GAPS_MS) {
        for (classes, power) in herds.iter().flat_map(|classes| [(*classes, false), (*classes, true)]) {
            let name = format!("{classes:?} twice, {gap_ms} ms after, power {power}");
            let mut builder = CaseBuilder::new(name, seed, 2, 5, 6);
            builder.at(BEGIN_MS, FaultKind::Burst { orders: 30 });
            let machines: Vec<usize> =
                classes.iter().flat_map(|class| builder.schedule.machines_of(*class)).collect();
            for at_ms in [BEGIN_MS + 500, BEGIN_MS + 500 + BACK_MS + gap_ms] {
                for machine in machines.iter().copied() {
                    let kind = match power {
                        true => FaultKind::LosePower { machine, back_ms: BACK_MS },
                        false => FaultKind::Kill { machine, back_ms: BACK_MS },
                    };
                    builder.at(at_ms, kind);
                }
            }
            cases.push(builder.until(BEGIN_MS + 500 + 2 * BACK_MS + gap_ms + 2 * CAUGHT_UP_MS));
        }
    }
    cases
}

/// Machines whose quota is spent for ten seconds. Alone, it has to change nothing; with a cut of the core or a restart of
/// everything, the rules hold.
pub(super) fn spent_quota() -> Vec<Case> {
    let mut cases = Vec::new();
    for (seed, run_ms) in [(1, 5), (2, 20), (3, 50)] {
        for classes in [&[Class::ControlNode][..], &[Class::Store], &[Class::Agent], &ALL_CLASSES] {
            let name = format!("{run_ms} of 100 ms, {classes:?}");
            let builder = throttled(name, seed, run_ms, classes);
            cases.push(builder.until(BEGIN_MS + QUOTA_SPENT_MS + CAUGHT_UP_MS));
        }
        let mut cut = throttled(format!("{run_ms} of 100 ms, and a cut"), seed, run_ms, &ALL_CLASSES);
        let (target, how) = (Target::LeaseHolder, Isolation::PeersCut);
        cut.at(BEGIN_MS + 2_000, FaultKind::Isolate { target, how, for_ms: 5_000 });
        cases.push(cut.until(BEGIN_MS + QUOTA_SPENT_MS + CAUGHT_UP_MS));
        let mut restart = throttled(format!("{run_ms} of 100 ms, and a restart"), seed, run_ms, &ALL_CLASSES);
        restart.at(BEGIN_MS + 2_000, FaultKind::All { power: false, disks: vec![], back_ms: 500 });
        cases.push(restart.until(BEGIN_MS + QUOTA_SPENT_MS + CAUGHT_UP_MS));
    }
    cases
}

/// Core machines whose disks sync slowly, as one disk does that many processes sync to.
pub(super) fn slow_disks() -> Vec<Case> {
    const SLOW_MS: u64 = 25_000;
    let mut cases = Vec::new();
    for (seed, sync_ms) in [(1, 210), (2, 210), (3, 300), (4, 300)] {
        let mut builder = CaseBuilder::new(format!("{sync_ms} ms, {seed}"), seed, 1, 4, 9);
        for machine in builder.schedule.machines_of(Class::ControlNode) {
            builder.at(0, FaultKind::SlowDisk { machine, sync_ms, for_ms: SLOW_MS });
        }
        builder.at(BEGIN_MS, FaultKind::Burst { orders: 20 });
        cases.push(builder.until(SLOW_MS + CAUGHT_UP_MS));
    }
    cases
}

fn throttled(name: String, seed: u64, run_ms: u64, classes: &[Class]) -> CaseBuilder {
    let mut builder = CaseBuilder::new(name, seed, 2, 5, 6);
    let machines = classes.iter().flat_map(|class| builder.schedule.machines_of(*class)).collect();
    builder.at(BEGIN_MS, FaultKind::Throttle { machines, run_ms, for_ms: QUOTA_SPENT_MS });
    builder.at(BEGIN_MS + 500, FaultKind::Burst { orders: 100 });
    builder
}
