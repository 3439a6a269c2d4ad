//! One request, from its head to its answer.

use crate::answer_pump::{Pump, Resumption, Upstream};
use crate::attempt::GRACE;
use crate::body::AnswerBody;
use crate::body_reading::{read_body, read_whole};
use crate::delivery::{Answered, Delivery};
use crate::headers::{self, ATTEMPT_ID, DEADLINE_REMAINING, PRIORITY};
use crate::metrics::ForwardingMetrics;
use crate::outgoing::Outgoing;
use crate::own_answer::{LocalResponse, RETRY, response_after_give_up};
use crate::pool::Core;
use crate::turn_under_way::{Reservation, Turn};
use crate::turns::{ChainLookup, CompletedTurn, ReserveOutcome, TurnStorage};
use bytes::{Bytes, BytesMut};
use fleet_model::EndpointList;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap};
use hyper::{Method, Request, Response, StatusCode, Version};
use message_sender::{Outcome, Span};
use operator_config::{OperatorConfig, Route};
use request_routing::{
    EndpointView, RouteKind, RoutingPolicy, RoutingRequest, SendOutcome, ServiceSettings,
    status_promises_not_executed,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

/// Requests that wait for a place at most.
const MOST_WAITING: usize = 2_000;
/// Answers longer than this are passed on as they come; shorter ones are read whole first.
const MOST_WHOLE: u64 = 1024 * 1024;
/// Pieces of a stream between endpoint and client.
const PIECES: usize = 16;
/// A turn whose program should be over so soon is more urgent.
const FINISH_SOON_MS: u64 = 1_500;
/// Until a configuration tells, bodies may be this long.
const DEFAULT_BODY: usize = 4 * 1024 * 1024;
/// And a request whose client does not say how long it waits may take this long to be read.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// What a forwarder needs to know of the system; all of it is given again with each change.
#[derive(Clone, Default)]
pub struct SystemState {
    /// The configuration in force.
    pub config: Option<Rc<OperatorConfig>>,
    /// The newest list of endpoints.
    pub list: Option<Rc<EndpointList>>,
    /// How many proxies share the endpoints, this one included.
    pub proxies: u32,
}

/// The data plane of a process.
pub struct Forwarder<T: TurnStorage> {
    pub(crate) core: Rc<Core>,
    pub(crate) most_clients: usize,
    turns: Rc<T>,
    knowledge: RefCell<SystemState>,
}

impl<T: TurnStorage> Forwarder<T> {
    /// One for a process in this zone that may hold so many descriptors. All chance comes from the seed.
    pub fn new(
        zone: String,
        seed: u64,
        policy: RoutingPolicy,
        turns: Rc<T>,
        max_file_descriptors: u64,
    ) -> Rc<Self> {
        let most_clients = usize::try_from(max_file_descriptors / 3).unwrap_or(usize::MAX).max(4);
        Rc::new(Self {
            core: Core::new(zone, seed, policy, MOST_WAITING),
            most_clients,
            turns,
            knowledge: RefCell::default(),
        })
    }

    /// Takes what is known now, in place of what was known before.
    pub fn update(&self, knowledge: SystemState) {
        let now = self.core.now();
        let old = self.knowledge.replace(knowledge.clone());
        let mut router = self.core.router.borrow_mut();
        if old.proxies != knowledge.proxies {
            router.set_proxy_count(now, knowledge.proxies);
        }
        if let Some(config) = knowledge.config
            && !old.config.is_some_and(|old| Rc::ptr_eq(&old, &config))
        {
            let terms: Vec<_> = config
                .services
                .iter()
                .map(|service| ServiceSettings {
                    name: service.name.clone(),
                    max_connections: service.max_connections,
                    engine: service.engine.is_some(),
                    slots: service.engine.as_ref().map(|engine| engine.capacity_slots),
                    cache_tokens: service.engine.as_ref().map(|engine| engine.kv_cache_tokens),
                })
                .collect();
            router.update_services(now, &terms);
        }
        if let Some(list) = knowledge.list
            && !old.list.is_some_and(|old| Rc::ptr_eq(&old, &list))
        {
            router.update_endpoints(now, &list);
        }
        drop(router);
        self.core.queue.wake_all();
    }

    /// What it has done.
    pub fn metrics(&self) -> ForwardingMetrics {
        ForwardingMetrics { waiting: self.core.queue.len() as u64, ..self.core.metrics.get() }
    }

    /// All endpoints as the router sees them, for staff.
    pub fn endpoints(&self) -> Vec<EndpointView> {
        self.core.router.borrow().endpoint_views()
    }

    pub(crate) fn config(&self) -> Option<Rc<OperatorConfig>> {
        self.knowledge.borrow().config.clone()
    }

    /// Answers a request whose head came at `arrived`.
    pub(crate) async fn answer(&self, request: Request<Incoming>, arrived: Instant) -> Response<AnswerBody> {
        let attempt = headers::single(request.headers(), &ATTEMPT_ID).map(str::to_owned);
        let result = self.try_answer(request, attempt.as_deref(), arrived).await;
        result.unwrap_or_else(|own| {
            self.core.count(|metrics| match own.status.as_u16() {
                402 | 408 | 503 => metrics.refused += 1,
                502 | 504 => metrics.failed += 1,
                _ => metrics.denied += 1,
            });
            own.response(attempt.as_deref())
        })
    }

    async fn try_answer(
        &self,
        request: Request<Incoming>,
        attempt: Option<&str>,
        arrived: Instant,
    ) -> Result<Response<AnswerBody>, LocalResponse> {
        if request.version() != Version::HTTP_11 {
            // An answer that breaks off could not be told from a whole one.
            return Err(LocalResponse::closing(StatusCode::HTTP_VERSION_NOT_SUPPORTED));
        }
        let config = self.config();
        let (head, body) = request.into_parts();
        let remaining =
            headers::number(&head.headers, DEADLINE_REMAINING.as_str()).map(Duration::from_millis);
        let host = headers::single(&head.headers, &HOST);
        let route = config.as_ref().zip(host).and_then(|(config, host)| config.route(host, head.uri.path()));
        let timeout = route.map(|route| Duration::from_millis(route.timeout_ms));
        let patience = remaining.into_iter().chain(timeout).min().unwrap_or(DEFAULT_PATIENCE);
        let deadline = arrived + patience;
        let most = config.as_ref().map_or(DEFAULT_BODY, |config| config.limits.max_body_bytes as usize);
        let input = read_body(body, most, deadline).await;
        let Some(config) = &config else {
            // What is allowed is not known yet: whatever came of the body, nothing is denied.
            self.core.count(|metrics| metrics.requests += 1);
            return Err(LocalResponse { close: input.is_err(), ..LocalResponse::refused(RETRY) });
        };
        let input = input?;
        self.core.count(|metrics| metrics.requests += 1);
        let attempt = attempt.ok_or(LocalResponse::new(StatusCode::BAD_REQUEST))?;
        host.ok_or(LocalResponse::new(StatusCode::BAD_REQUEST))?;
        let route = route.ok_or(LocalResponse::new(StatusCode::NOT_FOUND))?;
        let service = route.pick_service(draw(attempt));
        let urgency = urgency(&head.headers, route.priority);
        let routing_request = Rc::new(self.routing_request(&head.headers, route, service, arrived, deadline));

        let mut turn = Turn { reservation: None, to_store: None, tokens_per_event: 1 };
        let mut whole_input = input.clone();
        if routing_request.kind == RouteKind::Streaming {
            let engine = config.services.iter().find(|known| known.name == service);
            let engine = engine.and_then(|service| service.engine.as_ref());
            turn.tokens_per_event = engine.map_or(1, |engine| engine.tokens_per_event);
            whole_input = self.prepare(&head.headers, route, attempt, input, deadline, &mut turn).await?;
        }
        let mut passed = headers::passed(&head.headers);
        passed.insert(PRIORITY, headers::value(urgency.into()));
        let needs_length =
            !matches!(head.method, Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS);
        if needs_length || !whole_input.is_empty() {
            passed.insert(CONTENT_LENGTH, headers::value(whole_input.len() as u64));
        }
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let outgoing = Outgoing {
            number: self.core.number_request(),
            method: head.method,
            path,
            headers: passed,
            body: whole_input,
            attempt: attempt.to_owned(),
            deadline,
        };
        self.forward(outgoing, routing_request, turn).await
    }

    fn routing_request(
        &self,
        given: &HeaderMap,
        route: &Route,
        service: &str,
        arrived: Instant,
        deadline: Instant,
    ) -> RoutingRequest {
        let (prompt, most) = headers::token_usage(given).unwrap_or_default();
        let shared = headers::first_prompt_part(given);
        RoutingRequest {
            service: service.to_owned(),
            kind: route.kind,
            resumable: route.resumable
                && route.kind == RouteKind::Streaming
                && self.core.policy.stream_resumption,
            session: headers::text(given, "session").map(str::to_owned),
            prefix_tokens: shared.map_or(0, |part| part.tokens),
            prefix_id: shared.map(|part| part.id.to_owned()),
            total_tokens: prompt.saturating_add(most),
            priority: route.priority,
            arrived_at: self.core.at(arrived),
            deadline: self.core.at(deadline),
            latency_target: Span(route.target_latency_ms.saturating_mul(1000)),
            max_attempts: route.max_attempts,
        }
    }

    /// What a stream needs before it is sent: tokens of the budget, and the text before its input.
    async fn prepare(
        &self,
        given: &HeaderMap,
        route: &Route,
        attempt: &str,
        input: Bytes,
        deadline: Instant,
        turn: &mut Turn<T>,
    ) -> Result<Bytes, LocalResponse> {
        let program = headers::text(given, "program");
        let budget = headers::number(given, "budget").map(|budget| u32::try_from(budget).unwrap_or(u32::MAX));
        let previous = headers::text(given, "previous").filter(|_| route.retained);
        let reserve = async {
            let (Some(program), Some(budget)) = (program, budget) else { return ReserveOutcome::Granted };
            // Without a told size it may generate all that is left.
            let most = headers::token_usage(given).map_or(budget, |(_, most)| most);
            turn.reservation = Some(Reservation {
                turns: self.turns.clone(),
                program: program.to_owned(),
                attempt: attempt.to_owned(),
                handed: 0,
                settled: false,
            });
            self.turns.reserve(program, attempt, most, budget).await
        };
        let chain = async {
            match previous {
                Some(previous) => self.turns.chain(previous).await,
                None => ChainLookup::Text(Bytes::new()),
            }
        };
        let both = async { tokio::join!(reserve, chain) };
        let Ok((reserved, chain)) = timeout_at(deadline, both).await else {
            return Err(LocalResponse::refused(RETRY));
        };
        match reserved {
            ReserveOutcome::Granted => {}
            ReserveOutcome::BudgetExhausted => {
                turn.forget_reservation();
                return Err(LocalResponse::new(StatusCode::PAYMENT_REQUIRED));
            }
            ReserveOutcome::Unavailable => return Err(LocalResponse::refused(RETRY)),
        }
        let text = match chain {
            ChainLookup::Text(text) => text,
            ChainLookup::NotFound => return Err(LocalResponse::new(StatusCode::NOT_FOUND)),
            ChainLookup::Unavailable => return Err(LocalResponse::refused(RETRY)),
        };
        if route.retained {
            turn.to_store = Some(CompletedTurn {
                attempt: attempt.to_owned(),
                previous: previous.map(str::to_owned),
                program: program.unwrap_or_default().to_owned(),
                input: input.clone(),
                output: Bytes::new(),
                retention_ms: route.retention_ms,
                tokens: 0,
            });
        }
        if text.is_empty() {
            return Ok(input);
        }
        let mut whole = BytesMut::with_capacity(text.len() + input.len());
        whole.extend_from_slice(&text);
        whole.extend_from_slice(&input);
        Ok(whole.freeze())
    }

    /// Sends a request until it has an answer or is given up.
    async fn forward(
        &self,
        outgoing: Outgoing,
        routing_request: Rc<RoutingRequest>,
        turn: Turn<T>,
    ) -> Result<Response<AnswerBody>, LocalResponse> {
        let core = &self.core;
        let mut delivery = Delivery::new(core.clone(), outgoing, routing_request.clone());
        loop {
            let answered = delivery.answer().await;
            let Answered { response, line, call } = answered.map_err(|give_up| {
                response_after_give_up(give_up, &delivery.history, delivery.outgoing.deadline)
            })?;
            let (head, mut body) = response.into_parts();
            let is_events = headers::is_event_stream(&head.headers);
            let streams =
                head.status.is_success() && (routing_request.kind == RouteKind::Streaming || is_events);
            let length = body.size_hint().exact();
            let bodiless = delivery.outgoing.method == Method::HEAD || body.is_end_stream();
            let outcome = if streams {
                let may_resume = routing_request.resumable && is_events && length.is_none();
                match first_piece(may_resume, &mut body, delivery.outgoing.deadline + GRACE).await {
                    Ok(first) => {
                        let (method, deadline) =
                            (delivery.outgoing.method.clone(), delivery.outgoing.deadline);
                        let resumption = may_resume.then(|| Resumption::new(delivery));
                        let passing = Passing { method, deadline, first, length: None, resumption, turn };
                        return Ok(self.stream(head, Upstream { body, line, call }, passing));
                    }
                    Err(outcome) => delivery.failed(call, outcome),
                }
            } else if length.is_some_and(|length| length > MOST_WHOLE) && !bodiless {
                let Outgoing { method, deadline, .. } = delivery.outgoing;
                let passing = Passing {
                    method,
                    deadline,
                    first: None,
                    length,
                    resumption: None,
                    turn: turn.without_storage(),
                };
                return Ok(self.stream(head, Upstream { body, line, call }, passing));
            } else {
                match timeout_at(delivery.outgoing.deadline + GRACE, read_whole(body)).await {
                    Err(_) => delivery.failed(call, SendOutcome::TimedOut.outcome()),
                    Ok(None) => {
                        core.count(|metrics| metrics.unusable += 1);
                        delivery.failed(call, SendOutcome::Unusable.outcome())
                    }
                    Ok(Some(whole)) => {
                        core.give_back(line, &head.headers);
                        let answer = pass_on(&head, AnswerBody::whole(whole), &delivery.outgoing.method);
                        let promises =
                            status_promises_not_executed(head.status.as_u16(), routing_request.kind);
                        if !head.status.is_server_error() && !promises {
                            call.end(Outcome::Success);
                            core.count(|metrics| metrics.passed += 1);
                            return Ok(answer);
                        }
                        if delivery.failed(call, Outcome::Failure).is_ok() && delivery.has_time() {
                            continue;
                        }
                        if promises {
                            return Err(LocalResponse::new(StatusCode::BAD_GATEWAY));
                        }
                        core.count(|metrics| metrics.passed += 1);
                        return Ok(answer);
                    }
                }
            };
            outcome.map_err(|give_up| {
                response_after_give_up(give_up, &delivery.history, delivery.outgoing.deadline)
            })?;
        }
    }

    /// Passes an answer on as it comes.
    fn stream(
        &self,
        head: hyper::http::response::Parts,
        answer: Upstream,
        passing: Passing<T>,
    ) -> Response<AnswerBody> {
        self.core.count(|metrics| metrics.passed += 1);
        let (pieces, receiver) = mpsc::channel(PIECES);
        let passed = pass_on(&head, AnswerBody::passed(receiver, passing.length), &passing.method);
        let pump = Pump {
            core: self.core.clone(),
            turns: self.turns.clone(),
            headers: head.headers,
            end: passing.deadline + GRACE,
            events: passing.length.is_none(),
            resumption: passing.resumption,
        };
        spawn_local(pump.run(answer, passing.first, pieces, passing.turn));
        passed
    }
}

/// How an answer is passed on as it comes.
struct Passing<T: TurnStorage> {
    method: Method,
    deadline: Instant,
    /// What of it has come already.
    first: Option<Bytes>,
    length: Option<u64>,
    resumption: Option<Resumption>,
    turn: Turn<T>,
}

/// The first bytes of a stream, where another endpoint may begin it anew as long as nothing of it was passed on.
async fn first_piece(may_resume: bool, body: &mut Incoming, end: Instant) -> Result<Option<Bytes>, Outcome> {
    if !may_resume {
        return Ok(None);
    }
    match timeout_at(end, body.frame()).await {
        Err(_) => Err(Outcome::TimedOut),
        Ok(Some(Err(_))) => Err(Outcome::Reset),
        Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
        Ok(None) => Ok(None),
    }
}

/// An endpoint's answer as the client gets it.
fn pass_on(head: &hyper::http::response::Parts, body: AnswerBody, method: &Method) -> Response<AnswerBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = headers::passed(&head.headers);
    if *method == Method::HEAD
        && let Some(length) = head.headers.get(CONTENT_LENGTH)
    {
        answer.headers_mut().insert(CONTENT_LENGTH, length.clone());
    }
    answer
}

/// The value that `Priority` gets: 0 comes first.
fn urgency(given: &HeaderMap, priority: u8) -> u8 {
    let urgency = priority.saturating_mul(2).saturating_add(1).min(9);
    let soon = headers::number(given, "finish-ms").is_some_and(|left| left < FINISH_SOON_MS);
    urgency - u8::from(soon)
}

/// A draw that stays the same for an attempt.
fn draw(attempt: &str) -> u64 {
    fleet_model::rendezvous_rank(attempt.as_bytes(), 0)
}
