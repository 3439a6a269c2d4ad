//! A fleet in simulated time: the machines of `sender-membership` alone, one thread, everything random drawn from the
//! seed, so that two runs of a seed have the same history to the byte.
use super::campaign::Break;
use super::history::{Event, SeenMember, What};
use super::plain::{Heartbeat, Machine};
use super::schedule::{Kind, Met, Peers};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sender_membership::{
    Effect, Halt, Info, InjectedFaults, Node, Notification, Record, Settings, State, ViewDigest,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Views are looked at this often, in ms.
const POLL_INTERVAL_MS: u64 = 250;
/// A datagram's way, in ms.
const LINK_DELAY_MS: u64 = 1;
/// How late the last fault's end may leave a view besides the bound, until the run ends.
const SETTLE_MARGIN_MS: u64 = 1_000;

/// What is simulated.
pub struct Simulation<'a> {
    /// The scenario's name.
    pub name: &'a str,
    /// The fleet.
    pub peers: &'a Peers,
    /// How many senders.
    pub senders: usize,
    /// When the last fault is over, in seconds.
    pub seconds: f64,
    /// The seed.
    pub seed: u64,
    /// A way to break the senders on purpose.
    pub how: Option<Break>,
    /// The complete scenario, for the history.
    pub full_scenario: serde_json::Value,
}

/// What a run cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Simulated milliseconds.
    pub simulated_ms: u64,
    /// Calls of the machines.
    pub steps: u64,
    /// Datagrams, frames, and their bytes, of all senders.
    pub datagrams: u64,
    /// Frames on connections.
    pub frames: u64,
    /// Bytes of both.
    pub bytes: u64,
}

enum SimEvent {
    Wake(usize, u32),
    Deliver { to: usize, bytes: Vec<u8>, from: usize, connection: bool },
    Broke { at: usize, peer: usize },
    Start(usize),
    Begin(usize),
    End(usize),
    PollViews,
}

struct Queued {
    at: u64,
    order: u64,
    ev: SimEvent,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

struct Process {
    node: Option<Machine>,
    disk: State,
    /// The start: what was meant for an earlier one comes to nothing.
    start: u32,
    paused: bool,
    /// Each thing is done up to this many ms late.
    starved: Option<u64>,
    free_at: u64,
    full: bool,
    /// Effects until the process dies in the middle of its work.
    dies_in: Option<usize>,
    inbox: VecDeque<(usize, Vec<u8>)>,
    woken_at: Option<u64>,
    marked: Option<ViewDigest>,
    number: Option<(u32, u64)>,
    copy_of: Option<usize>,
}

struct World<'a> {
    simulation: &'a Simulation<'a>,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<Queued>>,
    processes: Vec<Process>,
    by_address: HashMap<SocketAddr, usize>,
    schedule: Vec<Met>,
    /// Faults of links that are on.
    links: Vec<usize>,
    /// When the last frame from one to another comes: frames keep their order.
    fifo: HashMap<(usize, usize), u64>,
    torn: HashMap<(usize, usize), bool>,
    rng: ChaCha8Rng,
    history: Vec<Event>,
    cost: Cost,
}

fn address(sender: usize) -> SocketAddr {
    let [high, low] = u16::try_from(sender % 60_000).unwrap_or(0).to_be_bytes();
    SocketAddr::from(([127, 9, high, low], 7_000))
}

/// What strangers send: nothing, a few bytes or far too many, some of them beginning as a peer's do.
pub fn garbage(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let length = [0, 1, 12, 13, 40, 200, 1_400, 20_000][rng.random_range(0..8)];
    let mut bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
    if let Some(version) = bytes.first_mut() {
        *version = rng.random_range(0..3);
    }
    bytes
}

