//! The whole system in simulated time: no random schedule breaks a rule, and the checker detects the mutations.

use fleet_model::{Ballot, rendezvous_rank};
use googletest::prelude::*;
use testbed::system::{
    Fact, History, LookupResult, Mutation, Rule, Schedule, check, run_schedule, run_until_broken, shortest,
    simulate,
};

const SCHEDULES: u64 = 200;

#[gtest]
fn no_schedule_breaks_a_rule() {
    let results = run_until_broken(SCHEDULES, 1, None, || false);
    let broken = results.broken.map(|result| (result.schedule.seed, result.broken));
    expect_that!(broken, none());
    // Schedules in which little is done would show little.
    let totals = results.totals;
    expect_that!(totals.completed_turns as u64, gt(SCHEDULES * 100));
    expect_that!(totals.lookups as u64, gt(SCHEDULES * 200));
    expect_that!(totals.acknowledged as u64, gt(SCHEDULES * 20));
}

#[gtest]
fn the_same_schedule_has_the_same_history() {
    let schedule = Schedule::draw(3);
    expect_that!(simulate(&schedule, None) == simulate(&schedule, None), eq(true));
}

/// The rule that some of the first schedules breaks with this mutation.
fn caught(mutation: Mutation, schedules: u64) -> Option<Rule> {
    let results = run_until_broken(schedules, 1, Some(mutation), || false);
    results.broken.and_then(|result| result.broken.first().map(|broken| broken.rule))
}

#[gtest]
fn a_turn_with_one_copy_less_is_not_found() {
    expect_that!(caught(Mutation::CopiesOneShort, 20), some(eq(Rule::Found)));
}

#[gtest]
fn uncounted_reservations_break_the_budget() {
    expect_that!(caught(Mutation::UnsettledNotCounted, 20), some(eq(Rule::Budget)));
}

#[gtest]
fn a_member_that_counts_before_it_is_in_sync_loses_turns() {
    expect_that!(caught(Mutation::NextCountsUnfilled, 60), some(eq(Rule::Found)));
}

#[gtest]
fn unsynced_writes_are_detected() {
    expect_that!(caught(Mutation::NoSync, 20), some(anything()));
}

#[gtest]
fn a_relay_without_versions_lets_processes_go_back() {
    expect_that!(caught(Mutation::RelayWithoutVersions, 60), some(eq(Rule::Forward)));
}

#[tokio::test]
async fn the_shortest_schedule_breaks_the_same_rule_again() {
    // Given a schedule that breaks a rule,
    let mutation = Some(Mutation::NextCountsUnfilled);
    let results = run_until_broken(60, 1, mutation, || false);
    let broken = results.broken.expect("it is caught");
    let rule = broken.broken[0].rule;
    // when faults are left out as far as it goes, and it is read from its text and played again,
    let shortest = shortest(&broken, mutation).await;
    assert!(shortest.schedule.faults.len() < broken.schedule.faults.len());
    let text = serde_json::to_string(&shortest.schedule).expect("plain");
    let again: Schedule = serde_json::from_str(&text).expect("as it was written");
    // then the same rule is broken in the same way.
    let result = run_schedule(&again, mutation);
    assert!(result.broken.iter().any(|broken| broken.rule == rule), "{:?}", result.broken);
    assert_eq!(result.broken, shortest.broken);
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 1, incarnation: 1 }
}

fn chosen(round: u64, versions: &[u64], hash: u64) -> Fact {
    Fact::Chosen { node: 0, ballot: ballot(round), versions: versions.to_vec(), hash }
}

fn knows(incarnation: u64, round: u64, version: u64, list: u64) -> Fact {
    Fact::Knows { node: 7, incarnation, ballot: ballot(round), version, list }
}

fn completed(attempt: &str, previous: Option<&str>) -> Fact {
    let previous = previous.map(str::to_owned);
    Fact::Completed { attempt: attempt.to_owned(), previous, text: format!("{attempt};") }
}

fn looked_up(started_at: u64, attempt: &str, result: LookupResult) -> Fact {
    Fact::LookedUp { started_at, attempt: attempt.to_owned(), result }
}

