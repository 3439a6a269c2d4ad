//! Deterministic simulation of the whole serving tier in virtual time.
//!
//! One simulated fleet runs the production crates under `system/`: the replicated register with changes of its voters, the
//! state feed's distribution tree, singleton leases, the storage roster, turns and accounts. The simulated hosts carry their
//! calls in place of the programs. The checker reads only the recorded history.

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

pub use campaign::{
    CampaignResult, CampaignTotals, ScheduleResult, run_schedule, run_until_broken, shortest,
};
pub use check::{Broken, Rule, check};
pub use history::{Disturbance, Fact, History, LookupResult, OrderAnswer};
pub use measure::{Isolated, Measured, ThrottledChanges};
pub use run::{SETTLED_MS, simulate};
pub use scenario::{Case, CaseResult, SCENARIOS, Scenario, thousand_changes};
pub use schedule::{
    Class, Fault, FaultKind, ISOLATIONS, Isolation, Machine, MembershipStep, Schedule, Target, Victim,
};

use serde::{Deserialize, Serialize};

/// Deliberate faults in the implementation (mutation tests): the checker has to detect each of them. No production crate is
/// changed; a mutation alters what a simulated process passes to the crates or receives from them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Mutation {
    /// Writes are reported as synced and are not.
    NoSync,
    /// A control node with an empty disk votes as if it had never voted.
    NoAmnesiaGuard,
    /// Voters that do not answer do not count towards the quorum size.
    MajorityOfLiving,
    /// A turn is stored on one replica too few.
    CopiesOneShort,
    /// A node acquires a lease without checking the current fencing token.
    FenceNotChecked,
    /// A storage node answers requests of any roster epoch.
    EpochNotChecked,
    /// Members of the next set count as in sync before their backfill is complete.
    NextCountsUnfilled,
    /// A storage node that is not in sync reports a turn as absent.
    EmptyStoreSaysNone,
    /// Unsettled reservations of other attempts are not counted.
    UnsettledNotCounted,
    /// Values and endpoint lists are accepted as they arrive, whatever their versions.
    RelayWithoutVersions,
    /// A control node answers configuration changes from its own replicated state, without a majority.
    AnsweredAlone,
    /// A control node answers reads from its own replicated state, without a quorum read.
    FreshnessNotChecked,
    /// The feed's links do not carry the age of their data.
    AgeNotCarried,
    /// Only the newest committed version is remembered.
    TakenForgotten,
    /// A retirement is reported as completed as soon as it is agreed.
    CompletedEarly,
    /// An acceptor starts from an outdated record, several writes old.
    RecordOutdated,
}

/// All mutations.
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
