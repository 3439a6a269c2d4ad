//! Whether a request waits, goes again or ends, and how endpoints are closed and ejected.

mod common;

use common::*;
use googletest::prelude::*;
use request_routing::*;

const NEVER_RAN: [Outcome; 4] = [Outcome::Full(None), Outcome::NoRoom, Outcome::ConnectFailed, Outcome::Void];
const MAY_HAVE_RUN: [Outcome; 4] = [Outcome::Failure, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled];
const KINDS: [RouteKind; 3] = [RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::Streaming];

fn two() -> Router {
    router(&[entry("x", "tool", "a", 8), entry("y", "tool", "a", 8)])
}

#[gtest]
fn given_an_attempt_that_never_ran_when_another_endpoint_is_free_then_any_kind_goes_there_at_once() {
    for kind in KINDS {
        for outcome in [Outcome::Full(None), Outcome::NoRoom, Outcome::ConnectFailed] {
            let mut router = two();
            let (request, mut history) = (request("tool", kind), AttemptHistory::default());
            let (first, next) = attempt(&mut router, ms(0), &request, &mut history, outcome);
            expect_that!(next, eq(RetryDecision::Retry));
            expect_that!(history.not_before, eq(ms(0)));
            expect_that!(sent(router.pick(ms(0), &request, &history)).key, not(eq(first.key)));
        }
    }
}

#[gtest]
fn given_an_attempt_that_may_have_run_when_it_ends_then_only_an_idempotent_one_goes_again() {
    for outcome in MAY_HAVE_RUN {
        for kind in [RouteKind::NonIdempotent, RouteKind::Streaming] {
            let mut router = two();
            let (request, mut history) = (request("tool", kind), AttemptHistory::default());
            let (_, next) = attempt(&mut router, ms(0), &request, &mut history, outcome);
            expect_that!(next, eq(RetryDecision::GiveUp(GiveUp::Failed)));
            expect_that!(
                router.pick(ms(1), &request, &history),
                eq(&RoutingDecision::GiveUp(GiveUp::Failed))
            );
        }
        let mut router = two();
        let (request, mut history) = (request("tool", RouteKind::Idempotent), AttemptHistory::default());
        let (first, next) = attempt(&mut router, ms(0), &request, &mut history, outcome);
        expect_that!(next, eq(RetryDecision::Retry));
        // 0.04 x 250 ms, and half of that by chance.
        expect_that!(history.not_before, all![ge(ms(10)), le(ms(15))]);
        expect_that!(
            router.pick(ms(0), &request, &history),
            eq(&RoutingDecision::Wait(Span(history.not_before.since(ms(0)))))
        );
        expect_that!(sent(router.pick(ms(15), &request, &history)).key, not(eq(first.key)));
    }
}

#[gtest]
fn given_no_other_endpoint_when_attempts_fail_then_the_waits_double_up_to_the_cap() {
    let mut router = router(&[entry("x", "tool", "a", 8)]);
    let request =
        RoutingRequest { max_attempts: 9, deadline: ms(60_000), ..request("tool", RouteKind::Idempotent) };
    let mut history = AttemptHistory::default();
    let mut now = ms(0);
    for least in [10, 20, 40, 80, 100, 100, 100] {
        let (_, next) = attempt(&mut router, now, &request, &mut history, Outcome::Failure);
        expect_that!(next, eq(RetryDecision::Retry));
        expect_that!(history.not_before.since(now), all![ge(least * MS), le((least + 5) * MS)]);
        now = history.not_before;
    }
}

#[gtest]
fn given_refusals_only_when_the_attempts_are_spent_then_it_is_refused_with_a_time() {
    let mut router = router(&["x", "y", "z", "w"].map(|id| entry(id, "tool", "a", 8)));
    for kind in KINDS {
        let (request, mut history) =
            (RoutingRequest { max_attempts: 2, ..request("tool", kind) }, AttemptHistory::default());
        attempt(&mut router, ms(0), &request, &mut history, Outcome::Full(None));
        router.update_endpoints(ms(0), &list(&["p", "q", "r"].map(|id| entry(id, "tool", "a", 8))));
        let (_, next) = attempt(&mut router, ms(0), &request, &mut history, Outcome::Full(None));
        expect_that!(next, matches_pattern!(RetryDecision::GiveUp(matches_pattern!(GiveUp::Refused { .. }))));
        router.update_endpoints(ms(0), &list(&["x", "y", "z", "w"].map(|id| entry(id, "tool", "a", 8))));
    }
}

