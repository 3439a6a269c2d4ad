//! Many schedules, one after another, and the shortest that still breaks a rule.

use super::check::{Broken, Rule, check};
use super::history::{Fact, History};
use super::run::play;
use super::schedule::{Fault, Schedule};
use super::{Mutation, history};
use crate::peers::shrink::smallest;
use std::time::{Duration, Instant};

/// What came of a schedule.
#[derive(Clone, Debug)]
pub struct Played {
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
pub fn play_one(schedule: &Schedule, mutation: Option<Mutation>) -> Played {
    let history = play(schedule, mutation);
    let count = |wanted: &dyn Fn(&Fact) -> bool| history.iter().filter(|(_, fact)| wanted(fact)).count();
    let settled = history.iter().find_map(|(_, fact)| match fact {
        Fact::Settled { after, .. } => Some(*after),
        _ => None,
    });
    let is_lookup = |fact: &Fact| matches!(fact, Fact::LookedUp { result, .. } if *result != history::LookupResult::Unavailable);
    Played {
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
pub struct Ended {
    /// Schedules played.
    pub schedules: u64,
    /// How long that took.
    pub took: Duration,
    /// The first that broke a rule.
    pub broken: Option<Played>,
    /// Milliseconds after the last fault until all was as it should be, of each.
    pub settled: Vec<u64>,
    /// Turns answered whole, answers looked at, configurations acknowledged.
    pub sums: (usize, usize, usize),
}

/// Plays schedules of one seed after another until one breaks a rule, all are played or it is stopped.
pub fn play_until_broken(
    schedules: u64,
    seed: u64,
    mutation: Option<Mutation>,
    mut stop: impl FnMut() -> bool,
) -> Ended {
    let began = Instant::now();
    let mut ended =
        Ended { schedules: 0, took: Duration::ZERO, broken: None, settled: Vec::new(), sums: (0, 0, 0) };
    for number in 0..schedules {
        if stop() {
            break;
        }
        let played = play_one(&Schedule::draw(seed + number), mutation);
        ended.schedules += 1;
        ended.settled.push(played.settled_after);
        ended.sums.0 += played.turns.0;
        ended.sums.1 += played.turns.1;
        ended.sums.2 += played.acknowledged;
        if !played.broken.is_empty() {
            ended.broken = Some(played);
            break;
        }
    }
    ended.took = began.elapsed();
    ended
}

/// The shortest schedule, by leaving faults out, that still breaks the first rule that this one broke.
pub async fn shortest(played: &Played, mutation: Option<Mutation>) -> Played {
    let Some(rule) = played.broken.first().map(|broken| broken.rule) else { return played.clone() };
    let with = |faults: &[Fault]| Schedule { faults: faults.to_vec(), ..played.schedule.clone() };
    let breaks = |played: &Played, rule: Rule| played.broken.iter().any(|broken| broken.rule == rule);
    let left = smallest(played.schedule.faults.clone(), async |faults: &[Fault]| {
        breaks(&play_one(&with(faults), mutation), rule)
    })
    .await;
    play_one(&with(&left), mutation)
}
