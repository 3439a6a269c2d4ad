//! Invariants of the router, checked after random sequences of requests, completions, lists and time steps.

mod common;

use common::{endpoint_list, list_entry, ms, request, router};
use fleet_model::{Endpoint, EndpointState};
use proptest::prelude::*;
use request_routing::{
    AttemptHistory, EndpointKey, GiveUp, Outcome, RetryDecision, RouteKind, RoutingDecision, RoutingRequest,
    SendTarget, ServerLoad, Span, Time,
};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    /// Routes a request, for the first time or again.
    Route {
        request_index: usize,
    },
    /// Completes one of the calls in flight.
    Complete {
        call: usize,
        outcome: Outcome,
        load: Option<u32>,
    },
    /// Applies a new list: for each endpoint, whether it is listed and whether it is ready.
    UpdateList(Vec<(bool, bool)>),
    MarkMisdirected(usize),
    AdvanceTime(u64),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Success),
        Just(Outcome::Failure),
        Just(Outcome::Full(None)),
        (1_u64..500_000).prop_map(|wait| Outcome::Full(Some(Span(wait)))),
        Just(Outcome::TimedOut),
        Just(Outcome::ConnectFailed),
        Just(Outcome::Reset),
        Just(Outcome::Cancelled),
        Just(Outcome::Void),
        Just(Outcome::NoRoom),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_usize..REQUESTS).prop_map(|request_index| Step::Route { request_index }),
        4 => (0_usize..64, outcome(), proptest::option::of(0_u32..20))
            .prop_map(|(call, outcome, load)| Step::Complete { call, outcome, load }),
        1 => proptest::collection::vec((any::<bool>(), any::<bool>()), ENDPOINTS).prop_map(Step::UpdateList),
        1 => (0_usize..ENDPOINTS).prop_map(Step::MarkMisdirected),
        3 => (0_u64..60_000).prop_map(Step::AdvanceTime),
    ]
}

const REQUESTS: usize = 24;
const ENDPOINTS: usize = 7;

fn fleet() -> Vec<Endpoint> {
    (0..ENDPOINTS)
        .map(|n| {
            let service = if n % 3 == 0 { "model" } else { "tool" };
            list_entry(&format!("i{n}"), service, if n % 2 == 0 { "a" } else { "b" }, 2 + n as u32)
        })
        .collect()
}

fn requests() -> Vec<RoutingRequest> {
    (0..REQUESTS)
        .map(|n| RoutingRequest {
            kind: [RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::Streaming][n % 3],
            service: if n % 2 == 0 { "tool".to_owned() } else { "model".to_owned() },
            session: (n % 4 == 1).then(|| format!("s{}", n % 8)),
            prefix_id: (n % 2 == 1).then(|| "p".to_owned()),
            priority: (n % 3) as u8,
            arrived_at: Time(ms(0).0 + n as u64),
            max_attempts: 1 + (n % 4) as u32,
            ..request("tool", RouteKind::Idempotent)
        })
        .collect()
}

/// The state of a request as the test tracks it, independently of the router.
#[derive(Default)]
struct RequestState {
    history: AttemptHistory,
    /// Attempts that reached an endpoint.
    attempts: u32,
    may_have_executed: bool,
    in_flight: bool,
    finished: bool,
}

