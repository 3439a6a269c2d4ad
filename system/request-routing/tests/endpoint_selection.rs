//! Tests of endpoint selection and admission.

mod common;

use common::{
    MS, complete, conversation_turn, draining, endpoint_list, expect_send, list_entry, ms, request, router,
    send, service_settings,
};
use googletest::prelude::*;
use request_routing::{
    AttemptHistory, Outcome, RouteKind, Router, RoutingDecision, RoutingPolicy, RoutingRequest, ServerLoad,
    Span, Time, UnavailableReason,
};
use std::collections::BTreeMap;

/// Sends `count` calls and returns how many each endpoint received.
fn calls_by_endpoint(
    router: &mut Router,
    now: Time,
    request: &RoutingRequest,
    count: usize,
) -> BTreeMap<String, usize> {
    let mut calls = BTreeMap::new();
    for _ in 0..count {
        *calls.entry(send(router, now, request).instance_id.to_string()).or_insert(0) += 1;
    }
    calls
}

#[gtest]
fn the_local_zone_gets_all_calls_while_it_has_slots() {
    let mut router = router(&[list_entry("near", "tool", "a", 4), list_entry("far", "tool", "b", 4)]);
    let request = request("tool", RouteKind::Idempotent);
    expect_that!(
        calls_by_endpoint(&mut router, ms(0), &request, 4),
        eq(&BTreeMap::from([("near".to_owned(), 4)]))
    );
}

#[gtest]
fn a_full_local_zone_spills_over_to_a_remote_zone() {
    let mut router = router(&[list_entry("near", "tool", "a", 4), list_entry("far", "tool", "b", 8)]);
    let request = request("tool", RouteKind::Idempotent);
    calls_by_endpoint(&mut router, ms(0), &request, 4);
    expect_that!(&*send(&mut router, ms(0), &request).instance_id, eq("far"));
}

#[gtest]
fn calls_spread_evenly_over_equal_endpoints() {
    let mut router = router(&[list_entry("x", "tool", "a", 8), list_entry("y", "tool", "a", 8)]);
    let request = request("tool", RouteKind::NonIdempotent);
    expect_that!(
        calls_by_endpoint(&mut router, ms(0), &request, 8).into_values().collect::<Vec<_>>(),
        elements_are![eq(&4), eq(&4)]
    );
}

#[gtest]
fn a_load_report_diverts_calls_until_it_has_decayed() {
    let mut router = router(&[list_entry("x", "tool", "a", 8), list_entry("y", "tool", "a", 8)]);
    let request = request("tool", RouteKind::Idempotent);
    let busy = send(&mut router, ms(0), &request);
    router.record_completion(
        ms(1),
        busy.key,
        &request,
        Outcome::Success,
        Some(ServerLoad { running: 6, waiting: 0, slots: 8 }),
        Span(20 * MS),
    );
    let other = send(&mut router, ms(1), &request);
    expect_that!(other.key, not(eq(busy.key)));
    complete(&mut router, ms(2), other.key, &request, Outcome::Success);
    // By then the report has decayed so far that one call at the other endpoint outweighs it.
    let request = RoutingRequest { arrived_at: ms(3_000), deadline: ms(4_500), ..request };
    let keys: Vec<_> = (0..2).map(|_| send(&mut router, ms(3_000), &request).key).collect();
    expect_that!(keys, unordered_elements_are![eq(&busy.key), eq(&other.key)]);
}

#[gtest]
fn a_much_slower_endpoint_gets_fewer_calls() {
    let mut router = router(&[list_entry("x", "tool", "a", 20), list_entry("y", "tool", "a", 20)]);
    let request = request("tool", RouteKind::Idempotent);
    let (fast, slow) = (send(&mut router, ms(0), &request), send(&mut router, ms(0), &request));
    router.record_completion(ms(1), fast.key, &request, Outcome::Success, None, Span(10 * MS));
    router.record_completion(ms(1), slow.key, &request, Outcome::Success, None, Span(300 * MS));
    let calls = calls_by_endpoint(&mut router, ms(2), &request, 12);
    expect_that!(calls[&*slow.instance_id], lt(calls[&*fast.instance_id]));
    expect_that!(calls[&*slow.instance_id], gt(0));
}

