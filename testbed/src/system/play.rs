//! A play of the whole system: its machines start, clients and operators come, faults happen by the schedule, and after the
//! last one all is to be as it should be again.

use super::Mutation;
use super::control::{ControlNodes, SimulatedControlNode};
use super::disk::{ACCEPTOR_RECORD, ACCEPTOR_SPACE};
use super::edge::{MOST, Proxy, TurnEnd, Wish, start_agent};
use super::history::{Disturbance, Fact, History, Told};
use super::operators::Operators;
use super::runtime::Feed;
use super::schedule::{Class, Fault, Isolation, LAST_WAITS, Schedule, Target, Trouble};
use super::store::TurnKeeper;
use super::world::{Host, World};
use fleet_model::Ballot;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// By then after the last fault all is to be as it should be.
pub const SETTLED_MS: u64 = 20_000;
/// What a process knows is to be no older than this then.
const FRESH: Duration = Duration::from_millis(2_000);
/// Between two looks at what is in force.
const CHECK_INTERVAL_MS: u64 = 50;
const OPERATORS: usize = 2;
const PROGRAMS: usize = 3;
const BRANCHES: usize = 2;
const BUDGETS: [u32; 3] = [25, 40, 60];

/// A play under way.
pub(super) struct Stage {
    pub(super) world: Rc<World>,
    pub(super) schedule: Schedule,
    pub(super) keepers: RefCell<ControlNodes>,
    pub(super) operators: Operators,
    stores: RefCell<BTreeMap<usize, Rc<TurnKeeper>>>,
    agents: RefCell<BTreeMap<usize, (Host, Rc<Feed>)>>,
    proxies: RefCell<BTreeMap<usize, Rc<Proxy>>>,
    /// Machines that are gone for good.
    gone: RefCell<Vec<usize>>,
    retired: RefCell<Vec<usize>>,
    last_attempt: Cell<u64>,
    /// Turns answered whole.
    whole: RefCell<Vec<String>>,
    pub(super) calm: Cell<bool>,
    /// The last fault, which waits for a configuration to be acknowledged.
    last: RefCell<Option<(bool, Vec<usize>, u64)>>,
    /// A configuration was acknowledged after the last fault.
    pub(super) acknowledged: Cell<bool>,
}

/// Plays a schedule; what was done and seen.
pub fn play(schedule: &Schedule, mutation: Option<Mutation>) -> History {
    // On a thread that no runtime drives: within one, its channels would want to yield to it.
    std::thread::scope(|scope| {
        let played = scope.spawn(|| play_here(schedule, mutation)).join();
        played.unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    })
}

fn play_here(schedule: &Schedule, mutation: Option<Mutation>) -> History {
    let world = World::new(schedule.seed, schedule.tolerance, schedule.machines.clone(), mutation);
    let stage = Rc::new(Stage {
        world: world.clone(),
        schedule: schedule.clone(),
        keepers: RefCell::default(),
        stores: RefCell::default(),
        agents: RefCell::default(),
        proxies: RefCell::default(),
        gone: RefCell::default(),
        retired: RefCell::default(),
        operators: Operators::default(),
        last_attempt: Cell::new(0),
        whole: RefCell::default(),
        calm: Cell::new(false),
        last: RefCell::default(),
        acknowledged: Cell::new(false),
    });
    stage.begin();
    world.run_ms(schedule.calm_ms);
    stage.calm.set(true);
    world.note(Fact::Calm);
    let settled = stage.settle();
    world.note(settled);
    stage.note_in_force();
    stage.note_sizes();
    let history = world.finish();
    // What still refers to the world goes with its processes.
    stage.keepers.borrow_mut().clear();
    stage.stores.borrow_mut().clear();
    stage.agents.borrow_mut().clear();
    stage.proxies.borrow_mut().clear();
    history
}

impl Stage {
    fn later(self: &Rc<Self>, after_ms: u64, then: impl FnOnce(&Rc<Stage>) + 'static) {
        let stage = self.clone();
        self.world.executor.spawn(self.world.driver, async move {
            stage.world.executor.sleep(after_ms * 1_000).await;
            then(&stage);
        });
    }

