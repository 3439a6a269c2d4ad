//! Many schedules, one after another, and the shortest that still breaks a rule.

use super::check::{Broken, Rule, check};
use super::history::{Fact, History};
use super::run::simulate;
use super::schedule::{Fault, Schedule};
use super::{Mutation, history};
use crate::peers::shrink::smallest;
use std::time::{Duration, Instant};

/// What came of a schedule.
#[derive(Clone, Debug)]
pub struct ScheduleResult {
    /// The schedule.
    pub schedule: Schedule,
    /// The rules that it broke.
    pub broken: Vec<Broken>,
    /// Milliseconds until all was as it should be after the last fault.
    pub settled_after: u64,
    /// Turns answered whole, and how many answers "no such turn" or a text were looked at.
    pub turns: (usize, usize),
    /// Configurations acknowledged.
    pub acknowledged: usize,
    /// What was done and seen.
    pub history: History,
}

/// Plays one schedule.
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
        turns: (count(&|fact| matches!(fact, Fact::Completed { .. })), count(&is_lookup)),
        acknowledged: count(&|fact| matches!(fact, Fact::Acknowledged { .. })),
        schedule: schedule.clone(),
        history,
    }
}

/// What came of many schedules.
#[derive(Clone, Debug)]
pub struct CampaignResult {
    /// Schedules played.
    pub schedules: u64,
    /// How long that took.
    pub duration: Duration,
    /// The first that broke a rule.
    pub broken: Option<ScheduleResult>,
    /// Milliseconds after the last fault until all was as it should be, of each.
    pub settled: Vec<u64>,
    /// Turns answered whole, answers looked at, configurations acknowledged.
    pub sums: (usize, usize, usize),
}

/// Plays schedules of one seed after another until one breaks a rule, all are played or it is stopped.
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
        sums: (0, 0, 0),
    };
    for number in 0..schedules {
        if stop() {
            break;
        }
        let result = run_schedule(&Schedule::draw(seed + number), mutation);
        results.schedules += 1;
        results.settled.push(result.settled_after);
        results.sums.0 += result.turns.0;
        results.sums.1 += result.turns.1;
        results.sums.2 += result.acknowledged;
        if !result.broken.is_empty() {
            results.broken = Some(result);
            break;
        }
    }
    results.duration = began.elapsed();
    results
}

/// The shortest schedule, by leaving faults out, that still breaks the first rule that this one broke.
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
