//! What all parties of a run share: the clock, the partners' models and the checker.
use crate::checker::RuleChecker;
use crate::model::{Condition, Partner};
use crate::plan::{Micros, Plan};
use crate::scenario::{Scenario, ScheduledFault};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock};
use tokio::sync::{oneshot, watch};
use tokio::time::{Duration, Instant};

/// A run's shared state.
pub struct Stage {
    /// What is run.
    pub scenario: Scenario,
    /// What was drawn.
    pub plan: Plan,
    start: RwLock<Instant>,
    inner: Mutex<Inner>,
    /// By partner: whether its endpoints can be connected to.
    pub open: Vec<watch::Sender<bool>>,
    /// Whether the run is over for all.
    pub over: watch::Sender<bool>,
}

/// What is changed under the lock.
pub struct Inner {
    /// The checker.
    pub checker: RuleChecker,
    /// The partners.
    pub partners: Vec<Partner>,
    /// Work of each message, by the checker's number.
    pub works: Vec<Micros>,
    /// Clients that wait to hear that their message came back, and when they may come again.
    pub returns: HashMap<usize, oneshot::Sender<Option<u64>>>,
    /// Faults of the test bed's own.
    pub faults: Vec<String>,
}

impl Stage {
    /// A stage for one run.
    pub fn new(scenario: Scenario, plan: Plan, seed: u64) -> Self {
        let partners = Partner::all(&plan, &scenario, seed);
        Self {
            open: partners.iter().map(|_| watch::Sender::new(true)).collect(),
            inner: Mutex::new(Inner {
                checker: RuleChecker::new(&scenario, &plan),
                partners,
                works: Vec::new(),
                returns: HashMap::new(),
                faults: Vec::new(),
            }),
            over: watch::Sender::new(false),
            start: RwLock::new(Instant::now()),
            scenario,
            plan,
        }
    }

    /// Has the clock start now: once all senders are ready.
    pub fn begin(&self) {
        *self.start.write().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn start(&self) -> Instant {
        *self.start.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Micros {
        Instant::now().saturating_duration_since(self.start()).as_micros() as Micros
    }

    /// The instant of a time of the run.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start() + Duration::from_micros(at)
    }

    /// The shared state. A party that panicked while it held the lock has changed at most one entry.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A fault begins or ends at a partner.
    pub fn apply_fault(&self, partner: usize, fault: &ScheduledFault, begins: bool) {
        let now = self.now();
        let mut inner = self.lock();
        inner.partners[partner].apply_fault(now, fault, begins);
        let open = inner.partners[partner].condition(0) != Condition::Down;
        drop(inner);
        self.open[partner].send_replace(open);
    }

    /// Notes a fault of the test bed's own: its run proves nothing.
    pub fn record_testbed_fault(&self, what: String) {
        self.lock().faults.push(what);
    }

    /// Takes out what is left once all parties are done.
    pub fn finish(&self) -> (RuleChecker, Vec<String>) {
        let mut inner = self.lock();
        let fresh = RuleChecker::new(&self.scenario, &self.plan);
        (std::mem::replace(&mut inner.checker, fresh), std::mem::take(&mut inner.faults))
    }
}