    pub(super) fn pause(&self, for_ms: u64) -> super::executor::Sleep {
        self.world.executor.sleep(for_ms * 1_000)
    }

    fn begin(self: &Rc<Self>) {
        let classes = self.schedule.machines.iter().map(|machine| machine.class).collect();
        self.world.note(Fact::Fleet { classes });
        for (number, machine) in self.schedule.machines.iter().enumerate() {
            if machine.first {
                self.later(self.world.draw(300), move |stage| stage.start(number));
            }
        }
        for fault in self.schedule.faults.clone() {
            self.later(fault.at_ms, move |stage| stage.happen(fault));
        }
        let driver = self.world.driver;
        for _ in 0..OPERATORS {
            self.world.executor.spawn(driver, self.clone().operate());
        }
        for _ in 0..PROGRAMS {
            self.world.executor.spawn(driver, self.clone().run_programs());
        }
        let stage = self.clone();
        self.world.executor.spawn(driver, async move {
            loop {
                stage.pause(CHECK_INTERVAL_MS).await;
                stage.note_in_force();
            }
        });
        let stage = self.clone();
        self.world.executor.spawn(driver, async move {
            while !stage.calm.get() {
                stage.pause(700 + stage.world.draw(900)).await;
                stage.world.change_list();
            }
        });
    }

    // What happens to machines.

    fn start(&self, machine: usize) {
        if !self.gone.borrow().contains(&machine) {
            self.world.nodes_of(machine).into_iter().for_each(|node| self.start_process(node));
        }
    }

    fn start_process(&self, node: usize) {
        let Some((host, first)) = self.world.begin(node) else { return };
        match host.class {
            Class::ControlNode => {
                drop(self.keepers.borrow_mut().insert(node, SimulatedControlNode::start(&host, first)))
            }
            Class::Store => drop(self.stores.borrow_mut().insert(node, TurnKeeper::start(&host))),
            Class::Agent => {
                let feed = start_agent(&host);
                self.agents.borrow_mut().insert(node, (host, feed));
            }
            Class::Proxy => drop(self.proxies.borrow_mut().insert(node, Proxy::start(&host))),
        }
    }

    fn end_process(&self, node: usize, power: bool) {
        self.world.end(node, power);
        let keeper = self.keepers.borrow_mut().remove(&node);
        let store = self.stores.borrow_mut().remove(&node);
        let agent = self.agents.borrow_mut().remove(&node);
        let proxy = self.proxies.borrow_mut().remove(&node);
        drop((keeper, store, agent, proxy));
    }

    fn end(&self, machine: usize, power: bool) {
        self.world.nodes_of(machine).into_iter().for_each(|node| self.end_process(node, power));
    }

    /// A machine is gone for good.
    pub(super) fn leave(&self, machine: usize) {
        self.gone.borrow_mut().push(machine);
        self.world.note(Fact::Gone { machine });
        self.end(machine, true);
    }

    fn disturb(&self, machine: usize, for_ms: u64) {
        let until = self.world.elapsed_ms() + for_ms;
        self.world.note(Fact::Disturbed { machine, how: Disturbance::Lost, until });
    }

    /// A machine's processes end and come back.
    pub(super) fn down(self: &Rc<Self>, machine: usize, power: bool, wiped: bool, back_ms: u64) {
        self.disturb(machine, back_ms);
        self.end(machine, power);
        if wiped {
            self.world.nodes_of(machine).into_iter().for_each(|node| self.world.wipe(node));
        }
        self.later(back_ms, move |stage| stage.arrive(machine));
    }

    /// A machine is there, again or for the first time.
    fn arrive(self: &Rc<Self>, machine: usize) {
        self.start(machine);
        self.watch_return(machine);
    }

    fn freeze(self: &Rc<Self>, machine: usize, for_ms: u64) {
        self.disturb(machine, for_ms);
        for node in self.world.nodes_of(machine) {
            if let Some(process) = self.world.freeze(node) {
                self.later(for_ms, move |stage| stage.world.executor.thaw(process));
            }
        }
    }

