use super::*;

const SECOND: Micros = 1_000_000;
const KEYED: usize = 0;
const SAFE: usize = 1;
const UNSAFE: usize = 2;

/// A checker that knows one message of the class, accepted by sender 0 for partner 3, with 20 s to go.
fn checker(class: usize) -> RuleChecker {
    let scenario = Scenario::parse("name = \"t\"\nseconds = 30.0").unwrap();
    let mut checker = RuleChecker::new(&scenario, &Plan::draw(&scenario, 1));
    let first = checker.wants(0, class);
    checker.submitted("m", first, 0, 3, 20 * SECOND);
    checker.answered(1000, "m", true);
    checker
}

fn call(checker: &mut RuleChecker, at: Micros, end: AttemptEnd) {
    assert!(matches!(checker.begins(at, "m", 3, 0), Admission::Through { sender: 0, .. }));
    if end != AttemptEnd::Refused(None) {
        checker.runs(at, "m");
    }
    checker.ends(at + 1000, "m", at, end);
}

/// The rules that were broken once all is over.
fn broken(checker: RuleChecker, at: Micros) -> Vec<Rule> {
    checker.verdict(at).breaches.into_iter().map(|(rule, _, _)| rule).collect()
}

#[test]
fn a_message_delivered_in_time_breaks_no_rule_and_earns_its_value() {
    let mut j = checker(UNSAFE);
    call(&mut j, SECOND, AttemptEnd::Refused(None));
    call(&mut j, 2 * SECOND, AttemptEnd::Delivered);
    let verdict = j.verdict(25 * SECOND);
    assert!(verdict.breaches.is_empty(), "{:?}", verdict.breaches);
    assert_eq!((verdict.counts.delivered, verdict.counts.late, verdict.counts.calls), (1, 0, 2));
    assert_eq!(verdict.value.overall, 1.0);
}

#[test]
fn value_halves_with_each_further_latency_target() {
    let mut j = checker(KEYED);
    call(&mut j, 8 * SECOND - 1000, AttemptEnd::Delivered);
    assert!((j.verdict(25 * SECOND).value.overall - 0.5).abs() < 1e-6);
}

#[test]
fn no_end_or_a_late_one_is_lost() {
    assert_eq!(broken(checker(SAFE), 25 * SECOND), [Rule::Lost]);
    assert_eq!(broken(checker(SAFE), 20 * SECOND), [], "it has time yet");
    let mut j = checker(SAFE);
    j.noticed(20 * SECOND + 500_000, "m", true);
    assert_eq!(broken(j, 25 * SECOND), [Rule::Lost]);
    let mut j = checker(SAFE);
    j.noticed(20 * SECOND + 200_000, "m", true);
    assert_eq!(broken(j, 25 * SECOND), []);
}

#[test]
fn a_sender_that_restarts_has_time_for_its_notices() {
    let mut j = checker(SAFE);
    j.sender_down(19 * SECOND, 0);
    j.sender_ready(22 * SECOND, 0);
    j.noticed(23 * SECOND, "m", true);
    assert_eq!(broken(j, 30 * SECOND), []);
    let mut j = checker(SAFE);
    j.sender_down(19 * SECOND, 0);
    j.sender_ready(22 * SECOND, 0);
    j.noticed(24 * SECOND, "m", true);
    assert_eq!(broken(j, 30 * SECOND), [Rule::Lost]);
}

#[test]
fn an_unsafe_message_that_may_have_run_comes_no_second_time() {
    let mut j = checker(UNSAFE);
    call(&mut j, SECOND, AttemptEnd::Cut);
    call(&mut j, 2 * SECOND, AttemptEnd::Delivered);
    assert_eq!(broken(j, 25 * SECOND), [Rule::Doubled, Rule::Resent]);
    let mut j = checker(UNSAFE);
    call(&mut j, SECOND, AttemptEnd::Cut);
    j.noticed(2 * SECOND, "m", true);
    assert_eq!(broken(j, 25 * SECOND), [Rule::Resent], "nor is it given back");
}

#[test]
fn a_keyed_message_is_repeated_inside_its_window_only() {
    for (again, rules) in [(7, vec![]), (10, vec![Rule::Doubled, Rule::Resent])] {
        let mut j = checker(KEYED);
        call(&mut j, SECOND, AttemptEnd::Cut);
        call(&mut j, again * SECOND, AttemptEnd::Delivered);
        assert_eq!(broken(j, 25 * SECOND), rules, "again at {again} s");
    }
}

