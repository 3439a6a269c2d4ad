//! Over every order of a request's sends and their ends: an endpoint that records what ran is never asked to run it
//! twice where that is not allowed, and no promise is given that it could break.

mod common;

use common::{MS, entry, ms, request, router};
use googletest::prelude::*;
use proptest::prelude::*;
use request_routing::{
    AttemptHistory, Execution, GiveUp, Outcome, RetryDecision, RouteKind, RoutingDecision, RoutingRequest,
    SendOutcome, Span, status_promises_not_executed,
};

/// What happens to one send: what the stand-in endpoint does with it, and what the proxy sees of that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendScenario {
    ConnectionRefused,
    LostInHead,
    LostInBodyUnexecuted,
    /// An endpoint may begin before it has the body.
    LostInBodyExecuted,
    ResetUnexecuted,
    ResetAfterExecution,
    TimedOutUnexecuted,
    /// It runs once the proxy has given it up.
    TimedOutExecutesLater,
    ResponseOfAnotherRequest,
    TruncatedResponse,
    Declined,
    DeclinedWithRetryAfter,
    AnotherIncarnation,
    EndpointFailure,
}

const SCENARIOS: [SendScenario; 14] = [
    SendScenario::ConnectionRefused,
    SendScenario::LostInHead,
    SendScenario::LostInBodyUnexecuted,
    SendScenario::LostInBodyExecuted,
    SendScenario::ResetUnexecuted,
    SendScenario::ResetAfterExecution,
    SendScenario::TimedOutUnexecuted,
    SendScenario::TimedOutExecutesLater,
    SendScenario::ResponseOfAnotherRequest,
    SendScenario::TruncatedResponse,
    SendScenario::Declined,
    SendScenario::DeclinedWithRetryAfter,
    SendScenario::AnotherIncarnation,
    SendScenario::EndpointFailure,
];

const KINDS: [RouteKind; 3] = [RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::Streaming];

impl SendScenario {
    /// Whether the endpoint begins work on it, now or later.
    fn runs(self) -> bool {
        matches!(
            self,
            Self::LostInBodyExecuted
                | Self::ResetAfterExecution
                | Self::TimedOutExecutesLater
                | Self::ResponseOfAnotherRequest
                | Self::TruncatedResponse
                | Self::EndpointFailure
        )
    }

    /// What the proxy sees.
    fn outcome(self) -> Outcome {
        let end = match self {
            Self::ConnectionRefused => SendOutcome::ConnectFailed,
            Self::LostInHead => SendOutcome::connection_lost(false),
            Self::LostInBodyUnexecuted
            | Self::LostInBodyExecuted
            | Self::ResetUnexecuted
            | Self::ResetAfterExecution => SendOutcome::connection_lost(true),
            Self::TimedOutUnexecuted | Self::TimedOutExecutesLater => SendOutcome::timed_out(true),
            Self::ResponseOfAnotherRequest | Self::TruncatedResponse => SendOutcome::InvalidResponse,
            Self::Declined => SendOutcome::Declined(None),
            Self::DeclinedWithRetryAfter => SendOutcome::Declined(Some(Span(20 * MS))),
            Self::AnotherIncarnation => SendOutcome::Misdirected,
            Self::EndpointFailure => return Outcome::Failure,
        };
        end.outcome()
    }
}

/// Sends one request with these scenarios in turn; the error says which promise was broken.
fn simulate(kind: RouteKind, scenarios: &[SendScenario]) -> std::result::Result<(), String> {
    let mut router = router(&["x", "y", "z"].map(|id| entry(id, "tool", "a", 8)));
    let request = RoutingRequest {
        max_attempts: 3,
        deadline: ms(20_000),
        latency_target: Span(4_000 * MS),
        ..request("tool", kind)
    };
    let (mut history, mut now) = (AttemptHistory::default(), ms(0));
    let mut ran = 0_u32;
    let mut scenarios = scenarios.iter();
    let end = 'over: loop {
        let target = loop {
            match router.pick(now, &request, &history) {
                RoutingDecision::Send(target) => break target,
                RoutingDecision::Wait(Span(wait)) => now = now.after(wait as f64),
                RoutingDecision::GiveUp(end) => break 'over end,
            }
        };
        // Whatever is not fated is answered, which is the end of it.
        let Some(scenario) = scenarios.next() else {
            ran += 1;
            break 'over GiveUp::Failed;
        };
        ran += u32::from(scenario.runs());
        let outcome = scenario.outcome();
        router.record_completion(now, target.key, &request, outcome, None, Span(5 * MS));
        if *scenario == SendScenario::AnotherIncarnation {
            router.mark_misdirected(now, target.key);
        }
        if let RetryDecision::GiveUp(end) =
            router.decide_retry(now, &request, &mut history, target.key, outcome)
        {
            break 'over end;
        }
    };
    if kind != RouteKind::Idempotent && ran > 1 {
        return Err(format!("{kind:?} ran {ran} times"));
    }
    if ran > request.max_attempts {
        return Err(format!("ran {ran} times, with {} attempts", request.max_attempts));
    }
    if ran > 0 && matches!(end, GiveUp::Refused { .. }) {
        return Err(format!("{kind:?} was refused and ran"));
    }
    Ok(())
}

#[gtest]
fn no_sequence_of_up_to_four_send_outcomes_executes_twice_or_breaks_a_guarantee() {
    let mut simulated = 0;
    for kind in KINDS {
        let mut order = Vec::new();
        for number in 0..SCENARIOS.len().pow(4) {
            order.clear();
            order
                .extend((0..4).map(|place| SCENARIOS[number / SCENARIOS.len().pow(place) % SCENARIOS.len()]));
            expect_that!(simulate(kind, &order), ok(()), "{kind:?} {order:?}");
            simulated += 1;
        }
    }
    expect_that!(simulated, eq(3 * 38_416));
}

#[gtest]
fn may_have_executed_is_final() {
    for first in SCENARIOS.map(SendScenario::outcome) {
        for second in SCENARIOS.map(SendScenario::outcome) {
            let both = Execution::NotExecuted.after(first).after(second);
            expect_that!(both, eq(Execution::NotExecuted.after(second).after(first)), "{first:?} {second:?}");
            if Execution::NotExecuted.after(first) == Execution::MayHaveExecuted {
                expect_that!(both, eq(Execution::MayHaveExecuted), "{first:?} {second:?}");
            }
        }
    }
}

#[gtest]
fn a_status_without_the_endpoints_statement_is_forwarded_only_for_idempotent_requests() {
    for status in 200..=599 {
        expect_that!(status_promises_not_executed(status, RouteKind::Idempotent), eq(false));
        let plain = matches!(status, 408 | 421 | 429 | 503);
        expect_that!(status_promises_not_executed(status, RouteKind::NonIdempotent), eq(plain), "{status}");
        expect_that!(
            status_promises_not_executed(status, RouteKind::Streaming),
            eq(plain || status == 402),
            "{status}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(38), ..ProptestConfig::default() })]

    #[test]
    fn no_longer_sequence_of_send_outcomes_executes_twice_or_breaks_a_guarantee(
        kind in prop::sample::select(KINDS.to_vec()),
        scenarios in prop::collection::vec(prop::sample::select(SCENARIOS.to_vec()), 5..12),
    ) {
        prop_assert_eq!(simulate(kind, &scenarios), Ok(()));
    }
}
