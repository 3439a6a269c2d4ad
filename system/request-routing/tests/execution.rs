//! Over every order of a request's sends and their ends: an endpoint that records what ran is never asked to run it
//! twice where that is not allowed, and no promise is given that it could break.

mod common;

use common::*;
use googletest::prelude::*;
use proptest::prelude::*;
use request_routing::*;

/// What happens to one send: what the stand-in endpoint does with it, and what the proxy sees of that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    ConnectionRefused,
    BrokenInTheHead,
    BrokenInTheBodyUnrun,
    /// An endpoint may begin before it has the body.
    BrokenInTheBodyRun,
    ResetUnrun,
    ResetAfterItRan,
    SilentUnrun,
    /// It runs once the proxy has given it up.
    SilentAndRunsLater,
    ForeignAnswer,
    AnswerCutShort,
    Declined,
    DeclinedWithTime,
    AnotherIncarnation,
    OwnFailure,
}

const FATES: [Fate; 14] = [
    Fate::ConnectionRefused,
    Fate::BrokenInTheHead,
    Fate::BrokenInTheBodyUnrun,
    Fate::BrokenInTheBodyRun,
    Fate::ResetUnrun,
    Fate::ResetAfterItRan,
    Fate::SilentUnrun,
    Fate::SilentAndRunsLater,
    Fate::ForeignAnswer,
    Fate::AnswerCutShort,
    Fate::Declined,
    Fate::DeclinedWithTime,
    Fate::AnotherIncarnation,
    Fate::OwnFailure,
];

const KINDS: [RouteKind; 3] = [RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::Streaming];

impl Fate {
    /// Whether the endpoint begins work on it, now or later.
    fn runs(self) -> bool {
        matches!(
            self,
            Self::BrokenInTheBodyRun
                | Self::ResetAfterItRan
                | Self::SilentAndRunsLater
                | Self::ForeignAnswer
                | Self::AnswerCutShort
                | Self::OwnFailure
        )
    }

    /// What the proxy sees.
    fn outcome(self) -> Outcome {
        let end = match self {
            Self::ConnectionRefused => SendOutcome::ConnectFailed,
            Self::BrokenInTheHead => SendOutcome::connection_lost(false),
            Self::BrokenInTheBodyUnrun
            | Self::BrokenInTheBodyRun
            | Self::ResetUnrun
            | Self::ResetAfterItRan => SendOutcome::connection_lost(true),
            Self::SilentUnrun | Self::SilentAndRunsLater => SendOutcome::timed_out(true),
            Self::ForeignAnswer | Self::AnswerCutShort => SendOutcome::Unusable,
            Self::Declined => SendOutcome::Declined(None),
            Self::DeclinedWithTime => SendOutcome::Declined(Some(Span(20 * MS))),
            Self::AnotherIncarnation => SendOutcome::Misdirected,
            Self::OwnFailure => return Outcome::Failure,
        };
        end.outcome()
    }
}

/// Sends one request with these fates in turn; the error says which promise was broken.
fn play(kind: RouteKind, fates: &[Fate]) -> std::result::Result<(), String> {
    let mut router = router(&["x", "y", "z"].map(|id| entry(id, "tool", "a", 8)));
    let request = RoutingRequest {
        max_attempts: 3,
        deadline: ms(20_000),
        latency_target: Span(4_000 * MS),
        ..request("tool", kind)
    };
    let (mut history, mut now) = (AttemptHistory::default(), ms(0));
    let mut ran = 0_u32;
    let mut fates = fates.iter();
    let end = 'over: loop {
        let target = loop {
            match router.pick(now, &request, &history) {
                RoutingDecision::Send(target) => break target,
                RoutingDecision::Wait(Span(wait)) => now = now.after(wait as f64),
                RoutingDecision::GiveUp(end) => break 'over end,
            }
        };
        // Whatever is not fated is answered, which is the end of it.
        let Some(fate) = fates.next() else {
            ran += 1;
            break 'over GiveUp::Failed;
        };
        ran += u32::from(fate.runs());
        let outcome = fate.outcome();
        router.record_completion(now, target.key, &request, outcome, None, Span(5 * MS));
        if *fate == Fate::AnotherIncarnation {
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
fn given_every_order_of_up_to_four_ends_then_nothing_runs_twice_and_no_promise_is_broken() {
    let mut played = 0;
    for kind in KINDS {
        let mut order = Vec::new();
        for number in 0..FATES.len().pow(4) {
            order.clear();
            order.extend((0..4).map(|place| FATES[number / FATES.len().pow(place) % FATES.len()]));
            expect_that!(play(kind, &order), ok(()), "{kind:?} {order:?}");
            played += 1;
        }
    }
    expect_that!(played, eq(3 * 38_416));
}

#[gtest]
fn given_any_end_after_it_may_have_run_then_it_may_have_run_for_good() {
    for first in FATES.map(Fate::outcome) {
        for second in FATES.map(Fate::outcome) {
            let both = Execution::NotExecuted.after(first).after(second);
            expect_that!(both, eq(Execution::NotExecuted.after(second).after(first)), "{first:?} {second:?}");
            if Execution::NotExecuted.after(first) == Execution::MayHaveExecuted {
                expect_that!(both, eq(Execution::MayHaveExecuted), "{first:?} {second:?}");
            }
        }
    }
}

#[gtest]
fn given_a_status_without_the_endpoints_statement_then_only_a_repeatable_request_gets_it() {
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
    fn given_any_longer_order_then_nothing_runs_twice_and_no_promise_is_broken(
        kind in prop::sample::select(KINDS.to_vec()),
        fates in prop::collection::vec(prop::sample::select(FATES.to_vec()), 5..12),
    ) {
        prop_assert_eq!(play(kind, &fates), Ok(()));
    }
}
