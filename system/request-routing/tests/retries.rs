//! Tests of retries, queueing and refusals, and of the backoff and ejection of endpoints.

mod common;

use common::{
    MS, attempt, complete, draining, endpoint_list, expect_send, list_entry, ms, request, router, send,
};
use googletest::prelude::*;
use request_routing::{
    AttemptHistory, EndpointKey, Execution, GiveUp, Outcome, RetryDecision, RouteKind, Router,
    RoutingDecision, RoutingRequest, Span, Time, UnavailableReason,
};

const UNEXECUTED_OUTCOMES: [Outcome; 4] =
    [Outcome::Full(None), Outcome::NoRoom, Outcome::ConnectFailed, Outcome::Void];
const POSSIBLY_EXECUTED_OUTCOMES: [Outcome; 4] =
    [Outcome::Failure, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled];
const KINDS: [RouteKind; 3] = [RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::Streaming];

fn two_endpoints() -> Router {
    router(&[list_entry("x", "tool", "a", 8), list_entry("y", "tool", "a", 8)])
}

#[gtest]
fn an_unexecuted_attempt_of_any_kind_is_retried_at_once_at_a_free_endpoint() {
    for kind in KINDS {
        for outcome in [Outcome::Full(None), Outcome::NoRoom, Outcome::ConnectFailed] {
            let mut router = two_endpoints();
            let (request, mut history) = (request("tool", kind), AttemptHistory::default());
            let (first, decision) = attempt(&mut router, ms(0), &request, &mut history, outcome);
            expect_that!(decision, eq(RetryDecision::Retry));
            expect_that!(history.not_before, eq(ms(0)));
            expect_that!(expect_send(router.pick(ms(0), &request, &history)).key, not(eq(first.key)));
        }
    }
}

#[gtest]
fn only_idempotent_requests_are_retried_after_possible_execution() {
    for outcome in POSSIBLY_EXECUTED_OUTCOMES {
        for kind in [RouteKind::NonIdempotent, RouteKind::Streaming] {
            let mut router = two_endpoints();
            let (request, mut history) = (request("tool", kind), AttemptHistory::default());
            let (_, decision) = attempt(&mut router, ms(0), &request, &mut history, outcome);
            expect_that!(decision, eq(RetryDecision::GiveUp(GiveUp::Failed)));
            expect_that!(
                router.pick(ms(1), &request, &history),
                eq(&RoutingDecision::GiveUp(GiveUp::Failed))
            );
        }
        let mut router = two_endpoints();
        let (request, mut history) = (request("tool", RouteKind::Idempotent), AttemptHistory::default());
        let (first, decision) = attempt(&mut router, ms(0), &request, &mut history, outcome);
        expect_that!(decision, eq(RetryDecision::Retry));
        // The first backoff is 0.04 x the latency target of 250 ms, plus up to half of that as jitter.
        expect_that!(history.not_before, all![ge(ms(10)), le(ms(15))]);
        expect_that!(
            router.pick(ms(0), &request, &history),
            eq(&RoutingDecision::Wait(Span(history.not_before.since(ms(0)))))
        );
        expect_that!(expect_send(router.pick(ms(15), &request, &history)).key, not(eq(first.key)));
    }
}

#[gtest]
fn the_backoff_doubles_up_to_its_maximum() {
    let mut router = router(&[list_entry("x", "tool", "a", 8)]);
    let request =
        RoutingRequest { max_attempts: 9, deadline: ms(60_000), ..request("tool", RouteKind::Idempotent) };
    let mut history = AttemptHistory::default();
    let mut now = ms(0);
    for min_backoff_ms in [10, 20, 40, 80, 100, 100, 100] {
        let (_, decision) = attempt(&mut router, now, &request, &mut history, Outcome::Failure);
        expect_that!(decision, eq(RetryDecision::Retry));
        expect_that!(
            history.not_before.since(now),
            all![ge(min_backoff_ms * MS), le((min_backoff_ms + 5) * MS)]
        );
        now = history.not_before;
    }
}

