//! Named scenarios: difficult fault sequences for the control nodes, each a few fixed schedules.

use super::Mutation;
use super::measure::Measured;
use super::schedule::{
    Class, Fault, FaultKind, ISOLATIONS, Isolation, MembershipStep, Schedule, Target, Victim,
};
use serde::{Deserialize, Serialize};

/// First fault, after the register was founded.
const BEGIN_MS: u64 = 5_000;
/// The first set of storage nodes has just been formed.
const FOUNDED_MS: u64 = 4_500;
/// Duration of a control node's isolation.
const ISOLATED_MS: u64 = 20_000;
/// Number of changes of a case that are sent without a pause.
const CONCURRENT_CHANGES: u64 = 600;
/// Duration for which processor quotas are spent.
const QUOTA_SPENT_MS: u64 = 10_000;
const ALL_CLASSES: [Class; 3] = [Class::ControlNode, Class::Store, Class::Agent];
/// After its return a machine counts as lost for this long.
const CAUGHT_UP_MS: u64 = 4_150;
/// Delay between the last fault and the check of convergence.
const AFTER_MS: u64 = 2_000;

/// A named scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// A control machine is cut off, frozen or slowed for twenty seconds, with orders arriving at it all the while.
    CutControlNode,
    /// Operators under one number, answers lost, orders sent again elsewhere, with restarts, replaced voters and losses of power.
    OrdersAgain,
    /// A second loss at each step of a change of members.
    SecondLoss,
    /// Eight changes under way at all times, undisturbed or with the node that proposes them isolated.
    ProposerLost,
    /// All machines of a class, or all of the fleet, are killed or lose power at once, and again while they recover.
    HerdTwice,
    /// Processor quotas that are spent in each tenth of a second, on some machines or all, alone and with a cut or a restart.
    SpentQuota,
    /// Thousands of changes with restarts, wiped disks, a long cut and replaced voters among them.
    ThousandChanges,
}

/// All of them.
pub const SCENARIOS: [Scenario; 7] = [
    Scenario::CutControlNode,
    Scenario::OrdersAgain,
    Scenario::SecondLoss,
    Scenario::ProposerLost,
    Scenario::HerdTwice,
    Scenario::SpentQuota,
    Scenario::ThousandChanges,
];

/// One of a scenario's schedules.
#[derive(Clone, Debug)]
pub struct Case {
    /// Its name.
    pub name: String,
    /// Its machines and faults.
    pub schedule: Schedule,
}

/// The result of a case.
#[derive(Clone, Debug)]
pub struct CaseResult {
    /// Its name.
    pub name: String,
    /// The history, and the rules that it broke.
    pub result: super::ScheduleResult,
    /// Its figures.
    pub measured: Measured,
}

impl Case {
    /// Runs the case.
    pub fn run(&self, mutation: Option<Mutation>) -> CaseResult {
        let result = super::run_schedule(&self.schedule, mutation);
        let measured = Measured::of(&result.history);
        CaseResult { name: self.name.clone(), result, measured }
    }
}

impl Scenario {
    /// Its schedules.
    pub fn cases(self) -> Vec<Case> {
        match self {
            Self::CutControlNode => cut_control_node(),
            Self::OrdersAgain => orders_again(),
            Self::SecondLoss => second_loss(),
            Self::ProposerLost => proposer_lost(),
            Self::HerdTwice => herd_twice(),
            Self::SpentQuota => spent_quota(),
            Self::ThousandChanges => vec![thousand_changes(1, 1_200), thousand_changes(2, 1_200)],
        }
    }

    /// The mutations that the scenario has to detect.
    pub fn mutations(self) -> &'static [Mutation] {
        match self {
            Self::CutControlNode => {
                &[Mutation::AnsweredAlone, Mutation::FreshnessNotChecked, Mutation::AgeNotCarried]
            }
            Self::OrdersAgain => &[Mutation::TakenForgotten, Mutation::MajorityOfLiving],
            Self::SecondLoss => &[Mutation::NextCountsUnfilled, Mutation::CompletedEarly],
            Self::ProposerLost | Self::HerdTwice | Self::SpentQuota => &[],
            Self::ThousandChanges => &[Mutation::RecordOutdated, Mutation::NoAmnesiaGuard],
        }
    }
}

/// Builds a case fault by fault.
struct CaseBuilder {
    name: String,
    schedule: Schedule,
}

impl CaseBuilder {
    fn new(name: impl Into<String>, seed: u64, tolerance: usize, stores: usize, edges: usize) -> Self {
        Self { name: name.into(), schedule: Schedule::fleet(seed, tolerance, stores, edges) }
    }

    fn at(&mut self, at_ms: u64, kind: FaultKind) -> &mut Self {
        self.schedule.faults.push(Fault { at_ms, kind });
        self
    }

    fn core(&self, index: usize) -> usize {
        self.schedule.machines_of(Class::ControlNode)[index]
    }

    fn store(&self, index: usize) -> usize {
        self.schedule.machines_of(Class::Store)[index]
    }

    fn edge(&self, index: usize) -> usize {
        self.schedule.machines_of(Class::Agent)[index]
    }

    fn add_new_machine(&mut self, class: Class, name: Option<String>) -> usize {
        let zone = self.schedule.machines.len() % 3;
        self.schedule.add_machine(class, name, zone, false)
    }

    /// Finishes the case; its faults end at `over_ms`.
    fn until(mut self, over_ms: u64) -> Case {
        self.schedule.faults.sort_by_key(|fault| fault.at_ms);
        self.schedule.calm_ms = over_ms + AFTER_MS;
        Case { name: self.name, schedule: self.schedule }
    }
}

/// Each way to be kept from others, for the machine that holds the lease and for another one, with changes of the configuration
/// and of the storage machines under way and a proxy that starts meanwhile.
fn cut_control_node() -> Vec<Case> {
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

fn orders_again() -> Vec<Case> {
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

fn second_loss() -> Vec<Case> {
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

/// Changes without a pause, first undisturbed, then with the lease holder isolated in each way among them.
fn proposer_lost() -> Vec<Case> {
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

/// Machines that go at once, twice: the second time `GAPS_MS` after they have been started again.
fn herd_twice() -> Vec<Case> {
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
fn spent_quota() -> Vec<Case> {
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

fn throttled(name: String, seed: u64, run_ms: u64, classes: &[Class]) -> CaseBuilder {
    let mut builder = CaseBuilder::new(name, seed, 2, 5, 6);
    let machines = classes.iter().flat_map(|class| builder.schedule.machines_of(*class)).collect();
    builder.at(BEGIN_MS, FaultKind::Throttle { machines, run_ms, for_ms: QUOTA_SPENT_MS });
    builder.at(BEGIN_MS + 500, FaultKind::Burst { orders: 100 });
    builder
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
