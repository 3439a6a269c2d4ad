//! The whole system in simulated time: random schedules, named scenarios, replays and mutations.

use super::{quantile, write};
use crate::error::TestbedError;
use std::path::Path;
use std::time::Instant;
use testbed::system::{self, MUTATIONS, Mutation, Schedule};

/// Whether no schedule broke a rule.
pub(crate) async fn simulate_system(
    schedules: u64,
    seed: u64,
    mutation: Option<Mutation>,
    out: &Path,
    history: Option<&Path>,
    stops: impl Fn() -> bool,
) -> Result<bool, TestbedError> {
    let mut ended = system::run_until_broken(schedules, seed, mutation, stops);
    ended.settled.sort_unstable();
    println!(
        "{} schedules in {:.1} s: {} turns answered whole, {} looked up, {} configurations acknowledged, settled after {} ms \
         in the middle and {} ms at worst",
        ended.schedules,
        ended.duration.as_secs_f64(),
        ended.totals.completed_turns,
        ended.totals.lookups,
        ended.totals.acknowledged,
        quantile(&ended.settled, 0.5),
        ended.settled.last().copied().unwrap_or_default(),
    );
    let Some(broken) = ended.broken else {
        println!("no rule broken");
        return Ok(true);
    };
    print_run(&broken);
    let shortest = system::shortest(&broken, mutation).await;
    println!("the shortest that still breaks it:");
    print_run(&shortest);
    let text = serde_json::to_string_pretty(&shortest.schedule);
    write(out, text.map_err(|source| TestbedError::NoSchedule { path: out.to_owned(), source })?)?;
    write_history(history, &shortest)?;
    println!("again: testbed sim-system --replay {}", out.display());
    Ok(false)
}

pub(crate) fn replay_system(
    path: &Path,
    mutation: Option<Mutation>,
    history: Option<&Path>,
) -> Result<bool, TestbedError> {
    let text = std::fs::read(path).map_err(|source| TestbedError::Out { path: path.to_owned(), source })?;
    let schedule: Schedule = serde_json::from_slice(&text)
        .map_err(|source| TestbedError::NoSchedule { path: path.to_owned(), source })?;
    let played = system::run_schedule(&schedule, mutation);
    print_run(&played);
    println!("all as it should be {} ms after the last fault", played.settled_after);
    write_history(history, &played)?;
    Ok(played.broken.is_empty())
}

/// Runs a scenario's cases and prints what each comes to; the first that breaks a rule is written down.
pub(crate) fn run_scenario(
    scenario: system::Scenario,
    mutation: Option<Mutation>,
    out: &Path,
    history: Option<&Path>,
    stops: impl Fn() -> bool,
) -> Result<bool, TestbedError> {
    let mut no_rule_broken = true;
    for case in scenario.cases() {
        if stops() {
            break;
        }
        let began = Instant::now();
        let ended = case.run(mutation);
        println!("{} ({:.1} s):", ended.name, began.elapsed().as_secs_f64());
        print_measured(&ended.measured);
        let broken = !ended.result.broken.is_empty();
        if broken {
            print_run(&ended.result);
        }
        if broken && no_rule_broken {
            let text = serde_json::to_string_pretty(&ended.result.schedule);
            write(out, text.map_err(|source| TestbedError::NoSchedule { path: out.to_owned(), source })?)?;
            write_history(history, &ended.result)?;
        }
        no_rule_broken &= !broken;
    }
    println!("{}", if no_rule_broken { "no rule broken" } else { "a rule was broken" });
    Ok(no_rule_broken)
}

/// In how many of a scenario's cases each mutation that it is to catch is caught.
pub(crate) fn mutate_scenario(scenario: system::Scenario) {
    for mutation in scenario.mutations() {
        let began = Instant::now();
        let cases = scenario.cases();
        let caught: Vec<String> = cases
            .iter()
            .filter_map(|case| {
                case.run(Some(*mutation)).result.broken.first().map(|broken| format!("{:?}", broken.rule))
            })
            .collect();
        let mut rules = caught.clone();
        rules.sort();
        rules.dedup();
        println!(
            "| {mutation:?} | {} of {} cases | {:.1} | {} |",
            caught.len(),
            cases.len(),
            began.elapsed().as_secs_f64(),
            rules.join(", ")
        );
    }
}

/// After how many schedules each mutation is caught.
pub(crate) fn mutate_system(schedules: u64, seed: u64, seconds: u64, stops: impl Fn() -> bool) {
    let mut rows = vec![["mutation", "schedules", "seconds", "rule"].map(str::to_owned).to_vec()];
    for mutation in MUTATIONS {
        let began = Instant::now();
        let over = || stops() || began.elapsed().as_secs() >= seconds;
        let ended = system::run_until_broken(schedules, seed, Some(mutation), over);
        let rule = ended.broken.as_ref().and_then(|played| played.broken.first());
        rows.push(vec![
            format!("{mutation:?}"),
            ended.schedules.to_string(),
            format!("{:.1}", ended.duration.as_secs_f64()),
            rule.map_or("not caught".to_owned(), |broken| format!("{:?}", broken.rule)),
        ]);
    }
    for row in rows {
        println!("| {} |", row.join(" | "));
    }
}

fn print_measured(measured: &system::Measured) {
    let (catch_up, missed) = measured.catch_up;
    println!(
        "  settled after {} ms; {} orders confirmed, {} of them again, {} refused, {} answers unclear; \
         99 of 100 decided within {} ms",
        measured.settled_after,
        measured.confirmed,
        measured.confirmed_again,
        measured.refused,
        measured.unclear,
        measured.order_p99
    );
    println!(
        "  longest catch-up {catch_up} ms ({missed} versions missed, {} at most); longest change of the storage set {} ms; \
         record {} bytes, payload {} bytes",
        measured.most_missed, measured.longest_set_change, measured.record_bytes, measured.payload_bytes
    );
    if measured.changed_while_throttled != system::ThrottledChanges::default() {
        println!("  while quotas were spent: {:?}", measured.changed_while_throttled);
    }
    let milliseconds = |after: Option<u64>| after.map_or("never".to_owned(), |after| format!("{after} ms"));
    for isolated in &measured.isolated {
        println!(
            "  kept from others: the others answer after {}, itself {} clear answers meanwhile, its first {} after its return; \
             longest order {} ms",
            milliseconds(isolated.others_clear_after),
            isolated.own_clear_answers,
            milliseconds(isolated.own_clear_after),
            isolated.longest_order
        );
    }
}

fn print_run(played: &system::ScheduleResult) {
    let Schedule { seed, tolerance, faults, .. } = &played.schedule;
    println!("seed {seed}, {tolerance} machines may be lost at once, {} faults:", faults.len());
    faults.iter().for_each(|fault| println!("  {fault}"));
    played.broken.iter().for_each(|broken| println!("broken: {broken}"));
}

fn write_history(history: Option<&Path>, played: &system::ScheduleResult) -> Result<(), TestbedError> {
    let lines = played.history.iter().map(|(at, fact)| format!("{at:6} {fact:?}\n"));
    history.map_or(Ok(()), |path| write(path, lines.collect()))
}
