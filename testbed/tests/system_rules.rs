//! The rules of changes and of time limits, checked on hand-written histories.

use fleet_model::Ballot;
use googletest::prelude::*;
use testbed::system::{Class, Disturbance, Fact, History, OrderAnswer, Rule, check};

/// Three core machines, one storage machine, one edge machine.
const EDGE: usize = 4;
/// The process of the edge machine's proxy.
const PROXY: usize = 5;

fn fleet() -> (u64, Fact) {
    let classes =
        vec![Class::ControlNode, Class::ControlNode, Class::ControlNode, Class::Store, Class::Agent];
    (0, Fact::Fleet { classes })
}

fn rules(facts: &[(u64, Fact)]) -> Vec<Rule> {
    let history: History = facts.to_vec();
    check(&history).into_iter().map(|broken| broken.rule).collect()
}

fn ordered(at: u64, started_at: u64, order: u64, number: u64, on: u64, answer: OrderAnswer) -> (u64, Fact) {
    (at, Fact::Ordered { order, number, on, machine: 1, started_at, answer })
}

fn in_force(at: u64, order: u64, number: u64) -> (u64, Fact) {
    (at, Fact::InForce { order, number })
}

fn acknowledged(at: u64, version: u64, on: u64) -> (u64, Fact) {
    (at, Fact::Acknowledged { version, on })
}

#[gtest]
fn one_change_is_confirmed_under_a_version() {
    let facts = |second: OrderAnswer| {
        [
            in_force(5, 70, 7),
            ordered(10, 0, 70, 7, 0, OrderAnswer::Confirmed),
            ordered(20, 0, 71, 7, 0, second),
        ]
    };
    expect_that!(rules(&facts(OrderAnswer::OtherVersion(7))), is_empty());
    expect_that!(rules(&facts(OrderAnswer::Unclear)), is_empty());
    let both = [facts(OrderAnswer::Confirmed).to_vec(), vec![in_force(6, 71, 7)]].concat();
    expect_that!(rules(&both), elements_are![eq(&Rule::OneOrder)]);
    // What is confirmed is in a chosen value.
    expect_that!(rules(&facts(OrderAnswer::Confirmed)), contains(eq(&Rule::Acknowledged)));
}

#[gtest]
fn a_rejected_change_is_never_committed() {
    let other = OrderAnswer::OtherVersion(3);
    let refused = ordered(10, 0, 70, 7, 0, other);
    expect_that!(rules(&[in_force(1, 30, 3), refused.clone()]), is_empty());
    expect_that!(
        rules(&[in_force(1, 30, 3), refused.clone(), in_force(20, 70, 7)]),
        elements_are![eq(&Rule::Refused)]
    );
    expect_that!(
        rules(&[in_force(1, 30, 3), in_force(2, 70, 7), refused.clone()]),
        elements_are![eq(&Rule::Refused)]
    );
    // The reason is true: the version is another one, was in force, and is not older than one acknowledged before.
    expect_that!(rules(std::slice::from_ref(&refused)), elements_are![eq(&Rule::Refused)]);
    let on_current = ordered(10, 0, 70, 7, 3, other);
    expect_that!(rules(&[in_force(1, 30, 3), on_current]), elements_are![eq(&Rule::Refused)]);
    let newer = [in_force(1, 30, 3), in_force(2, 40, 4), acknowledged(3, 4, 3)];
    let late = ordered(10, 5, 70, 7, 0, other);
    expect_that!(rules(&[newer.to_vec(), vec![late]].concat()), elements_are![eq(&Rule::Refused)]);
    expect_that!(rules(&[newer.to_vec(), vec![refused]].concat()), is_empty());
}

#[gtest]
fn a_partitioned_control_node_gives_no_definite_answer() {
    let cut = |from, to| (100, Fact::PathCut { from, to, until: 5_000 });
    let read = |started_at, at| (at, Fact::Read { machine: 1, started_at, clear: true });
    let alone = [fleet(), cut(1, 0), cut(2, 1)];
    let with = |fact: (u64, Fact)| rules(&[alone.to_vec(), vec![fact]].concat());
    expect_that!(with(read(200, 300)), elements_are![eq(&Rule::Alone)]);
    expect_that!(with(read(50, 300)), is_empty());
    expect_that!(with(read(200, 5_000)), is_empty());
    expect_that!(rules(&[fleet(), cut(1, 0), read(200, 300)]), is_empty());
}

/// A fleet that has run since the start, whose proxy has applied a first configuration and list.
fn calm_fleet() -> Vec<(u64, Fact)> {
    let started = |node, machine| (10, Fact::ProcessStarted { node, incarnation: 1, machine });
    let processes =
        [started(0, 0), started(1, 1), started(2, 2), started(3, 3), started(4, EDGE), started(PROXY, EDGE)];
    let mut facts = vec![fleet()];
    facts.extend(processes);
    facts.push(knows(500, 1, 1));
    facts
}

