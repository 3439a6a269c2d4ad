//! Tests of at-most-once execution, over all sequences of a request's send outcomes: a request that is not repeatable
//! never executes twice, and no request is refused as not executed if it may have executed.

mod common;

use common::{MS, list_entry, ms, request, router};
use googletest::prelude::*;
use proptest::prelude::*;
use request_routing::{
    AttemptHistory, Execution, GiveUp, Outcome, RetryDecision, RouteKind, RoutingDecision, RoutingRequest,
    SendOutcome, Span, status_promises_not_executed,
};

/// What happens to one send: whether the simulated endpoint executes the request, and what the proxy observes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendScenario {
    ConnectionRefused,
    LostInHead,
    LostInBodyUnexecuted,
    /// An endpoint may start executing before it has read the body.
    LostInBodyExecuted,
    ResetUnexecuted,
    ResetAfterExecution,
    TimedOutUnexecuted,
    /// The request executes after the proxy has given up the send.
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
    /// Whether the endpoint executes the request, now or later.
    fn executes(self) -> bool {
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

    /// The outcome that the proxy observes.
    fn outcome(self) -> Outcome {
        let send_outcome = match self {
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
        send_outcome.outcome()
    }
}

/// Routes one request whose sends have these scenarios, in order. The error states which guarantee was violated.
fn simulate(kind: RouteKind, scenarios: &[SendScenario]) -> std::result::Result<(), String> {
    let mut router = router(&["x", "y", "z"].map(|id| list_entry(id, "tool", "a", 8)));
    let request = RoutingRequest {
        max_attempts: 3,
        deadline: ms(20_000),
        latency_target: Span(4_000 * MS),
        ..request("tool", kind)
    };
    let (mut history, mut now) = (AttemptHistory::default(), ms(0));
    let mut executions = 0_u32;
    let mut scenarios = scenarios.iter();
    let result = 'finished: loop {
        let target = loop {
            match router.pick(now, &request, &history) {
                RoutingDecision::Send(target) => break target,
                RoutingDecision::Wait(Span(wait)) => now = now.after(wait as f64),
                RoutingDecision::GiveUp(give_up) => break 'finished give_up,
            }
        };
        // A send without a scenario receives a response, which completes the request.
        let Some(scenario) = scenarios.next() else {
            executions += 1;
            break 'finished GiveUp::Failed;
        };
        executions += u32::from(scenario.executes());
        let outcome = scenario.outcome();
        router.record_completion(now, target.key, &request, outcome, None, Span(5 * MS));
        if *scenario == SendScenario::AnotherIncarnation {
            router.mark_misdirected(now, target.key);
        }
        if let RetryDecision::GiveUp(give_up) =
            router.decide_retry(now, &request, &mut history, target.key, outcome)
        {
            break 'finished give_up;
        }
    };
    if kind != RouteKind::Idempotent && executions > 1 {
        return Err(format!("{kind:?} request executed {executions} times"));
    }
    if executions > request.max_attempts {
        return Err(format!("executed {executions} times with at most {} attempts", request.max_attempts));
    }
    if executions > 0 && matches!(result, GiveUp::Refused { .. }) {
        return Err(format!("{kind:?} request was refused as not executed but executed"));
    }
    Ok(())
}

#[gtest]
fn no_sequence_of_up_to_four_send_outcomes_executes_twice_or_breaks_a_guarantee() {
    let mut simulated = 0;
    for kind in KINDS {
        let mut scenarios = Vec::new();
        for sequence_number in 0..SCENARIOS.len().pow(4) {
            scenarios.clear();
            scenarios.extend((0..4).map(|position| {
                SCENARIOS[sequence_number / SCENARIOS.len().pow(position) % SCENARIOS.len()]
            }));
            expect_that!(simulate(kind, &scenarios), ok(()), "{kind:?} {scenarios:?}");
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
        let promises_not_executed = matches!(status, 408 | 421 | 429 | 503);
        expect_that!(
            status_promises_not_executed(status, RouteKind::NonIdempotent),
            eq(promises_not_executed),
            "{status}"
        );
        expect_that!(
            status_promises_not_executed(status, RouteKind::Streaming),
            eq(promises_not_executed || status == 402),
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