/// Runs a seed; the history, and what it cost.
pub fn simulate(simulation: &Simulation<'_>) -> (Vec<Event>, Cost) {
    let schedule = simulation.peers.schedule(simulation.senders, simulation.seconds, simulation.seed);
    let copies = schedule.iter().filter(|met| met.fault.kind == Kind::Copy).count();
    let all = simulation.senders + copies;
    let process = |copy_of| Process {
        node: None,
        disk: State::default(),
        start: 0,
        paused: false,
        starved: None,
        free_at: 0,
        full: false,
        dies_in: None,
        inbox: VecDeque::new(),
        woken_at: None,
        marked: None,
        number: None,
        copy_of,
    };
    let mut copied = schedule.iter().filter(|met| met.fault.kind == Kind::Copy).map(|met| met.senders[0]);
    let mut world = World {
        simulation,
        now: 0,
        order: 0,
        queue: BinaryHeap::new(),
        processes: (0..all)
            .map(|n| process((n >= simulation.senders).then(|| copied.next()).flatten()))
            .collect(),
        by_address: (0..all).map(|n| (address(n), n)).collect(),
        links: Vec::new(),
        fifo: HashMap::new(),
        torn: HashMap::new(),
        rng: ChaCha8Rng::seed_from_u64(simulation.seed),
        history: Vec::new(),
        cost: Cost::default(),
        schedule,
    };
    world.run(all);
    (world.history, world.cost)
}