fn knows(at: u64, version: u64, list: u64) -> (u64, Fact) {
    let ballot = Ballot { round: at, proposer: 1, incarnation: 1 };
    (at, Fact::Knows { node: PROXY, incarnation: 1, ballot, version, list })
}

fn end(at: u64) -> (u64, Fact) {
    (at, Fact::Settled { after: 0, unmet: Vec::new() })
}

fn with(facts: &[(u64, Fact)]) -> Vec<Rule> {
    let mut all = calm_fleet();
    all.extend(facts.to_vec());
    all.sort_by_key(|(at, _)| *at);
    rules(&all)
}

fn disturbed(at: u64, machine: usize, until: u64) -> (u64, Fact) {
    (at, Fact::Disturbed { machine, how: Disturbance::Lost, until })
}

#[gtest]
fn a_connected_proxy_applies_a_fresh_configuration() {
    let change = [in_force(9_000, 2, 2), acknowledged(10_000, 2, 1)];
    let late = [change.to_vec(), vec![end(13_000)]].concat();
    expect_that!(with(&late), elements_are![eq(&Rule::Fresh)]);
    expect_that!(with(&[change.to_vec(), vec![end(12_000)]].concat()), is_empty());
    expect_that!(with(&[change.to_vec(), vec![knows(11_900, 2, 1), end(20_000)]].concat()), is_empty());
    // Not where it, or its path to the core, or most of the core was disturbed,
    for kind in [
        vec![disturbed(10_500, EDGE, 11_000)],
        vec![(10_500, Fact::PathCut { from: 0, to: EDGE, until: 11_000 })],
        vec![disturbed(10_500, 0, 14_000), disturbed(10_500, 1, 14_000)],
    ] {
        expect_that!(with(&[late.clone(), kind].concat()), is_empty());
    }
    // later where one core machine was,
    let one = [change.to_vec(), vec![disturbed(10_500, 0, 11_000)]].concat();
    expect_that!(with(&[one.clone(), vec![end(13_500)]].concat()), is_empty());
    expect_that!(with(&[one, vec![end(20_000)]].concat()), elements_are![eq(&Rule::Fresh)]);
    // and at once where one is cut off for long.
    let cuts = [0, 1, 3, EDGE].map(|other| (5_000, Fact::PathCut { from: 2, to: other, until: 60_000 }));
    expect_that!(with(&[late, cuts.to_vec()].concat()), elements_are![eq(&Rule::Fresh)]);
}

#[gtest]
fn a_connected_proxy_applies_a_fresh_list() {
    let change = (10_000, Fact::Platform { list: 2 });
    expect_that!(with(&[change.clone(), end(12_900)]), is_empty());
    expect_that!(with(&[change.clone(), end(14_000)]), elements_are![eq(&Rule::Drain)]);
    expect_that!(with(&[change.clone(), knows(12_900, 1, 2), end(14_000)]), is_empty());
    // Not while the core is not stable, and at once when it is.
    let unstable = [change, disturbed(11_000, 0, 12_000)];
    expect_that!(with(&[unstable.to_vec(), vec![end(15_000)]].concat()), is_empty());
    expect_that!(with(&[unstable.to_vec(), vec![end(16_000)]].concat()), elements_are![eq(&Rule::Drain)]);
}

#[gtest]
fn an_operator_receives_a_definite_answer_in_time() {
    let sent = |at, started_at, answer| ordered(at, started_at, 70, 7, 0, answer);
    let unclear = sent(10_900, 10_000, OrderAnswer::Unclear);
    let clear = |at| sent(at, at - 10, OrderAnswer::OtherVersion(1));
    let first = in_force(1, 1, 1);
    expect_that!(with(&[first.clone(), unclear.clone(), clear(13_900), end(20_000)]), is_empty());
    let late = [first, unclear, clear(14_100), end(20_000)];
    expect_that!(with(&late), elements_are![eq(&Rule::AnswerTime)]);
    expect_that!(with(&[late.to_vec(), vec![disturbed(13_000, 0, 13_100)]].concat()), is_empty());
}

#[gtest]
fn a_returned_control_node_catches_up_in_time() {
    let caught_up = |after| (20_000 + after, Fact::CaughtUp { node: 0, missed: 3, after });
    expect_that!(with(&[disturbed(10_000, 0, 20_000), caught_up(4_000)]), is_empty());
    expect_that!(with(&[disturbed(10_000, 0, 20_000), caught_up(4_500)]), elements_are![eq(&Rule::CatchUp)]);
    let other = disturbed(21_000, 1, 22_000);
    expect_that!(with(&[disturbed(10_000, 0, 20_000), other, caught_up(4_500)]), is_empty());
}
