//! Limits on what callers of the API may occupy, so that none of them exhausts the process's memory or file descriptors, and
//! applications do not keep the operator out.

use client_admission::{BodyBudget, ClientLimits, ConnectionLimit, ConnectionSlot};
use std::cell::Cell;
use std::rc::Rc;

/// Limits on what callers may occupy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApiLimits {
    /// Number of open connections above which calls of applications are rejected and their connections closed.
    pub connections: usize,
    /// Maximum number of waiting watches; each occupies a connection.
    pub waiting_watches: usize,
    /// Maximum number of open connections and of bytes of request bodies, the operator's included.
    pub clients: ClientLimits,
}

impl ApiLimits {
    /// Three quarters of the connections for applications, half of them for waiting watches.
    pub fn within(clients: ClientLimits) -> Self {
        let connections = clients.connections / 4 * 3;
        Self { connections, waiting_watches: clients.connections / 2, clients }
    }
}

impl Default for ApiLimits {
    /// The limits of a core machine with 256 MB and 4,096 file descriptors.
    fn default() -> Self {
        Self::within(ClientLimits::for_process(256.0, 4_096))
    }
}

/// What is occupied now, and what was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ApiCounts {
    /// Number of open connections.
    pub connections: usize,
    /// Number of waiting watches.
    pub waiting_watches: usize,
    /// Bytes that request bodies occupy.
    pub body_bytes: usize,
    /// Number of calls that were rejected over a limit.
    pub rejected: u64,
    /// Number of connections that were closed in favor of new ones.
    pub connections_evicted: u64,
    /// Number of incomplete bodies that gave way to others.
    pub bodies_evicted: u64,
}

/// The connections, bodies and waiting watches of a server, within limits.
#[derive(Debug)]
pub struct ApiLoad {
    limits: ApiLimits,
    connections: Rc<ConnectionLimit>,
    bodies: BodyBudget,
    waiting_watches: Rc<Cell<usize>>,
    rejected: Cell<u64>,
}

/// One unit of a count, until it is dropped.
#[derive(Debug)]
pub(super) struct Occupied(Rc<Cell<usize>>);

impl Occupied {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Occupied {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ApiLoad {
    /// Nothing occupied yet.
    pub fn new(limits: ApiLimits) -> Self {
        Self {
            limits,
            connections: ConnectionLimit::new(limits.clients.connections),
            bodies: BodyBudget::new(limits.clients.body_bytes),
            waiting_watches: Rc::default(),
            rejected: Cell::new(0),
        }
    }

    /// What is occupied now.
    pub fn counts(&self) -> ApiCounts {
        ApiCounts {
            connections: self.connections.open_connections(),
            waiting_watches: self.waiting_watches.get(),
            body_bytes: self.bodies.used_bytes(),
            rejected: self.rejected.get(),
            connections_evicted: self.connections.evicted(),
            bodies_evicted: self.bodies.evicted(),
        }
    }

    /// The memory for request bodies.
    pub(super) fn bodies(&self) -> &BodyBudget {
        &self.bodies
    }

    /// Admits a connection, which may be the operator's; `None` if all others are being served.
    pub(super) fn admit_connection(&self) -> Option<ConnectionSlot> {
        let slot = self.connections.admit();
        self.admit(slot.is_some());
        slot
    }

    /// Whether a call of an application may use its connection; counts those that may not.
    pub(super) fn admits_application(&self) -> bool {
        self.admit(self.connections.open_connections() <= self.limits.connections)
    }

    /// Counts a waiting watch; `None` over the limit.
    pub(super) fn occupy_watch(&self) -> Option<Occupied> {
        self.admit(self.waiting_watches.get() < self.limits.waiting_watches)
            .then(|| Occupied::new(&self.waiting_watches))
    }

    fn admit(&self, is_within: bool) -> bool {
        if !is_within {
            self.rejected.set(self.rejected.get() + 1);
        }
        is_within
    }
}