#[test]
fn attempts_do_not_overlap() {
    let mut j = checker(SAFE);
    j.begins(SECOND, "m", 3, 0);
    j.begins(2 * SECOND, "m", 3, 0);
    j.ends(3 * SECOND, "m", SECOND, AttemptEnd::Delivered);
    assert_eq!(broken(j, 25 * SECOND), [Rule::Overlap]);
}

#[test]
fn nothing_goes_to_a_draining_endpoint_after_the_grace() {
    for (at, serves, rules) in
        [(250_000, false, vec![]), (400_000, false, vec![Rule::Drain]), (400_000, true, vec![])]
    {
        let mut j = checker(SAFE);
        j.endpoint_reported(SECOND, 0, 3, 0, false);
        if serves {
            j.endpoint_reported(SECOND + 1, 0, 3, 0, true);
        }
        call(&mut j, SECOND + at, AttemptEnd::Delivered);
        assert_eq!(broken(j, 25 * SECOND), rules, "after {at} us");
    }
}

#[test]
fn an_advised_wait_holds_for_all_endpoints_of_the_partner() {
    for (at, rules) in [(SECOND + 50_000, vec![]), (3 * SECOND, vec![Rule::Wait]), (6 * SECOND, vec![])] {
        let mut j = checker(SAFE);
        let other = j.wants(0, UNSAFE);
        j.submitted("other", other, 0, 3, 20 * SECOND);
        j.begins(SECOND - 1000, "other", 3, 1);
        j.ends(SECOND, "other", SECOND - 1000, AttemptEnd::Refused(Some(5 * SECOND)));
        call(&mut j, at, AttemptEnd::Delivered);
        assert_eq!(broken(j, 25 * SECOND), rules, "at {at} us");
    }
}

#[test]
fn a_fall_counts_against_those_who_saw_the_outage() {
    for (share, rules) in [(0.5, vec![]), (0.7, vec![Rule::Fall])] {
        let mut j = checker(SAFE);
        j.fell(SECOND, 3, share);
        call(&mut j, 2 * SECOND, AttemptEnd::Delivered);
        assert_eq!(broken(j, 25 * SECOND), rules);
    }
}

#[test]
fn a_message_goes_to_its_own_partner() {
    let mut j = checker(SAFE);
    assert_eq!(j.begins(SECOND, "m", 4, 0), Admission::Unknown);
    assert_eq!(j.begins(SECOND, "never", 3, 0), Admission::Unknown);
    call(&mut j, 2 * SECOND, AttemptEnd::Delivered);
    assert_eq!(broken(j, 25 * SECOND), [Rule::Astray]);
}

#[test]
fn finished_messages_exhausted_attempts_and_missing_slots_are_distinguished() {
    let mut j = checker(SAFE);
    (0..8).for_each(|i| call(&mut j, SECOND + i * 10_000, AttemptEnd::Refused(None)));
    assert_eq!(j.begins(2 * SECOND, "m", 3, 0), Admission::Spent);
    j.noticed(3 * SECOND, "m", true);
    assert_eq!(j.begins(4 * SECOND, "m", 3, 0), Admission::Over);
    for i in 0..=j.slots {
        let (id, first) = (format!("s{i}"), j.wants(SECOND, SAFE));
        j.submitted(&id, first, 0, 3, 20 * SECOND);
        let admitted = j.begins(5 * SECOND, &id, 3, 0);
        assert_eq!(admitted == Admission::NoSlot, i == j.slots, "call {i}");
    }
}

/// A keyed message that may have run comes again inside its window only, an unsafe one never.
#[test]
fn clients_come_again_as_the_class_permits() {
    for (class, at, may) in [(SAFE, 15, true), (KEYED, 8, true), (KEYED, 10, false), (UNSAFE, 3, false)] {
        let mut j = checker(class);
        assert!(j.may_resubmit(SECOND, 0), "nothing may have run");
        call(&mut j, SECOND, AttemptEnd::Cut);
        assert_eq!(j.may_resubmit(at * SECOND, 0), may, "class {class} at {at} s");
    }
}
