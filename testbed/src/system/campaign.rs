//! Campaigns of random schedules, and reduction of a failing schedule to the shortest one that still breaks a rule.

use super::check::{Broken, Rule, check};
use super::history::{Fact, History};
use super::run::simulate;
use super::schedule::{Fault, Schedule};
use super::{Mutation, history};
use crate::peers::shrink::smallest;
use std::time::{Duration, Instant};

/// The result of one schedule.
#[derive(Clone, Debug)]
pub struct ScheduleResult {
    /// The schedule.
    pub schedule: Schedule,
    /// The rules that it broke.
    pub broken: Vec<Broken>,
    /// Milliseconds until convergence after the last fault.
    pub settled_after: u64,
    /// Completed turns.
    pub completed_turns: usize,
    /// Lookups with a definite result.
    pub lookups: usize,
    /// Configurations acknowledged.
    pub acknowledged: usize,
    /// The recorded history.
    pub history: History,
}

/// Runs and checks one schedule.
pub fn run_schedule(schedule: &Schedule, mutation: Option<Mutation>) -> ScheduleResult {
    let history = simulate(schedule, mutation);
    let count = |wanted: &dyn Fn(&Fact) -> bool| history.iter().filter(|(_, fact)| wanted(fact)).count();
    let settled = history.iter().find_map(|(_, fact)| match fact {
        Fact::Settled { after, .. } => Some(*after),
        _ => None,
    });
    let is_lookup = |fact: &Fact| matches!(fact, Fact::LookedUp { result, .. } if *result != history::LookupResult::Unavailable);
    ScheduleResult {
        broken: check(&history),
        settled_after: settled.unwrap_or_default(),
        completed_turns: count(&|fact| matches!(fact, Fact::Completed { .. })),
        lookups: count(&is_lookup),
        acknowledged: count(&|fact| matches!(fact, Fact::Acknowledged { .. })),
        schedule: schedule.clone(),
        history,
    }
}

/// Sums over the schedules of a campaign.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CampaignTotals {
    /// Completed turns.
    pub completed_turns: usize,
    /// Lookups with a definite result.
    pub lookups: usize,
    /// Acknowledged configurations.
    pub acknowledged: usize,
}

/// The result of a campaign.
#[derive(Clone, Debug)]
pub struct CampaignResult {
    /// Schedules that were run.
    pub schedules: u64,
    /// Wall-clock duration.
    pub duration: Duration,
    /// The first that broke a rule.
    pub broken: Option<ScheduleResult>,
    /// Milliseconds until convergence after the last fault, of each schedule.
    pub settled: Vec<u64>,
    /// Sums over all schedules.
    pub totals: CampaignTotals,
}

/// Runs schedules of consecutive seeds until one breaks a rule, all are done, or `stop` returns true.
pub fn run_until_broken(
    schedules: u64,
    seed: u64,
    mutation: Option<Mutation>,
    mut stop: impl FnMut() -> bool,
) -> CampaignResult {
    let began = Instant::now();
    let mut results = CampaignResult {
        schedules: 0,
        duration: Duration::ZERO,
        broken: None,
        settled: Vec::new(),
        totals: CampaignTotals::default(),
    };
    for number in 0..schedules {
        if stop() {
            break;
        }
        let result = run_schedule(&Schedule::draw(seed + number), mutation);
        results.schedules += 1;
        results.settled.push(result.settled_after);
        results.totals.completed_turns += result.completed_turns;
        results.totals.lookups += result.lookups;
        results.totals.acknowledged += result.acknowledged;
        if !result.broken.is_empty() {
            results.broken = Some(result);
            break;
        }
    }
    results.duration = began.elapsed();
    results
}

/// Leaves out faults as long as the schedule still breaks the first rule that `result` broke; the result of the shortest.
pub async fn shortest(result: &ScheduleResult, mutation: Option<Mutation>) -> ScheduleResult {
    let Some(rule) = result.broken.first().map(|broken| broken.rule) else { return result.clone() };
    let with = |faults: &[Fault]| Schedule { faults: faults.to_vec(), ..result.schedule.clone() };
    let breaks = |result: &ScheduleResult, rule: Rule| result.broken.iter().any(|broken| broken.rule == rule);
    let left = smallest(result.schedule.faults.clone(), async |faults: &[Fault]| {
        breaks(&run_schedule(&with(faults), mutation), rule)
    })
    .await;
    run_schedule(&with(&left), mutation)
}