    fn happen(self: &Rc<Self>, fault: Fault) {
        self.world.note(Fact::Fault(fault.to_string()));
        let count = self.schedule.machines.len();
        match fault.trouble {
            Trouble::Freeze { machine, for_ms } => self.freeze(machine, for_ms),
            Trouble::Kill { machine, back_ms } => self.down(machine, false, false, back_ms),
            Trouble::KillProxy { machine, back_ms } => {
                let Some(proxy) = self.world.nodes_of(machine).pop() else { return };
                self.disturb(machine, back_ms);
                self.end_process(proxy, false);
                self.later(back_ms, move |stage| stage.start(machine));
            }
            Trouble::LosePower { machine, back_ms } => self.down(machine, true, false, back_ms),
            Trouble::Damage { machine, back_ms } => {
                self.down(machine, true, false, back_ms);
                for node in self.world.nodes_of(machine) {
                    self.world.disk_of(node).damage(self.world.draw(1 << 20));
                }
            }
            Trouble::LoseDisk { machine, back_ms } => self.down(machine, true, true, back_ms),
            Trouble::Cut { from, to, for_ms } => self.world.cut(from, to, for_ms),
            Trouble::CutOff { machine, for_ms } => {
                for other in (0..count).filter(|other| *other != machine) {
                    self.world.cut(machine, other, for_ms);
                    self.world.cut(other, machine, for_ms);
                }
            }
            Trouble::Mislead { machine, for_ms } => {
                let speaks = |other: &usize| self.schedule.machines[*other].class != Class::Store;
                for other in (0..count).filter(|other| *other != machine).filter(speaks) {
                    self.world.cut(other, machine, for_ms);
                }
            }
            Trouble::LoseMessages { of_thousand, for_ms } => self.world.lose(for_ms, of_thousand),
            Trouble::Replace { old, new, starts_ms, ends_ms } => {
                self.later(starts_ms, move |stage| stage.arrive(new));
                self.later(ends_ms, move |stage| stage.leave(old));
            }
            Trouble::Add { machine } => self.arrive(machine),
            Trouble::Retire { machine } => {
                self.retired.borrow_mut().push(machine);
                let stage = self.clone();
                self.act(async move { stage.retire(machine).await });
            }
            Trouble::Isolate { target, how, for_ms } => self.isolate(target, how, for_ms),
            Trouble::LoseAnswers { of_thousand, for_ms } => self.world.lose_answers(for_ms, of_thousand),
            Trouble::StallDisk { machine, for_ms } => self.disturb_disk(machine, false, for_ms),
            Trouble::RefuseWrites { machine, for_ms } => self.disturb_disk(machine, true, for_ms),
            Trouble::RefuseSync { machine } => {
                let nodes = self.world.nodes_of(machine);
                nodes.into_iter().for_each(|node| self.world.disk_of(node).refuse_sync());
            }
            Trouble::Burst { orders } => self.act(self.clone().burst(orders)),
            Trouble::KillCore { back_ms } => {
                for machine in self.machines_of(Class::ControlNode) {
                    if self.is_up(machine) {
                        self.down(machine, false, false, back_ms + self.world.draw(300));
                    }
                }
            }
            Trouble::LossAtStep { step, victim, wiped, back_ms } => {
                self.act(self.clone().lose_at(step, victim, wiped, back_ms));
            }
            Trouble::RetireThenWipe { machine, wiped, back_ms } => {
                self.retired.borrow_mut().push(machine);
                self.act(self.clone().retire_then_wipe(machine, wiped, back_ms));
            }
            Trouble::All { power, disks, back_ms } => {
                *self.last.borrow_mut() = Some((power, disks, back_ms));
                self.later(LAST_WAITS, |stage| stage.strike());
            }
        }
    }

    fn is_up(&self, machine: usize) -> bool {
        self.world.nodes_of(machine).into_iter().any(|node| self.world.is_up(node))
    }

    fn machines_of(&self, class: Class) -> Vec<usize> {
        let machines = &self.schedule.machines;
        (0..machines.len()).filter(|machine| machines[*machine].class == class).collect()
    }

    /// Something goes on beside the schedule.
    fn act(&self, work: impl Future<Output = ()> + 'static) {
        self.world.executor.spawn(self.world.driver, work);
    }

