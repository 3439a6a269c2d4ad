//! The whole system in simulated time, as one fleet: the register with changes of its voters, the feed's tree, duties, the
//! roster, turns and accounts, all by the crates under `system/`; what carries their calls here is what the programs do.
//! Histories are checked alone.

mod campaign;
mod catch_up;
mod check;
mod cluster;
mod control;
mod disk;
mod edge;
mod executor;
mod history;
mod measure;
mod operators;
mod order_rules;
mod run;
mod runtime;
mod scenario;
mod schedule;
mod second_loss;
mod storage_node;
mod timing_rules;

pub use campaign::{CampaignResult, ScheduleResult, run_schedule, run_until_broken, shortest};
pub use check::{Broken, Rule, check};
pub use history::{Disturbance, Fact, History, LookupResult, OrderAnswer};
pub use measure::{Isolated, Measured};
pub use run::{SETTLED_MS, simulate};
pub use scenario::{Case, CaseResult, SCENARIOS, Scenario, thousand_changes};
pub use schedule::{
    Class, Fault, FaultKind, ISOLATIONS, Isolation, Machine, MembershipStep, Schedule, Target, Victim,
};

use serde::{Deserialize, Serialize};

/// Ways to break the system on purpose: the checker is to be seen to catch them. None is in the crates: each changes what a
/// simulated process hands to them or takes from them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Mutation {
    /// Writes are told to be synced and are not.
    NoSync,
    /// A keeper with an empty disk votes as if it never had.
    NoAmnesiaGuard,
    /// Voters that do not answer are not counted.
    MajorityOfLiving,
    /// A turn has one copy less.
    CopiesOneShort,
    /// Whoever takes a duty over does not look who did so before.
    FenceNotChecked,
    /// A storage machine answers under whatever roster it is asked.
    EpochNotChecked,
    /// Members of the next set count as full before they have filled.
    NextCountsUnfilled,
    /// A storage machine that is not full says that there is no such turn.
    EmptyStoreSaysNone,
    /// What others have reserved and not settled is not counted.
    UnsettledNotCounted,
    /// Values and lists are taken as they come, whatever their versions.
    RelayWithoutVersions,
    /// A control node answers orders by its own replicated state, without a majority.
    AnsweredAlone,
    /// A control node answers reads by its own replicated state, without a quorum read.
    FreshnessNotChecked,
    /// The feed's links do not tell how old what they bring may be.
    AgeNotCarried,
    /// Only the newest order is known to have been committed.
    TakenForgotten,
    /// A retire counts as completed as soon as it is agreed.
    CompletedEarly,
    /// An acceptor starts from its record as it was some writes ago.
    RecordOutdated,
}

/// All of them.
pub const MUTATIONS: [Mutation; 16] = [
    Mutation::NoSync,
    Mutation::NoAmnesiaGuard,
    Mutation::MajorityOfLiving,
    Mutation::CopiesOneShort,
    Mutation::FenceNotChecked,
    Mutation::EpochNotChecked,
    Mutation::NextCountsUnfilled,
    Mutation::EmptyStoreSaysNone,
    Mutation::UnsettledNotCounted,
    Mutation::RelayWithoutVersions,
    Mutation::AnsweredAlone,
    Mutation::FreshnessNotChecked,
    Mutation::AgeNotCarried,
    Mutation::TakenForgotten,
    Mutation::CompletedEarly,
    Mutation::RecordOutdated,
];
