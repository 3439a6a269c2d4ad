//! The decision module alone in simulated time: thousands of senders against the same partners, clients and judge, in
//! one thread. No sockets and no journal: what a kill takes is what an unbroken journal would give back.
use crate::checker::{Admission, Ended, RuleChecker};
use crate::fleet::{FleetError, apply, configuration};
use crate::model::{Condition, Fate, Partner};
use crate::plan::{Micros, Plan, micros};
use crate::run::Played;
use crate::scenario::{Scenario, Trouble, TroubleKind, Variant};
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
const WAY: Micros = 10_000;
/// The module's clock at the start of a play: it is a wall clock in service.
const EPOCH: u64 = 1_000_000_000;
/// For how long an endpoint keeps an idle connection.
const IDLE: Micros = 5_000_000;
/// News of the list reaches each sender by chance within these, in seconds.
const LIST_DELAY_S: [f64; 2] = [0.5, 4.7];
/// How long a process takes from its start until it is ready.
const START: Micros = 200_000;

/// Why a simulated play cannot be begun.
#[derive(Debug, thiserror::Error)]
pub enum SimError {
    /// The settings made of the scenario, or of the variant's keys, cannot be acted on.
    #[error("settings: {0}")]
    Settings(String),
    /// The variant sets a key that is none.
    #[error(transparent)]
    Key(#[from] FleetError),
    /// Only the project's own module is played so.
    #[error("variant {0:?} is no configuration of this project's module")]
    Variant(String),
}

/// What happens, and when.
enum Happening {
    /// A client hands a message in.
    HandIn { arrival: usize, first: Option<usize>, tries: u32 },
    /// A sender is due.
    Step(usize),
    /// A call reaches its endpoint whole; or not, where there is no connection.
    Reaches(CallAt),
    /// It ends as the partner has it.
    Ends(CallAt, Outcome),
    /// Its sender stops waiting.
    Expires(CallAt),
    /// An idle connection is closed by its endpoint.
    Closes { sender: usize, endpoint: u32, since: Micros },
    /// A trouble begins or ends.
    Trouble(usize, bool),
    /// A sender is killed.
    Dies(usize),
    /// A sender is ready again.
    Ready(usize),
    /// The list's news reaches a sender.
    Told { sender: usize, endpoint: u32, serves: bool },
}

/// One attempt.
#[derive(Clone, Copy, PartialEq)]
struct CallAt {
    sender: usize,
    /// Which process of the sender: calls of one that was killed tell nobody.
    life: u32,
    message: u32,
    attempt: u32,
    endpoint: u32,
    began: Micros,
}

/// A message that a sender holds.
struct Holds {
    id: String,
    arrival: usize,
    first: usize,
    tries: u32,
    due: Micros,
    attempts: u32,
    ran: Option<Time>,
    out: Option<CallAt>,
    /// When the partner let the attempt through: from then on its end is owed to the judge.
    admitted: Option<Micros>,
}

struct Node {
    sender: Sender,
    life: u32,
    down: bool,
    pending: Vec<Event>,
    next_step: Option<Micros>,
    last_step: Micros,
    held: BTreeMap<u32, Holds>,
    next_message: u32,
    idle: HashMap<u32, Vec<Micros>>,
    seed: u64,
    /// From when on the front takes it for dead.
    shunned_from: Micros,
}

struct World {
    scenario: Scenario,
    plan: Plan,
    settings: Settings,
    classes: Vec<Class>,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    happenings: HashMap<u64, Happening>,
    next_happening: u64,
    judge: RuleChecker,
    partners: Vec<Partner>,
    /// By the number that all senders give them: partner and place there.
    endpoints: Vec<(usize, usize)>,
    nodes: Vec<Node>,
    rng: ChaCha8Rng,
    steps: u64,
    next_id: u64,
}

/// What a simulated play cost.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Steps of all modules.
    pub steps: u64,
    /// Seconds that were simulated.
    pub simulated_s: f64,
}

