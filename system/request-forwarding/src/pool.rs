//! What the requests of a process share: the router, the connections to endpoints, the queue and the figures.

use crate::headers;
use crate::metrics::ForwardingMetrics;
use crate::queue::Queue;
use hyper::HeaderMap;
use hyper::body::Incoming;
use message_sender::net::connection::{CallError, Connection};
use message_sender::net::idle_trust::IdleTrust;
use message_sender::{Outcome, Span, Time};
use request_routing::{EndpointKey, Router, RoutingPolicy, RoutingRequest, ServerLoad, Target};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// So much of a body that nobody wants is read to be able to use its connection again.
const MOST_UNWANTED: usize = 64 * 1024;
/// For so long.
const UNWANTED_PATIENCE: Duration = Duration::from_millis(200);

/// Tells the requests of this process apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestNumber(u64);

pub(crate) struct Core {
    start: Instant,
    last_request: Cell<u64>,
    pub(crate) router: RefCell<Router>,
    /// Which decision mechanisms are in force.
    pub(crate) policy: RoutingPolicy,
    idle: RefCell<HashMap<EndpointKey, Vec<IdleLine>>>,
    /// By service: for how long its idle connections can be used.
    idle_trust: RefCell<HashMap<String, IdleTrust>>,
    pub(crate) queue: Rc<Queue>,
    pub(crate) metrics: Cell<ForwardingMetrics>,
}

/// A connection to an endpoint. The router hears when it closes.
pub(crate) struct Line {
    core: Weak<Core>,
    key: EndpointKey,
    pub(crate) connection: Connection,
    /// The request that it has carried last, or carries now.
    carried: RequestNumber,
    /// For how long it was idle before this call; none if it is new.
    idled: Option<Duration>,
}

/// A connection that waits for its next call.
struct IdleLine {
    line: Line,
    since: Instant,
    /// Its endpoint has told that it closes it then.
    until: Instant,
}

impl IdleLine {
    fn is_over(&self, now: Instant) -> bool {
        self.until <= now || self.line.connection.is_closed()
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        if let Some(core) = self.core.upgrade() {
            core.router.borrow_mut().connection_closed(self.key);
        }
    }
}

impl Core {
    pub(crate) fn new(zone: String, seed: u64, policy: RoutingPolicy, most_waiting: usize) -> Rc<Self> {
        Rc::new(Self {
            start: Instant::now(),
            last_request: Cell::new(0),
            router: RefCell::new(Router::new(zone, seed, policy.clone())),
            policy,
            idle: RefCell::default(),
            idle_trust: RefCell::default(),
            queue: Queue::new(most_waiting),
            metrics: Cell::default(),
        })
    }

    pub(crate) fn now(&self) -> Time {
        self.at(Instant::now())
    }

    pub(crate) fn at(&self, instant: Instant) -> Time {
        let micros = instant.saturating_duration_since(self.start).as_micros();
        // One second in: nothing that is reckoned back from now falls below 0.
        Time(1_000_000 + u64::try_from(micros).unwrap_or(u64::MAX / 2))
    }

    pub(crate) fn count(&self, change: impl FnOnce(&mut ForwardingMetrics)) {
        let mut metrics = self.metrics.get();
        change(&mut metrics);
        self.metrics.set(metrics);
    }

    /// A number for the next request.
    pub(crate) fn number_request(&self) -> RequestNumber {
        self.last_request.set(self.last_request.get() + 1);
        RequestNumber(self.last_request.get())
    }

    /// An idle connection that may still be used, to an endpoint of this service: none that has carried the same
    /// request just before. An endpoint may answer twice, and the second answer, as that a request was not run, would
    /// pass for the answer to the new send, as both have the same `Attempt-Id`.
    pub(crate) fn idle_line(&self, target: &Target, service: &str, request: RequestNumber) -> Option<Line> {
        let now = Instant::now();
        let trusted = self.idle_trust.borrow_mut().get_mut(service).and_then(|trust| {
            trust.forget();
            trust.limit().filter(|_| self.policy.idle_connection_limit)
        });
        loop {
            let mut idle = self.take_idle(target, request)?;
            let idled = now - idle.since;
            if !idle.is_over(now) && trusted.is_none_or(|trusted| idled < trusted) {
                idle.line.idled = Some(idled);
                idle.line.carried = request;
                return Some(idle.line);
            }
        }
    }

    /// The newest idle connection that did not carry this request. Where there are only such that did, and no more may
    /// be opened, one of them is closed, so that another may.
    fn take_idle(&self, target: &Target, request: RequestNumber) -> Option<IdleLine> {
        let mut all = self.idle.borrow_mut();
        let lines = all.get_mut(&target.key)?;
        let other = lines.iter().rposition(|idle| idle.line.carried != request);
        if other.is_none() && !target.may_open {
            drop(lines.pop());
        }
        Some(lines.remove(other?))
    }

