//! The named scenarios: no case breaks a rule, and the mutations of each scenario are detected.

use googletest::prelude::*;
use testbed::system::{
    Case, Measured, Mutation, Rule, Scenario, ThrottledChanges, run_until_broken, thousand_changes,
};

/// The rules that these cases break, each with its case.
fn broken(cases: &[Case], mutation: Option<Mutation>) -> Vec<(String, Rule)> {
    let broken = |case: &Case| {
        let results = case.run(mutation);
        let rules: Vec<_> =
            results.result.broken.iter().map(|broken| (results.name.clone(), broken.rule)).collect();
        rules
    };
    cases.iter().flat_map(broken).collect()
}

/// The first rule that a case breaks with this mutation.
fn caught(scenario: Scenario, mutation: Mutation) -> Option<Rule> {
    let broken = |case: &Case| case.run(Some(mutation)).result.broken.first().map(|broken| broken.rule);
    scenario.cases().iter().find_map(broken)
}

fn figures(cases: &[Case]) -> Measured {
    let mut sum = Measured::default();
    cases.iter().for_each(|case| sum.join(case.run(None).measured));
    sum
}

#[gtest]
fn an_isolated_control_node_breaks_no_rule() {
    // Given each way to be kept from others, when changes and reads come to it all the while,
    let cases = Scenario::CutControlNode.cases();
    // then no rule is broken, the others answer, and so does it after its return.
    expect_that!(broken(&cases, None), is_empty());
    for case in &cases {
        for isolated in case.run(None).measured.isolated {
            expect_that!(isolated.others_clear_after, some(lt(4_000)), "{}", case.name);
            expect_that!(isolated.own_clear_after, some(lt(4_000)), "{}", case.name);
        }
    }
}

#[gtest]
fn resent_changes_are_confirmed_or_left_open() {
    let cases = Scenario::OrdersAgain.cases();
    expect_that!(broken(&cases, None), is_empty());
    // Cases in which little is sent again would show little.
    expect_that!(figures(&cases).confirmed_again, gt(100));
}

#[gtest]
fn a_second_loss_at_any_step_breaks_no_rule() {
    expect_that!(broken(&Scenario::SecondLoss.cases(), None), is_empty());
}

#[gtest]
fn hundreds_of_changes_and_a_return_under_load_break_no_rule() {
    let case = thousand_changes(1, 300);
    expect_that!(broken(std::slice::from_ref(&case), None), is_empty());
    let figures = case.run(None).measured;
    expect_that!(figures.confirmed, gt(300));
    expect_that!(figures.most_missed, gt(300));
}

#[gtest]
fn concurrent_changes_are_answered_soon_also_when_the_proposer_is_lost() {
    let cases = Scenario::ProposerLost.cases();
    expect_that!(broken(&cases, None), is_empty());
    for case in &cases {
        let figures = case.run(None).measured;
        let limit_ms = if figures.isolated.is_empty() { 1_000 } else { 2_000 };
        expect_that!(figures.order_p99, lt(limit_ms), "{}", case.name);
        expect_that!(figures.confirmed, gt(600), "{}", case.name);
    }
}

#[gtest]
fn a_flood_of_changes_is_committed_at_a_steady_rate() {
    let figures = thousand_changes(1, 1_200).run(None).measured;
    expect_that!(figures.confirmed, ge(1_200));
}

#[gtest]
fn many_processes_that_go_at_once_and_again_in_their_recovery_break_no_rule() {
    expect_that!(broken(&Scenario::HerdTwice.cases(), None), is_empty());
}

#[gtest]
fn spent_processor_quotas_change_no_lease_member_or_upstream() {
    let cases = Scenario::SpentQuota.cases();
    expect_that!(broken(&cases, None), is_empty());
    // A cut and a restart change something by themselves.
    for case in cases.iter().filter(|case| !case.name.contains("and a")) {
        let figures = case.run(None).measured;
        expect_that!(figures.changed_while_throttled, eq(ThrottledChanges::default()), "{}", case.name);
        expect_that!(figures.order_p99, lt(1_000), "{}", case.name);
    }
}

#[gtest]
fn control_nodes_on_slow_disks_lose_each_others_ballots_for_ever() {
    let cases = Scenario::SlowDisks.cases();
    expect_that!(broken(&cases, None), is_empty());
    for case in &cases {
        let figures = case.run(None).measured;
        expect_that!(figures.confirmed, ge(20), "{}", case.name);
        // The time after which a system without further failures serves again.
        expect_that!(figures.order_p99, lt(12_000), "{}", case.name);
    }
}

#[gtest]
fn answers_without_a_majority_are_detected() {
    let rule = caught(Scenario::CutControlNode, Mutation::AnsweredAlone);
    expect_that!(rule, some(any![eq(Rule::Alone), eq(Rule::Refused)]));
}

#[gtest]
fn a_read_without_a_quorum_is_detected() {
    let rule = caught(Scenario::CutControlNode, Mutation::FreshnessNotChecked);
    expect_that!(rule, some(any![eq(Rule::Alone), eq(Rule::Acknowledged)]));
}

#[gtest]
fn a_feed_without_ages_is_detected() {
    let rule = caught(Scenario::CutControlNode, Mutation::AgeNotCarried);
    expect_that!(rule, some(any![eq(Rule::Fresh), eq(Rule::Drain)]));
}

#[gtest]
fn forgotten_changes_are_detected() {
    expect_that!(caught(Scenario::OrdersAgain, Mutation::TakenForgotten), some(eq(Rule::Refused)));
}

#[gtest]
fn a_retirement_that_is_reported_too_early_is_detected() {
    let rule = caught(Scenario::SecondLoss, Mutation::CompletedEarly);
    expect_that!(rule, some(any![eq(Rule::Found), eq(Rule::Settles)]));
}

#[gtest]
fn an_outdated_record_is_detected() {
    let results = run_until_broken(20, 1, Some(Mutation::RecordOutdated), || false);
    let rule = results.broken.and_then(|result| result.broken.first().map(|broken| broken.rule));
    expect_that!(rule, some(any![eq(Rule::OneValue), eq(Rule::Acknowledged)]));
}
