//! The decision module alone in simulated time: thousands of senders against the same partners, clients and checker, in
//! one thread. No sockets and no journal: what a kill takes is what an unbroken journal would give back.
use crate::checker::{Admission, AttemptEnd, RuleChecker};
use crate::fleet::{FleetError, apply, configuration};
use crate::model::{Condition, Fate, Partner};
use crate::plan::{Micros, Plan, micros};
use crate::run::RunResult;
use crate::scenario::{FaultKind, Scenario, ScheduledFault, Variant};
use message_sender::profile::Profile;
use message_sender::{
    Action, Class, ClassId, DestinationId, EndpointId, Entry, Event, KindId, Listing, Message, MessageId,
    Outcome, Resumed, Sender, Settings, Span, Time, ZoneId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;

/// One way from a sender to an endpoint, or from a client to a sender.
const ONE_WAY_DELAY_US: Micros = 10_000;
/// The module's clock at the start of a run: it is a wall clock in service.
const EPOCH: u64 = 1_000_000_000;
/// For how long an endpoint keeps an idle connection.
const IDLE_TIMEOUT_US: Micros = 5_000_000;
/// Updates of the list reach each sender at random within these, in seconds.
const LIST_DELAY_S: [f64; 2] = [0.5, 4.7];
/// How long a process takes from its start until it is ready.
const START_DURATION_US: Micros = 200_000;

/// Why a simulated run cannot be begun.
#[derive(Debug, thiserror::Error)]
pub enum SimError {
    /// The settings made of the scenario, or of the variant's keys, cannot be acted on.
    #[error("settings: {0}")]
    Settings(String),
    /// The variant sets a key that is none.
    #[error(transparent)]
    Key(#[from] FleetError),
    /// Only the project's own module is run so.
    #[error("variant {0:?} is no configuration of this project's module")]
    Variant(String),
}

/// What happens, and when.
enum SimEvent {
    /// A client submits a message.
    Submit { arrival: usize, first: Option<usize>, retries: u32 },
    /// A sender is due.
    Step(usize),
    /// A call reaches its endpoint completely; or not, where there is no connection.
    Reaches(CallAt),
    /// It ends as the partner has it.
    Ends(CallAt, Outcome),
    /// Its sender stops waiting.
    Expires(CallAt),
    /// An idle connection is closed by its endpoint.
    Closes { sender: usize, endpoint: u32, since: Micros },
    /// A fault begins or ends.
    ScheduledFault(usize, bool),
    /// A sender is killed.
    Dies(usize),
    /// A sender is ready again.
    Ready(usize),
    /// The list's news reaches a sender.
    ListUpdate { sender: usize, endpoint: u32, serves: bool },
}

/// One attempt.
#[derive(Clone, Copy, PartialEq)]
struct CallAt {
    sender: usize,
    /// Which process of the sender: calls of one that was killed report to nobody.
    incarnation: u32,
    message: u32,
    attempt: u32,
    endpoint: u32,
    began: Micros,
}

/// A message that a sender has pending.
struct InFlightMessage {
    id: String,
    arrival: usize,
    first: usize,
    retries: u32,
    due: Micros,
    attempts: u32,
    ran: Option<Time>,
    out: Option<CallAt>,
    /// When the partner let the attempt through: from then on its end must be reported to the checker.
    admitted: Option<Micros>,
}

struct Node {
    sender: Sender,
    incarnation: u32,
    down: bool,
    pending: Vec<Event>,
    next_step: Option<Micros>,
    last_step: Micros,
    in_flight: BTreeMap<u32, InFlightMessage>,
    next_message: u32,
    idle: HashMap<u32, Vec<Micros>>,
    seed: u64,
    /// From when on the front considers it dead.
    shunned_from: Micros,
}

struct World {
    scenario: Scenario,
    plan: Plan,
    settings: Settings,
    classes: Vec<Class>,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events_by_number: HashMap<u64, SimEvent>,
    next_event: u64,
    checker: RuleChecker,
    partners: Vec<Partner>,
    /// By the number that all senders give them: partner and place there.
    endpoints: Vec<(usize, usize)>,
    nodes: Vec<Node>,
    rng: ChaCha8Rng,
    steps: u64,
    next_id: u64,
}

/// What a simulated run cost.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Steps of all modules.
    pub steps: u64,
    /// Seconds that were simulated.
    pub simulated_s: f64,
}

/// Runs a scenario in simulated time.
pub fn simulate(scenario: &Scenario, variant: &Variant, seed: u64) -> Result<(RunResult, Cost), SimError> {
    if variant.baseline.is_some() || variant.binary.is_some() {
        return Err(SimError::Variant(variant.name.clone()));
    }
    let mut world = World::new(scenario, variant, seed)?;
    let planned = world.plan.arrivals.len();
    for (number, arrival) in world.plan.arrivals.clone().iter().enumerate() {
        world.schedule_at(arrival.at, SimEvent::Submit { arrival: number, first: None, retries: 0 });
    }
    for (number, (fault, _)) in world.plan.scheduled_faults.clone().iter().enumerate() {
        world.schedule_at(micros(fault.at_s), SimEvent::ScheduledFault(number, true));
        world.schedule_at(micros(fault.at_s + fault.for_s), SimEvent::ScheduledFault(number, false));
    }
    let longest = scenario.classes.iter().map(|c| c.deadline_ms / 1000.0).fold(0.0, f64::max);
    let last = micros(scenario.seconds + longest + 1.0);
    while let Some(Reverse((at, number))) = world.queue.pop() {
        if at > last {
            break;
        }
        world.now = at;
        if let Some(event) = world.events_by_number.remove(&number) {
            world.handle(event);
        }
    }
    let cost = Cost { steps: world.steps, simulated_s: world.now as f64 / 1e6 };
    let verdict = world.checker.verdict(last);
    let (crashes, faults) = (Vec::new(), Vec::new());
    let (name, variant) = (scenario.name.clone(), variant.name.clone());
    let result = RunResult {
        scenario: name,
        variant,
        seed,
        planned,
        verdict,
        crashes,
        faults,
        cut_short: false,
        promises: None,
    };
    Ok((result, cost))
}

fn entry(plan: &Plan, number: usize, partner: usize, listing: Listing) -> Entry {
    let (kind, hint) = (KindId(plan.partners[partner].kind), plan.partners[partner].limit);
    let (endpoint, destination) = (EndpointId(number as u32), DestinationId(partner as u64));
    Entry { endpoint, destination, kind, zone: ZoneId(0), listing, hint }
}

/// The complete list.
fn list(plan: &Plan, endpoints: &[(usize, usize)]) -> Vec<Entry> {
    let numbered = endpoints.iter().enumerate();
    numbered.map(|(number, (partner, _))| entry(plan, number, *partner, Listing::Active)).collect()
}

impl World {
    fn new(scenario: &Scenario, variant: &Variant, seed: u64) -> Result<Self, SimError> {
        let plan = Plan::draw(scenario, seed);
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let known = serde_json::Value::Null;
        let mut config = configuration(scenario, &plan, 0, (nowhere, nowhere), &known, seed);
        apply(variant, &mut config)?;
        let profile =
            Profile::deserialize(&config["settings"]).map_err(|e| SimError::Settings(e.to_string()))?;
        let settings = profile.settings(&profile.names()).map_err(SimError::Settings)?;
        let endpoints: Vec<_> = plan.endpoints().collect();
        let entries = list(&plan, &endpoints);
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x51AE);
        let mut nodes = Vec::new();
        for _ in 0..scenario.fleet.senders {
            let own = rng.random();
            let mut sender =
                Sender::new(settings.clone(), own).map_err(|e| SimError::Settings(e.to_string()))?;
            sender.step(Time(EPOCH), &[Event::FullList(entries.clone())], &mut Vec::new());
            nodes.push(Node {
                sender,
                incarnation: 0,
                down: false,
                pending: Vec::new(),
                next_step: None,
                last_step: 0,
                in_flight: BTreeMap::new(),
                next_message: 0,
                idle: HashMap::new(),
                seed: own,
                shunned_from: Micros::MAX,
            });
        }
        Ok(World {
            classes: settings.classes.clone(),
            settings,
            now: 0,
            queue: BinaryHeap::new(),
            events_by_number: HashMap::new(),
            next_event: 0,
            checker: RuleChecker::new(scenario, &plan),
            partners: Partner::all(&plan, scenario, seed),
            endpoints,
            nodes,
            rng,
            steps: 0,
            next_id: 0,
            scenario: scenario.clone(),
            plan,
        })
    }

    fn schedule_at(&mut self, when: Micros, event: SimEvent) {
        let number = self.next_event;
        self.next_event += 1;
        self.events_by_number.insert(number, event);
        self.queue.push(Reverse((when.max(self.now), number)));
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Submit { arrival, first, retries } => self.submit(arrival, first, retries),
            SimEvent::Step(sender) => self.step(sender),
            SimEvent::Reaches(call) => self.reaches(call),
            SimEvent::Ends(call, outcome) => self.ends(call, outcome),
            SimEvent::Expires(call) => self.expires(call),
            SimEvent::Closes { sender, endpoint, since } => self.closes(sender, endpoint, since),
            SimEvent::ScheduledFault(number, begins) => self.begin_or_end_fault(number, begins),
            SimEvent::Dies(sender) => self.kill(sender),
            SimEvent::Ready(sender) => self.ready(sender),
            SimEvent::ListUpdate { sender, endpoint, serves } => self.list_update(sender, endpoint, serves),
        }
    }

    // ---- clients -------------------------------------------------------------------------------------

    fn submit(&mut self, arrival: usize, first: Option<usize>, retries: u32) {
        let plan = self.plan.arrivals[arrival].clone();
        let deadline = micros(self.scenario.classes[plan.class].deadline_ms / 1000.0);
        let first = first.unwrap_or_else(|| self.checker.wants(self.now, plan.class));
        let due = plan.at + deadline;
        if self.now >= due || (retries > 0 && !self.checker.may_resubmit(self.now, first)) {
            return;
        }
        let alive: Vec<usize> =
            (0..self.nodes.len()).filter(|s| self.now < self.nodes[*s].shunned_from).collect();
        let random = if retries == 0 { plan.random } else { self.rng.random() };
        let index = ((random * alive.len() as f64) as usize).min(alive.len().saturating_sub(1));
        let Some(sender) = alive.get(index).copied() else { return };
        let id = format!("m{}", self.next_id);
        self.next_id += 1;
        self.checker.submitted(&id, first, sender, plan.partner, due);
        let node = &mut self.nodes[sender];
        if node.down {
            self.checker.unanswered(&id);
            return self.resubmit(arrival, first, retries, None);
        }
        let accepts = node.sender.admits(Time(EPOCH + self.now), node.in_flight.len());
        self.checker.answered(self.now, &id, accepts);
        if !accepts {
            return self.resubmit(arrival, first, retries, None);
        }
        let number = node.next_message;
        node.next_message += 1;
        let in_flight_message = InFlightMessage {
            id,
            arrival,
            first,
            retries,
            due,
            attempts: 0,
            ran: None,
            out: None,
            admitted: None,
        };
        node.in_flight.insert(number, in_flight_message);
        let budget = Span(due - self.now);
        let class = self.classes[ClassId(plan.class).0];
        let destination = DestinationId(plan.partner as u64);
        let message = Message { id: MessageId(number), class, tenant: None, key: None, destination, budget };
        node.pending.push(Event::Message(message));
        self.wake(sender, self.now);
    }

    /// A client that was refused comes again, if it has a retry left.
    fn resubmit(&mut self, arrival: usize, first: usize, retries: u32, advised_delay: Option<Micros>) {
        let clients = &self.scenario.clients;
        if retries >= clients.retries {
            return;
        }
        let [min, max] = clients.resubmit_delay_ms;
        let honours = self.rng.random::<f64>() < clients.honour;
        let own = micros((min + (max - min) * self.rng.random::<f64>()) / 1000.0) << retries.min(10);
        let wait = advised_delay.filter(|_| honours).unwrap_or(own);
        self.schedule_at(
            self.now + wait,
            SimEvent::Submit { arrival, first: Some(first), retries: retries + 1 },
        );
    }

    // ---- senders -------------------------------------------------------------------------------------

    /// Has a sender step at that time, no sooner than a period after its last.
    fn wake(&mut self, sender: usize, at: Micros) {
        let node = &mut self.nodes[sender];
        let at = at.max(node.last_step + self.settings.period.0).max(self.now);
        if node.next_step.is_none_or(|set| at < set || set < self.now) {
            node.next_step = Some(at);
            self.schedule_at(at, SimEvent::Step(sender));
        }
    }

    fn step(&mut self, sender: usize) {
        let node = &mut self.nodes[sender];
        if node.down || node.next_step != Some(self.now) {
            return;
        }
        (node.next_step, node.last_step) = (None, self.now);
        let mut events = std::mem::take(&mut node.pending);
        events.push(Event::TimerFired);
        let mut actions = Vec::new();
        node.sender.step(Time(EPOCH + self.now), &events, &mut actions);
        self.steps += 1;
        for action in actions {
            self.act(sender, action);
        }
    }

    fn act(&mut self, sender: usize, action: Action) {
        match action {
            Action::Send { message, endpoint, expires } => {
                self.send(sender, message.0, endpoint.0, expires.0.saturating_sub(EPOCH));
            }
            Action::Refuse { message, after } => self.over(sender, message.0, Some(after.map(|s| s.0))),
            Action::Fail(message) => self.over(sender, message.0, None),
            Action::WakeIn(span) => self.wake(sender, self.now + span.0),
            Action::CloseIdle(endpoint) => {
                let closed = self.nodes[sender].idle.remove(&endpoint.0).map_or(0, |idle| idle.len());
                let (partner, index) = self.endpoints[endpoint.0 as usize];
                (0..closed).for_each(|_| self.partners[partner].disconnected(index));
            }
            Action::Cancel { message, .. } => {
                let out = self.nodes[sender].in_flight.get(&message.0).and_then(|h| h.out);
                if let Some(call) = out {
                    self.ends(call, Outcome::Cancelled);
                }
            }
            Action::Subscribe | Action::FetchList | Action::Probe(_) | Action::Forget(_) | Action::Log(_) => {
            }
        }
    }

    /// A message ends undelivered: returned, with the advice to its client, or failed.
    fn over(&mut self, sender: usize, message: u32, returned: Option<Option<Micros>>) {
        let Some(in_flight_message) = self.nodes[sender].in_flight.remove(&message) else { return };
        let known = self.checker.noticed(self.now, &in_flight_message.id, returned.is_some()).is_some();
        if let Some(after) = returned.filter(|_| known) {
            self.resubmit(
                in_flight_message.arrival,
                in_flight_message.first,
                in_flight_message.retries,
                after,
            );
        }
    }

    fn send(&mut self, sender: usize, message: u32, endpoint: u32, expires: Micros) {
        let (partner, index) = self.endpoints[endpoint as usize];
        let node = &mut self.nodes[sender];
        let Some(in_flight_message) = node.in_flight.get_mut(&message) else { return };
        let attempt = in_flight_message.attempts;
        in_flight_message.attempts += 1;
        let call =
            CallAt { sender, incarnation: node.incarnation, message, attempt, endpoint, began: self.now };
        (in_flight_message.out, in_flight_message.admitted) = (Some(call), None);
        in_flight_message.ran.get_or_insert(Time(EPOCH + self.now));
        let reused = node.idle.get_mut(&endpoint).and_then(Vec::pop).is_some();
        if reused {
            self.schedule_at(self.now + ONE_WAY_DELAY_US, SimEvent::Reaches(call));
        } else if self.partners[partner].condition(index) == Condition::Down {
            self.schedule_at(self.now + 2 * ONE_WAY_DELAY_US, SimEvent::Ends(call, Outcome::ConnectFailed));
        } else {
            self.checker.connected(self.now);
            if self.partners[partner].connected(index) {
                self.schedule_at(self.now + 3 * ONE_WAY_DELAY_US, SimEvent::Reaches(call));
            } else {
                self.partners[partner].disconnected(index);
                self.schedule_at(self.now + 4 * ONE_WAY_DELAY_US, SimEvent::Ends(call, Outcome::NoRoom));
            }
        }
        self.schedule_at(expires, SimEvent::Expires(call));
    }

    /// Whether the attempt is still out, as far as its sender knows.
    fn is_out(&self, call: CallAt) -> bool {
        let node = &self.nodes[call.sender];
        node.incarnation == call.incarnation
            && node.in_flight.get(&call.message).is_some_and(|h| h.out == Some(call))
    }

    fn reaches(&mut self, call: CallAt) {
        if !self.is_out(call) {
            return;
        }
        let (partner, index) = self.endpoints[call.endpoint as usize];
        let Some(in_flight_message) = self.nodes[call.sender].in_flight.get_mut(&call.message) else {
            return;
        };
        let id = in_flight_message.id.clone();
        if self.partners[partner].condition(index) == Condition::Down {
            return self.ends(call, Outcome::ConnectFailed);
        }
        match self.checker.begins(self.now, &id, partner, index) {
            Admission::Through { .. } => in_flight_message.admitted = Some(self.now),
            _ => return self.ends(call, Outcome::Void),
        }
        let work = self.plan.arrivals[in_flight_message.arrival].work;
        let (fate, fall) = self.partners[partner].arrive(self.now, index, call.sender, work);
        if fate.runs() {
            self.checker.runs(self.now, &id);
        }
        if let Some(fall) = fall {
            self.checker.fell(self.now, partner, fall.by_witnesses);
        }
        match fate {
            Fate::Refused(wait) => {
                self.schedule_at(
                    self.now + ONE_WAY_DELAY_US,
                    SimEvent::Ends(call, Outcome::Full(wait.map(Span))),
                );
            }
            Fate::Answered { at, ok } => {
                let outcome = if ok { Outcome::Success } else { Outcome::Failure };
                self.schedule_at(at + ONE_WAY_DELAY_US, SimEvent::Ends(call, outcome));
            }
            Fate::Broken { at } => {
                self.schedule_at(at + ONE_WAY_DELAY_US, SimEvent::Ends(call, Outcome::Reset))
            }
            Fate::Silent { .. } => {}
        }
    }

    fn expires(&mut self, call: CallAt) {
        if self.is_out(call) {
            self.ends(call, Outcome::TimedOut);
        }
    }

    fn ends(&mut self, call: CallAt, outcome: Outcome) {
        if !self.is_out(call) {
            return;
        }
        let (partner, index) = self.endpoints[call.endpoint as usize];
        let node = &mut self.nodes[call.sender];
        let Some(in_flight_message) = node.in_flight.get_mut(&call.message) else { return };
        in_flight_message.out = None;
        if !outcome.may_have_executed()
            && outcome != Outcome::Success
            && in_flight_message.ran == Some(Time(EPOCH + call.began))
        {
            in_flight_message.ran = None;
        }
        let (id, admitted) = (in_flight_message.id.clone(), in_flight_message.admitted);
        let last = outcome == Outcome::Success;
        let attempt_end = match outcome {
            Outcome::Success => AttemptEnd::Delivered,
            Outcome::Failure => AttemptEnd::Error,
            Outcome::Full(wait) => AttemptEnd::Refused(wait.map(|w| self.now + w.0)),
            _ => AttemptEnd::Cut,
        };
        if let Some(began) = admitted {
            self.checker.ends(self.now, &id, began, attempt_end);
        }
        if outcome != Outcome::Success {
            self.partners[partner].witnessed(call.sender);
        }
        if last {
            node.in_flight.remove(&call.message);
        }
        let elapsed = Span(self.now - call.began);
        let message = MessageId(call.message);
        node.pending.push(Event::AttemptCompleted {
            message,
            attempt: call.attempt,
            outcome,
            elapsed,
            last,
            report: None,
        });
        match outcome {
            Outcome::Success | Outcome::Failure | Outcome::Full(_) | Outcome::Void => {
                node.idle.entry(call.endpoint).or_default().push(self.now);
                let closes =
                    SimEvent::Closes { sender: call.sender, endpoint: call.endpoint, since: self.now };
                self.schedule_at(self.now + IDLE_TIMEOUT_US, closes);
            }
            Outcome::ConnectFailed | Outcome::NoRoom => {}
            _ => self.partners[partner].disconnected(index),
        }
        self.wake(call.sender, self.now);
    }

    fn closes(&mut self, sender: usize, endpoint: u32, since: Micros) {
        let Some(idle) = self.nodes[sender].idle.get_mut(&endpoint) else { return };
        if let Some(index) = idle.iter().position(|at| *at == since) {
            idle.remove(index);
            let (partner, index) = self.endpoints[endpoint as usize];
            self.partners[partner].disconnected(index);
        }
    }

    // ---- faults ------------------------------------------------------------------------------------

    fn begin_or_end_fault(&mut self, number: usize, begins: bool) {
        let (fault, met) = self.plan.scheduled_faults[number].clone();
        let word = if begins { "begins" } else { "ends" };
        self.checker.event(self.now, format!("{:?} {word}: {} met", fault.kind, met.len()));
        let gap = micros(fault.for_s / met.len() as f64);
        for (index, who) in met.into_iter().enumerate() {
            match fault.kind {
                FaultKind::Kill if begins => self.kill(who),
                FaultKind::Kill => self.schedule_at(self.now + START_DURATION_US, SimEvent::Ready(who)),
                // One after the other, each down for as long as a start takes.
                FaultKind::Restart if begins => {
                    let at = self.now + index as u64 * gap;
                    self.schedule_at(at, SimEvent::Dies(who));
                    self.schedule_at(at + START_DURATION_US, SimEvent::Ready(who));
                }
                FaultKind::Restart => {}
                FaultKind::Directory => {}
                FaultKind::Drain => self.drain(who, !begins),
                _ => self.apply_fault(who, &fault, begins),
            }
        }
    }

    fn apply_fault(&mut self, partner: usize, fault: &ScheduledFault, begins: bool) {
        self.partners[partner].apply_fault(self.now, fault, begins);
        if self.partners[partner].condition(0) == Condition::Down {
            // Idle connections are reset with it.
            for (number, (of, index)) in
                self.endpoints.iter().enumerate().filter(|(_, (of, _))| *of == partner)
            {
                for node in &mut self.nodes {
                    let closed = node.idle.remove(&(number as u32)).map_or(0, |idle| idle.len());
                    (0..closed).for_each(|_| self.partners[*of].disconnected(*index));
                }
            }
        }
    }

    fn drain(&mut self, partner: usize, serves: bool) {
        let Some(last) = self.endpoints.iter().rposition(|(of, _)| *of == partner) else { return };
        for sender in 0..self.nodes.len() {
            let [min, max] = LIST_DELAY_S;
            let late = micros(min + (max - min) * self.rng.random::<f64>());
            self.schedule_at(self.now + late, SimEvent::ListUpdate { sender, endpoint: last as u32, serves });
        }
    }

    fn list_update(&mut self, sender: usize, endpoint: u32, serves: bool) {
        if self.nodes[sender].down {
            return;
        }
        let (partner, index) = self.endpoints[endpoint as usize];
        self.checker.endpoint_reported(self.now, sender, partner, index, serves);
        let listing = if serves { Listing::Active } else { Listing::Draining };
        let change = entry(&self.plan, endpoint as usize, partner, listing);
        self.nodes[sender].pending.push(Event::ListChanges(vec![change]));
        self.wake(sender, self.now);
    }

    fn kill(&mut self, sender: usize) {
        let [min, max] = self.scenario.clients.notice_s;
        let noticed = self.now + micros(min + (max - min) * self.rng.random::<f64>());
        self.checker.sender_down(self.now, sender);
        let (outs, idle) = {
            let node = &mut self.nodes[sender];
            (node.down, node.shunned_from) = (true, noticed);
            node.incarnation += 1;
            node.pending.clear();
            node.next_step = None;
            let outs: Vec<_> = node
                .in_flight
                .values_mut()
                .filter_map(|h| Some((h.out.take()?, h.id.clone(), h.admitted)))
                .collect();
            (outs, std::mem::take(&mut node.idle))
        };
        for (call, id, admitted) in outs {
            if let Some(began) = admitted {
                self.checker.ends(self.now, &id, began, AttemptEnd::Cut);
            }
            let (partner, index) = self.endpoints[call.endpoint as usize];
            self.partners[partner].disconnected(index);
        }
        for (endpoint, idle) in idle {
            let (partner, index) = self.endpoints[endpoint as usize];
            idle.iter().for_each(|_| self.partners[partner].disconnected(index));
        }
    }

    fn ready(&mut self, sender: usize) {
        let entries = list(&self.plan, &self.endpoints);
        let node = &mut self.nodes[sender];
        (node.down, node.shunned_from) = (false, Micros::MAX);
        node.seed = node.seed.wrapping_add(1);
        let Ok(fresh) = Sender::new(self.settings.clone(), node.seed) else { return };
        node.sender = fresh;
        node.pending.push(Event::FullList(entries));
        for (number, in_flight_message) in &node.in_flight {
            let plan = &self.plan.arrivals[in_flight_message.arrival];
            let message = Message {
                id: MessageId(*number),
                class: self.classes[plan.class],
                tenant: None,
                key: None,
                destination: DestinationId(plan.partner as u64),
                budget: Span(in_flight_message.due.saturating_sub(self.now)),
            };
            let ran = in_flight_message.ran.map(|at| (at, ZoneId(0)));
            let resumed = Resumed { message, attempts: in_flight_message.attempts, ran, ended: false };
            node.pending.push(Event::Resumed(resumed));
        }
        self.checker.sender_ready(self.now, sender);
        self.wake(sender, self.now);
    }
}

#[cfg(test)]
mod tests;