#[gtest]
fn a_draining_endpoint_gets_no_calls_even_if_a_later_list_states_it_is_ready() {
    let (x, y) = (list_entry("x", "tool", "a", 8), list_entry("y", "tool", "a", 8));
    let mut router = router(&[x.clone(), y.clone()]);
    let request = request("tool", RouteKind::Idempotent);
    router.update_endpoints(ms(1), &endpoint_list(&[draining(x.clone()), y.clone()]));
    expect_that!(
        calls_by_endpoint(&mut router, ms(1), &request, 3),
        eq(&BTreeMap::from([("y".to_owned(), 3)]))
    );
    router.update_endpoints(ms(2), &endpoint_list(&[x, y]));
    expect_that!(
        calls_by_endpoint(&mut router, ms(2), &request, 3),
        eq(&BTreeMap::from([("y".to_owned(), 3)]))
    );
}

#[gtest]
fn an_unlisted_endpoint_is_removed_once_its_calls_complete() {
    let x = list_entry("x", "tool", "a", 8);
    let mut router = router(std::slice::from_ref(&x));
    let request = request("tool", RouteKind::Idempotent);
    let target = send(&mut router, ms(0), &request);
    router.update_endpoints(ms(1), &endpoint_list(&[]));
    expect_that!(
        router.pick(ms(1), &request, &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::Wait(_))
    );
    expect_that!(router.endpoint_views()[0].unavailable, some(eq(UnavailableReason::Unlisted)));
    complete(&mut router, ms(2), target.key, &request, Outcome::Success);
    router.update_endpoints(ms(3), &endpoint_list(&[]));
    expect_that!(router.endpoint_views(), is_empty());
}

#[gtest]
fn a_new_incarnation_at_an_address_gets_a_new_key() {
    let x = list_entry("x", "tool", "a", 8);
    let mut successor = list_entry("z", "tool", "a", 8);
    successor.address = x.address;
    let mut router = router(std::slice::from_ref(&x));
    let request = request("tool", RouteKind::Idempotent);
    let old = send(&mut router, ms(0), &request);
    router.update_endpoints(ms(1), &endpoint_list(&[successor]));
    let new = send(&mut router, ms(1), &request);
    expect_that!(&*new.instance_id, eq("z"));
    expect_that!(new.key, not(eq(old.key)));
}

#[gtest]
fn an_address_that_moved_serves_only_its_new_service() {
    let x = list_entry("x", "tool", "a", 8);
    let mut router = router(std::slice::from_ref(&x));
    let mut moved = x;
    moved.service = "model".to_owned();
    router.update_endpoints(ms(1), &endpoint_list(&[moved]));
    let tool = request("tool", RouteKind::Idempotent);
    expect_that!(
        router.pick(ms(1), &tool, &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::Wait(_))
    );
    expect_that!(&*send(&mut router, ms(1), &conversation_turn("s", "p")).instance_id, eq("x"));
}

#[gtest]
fn a_misdirected_endpoint_is_used_again_once_its_list_entry_changes() {
    let x = list_entry("x", "tool", "a", 8);
    let mut router = router(std::slice::from_ref(&x));
    let request = request("tool", RouteKind::Idempotent);
    let target = send(&mut router, ms(0), &request);
    complete(&mut router, ms(0), target.key, &request, Outcome::Void);
    router.mark_misdirected(ms(0), target.key);
    router.update_endpoints(ms(1), &endpoint_list(std::slice::from_ref(&x)));
    expect_that!(
        router.pick(ms(1), &request, &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::Wait(_))
    );
    expect_that!(router.endpoint_views()[0].unavailable, some(eq(UnavailableReason::Misdirected)));
    router.update_endpoints(ms(2), &endpoint_list(&[list_entry("x", "tool", "a", 9)]));
    send(&mut router, ms(2), &request);
}