#[gtest]
fn a_request_that_was_only_refused_ends_refused_with_retry_after() {
    let mut router = router(&["x", "y", "z", "w"].map(|id| list_entry(id, "tool", "a", 8)));
    for kind in KINDS {
        let (request, mut history) =
            (RoutingRequest { max_attempts: 2, ..request("tool", kind) }, AttemptHistory::default());
        attempt(&mut router, ms(0), &request, &mut history, Outcome::Full(None));
        router.update_endpoints(
            ms(0),
            &endpoint_list(&["p", "q", "r"].map(|id| list_entry(id, "tool", "a", 8))),
        );
        let (_, decision) = attempt(&mut router, ms(0), &request, &mut history, Outcome::Full(None));
        expect_that!(
            decision,
            matches_pattern!(RetryDecision::GiveUp(matches_pattern!(GiveUp::Refused { .. })))
        );
        router.update_endpoints(
            ms(0),
            &endpoint_list(&["x", "y", "z", "w"].map(|id| list_entry(id, "tool", "a", 8))),
        );
    }
}

#[gtest]
fn a_refusal_after_possible_execution_ends_as_failed() {
    let mut router = two_endpoints();
    let (request, mut history) = (
        RoutingRequest { max_attempts: 2, ..request("tool", RouteKind::Idempotent) },
        AttemptHistory::default(),
    );
    attempt(&mut router, ms(0), &request, &mut history, Outcome::Reset);
    let (_, decision) = attempt(&mut router, ms(20), &request, &mut history, Outcome::Full(None));
    expect_that!(decision, eq(RetryDecision::GiveUp(GiveUp::Failed)));
}

#[gtest]
fn failed_connections_consume_no_attempt_but_are_bounded() {
    let mut router = router(&["x", "y"].map(|id| list_entry(id, "tool", "a", 8)));
    let request =
        RoutingRequest { max_attempts: 1, deadline: ms(60_000), ..request("tool", RouteKind::NonIdempotent) };
    let mut history = AttemptHistory::default();
    let mut sends = 0;
    let mut now = ms(0);
    let give_up = loop {
        now = now.max(history.not_before);
        sends += 1;
        match attempt(&mut router, now, &request, &mut history, Outcome::ConnectFailed).1 {
            RetryDecision::Retry => {}
            RetryDecision::GiveUp(give_up) => break give_up,
        }
    };
    expect_that!(sends, eq(6));
    expect_that!(history.attempts, eq(0));
    expect_that!(give_up, matches_pattern!(GiveUp::Refused { .. }));
}

#[gtest]
fn a_request_is_given_up_if_the_next_attempt_would_miss_the_deadline() {
    for (outcome, failed) in [(Outcome::Full(None), false), (Outcome::Reset, true)] {
        let mut router = router(&[list_entry("x", "tool", "a", 8)]);
        let (request, mut history) = (request("tool", RouteKind::Idempotent), AttemptHistory::default());
        let target = expect_send(router.pick(ms(0), &request, &history));
        complete(&mut router, ms(1_470), target.key, &request, outcome);
        match router.decide_retry(ms(1_470), &request, &mut history, target.key, outcome) {
            RetryDecision::GiveUp(GiveUp::Failed) => expect_that!(failed, eq(true)),
            RetryDecision::GiveUp(GiveUp::Refused { .. }) => expect_that!(failed, eq(false)),
            RetryDecision::Retry => panic!("unexpected retry"),
        }
    }
}

#[gtest]
fn a_request_with_too_little_time_left_is_refused_at_once() {
    let mut router = two_endpoints();
    let request = request("tool", RouteKind::Idempotent);
    expect_that!(
        router.pick(ms(1_480), &request, &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::GiveUp(matches_pattern!(GiveUp::Refused { .. })))
    );
}

#[gtest]
fn a_queued_request_is_refused_after_a_quarter_of_the_latency_target() {
    let mut router = router(&[list_entry("x", "tool", "a", 1)]);
    let request = request("tool", RouteKind::NonIdempotent);
    while let RoutingDecision::Send(_) = router.pick(ms(0), &request, &AttemptHistory::default()) {}
    let mut now = ms(0);
    let give_up = loop {
        match router.pick(now, &request, &AttemptHistory::default()) {
            RoutingDecision::Wait(Span(span)) => {
                expect_that!(span, all![ge(MS), le(50 * MS)]);
                now = now.after(span as f64);
            }
            other => break other,
        }
    };
    expect_that!(
        give_up,
        matches_pattern!(RoutingDecision::GiveUp(matches_pattern!(GiveUp::Refused { .. })))
    );
    expect_that!(now, all![ge(ms(50)), le(ms(62))]);
}

