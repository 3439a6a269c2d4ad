//! What holds whatever happens.

mod common;

use common::{entry, list, ms, request, router};
use fleet_model::{Endpoint, EndpointState};
use proptest::prelude::*;
use request_routing::{
    AttemptHistory, EndpointKey, GiveUp, Outcome, RetryDecision, RouteKind, RoutingDecision, RoutingRequest,
    ServerLoad, Span, Target, Time,
};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    /// A new request, or the next pick of one.
    Route {
        request_index: usize,
    },
    /// One of the calls out ends.
    End {
        call: usize,
        outcome: Outcome,
        load: Option<u32>,
    },
    /// A new list: for each endpoint whether it is listed, and as ready.
    List(Vec<(bool, bool)>),
    Misdirected(usize),
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
            .prop_map(|(call, outcome, load)| Step::End { call, outcome, load }),
        1 => proptest::collection::vec((any::<bool>(), any::<bool>()), ENDPOINTS).prop_map(Step::List),
        1 => (0_usize..ENDPOINTS).prop_map(Step::Misdirected),
        3 => (0_u64..60_000).prop_map(Step::AdvanceTime),
    ]
}

const REQUESTS: usize = 24;
const ENDPOINTS: usize = 7;

fn fleet() -> Vec<Endpoint> {
    (0..ENDPOINTS)
        .map(|n| {
            let service = if n % 3 == 0 { "model" } else { "tool" };
            entry(&format!("i{n}"), service, if n % 2 == 0 { "a" } else { "b" }, 2 + n as u32)
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

#[derive(Default)]
struct Seen {
    history: AttemptHistory,
    reached: u32,
    ran: bool,
    in_flight: bool,
    over: bool,
}

#[allow(clippy::too_many_lines, reason = "one arm for each kind of event")]
fn simulate(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let fleet = fleet();
    let requests = requests();
    let mut router = router(&fleet);
    let mut now = ms(0);
    let mut seen: Vec<Seen> = (0..REQUESTS).map(|_| Seen::default()).collect();
    let mut calls: Vec<(usize, Target)> = Vec::new();
    let mut ready: BTreeSet<String> = fleet.iter().map(|e| e.instance_id.clone()).collect();
    let mut misdirected: BTreeSet<EndpointKey> = BTreeSet::new();
    let check_end = |request: &RoutingRequest, seen: &Seen, end: GiveUp| {
        if seen.ran && request.kind != RouteKind::Idempotent {
            prop_assert_eq!(end, GiveUp::Failed);
        }
        if !seen.ran {
            prop_assert!(matches!(end, GiveUp::Refused { .. }), "nothing ran, and it says {:?}", end);
        }
        Ok(())
    };
    for step in steps {
        match step {
            Step::Route { request_index } => {
                let (request, seen) = (&requests[request_index], &mut seen[request_index]);
                if seen.in_flight || seen.over {
                    continue;
                }
                match router.pick(now, request, &seen.history) {
                    RoutingDecision::Send(target) => {
                        prop_assert!(
                            ready.contains(&*target.instance_id),
                            "{} is not ready",
                            target.instance_id
                        );
                        prop_assert!(
                            !misdirected.contains(&target.key),
                            "{} is another's",
                            target.instance_id
                        );
                        let listed = fleet.iter().find(|e| e.instance_id == *target.instance_id).unwrap();
                        prop_assert_eq!(&listed.service, &request.service);
                        prop_assert_eq!(listed.address, target.address);
                        prop_assert!(
                            !(seen.ran && request.kind != RouteKind::Idempotent),
                            "it may run twice"
                        );
                        prop_assert!(seen.reached < request.max_attempts, "one send too many");
                        prop_assert!(now <= request.deadline && now >= seen.history.not_before);
                        seen.in_flight = true;
                        calls.push((request_index, target));
                    }
                    RoutingDecision::Wait(Span(span)) => {
                        prop_assert!(span > 0);
                        prop_assert!(now.after(span as f64) <= request.deadline, "it waits past its end");
                    }
                    RoutingDecision::GiveUp(end) => {
                        check_end(request, seen, end)?;
                        seen.over = true;
                    }
                }
            }
            Step::End { call, outcome, load } => {
                if calls.is_empty() {
                    continue;
                }
                let (request_index, target) = calls.swap_remove(call % calls.len());
                let (request, seen) = (&requests[request_index], &mut seen[request_index]);
                let load = load.map(|running| ServerLoad { running, waiting: running / 4, slots: 8 });
                router.record_completion(now, target.key, request, outcome, load, Span(5_000));
                seen.in_flight = false;
                seen.ran |= outcome.may_have_executed();
                seen.reached +=
                    u32::from(!matches!(outcome, Outcome::ConnectFailed | Outcome::Void | Outcome::NoRoom));
                if outcome == Outcome::Success {
                    seen.over = true;
                } else if let RetryDecision::GiveUp(end) =
                    router.decide_retry(now, request, &mut seen.history, target.key, outcome)
                {
                    check_end(request, seen, end)?;
                    seen.over = true;
                }
            }
            Step::List(states) => {
                let mut listed = Vec::new();
                ready.clear();
                for (endpoint, (here, is_ready)) in fleet.iter().zip(states) {
                    let state = if is_ready { EndpointState::Ready } else { EndpointState::Draining };
                    if here {
                        listed.push(Endpoint { state, ..endpoint.clone() });
                    }
                    if here && is_ready {
                        ready.insert(endpoint.instance_id.clone());
                    }
                }
                router.update_endpoints(now, &list(&listed));
                // What a list says of an entry anew may open it again.
                misdirected.clear();
            }
            Step::Misdirected(n) => {
                if let Some(view) = router.endpoint_views().get(n) {
                    router.mark_misdirected(now, view.key);
                    misdirected.insert(view.key);
                }
            }
            Step::AdvanceTime(span) => now = now.after(span as f64),
        }
    }
    // Calls out are counted as they are.
    let mut in_flight: BTreeMap<EndpointKey, u32> = BTreeMap::new();
    for (_, target) in &calls {
        *in_flight.entry(target.key).or_default() += 1;
    }
    for view in router.endpoint_views() {
        prop_assert_eq!(view.in_flight, in_flight.remove(&view.key).unwrap_or(0));
    }
    prop_assert!(in_flight.is_empty(), "calls at endpoints that are forgotten");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_after_any_sequence_of_events(steps in proptest::collection::vec(step(), 1..250)) {
        simulate(steps)?;
    }
}
