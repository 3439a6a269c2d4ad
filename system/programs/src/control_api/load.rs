//! Limits on the number of connections and of waiting watches, so that neither exhausts the process's file descriptors and keeps
//! the operator out.

use std::cell::Cell;
use std::rc::Rc;

/// Limits on what applications may occupy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApiLimits {
    /// Number of open connections above which calls of applications are rejected and their connections closed.
    pub connections: usize,
    /// Maximum number of waiting watches; each occupies a connection.
    pub waiting_watches: usize,
}

impl Default for ApiLimits {
    /// Half of the file descriptors that a core machine is given (4,096) for connections, a quarter for waiting watches.
    fn default() -> Self {
        Self { connections: 2_048, waiting_watches: 1_024 }
    }
}

/// What is occupied now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ApiCounts {
    /// Number of open connections.
    pub connections: usize,
    /// Number of waiting watches.
    pub waiting_watches: usize,
    /// Number of calls that were rejected over a limit since the start.
    pub rejected: u64,
}

/// The connections and waiting watches of a server, within limits.
#[derive(Debug, Default)]
pub struct ApiLoad {
    limits: ApiLimits,
    connections: Rc<Cell<usize>>,
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
        Self { limits, ..Self::default() }
    }

    /// What is occupied now.
    pub fn counts(&self) -> ApiCounts {
        ApiCounts {
            connections: self.connections.get(),
            waiting_watches: self.waiting_watches.get(),
            rejected: self.rejected.get(),
        }
    }

    /// Counts a connection. It is accepted over the limit too, since it may be the operator's.
    pub(super) fn occupy_connection(&self) -> Occupied {
        Occupied::new(&self.connections)
    }

    /// Whether a call of an application may use its connection; counts those that may not.
    pub(super) fn admits_application(&self) -> bool {
        self.admit(self.connections.get() <= self.limits.connections)
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
