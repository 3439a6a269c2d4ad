//! One request, from its head to its answer.

use crate::body::{AnswerBody, Piece};
use crate::events::EventScan;
use crate::figures::Figures;
use crate::headers::{
    self, ATTEMPT_ID, DEADLINE_REMAINING, EXPECT_INSTANCE, EXPECT_VERSION, NOT_EXECUTED, PRIORITY,
    SERVER_SEAL,
};
use crate::pool::{CallOut, Core, Line, RequestNumber};
use crate::turns::{Chain, NewTurn, Reserve, TurnKeeping};
use bytes::{Bytes, BytesMut};
use fleet_model::EndpointList;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::http::request::Builder;
use hyper::{Method, Request, Response, StatusCode, Version};
use micadrum::net::connection::CallError;
use micadrum::{Outcome, Span, Time};
use operator_config::{OperatorConfig, Route};
use request_routing::{
    Ask, EndpointView, GiveUp, Next, Pick, RouteKind, Router, SendEnd, ServerLoad, ServiceTerms, Target,
    Tried, promises_not_run,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

/// Requests that wait for a place at most.
const MOST_WAITING: usize = 2_000;
/// The endpoint's own answer at its deadline gets so much longer.
const GRACE: Duration = Duration::from_millis(50);
/// A connection to an endpoint comes up within this.
const CONNECT_PATIENCE: Duration = Duration::from_millis(400);
/// So long does a request wait for a connection where no more may be opened.
const CONNECTION_WAIT: Span = Span(10_000);
/// Whoever finds others waiting for its service waits so long before it looks by itself.
const BEHIND_WAIT: Span = Span(5_000);
/// Those far behind in the queue look at least so often, once they have waited for a quarter of their aim.
const FAR_BEHIND_WAIT: Span = Span(50_000);
/// Answers longer than this are passed on as they come; shorter ones are read whole first.
const MOST_WHOLE: u64 = 1024 * 1024;
/// Answers without a told length are read up to this.
const MOST_UNTOLD: usize = 8 * 1024 * 1024;
/// Pieces of a stream between endpoint and client.
const PIECES: usize = 16;
/// What a client is told to wait where nothing better is known.
const RETRY: Span = Span(250_000);
/// A turn whose program should be over so soon is more urgent.
const FINISH_SOON_MS: u64 = 1_500;
/// Until a configuration tells, bodies may be this long.
const DEFAULT_BODY: usize = 4 * 1024 * 1024;
/// And a request whose client does not say how long it waits may take this long to be read.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// What a forwarder needs to know of the system; all of it is given again with each change.
#[derive(Clone, Default)]
pub struct Knowledge {
    /// The configuration in force.
    pub config: Option<Rc<OperatorConfig>>,
    /// The newest list of endpoints.
    pub list: Option<Rc<EndpointList>>,
    /// How many proxies share the endpoints, this one included.
    pub proxies: u32,
}

/// The data plane of a process.
pub struct Forwarder<T: TurnKeeping> {
    pub(crate) core: Rc<Core>,
    pub(crate) most_clients: usize,
    turns: Rc<T>,
    knowledge: RefCell<Knowledge>,
}

impl<T: TurnKeeping> Forwarder<T> {
    /// One for a process in this zone that may hold so many descriptors. All chance comes from the seed.
    pub fn new(zone: String, seed: u64, turns: Rc<T>, max_file_descriptors: u64) -> Rc<Self> {
        let most_clients = usize::try_from(max_file_descriptors / 3).unwrap_or(usize::MAX).max(4);
        Rc::new(Self {
            core: Core::new(Router::new(zone, seed), MOST_WAITING),
            most_clients,
            turns,
            knowledge: RefCell::default(),
        })
    }

    /// Takes what is known now, in place of what was known before.
    pub fn learn(&self, knowledge: Knowledge) {
        let now = self.core.now();
        let old = self.knowledge.replace(knowledge.clone());
        let mut router = self.core.router.borrow_mut();
        if old.proxies != knowledge.proxies {
            router.set_proxies(now, knowledge.proxies);
        }
        if let Some(config) = knowledge.config
            && !old.config.is_some_and(|old| Rc::ptr_eq(&old, &config))
        {
            let terms: Vec<_> = config
                .services
                .iter()
                .map(|service| ServiceTerms {
                    name: service.name.clone(),
                    max_connections: service.max_connections,
                    engine: service.engine.is_some(),
                    slots: service.engine.as_ref().map(|engine| engine.capacity_slots),
                })
                .collect();
            router.configure(now, &terms);
        }
        if let Some(list) = knowledge.list
            && !old.list.is_some_and(|old| Rc::ptr_eq(&old, &list))
        {
            router.set_endpoints(now, &list);
        }
        drop(router);
        self.core.queue.wake_all();
    }

    /// What it has done.
    pub fn figures(&self) -> Figures {
        Figures { waiting: self.core.queue.len() as u64, ..self.core.figures.get() }
    }

    /// All endpoints as the router sees them, for staff.
    pub fn endpoints(&self) -> Vec<EndpointView> {
        self.core.router.borrow().view()
    }

    pub(crate) fn config(&self) -> Option<Rc<OperatorConfig>> {
        self.knowledge.borrow().config.clone()
    }

    /// Answers a request whose head came at `arrived`.
    pub(crate) async fn answer(&self, request: Request<Incoming>, arrived: Instant) -> Response<AnswerBody> {
        let attempt = headers::single(request.headers(), &ATTEMPT_ID).map(str::to_owned);
        let result = self.try_answer(request, attempt.as_deref(), arrived).await;
        result.unwrap_or_else(|own| {
            self.core.count(|figures| match own.status.as_u16() {
                402 | 408 | 503 => figures.refused += 1,
                502 | 504 => figures.failed += 1,
                _ => figures.denied += 1,
            });
            own.response(attempt.as_deref())
        })
    }

    async fn try_answer(
        &self,
        request: Request<Incoming>,
        attempt: Option<&str>,
        arrived: Instant,
    ) -> Result<Response<AnswerBody>, Own> {
        if request.version() != Version::HTTP_11 {
            // An answer that breaks off could not be told from a whole one.
            return Err(Own::closing(StatusCode::HTTP_VERSION_NOT_SUPPORTED));
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
            self.core.count(|figures| figures.requests += 1);
            return Err(Own { close: input.is_err(), ..Own::refused(RETRY) });
        };
        let input = input?;
        self.core.count(|figures| figures.requests += 1);
        let attempt = attempt.ok_or(Own::new(StatusCode::BAD_REQUEST))?;
        host.ok_or(Own::new(StatusCode::BAD_REQUEST))?;
        let route = route.ok_or(Own::new(StatusCode::NOT_FOUND))?;
        let service = route.pick_service(draw(attempt));
        let urgency = urgency(&head.headers, route.priority);
        let ask = Rc::new(self.ask(&head.headers, route, service, arrived, deadline));

        let mut turn = Turn { reservation: None, keeping: None, tokens_per_event: 1 };
        let mut whole_input = input.clone();
        if ask.kind == RouteKind::Streaming {
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
        self.forward(outgoing, ask, turn).await
    }

    fn ask(
        &self,
        given: &HeaderMap,
        route: &Route,
        service: &str,
        arrived: Instant,
        deadline: Instant,
    ) -> Ask {
        let (prompt, most) = headers::token_usage(given).unwrap_or_default();
        let shared = headers::text(given, "prompt-prefix").and_then(|parts| {
            let (id, _) = parts.split(',').next()?.split_once(':')?;
            Some(id.trim().to_owned())
        });
        Ask {
            service: service.to_owned(),
            kind: route.kind,
            session: headers::text(given, "session").map(str::to_owned),
            shared_part: shared,
            size: prompt.saturating_add(most),
            priority: route.priority,
            arrived: self.core.at(arrived),
            deadline: self.core.at(deadline),
            aim: Span(route.target_latency_ms.saturating_mul(1000)),
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
    ) -> Result<Bytes, Own> {
        let program = headers::text(given, "program");
        let budget = headers::number(given, "budget").map(|budget| u32::try_from(budget).unwrap_or(u32::MAX));
        let previous = headers::text(given, "previous").filter(|_| route.retained);
        let reserve = async {
            let (Some(program), Some(budget)) = (program, budget) else { return Reserve::Granted };
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
                None => Chain::Text(Bytes::new()),
            }
        };
        let both = async { tokio::join!(reserve, chain) };
        let Ok((reserved, chain)) = timeout_at(deadline, both).await else { return Err(Own::refused(RETRY)) };
        match reserved {
            Reserve::Granted => {}
            Reserve::Spent => {
                turn.forget_reservation();
                return Err(Own::new(StatusCode::PAYMENT_REQUIRED));
            }
            Reserve::Unavailable => return Err(Own::refused(RETRY)),
        }
        let text = match chain {
            Chain::Text(text) => text,
            Chain::NoSuchTurn => return Err(Own::new(StatusCode::NOT_FOUND)),
            Chain::Unavailable => return Err(Own::refused(RETRY)),
        };
        if route.retained {
            turn.keeping = Some(NewTurn {
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
        ask: Rc<Ask>,
        turn: Turn<T>,
    ) -> Result<Response<AnswerBody>, Own> {
        let core = &self.core;
        let mut tried = Tried::default();
        let mut sends = 0;
        let rank = core.queue.rank(ask.arrived.0, ask.priority);
        loop {
            let target = match self.place(&ask, &tried, rank, outgoing.deadline).await {
                Ok(target) => target,
                Err(give_up) => return Err(own_end(give_up, &tried, &outgoing)),
            };
            let key = target.key;
            let mut call = CallOut::new(core.clone(), key, ask.clone());
            let attempt = self.attempt(&outgoing, &target, &tried, &mut call, &mut sends).await;
            let outcome = match attempt {
                Attempt::NoConnection => {
                    call.end(Outcome::Void);
                    if !tried.avoid.contains(&key) {
                        tried.avoid.push(key);
                    }
                    let wait = core.now().after(CONNECTION_WAIT.0 as f64);
                    tried.not_before = tried.not_before.max(wait);
                    tokio::time::sleep(Duration::from_micros(CONNECTION_WAIT.0)).await;
                    continue;
                }
                Attempt::Ended(end) => {
                    if end == SendEnd::Misdirected {
                        core.router.borrow_mut().misdirected(core.now(), key);
                        core.count(|figures| figures.misdirected += 1);
                    }
                    end.outcome()
                }
                Attempt::Answer(response, line) => {
                    let (head, body) = response.into_parts();
                    let streams = head.status.is_success()
                        && (ask.kind == RouteKind::Streaming || is_event_stream(&head.headers));
                    let length = body.size_hint().exact();
                    let bodiless = outgoing.method == Method::HEAD || body.is_end_stream();
                    if streams {
                        core.count(|figures| figures.passed += 1);
                        return Ok(self.stream(head, body, None, line, call, turn, &outgoing));
                    }
                    if length.is_some_and(|length| length > MOST_WHOLE) && !bodiless {
                        core.count(|figures| figures.passed += 1);
                        return Ok(self.stream(head, body, length, line, call, turn.unkept(), &outgoing));
                    }
                    match timeout_at(outgoing.deadline + GRACE, read_whole(body)).await {
                        Err(_) => SendEnd::Silent.outcome(),
                        Ok(None) => {
                            core.count(|figures| figures.unusable += 1);
                            SendEnd::Unusable.outcome()
                        }
                        Ok(Some(whole)) => {
                            core.give_back(line, &head.headers);
                            let answer = pass_on(&head, AnswerBody::whole(whole), &outgoing);
                            let promises = promises_not_run(head.status.as_u16(), ask.kind);
                            if !head.status.is_server_error() && !promises {
                                call.end(Outcome::Success);
                                core.count(|figures| figures.passed += 1);
                                return Ok(answer);
                            }
                            call.end(Outcome::Failure);
                            let next = core.router.borrow().next(
                                core.now(),
                                &ask,
                                &mut tried,
                                key,
                                Outcome::Failure,
                            );
                            if next == Next::Again && Instant::now() < outgoing.deadline {
                                continue;
                            }
                            if promises {
                                return Err(Own::new(StatusCode::BAD_GATEWAY));
                            }
                            core.count(|figures| figures.passed += 1);
                            return Ok(answer);
                        }
                    }
                }
            };
            core.count(|figures| match outcome {
                Outcome::Full(_) => figures.full += 1,
                Outcome::ConnectFailed => figures.connect_failed += 1,
                Outcome::Reset => figures.reset += 1,
                Outcome::TimedOut => figures.timed_out += 1,
                _ => {}
            });
            call.end(outcome);
            let next = core.router.borrow().next(core.now(), &ask, &mut tried, key, outcome);
            if let Next::GiveUp(give_up) = next {
                return Err(own_end(give_up, &tried, &outgoing));
            }
        }
    }

    /// Waits for a place in its turn.
    async fn place(
        &self,
        ask: &Ask,
        tried: &Tried,
        rank: (u64, u64),
        deadline: Instant,
    ) -> Result<Target, GiveUp> {
        let core = &self.core;
        let mut behind = core.queue.is_behind(&ask.service, rank);
        let mut waiter = None;
        loop {
            if Instant::now() >= deadline {
                return Err(GiveUp::Refused { retry_after: RETRY });
            }
            let wait = if std::mem::take(&mut behind) {
                BEHIND_WAIT
            } else {
                let pick = core.router.borrow_mut().pick(core.now(), ask, tried);
                match pick {
                    Pick::Send(target) => return Ok(target),
                    Pick::GiveUp(give_up) => return Err(give_up),
                    Pick::Wait(wait) => wait.max(Span(1_000)),
                }
            };
            if waiter.is_none() {
                waiter = core.queue.enter(&ask.service, rank);
            }
            let Some(waiter) = &waiter else { return Err(GiveUp::Refused { retry_after: RETRY }) };
            let wait = if waiter.is_ahead() {
                wait
            } else {
                let quarter = Time(ask.arrived.0.saturating_add(ask.aim.0 / 4)).since(core.now());
                wait.max(Span(quarter)).max(FAR_BEHIND_WAIT)
            };
            let until = (Instant::now() + Duration::from_micros(wait.0)).min(deadline);
            // Woken or not, it looks again.
            let _ = timeout_at(until, waiter.woken()).await;
        }
    }

    /// One call of an endpoint, up to the head of its answer.
    async fn attempt(
        &self,
        outgoing: &Outgoing,
        target: &Target,
        tried: &Tried,
        call: &mut CallOut,
        sends: &mut u32,
    ) -> Attempt {
        let core = &self.core;
        let ask = call.ask().clone();
        let patience = core.router.borrow().try_timeout(core.now(), &ask, tried);
        let whole = outgoing.deadline + GRACE;
        let end =
            patience.map_or(whole, |Span(micros)| whole.min(Instant::now() + Duration::from_micros(micros)));
        let (line, response) = loop {
            let mut line = match core.idle_line(target, &ask.service, outgoing.number) {
                Some(line) => line,
                None if !target.may_open => return Attempt::NoConnection,
                None => {
                    let left = outgoing.deadline.saturating_duration_since(Instant::now());
                    let patience = CONNECT_PATIENCE.min(left / 2);
                    match core.open_line(target, patience, outgoing.number).await {
                        // The process may have stood still meanwhile.
                        Ok(_) if Instant::now() >= outgoing.deadline => {
                            return Attempt::Ended(SendEnd::HeadUnwritten);
                        }
                        Ok(line) => line,
                        Err(CallError::Connect(_)) => return Attempt::Ended(SendEnd::NotConnected),
                        Err(_) => return Attempt::Ended(SendEnd::HeadUnwritten),
                    }
                }
            };
            call.sending();
            let send = line.connection.send(outgoing.head(&target.instance_id), outgoing.body.clone());
            match timeout_at(end, send).await {
                Ok(Ok(response)) => break (line, response),
                Ok(Err(CallError::Stale(_))) => {}
                Ok(Err(CallError::Connect(_))) => return Attempt::Ended(SendEnd::NotConnected),
                Ok(Err(CallError::Unsent(_) | CallError::Reset(_))) => {
                    let end = SendEnd::broken(line.connection.head_written());
                    if end == SendEnd::Broken {
                        core.learn_idle(&ask.service, &line, true);
                        self.count_send(sends);
                    }
                    return Attempt::Ended(end);
                }
                Err(_) => {
                    let end = SendEnd::silent(line.connection.head_written());
                    if end == SendEnd::Silent {
                        self.count_send(sends);
                    }
                    return Attempt::Ended(end);
                }
            }
        };
        core.learn_idle(&ask.service, &line, false);
        self.count_send(sends);
        let head = response.headers();
        let status = response.status();
        if headers::single(head, &ATTEMPT_ID) != Some(&outgoing.attempt) {
            // An answer that belongs to another request: whatever became of this one, the connection is no good.
            core.count(|figures| figures.unusable += 1);
            return Attempt::Ended(SendEnd::Unusable);
        }
        call.answered(server_load(head));
        if status == StatusCode::MISDIRECTED_REQUEST || head.contains_key(NOT_EXECUTED) {
            let wait = headers::text(head, RETRY_AFTER.as_str())
                .and_then(|seconds| seconds.parse::<f64>().ok())
                .filter(|seconds| seconds.is_finite() && *seconds >= 0.0)
                .map(|seconds| Span((seconds * 1e6) as u64));
            let (head, body) = response.into_parts();
            core.give_back_unread(line, head.headers, body);
            return match status {
                // The weights that the client wants may be another version: that is no other incarnation.
                StatusCode::MISDIRECTED_REQUEST if outgoing.headers.contains_key(EXPECT_VERSION) => {
                    Attempt::Ended(SendEnd::Declined(wait))
                }
                StatusCode::MISDIRECTED_REQUEST => Attempt::Ended(SendEnd::Misdirected),
                _ => Attempt::Ended(SendEnd::Declined(wait)),
            };
        }
        let framed = outgoing.method == Method::HEAD
            || response.body().is_end_stream()
            || response.body().size_hint().exact().is_some()
            || head.contains_key(TRANSFER_ENCODING);
        if !framed || status.is_success() && !head.contains_key(SERVER_SEAL) {
            // It cannot be known to be whole, or is no answer of an endpoint.
            core.count(|figures| figures.unusable += 1);
            return Attempt::Ended(SendEnd::Unusable);
        }
        Attempt::Answer(response, line)
    }

    fn count_send(&self, sends: &mut u32) {
        *sends += 1;
        self.core.count(|figures| {
            figures.sends += 1;
            figures.repeats += u64::from(*sends > 1);
        });
    }

    /// Passes an answer on as it comes.
    #[expect(clippy::too_many_arguments, reason = "the parts of one answer")]
    fn stream(
        &self,
        head: hyper::http::response::Parts,
        body: Incoming,
        length: Option<u64>,
        line: Line,
        call: CallOut,
        turn: Turn<T>,
        outgoing: &Outgoing,
    ) -> Response<AnswerBody> {
        let (pieces, receiver) = mpsc::channel(PIECES);
        let answer = pass_on(&head, AnswerBody::passed(receiver, length), outgoing);
        let pump = Pump {
            core: self.core.clone(),
            turns: self.turns.clone(),
            headers: head.headers,
            end: outgoing.deadline + GRACE,
            events: length.is_none(),
        };
        spawn_local(pump.run(body, pieces, line, call, turn));
        answer
    }
}

/// A request as it goes out.
struct Outgoing {
    number: RequestNumber,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    attempt: String,
    deadline: Instant,
}

impl Outgoing {
    fn head(&self, instance: &str) -> Builder {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let mut builder = Request::builder().method(self.method.clone()).uri(self.path.as_str());
        if let Some(headers) = builder.headers_mut() {
            headers.clone_from(&self.headers);
            headers.insert(DEADLINE_REMAINING, headers::value(left.as_millis() as u64));
            if let Ok(instance) = HeaderValue::from_str(instance) {
                headers.insert(EXPECT_INSTANCE, instance);
            }
        }
        builder
    }
}

/// What became of one call.
#[expect(
    clippy::large_enum_variant,
    reason = "it is moved once; a box would be an allocation for each answer"
)]
enum Attempt {
    /// No connection is free, and none may be opened.
    NoConnection,
    /// It ended without an answer to pass on.
    Ended(SendEnd),
    /// The head of an answer that belongs to the request.
    Answer(Response<Incoming>, Line),
}

/// What hangs on a stream.
struct Turn<T: TurnKeeping> {
    reservation: Option<Reservation<T>>,
    keeping: Option<NewTurn>,
    tokens_per_event: u32,
}

impl<T: TurnKeeping> Turn<T> {
    fn forget_reservation(&mut self) {
        if let Some(reservation) = &mut self.reservation {
            reservation.settled = true;
        }
    }

    /// For an answer that is no turn.
    fn unkept(mut self) -> Self {
        self.keeping = None;
        self
    }
}

/// Tokens reserved for an attempt; settled with what was handed out when it is dropped.
struct Reservation<T: TurnKeeping> {
    turns: Rc<T>,
    program: String,
    attempt: String,
    handed: u32,
    settled: bool,
}

impl<T: TurnKeeping> Drop for Reservation<T> {
    fn drop(&mut self) {
        if !self.settled {
            self.turns.settle(&self.program, &self.attempt, self.handed);
        }
    }
}

/// Carries an answer from the endpoint to the client.
struct Pump<T: TurnKeeping> {
    core: Rc<Core>,
    turns: Rc<T>,
    headers: HeaderMap,
    end: Instant,
    events: bool,
}

impl<T: TurnKeeping> Pump<T> {
    async fn run(
        self,
        body: Incoming,
        pieces: mpsc::Sender<Piece>,
        line: Line,
        call: CallOut,
        turn: Turn<T>,
    ) {
        let whole = self.carry(body, &pieces, line, call, turn).await;
        self.core.count(|figures| match whole {
            true => figures.streams_ended += 1,
            false => figures.streams_broken += 1,
        });
    }

    /// True if the client has been handed all, the end included.
    async fn carry(
        &self,
        mut body: Incoming,
        pieces: &mpsc::Sender<Piece>,
        line: Line,
        call: CallOut,
        mut turn: Turn<T>,
    ) -> bool {
        let mut scan = EventScan::new(turn.keeping.is_some());
        loop {
            let frame = tokio::select! {
                biased;
                () = pieces.closed() => {
                    call.end(Outcome::Cancelled);
                    return false;
                }
                frame = timeout_at(self.end, body.frame()) => frame,
            };
            let data = match frame {
                Err(_) => {
                    call.end(Outcome::TimedOut);
                    return false;
                }
                Ok(Some(Err(_))) => {
                    call.end(Outcome::Reset);
                    return false;
                }
                Ok(None) => break,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if data.is_empty() {
                continue;
            }
            if self.events {
                scan.take(&data);
                if let Some(reservation) = &mut turn.reservation {
                    reservation.handed = scan.handed().saturating_mul(turn.tokens_per_event);
                }
            }
            match timeout_at(self.end, pieces.send(Piece::Data(data))).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => {
                    call.end(Outcome::Cancelled);
                    return false;
                }
                Err(_) => {
                    call.end(Outcome::TimedOut);
                    return false;
                }
            }
        }
        drop(body);
        self.core.give_back(line, &self.headers);
        call.end(Outcome::Success);
        if let Some(mut kept) = turn.keeping.take() {
            if !scan.between_events() {
                return false;
            }
            kept.tokens = scan.handed().saturating_mul(turn.tokens_per_event);
            kept.output = scan.into_output().into();
            let keep = timeout_at(self.end, self.turns.keep(kept));
            let is_kept = tokio::select! {
                biased;
                kept = keep => kept.unwrap_or(false),
                () = pieces.closed() => return false,
            };
            if !is_kept {
                self.core.count(|figures| figures.turns_unkept += 1);
                return false;
            }
            turn.forget_reservation();
        }
        matches!(timeout_at(self.end, pieces.send(Piece::End)).await, Ok(Ok(())))
    }
}

/// An answer of our own.
struct Own {
    status: StatusCode,
    retry_after: Option<Span>,
    close: bool,
}

impl Own {
    fn new(status: StatusCode) -> Self {
        Self { status, retry_after: None, close: false }
    }

    /// One after which the connection cannot go on.
    fn closing(status: StatusCode) -> Self {
        Self { close: true, ..Self::new(status) }
    }

    /// A promise that the request has not run and never will.
    fn refused(retry_after: Span) -> Self {
        Self { retry_after: Some(retry_after), ..Self::new(StatusCode::SERVICE_UNAVAILABLE) }
    }

    fn response(self, attempt: Option<&str>) -> Response<AnswerBody> {
        let text = self.status.canonical_reason().unwrap_or_default();
        let mut response = Response::new(AnswerBody::whole(text));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(Ok(attempt)) = attempt.map(HeaderValue::from_str) {
            headers.insert(ATTEMPT_ID, attempt);
        }
        if let Some(Span(micros)) = self.retry_after
            && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", micros as f64 / 1e6))
        {
            headers.insert(RETRY_AFTER, seconds);
        }
        if self.close {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// The end of a request that no endpoint answered.
fn own_end(give_up: GiveUp, tried: &Tried, outgoing: &Outgoing) -> Own {
    match give_up {
        GiveUp::Refused { retry_after } if tried.execution.may_promise() => Own::refused(retry_after),
        GiveUp::Failed if tried.execution.may_promise() => Own::refused(RETRY),
        _ if Instant::now() >= outgoing.deadline => Own::new(StatusCode::GATEWAY_TIMEOUT),
        _ => Own::new(StatusCode::BAD_GATEWAY),
    }
}

/// An endpoint's answer as the client gets it.
fn pass_on(
    head: &hyper::http::response::Parts,
    body: AnswerBody,
    outgoing: &Outgoing,
) -> Response<AnswerBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = headers::passed(&head.headers);
    if outgoing.method == Method::HEAD
        && let Some(length) = head.headers.get(CONTENT_LENGTH)
    {
        answer.headers_mut().insert(CONTENT_LENGTH, length.clone());
    }
    answer
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    headers::text(headers, CONTENT_TYPE.as_str())
        .is_some_and(|kind| kind.get(..17).is_some_and(|kind| kind.eq_ignore_ascii_case("text/event-stream")))
}

fn server_load(headers: &HeaderMap) -> Option<ServerLoad> {
    let mut parts = headers::text(headers, headers::SERVER_LOAD.as_str())?.split(',');
    let mut part = || parts.next()?.trim().parse().ok();
    Some(ServerLoad { running: part()?, waiting: part()?, slots: part()? })
}

/// The value that `Priority` gets: 0 comes first.
fn urgency(given: &HeaderMap, priority: u8) -> u8 {
    let urgency = priority.saturating_mul(2).saturating_add(1).min(9);
    let soon = headers::number(given, "finish-ms").is_some_and(|left| left < FINISH_SOON_MS);
    urgency - u8::from(soon)
}

/// A draw that stays the same for an attempt.
fn draw(attempt: &str) -> u64 {
    fleet_model::rank(attempt.as_bytes(), 0)
}

async fn read_body(mut body: Incoming, most: usize, until: Instant) -> Result<Bytes, Own> {
    let too_large = || Own::closing(StatusCode::PAYLOAD_TOO_LARGE);
    if body.size_hint().lower() > most as u64 {
        return Err(too_large());
    }
    let read = async {
        let mut pieces = Pieces::default();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Err(Own::closing(StatusCode::BAD_REQUEST)) };
            let data = frame.into_data().unwrap_or_default();
            if pieces.len() + data.len() > most {
                return Err(too_large());
            }
            pieces.add(data);
        }
        Ok(pieces.whole())
    };
    timeout_at(until, read).await.unwrap_or_else(|_| Err(Own::closing(StatusCode::REQUEST_TIMEOUT)))
}

/// A whole answer, if it is that and not too large.
async fn read_whole(mut body: Incoming) -> Option<Bytes> {
    let mut pieces = Pieces::default();
    while let Some(frame) = body.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        if pieces.len() + data.len() > MOST_UNTOLD {
            return None;
        }
        pieces.add(data);
    }
    Some(pieces.whole())
}

/// A body as it comes; one that comes in one piece is not copied.
#[derive(Default)]
struct Pieces {
    only: Bytes,
    several: BytesMut,
}

impl Pieces {
    fn len(&self) -> usize {
        self.only.len() + self.several.len()
    }

    fn add(&mut self, data: Bytes) {
        if self.len() == 0 {
            self.only = data;
        } else {
            self.several.extend_from_slice(&std::mem::take(&mut self.only));
            self.several.extend_from_slice(&data);
        }
    }

    fn whole(self) -> Bytes {
        if self.several.is_empty() { self.only } else { self.several.freeze() }
    }
}

#[cfg(test)]
mod tests;