/// Plays a scenario in simulated time.
pub fn simulate(scenario: &Scenario, variant: &Variant, seed: u64) -> Result<(Played, Cost), SimError> {
    if variant.baseline.is_some() || variant.binary.is_some() {
        return Err(SimError::Variant(variant.name.clone()));
    }
    let mut world = World::new(scenario, variant, seed)?;
    let planned = world.plan.arrivals.len();
    for (number, arrival) in world.plan.arrivals.clone().iter().enumerate() {
        world.at(arrival.at, Happening::HandIn { arrival: number, first: None, tries: 0 });
    }
    for (number, (trouble, _)) in world.plan.troubles.clone().iter().enumerate() {
        world.at(micros(trouble.at_s), Happening::Trouble(number, true));
        world.at(micros(trouble.at_s + trouble.for_s), Happening::Trouble(number, false));
    }
    let longest = scenario.classes.iter().map(|c| c.deadline_ms / 1000.0).fold(0.0, f64::max);
    let last = micros(scenario.seconds + longest + 1.0);
    while let Some(Reverse((at, number))) = world.queue.pop() {
        if at > last {
            break;
        }
        world.now = at;
        if let Some(happening) = world.happenings.remove(&number) {
            world.happens(happening);
        }
    }
    let cost = Cost { steps: world.steps, simulated_s: world.now as f64 / 1e6 };
    let verdict = world.judge.verdict(last);
    let (crashes, faults) = (Vec::new(), Vec::new());
    let (name, variant) = (scenario.name.clone(), variant.name.clone());
    let played = Played {
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
    Ok((played, cost))
}

fn entry(plan: &Plan, number: usize, partner: usize, listing: Listing) -> Entry {
    let (kind, hint) = (KindId(plan.partners[partner].kind), plan.partners[partner].limit);
    let (endpoint, destination) = (EndpointId(number as u32), DestinationId(partner as u64));
    Entry { endpoint, destination, kind, zone: ZoneId(0), listing, hint }
}

/// The whole list.
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
                life: 0,
                down: false,
                pending: Vec::new(),
                next_step: None,
                last_step: 0,
                held: BTreeMap::new(),
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
            happenings: HashMap::new(),
            next_happening: 0,
            judge: RuleChecker::new(scenario, &plan),
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

    fn at(&mut self, when: Micros, happening: Happening) {
        let number = self.next_happening;
        self.next_happening += 1;
        self.happenings.insert(number, happening);
        self.queue.push(Reverse((when.max(self.now), number)));
    }

    fn happens(&mut self, happening: Happening) {
        match happening {
            Happening::HandIn { arrival, first, tries } => self.submit(arrival, first, tries),
            Happening::Step(sender) => self.step(sender),
            Happening::Reaches(call) => self.reaches(call),
            Happening::Ends(call, outcome) => self.ends(call, outcome),
            Happening::Expires(call) => self.expires(call),
            Happening::Closes { sender, endpoint, since } => self.closes(sender, endpoint, since),
            Happening::Trouble(number, begins) => self.trouble(number, begins),
            Happening::Dies(sender) => self.kill(sender),
            Happening::Ready(sender) => self.ready(sender),
            Happening::Told { sender, endpoint, serves } => self.told(sender, endpoint, serves),
        }
    }

    // ---- clients -------------------------------------------------------------------------------------

    fn submit(&mut self, arrival: usize, first: Option<usize>, tries: u32) {
        let plan = self.plan.arrivals[arrival].clone();
        let deadline = micros(self.scenario.classes[plan.class].deadline_ms / 1000.0);
        let first = first.unwrap_or_else(|| self.judge.wants(self.now, plan.class));
        let due = plan.at + deadline;
        if self.now >= due || (tries > 0 && !self.judge.may_come_again(self.now, first)) {
            return;
        }
        let alive: Vec<usize> =
            (0..self.nodes.len()).filter(|s| self.now < self.nodes[*s].shunned_from).collect();
        let chance = if tries == 0 { plan.chance } else { self.rng.random() };
        let place = ((chance * alive.len() as f64) as usize).min(alive.len().saturating_sub(1));
        let Some(sender) = alive.get(place).copied() else { return };
        let id = format!("m{}", self.next_id);
        self.next_id += 1;
        self.judge.handed_in(&id, first, sender, plan.partner, due);
        let node = &mut self.nodes[sender];
        if node.down {
            self.judge.unanswered(&id);
            return self.come_again(arrival, first, tries, None);
        }
        let takes = node.sender.admits(Time(EPOCH + self.now), node.held.len());
        self.judge.answered(self.now, &id, takes);
        if !takes {
            return self.come_again(arrival, first, tries, None);
        }
        let number = node.next_message;
        node.next_message += 1;
        let holds =
            Holds { id, arrival, first, tries, due, attempts: 0, ran: None, out: None, admitted: None };
        node.held.insert(number, holds);
        let budget = Span(due - self.now);
        let class = self.classes[ClassId(plan.class).0];
        let destination = DestinationId(plan.partner as u64);
        let message = Message { id: MessageId(number), class, tenant: None, key: None, destination, budget };
        node.pending.push(Event::Message(message));
        self.wake(sender, self.now);
    }

    /// A client that was refused comes again, if it has a try left.
    fn come_again(&mut self, arrival: usize, first: usize, tries: u32, told: Option<Micros>) {
        let clients = &self.scenario.clients;
        if tries >= clients.retries {
            return;
        }
        let [least, most] = clients.again_ms;
        let honours = self.rng.random::<f64>() < clients.honour;
        let own = micros((least + (most - least) * self.rng.random::<f64>()) / 1000.0) << tries.min(10);
        let wait = told.filter(|_| honours).unwrap_or(own);
        self.at(self.now + wait, Happening::HandIn { arrival, first: Some(first), tries: tries + 1 });
    }

    // ---- senders -------------------------------------------------------------------------------------

    /// Has a sender step at that time, no sooner than a period after its last.
    fn wake(&mut self, sender: usize, at: Micros) {
        let node = &mut self.nodes[sender];
        let at = at.max(node.last_step + self.settings.period.0).max(self.now);
        if node.next_step.is_none_or(|set| at < set || set < self.now) {
            node.next_step = Some(at);
            self.at(at, Happening::Step(sender));
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
                let gone = self.nodes[sender].idle.remove(&endpoint.0).map_or(0, |idle| idle.len());
                let (partner, place) = self.endpoints[endpoint.0 as usize];
                (0..gone).for_each(|_| self.partners[partner].gone(place));
            }
            Action::Cancel { message, .. } => {
                let out = self.nodes[sender].held.get(&message.0).and_then(|h| h.out);
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
        let Some(holds) = self.nodes[sender].held.remove(&message) else { return };
        let known = self.judge.noticed(self.now, &holds.id, returned.is_some()).is_some();
        if let Some(after) = returned.filter(|_| known) {
            self.come_again(holds.arrival, holds.first, holds.tries, after);
        }
    }

    fn send(&mut self, sender: usize, message: u32, endpoint: u32, expires: Micros) {
        let (partner, place) = self.endpoints[endpoint as usize];
        let node = &mut self.nodes[sender];
        let Some(holds) = node.held.get_mut(&message) else { return };
        let attempt = holds.attempts;
        holds.attempts += 1;
        let call = CallAt { sender, life: node.life, message, attempt, endpoint, began: self.now };
        (holds.out, holds.admitted) = (Some(call), None);
        holds.ran.get_or_insert(Time(EPOCH + self.now));
        let kept = node.idle.get_mut(&endpoint).and_then(Vec::pop).is_some();
        if kept {
            self.at(self.now + WAY, Happening::Reaches(call));
        } else if self.partners[partner].condition(place) == Condition::Down {
            self.at(self.now + 2 * WAY, Happening::Ends(call, Outcome::ConnectFailed));
        } else {
            self.judge.connected(self.now);
            if self.partners[partner].connected(place) {
                self.at(self.now + 3 * WAY, Happening::Reaches(call));
            } else {
                self.partners[partner].gone(place);
                self.at(self.now + 4 * WAY, Happening::Ends(call, Outcome::NoRoom));
            }
        }
        self.at(expires, Happening::Expires(call));
    }

    /// Whether the attempt is still out, as far as its sender knows.
    fn is_out(&self, call: CallAt) -> bool {
        let node = &self.nodes[call.sender];
        node.life == call.life && node.held.get(&call.message).is_some_and(|h| h.out == Some(call))
    }

    fn reaches(&mut self, call: CallAt) {
        if !self.is_out(call) {
            return;
        }
        let (partner, place) = self.endpoints[call.endpoint as usize];
        let Some(holds) = self.nodes[call.sender].held.get_mut(&call.message) else { return };
        let id = holds.id.clone();
        if self.partners[partner].condition(place) == Condition::Down {
            return self.ends(call, Outcome::ConnectFailed);
        }
        match self.judge.begins(self.now, &id, partner, place) {
            Admission::Through { .. } => holds.admitted = Some(self.now),
            _ => return self.ends(call, Outcome::Void),
        }
        let work = self.plan.arrivals[holds.arrival].work;
        let (fate, fall) = self.partners[partner].arrive(self.now, place, call.sender, work);
        if fate.runs() {
            self.judge.runs(self.now, &id);
        }
        if let Some(fall) = fall {
            self.judge.fell(self.now, partner, fall.by_witnesses);
        }
        match fate {
            Fate::Refused(wait) => {
                self.at(self.now + WAY, Happening::Ends(call, Outcome::Full(wait.map(Span))));
            }
            Fate::Answered { at, ok } => {
                let outcome = if ok { Outcome::Success } else { Outcome::Failure };
                self.at(at + WAY, Happening::Ends(call, outcome));
            }
            Fate::Broken { at } => self.at(at + WAY, Happening::Ends(call, Outcome::Reset)),
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
        let (partner, place) = self.endpoints[call.endpoint as usize];
        let node = &mut self.nodes[call.sender];
        let Some(holds) = node.held.get_mut(&call.message) else { return };
        holds.out = None;
        if !outcome.may_have_executed()
            && outcome != Outcome::Success
            && holds.ran == Some(Time(EPOCH + call.began))
        {
            holds.ran = None;
        }
        let (id, admitted) = (holds.id.clone(), holds.admitted);
        let last = outcome == Outcome::Success;
        let ended = match outcome {
            Outcome::Success => Ended::Delivered,
            Outcome::Failure => Ended::Error,
            Outcome::Full(wait) => Ended::Refused(wait.map(|w| self.now + w.0)),
            _ => Ended::Cut,
        };
        if let Some(began) = admitted {
            self.judge.ends(self.now, &id, began, ended);
        }
        if outcome != Outcome::Success {
            self.partners[partner].witnessed(call.sender);
        }
        if last {
            node.held.remove(&call.message);
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
                    Happening::Closes { sender: call.sender, endpoint: call.endpoint, since: self.now };
                self.at(self.now + IDLE, closes);
            }
            Outcome::ConnectFailed | Outcome::NoRoom => {}
            _ => self.partners[partner].gone(place),
        }
        self.wake(call.sender, self.now);
    }

    fn closes(&mut self, sender: usize, endpoint: u32, since: Micros) {
        let Some(idle) = self.nodes[sender].idle.get_mut(&endpoint) else { return };
        if let Some(place) = idle.iter().position(|at| *at == since) {
            idle.remove(place);
            let (partner, place) = self.endpoints[endpoint as usize];
            self.partners[partner].gone(place);
        }
    }

    // ---- troubles ------------------------------------------------------------------------------------

    fn trouble(&mut self, number: usize, begins: bool) {
        let (trouble, met) = self.plan.troubles[number].clone();
        let word = if begins { "begins" } else { "ends" };
        self.judge.event(self.now, format!("{:?} {word}: {} met", trouble.kind, met.len()));
        let gap = micros(trouble.for_s / met.len() as f64);
        for (place, who) in met.into_iter().enumerate() {
            match trouble.kind {
                TroubleKind::Kill if begins => self.kill(who),
                TroubleKind::Kill => self.at(self.now + START, Happening::Ready(who)),
                // One after the other, each down for as long as a start takes.
                TroubleKind::Restart if begins => {
                    let at = self.now + place as u64 * gap;
                    self.at(at, Happening::Dies(who));
                    self.at(at + START, Happening::Ready(who));
                }
                TroubleKind::Restart => {}
                TroubleKind::Directory => {}
                TroubleKind::Drain => self.drain(who, !begins),
                _ => self.afflict(who, &trouble, begins),
            }
        }
    }

    fn afflict(&mut self, partner: usize, trouble: &Trouble, begins: bool) {
        self.partners[partner].afflict(self.now, trouble, begins);
        if self.partners[partner].condition(0) == Condition::Down {
            // Idle connections are reset with it.
            for (number, (of, place)) in
                self.endpoints.iter().enumerate().filter(|(_, (of, _))| *of == partner)
            {
                for node in &mut self.nodes {
                    let gone = node.idle.remove(&(number as u32)).map_or(0, |idle| idle.len());
                    (0..gone).for_each(|_| self.partners[*of].gone(*place));
                }
            }
        }
    }

    fn drain(&mut self, partner: usize, serves: bool) {
        let Some(last) = self.endpoints.iter().rposition(|(of, _)| *of == partner) else { return };
        for sender in 0..self.nodes.len() {
            let [least, most] = LIST_DELAY_S;
            let late = micros(least + (most - least) * self.rng.random::<f64>());
            self.at(self.now + late, Happening::Told { sender, endpoint: last as u32, serves });
        }
    }

    fn told(&mut self, sender: usize, endpoint: u32, serves: bool) {
        if self.nodes[sender].down {
            return;
        }
        let (partner, place) = self.endpoints[endpoint as usize];
        self.judge.told(self.now, sender, partner, place, serves);
        let listing = if serves { Listing::Active } else { Listing::Draining };
        let change = entry(&self.plan, endpoint as usize, partner, listing);
        self.nodes[sender].pending.push(Event::ListChanges(vec![change]));
        self.wake(sender, self.now);
    }

    fn kill(&mut self, sender: usize) {
        let [least, most] = self.scenario.clients.notice_s;
        let noticed = self.now + micros(least + (most - least) * self.rng.random::<f64>());
        self.judge.sender_down(self.now, sender);
        let (outs, idle) = {
            let node = &mut self.nodes[sender];
            (node.down, node.shunned_from) = (true, noticed);
            node.life += 1;
            node.pending.clear();
            node.next_step = None;
            let outs: Vec<_> = node
                .held
                .values_mut()
                .filter_map(|h| Some((h.out.take()?, h.id.clone(), h.admitted)))
                .collect();
            (outs, std::mem::take(&mut node.idle))
        };
        for (call, id, admitted) in outs {
            if let Some(began) = admitted {
                self.judge.ends(self.now, &id, began, Ended::Cut);
            }
            let (partner, place) = self.endpoints[call.endpoint as usize];
            self.partners[partner].gone(place);
        }
        for (endpoint, idle) in idle {
            let (partner, place) = self.endpoints[endpoint as usize];
            idle.iter().for_each(|_| self.partners[partner].gone(place));
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
        for (number, holds) in &node.held {
            let plan = &self.plan.arrivals[holds.arrival];
            let message = Message {
                id: MessageId(*number),
                class: self.classes[plan.class],
                tenant: None,
                key: None,
                destination: DestinationId(plan.partner as u64),
                budget: Span(holds.due.saturating_sub(self.now)),
            };
            let ran = holds.ran.map(|at| (at, ZoneId(0)));
            let resumed = Resumed { message, attempts: holds.attempts, ran, ended: false };
            node.pending.push(Event::Resumed(resumed));
        }
        self.judge.sender_ready(self.now, sender);
        self.wake(sender, self.now);
    }
}

#[cfg(test)]
mod tests;