impl World<'_> {
    fn run(&mut self, all: usize) {
        let settle_ms = (self.simulation.peers.settle_s * 1e3) as u64;
        let names = (0..all).map(|n| self.info(n).name).collect();
        let scenario = self.simulation.name.to_owned();
        let faults = self.schedule.iter().map(Met::fixed).collect();
        let (seed, broken, full_scenario) =
            (self.simulation.seed, self.simulation.how, self.simulation.full_scenario.clone());
        self.record_event(What::RunStarted {
            scenario,
            seed,
            senders: names,
            settle_ms,
            faults,
            simulated: true,
            broken,
            full_scenario,
        });
        let mut end = (self.simulation.seconds * 1e3) as u64;
        let late: Vec<usize> = self
            .schedule
            .iter()
            .filter(|met| met.fault.kind == Kind::Join)
            .flat_map(|met| met.senders.clone())
            .collect();
        for number in 0..self.schedule.len() {
            let fault = &self.schedule[number].fault;
            let (begin, over) = ((fault.at_s * 1e3) as u64, ((fault.at_s + fault.for_s) * 1e3) as u64);
            end = end.max(over);
            self.at(begin, SimEvent::Begin(number));
            self.at(over, SimEvent::End(number));
        }
        end += settle_ms + SETTLE_MARGIN_MS;
        for sender in (0..self.simulation.senders).filter(|n| !late.contains(n)) {
            self.start(sender);
        }
        self.at(POLL_INTERVAL_MS, SimEvent::PollViews);
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.now = next.at;
            self.happen(next.ev);
        }
        self.now = end;
        self.poll_views();
        self.record_event(What::End);
        self.cost.simulated_ms = end;
        for node in self.processes.iter().filter_map(|p| p.node.as_ref()) {
            let counts = node.counts();
            self.cost.datagrams += counts.datagrams;
            self.cost.frames += counts.frames;
            self.cost.bytes += counts.bytes;
        }
    }

    fn at(&mut self, at: u64, ev: SimEvent) {
        self.order += 1;
        self.queue.push(Reverse(Queued { at, order: self.order, ev }));
    }

    fn record_event(&mut self, what: What) {
        self.history.push(Event { at: self.now, what });
    }

    fn info(&self, sender: usize) -> Info {
        let like = self.processes[sender].copy_of.unwrap_or(sender);
        let peers = self.simulation.peers;
        Info {
            name: format!("n{like}"),
            zone: peers.zone(like).to_owned(),
            machine: peers.machine(like),
            version: "sim".to_owned(),
            address: address(sender),
        }
    }

    fn start(&mut self, sender: usize) {
        if self.processes[sender].full {
            // A start that cannot be written down is none: it is tried again.
            let at = self.now + POLL_INTERVAL_MS;
            return self.at(at, SimEvent::Start(sender));
        }
        let peers = self.simulation.peers;
        let seeds = (0..peers.seeds).map(address).collect();
        let mut settings = Settings::new("lab", self.info(sender), seeds);
        settings.voters = peers.voters;
        settings.suspect = peers.suspect_ms;
        if self.simulation.how == Some(Break::NoSuspicion) {
            (settings.suspect, settings.confirm) = (1, 0);
        }
        settings.injected_faults = InjectedFaults {
            removes_the_silent: self.simulation.how == Some(Break::RemovalBySilence),
            forgets_incarnation: self.simulation.how == Some(Break::IncarnationLost),
            tells_before_disk: self.simulation.how == Some(Break::TellsBeforeDisk),
        };
        let seed = self.rng.random();
        let now = self.now;
        let process = &mut self.processes[sender];
        if settings.injected_faults.forgets_incarnation {
            process.disk.incarnation = 0;
        }
        process.start += 1;
        process.paused = false;
        process.free_at = 0;
        process.dies_in = None;
        process.inbox.clear();
        process.marked = None;
        process.number = None;
        process.woken_at = None;
        let empty_disk = process.disk.folder == 0;
        let copy_of = process.copy_of;
        process.node = Some(if peers.heartbeat {
            // The same time as the fleet's machines take for one that does not object.
            let lost_after = settings.suspect + settings.confirm;
            let all = 0..self.simulation.senders;
            let others = all.map(|n| (format!("n{n}"), peers.zone(n).to_owned(), address(n))).collect();
            Machine::Plain(Heartbeat::new(sender, process.start, others, lost_after, now))
        } else {
            Machine::Fleet(Box::new(Node::new(settings, process.disk.clone(), seed, now)))
        });
        self.record_event(What::Up { sender, empty_disk, copy_of });
        self.carry_out(sender);
    }

    fn stop(&mut self, sender: usize) {
        let process = &mut self.processes[sender];
        if process.node.take().is_some() {
            process.inbox.clear();
            self.record_event(What::Down { sender });
            // Its peers' connections are reset.
            for peer in 0..self.processes.len() {
                if self.fifo.remove(&(peer, sender)).is_some() {
                    let at = self.now + LINK_DELAY_MS;
                    self.at(at, SimEvent::Broke { at: peer, peer: sender });
                }
                self.fifo.remove(&(sender, peer));
            }
        }
    }

    fn happen(&mut self, ev: SimEvent) {
        match ev {
            SimEvent::Wake(sender, start) => {
                if self.processes[sender].start == start && !self.defer(sender, None) {
                    self.processes[sender].woken_at = None;
                    self.work(sender);
                }
            }
            SimEvent::Deliver { to, bytes, from, connection } => {
                if self.processes[to].node.is_none() {
                    if connection {
                        let at = self.now + LINK_DELAY_MS;
                        self.at(at, SimEvent::Broke { at: from, peer: to });
                    }
                } else if !self.defer(to, Some((from, &bytes))) {
                    self.hear(to, &bytes);
                    self.carry_out(to);
                }
            }
            SimEvent::Broke { at, peer } => {
                if let Some(node) = &mut self.processes[at].node {
                    node.broke(address(peer));
                    self.carry_out(at);
                }
            }
            SimEvent::Start(sender) if self.processes[sender].node.is_none() => self.start(sender),
            SimEvent::Start(_) => {}
            SimEvent::Begin(number) => self.begin(number),
            SimEvent::End(number) => self.end(number),
            SimEvent::PollViews => {
                self.poll_views();
                let at = self.now + POLL_INTERVAL_MS;
                self.at(at, SimEvent::PollViews);
            }
        }
    }

    /// Whether a process has no time now; what came is queued for it.
    fn defer(&mut self, sender: usize, came: Option<(usize, &[u8])>) -> bool {
        let process = &mut self.processes[sender];
        let waits = process.paused || self.now < process.free_at;
        if waits {
            if let Some((from, bytes)) = came
                && process.inbox.len() < 4_096
            {
                process.inbox.push_back((from, bytes.to_vec()));
            }
            if !process.paused {
                let (at, start) = (process.free_at, process.start);
                self.at(at, SimEvent::Wake(sender, start));
            }
        } else if let Some(late) = process.starved {
            process.free_at = self.now + self.rng.random_range(0..=late);
        }
        waits
    }

    /// All that has come, then all that is due.
    fn work(&mut self, sender: usize) {
        while let Some((_, bytes)) = self.processes[sender].inbox.pop_front() {
            self.hear(sender, &bytes);
        }
        let now = self.now;
        if let Some(node) = &mut self.processes[sender].node {
            self.cost.steps += 1;
            node.tick(now);
        }
        self.carry_out(sender);
    }

    fn hear(&mut self, sender: usize, bytes: &[u8]) {
        let now = self.now;
        if let Some(node) = &mut self.processes[sender].node {
            self.cost.steps += 1;
            // What cannot be read is counted by the node.
            let _ = node.hear(now, bytes);
        }
    }

    fn carry_out(&mut self, sender: usize) {
        loop {
            let Some(node) = &mut self.processes[sender].node else { return };
            let effects = node.effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                if let Some(left) = &mut self.processes[sender].dies_in {
                    if *left == 0 {
                        return self.stop(sender);
                    }
                    *left -= 1;
                }
                if !self.effect(sender, effect) {
                    break;
                }
            }
        }
        let process = &mut self.processes[sender];
        let Some(next) = process.node.as_ref().and_then(Machine::next) else { return };
        let next = next.max(self.now);
        if process.woken_at.is_none_or(|at| next < at) {
            process.woken_at = Some(next);
            let start = process.start;
            self.at(next, SimEvent::Wake(sender, start));
        }
        self.note_number(sender);
    }

    /// False if what follows it must not be carried out.
    fn effect(&mut self, sender: usize, effect: Effect) -> bool {
        let now = self.now;
        match effect {
            Effect::Persist(record) => {
                let process = &mut self.processes[sender];
                if process.full {
                    if let Some(node) = &mut process.node {
                        node.disk_failed();
                    }
                    return !matches!(record, Record::Promise(_) | Record::Voter(_));
                }
                process.disk.apply(record);
            }
            Effect::Send { to, bytes, connection } => self.send(sender, to, bytes, connection),
            Effect::Reload => {
                let process = &mut self.processes[sender];
                if !process.full
                    && let Some(node) = &mut process.node
                {
                    node.reloaded(now, process.disk.voter.clone());
                }
            }
            Effect::Halt(halt) => {
                let copied = matches!(halt, Halt::Copied { .. });
                self.record_event(What::Halted { sender, why: halt.to_string(), copied });
            }
            Effect::Notify(Notification::MemberList { .. }) => self.note_number(sender),
            Effect::Notify(_) | Effect::Answer(..) => {}
        }
        true
    }

    fn note_number(&mut self, sender: usize) {
        let process = &mut self.processes[sender];
        let Some(roster) = process.node.as_ref().and_then(Machine::roster) else { return };
        if process.number != Some(roster.age()) {
            process.number = Some(roster.age());
            let (fleet, (epoch, number), digest) = (roster.fleet, roster.age(), roster.digest());
            self.record_event(What::Roster { sender, fleet, epoch, number, digest });
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>, connection: bool) {
        let Some(to) = self.by_address.get(&to).copied() else { return };
        let mut after = LINK_DELAY_MS + self.rng.random_range(0..3);
        let mut twice = false;
        for at in 0..self.links.len() {
            let fault = self.links[at];
            if !self.schedule[fault].meets(from, to) {
                continue;
            }
            let (kind, size) = (self.schedule[fault].fault.kind, self.schedule[fault].fault.size);
            match kind {
                Kind::Cut | Kind::Part => {
                    if connection {
                        // The connection stalls, and breaks when it is used again after the cut.
                        self.torn.insert((from, to), true);
                    }
                    return;
                }
                Kind::Lossy if !connection && self.rng.random_bool(size.min(1.0)) => return,
                Kind::Delay => after += self.rng.random_range(0..=size as u64),
                Kind::Twice => twice |= !connection && self.rng.random_bool(size.min(1.0)),
                Kind::Flip if !connection && self.rng.random_bool(size.min(1.0)) => {
                    let at = self.rng.random_range(0..bytes.len());
                    bytes[at] ^= 1 << self.rng.random_range(0..8);
                }
                Kind::Throttle if connection => after += (bytes.len() as f64 / size.max(0.1)) as u64,
                Kind::Reset if connection && self.rng.random_bool(size.min(1.0)) => {
                    let at = self.now + LINK_DELAY_MS;
                    return self.at(at, SimEvent::Broke { at: from, peer: to });
                }
                _ => {}
            }
        }
        let mut at = self.now + after;
        if connection {
            if self.torn.remove(&(from, to)).is_some() {
                let now = self.now;
                self.at(now, SimEvent::Broke { at: from, peer: to });
            }
            let last = self.fifo.entry((from, to)).or_insert(0);
            at = at.max(*last);
            *last = at;
        }
        if twice {
            let late = at + self.rng.random_range(0..50);
            self.at(late, SimEvent::Deliver { to, bytes: bytes.clone(), from, connection });
        }
        self.at(at, SimEvent::Deliver { to, bytes, from, connection });
    }

    fn begin(&mut self, number: usize) {
        let met = self.schedule[number].clone();
        let text = met.fault.to_string();
        self.record_event(What::Fault { number, text, begins: true });
        match met.fault.kind {
            Kind::Term => met.senders.into_iter().for_each(|sender| self.stop(sender)),
            Kind::Kill | Kind::Empty | Kind::Lose | Kind::Remove => {
                for sender in met.senders {
                    // Half of them die in the middle of their work.
                    if self.rng.random_bool(0.5) && self.processes[sender].node.is_some() {
                        let left = self.rng.random_range(0..6);
                        self.processes[sender].dies_in = Some(left);
                    } else {
                        self.stop(sender);
                    }
                }
            }
            Kind::Pause => {
                for sender in met.senders {
                    if self.processes[sender].node.is_some() {
                        self.processes[sender].paused = true;
                        self.record_event(What::Paused { sender });
                    }
                }
            }
            Kind::Starve => {
                met.senders.iter().for_each(|n| self.processes[*n].starved = Some(met.fault.size as u64))
            }
            Kind::Full => met.senders.iter().for_each(|n| self.processes[*n].full = true),
            Kind::Join => {
                for sender in met.senders {
                    if self.processes[sender].node.is_none() {
                        self.start(sender);
                    }
                }
            }
            Kind::Copy => {
                let original = met.senders[0];
                let earlier = self.schedule[..number].iter().filter(|m| m.fault.kind == Kind::Copy).count();
                let copy = self.simulation.senders + earlier;
                self.processes[copy].disk = self.processes[original].disk.clone();
                self.start(copy);
            }
            Kind::Cut | Kind::Part => {
                self.links.push(number);
                self.record_event(What::Cut { number, from: met.senders, to: met.to });
            }
            Kind::Lossy | Kind::Delay | Kind::Twice | Kind::Flip | Kind::Reset | Kind::Throttle => {
                self.links.push(number);
            }
            Kind::Garbage => self.garbage(number),
        }
    }

    fn end(&mut self, number: usize) {
        let met = self.schedule[number].clone();
        match met.fault.kind {
            Kind::Kill | Kind::Term | Kind::Empty | Kind::Lose | Kind::Remove => {
                for sender in met.senders.iter().copied() {
                    self.stop(sender);
                    // Whoever else has it in hand starts it at its own end.
                    let down_by_other_fault = self.schedule.iter().enumerate().any(|(other, m)| {
                        other != number
                            && m.fault.kind.takes_down()
                            && m.senders.contains(&sender)
                            && (m.fault.at_s * 1e3) as u64 <= self.now
                            && (m.fault.at_s + m.fault.for_s) * 1e3 > self.now as f64
                    });
                    let departs = matches!(met.fault.kind, Kind::Lose | Kind::Remove);
                    if departs || met.fault.kind == Kind::Empty {
                        self.processes[sender].disk = State::default();
                    }
                    if !down_by_other_fault && !departs {
                        self.start(sender);
                    }
                }
                if met.fault.kind == Kind::Remove {
                    self.remove(&met.senders);
                }
            }
            Kind::Pause => {
                for sender in met.senders {
                    if std::mem::take(&mut self.processes[sender].paused) {
                        self.processes[sender].woken_at = None;
                        self.record_event(What::Resumed { sender });
                        self.work(sender);
                    }
                }
            }
            Kind::Starve => met.senders.iter().for_each(|n| self.processes[*n].starved = None),
            Kind::Full => met.senders.iter().for_each(|n| self.processes[*n].full = false),
            Kind::Join | Kind::Copy | Kind::Garbage => {}
            Kind::Cut | Kind::Part => {
                self.links.retain(|n| *n != number);
                self.record_event(What::Healed { number });
            }
            Kind::Lossy | Kind::Delay | Kind::Twice | Kind::Flip | Kind::Reset | Kind::Throttle => {
                self.links.retain(|n| *n != number);
            }
        }
        self.record_event(What::Fault { number, text: String::new(), begins: false });
    }

    /// Strangers' datagrams, one after the other for as long as the fault lasts.
    fn garbage(&mut self, number: usize) {
        let Met { fault, senders, .. } = self.schedule[number].clone();
        let until = (fault.at_s + fault.for_s) * 1e3;
        let mut at = self.now as f64;
        while at < until {
            for to in senders.iter().copied() {
                let bytes = garbage(&mut self.rng);
                self.at(at as u64, SimEvent::Deliver { to, bytes, from: to, connection: false });
            }
            at += 1e3 / fault.size.max(1.0);
        }
    }

    /// Operators have some removed, by asking one that runs.
    fn remove(&mut self, senders: &[usize]) {
        let Some(contact) = (0..self.simulation.senders).find(|n| self.processes[*n].node.is_some()) else {
            return;
        };
        for sender in senders {
            let name = self.info(*sender).name;
            self.record_event(What::RemovalRequested { name: name.clone() });
            let now = self.now;
            if let Some(node) = &mut self.processes[contact].node {
                node.order(now, 0, &sender_membership::Command::Remove(name));
            }
            self.carry_out(contact);
        }
    }

    /// Takes down what each says of its fleet, where that changed.
    fn poll_views(&mut self) {
        for sender in 0..self.processes.len() {
            let process = &mut self.processes[sender];
            let Some(node) = process.node.as_ref().filter(|_| !process.paused) else { continue };
            if node.halted().is_some() {
                continue;
            }
            let mark = node.mark(self.now);
            if process.marked == Some(mark) {
                continue;
            }
            process.marked = Some(mark);
            let view = node.view(self.now);
            let seen = What::Seen {
                sender,
                number: view.number,
                confirmed: view.confirmed,
                members: view
                    .members
                    .into_iter()
                    .map(|row| SeenMember {
                        name: row.name,
                        number: row.number,
                        incarnation: row.incarnation,
                        state: row.state.into(),
                        health: row.health.into(),
                    })
                    .collect(),
            };
            self.record_event(seen);
        }
    }
}
