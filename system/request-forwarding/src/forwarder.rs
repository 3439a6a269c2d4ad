//! The forwarder: the data plane's state, and the preparation of each request: its route, deadline, body and headers.

use crate::active_turn::{ActiveTurn, TurnRecord};
use crate::headers::{self, ATTEMPT_ID, DEADLINE_REMAINING, PRIORITY};
use crate::local_response::{DEFAULT_RETRY_AFTER, LocalResponse};
use crate::metrics::ForwardingMetrics;
use crate::outbound_request::OutboundRequest;
use crate::pool::SharedState;
use crate::response_account::ResponseAccount;
use crate::response_body::ResponseBody;
use crate::turn_storage::TurnStorage;
use bytes::Bytes;
use client_admission::{
    BodyBudget, BodyError, ClientLimits, ConnectionLimit, ConnectionSlot, ServiceKey, discard_body, read_body,
};
use fleet_model::EndpointList;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap};
use hyper::{Method, Request, Response, StatusCode, Version};
use message_sender::Span;
use operator_config::{OperatorConfig, Route};
use request_routing::{
    EndpointView, PlacementMetrics, RouteKind, RoutingPolicy, RoutingRequest, ServiceSettings,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Upper bound on the requests that wait for a slot.
const MAX_WAITING_REQUESTS: usize = 2_000;
/// A turn whose program is to finish within this time has a higher priority, in milliseconds.
const FINISH_SOON_MS: u64 = 1_500;
/// Upper bound on a request body while there is no configuration.
const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Upper bound on the time for a request that has no route.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// State of the system that forwarding depends on; each update passes the complete state.
#[derive(Clone, Default)]
pub struct SystemState {
    /// The configuration in force; `None` until the first one is known, and requests are refused with 503 until then.
    pub config: Option<Rc<OperatorConfig>>,
    /// The newest list of endpoints; `None` until the first one is known.
    pub list: Option<Rc<EndpointList>>,
    /// Number of proxies that share the endpoints, this one included.
    pub proxies: u32,
}

/// The data plane of a process. It is bound to the thread that creates it, inside a `LocalSet`.
pub struct Forwarder<T: TurnStorage> {
    pub(crate) shared: Rc<SharedState>,
    pub(crate) connections: Rc<ConnectionLimit>,
    pub(crate) bodies: BodyBudget,
    pub(crate) turns: Rc<T>,
    system: RefCell<SystemState>,
}

impl<T: TurnStorage> Forwarder<T> {
    /// A forwarder for a process in this zone with limits on what its clients occupy. All random values derive from the
    /// seed.
    pub fn new(
        zone: String,
        seed: u64,
        policy: RoutingPolicy,
        turns: Rc<T>,
        clients: ClientLimits,
    ) -> Rc<Self> {
        Rc::new(Self {
            shared: SharedState::new(zone, seed, policy, MAX_WAITING_REQUESTS),
            connections: ConnectionLimit::new(clients.connections),
            bodies: BodyBudget::new(clients.body_bytes),
            turns,
            system: RefCell::default(),
        })
    }

    /// Replaces the state of the system and notifies the router of what changed.
    pub fn update(&self, system: SystemState) {
        let now = self.shared.now();
        let old = self.system.replace(system.clone());
        let mut router = self.shared.router.borrow_mut();
        if old.proxies != system.proxies {
            router.set_proxy_count(now, system.proxies);
        }
        if let Some(config) = system.config
            && !old.config.is_some_and(|old| Rc::ptr_eq(&old, &config))
        {
            let settings: Vec<_> = config
                .services
                .iter()
                .map(|service| ServiceSettings {
                    name: service.name.clone(),
                    max_connections: service.max_connections,
                    is_engine: service.engine.is_some(),
                    slots: service.engine.as_ref().map(|engine| engine.capacity_slots),
                    cache_tokens: service.engine.as_ref().map(|engine| engine.kv_cache_tokens),
                })
                .collect();
            router.update_services(now, &settings);
        }
        if let Some(list) = system.list
            && !old.list.is_some_and(|old| Rc::ptr_eq(&old, &list))
        {
            router.update_endpoints(now, &list);
        }
        drop(router);
        self.shared.queue.wake_all();
    }

    /// Counters since the start, and current gauges.
    pub fn metrics(&self) -> ForwardingMetrics {
        ForwardingMetrics {
            waiting: self.shared.queue.len() as u64,
            clients_evicted: self.connections.evicted(),
            body_bytes: (self.bodies.used_bytes() - self.bodies.response_bytes()) as u64,
            bodies_evicted: self.bodies.evicted(),
            response_bytes: self.bodies.response_bytes() as u64,
            responses_evicted: self.bodies.responses_evicted(),
            ..self.shared.metrics.get()
        }
    }

    /// Counters of placement since the start.
    pub fn placement_metrics(&self) -> PlacementMetrics {
        self.shared.router.borrow().placement_metrics()
    }

    /// Snapshot of all endpoints, for the admin endpoint.
    pub fn endpoints(&self) -> Vec<EndpointView> {
        self.shared.router.borrow().endpoint_views()
    }

    pub(crate) fn config(&self) -> Option<Rc<OperatorConfig>> {
        self.system.borrow().config.clone()
    }

    /// Responds to a request whose head arrived at `arrived`.
    pub(crate) async fn respond(
        &self,
        request: Request<Incoming>,
        arrived: Instant,
        slot: &Rc<ConnectionSlot>,
    ) -> Response<ResponseBody> {
        let attempt = headers::single(request.headers(), &ATTEMPT_ID).map(str::to_owned);
        let result = self.try_respond(request, attempt.as_deref(), arrived, slot).await;
        result.unwrap_or_else(|local| {
            self.shared.count(|metrics| match local.status.as_u16() {
                402 | 408 | 503 => metrics.refused += 1,
                502 | 504 => metrics.failed += 1,
                _ => metrics.denied += 1,
            });
            local.response(attempt.as_deref())
        })
    }

    async fn try_respond(
        &self,
        request: Request<Incoming>,
        attempt: Option<&str>,
        arrived: Instant,
        slot: &Rc<ConnectionSlot>,
    ) -> Result<Response<ResponseBody>, LocalResponse> {
        if request.version() != Version::HTTP_11 {
            // A truncated response could not be distinguished from a complete one.
            return Err(LocalResponse::closing(StatusCode::HTTP_VERSION_NOT_SUPPORTED));
        }
        let config = self.config();
        let (head, body) = request.into_parts();
        let remaining =
            headers::number(&head.headers, DEADLINE_REMAINING.as_str()).map(Duration::from_millis);
        let host = headers::single(&head.headers, &HOST);
        let route = config.as_ref().zip(host).and_then(|(config, host)| config.route(host, head.uri.path()));
        let timeout = route.map_or(DEFAULT_REQUEST_TIMEOUT, |route| Duration::from_millis(route.timeout_ms));
        let deadline = arrived + remaining.map_or(timeout, |remaining| remaining.min(timeout));
        let input = self.read_input(body, config.as_deref(), route.is_some(), deadline).await;
        slot.start_serving();
        let Some(config) = &config else {
            // Without a configuration no request can be denied, even if the body was too large or incomplete.
            self.shared.count(|metrics| metrics.requests += 1);
            return Err(LocalResponse {
                close: input.is_err(),
                ..LocalResponse::refused(DEFAULT_RETRY_AFTER)
            });
        };
        let input = input.map_err(response_to_incomplete_body)?;
        self.shared.count(|metrics| metrics.requests += 1);
        let attempt = attempt.ok_or(LocalResponse::new(StatusCode::BAD_REQUEST))?;
        host.ok_or(LocalResponse::new(StatusCode::BAD_REQUEST))?;
        let route = route.ok_or(LocalResponse::new(StatusCode::NOT_FOUND))?;
        let service = route.pick_service(attempt_hash(attempt));
        let urgency = urgency(&head.headers, route.priority);
        let mut routing_request = self.routing_request(&head.headers, route, service, arrived, deadline);

        let mut turn = ActiveTurn { reservation: None, record: TurnRecord::NotRetained, tokens_per_event: 1 };
        let mut complete_input = input.clone();
        if routing_request.kind == RouteKind::Streaming {
            let engine = config.services.iter().find(|known| known.name == service);
            let engine = engine.and_then(|service| service.engine.as_ref());
            turn.tokens_per_event = engine.map_or(1, |engine| engine.tokens_per_event);
            let prepared =
                self.prepare_stream(&head.headers, route, attempt, input, deadline, &mut turn).await?;
            complete_input = prepared.complete_input;
            routing_request.previous_endpoint = prepared.previous_endpoint;
        }
        let mut forwarded = headers::forwarded(&head.headers);
        forwarded.insert(PRIORITY, headers::value(urgency.into()));
        if states_length(&head.method) || !complete_input.is_empty() {
            forwarded.insert(CONTENT_LENGTH, headers::value(complete_input.len() as u64));
        }
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let outgoing = OutboundRequest {
            number: self.shared.number_request(),
            method: head.method,
            path,
            headers: forwarded,
            body: complete_input,
            attempt_id: attempt.to_owned(),
            deadline,
        };
        let service = ServiceKey(fleet_model::rendezvous_rank(routing_request.service.as_bytes(), 0));
        let account = ResponseAccount::new(self.bodies.clone(), service, slot.clone());
        self.forward(outgoing, Rc::new(routing_request), turn, Rc::new(account)).await
    }

    /// Reads the body of a request; one that will not be forwarded is read and discarded, so that the connection can be used
    /// for the next request.
    async fn read_input(
        &self,
        body: Incoming,
        config: Option<&OperatorConfig>,
        has_route: bool,
        deadline: Instant,
    ) -> Result<Bytes, BodyError> {
        let max_bytes = config.map_or(DEFAULT_MAX_BODY_BYTES, |config| config.limits.max_body_bytes as usize);
        if has_route {
            return read_body(body, max_bytes, deadline, &self.bodies).await;
        }
        discard_body(body, max_bytes, deadline).await?;
        Ok(Bytes::new())
    }

    fn routing_request(
        &self,
        request_headers: &HeaderMap,
        route: &Route,
        service: &str,
        arrived: Instant,
        deadline: Instant,
    ) -> RoutingRequest {
        let (prompt, max_tokens) = headers::token_usage(request_headers).unwrap_or_default();
        let prefix = headers::first_prompt_prefix(request_headers);
        RoutingRequest {
            service: service.to_owned(),
            kind: route.kind,
            resumable: route.resumable
                && route.kind == RouteKind::Streaming
                && self.shared.policy.stream_resumption,
            session: headers::text(request_headers, "session").map(str::to_owned),
            continues_conversation: headers::text(request_headers, "previous").is_some(),
            previous_endpoint: None,
            prefix_tokens: prefix.map_or(0, |prefix| prefix.tokens),
            prefix_id: prefix.map(|prefix| prefix.id.to_owned()),
            total_tokens: prompt.saturating_add(max_tokens),
            priority: route.priority,
            arrived_at: self.shared.to_router_time(arrived),
            deadline: self.shared.to_router_time(deadline),
            latency_target: Span(route.target_latency_ms.saturating_mul(1000)),
            max_attempts: route.max_attempts,
        }
    }
}

/// The response to a request whose body was not read to its end; it was not executed.
fn response_to_incomplete_body(error: BodyError) -> LocalResponse {
    match error {
        BodyError::TooLarge => LocalResponse::closing(StatusCode::PAYLOAD_TOO_LARGE),
        BodyError::Malformed => LocalResponse::closing(StatusCode::BAD_REQUEST),
        BodyError::Late => LocalResponse::closing(StatusCode::REQUEST_TIMEOUT),
        BodyError::NoMemory(_) => {
            LocalResponse { close: true, ..LocalResponse::refused(DEFAULT_RETRY_AFTER) }
        }
    }
}

/// Whether a request with this method states the length of its body even if it has none.
fn states_length(method: &Method) -> bool {
    !matches!(*method, Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS)
}

/// The value of the forwarded `Priority` header; 0 is the most urgent.
fn urgency(request_headers: &HeaderMap, priority: u8) -> u8 {
    let urgency = priority.saturating_mul(2).saturating_add(1).min(9);
    let finishes_soon =
        headers::number(request_headers, "finish-ms").is_some_and(|remaining| remaining < FINISH_SOON_MS);
    urgency - u8::from(finishes_soon)
}

/// A number that is the same for all sends of an attempt.
fn attempt_hash(attempt: &str) -> u64 {
    fleet_model::rendezvous_rank(attempt.as_bytes(), 0)
}
