//! Count of connections.

use std::cell::Cell;
use std::rc::Rc;

/// Number of open connections.
#[derive(Default)]
pub(crate) struct OpenConnections {
    pub(crate) count: Cell<usize>,
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
    }
}
