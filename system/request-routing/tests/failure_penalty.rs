//! Tests of the failure penalty: endpoints that fail some of their calls while their peers are healthy.

mod common;

use common::{
    complete, conversation_turn, endpoint_list, list_entry, ms, request, router, send, service_settings,
};
use googletest::prelude::*;
use request_routing::{Outcome, RouteKind, Router, RoutingPolicy, RoutingRequest};
use std::collections::BTreeMap;

/// Sends `count` calls, each of which completes before the next is sent. Returns how many each endpoint received.
fn calls_by_endpoint(
    router: &mut Router,
    from_ms: u64,
    count: u64,
    outcome: impl Fn(&str, u64) -> Outcome,
) -> BTreeMap<String, u64> {
    let mut calls = BTreeMap::new();
    for n in 0..count {
        let at_ms = from_ms + n * 20;
        let request = RoutingRequest {
            arrived_at: ms(at_ms),
            deadline: ms(at_ms + 1_500),
            ..request("tool", RouteKind::Idempotent)
        };
        let target = send(router, ms(at_ms), &request);
        let id = target.instance_id.to_string();
        let call_number = calls.entry(id.clone()).or_insert(0);
        *call_number += 1;
        let outcome = outcome(&id, *call_number);
        complete(router, ms(at_ms + 10), target.key, &request, outcome);
    }
    calls
}

fn three_endpoints() -> Router {
    router(&["grey", "x", "y"].map(|id| list_entry(id, "tool", "a", 8)))
}

/// Fails every other call to `grey`. No two failures are consecutive, so that it is never ejected.
fn alternate_failures(id: &str, call_number: u64) -> Outcome {
    if id == "grey" && call_number % 2 == 1 { Outcome::Reset } else { Outcome::Success }
}

#[gtest]
fn an_endpoint_that_fails_every_other_call_gets_a_fraction_of_its_peers_calls() {
    // 1,000 calls take 20 seconds.
    let calls = calls_by_endpoint(&mut three_endpoints(), 0, 1_000, alternate_failures);
    expect_that!(calls["grey"] * 5, le(calls["x"]));
    // The endpoint still receives some calls, without which its recovery would not be detected.
    expect_that!(calls["grey"], ge(2));
}

#[gtest]
fn a_recovered_endpoint_regains_its_share_within_seconds() {
    let mut router = three_endpoints();
    calls_by_endpoint(&mut router, 0, 100, alternate_failures);
    let calls = calls_by_endpoint(&mut router, 20_000, 300, |_, _| Outcome::Success);
    expect_that!(calls["grey"], ge(70));
}

#[gtest]
fn no_endpoint_is_excluded_when_all_fail_alike() {
    let calls = calls_by_endpoint(&mut three_endpoints(), 0, 300, |_, call_number| {
        if call_number % 3 == 0 { Outcome::Reset } else { Outcome::Success }
    });
    expect_that!(calls.values().min(), some(ge(&60)));
}

#[gtest]
fn session_affinity_is_suspended_after_a_failure() {
    let mut router = router(&["x", "y"].map(|id| list_entry(id, "model", "a", 8)));
    let request = conversation_turn("mine", "p");
    let session_endpoint = send(&mut router, ms(0), &request);
    complete(&mut router, ms(1), session_endpoint.key, &request, Outcome::Success);
    expect_that!(send(&mut router, ms(2), &request).key, eq(session_endpoint.key));
    complete(&mut router, ms(3), session_endpoint.key, &request, Outcome::Reset);
    expect_that!(send(&mut router, ms(4), &request).key, not(eq(session_endpoint.key)));
}

#[gtest]
fn a_partially_failing_endpoint_gets_its_full_share_without_the_failure_penalty() {
    let policy = RoutingPolicy { failure_penalty: false, ..RoutingPolicy::default() };
    let mut router = Router::new("a".to_owned(), 7, policy);
    router.update_services(ms(0), &[service_settings("tool", 1_000, false)]);
    router.update_endpoints(
        ms(0),
        &endpoint_list(&["grey", "x", "y"].map(|id| list_entry(id, "tool", "a", 8))),
    );
    let calls = calls_by_endpoint(&mut router, 0, 300, alternate_failures);
    expect_that!(calls["grey"], ge(70));
}
