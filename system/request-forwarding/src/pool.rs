//! State that the requests of a process share: the router, the connection pool, the wait queue and the metrics.

use crate::headers;
use crate::metrics::ForwardingMetrics;
use crate::wait_queue::WaitQueue;
use hyper::HeaderMap;
use message_sender::net::connection::{CallError, Connection};
use message_sender::net::idle_trust::IdleTrust;
use message_sender::net::received_body::ReceivedBody;
use message_sender::{Outcome, Span, Time};
use request_routing::{EndpointKey, Router, RoutingPolicy, RoutingRequest, SendTarget, ServerLoad};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// Upper bound on the bytes of an unwanted response body that are read so that its connection can be reused.
const MAX_DRAINED_BYTES: usize = 64 * 1024;
/// Time limit for reading those bytes, and for the check of a returned connection.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Identifies a request within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestNumber(u64);

/// State that all requests of this process share.
pub(crate) struct SharedState {
    start: Instant,
    last_request: Cell<u64>,
    pub(crate) router: RefCell<Router>,
    /// Which routing mechanisms are on.
    pub(crate) policy: RoutingPolicy,
    /// Idle connections by endpoint, the newest last.
    idle: RefCell<HashMap<EndpointKey, Vec<IdleConnection>>>,
    /// For each service, how long its idle connections can be reused.
    idle_trust: RefCell<HashMap<String, IdleTrust>>,
    pub(crate) queue: Rc<WaitQueue>,
    pub(crate) metrics: Cell<ForwardingMetrics>,
}

/// A connection to an endpoint. The router is notified when it closes.
pub(crate) struct EndpointConnection {
    shared: Weak<SharedState>,
    key: EndpointKey,
    pub(crate) connection: Connection,
    /// The request in flight on it, or else the last one.
    last_request: RequestNumber,
    /// How long it was idle before this call; `None` if it is new.
    idle_time: Option<Duration>,
}

/// An idle connection in the pool.
struct IdleConnection {
    connection: EndpointConnection,
    since: Instant,
    /// When its endpoint is expected to close it.
    expires_at: Instant,
}

impl IdleConnection {
    fn is_expired(&self, now: Instant) -> bool {
        self.expires_at <= now || self.connection.connection.is_closed()
    }
}

impl Drop for EndpointConnection {
    fn drop(&mut self) {
        if let Some(shared) = self.shared.upgrade() {
            shared.router.borrow_mut().record_connection_closed(self.key);
        }
    }
}

impl SharedState {
    pub(crate) fn new(zone: String, seed: u64, policy: RoutingPolicy, max_waiting: usize) -> Rc<Self> {
        Rc::new(Self {
            start: Instant::now(),
            last_request: Cell::new(0),
            router: RefCell::new(Router::new(zone, seed, policy.clone())),
            policy,
            idle: RefCell::default(),
            idle_trust: RefCell::default(),
            queue: WaitQueue::new(max_waiting),
            metrics: Cell::default(),
        })
    }

    /// The current time in the router's time base.
    pub(crate) fn now(&self) -> Time {
        self.to_router_time(Instant::now())
    }

    /// Converts an instant to the router's time base.
    pub(crate) fn to_router_time(&self, instant: Instant) -> Time {
        let micros = instant.saturating_duration_since(self.start).as_micros();
        // Starts at one second, so that no time computed backwards from now falls below 0.
        Time(1_000_000 + u64::try_from(micros).unwrap_or(u64::MAX / 2))
    }

    /// Applies a change to the metrics.
    pub(crate) fn count(&self, change: impl FnOnce(&mut ForwardingMetrics)) {
        let mut metrics = self.metrics.get();
        change(&mut metrics);
        self.metrics.set(metrics);
    }

    pub(crate) fn number_request(&self) -> RequestNumber {
        self.last_request.set(self.last_request.get() + 1);
        RequestNumber(self.last_request.get())
    }

    /// An idle connection that may be reused for this request; never one whose last request was the same. An endpoint may
    /// respond twice, and a late second response (such as a statement that it was not executed) would be taken for the
    /// response to the new send, since both have the same `Attempt-Id`.
    pub(crate) fn checkout_idle(
        &self,
        target: &SendTarget,
        service: &str,
        request: RequestNumber,
    ) -> Option<EndpointConnection> {
        let now = Instant::now();
        let max_idle_time = self.idle_trust.borrow_mut().get_mut(service).and_then(|trust| {
            trust.forget();
            trust.limit().filter(|_| self.policy.idle_connection_limit)
        });
        loop {
            let mut idle = self.take_idle(target, request)?;
            let idle_time = now - idle.since;
            if !idle.is_expired(now) && max_idle_time.is_none_or(|max| idle_time < max) {
                idle.connection.idle_time = Some(idle_time);
                idle.connection.last_request = request;
                return Some(idle.connection);
            }
        }
    }

    /// The newest idle connection whose last request was a different one. If there is none, and no further connection
    /// may be opened, one idle connection is closed so that a new one can replace it.
    fn take_idle(&self, target: &SendTarget, request: RequestNumber) -> Option<IdleConnection> {
        let mut all = self.idle.borrow_mut();
        let connections = all.get_mut(&target.key)?;
        let reusable = connections.iter().rposition(|idle| idle.connection.last_request != request);
        if reusable.is_none() && !target.may_open_connection {
            drop(connections.pop());
        }
        Some(connections.remove(reusable?))
    }

