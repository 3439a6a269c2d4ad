//! Named scenarios: difficult fault sequences for the control nodes, each a few fixed schedules.

mod membership;
mod orders;
mod processes;

pub use orders::thousand_changes;

use super::Mutation;
use super::measure::Measured;
use super::schedule::{Class, Fault, FaultKind, Schedule};
use membership::second_loss;
use orders::{cut_control_node, orders_again, proposer_lost};
use processes::{herd_twice, slow_disks, spent_quota};
use serde::{Deserialize, Serialize};

/// First fault, after the register was founded.
const BEGIN_MS: u64 = 5_000;
/// Duration of a control node's isolation.
const ISOLATED_MS: u64 = 20_000;
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
    /// The disks of all core machines sync slowly, from the first start on.
    SlowDisks,
    /// Thousands of changes with restarts, wiped disks, a long cut and replaced voters among them.
    ThousandChanges,
}

/// All of them.
pub const SCENARIOS: [Scenario; 8] = [
    Scenario::CutControlNode,
    Scenario::OrdersAgain,
    Scenario::SecondLoss,
    Scenario::ProposerLost,
    Scenario::HerdTwice,
    Scenario::SpentQuota,
    Scenario::SlowDisks,
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
            Self::SlowDisks => slow_disks(),
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
            Self::ProposerLost | Self::HerdTwice | Self::SpentQuota | Self::SlowDisks => &[],
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