#[gtest]
fn given_a_refusal_after_one_that_may_have_run_when_attempts_are_spent_then_it_has_failed() {
    let mut router = two();
    let (request, mut history) = (
        RoutingRequest { max_attempts: 2, ..request("tool", RouteKind::Idempotent) },
        AttemptHistory::default(),
    );
    attempt(&mut router, ms(0), &request, &mut history, Outcome::Reset);
    let (_, next) = attempt(&mut router, ms(20), &request, &mut history, Outcome::Full(None));
    expect_that!(next, eq(RetryDecision::GiveUp(GiveUp::Failed)));
}

#[gtest]
fn given_connections_that_are_not_made_when_they_go_on_then_they_count_as_no_attempt_but_end_at_last() {
    let mut router = router(&["x", "y"].map(|id| entry(id, "tool", "a", 8)));
    let request =
        RoutingRequest { max_attempts: 1, deadline: ms(60_000), ..request("tool", RouteKind::NonIdempotent) };
    let mut history = AttemptHistory::default();
    let mut sends = 0;
    let mut now = ms(0);
    let end = loop {
        now = now.max(history.not_before);
        sends += 1;
        match attempt(&mut router, now, &request, &mut history, Outcome::ConnectFailed).1 {
            RetryDecision::Retry => {}
            RetryDecision::GiveUp(end) => break end,
        }
    };
    expect_that!(sends, eq(6));
    expect_that!(history.attempts, eq(0));
    expect_that!(end, matches_pattern!(GiveUp::Refused { .. }));
}

#[gtest]
fn given_a_next_try_past_the_deadline_when_an_attempt_ends_then_it_ends_in_time() {
    for (outcome, failed) in [(Outcome::Full(None), false), (Outcome::Reset, true)] {
        let mut router = router(&[entry("x", "tool", "a", 8)]);
        let (request, mut history) = (request("tool", RouteKind::Idempotent), AttemptHistory::default());
        let target = sent(router.pick(ms(0), &request, &history));
        end(&mut router, ms(1_470), target.key, &request, outcome);
        match router.decide_retry(ms(1_470), &request, &mut history, target.key, outcome) {
            RetryDecision::GiveUp(GiveUp::Failed) => expect_that!(failed, eq(true)),
            RetryDecision::GiveUp(GiveUp::Refused { .. }) => expect_that!(failed, eq(false)),
            RetryDecision::Retry => panic!("again"),
        }
    }
}

#[gtest]
fn given_little_time_when_a_request_comes_then_it_is_refused_at_once() {
    let mut router = two();
    let request = request("tool", RouteKind::Idempotent);
    expect_that!(
        router.pick(ms(1_480), &request, &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::GiveUp(matches_pattern!(GiveUp::Refused { .. })))
    );
}

#[gtest]
fn given_no_place_when_a_quarter_of_the_aim_is_over_then_it_is_refused() {
    let mut router = router(&[entry("x", "tool", "a", 1)]);
    let request = request("tool", RouteKind::NonIdempotent);
    while let RoutingDecision::Send(_) = router.pick(ms(0), &request, &AttemptHistory::default()) {}
    let mut now = ms(0);
    let end = loop {
        match router.pick(now, &request, &AttemptHistory::default()) {
            RoutingDecision::Wait(Span(span)) => {
                expect_that!(span, all![ge(MS), le(50 * MS)]);
                now = now.after(span as f64);
            }
            other => break other,
        }
    };
    expect_that!(end, matches_pattern!(RoutingDecision::GiveUp(matches_pattern!(GiveUp::Refused { .. }))));
    expect_that!(now, all![ge(ms(50)), le(ms(62))]);
}

#[gtest]
fn given_one_that_may_have_run_when_no_place_comes_then_it_waits_until_its_time_is_over_and_has_failed() {
    let mut router = router(&[entry("x", "tool", "a", 1)]);
    let request = request("tool", RouteKind::Idempotent);
    while let RoutingDecision::Send(_) = router.pick(ms(0), &request, &AttemptHistory::default()) {}
    let history =
        AttemptHistory { attempts: 1, execution: Execution::MayHaveExecuted, ..AttemptHistory::default() };
    expect_that!(router.pick(ms(1_000), &request, &history), matches_pattern!(RoutingDecision::Wait(_)));
    expect_that!(router.pick(ms(1_499), &request, &history), eq(&RoutingDecision::GiveUp(GiveUp::Failed)));
}

#[gtest]
fn given_more_that_wait_when_one_is_refused_then_it_is_told_a_later_time() {
    let retry_after = |waiting: u64| {
        let mut router = router(&[entry("x", "tool", "a", 1)]);
        let request = request("tool", RouteKind::Idempotent);
        while let RoutingDecision::Send(_) = router.pick(ms(0), &request, &AttemptHistory::default()) {}
        for n in 0..waiting {
            let waiter = RoutingRequest { arrived_at: Time(ms(40).0 + n), ..request.clone() };
            router.pick(ms(41), &waiter, &AttemptHistory::default());
        }
        match router.pick(ms(70), &request, &AttemptHistory::default()) {
            RoutingDecision::GiveUp(GiveUp::Refused { retry_after }) => retry_after,
            other => panic!("{other:?}"),
        }
    };
    expect_that!(retry_after(5), gt(retry_after(0)));
    expect_that!(retry_after(1_000), le(Span(2_000 * MS)));
}