    /// Keeps a machine from others. To a core machine operators send changes meanwhile, and one in the moment of its return.
    fn isolate(self: &Rc<Self>, target: Target, how: Isolation, for_ms: u64) {
        let machine = match target {
            Target::Machine(machine) => Some(machine),
            Target::LeaseHolder => self.lease_holder(),
        };
        let Some(machine) = machine else { return };
        self.world.note(Fact::Isolated { machine, until: self.world.elapsed_ms() + for_ms });
        self.later(for_ms, move |stage| stage.watch_return(machine));
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
            Isolation::Slow => self.world.slow_down(machine, for_ms),
        }
        if self.schedule.machines[machine].class == Class::ControlNode {
            for node in self.world.nodes_of(machine) {
                self.act(self.clone().insist(node, for_ms));
                self.act(self.clone().send_on_return(node, for_ms));
            }
        }
    }

    fn cut_paths(&self, machine: usize, others: &[usize], incoming: bool, outgoing: bool, for_ms: u64) {
        for other in others.iter().filter(|other| **other != machine) {
            if incoming {
                self.world.cut(*other, machine, for_ms);
            }
            if outgoing {
                self.world.cut(machine, *other, for_ms);
            }
        }
    }

    /// The machine whose process holds the lease of the singleton task.
    fn lease_holder(&self) -> Option<usize> {
        let keepers = self.keepers.borrow();
        let holder = keepers.iter().find(|(_, keeper)| keeper.holds_list().is_some())?;
        Some(self.world.machine_number(*holder.0))
    }

    fn note_sizes(&self) {
        let keepers = self.keepers.borrow();
        let record = |node: &usize| self.world.disk_of(*node).length(ACCEPTOR_SPACE, ACCEPTOR_RECORD);
        let payload = keepers.values().map(|keeper| keeper.feed.value().payload.len()).max();
        self.world.note(Fact::Sizes {
            record: keepers.keys().map(record).max().unwrap_or_default(),
            payload: payload.unwrap_or_default(),
        });
    }

    /// The last fault, if it has not been yet.
    pub(super) fn strike(self: &Rc<Self>) {
        let Some((power, disks, back_ms)) = self.last.borrow_mut().take() else { return };
        self.world.note(Fact::Fault("all go down".to_owned()));
        for machine in 0..self.schedule.machines.len() {
            if self.is_up(machine) {
                let later = back_ms + self.world.draw(300);
                let wiped = disks.contains(&machine);
                self.down(machine, power || wiped, wiped, later);
            }
        }
    }

    // Who comes from outside.

    pub(super) fn some<T: Clone>(&self, all: &RefCell<BTreeMap<usize, T>>) -> Option<T> {
        let all = all.borrow();
        let place = self.world.draw(all.len() as u64) as usize;
        all.values().nth(place).cloned()
    }

    /// Has a process do something; none if it takes too long or ends.
    pub(super) async fn at<T: 'static>(
        &self,
        host: &Host,
        within_ms: u64,
        work: impl Future<Output = T> + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.pause(1).await;
        host.spawn(async move {
            let _ = sender.send(work.await);
        });
        self.world.executor.timeout(within_ms * 1_000, receiver).await?.ok()
    }

    async fn run_programs(self: Rc<Self>) {
        while !self.calm.get() {
            self.pause(100 + self.world.draw(1_000)).await;
            let budget = BUDGETS[self.world.draw(BUDGETS.len() as u64) as usize];
            self.last_attempt.set(self.last_attempt.get() + 1);
            let program = format!("p{}", self.last_attempt.get());
            self.world.note(Fact::Program {
                program: program.clone(),
                budget: budget.into(),
                most: MOST.into(),
            });
            let turns = Rc::new(RefCell::new(Vec::new()));
            let branches = (0..BRANCHES).map(|_| self.branch(&program, budget, &turns));
            futures_util::future::join_all(branches).await;
        }
    }

    /// Turns one after another, each on top of one of the program's, until its budget is spent.
    async fn branch(&self, program: &str, budget: u32, turns: &RefCell<Vec<String>>) {
        let mut failed = 0;
        while failed < 6 && !self.calm.get() {
            self.pause(20 + self.world.draw(250)).await;
            let Some(proxy) = self.some(&self.proxies) else { continue };
            self.last_attempt.set(self.last_attempt.get() + 1);
            let previous = {
                let turns = turns.borrow();
                let place = turns.len().saturating_sub(1 + self.world.draw(2) as usize);
                turns.get(place).cloned()
            };
            let attempt = format!("{program}-{}", self.last_attempt.get());
            let wish = Wish { program: program.to_owned(), attempt: attempt.clone(), previous, budget };
            let host = proxy.host().clone();
            match self.at(&host, 6_000, proxy.turn(wish)).await {
                Some(TurnEnd::Whole) => {
                    failed = 0;
                    turns.borrow_mut().push(attempt.clone());
                    self.whole.borrow_mut().push(attempt);
                }
                Some(TurnEnd::Spent) => return,
                Some(TurnEnd::NoSuchTurn | TurnEnd::Failed) | None => failed += 1,
            }
        }
    }

    // How it ends.

    /// Waits until all is as it should be, and that for a turn of looks.
    fn settle(self: &Rc<Self>) -> Fact {
        let begun = self.world.elapsed_ms();
        loop {
            self.world.run_ms(200);
            let after = self.world.elapsed_ms() - begun;
            let mut lacks = self.lacks();
            if lacks.is_empty() {
                lacks.extend(self.look_up_all());
            }
            if lacks.is_empty() || after >= SETTLED_MS {
                return Fact::Settled { after, lacks };
            }
        }
    }

    /// Asks for each turn that was answered whole; how many were not found.
    fn look_up_all(self: &Rc<Self>) -> Option<String> {
        let missing = Rc::new(Cell::new(0));
        let asked = self.whole.borrow().clone();
        missing.set(asked.len());
        for attempt in asked {
            let (stage, missing) = (self.clone(), missing.clone());
            self.world.executor.spawn(self.world.driver, async move {
                let Some(proxy) = stage.some(&stage.proxies) else { return };
                let host = proxy.host().clone();
                let told = stage.at(&host, 2_000, async move { proxy.look_up(&attempt).await }).await;
                if !matches!(told, None | Some(Told::Unavailable)) {
                    missing.set(missing.get() - 1);
                }
            });
        }
        for _ in 0..22 {
            if missing.get() > 0 {
                self.world.run_ms(100);
            }
        }
        (missing.get() > 0).then(|| format!("{} turns are not to be had", missing.get()))
    }

    /// What is not as it should be.
    fn lacks(&self) -> Vec<String> {
        let mut lacks = Vec::new();
        let keepers = self.keepers.borrow();
        let newest = keepers.values().map(|keeper| keeper.feed.value()).max_by_key(|value| value.ballot);
        let Some(newest) = newest else { return vec!["no keeper runs".to_owned()] };
        let state = keepers.values().map(|keeper| keeper.feed.state()).max_by_key(|state| state.version());
        let mut behind = |what: String, feed: &Feed| {
            if feed.value().ballot < newest.ballot || newest.ballot == Ballot::default() {
                lacks.push(format!("{what} goes by an older value"));
            } else if feed.age().is_none_or(|age| age > FRESH) {
                lacks.push(format!("{what} has heard nothing of late"));
            }
        };
        for (node, keeper) in &*keepers {
            behind(format!("keeper {node}"), &keeper.feed);
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
        for (node, keeper) in &*keepers {
            if !keeper.is_fit() || !newest.voters.contains(&self.world.machine_of(*node).ip) {
                lacks.push(format!("keeper {node} does not vote"));
            }
        }
        if !keepers.values().any(|keeper| keeper.holds_list().is_some()) {
            lacks.push("nobody holds the duty".to_owned());
        }
        if !self.acknowledged.get() {
            lacks.push("no configuration was acknowledged".to_owned());
        }
        if let Some(state) = state {
            lacks.extend(self.lacks_of_roster(&state.roster));
        }
        lacks
    }

    fn lacks_of_roster(&self, roster: &fleet_model::Roster) -> Option<String> {
        let least = 2 * self.world.tolerance + 1;
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
        if live.len() != current.len() && current.len() != least {
            return Some(format!("{current:?} count, and only {live:?} live"));
        }
        roster.current.iter().any(|store| retired(&store.name)).then(|| "a retired machine counts".to_owned())
    }
}
