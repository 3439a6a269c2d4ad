//! The wait queue: requests that wait for a slot, by service and rank.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use tokio::sync::Notify;

/// A waiter's rank; the lowest is served first. It is the arrival time in microseconds plus a penalty for each lower
/// priority, so that a request that has waited for long precedes any that arrives now, and a sequence number that
/// breaks ties.
pub(crate) type Rank = (u64, u64);

/// Rank penalty of each lower priority: it counts as having arrived this much later, in microseconds.
const PRIORITY_STEP_MICROS: u64 = 250_000;
/// Number of a service's first waiters that poll the router; those behind are notified in order.
const POLLING_WAITERS: usize = 4;

/// Waiters of one service.
type Waiters = BTreeMap<Rank, Rc<Notify>>;

/// Waiters by service and rank.
pub(crate) struct WaitQueue {
    max_waiting: usize,
    waiting: Cell<usize>,
    last_sequence: Cell<u64>,
    services: RefCell<HashMap<Rc<str>, Waiters>>,
}

/// A position in the queue, which is given up on drop.
pub(crate) struct Waiter {
    queue: Rc<WaitQueue>,
    service: Rc<str>,
    rank: Rank,
    notify: Rc<Notify>,
}

impl WaitQueue {
    pub(crate) fn new(max_waiting: usize) -> Rc<Self> {
        Rc::new(Self {
            max_waiting,
            waiting: Cell::new(0),
            last_sequence: Cell::new(0),
            services: RefCell::new(HashMap::new()),
        })
    }

    pub(crate) fn rank(&self, arrived: u64, priority: u8) -> Rank {
        self.last_sequence.set(self.last_sequence.get() + 1);
        (arrived.saturating_add(PRIORITY_STEP_MICROS * u64::from(priority)), self.last_sequence.get())
    }

    /// Whether a request with a lower rank waits for this service.
    pub(crate) fn is_behind(&self, service: &str, rank: Rank) -> bool {
        let services = self.services.borrow();
        let first = services.get(service).and_then(|waiters| waiters.first_key_value());
        first.is_some_and(|(first, _)| *first < rank)
    }

    /// Enters the queue; `None` if it is full.
    pub(crate) fn enter(self: &Rc<Self>, service: &str, rank: Rank) -> Option<Waiter> {
        if self.waiting.get() >= self.max_waiting {
            return None;
        }
        self.waiting.set(self.waiting.get() + 1);
        let service: Rc<str> = service.into();
        let notify = Rc::new(Notify::new());
        self.services.borrow_mut().entry(service.clone()).or_default().insert(rank, notify.clone());
        Some(Waiter { queue: self.clone(), service, rank, notify })
    }

    /// Notifies the first waiter of a service: a slot may have become free.
    pub(crate) fn wake_first(&self, service: &str) {
        if let Some(waiters) = self.services.borrow().get(service)
            && let Some((_, first)) = waiters.first_key_value()
        {
            first.notify_one();
        }
    }

    /// Notifies the first waiters of all services.
    pub(crate) fn wake_all(&self) {
        for waiters in self.services.borrow().values() {
            waiters.values().take(POLLING_WAITERS).for_each(|waiter| waiter.notify_one());
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.get()
    }
}

impl Waiter {
    /// Whether it is among its service's first waiters, which poll the router.
    pub(crate) fn is_near_head(&self) -> bool {
        let services = self.queue.services.borrow();
        services
            .get(&self.service)
            .is_some_and(|waiters| waiters.keys().take(POLLING_WAITERS).any(|rank| *rank == self.rank))
    }

    pub(crate) async fn notified(&self) {
        self.notify.notified().await;
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.queue.waiting.set(self.queue.waiting.get() - 1);
        let mut services = self.queue.services.borrow_mut();
        if let Some(waiters) = services.get_mut(&self.service) {
            waiters.remove(&self.rank);
            match waiters.first_key_value() {
                // There may be more free slots than the one taken by the waiter that leaves.
                Some((_, first)) => first.notify_one(),
                None => drop(services.remove(&self.service)),
            }
        }
    }
}

#[cfg(test)]
mod tests;