#[gtest]
fn given_no_endpoint_at_all_when_a_request_comes_then_it_waits_for_the_list_for_a_while() {
    let mut router = router(&[]);
    let request = request("tool", RouteKind::Idempotent);
    expect_that!(
        router.pick(ms(0), &request, &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::Wait(_))
    );
    expect_that!(
        router.pick(ms(60), &request, &AttemptHistory::default()),
        eq(&RoutingDecision::GiveUp(GiveUp::Refused { retry_after: Span(500 * MS) }))
    );
}

#[gtest]
fn given_a_refusal_when_others_ask_then_the_endpoint_is_closed_for_all_and_longer_while_refusals_go_on() {
    let mut router = router(&[entry("x", "tool", "a", 8)]);
    let request = RoutingRequest {
        latency_target: Span(10_000 * MS),
        deadline: ms(60_000),
        ..request("tool", RouteKind::Idempotent)
    };
    let mut now = ms(0);
    for least in [30, 60, 120, 240, 480, 480] {
        let target = send(&mut router, now, &request);
        end(&mut router, now, target.key, &request, Outcome::Full(None));
        let just_before = now.after((least * MS - 1) as f64);
        expect_that!(
            router.pick(just_before, &request, &AttemptHistory::default()),
            matches_pattern!(RoutingDecision::Wait(_))
        );
        now = now.after((least * MS) as f64 * 1.25);
    }
    let target = send(&mut router, now, &request);
    end(&mut router, now, target.key, &request, Outcome::Success);
    let target = send(&mut router, now, &request);
    end(&mut router, now, target.key, &request, Outcome::Full(None));
    send(&mut router, now.after(38.0 * MS as f64), &request);
}

#[gtest]
fn given_many_calls_out_when_all_are_refused_together_then_that_counts_once() {
    let mut router = router(&[entry("x", "tool", "a", 8)]);
    let request =
        RoutingRequest { latency_target: Span(10_000 * MS), ..request("tool", RouteKind::Idempotent) };
    let targets: Vec<_> = (0..8).map(|_| send(&mut router, ms(0), &request)).collect();
    for target in targets {
        end(&mut router, ms(1), target.key, &request, Outcome::Full(None));
    }
    send(&mut router, ms(39), &request);
}

#[gtest]
fn given_a_told_wait_when_it_lasts_then_nothing_goes_there() {
    let mut router = router(&[entry("x", "tool", "a", 8)]);
    let request =
        RoutingRequest { latency_target: Span(4_000 * MS), ..request("tool", RouteKind::Idempotent) };
    let mut history = AttemptHistory::default();
    let (_, next) = attempt(&mut router, ms(0), &request, &mut history, Outcome::Full(Some(Span(700 * MS))));
    expect_that!(next, eq(RetryDecision::Retry));
    expect_that!(history.not_before, ge(ms(700)));
    expect_that!(
        router.pick(ms(699), &request, &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::Wait(_))
    );
    send(&mut router, ms(700), &request);
}

fn fail_until_ejected(router: &mut Router, now: Time, request: &RoutingRequest, id: &str) -> EndpointKey {
    let key =
        router.endpoint_views().iter().find(|view| &*view.instance_id == id).map(|view| view.key).unwrap();
    while !router
        .endpoint_views()
        .iter()
        .any(|view| view.key == key && matches!(view.unavailable, Some(UnavailableReason::Ejected { .. })))
    {
        let targets: Vec<_> = (0..4).map(|_| send(router, now, request)).collect();
        for target in targets {
            let outcome = if target.key == key { Outcome::ConnectFailed } else { Outcome::Success };
            end(router, now, target.key, request, outcome);
        }
    }
    key
}