#[gtest]
fn a_request_that_may_have_executed_waits_until_its_deadline_and_fails() {
    let mut router = router(&[list_entry("x", "tool", "a", 1)]);
    let request = request("tool", RouteKind::Idempotent);
    while let RoutingDecision::Send(_) = router.pick(ms(0), &request, &AttemptHistory::default()) {}
    let history =
        AttemptHistory { attempts: 1, execution: Execution::MayHaveExecuted, ..AttemptHistory::default() };
    expect_that!(router.pick(ms(1_000), &request, &history), matches_pattern!(RoutingDecision::Wait(_)));
    expect_that!(router.pick(ms(1_499), &request, &history), eq(&RoutingDecision::GiveUp(GiveUp::Failed)));
}

#[gtest]
fn retry_after_grows_with_the_queue() {
    let retry_after = |waiting_count: u64| {
        let mut router = router(&[list_entry("x", "tool", "a", 1)]);
        let request = request("tool", RouteKind::Idempotent);
        while let RoutingDecision::Send(_) = router.pick(ms(0), &request, &AttemptHistory::default()) {}
        for n in 0..waiting_count {
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
fn a_request_without_any_endpoint_waits_for_a_list() {
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
fn a_refusal_backs_off_its_endpoint_for_all_requests_exponentially() {
    let mut router = router(&[list_entry("x", "tool", "a", 8)]);
    let request = RoutingRequest {
        latency_target: Span(10_000 * MS),
        deadline: ms(60_000),
        ..request("tool", RouteKind::Idempotent)
    };
    let mut now = ms(0);
    for min_backoff_ms in [30, 60, 120, 240, 480, 480] {
        let target = send(&mut router, now, &request);
        complete(&mut router, now, target.key, &request, Outcome::Full(None));
        let just_before = now.after((min_backoff_ms * MS - 1) as f64);
        expect_that!(
            router.pick(just_before, &request, &AttemptHistory::default()),
            matches_pattern!(RoutingDecision::Wait(_))
        );
        now = now.after((min_backoff_ms * MS) as f64 * 1.25);
    }
    let target = send(&mut router, now, &request);
    complete(&mut router, now, target.key, &request, Outcome::Success);
    let target = send(&mut router, now, &request);
    complete(&mut router, now, target.key, &request, Outcome::Full(None));
    send(&mut router, now.after(38.0 * MS as f64), &request);
}

#[gtest]
fn simultaneous_refusals_count_once() {
    let mut router = router(&[list_entry("x", "tool", "a", 8)]);
    let request =
        RoutingRequest { latency_target: Span(10_000 * MS), ..request("tool", RouteKind::Idempotent) };
    let targets: Vec<_> = (0..8).map(|_| send(&mut router, ms(0), &request)).collect();
    for target in targets {
        complete(&mut router, ms(1), target.key, &request, Outcome::Full(None));
    }
    send(&mut router, ms(39), &request);
}

#[gtest]
fn retry_after_of_an_endpoint_is_respected() {
    let mut router = router(&[list_entry("x", "tool", "a", 8)]);
    let request =
        RoutingRequest { latency_target: Span(4_000 * MS), ..request("tool", RouteKind::Idempotent) };
    let mut history = AttemptHistory::default();
    let (_, decision) =
        attempt(&mut router, ms(0), &request, &mut history, Outcome::Full(Some(Span(700 * MS))));
    expect_that!(decision, eq(RetryDecision::Retry));
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
            complete(router, now, target.key, request, outcome);
        }
    }
    key
}

#[gtest]
fn one_probe_readmits_an_ejected_endpoint() {
    let mut router = router(&[list_entry("x", "tool", "a", 50), list_entry("y", "tool", "a", 50)]);
    let request = RoutingRequest { deadline: ms(60_000), ..request("tool", RouteKind::Idempotent) };
    let key = fail_until_ejected(&mut router, ms(0), &request, "x");
    let keys = |router: &mut Router, now| (0..6).map(|_| send(router, now, &request).key).collect::<Vec<_>>();
    expect_that!(keys(&mut router, ms(199)), not(contains(eq(&key))));
    let probed = keys(&mut router, ms(200));
    expect_that!(probed.iter().filter(|sent_key| **sent_key == key).count(), eq(1));
    complete(&mut router, ms(210), key, &request, Outcome::ConnectFailed);
    // The failed probe doubles the ejection.
    expect_that!(
        router.endpoint_views().iter().find(|view| view.key == key).and_then(|view| view.unavailable),
        some(eq(UnavailableReason::Ejected { until: ms(610) }))
    );
    expect_that!(send(&mut router, ms(610), &request).key, eq(key));
    complete(&mut router, ms(611), key, &request, Outcome::Success);
    expect_that!(
        router.endpoint_views().iter().find(|view| view.key == key).and_then(|view| view.unavailable),
        none()
    );
}

#[gtest]
fn at_most_half_of_a_services_endpoints_are_ejected() {
    let mut router = router(&["x", "y", "z", "w"].map(|id| list_entry(id, "tool", "a", 8)));
    let request = request("tool", RouteKind::Idempotent);
    for _ in 0..40 {
        let target = send(&mut router, ms(0), &request);
        complete(&mut router, ms(0), target.key, &request, Outcome::Reset);
    }
    let ejected = router.endpoint_views().iter().filter(|view| view.unavailable.is_some()).count();
    expect_that!(ejected, eq(2));
    send(&mut router, ms(0), &request);
}

#[gtest]
fn the_first_endpoint_to_recover_is_used_when_all_are_ejected() {
    let mut router = two_endpoints();
    let request = request("tool", RouteKind::Idempotent);
    let key = fail_until_ejected(&mut router, ms(0), &request, "x");
    router.update_endpoints(
        ms(1),
        &endpoint_list(&[list_entry("x", "tool", "a", 8), draining(list_entry("y", "tool", "a", 8))]),
    );
    expect_that!(send(&mut router, ms(1), &request).key, eq(key));
}

#[gtest]
fn the_attempt_history_records_unexecuted_attempts() {
    for outcome in UNEXECUTED_OUTCOMES {
        let mut router = two_endpoints();
        let (request, mut history) = (request("tool", RouteKind::Streaming), AttemptHistory::default());
        attempt(&mut router, ms(0), &request, &mut history, outcome);
        expect_that!(history.execution, eq(Execution::NotExecuted));
        expect_that!(history.unexecuted_attempts, eq(1));
    }
}

#[gtest]
fn an_idempotent_attempt_has_a_timeout_if_another_endpoint_and_attempt_remain() {
    let mut router = two_endpoints();
    let (request, history) = (request("tool", RouteKind::Idempotent), AttemptHistory::default());
    // Before the first response, the timeout is the latency target.
    expect_that!(router.attempt_timeout(ms(0), &request, &history), some(eq(Span(250 * MS))));
    // After it, the timeout is six times the mean time to first byte of idempotent requests, if that is more.
    let target = send(&mut router, ms(0), &request);
    router.record_completion(ms(60), target.key, &request, Outcome::Success, None, Span(60 * MS));
    expect_that!(router.attempt_timeout(ms(60), &request, &history), some(eq(Span(360 * MS))));
    // A non-idempotent request does not affect that mean.
    let slow = RoutingRequest { kind: RouteKind::NonIdempotent, ..request.clone() };
    let target = send(&mut router, ms(60), &slow);
    router.record_completion(ms(900), target.key, &slow, Outcome::Success, None, Span(840 * MS));
    expect_that!(router.attempt_timeout(ms(60), &request, &history), some(eq(Span(360 * MS))));
}

#[gtest]
fn an_attempt_has_no_timeout_if_a_retry_would_be_useless() {
    let mut router = two_endpoints();
    let (request, history) = (request("tool", RouteKind::Idempotent), AttemptHistory::default());
    for kind in [RouteKind::NonIdempotent, RouteKind::Streaming] {
        expect_that!(
            router.attempt_timeout(ms(0), &RoutingRequest { kind, ..request.clone() }, &history),
            none()
        );
    }
    expect_that!(
        router.attempt_timeout(ms(0), &request, &AttemptHistory { attempts: 2, ..history.clone() }),
        none()
    );
    // The other endpoint was already tried.
    let last = router.endpoint_views()[0].key;
    expect_that!(
        router.attempt_timeout(
            ms(0),
            &request,
            &AttemptHistory { avoided_endpoints: vec![last], ..history.clone() }
        ),
        none()
    );
    // This attempt and another one of 250 ms must fit before the last 25 ms, in which a send is useless.
    expect_that!(router.attempt_timeout(ms(975), &request, &history), some(anything()));
    expect_that!(router.attempt_timeout(ms(976), &request, &history), none());
    router.update_endpoints(
        ms(1),
        &endpoint_list(&[list_entry("x", "tool", "a", 8), draining(list_entry("y", "tool", "a", 8))]),
    );
    // The other endpoint is now draining.
    expect_that!(router.attempt_timeout(ms(1), &request, &history), none());
}
