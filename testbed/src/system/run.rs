//! One simulation run: the machines start, clients and operators send requests, faults are injected by the schedule, and after
//! the last fault the system has to converge.

mod convergence;
mod faults;

use super::Mutation;
use super::cluster::{Cluster, Host};
use super::control::{ControlNodes, SimulatedControlNode};
use super::disk::{ACCEPTOR_RECORD, ACCEPTOR_SPACE};
use super::edge::{MAX_TURN_TOKENS, Proxy, TurnEnd, TurnRequest, start_agent};
use super::history::{Fact, History};
use super::operators::Operators;
use super::runtime::Feed;
use super::schedule::{Class, Schedule};
use super::storage_node::SimulatedStorageNode;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Time limit for convergence after the last fault, in milliseconds.
pub const SETTLED_MS: u64 = 20_000;
/// Interval between two checks for newly committed changes.
const CHECK_INTERVAL_MS: u64 = 50;
const OPERATORS: usize = 2;
const PROGRAMS: usize = 3;
const BRANCHES: usize = 2;
const BUDGETS: [u32; 3] = [25, 40, 60];

/// A run in progress.
pub(super) struct SystemRun {
    pub(super) cluster: Rc<Cluster>,
    pub(super) schedule: Schedule,
    pub(super) control_nodes: RefCell<ControlNodes>,
    pub(super) operators: Operators,
    stores: RefCell<BTreeMap<usize, Rc<SimulatedStorageNode>>>,
    agents: RefCell<BTreeMap<usize, (Host, Rc<Feed>)>>,
    proxies: RefCell<BTreeMap<usize, Rc<Proxy>>>,
    /// Machines that were removed permanently.
    removed: RefCell<Vec<usize>>,
    retired: RefCell<Vec<usize>>,
    last_attempt: Cell<u64>,
    /// `Attempt-Id`s of completed turns.
    completed_turns: RefCell<Vec<String>>,
    pub(super) calm: Cell<bool>,
    /// The last fault, which waits for a configuration to be acknowledged.
    last_fault: RefCell<Option<(bool, Vec<usize>, u64)>>,
    /// A configuration was acknowledged after the last fault.
    pub(super) acknowledged: Cell<bool>,
}

/// Runs a schedule and returns its history.
pub fn simulate(schedule: &Schedule, mutation: Option<Mutation>) -> History {
    // On a thread that no runtime drives: within one, its channels would want to yield to it.
    std::thread::scope(|scope| {
        let result = scope.spawn(|| simulate_on_this_thread(schedule, mutation)).join();
        result.unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    })
}

fn simulate_on_this_thread(schedule: &Schedule, mutation: Option<Mutation>) -> History {
    let cluster = Cluster::new(schedule.seed, schedule.tolerance, schedule.machines.clone(), mutation);
    let run = Rc::new(SystemRun {
        cluster: cluster.clone(),
        schedule: schedule.clone(),
        control_nodes: RefCell::default(),
        stores: RefCell::default(),
        agents: RefCell::default(),
        proxies: RefCell::default(),
        removed: RefCell::default(),
        retired: RefCell::default(),
        operators: Operators::default(),
        last_attempt: Cell::new(0),
        completed_turns: RefCell::default(),
        calm: Cell::new(false),
        last_fault: RefCell::default(),
        acknowledged: Cell::new(false),
    });
    run.start_all();
    cluster.run_ms(schedule.calm_ms);
    run.calm.set(true);
    cluster.record(Fact::Calm);
    let settled = run.settle();
    cluster.record(settled);
    run.record_orders_in_force();
    run.record_sizes();
    let history = cluster.finish();
    // Drop what still refers to the cluster.
    run.control_nodes.borrow_mut().clear();
    run.stores.borrow_mut().clear();
    run.agents.borrow_mut().clear();
    run.proxies.borrow_mut().clear();
    history
}

impl SystemRun {
    fn run_after(self: &Rc<Self>, after_ms: u64, then: impl FnOnce(&Rc<SystemRun>) + 'static) {
        let run = self.clone();
        self.cluster.executor.spawn(self.cluster.driver, async move {
            run.cluster.executor.sleep(after_ms * 1_000).await;
            then(&run);
        });
    }

    pub(super) fn sleep_ms(&self, for_ms: u64) -> super::executor::Sleep {
        self.cluster.executor.sleep(for_ms * 1_000)
    }

    fn start_all(self: &Rc<Self>) {
        let classes = self.schedule.machines.iter().map(|machine| machine.class).collect();
        self.cluster.record(Fact::Fleet { classes });
        for (number, machine) in self.schedule.machines.iter().enumerate() {
            if machine.first {
                self.run_after(self.cluster.random_below(300), move |run| run.start(number));
            }
        }
        for fault in self.schedule.faults.clone() {
            self.run_after(fault.at_ms, move |run| run.inject(fault));
        }
        let driver = self.cluster.driver;
        for _ in 0..OPERATORS {
            self.cluster.executor.spawn(driver, self.clone().operate());
        }
        for _ in 0..PROGRAMS {
            self.cluster.executor.spawn(driver, self.clone().run_programs());
        }
        let run = self.clone();
        self.cluster.executor.spawn(driver, async move {
            loop {
                run.sleep_ms(CHECK_INTERVAL_MS).await;
                run.record_orders_in_force();
            }
        });
        let run = self.clone();
        self.cluster.executor.spawn(driver, async move {
            while !run.calm.get() {
                run.sleep_ms(700 + run.cluster.random_below(900)).await;
                run.cluster.change_list();
            }
        });
    }

    // Faults of machines.

