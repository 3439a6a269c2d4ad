//! Endpoints that fail part of their calls while others are sound.

mod common;

use common::{end, entry, list, ms, request, router, send, service_settings, turn};
use googletest::prelude::*;
use request_routing::{Outcome, RouteKind, Router, RoutingPolicy, RoutingRequest};
use std::collections::BTreeMap;

/// Calls one after the other, each of which ends at once; how many each endpoint got.
fn calls(
    router: &mut Router,
    from_ms: u64,
    count: u64,
    outcome: impl Fn(&str, u64) -> Outcome,
) -> BTreeMap<String, u64> {
    let mut got = BTreeMap::new();
    for n in 0..count {
        let at_ms = from_ms + n * 20;
        let request = RoutingRequest {
            arrived_at: ms(at_ms),
            deadline: ms(at_ms + 1_500),
            ..request("tool", RouteKind::Idempotent)
        };
        let target = send(router, ms(at_ms), &request);
        let id = target.instance_id.to_string();
        let nth = got.entry(id.clone()).or_insert(0);
        *nth += 1;
        let outcome = outcome(&id, *nth);
        end(router, ms(at_ms + 10), target.key, &request, outcome);
    }
    got
}

fn three() -> Router {
    router(&["grey", "x", "y"].map(|id| entry(id, "tool", "a", 8)))
}

/// Every other call fails: no two in a row, so that it is never ejected.
fn half_fail(id: &str, nth: u64) -> Outcome {
    if id == "grey" && nth % 2 == 1 { Outcome::Reset } else { Outcome::Success }
}

#[gtest]
fn an_endpoint_that_fails_every_other_call_gets_a_fraction_of_its_peers_calls() {
    // For 20 seconds.
    let got = calls(&mut three(), 0, 1_000, half_fail);
    expect_that!(got["grey"] * 5, le(got["x"]));
    // It is tried again now and then, or it would never be found sound.
    expect_that!(got["grey"], ge(2));
}

#[gtest]
fn a_recovered_endpoint_regains_its_share_within_seconds() {
    let mut router = three();
    calls(&mut router, 0, 100, half_fail);
    let got = calls(&mut router, 20_000, 300, |_, _| Outcome::Success);
    expect_that!(got["grey"], ge(70));
}

#[gtest]
fn no_endpoint_is_excluded_when_all_fail_alike() {
    let got =
        calls(&mut three(), 0, 300, |_, nth| if nth % 3 == 0 { Outcome::Reset } else { Outcome::Success });
    expect_that!(got.values().min(), some(ge(&60)));
}

#[gtest]
fn session_affinity_is_suspended_after_a_failure() {
    let mut router = router(&["x", "y"].map(|id| entry(id, "model", "a", 8)));
    let request = turn("mine", "p");
    let home = send(&mut router, ms(0), &request);
    end(&mut router, ms(1), home.key, &request, Outcome::Success);
    expect_that!(send(&mut router, ms(2), &request).key, eq(home.key));
    end(&mut router, ms(3), home.key, &request, Outcome::Reset);
    expect_that!(send(&mut router, ms(4), &request).key, not(eq(home.key)));
}

#[gtest]
fn without_the_failure_penalty_a_partially_failed_endpoint_gets_its_share() {
    let policy = RoutingPolicy { failure_penalty: false, ..RoutingPolicy::default() };
    let mut router = Router::new("a".to_owned(), 7, policy);
    router.update_services(ms(0), &[service_settings("tool", 1_000, false)]);
    router.update_endpoints(ms(0), &list(&["grey", "x", "y"].map(|id| entry(id, "tool", "a", 8))));
    let got = calls(&mut router, 0, 300, half_fail);
    expect_that!(got["grey"], ge(70));
}
