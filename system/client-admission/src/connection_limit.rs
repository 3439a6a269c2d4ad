//! A limit on open client connections. At the limit, the connection that has waited longest for its client gives way to a
//! new one.
//!
//! A connection waits for its client while it is idle, while a request's head or body is incomplete, and while the client takes
//! nothing of an answer. One whose request is served otherwise is never evicted.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection gives way once it has waited for its client for this long, unless the limit states another time.
const EVICTION_AGE: Duration = Duration::from_secs(1);

/// The open connections of a listener. Bound to one thread.
#[derive(Debug)]
pub struct ConnectionLimit {
    max: usize,
    eviction_age: Duration,
    open: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_id: Cell<u64>,
    /// Connections that were evicted and are still open.
    evicted_open: Cell<usize>,
    evicted: Cell<u64>,
    closed: Notify,
}

#[derive(Debug)]
struct ConnectionState {
    /// Since when it waits for its client; `None` while a request is served and nothing of its answer waits.
    waiting_since: Cell<Option<Instant>>,
    is_evicted: Cell<bool>,
    evicted: Arc<Notify>,
}

impl ConnectionLimit {
    /// A limit of `max` connections, of which one gives way after a second of waiting for its client.
    pub fn new(max: usize) -> Rc<Self> {
        Self::with_eviction_age(max, EVICTION_AGE)
    }

    /// A limit of `max` connections, of which one gives way after it has waited for its client for `eviction_age`.
    pub fn with_eviction_age(max: usize, eviction_age: Duration) -> Rc<Self> {
        Rc::new(Self {
            max,
            eviction_age,
            open: RefCell::default(),
            next_id: Cell::new(0),
            evicted_open: Cell::new(0),
            evicted: Cell::new(0),
            closed: Notify::new(),
        })
    }

    /// Admits a connection, evicting another one at the limit; `None` if no connection may be evicted.
    pub fn admit(self: &Rc<Self>) -> Option<ConnectionSlot> {
        if self.open_connections() >= self.max && !self.evict_longest_waiting() {
            return None;
        }
        let id = self.next_id.replace(self.next_id.get() + 1);
        let state = Rc::new(ConnectionState {
            waiting_since: Cell::new(Some(Instant::now())),
            is_evicted: Cell::new(false),
            evicted: Arc::new(Notify::new()),
        });
        self.open.borrow_mut().insert(id, state.clone());
        Some(ConnectionSlot { limit: self.clone(), id, state })
    }

    /// Number of open connections without those that are evicted and about to close.
    pub fn open_connections(&self) -> usize {
        self.open.borrow().len() - self.evicted_open.get()
    }

    /// Number of connections evicted so far.
    pub fn evicted(&self) -> u64 {
        self.evicted.get()
    }

    /// Waits until the next connection closes.
    pub async fn connection_closed(&self) {
        self.closed.notified().await;
    }

    /// Whether no connection is open.
    pub fn is_unused(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Evicts the connection that has waited longest for its client; returns whether there was one.
    fn evict_longest_waiting(&self) -> bool {
        let open = self.open.borrow();
        let waiting = open.values().filter(|state| !state.is_evicted.get());
        let waiting = waiting.filter_map(|state| Some((state.waiting_since.get()?, state)));
        let Some((since, state)) = waiting.min_by_key(|(since, _)| *since) else { return false };
        if since.elapsed() < self.eviction_age {
            return false;
        }
        state.is_evicted.set(true);
        state.evicted.notify_one();
        self.evicted_open.set(self.evicted_open.get() + 1);
        self.evicted.set(self.evicted.get() + 1);
        true
    }
}

/// An admitted connection, until it is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    limit: Rc<ConnectionLimit>,
    id: u64,
    state: Rc<ConnectionState>,
}

impl ConnectionSlot {
    /// A complete request has arrived, and is served from now on.
    pub fn start_serving(&self) {
        self.state.waiting_since.set(None);
    }

    /// Bytes of an answer wait for the client, unless some do already.
    pub fn bytes_wait(&self) {
        let since = self.state.waiting_since.get().unwrap_or_else(Instant::now);
        self.state.waiting_since.set(Some(since));
    }

    /// The client has taken bytes of an answer; whether more wait for it.
    pub fn bytes_taken(&self, more_wait: bool) {
        self.state.waiting_since.set(more_wait.then(Instant::now));
    }

    /// The connection waits for its client again.
    pub fn start_waiting(&self) {
        self.state.waiting_since.set(Some(Instant::now()));
    }

    /// Notified when a response on this connection has to give way: the connection then closes as an evicted one does.
    pub fn response_evicted(&self) -> Arc<Notify> {
        self.state.evicted.clone()
    }

    /// Completes once the connection is to close in favor of a new one, or of what else needs the memory.
    pub async fn evicted(&self) {
        self.state.evicted.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.limit.open.borrow_mut().remove(&self.id);
        if self.state.is_evicted.get() {
            self.limit.evicted_open.set(self.limit.evicted_open.get() - 1);
        }
        self.limit.closed.notify_one();
    }
}