    /// Takes in whether a connection broke under its call: endpoints may forget an idle one without a word.
    pub(crate) fn learn_idle(&self, service: &str, line: &Line, broke: bool) {
        let mut all = self.idle_trust.borrow_mut();
        match all.get_mut(service) {
            Some(trust) => trust.learn(line.idled, broke),
            // Nothing is known as long as nothing breaks.
            None if broke => all.entry(service.to_owned()).or_default().learn(line.idled, broke),
            None => {}
        }
    }

    /// A new connection.
    pub(crate) async fn open_line(
        self: &Rc<Self>,
        target: &Target,
        patience: Duration,
        request: RequestNumber,
    ) -> Result<Line, CallError> {
        // Counted from the start: an endpoint may count one that is never finished here.
        self.router.borrow_mut().connection_opened(target.key);
        let counted = Counted { core: self, key: Some(target.key) };
        let connection = Connection::open(SocketAddr::V4(target.address), patience).await?;
        counted.disarm();
        self.count(|metrics| metrics.connections_opened += 1);
        Ok(Line { core: Rc::downgrade(self), key: target.key, connection, carried: request, idled: None })
    }

    /// Takes back a connection after an answer with this head that was read whole.
    pub(crate) fn give_back(self: &Rc<Self>, mut line: Line, head: &HeaderMap) {
        let stay = headers::idle_time(head);
        // One answered before its request was written whole has the rest of that to come.
        if headers::closes(head) || stay.is_zero() || !line.connection.request_written() {
            return;
        }
        let core = self.clone();
        spawn_local(async move {
            if matches!(timeout(UNWANTED_PATIENCE, line.connection.is_alive()).await, Ok(true)) {
                let since = Instant::now();
                let idle = IdleLine { since, until: since + stay, line };
                core.idle.borrow_mut().entry(idle.line.key).or_default().push(idle);
            }
        });
    }

    /// The same, once the rest of an unwanted answer has been read.
    pub(crate) fn give_back_unread(self: &Rc<Self>, line: Line, head: HeaderMap, mut body: Incoming) {
        let core = self.clone();
        spawn_local(async move {
            if read_away(&mut body).await {
                drop(body);
                core.give_back(line, &head);
            }
        });
    }

    /// Closes idle connections whose time is over.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut over = Vec::new();
        self.idle.borrow_mut().retain(|_, lines| {
            over.extend(lines.extract_if(.., |idle| idle.is_over(now)));
            !lines.is_empty()
        });
    }
}

async fn read_away(body: &mut Incoming) -> bool {
    use http_body_util::BodyExt;
    let whole = async {
        let mut read = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            read += frame.data_ref().map_or(0, |data| data.len());
            if read > MOST_UNWANTED {
                return false;
            }
        }
        true
    };
    timeout(UNWANTED_PATIENCE, whole).await.unwrap_or(false)
}

/// A connection that is being opened.
struct Counted<'a> {
    core: &'a Core,
    key: Option<EndpointKey>,
}

impl Counted<'_> {
    fn disarm(mut self) {
        self.key = None;
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.core.router.borrow_mut().connection_closed(key);
        }
    }
}

/// A call that is out. The router hears of its end, however that comes.
pub(crate) struct CallOut {
    core: Rc<Core>,
    key: EndpointKey,
    routing_request: Rc<RoutingRequest>,
    begun: Instant,
    first_byte: Option<Instant>,
    load: Option<ServerLoad>,
    outcome: Outcome,
}

impl CallOut {
    pub(crate) fn new(core: Rc<Core>, key: EndpointKey, routing_request: Rc<RoutingRequest>) -> Self {
        let begun = Instant::now();
        Self { core, key, routing_request, begun, first_byte: None, load: None, outcome: Outcome::Void }
    }

    /// Its endpoint.
    pub(crate) fn key(&self) -> EndpointKey {
        self.key
    }

    /// What it carries.
    pub(crate) fn routing_request(&self) -> &Rc<RoutingRequest> {
        &self.routing_request
    }

    /// From now on it may run.
    pub(crate) fn sending(&mut self) {
        self.outcome = Outcome::Cancelled;
    }

    /// The head of the answer is there.
    pub(crate) fn answered(&mut self, load: Option<ServerLoad>) {
        self.first_byte = Some(Instant::now());
        self.load = load;
        if let Some(load) = load {
            self.core.router.borrow_mut().record_load(self.core.now(), self.key, load);
        }
    }

    pub(crate) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for CallOut {
    fn drop(&mut self) {
        let elapsed = self.first_byte.unwrap_or_else(Instant::now) - self.begun;
        let elapsed = Span(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX));
        let now = self.core.now();
        self.core.router.borrow_mut().record_completion(
            now,
            self.key,
            &self.routing_request,
            self.outcome,
            self.load,
            elapsed,
        );
        self.core.queue.wake_first(&self.routing_request.service);
    }
}