#[gtest]
fn given_an_endpoint_that_cannot_be_reached_when_it_is_ejected_then_one_trial_lets_it_back() {
    let mut router = router(&[entry("x", "tool", "a", 50), entry("y", "tool", "a", 50)]);
    let request = RoutingRequest { deadline: ms(60_000), ..request("tool", RouteKind::Idempotent) };
    let key = fail_until_ejected(&mut router, ms(0), &request, "x");
    let keys = |router: &mut Router, now| (0..6).map(|_| send(router, now, &request).key).collect::<Vec<_>>();
    expect_that!(keys(&mut router, ms(199)), not(contains(eq(&key))));
    let trials = keys(&mut router, ms(200));
    expect_that!(trials.iter().filter(|history| **history == key).count(), eq(1));
    end(&mut router, ms(210), key, &request, Outcome::ConnectFailed);
    // Out for twice as long.
    expect_that!(
        router.endpoint_views().iter().find(|view| view.key == key).and_then(|view| view.unavailable),
        some(eq(UnavailableReason::Ejected { until: ms(610) }))
    );
    expect_that!(send(&mut router, ms(610), &request).key, eq(key));
    end(&mut router, ms(611), key, &request, Outcome::Success);
    expect_that!(
        router.endpoint_views().iter().find(|view| view.key == key).and_then(|view| view.unavailable),
        none()
    );
}

#[gtest]
fn given_a_service_that_fails_when_all_its_endpoints_do_then_half_stay_in_use() {
    let mut router = router(&["x", "y", "z", "w"].map(|id| entry(id, "tool", "a", 8)));
    let request = request("tool", RouteKind::Idempotent);
    for _ in 0..40 {
        let target = send(&mut router, ms(0), &request);
        end(&mut router, ms(0), target.key, &request, Outcome::Reset);
    }
    let ejected = router.endpoint_views().iter().filter(|view| view.unavailable.is_some()).count();
    expect_that!(ejected, eq(2));
    send(&mut router, ms(0), &request);
}

#[gtest]
fn given_the_only_others_leave_when_all_that_is_left_is_ejected_then_the_least_bad_is_used() {
    let mut router = two();
    let request = request("tool", RouteKind::Idempotent);
    let key = fail_until_ejected(&mut router, ms(0), &request, "x");
    router
        .update_endpoints(ms(1), &list(&[entry("x", "tool", "a", 8), draining(entry("y", "tool", "a", 8))]));
    expect_that!(send(&mut router, ms(1), &request).key, eq(key));
}

#[gtest]
fn given_an_ended_attempt_when_it_never_ran_then_it_says_so_in_tried() {
    for outcome in NEVER_RAN {
        let mut router = two();
        let (request, mut history) = (request("tool", RouteKind::Streaming), AttemptHistory::default());
        attempt(&mut router, ms(0), &request, &mut history, outcome);
        expect_that!(history.execution, eq(Execution::NotExecuted));
        expect_that!(history.unexecuted, eq(1));
    }
}

#[gtest]
fn given_another_endpoint_and_an_attempt_left_when_a_repeatable_one_is_sent_then_silence_ends_the_try() {
    let mut router = two();
    let (request, history) = (request("tool", RouteKind::Idempotent), AttemptHistory::default());
    // Nothing is known yet: its aim.
    expect_that!(router.try_timeout(ms(0), &request, &history), some(eq(Span(250 * MS))));
    // Six times what its like take, once that is more.
    let target = send(&mut router, ms(0), &request);
    router.record_completion(ms(60), target.key, &request, Outcome::Success, None, Span(60 * MS));
    expect_that!(router.try_timeout(ms(60), &request, &history), some(eq(Span(360 * MS))));
    // What may not be repeated takes its own time, and tells nothing of the others.
    let slow = RoutingRequest { kind: RouteKind::NonIdempotent, ..request.clone() };
    let target = send(&mut router, ms(60), &slow);
    router.record_completion(ms(900), target.key, &slow, Outcome::Success, None, Span(840 * MS));
    expect_that!(router.try_timeout(ms(60), &request, &history), some(eq(Span(360 * MS))));
}

#[gtest]
fn given_no_use_in_another_try_when_an_attempt_is_sent_then_its_silence_is_borne() {
    let mut router = two();
    let (request, history) = (request("tool", RouteKind::Idempotent), AttemptHistory::default());
    for kind in [RouteKind::NonIdempotent, RouteKind::Streaming] {
        expect_that!(
            router.try_timeout(ms(0), &RoutingRequest { kind, ..request.clone() }, &history),
            none()
        );
    }
    expect_that!(
        router.try_timeout(ms(0), &request, &AttemptHistory { attempts: 2, ..history.clone() }),
        none()
    );
    // The other one was tried already, or is leaving.
    let last = router.endpoint_views()[0].key;
    expect_that!(
        router.try_timeout(ms(0), &request, &AttemptHistory { avoided: vec![last], ..history.clone() }),
        none()
    );
    // The next try would have less time than this one: 25 ms before the deadline are of no use.
    expect_that!(router.try_timeout(ms(975), &request, &history), some(anything()));
    expect_that!(router.try_timeout(ms(976), &request, &history), none());
    router
        .update_endpoints(ms(1), &list(&[entry("x", "tool", "a", 8), draining(entry("y", "tool", "a", 8))]));
    expect_that!(router.try_timeout(ms(1), &request, &history), none());
}