fn engine_entries(count: usize) -> Vec<fleet_model::Endpoint> {
    (0..count).map(|n| list_entry(&format!("e{n}"), "model", "a", 16)).collect()
}

#[gtest]
fn prefix_affinity_yields_when_the_endpoint_is_overloaded() {
    let mut router = router(&engine_entries(4));
    let loads = (0..20).fold(BTreeMap::new(), |mut loads, n| {
        let id = send(&mut router, ms(0), &conversation_turn(&format!("s{n}"), "p")).instance_id;
        *loads.entry(id).or_insert(0) += 1;
        loads
    });
    expect_that!(loads.len(), ge(3));
    // A call is sent while the load is at most 1.25 x the mean of 5 calls, plus 2, so that it may exceed the bound by
    // one.
    expect_that!(loads.values().max(), some(le(&9)));
}

#[gtest]
fn a_session_stays_at_its_endpoint_unless_that_is_overloaded_or_draining() {
    let engines = engine_entries(3);
    let mut router = router(&engines);
    let other_session_endpoint = send(&mut router, ms(0), &conversation_turn("other", "p"));
    let history =
        AttemptHistory { avoided_endpoints: vec![other_session_endpoint.key], ..AttemptHistory::default() };
    let request = conversation_turn("mine", "p");
    let session_endpoint = expect_send(router.pick(ms(0), &request, &history));
    expect_that!(session_endpoint.key, not(eq(other_session_endpoint.key)));
    complete(&mut router, ms(1), session_endpoint.key, &request, Outcome::Success);
    expect_that!(send(&mut router, ms(2), &request).key, eq(session_endpoint.key));
    let load = ServerLoad { running: 12, waiting: 0, slots: 16 };
    router.record_load(ms(3), session_endpoint.key, load);
    expect_that!(send(&mut router, ms(3), &request).key, not(eq(session_endpoint.key)));
    let later = RoutingRequest { arrived_at: ms(9_000), deadline: ms(15_000), ..request };
    expect_that!(send(&mut router, ms(9_000), &later).key, eq(session_endpoint.key));
    let remaining: Vec<_> =
        engines.into_iter().filter(|engine| engine.instance_id != *session_endpoint.instance_id).collect();
    router.update_endpoints(ms(9_001), &endpoint_list(&remaining));
    expect_that!(send(&mut router, ms(9_001), &later).key, not(eq(session_endpoint.key)));
}

#[gtest]
fn a_turn_goes_to_the_endpoint_of_the_previous_turn_even_if_this_proxy_last_used_another() {
    let engines = engine_entries(6);
    let mut router = router(&engines);
    let first = conversation_turn("mine", "p");
    let last_used = send(&mut router, ms(0), &first);
    complete(&mut router, ms(1), last_used.key, &first, Outcome::Success);
    for (n, engine) in engines.iter().enumerate() {
        let previous_endpoint = Some(engine.instance_id.as_str().into());
        let next_turn = RoutingRequest {
            continues_conversation: true,
            previous_endpoint,
            ..conversation_turn("mine", "p")
        };
        let now = ms(10 + n as u64);
        let target = send(&mut router, now, &next_turn);
        expect_that!(*target.instance_id, eq(&engine.instance_id));
        complete(&mut router, now, target.key, &next_turn, Outcome::Success);
    }
    let to_unlisted_endpoint = RoutingRequest {
        previous_endpoint: Some("gone".into()),
        continues_conversation: true,
        ..conversation_turn("mine", "p")
    };
    send(&mut router, ms(20), &to_unlisted_endpoint);
    expect_that!(router.placement_metrics().continued_unusable, eq(1));
}

