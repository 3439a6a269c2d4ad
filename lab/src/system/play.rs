//! A play of the whole system: its machines start, clients and operators come, faults happen by the schedule, and after the
//! last one all is to be as it should be again.

use super::Mutation;
use super::control::{Keeper, Keepers};
use super::edge::{MOST, Proxy, TurnEnd, Wish, start_agent};
use super::history::{Fact, History, Told};
use super::runtime::Feed;
use super::schedule::{Class, Fault, LAST_WAITS, Schedule, Trouble};
use super::store::TurnKeeper;
use super::world::{Host, World};
use control_duties::ConfigVerdict;
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
const OPERATORS: usize = 2;
const PROGRAMS: usize = 3;
const BRANCHES: usize = 2;
const BUDGETS: [u32; 3] = [25, 40, 60];

/// A play under way.
struct Stage {
    world: Rc<World>,
    schedule: Schedule,
    keepers: RefCell<Keepers>,
    stores: RefCell<BTreeMap<usize, Rc<TurnKeeper>>>,
    agents: RefCell<BTreeMap<usize, (Host, Rc<Feed>)>>,
    proxies: RefCell<BTreeMap<usize, Rc<Proxy>>>,
    /// Machines that are gone for good.
    gone: RefCell<Vec<usize>>,
    retired: RefCell<Vec<usize>>,
    last_version: Cell<u64>,
    last_attempt: Cell<u64>,
    /// Turns answered whole.
    whole: RefCell<Vec<String>>,
    calm: Cell<bool>,
    /// The last fault, which waits for a configuration to be acknowledged.
    last: RefCell<Option<(bool, Vec<usize>, u64)>>,
    /// A configuration was acknowledged after the last fault.
    acknowledged: Cell<bool>,
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
        last_version: Cell::new(0),
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

    fn pause(&self, for_ms: u64) -> super::executor::Sleep {
        self.world.executor.sleep(for_ms * 1_000)
    }

    fn begin(self: &Rc<Self>) {
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
            Class::Keeper => drop(self.keepers.borrow_mut().insert(node, Keeper::start(&host, first))),
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

    fn down(self: &Rc<Self>, machine: usize, power: bool, wiped: bool, back_ms: u64) {
        self.end(machine, power);
        if wiped {
            self.world.nodes_of(machine).into_iter().for_each(|node| self.world.wipe(node));
        }
        self.later(back_ms, move |stage| stage.start(machine));
    }

    fn freeze(self: &Rc<Self>, machine: usize, for_ms: u64) {
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
                self.later(starts_ms, move |stage| stage.start(new));
                self.later(ends_ms, move |stage| {
                    stage.gone.borrow_mut().push(old);
                    stage.end(old, true);
                });
            }
            Trouble::Add { machine } => self.start(machine),
            Trouble::Retire { machine } => {
                self.retired.borrow_mut().push(machine);
                self.world.executor.spawn(self.world.driver, self.clone().retire(machine));
            }
            Trouble::All { power, disks, back_ms } => {
                *self.last.borrow_mut() = Some((power, disks, back_ms));
                self.later(LAST_WAITS, |stage| stage.strike());
            }
        }
    }

    /// The last fault, if it has not been yet.
    fn strike(self: &Rc<Self>) {
        let Some((power, disks, back_ms)) = self.last.borrow_mut().take() else { return };
        self.world.note(Fact::Fault("all go down".to_owned()));
        for machine in 0..self.schedule.machines.len() {
            if self.world.nodes_of(machine).into_iter().any(|node| self.world.is_up(node)) {
                let later = back_ms + self.world.draw(300);
                let wiped = disks.contains(&machine);
                self.down(machine, power || wiped, wiped, later);
            }
        }
    }

    // Who comes from outside.

    fn some<T: Clone>(&self, all: &RefCell<BTreeMap<usize, T>>) -> Option<T> {
        let all = all.borrow();
        let place = self.world.draw(all.len() as u64) as usize;
        all.values().nth(place).cloned()
    }

    /// Has a process do something; none if it takes too long or ends.
    async fn at<T: 'static>(
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

    /// Changes the configuration again and again; what got no clear answer is sent again as it was.
    async fn operate(self: Rc<Self>) {
        let mut newest = 0;
        let mut sent = (self.new_version(), newest);
        loop {
            self.pause(250 + self.world.draw(500)).await;
            let Some(keeper) = self.some(&self.keepers) else { continue };
            let host = keeper.host().clone();
            if self.world.draw(4) == 0 {
                let begun = self.world.elapsed_ms();
                let read = self.at(&host, 1_200, async move { keeper.version().await }).await;
                if let Some(Some(version)) = read {
                    self.world.note(Fact::ReadBack { begun, version });
                    newest = newest.max(version);
                }
                continue;
            }
            let (version, on) = sent;
            let answer = self.at(&host, 1_200, async move { keeper.put_config(on, version).await }).await;
            match answer.flatten() {
                Some(ConfigVerdict::Taken) => {
                    self.world.note(Fact::Acknowledged { version, on });
                    self.acknowledged.set(self.calm.get());
                    self.strike();
                    newest = newest.max(version);
                }
                Some(ConfigVerdict::OtherVersion(current)) => newest = current,
                Some(ConfigVerdict::NotAbove) => {}
                Some(ConfigVerdict::Unclear) | None => continue,
            }
            sent = (self.new_version(), newest);
        }
    }

    fn new_version(&self) -> u64 {
        self.last_version.set(self.last_version.get() + 1);
        self.last_version.get()
    }

    async fn retire(self: Rc<Self>, machine: usize) {
        let name = self.schedule.machines[machine].name.clone();
        loop {
            if let Some(keeper) = self.some(&self.keepers) {
                let (host, name) = (keeper.host().clone(), name.clone());
                if self.at(&host, 1_200, async move { keeper.retire(&name).await }).await.flatten().is_some()
                {
                    return;
                }
            }
            self.pause(300).await;
        }
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