#[allow(clippy::too_many_lines, reason = "one arm for each kind of event")]
fn simulate(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let fleet = fleet();
    let requests = requests();
    let mut router = router(&fleet);
    let mut now = ms(0);
    let mut states: Vec<RequestState> = (0..REQUESTS).map(|_| RequestState::default()).collect();
    let mut calls: Vec<(usize, SendTarget)> = Vec::new();
    let mut ready: BTreeSet<String> = fleet.iter().map(|endpoint| endpoint.instance_id.clone()).collect();
    let mut misdirected: BTreeSet<EndpointKey> = BTreeSet::new();
    let check_give_up = |request: &RoutingRequest, state: &RequestState, give_up: GiveUp| {
        if state.may_have_executed && request.kind != RouteKind::Idempotent {
            prop_assert_eq!(give_up, GiveUp::Failed);
        }
        if !state.may_have_executed {
            prop_assert!(
                matches!(give_up, GiveUp::Refused { .. }),
                "no attempt can have executed, but the result is {:?}",
                give_up
            );
        }
        Ok(())
    };
    for step in steps {
        match step {
            Step::Route { request_index } => {
                let (request, state) = (&requests[request_index], &mut states[request_index]);
                if state.in_flight || state.finished {
                    continue;
                }
                match router.pick(now, request, &state.history) {
                    RoutingDecision::Send(target) => {
                        prop_assert!(
                            ready.contains(&*target.instance_id),
                            "{} is not ready",
                            target.instance_id
                        );
                        prop_assert!(
                            !misdirected.contains(&target.key),
                            "{} is misdirected",
                            target.instance_id
                        );
                        let listed = fleet
                            .iter()
                            .find(|endpoint| endpoint.instance_id == *target.instance_id)
                            .unwrap();
                        prop_assert_eq!(&listed.service, &request.service);
                        prop_assert_eq!(listed.address, target.address);
                        prop_assert!(
                            !(state.may_have_executed && request.kind != RouteKind::Idempotent),
                            "the request may execute twice"
                        );
                        prop_assert!(state.attempts < request.max_attempts, "more attempts than allowed");
                        prop_assert!(now <= request.deadline && now >= state.history.not_before);
                        state.in_flight = true;
                        calls.push((request_index, target));
                    }
                    RoutingDecision::Wait(Span(span)) => {
                        prop_assert!(span > 0);
                        prop_assert!(
                            now.after(span as f64) <= request.deadline,
                            "the wait exceeds the deadline"
                        );
                    }
                    RoutingDecision::GiveUp(give_up) => {
                        check_give_up(request, state, give_up)?;
                        state.finished = true;
                    }
                }
            }
            Step::Complete { call, outcome, load } => {
                if calls.is_empty() {
                    continue;
                }
                let (request_index, target) = calls.swap_remove(call % calls.len());
                let (request, state) = (&requests[request_index], &mut states[request_index]);
                let load = load.map(|running| ServerLoad { running, waiting: running / 4, slots: 8 });
                router.record_completion(now, target.key, request, outcome, load, Span(5_000));
                state.in_flight = false;
                state.may_have_executed |= outcome.may_have_executed();
                state.attempts +=
                    u32::from(!matches!(outcome, Outcome::ConnectFailed | Outcome::Void | Outcome::NoRoom));
                if outcome == Outcome::Success {
                    state.finished = true;
                } else if let RetryDecision::GiveUp(give_up) =
                    router.decide_retry(now, request, &mut state.history, target.key, outcome)
                {
                    check_give_up(request, state, give_up)?;
                    state.finished = true;
                }
            }
            Step::UpdateList(entries) => {
                let mut listed = Vec::new();
                ready.clear();
                for (endpoint, (is_listed, is_ready)) in fleet.iter().zip(entries) {
                    let state = if is_ready { EndpointState::Ready } else { EndpointState::Draining };
                    if is_listed {
                        listed.push(Endpoint { state, ..endpoint.clone() });
                    }
                    if is_listed && is_ready {
                        ready.insert(endpoint.instance_id.clone());
                    }
                }
                router.update_endpoints(now, &endpoint_list(&listed));
                // A list may clear the mark of an endpoint whose entry changed.
                misdirected.clear();
            }
            Step::MarkMisdirected(n) => {
                if let Some(view) = router.endpoint_views().get(n) {
                    router.mark_misdirected(now, view.key);
                    misdirected.insert(view.key);
                }
            }
            Step::AdvanceTime(span) => now = now.after(span as f64),
        }
    }
    // The router counts exactly the calls that have not completed.
    let mut in_flight: BTreeMap<EndpointKey, u32> = BTreeMap::new();
    for (_, target) in &calls {
        *in_flight.entry(target.key).or_default() += 1;
    }
    for view in router.endpoint_views() {
        prop_assert_eq!(view.in_flight, in_flight.remove(&view.key).unwrap_or(0));
    }
    prop_assert!(in_flight.is_empty(), "an endpoint was removed while its calls are in flight");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_after_any_sequence_of_events(steps in proptest::collection::vec(step(), 1..250)) {
        simulate(steps)?;
    }
}