#[gtest]
fn a_conversation_stays_at_an_endpoint_that_is_as_loaded_as_its_peers_were_when_they_last_reported() {
    let engines: Vec<_> = (0..17).map(|n| list_entry(&format!("e{n}"), "model", "a", 24)).collect();
    let mut router = router(&engines);
    let keys: Vec<_> = router.endpoint_views().iter().map(|view| view.key).collect();
    let load = ServerLoad { running: 8, waiting: 0, slots: 24 };
    // With many proxies, each of them receives a load report of an endpoint only every second or two.
    for (n, key) in keys.iter().enumerate() {
        router.record_load(ms(100 * n as u64), *key, load);
    }
    let session_endpoint = &engines[16].instance_id;
    let previous_endpoint = Some(session_endpoint.as_str().into());
    let (arrived_at, deadline) = (ms(1_650), ms(7_650));
    let next_turn =
        RoutingRequest { previous_endpoint, arrived_at, deadline, ..conversation_turn("mine", "p") };
    expect_that!(*send(&mut router, ms(1_650), &next_turn).instance_id, eq(session_endpoint));
    let overloaded = ServerLoad { running: 18, ..load };
    router.record_load(ms(1_700), keys[16], overloaded);
    expect_that!(*send(&mut router, ms(1_700), &next_turn).instance_id, not(eq(session_endpoint)));
}

#[gtest]
fn placement_metrics_count_why_a_conversation_left_its_endpoint() {
    let engines = engine_entries(3);
    let mut router = router(&engines);
    let first = conversation_turn("mine", "p");
    let session_endpoint = send(&mut router, ms(0), &first);
    complete(&mut router, ms(1), session_endpoint.key, &first, Outcome::Success);
    let next_turn = RoutingRequest { continues_conversation: true, ..first };
    send(&mut router, ms(2), &next_turn);
    let of_unknown_session =
        RoutingRequest { continues_conversation: true, ..conversation_turn("other", "p") };
    send(&mut router, ms(2), &of_unknown_session);
    router.record_load(ms(3), session_endpoint.key, ServerLoad { running: 12, waiting: 0, slots: 16 });
    send(&mut router, ms(3), &next_turn);
    let remaining: Vec<_> =
        engines.into_iter().filter(|engine| engine.instance_id != *session_endpoint.instance_id).collect();
    router.update_endpoints(ms(4), &endpoint_list(&remaining));
    send(&mut router, ms(4), &next_turn);
    let metrics = router.placement_metrics();
    expect_that!(metrics.by_session, eq(1));
    expect_that!(metrics.by_local_load, eq(4));
    expect_that!(metrics.continued, eq(4));
    expect_that!(metrics.continued_unknown, eq(1));
    expect_that!(metrics.continued_overloaded, eq(1));
    expect_that!(metrics.continued_unusable, eq(1));
    expect_that!(metrics.continued_tokens_elsewhere, eq(3_000));
}

#[gtest]
fn a_request_waits_while_all_engine_slots_are_occupied() {
    let mut router = router(&[list_entry("e", "model", "a", 3)]);
    for n in 0..3 {
        send(&mut router, ms(0), &conversation_turn(&format!("s{n}"), "p"));
    }
    expect_that!(
        router.pick(ms(0), &conversation_turn("s", "p"), &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::Wait(_))
    );
}

#[gtest]
fn only_a_few_calls_queue_at_a_plain_endpoint_without_free_slots() {
    let mut router = router(&[list_entry("x", "tool", "a", 4)]);
    let request = request("tool", RouteKind::Idempotent);
    let mut sent_calls = 0;
    while let RoutingDecision::Send(_) = router.pick(ms(0), &request, &AttemptHistory::default()) {
        sent_calls += 1;
    }
    expect_that!(sent_calls, eq(6));
}

#[gtest]
fn each_proxy_sends_its_share_to_an_endpoint_that_reports_no_free_slots() {
    let mut router = router(&[list_entry("x", "tool", "a", 4)]);
    router.set_proxy_count(ms(0), 8);
    let request = request("tool", RouteKind::Idempotent);
    let first = send(&mut router, ms(0), &request);
    router.record_load(ms(0), first.key, ServerLoad { running: 4, waiting: 4, slots: 4 });
    send(&mut router, ms(0), &request);
    expect_that!(
        router.pick(ms(0), &request, &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::Wait(_))
    );
}

