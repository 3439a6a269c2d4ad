//! Count of open connections.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Number of open connections, with notification of each end.
#[derive(Default)]
pub(crate) struct OpenConnections {
    pub(crate) count: Cell<usize>,
    pub(crate) changed: Notify,
}

/// Counts one connection as open until it is dropped.
pub(crate) struct ConnectionGuard(Rc<OpenConnections>);

impl ConnectionGuard {
    pub(crate) fn new(open: &Rc<OpenConnections>) -> Self {
        open.count.set(open.count.get() + 1);
        Self(open.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.changed.notify_one();
    }
}
