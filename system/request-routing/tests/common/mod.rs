//! Fixtures: endpoint lists, requests and a configured router.
#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

use fleet_model::{Endpoint, EndpointList, EndpointState, ListVersion};
use request_routing::{
    AttemptHistory, EndpointKey, Outcome, RetryDecision, RouteKind, Router, RoutingDecision, RoutingPolicy,
    RoutingRequest, SendTarget, ServiceSettings, Span, Time,
};

pub(crate) const MS: u64 = 1_000;

/// The time `millis` milliseconds after the start of a test.
pub(crate) fn ms(millis: u64) -> Time {
    Time(1_000_000 + millis * MS)
}

pub(crate) fn list_entry(id: &str, service: &str, zone: &str, slots: u32) -> Endpoint {
    let id_hash = id.bytes().fold(0_u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)));
    Endpoint {
        instance_id: id.to_owned(),
        service: service.to_owned(),
        address: std::net::SocketAddrV4::new((0x0a00_0000 | (id_hash & 0xff_ffff)).into(), 8080),
        zone: zone.to_owned(),
        capacity_slots: slots,
        state: EndpointState::Ready,
    }
}

pub(crate) fn draining(mut entry: Endpoint) -> Endpoint {
    entry.state = EndpointState::Draining;
    entry
}

pub(crate) fn endpoint_list(endpoints: &[Endpoint]) -> EndpointList {
    EndpointList { version: ListVersion::new(1, 1), endpoints: endpoints.to_vec() }
}

pub(crate) fn service_settings(name: &str, max_connections: u32, engine: bool) -> ServiceSettings {
    ServiceSettings {
        name: name.to_owned(),
        max_connections,
        is_engine: engine,
        slots: None,
        cache_tokens: None,
    }
}

/// A router in zone `a` with two services: `tool`, and the model service `model`.
pub(crate) fn router(endpoints: &[Endpoint]) -> Router {
    let mut router = Router::new("a".to_owned(), 7, RoutingPolicy::default());
    router.update_services(
        ms(0),
        &[service_settings("tool", 1_000, false), service_settings("model", 1_000, true)],
    );
    router.update_endpoints(ms(0), &endpoint_list(endpoints));
    router
}

pub(crate) fn request(service: &str, kind: RouteKind) -> RoutingRequest {
    RoutingRequest {
        service: service.to_owned(),
        kind,
        resumable: false,
        session: None,
        continues_conversation: false,
        previous_endpoint: None,
        prefix_id: None,
        prefix_tokens: 0,
        total_tokens: 0,
        priority: 1,
        arrived_at: ms(0),
        deadline: ms(1_500),
        latency_target: Span(250 * MS),
        max_attempts: 3,
    }
}

/// A streaming request of this session to the service `model`, with a shared prefix.
pub(crate) fn conversation_turn(session: &str, prefix_id: &str) -> RoutingRequest {
    RoutingRequest {
        session: Some(session.to_owned()),
        prefix_id: Some(prefix_id.to_owned()),
        prefix_tokens: 2_000,
        total_tokens: 3_000,
        ..request("model", RouteKind::Streaming)
    }
}

pub(crate) fn expect_send(decision: RoutingDecision) -> SendTarget {
    match decision {
        RoutingDecision::Send(target) => target,
        other => panic!("expected a send, got {other:?}"),
    }
}

/// Routes a first attempt, which must be sent, and returns its target.
pub(crate) fn send(router: &mut Router, now: Time, request: &RoutingRequest) -> SendTarget {
    expect_send(router.pick(now, request, &AttemptHistory::default()))
}

pub(crate) fn complete(
    router: &mut Router,
    now: Time,
    key: EndpointKey,
    request: &RoutingRequest,
    outcome: Outcome,
) {
    router.record_completion(now, key, request, outcome, None, Span(20 * MS));
}

/// Routes an attempt, completes it with `outcome` and returns its target and the retry decision.
pub(crate) fn attempt(
    router: &mut Router,
    now: Time,
    request: &RoutingRequest,
    history: &mut AttemptHistory,
    outcome: Outcome,
) -> (SendTarget, RetryDecision) {
    let target = expect_send(router.pick(now, request, history));
    complete(router, now, target.key, request, outcome);
    let decision = router.decide_retry(now, request, history, target.key, outcome);
    (target, decision)
}