#[gtest]
fn no_connection_is_opened_beyond_this_proxys_share() {
    let mut router = Router::new("a".to_owned(), 1, RoutingPolicy::default());
    router.update_services(ms(0), &[service_settings("tool", 40, false)]);
    router.set_proxy_count(ms(0), 12);
    router.update_endpoints(ms(0), &endpoint_list(&[list_entry("x", "tool", "a", 50)]));
    let request = request("tool", RouteKind::Idempotent);
    // floor(0.9 x 40 / 12) = 3
    let first = send(&mut router, ms(0), &request);
    expect_that!(first.may_open_connection, eq(true));
    for _ in 0..3 {
        router.record_connection_opened(first.key);
    }
    expect_that!(send(&mut router, ms(0), &request).may_open_connection, eq(false));
    router.record_connection_closed(first.key);
    expect_that!(send(&mut router, ms(0), &request).may_open_connection, eq(true));
    expect_that!(
        router.pick(ms(0), &request, &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::Wait(_))
    );
}

#[gtest]
fn low_priority_yields_to_a_waiting_request_except_for_its_minimum_share() {
    let mut router = router(&[list_entry("e", "model", "a", 10)]);
    let (high_priority, low_priority) = (
        RoutingRequest { priority: 0, arrived_at: Time(ms(0).0 + 1), ..conversation_turn("u", "p") },
        RoutingRequest { priority: 3, arrived_at: Time(ms(0).0 + 2), ..conversation_turn("v", "p") },
    );
    let targets: Vec<_> = (0..10).map(|_| send(&mut router, ms(0), &low_priority)).collect();
    expect_that!(
        router.pick(ms(0), &high_priority, &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::Wait(_))
    );
    complete(&mut router, ms(1), targets[0].key, &low_priority, Outcome::Success);
    expect_that!(
        router.pick(ms(1), &low_priority, &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::Wait(_))
    );
    send(&mut router, ms(1), &high_priority);
}

#[gtest]
fn a_starved_low_priority_gets_the_next_free_slot() {
    let mut router = router(&[list_entry("e", "model", "a", 10)]);
    let (high_priority, low_priority) = (
        RoutingRequest { priority: 0, arrived_at: Time(ms(0).0 + 1), ..conversation_turn("u", "p") },
        RoutingRequest { priority: 3, arrived_at: Time(ms(0).0 + 2), ..conversation_turn("v", "p") },
    );
    let targets: Vec<_> = (0..10).map(|_| send(&mut router, ms(0), &high_priority)).collect();
    expect_that!(
        router.pick(ms(0), &low_priority, &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::Wait(_))
    );
    complete(&mut router, ms(1), targets[0].key, &high_priority, Outcome::Success);
    expect_that!(
        router.pick(ms(1), &high_priority, &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::Wait(_))
    );
    send(&mut router, ms(1), &low_priority);
}

#[gtest]
fn no_request_yields_to_an_abandoned_one() {
    let mut router = router(&[list_entry("e", "model", "a", 10)]);
    let high_priority =
        RoutingRequest { priority: 0, arrived_at: Time(ms(0).0 + 1), ..conversation_turn("u", "p") };
    let low_priority =
        RoutingRequest { priority: 3, arrived_at: Time(ms(0).0 + 2), ..conversation_turn("v", "p") };
    let targets: Vec<_> = (0..10).map(|_| send(&mut router, ms(0), &low_priority)).collect();
    router.pick(ms(0), &high_priority, &AttemptHistory::default());
    complete(&mut router, ms(1), targets[0].key, &low_priority, Outcome::Success);
    expect_that!(
        router.pick(ms(1), &low_priority, &AttemptHistory::default()),
        matches_pattern!(RoutingDecision::Wait(_))
    );
    let later = RoutingRequest { arrived_at: ms(200), ..low_priority };
    send(&mut router, ms(200), &later);
}