    fn start(&self, machine: usize) {
        if !self.removed.borrow().contains(&machine) {
            self.cluster.nodes_of(machine).into_iter().for_each(|node| self.start_process(node));
        }
    }

    fn start_process(&self, node: usize) {
        let Some((host, first)) = self.cluster.start_process(node) else { return };
        match host.class {
            Class::ControlNode => {
                drop(self.control_nodes.borrow_mut().insert(node, SimulatedControlNode::start(&host, first)))
            }
            Class::Store => drop(self.stores.borrow_mut().insert(node, SimulatedStorageNode::start(&host))),
            Class::Agent => {
                let feed = start_agent(&host);
                self.agents.borrow_mut().insert(node, (host, feed));
            }
            Class::Proxy => drop(self.proxies.borrow_mut().insert(node, Proxy::start(&host))),
        }
    }

    fn end_process(&self, node: usize, power: bool) {
        self.cluster.end(node, power);
        let control_node = self.control_nodes.borrow_mut().remove(&node);
        let store = self.stores.borrow_mut().remove(&node);
        let agent = self.agents.borrow_mut().remove(&node);
        let proxy = self.proxies.borrow_mut().remove(&node);
        drop((control_node, store, agent, proxy));
    }

    fn end(&self, machine: usize, power: bool) {
        self.cluster.nodes_of(machine).into_iter().for_each(|node| self.end_process(node, power));
    }

    /// Removes a machine permanently.
    pub(super) fn remove_machine(&self, machine: usize) {
        self.removed.borrow_mut().push(machine);
        self.cluster.record(Fact::Removed { machine });
        self.end(machine, true);
    }

    fn is_up(&self, machine: usize) -> bool {
        self.cluster.nodes_of(machine).into_iter().any(|node| self.cluster.is_up(node))
    }

    fn machines_of(&self, class: Class) -> Vec<usize> {
        let machines = &self.schedule.machines;
        (0..machines.len()).filter(|machine| machines[*machine].class == class).collect()
    }

    /// Spawns a task that is not part of a simulated process.
    fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        self.cluster.executor.spawn(self.cluster.driver, work);
    }

    /// The machine whose process holds the lease of the singleton task.
    fn lease_holder(&self) -> Option<usize> {
        let control_nodes = self.control_nodes.borrow();
        let holder =
            control_nodes.iter().find(|(_, control_node)| control_node.discovery_token().is_some())?;
        Some(self.cluster.machine_index_of(*holder.0))
    }

    fn record_sizes(&self) {
        let control_nodes = self.control_nodes.borrow();
        let record = |node: &usize| self.cluster.disk_of(*node).length(ACCEPTOR_SPACE, ACCEPTOR_RECORD);
        let payload =
            control_nodes.values().map(|control_node| control_node.feed.value().payload.len()).max();
        self.cluster.record(Fact::Sizes {
            record: control_nodes.keys().map(record).max().unwrap_or_default(),
            payload: payload.unwrap_or_default(),
        });
    }

    // Clients.

    pub(super) fn pick<T: Clone>(&self, all: &RefCell<BTreeMap<usize, T>>) -> Option<T> {
        let all = all.borrow();
        let index = self.cluster.random_below(all.len() as u64) as usize;
        all.values().nth(index).cloned()
    }

    /// Runs work on a process; none on a time-out or if the process ends.
    pub(super) async fn call_process<T: 'static>(
        &self,
        host: &Host,
        within_ms: u64,
        work: impl Future<Output = T> + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.sleep_ms(1).await;
        host.spawn(async move {
            let _ = sender.send(work.await);
        });
        self.cluster.executor.timeout(within_ms * 1_000, receiver).await?.ok()
    }

    async fn run_programs(self: Rc<Self>) {
        while !self.calm.get() {
            self.sleep_ms(100 + self.cluster.random_below(1_000)).await;
            let budget = BUDGETS[self.cluster.random_below(BUDGETS.len() as u64) as usize];
            self.last_attempt.set(self.last_attempt.get() + 1);
            let program = format!("p{}", self.last_attempt.get());
            self.cluster.record(Fact::Program {
                program: program.clone(),
                budget: budget.into(),
                max_turn_tokens: MAX_TURN_TOKENS.into(),
            });
            let turns = Rc::new(RefCell::new(Vec::new()));
            let branches = (0..BRANCHES).map(|_| self.branch(&program, budget, &turns));
            futures_util::future::join_all(branches).await;
        }
    }

    /// Sends turns one after another, each continuing one of the program's turns, until its budget is spent.
    async fn branch(&self, program: &str, budget: u32, turns: &RefCell<Vec<String>>) {
        let mut failed = 0;
        while failed < 6 && !self.calm.get() {
            self.sleep_ms(20 + self.cluster.random_below(250)).await;
            let Some(proxy) = self.pick(&self.proxies) else { continue };
            self.last_attempt.set(self.last_attempt.get() + 1);
            let previous = {
                let turns = turns.borrow();
                let index = turns.len().saturating_sub(1 + self.cluster.random_below(2) as usize);
                turns.get(index).cloned()
            };
            let attempt = format!("{program}-{}", self.last_attempt.get());
            let request =
                TurnRequest { program: program.to_owned(), attempt: attempt.clone(), previous, budget };
            let host = proxy.host().clone();
            match self.call_process(&host, 6_000, proxy.turn(request)).await {
                Some(TurnEnd::Completed) => {
                    failed = 0;
                    turns.borrow_mut().push(attempt.clone());
                    self.completed_turns.borrow_mut().push(attempt);
                }
                Some(TurnEnd::Spent) => return,
                Some(TurnEnd::NoSuchTurn | TurnEnd::Failed) | None => failed += 1,
            }
        }
    }

    // Convergence.
}