fn rules(facts: &[Fact]) -> Vec<Rule> {
    let history: History = facts.iter().enumerate().map(|(at, fact)| (at as u64, fact.clone())).collect();
    check(&history).into_iter().map(|broken| broken.rule).collect()
}

#[gtest]
fn the_checker_detects_register_violations() {
    let acknowledged = |version, on| Fact::Acknowledged { version, on };
    expect_that!(rules(&[chosen(1, &[1], 5), acknowledged(1, 0), chosen(2, &[1, 2], 6)]), is_empty());
    // Two values under one ballot, or a later value without what was in an earlier one.
    expect_that!(rules(&[chosen(1, &[1], 5), chosen(1, &[1], 6)]), elements_are![eq(&Rule::OneValue)]);
    expect_that!(rules(&[chosen(2, &[2], 5), chosen(1, &[1], 6)]), elements_are![eq(&Rule::OneValue)]);
    // What was acknowledged is not there, or not read back.
    expect_that!(rules(&[acknowledged(1, 0), chosen(1, &[], 5)]), elements_are![eq(&Rule::Acknowledged)]);
    let read = |started_at, version| Fact::ReadBack { started_at, version };
    expect_that!(rules(&[acknowledged(2, 0), read(1, 1)]), elements_are![eq(&Rule::Acknowledged)]);
    expect_that!(rules(&[read(0, 1), acknowledged(2, 0), read(0, 1)]), is_empty());
    expect_that!(rules(&[acknowledged(2, 1), acknowledged(3, 1)]), elements_are![eq(&Rule::OneOfTwo)]);
    expect_that!(rules(&[acknowledged(2, 1), acknowledged(2, 1)]), is_empty());
}

#[gtest]
fn the_checker_detects_process_violations() {
    expect_that!(rules(&[knows(1, 2, 1, 1), knows(1, 3, 1, 2), knows(2, 1, 0, 0)]), is_empty());
    for back in [knows(1, 1, 1, 1), knows(1, 2, 0, 1), knows(1, 2, 1, 0)] {
        expect_that!(rules(&[knows(1, 2, 1, 1), back]), elements_are![eq(&Rule::Forward)]);
    }
    let holds = |node, incarnation| Fact::Holds { node, incarnation, token: 4 };
    expect_that!(rules(&[holds(1, 1), holds(1, 1)]), is_empty());
    expect_that!(rules(&[holds(1, 1), holds(2, 1)]), elements_are![eq(&Rule::OneHolder)]);
    expect_that!(rules(&[holds(1, 1), holds(1, 2)]), elements_are![eq(&Rule::OneHolder)]);
    let settled =
        |unmet: &[&str]| Fact::Settled { after: 1, unmet: unmet.iter().map(|l| l.to_string()).collect() };
    expect_that!(rules(&[settled(&[])]), is_empty());
    expect_that!(rules(&[settled(&["nobody holds the duty"])]), elements_are![eq(&Rule::Settles)]);
}

#[gtest]
fn the_checker_detects_turn_and_budget_violations() {
    let text = |text: &str| LookupResult::Text(rendezvous_rank(text.as_bytes(), 0));
    let turns = [completed("a", None), completed("b", Some("a"))];
    let with = |fact: Fact| rules(&[turns[0].clone(), turns[1].clone(), fact]);
    expect_that!(with(looked_up(2, "b", text("a;b;"))), is_empty());
    expect_that!(with(looked_up(2, "b", LookupResult::Unavailable)), is_empty());
    expect_that!(with(looked_up(0, "b", LookupResult::NoSuchTurn)), is_empty());
    expect_that!(with(looked_up(2, "b", LookupResult::NoSuchTurn)), elements_are![eq(&Rule::Found)]);
    expect_that!(with(looked_up(2, "b", text("b;"))), elements_are![eq(&Rule::Text)]);
    let handed = |tokens| Fact::Handed { program: "p".to_owned(), tokens };
    let program = Fact::Program { program: "p".to_owned(), budget: 20, max_turn_tokens: 10 };
    expect_that!(rules(&[program.clone(), handed(20), handed(10)]), is_empty());
    expect_that!(rules(&[program, handed(20), handed(11)]), elements_are![eq(&Rule::Budget)]);
}
