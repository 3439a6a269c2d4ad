//! One simulation run: the machines start, clients and operators send requests, faults are injected by the schedule, and after
//! the last fault the system has to converge.

use super::Mutation;
use super::cluster::{Cluster, Host};
use super::control::{ControlNodes, SimulatedControlNode};
use super::disk::{ACCEPTOR_RECORD, ACCEPTOR_SPACE};
use super::edge::{MAX_TURN_TOKENS, Proxy, TurnEnd, TurnRequest, start_agent};
use super::history::{Disturbance, Fact, History, LookupResult};
use super::operators::Operators;
use super::runtime::Feed;
use super::schedule::{Class, Fault, FaultKind, Isolation, LAST_FAULT_DELAY_MS, Schedule, Target};
use super::storage_node::SimulatedStorageNode;
use fleet_model::Ballot;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time limit for convergence after the last fault, in milliseconds.
pub const SETTLED_MS: u64 = 20_000;
/// Maximum age of a process's feed state after convergence.
const FRESH: Duration = Duration::from_millis(2_000);
/// Interval between two checks for newly committed changes.
const CHECK_INTERVAL_MS: u64 = 50;
/// A processor quota is granted anew in each period of this length.
const QUOTA_PERIOD_MS: u64 = 100;
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

    fn record_disturbance(&self, machine: usize, for_ms: u64) {
        let until = self.cluster.elapsed_ms() + for_ms;
        self.cluster.record(Fact::Disturbed { machine, how: Disturbance::Lost, until });
    }

    /// Stops a machine's processes and restarts them after `back_ms`.
    pub(super) fn restart_machine(self: &Rc<Self>, machine: usize, power: bool, wiped: bool, back_ms: u64) {
        self.record_disturbance(machine, back_ms);
        self.end(machine, power);
        if wiped {
            self.cluster.nodes_of(machine).into_iter().for_each(|node| self.cluster.wipe(node));
        }
        self.run_after(back_ms, move |run| run.start_and_watch(machine));
    }

    /// Starts a machine, again or for the first time, and measures its catch-up.
    fn start_and_watch(self: &Rc<Self>, machine: usize) {
        self.start(machine);
        self.watch_return(machine);
    }

    fn freeze(self: &Rc<Self>, machine: usize, for_ms: u64) {
        self.record_disturbance(machine, for_ms);
        for node in self.cluster.nodes_of(machine) {
            if let Some(process) = self.cluster.freeze(node) {
                self.run_after(for_ms, move |run| run.cluster.executor.thaw(process));
            }
        }
    }

    /// Lets a machine's processes run for `run_ms` of each quota period, from the next one on.
    fn throttle(self: &Rc<Self>, machine: usize, run_ms: u64, for_ms: u64) {
        let until = self.cluster.elapsed_ms() + for_ms;
        let run = self.clone();
        self.spawn(async move {
            while run.cluster.elapsed_ms() < until {
                let into_period = run.cluster.elapsed_ms() % QUOTA_PERIOD_MS;
                if into_period < run_ms {
                    run.sleep_ms(run_ms - into_period).await;
                    continue;
                }
                let frozen: Vec<_> = run
                    .cluster
                    .nodes_of(machine)
                    .into_iter()
                    .filter_map(|node| run.cluster.freeze(node))
                    .collect();
                run.sleep_ms(QUOTA_PERIOD_MS - into_period).await;
                frozen.into_iter().for_each(|process| run.cluster.executor.thaw(process));
            }
        });
    }

    fn inject(self: &Rc<Self>, fault: Fault) {
        self.cluster.record(Fact::Fault(fault.to_string()));
        let count = self.schedule.machines.len();
        match fault.kind {
            FaultKind::Freeze { machine, for_ms } => self.freeze(machine, for_ms),
            FaultKind::Throttle { machines, run_ms, for_ms } => {
                machines.into_iter().for_each(|machine| self.throttle(machine, run_ms, for_ms));
            }
            FaultKind::Kill { machine, back_ms } => self.restart_machine(machine, false, false, back_ms),
            FaultKind::KillProxy { machine, back_ms } => {
                let Some(proxy) = self.cluster.nodes_of(machine).pop() else { return };
                self.record_disturbance(machine, back_ms);
                self.end_process(proxy, false);
                self.run_after(back_ms, move |run| run.start(machine));
            }
            FaultKind::LosePower { machine, back_ms } => self.restart_machine(machine, true, false, back_ms),
            FaultKind::Damage { machine, back_ms } => {
                self.restart_machine(machine, true, false, back_ms);
                for node in self.cluster.nodes_of(machine) {
                    self.cluster.disk_of(node).damage(self.cluster.random_below(1 << 20));
                }
            }
            FaultKind::LoseDisk { machine, back_ms } => self.restart_machine(machine, true, true, back_ms),
            FaultKind::Cut { from, to, for_ms } => self.cluster.cut(from, to, for_ms),
            FaultKind::CutOff { machine, for_ms } => {
                for other in (0..count).filter(|other| *other != machine) {
                    self.cluster.cut(machine, other, for_ms);
                    self.cluster.cut(other, machine, for_ms);
                }
            }
            FaultKind::Mislead { machine, for_ms } => {
                let speaks = |other: &usize| self.schedule.machines[*other].class != Class::Store;
                for other in (0..count).filter(|other| *other != machine).filter(speaks) {
                    self.cluster.cut(other, machine, for_ms);
                }
            }
            FaultKind::LoseMessages { of_thousand, for_ms } => {
                self.cluster.lose_messages(for_ms, of_thousand)
            }
            FaultKind::Replace { old, new, starts_ms, ends_ms } => {
                self.run_after(starts_ms, move |run| run.start_and_watch(new));
                self.run_after(ends_ms, move |run| run.remove_machine(old));
            }
            FaultKind::Add { machine } => self.start_and_watch(machine),
            FaultKind::Retire { machine } => {
                self.retired.borrow_mut().push(machine);
                let run = self.clone();
                self.spawn(async move { run.retire(machine).await });
            }
            FaultKind::Isolate { target, how, for_ms } => self.isolate(target, how, for_ms),
            FaultKind::LoseAnswers { of_thousand, for_ms } => self.cluster.lose_answers(for_ms, of_thousand),
            FaultKind::StallDisk { machine, for_ms } => self.disturb_disk(machine, false, for_ms),
            FaultKind::RefuseWrites { machine, for_ms } => self.disturb_disk(machine, true, for_ms),
            FaultKind::RefuseSync { machine } => {
                let nodes = self.cluster.nodes_of(machine);
                nodes.into_iter().for_each(|node| self.cluster.disk_of(node).refuse_sync());
            }
            FaultKind::Burst { orders } => self.spawn(self.clone().burst(orders)),
            FaultKind::KillCore { back_ms } => {
                for machine in self.machines_of(Class::ControlNode) {
                    if self.is_up(machine) {
                        self.restart_machine(machine, false, false, back_ms + self.cluster.random_below(300));
                    }
                }
            }
            FaultKind::LossAtStep { step, victim, wiped, back_ms } => {
                self.spawn(self.clone().lose_at(step, victim, wiped, back_ms));
            }
            FaultKind::RetireThenWipe { machine, wiped, back_ms } => {
                self.retired.borrow_mut().push(machine);
                self.spawn(self.clone().retire_then_wipe(machine, wiped, back_ms));
            }
            FaultKind::All { power, disks, back_ms } => {
                *self.last_fault.borrow_mut() = Some((power, disks, back_ms));
                self.run_after(LAST_FAULT_DELAY_MS, |run| run.inject_last_fault());
            }
        }
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

    /// Isolates a machine. If it is a control node, operators send it changes meanwhile, and one at the moment of its return.
    fn isolate(self: &Rc<Self>, target: Target, how: Isolation, for_ms: u64) {
        let machine = match target {
            Target::Machine(machine) => Some(machine),
            Target::LeaseHolder => self.lease_holder(),
        };
        let Some(machine) = machine else { return };
        self.cluster.record(Fact::Isolated { machine, until: self.cluster.elapsed_ms() + for_ms });
        self.run_after(for_ms, move |run| run.watch_return(machine));
        let everybody: Vec<usize> = (0..self.schedule.machines.len()).collect();
        let core = self.machines_of(Class::ControlNode);
        match how {
            Isolation::Cut => self.cut_paths(machine, &everybody, true, true, for_ms),
            Isolation::CutIncoming => self.cut_paths(machine, &everybody, true, false, for_ms),
            Isolation::CutOutgoing => self.cut_paths(machine, &everybody, false, true, for_ms),
            Isolation::PeersCut => self.cut_paths(machine, &core, true, true, for_ms),
            Isolation::PeersCutIncoming => self.cut_paths(machine, &core, true, false, for_ms),
            Isolation::PeersCutOutgoing => self.cut_paths(machine, &core, false, true, for_ms),
            Isolation::Frozen => self.freeze(machine, for_ms),
            Isolation::Slow => self.cluster.slow_down(machine, for_ms),
        }
        if self.schedule.machines[machine].class == Class::ControlNode {
            for node in self.cluster.nodes_of(machine) {
                self.spawn(self.clone().send_during_isolation(node, for_ms));
                self.spawn(self.clone().send_on_return(node, for_ms));
            }
        }
    }

    fn cut_paths(&self, machine: usize, others: &[usize], incoming: bool, outgoing: bool, for_ms: u64) {
        for other in others.iter().filter(|other| **other != machine) {
            if incoming {
                self.cluster.cut(*other, machine, for_ms);
            }
            if outgoing {
                self.cluster.cut(machine, *other, for_ms);
            }
        }
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

    /// Injects the last fault unless that has already happened.
    pub(super) fn inject_last_fault(self: &Rc<Self>) {
        let Some((power, disks, back_ms)) = self.last_fault.borrow_mut().take() else { return };
        self.cluster.record(Fact::Fault("all go down".to_owned()));
        for machine in 0..self.schedule.machines.len() {
            if self.is_up(machine) {
                let delay_ms = back_ms + self.cluster.random_below(300);
                let wiped = disks.contains(&machine);
                self.restart_machine(machine, power || wiped, wiped, delay_ms);
            }
        }
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

    /// Waits until all conditions are met and all completed turns can be looked up.
    fn settle(self: &Rc<Self>) -> Fact {
        let started_at = self.cluster.elapsed_ms();
        loop {
            self.cluster.run_ms(200);
            let after = self.cluster.elapsed_ms() - started_at;
            let mut unmet = self.unmet_conditions();
            if unmet.is_empty() {
                unmet.extend(self.missing_turns());
            }
            if unmet.is_empty() || after >= SETTLED_MS {
                return Fact::Settled { after, unmet };
            }
        }
    }

    /// Looks up each completed turn and reports how many were not found.
    fn missing_turns(self: &Rc<Self>) -> Option<String> {
        let missing = Rc::new(Cell::new(0));
        let attempts = self.completed_turns.borrow().clone();
        missing.set(attempts.len());
        for attempt in attempts {
            let (run, missing) = (self.clone(), missing.clone());
            self.cluster.executor.spawn(self.cluster.driver, async move {
                let Some(proxy) = run.pick(&run.proxies) else { return };
                let host = proxy.host().clone();
                let result =
                    run.call_process(&host, 2_000, async move { proxy.look_up(&attempt).await }).await;
                if !matches!(result, None | Some(LookupResult::Unavailable)) {
                    missing.set(missing.get() - 1);
                }
            });
        }
        for _ in 0..22 {
            if missing.get() > 0 {
                self.cluster.run_ms(100);
            }
        }
        (missing.get() > 0).then(|| format!("{} turns are not to be had", missing.get()))
    }

    /// The convergence conditions that are not met.
    fn unmet_conditions(&self) -> Vec<String> {
        let mut unmet = Vec::new();
        let control_nodes = self.control_nodes.borrow();
        let newest = control_nodes
            .values()
            .map(|control_node| control_node.feed.value())
            .max_by_key(|value| value.ballot);
        let Some(newest) = newest else { return vec!["no keeper runs".to_owned()] };
        let state = control_nodes
            .values()
            .map(|control_node| control_node.feed.state())
            .max_by_key(|state| state.version());
        let mut behind = |what: String, feed: &Feed| {
            if feed.value().ballot < newest.ballot || newest.ballot == Ballot::default() {
                unmet.push(format!("{what} goes by an older value"));
            } else if feed.age().is_none_or(|age| age > FRESH) {
                unmet.push(format!("{what} has heard nothing of late"));
            }
        };
        for (node, control_node) in &*control_nodes {
            behind(format!("keeper {node}"), &control_node.feed);
        }
        for (node, store) in &*self.stores.borrow() {
            behind(format!("store {node}"), &store.feed);
        }
        for (node, (_, feed)) in &*self.agents.borrow() {
            behind(format!("agent {node}"), feed);
        }
        for (node, proxy) in &*self.proxies.borrow() {
            behind(format!("proxy {node}"), &proxy.feed);
        }
        for (node, control_node) in &*control_nodes {
            if !control_node.can_vote() || !newest.voters.contains(&self.cluster.machine_of(*node).ip) {
                unmet.push(format!("keeper {node} does not vote"));
            }
        }
        if !control_nodes.values().any(|control_node| control_node.discovery_token().is_some()) {
            unmet.push("nobody holds the duty".to_owned());
        }
        if !self.acknowledged.get() {
            unmet.push("no configuration was acknowledged".to_owned());
        }
        if let Some(state) = state {
            unmet.extend(self.unmet_roster_condition(&state.roster));
        }
        unmet
    }

    fn unmet_roster_condition(&self, roster: &fleet_model::Roster) -> Option<String> {
        let min_members = 2 * self.cluster.tolerance + 1;
        if roster.next.is_some() {
            return Some("a change of the roster is under way".to_owned());
        }
        let retired = |name: &String| roster.retiring.contains(name);
        let live: Vec<u64> = self
            .stores
            .borrow()
            .values()
            .filter(|store| !retired(&store.me.name))
            .map(|store| store.me.disk)
            .collect();
        let current: Vec<u64> = roster.current.iter().map(|store| store.disk).collect();
        if !live.iter().all(|disk| current.contains(disk)) {
            return Some(format!("live {live:?} are not all in {current:?}"));
        }
        if live.len() != current.len() && current.len() != min_members {
            return Some(format!("{current:?} count, and only {live:?} live"));
        }
        roster.current.iter().any(|store| retired(&store.name)).then(|| "a retired machine counts".to_owned())
    }
}