    /// Records whether a connection was lost during its call: endpoints may drop idle connections without closing them.
    pub(crate) fn record_idle_reuse(&self, service: &str, connection: &EndpointConnection, was_lost: bool) {
        let mut all = self.idle_trust.borrow_mut();
        match all.get_mut(service) {
            Some(trust) => trust.learn(connection.idle_time, was_lost),
            // Before the first loss, nothing limits the reuse of idle connections.
            None if was_lost => {
                all.entry(service.to_owned()).or_default().learn(connection.idle_time, was_lost)
            }
            None => {}
        }
    }

    pub(crate) async fn open_connection(
        self: &Rc<Self>,
        target: &SendTarget,
        connect_timeout: Duration,
        request: RequestNumber,
    ) -> Result<EndpointConnection, CallError> {
        // Counted from the start: the endpoint may count a connection that is never established from here.
        self.router.borrow_mut().record_connection_opened(target.key);
        let pending = PendingConnection { shared: self, key: Some(target.key) };
        let connection = Connection::open(SocketAddr::V4(target.address), connect_timeout).await?;
        pending.disarm();
        self.count(|metrics| metrics.connections_opened += 1);
        Ok(EndpointConnection {
            shared: Rc::downgrade(self),
            key: target.key,
            connection,
            last_request: request,
            idle_time: None,
        })
    }

    /// Returns a connection to the pool after a response with this head that was read completely.
    pub(crate) fn check_in(self: &Rc<Self>, mut connection: EndpointConnection, head: &HeaderMap) {
        let idle_limit = headers::idle_time(head);
        // If the response came before the request was completely written, the rest of the request would follow.
        if headers::closes(head) || idle_limit.is_zero() || !connection.connection.request_written() {
            return;
        }
        let shared = self.clone();
        spawn_local(async move {
            if matches!(timeout(DRAIN_TIMEOUT, connection.connection.is_alive()).await, Ok(true)) {
                let since = Instant::now();
                let idle = IdleConnection { since, expires_at: since + idle_limit, connection };
                shared.idle.borrow_mut().entry(idle.connection.key).or_default().push(idle);
            }
        });
    }

    /// Reads the rest of an unwanted response, then returns its connection to the pool.
    pub(crate) fn check_in_unread(
        self: &Rc<Self>,
        connection: EndpointConnection,
        head: HeaderMap,
        mut body: ReceivedBody,
    ) {
        let shared = self.clone();
        spawn_local(async move {
            if drain_body(&mut body).await {
                drop(body);
                shared.check_in(connection, &head);
            }
        });
    }

    /// Closes expired idle connections.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut expired = Vec::new();
        self.idle.borrow_mut().retain(|_, connections| {
            expired.extend(connections.extract_if(.., |idle| idle.is_expired(now)));
            !connections.is_empty()
        });
    }
}

async fn drain_body(body: &mut ReceivedBody) -> bool {
    use http_body_util::BodyExt;
    let complete = async {
        let mut read = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            read += frame.data_ref().map_or(0, bytes::Bytes::len);
            if read > MAX_DRAINED_BYTES {
                return false;
            }
        }
        true
    };
    timeout(DRAIN_TIMEOUT, complete).await.unwrap_or(false)
}

/// Counts a connection as open while it is being established; undoes that on drop unless disarmed.
struct PendingConnection<'a> {
    shared: &'a SharedState,
    key: Option<EndpointKey>,
}

impl PendingConnection<'_> {
    fn disarm(mut self) {
        self.key = None;
    }
}

impl Drop for PendingConnection<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.shared.router.borrow_mut().record_connection_closed(key);
        }
    }
}

/// A call in flight. The router is notified of its outcome when it is dropped.
pub(crate) struct CallInFlight {
    shared: Rc<SharedState>,
    key: EndpointKey,
    instance_id: Arc<str>,
    routing_request: Rc<RoutingRequest>,
    started_at: Instant,
    first_byte_at: Option<Instant>,
    load: Option<ServerLoad>,
    outcome: Outcome,
}

impl CallInFlight {
    pub(crate) fn new(
        shared: Rc<SharedState>,
        target: &SendTarget,
        routing_request: Rc<RoutingRequest>,
    ) -> Self {
        let started_at = Instant::now();
        Self {
            shared,
            key: target.key,
            instance_id: target.instance_id.clone(),
            routing_request,
            started_at,
            first_byte_at: None,
            load: None,
            outcome: Outcome::Void,
        }
    }

    pub(crate) fn key(&self) -> EndpointKey {
        self.key
    }

    pub(crate) fn instance_id(&self) -> &Arc<str> {
        &self.instance_id
    }

    pub(crate) fn routing_request(&self) -> &Rc<RoutingRequest> {
        &self.routing_request
    }

    /// Records that the send begins: from now on the request may execute.
    pub(crate) fn sending(&mut self) {
        self.outcome = Outcome::Cancelled;
    }

    /// Records that the response head has arrived.
    pub(crate) fn response_received(&mut self, load: Option<ServerLoad>) {
        self.first_byte_at = Some(Instant::now());
        self.load = load;
        if let Some(load) = load {
            self.shared.router.borrow_mut().record_load(self.shared.now(), self.key, load);
        }
    }

    pub(crate) fn complete(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for CallInFlight {
    fn drop(&mut self) {
        let time_to_first_byte = self.first_byte_at.unwrap_or_else(Instant::now) - self.started_at;
        let time_to_first_byte = Span(u64::try_from(time_to_first_byte.as_micros()).unwrap_or(u64::MAX));
        let now = self.shared.now();
        self.shared.router.borrow_mut().record_completion(
            now,
            self.key,
            &self.routing_request,
            self.outcome,
            self.load,
            time_to_first_byte,
        );
        self.shared.queue.wake_first(&self.routing_request.service);
    }
}
