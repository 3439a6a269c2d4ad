//! Model of operators' requests over the register, for the model checker and for random schedules.

use bytes::Bytes;
use config_register::{Acceptor, BallotSource, Change, Proposal, Step, found};
use controllers::{ConfigVerdict, put_config};
use fleet_model::{
    AcceptedValue, Ballot, CommittedVersion, ControlState, RegisterReply, RegisterRequest, RegisterValue,
};
use stateright::{Model, Property};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

const MACHINES: [Ipv4Addr; 4] = [
    Ipv4Addr::new(10, 0, 0, 1),
    Ipv4Addr::new(10, 0, 0, 2),
    Ipv4Addr::new(10, 0, 0, 3),
    Ipv4Addr::new(10, 0, 0, 4),
];
/// The voters at the start; the fourth machine may be made one.
const FOUNDERS: usize = 3;

/// A configuration's number and the version that it goes by. Each order has bytes of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Order {
    pub(crate) expected: u64,
    pub(crate) version: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Task {
    /// The order of that number among the schedule's.
    Order(usize),
    Read,
    /// The fourth machine becomes a voter.
    AddVoter,
    /// The first machine is a voter no longer.
    RemoveVoter,
}

/// What was told by a copy that came to an end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Told {
    Confirmed(usize),
    Refused(usize),
    /// These orders had been taken, oldest first.
    InForce(Vec<usize>),
}

pub(crate) type Judged = (Option<ControlState>, ConfigVerdict);
pub(crate) type Judge = fn(&ControlState, u64, &CommittedVersion, &Bytes) -> Judged;

/// How an order's call is judged and answered: as it should be, or broken on purpose.
#[derive(Clone, Copy)]
pub(crate) struct Rules {
    pub(crate) judge: Judge,
    /// Broken: the verdict is told as soon as it is known, not when its run has ended.
    pub(crate) tells_at_once: bool,
}

pub(crate) const SOUND: Rules = Rules { judge: put_config, tells_at_once: false };

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Run {
    proposal: Proposal,
    is_reading: bool,
    judged: Option<ConfigVerdict>,
    wanted: Option<Bytes>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    task: Task,
    tries: u8,
    ballots: BallotSource,
    run: Option<Run>,
}

/// An Accept that is under way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Late {
    call: usize,
    to: usize,
    ballot: Ballot,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Fleet {
    acceptors: Vec<Acceptor>,
    calls: Vec<Call>,
    late: Vec<(Late, AcceptedValue)>,
    pub(crate) told: BTreeSet<Told>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// A call begins a run, and gives up the one that it has.
    Begin(usize),
    /// Its Prepare reaches these machines, by bits.
    Read {
        call: usize,
        reach: u8,
    },
    Accept {
        late: Late,
        answer_is_lost: bool,
    },
}

pub(crate) struct Schedules {
    orders: Vec<Order>,
    /// Each with how often it tries.
    tasks: Vec<(Task, u8)>,
    rules: Rules,
}

fn founding() -> RegisterValue {
    RegisterValue { epoch: 0, voters: MACHINES[..FOUNDERS].to_vec(), payload: Bytes::new() }
}

fn place(ip: Ipv4Addr) -> usize {
    MACHINES.iter().position(|other| *other == ip).unwrap()
}

fn sent(order: usize, version: u64) -> CommittedVersion {
    CommittedVersion { version, digest: [order as u8; 32] }
}

/// The orders that a value has taken, by their bytes.
fn taken(value: &RegisterValue) -> Vec<usize> {
    let state = ControlState::from_payload(&value.payload).unwrap();
    state.committed.iter().map(|taken| usize::from(taken.digest[0])).collect()
}

impl Schedules {
    fn change(
        &self,
        task: &Task,
        read: &RegisterValue,
        run: (&mut Option<ConfigVerdict>, &mut Option<Bytes>),
    ) -> Change {
        match task {
            Task::Read => Change::Keep,
            Task::AddVoter if read.voters.contains(&MACHINES[FOUNDERS]) => Change::Keep,
            Task::AddVoter => Change::Voters([&read.voters[..], &MACHINES[FOUNDERS..]].concat()),
            Task::RemoveVoter => {
                Change::Voters(read.voters.iter().copied().filter(|ip| *ip != MACHINES[0]).collect())
            }
            Task::Order(number) => {
                let Order { expected, version } = self.orders[*number];
                let state = ControlState::from_payload(&read.payload).unwrap();
                let body = Bytes::from(vec![*number as u8]);
                let (wanted, verdict) = (self.rules.judge)(&state, expected, &sent(*number, version), &body);
                *run.0 = Some(verdict);
                *run.1 = wanted.map(|state| state.to_payload().unwrap());
                run.1.clone().map_or(Change::Keep, Change::Set)
            }
        }
    }

    pub(crate) fn start(&self) -> Fleet {
        let acceptor = Acceptor::new(found(founding().voters));
        let calls = self.tasks.iter().enumerate().map(|(number, (task, tries))| Call {
            task: task.clone(),
            tries: *tries,
            ballots: BallotSource::new(Ipv4Addr::new(10, 0, 1, number as u8), 1),
            run: None,
        });
        Fleet {
            acceptors: vec![acceptor; MACHINES.len()],
            calls: calls.collect(),
            late: vec![],
            told: BTreeSet::new(),
        }
    }

    pub(crate) fn events(&self, fleet: &Fleet) -> Vec<Event> {
        let mut events = vec![];
        let grows = self.tasks.iter().any(|(task, _)| *task == Task::AddVoter);
        let reaches: &[u8] =
            if grows { &[0b0011, 0b0101, 0b0110, 0b1011, 0b1101, 0b1110] } else { &[0b011, 0b101, 0b110] };
        for (number, call) in fleet.calls.iter().enumerate() {
            if call.tries > 0 {
                events.push(Event::Begin(number));
            }
            if call.run.as_ref().is_some_and(|run| run.is_reading) {
                events.extend(reaches.iter().map(|reach| Event::Read { call: number, reach: *reach }));
            }
        }
        for (late, _) in &fleet.late {
            events.push(Event::Accept { late: late.clone(), answer_is_lost: false });
            if fleet.awaits(late) {
                events.push(Event::Accept { late: late.clone(), answer_is_lost: true });
            }
        }
        events
    }

    pub(crate) fn after(&self, fleet: &Fleet, event: &Event) -> Fleet {
        let mut fleet = fleet.clone();
        match event {
            Event::Begin(number) => fleet.begin(*number),
            Event::Read { call, reach } => {
                let Some(run) = &mut fleet.calls[*call].run else { return fleet };
                run.is_reading = false;
                let ballot = run.proposal.ballot();
                let reached = (0..MACHINES.len()).filter(|machine| reach >> machine & 1 == 1);
                let prepares = reached.map(|to| (MACHINES[to], RegisterRequest::Prepare(ballot)));
                self.carry(&mut fleet, *call, prepares.collect());
            }
            Event::Accept { late, answer_is_lost } => {
                let at = fleet.late.iter().position(|(other, _)| other == late).unwrap();
                let (late, value) = fleet.late.remove(at);
                let is_awaited = fleet.awaits(&late);
                let (reply, _) = fleet.acceptors[late.to].handle(&RegisterRequest::Accept(value));
                if is_awaited && !answer_is_lost {
                    self.on_reply(&mut fleet, late.call, MACHINES[late.to], &reply);
                }
            }
        }
        fleet.tidy();
        fleet
    }

    fn carry(&self, fleet: &mut Fleet, call: usize, mut requests: Vec<(Ipv4Addr, RegisterRequest)>) {
        while !requests.is_empty() && fleet.calls[call].run.is_some() {
            let (to, request) = requests.remove(0);
            match request {
                RegisterRequest::Accept(value) => {
                    let late = Late { call, to: place(to), ballot: value.ballot };
                    fleet.late.push((late, value));
                }
                prepare => {
                    let (reply, _) = fleet.acceptors[place(to)].handle(&prepare);
                    requests.extend(self.on_reply(fleet, call, to, &reply));
                }
            }
        }
    }

    /// Takes a reply to a call's run; what it sends next.
    fn on_reply(
        &self,
        fleet: &mut Fleet,
        number: usize,
        from: Ipv4Addr,
        reply: &RegisterReply,
    ) -> Vec<(Ipv4Addr, RegisterRequest)> {
        let call = &mut fleet.calls[number];
        let Some(run) = &mut call.run else { return vec![] };
        let (judged, wanted) = (&mut run.judged, &mut run.wanted);
        let mut change = |read: &RegisterValue| self.change(&call.task, read, (&mut *judged, &mut *wanted));
        let step = run.proposal.on_reply(from, reply, &mut change);
        let told = run.judged.filter(|_| self.rules.tells_at_once);
        let outbox = match step {
            Step::Wait => vec![],
            Step::Send(outbox) => outbox,
            Step::Done(value) => {
                let run = call.run.take().unwrap();
                fleet.told.insert(Told::InForce(taken(&value.value)));
                if run.wanted.is_none_or(|wanted| wanted == value.value.payload) {
                    fleet.tell(number, run.judged);
                }
                vec![]
            }
            Step::Lost { seen } => {
                call.ballots.saw(seen);
                call.run = None;
                vec![]
            }
            Step::Failed => {
                call.run = None;
                vec![]
            }
        };
        fleet.tell(number, told);
        outbox
    }
}

impl Fleet {
    fn begin(&mut self, number: usize) {
        let promised = self.acceptors.iter().filter_map(|acceptor| Some(acceptor.record()?.promised)).max();
        let call = &mut self.calls[number];
        call.tries -= 1;
        call.ballots.saw(promised.unwrap_or_default());
        let ballot = call.ballots.next_ballot();
        let proposal = Proposal::start(Ipv4Addr::from(ballot.proposer), ballot, &founding());
        call.run = Some(Run { proposal, is_reading: true, judged: None, wanted: None });
    }

    /// An answer may be lost or late: what would be told counts as told.
    fn tell(&mut self, number: usize, verdict: Option<ConfigVerdict>) {
        let Task::Order(order) = self.calls[number].task else { return };
        match verdict {
            Some(ConfigVerdict::Committed) => self.told.insert(Told::Confirmed(order)),
            Some(ConfigVerdict::VersionMismatch(_) | ConfigVerdict::NotNewer) => {
                self.told.insert(Told::Refused(order))
            }
            Some(ConfigVerdict::Indeterminate) | None => return,
        };
        self.calls[number].tries = 0;
    }

    fn awaits(&self, late: &Late) -> bool {
        self.calls[late.call].run.as_ref().is_some_and(|run| run.proposal.ballot() == late.ballot)
    }

    /// Drops what would be refused or accepted again, and orders the rest, so that equal states are found equal.
    fn tidy(&mut self) {
        let promised = |to: usize| self.acceptors[to].record().map(|record| record.promised);
        self.late.retain(|(late, _)| promised(late.to) <= Some(late.ballot));
        self.late.sort_by(|one, other| one.0.cmp(&other.0));
    }
}

/// What is wrong with what was told, if anything is.
pub(crate) fn fault(orders: &[Order], told: &BTreeSet<Told>) -> Option<String> {
    let in_force: Vec<_> = told
        .iter()
        .filter_map(|told| if let Told::InForce(taken) = told { Some(taken) } else { None })
        .collect();
    let is_chain = |one: &[usize], other: &[usize]| one.starts_with(other) || other.starts_with(one);
    if !in_force.iter().all(|one| in_force.iter().all(|other| is_chain(one, other))) {
        return Some(format!("no chain: {in_force:?}"));
    }
    for number in 0..orders.len() {
        let was_taken =
            told.contains(&Told::Confirmed(number)) || in_force.iter().any(|taken| taken.contains(&number));
        if was_taken && told.contains(&Told::Refused(number)) {
            return Some(format!("order {number} was refused and is in force"));
        }
    }
    let confirmed: Vec<_> =
        (0..orders.len()).filter(|number| told.contains(&Told::Confirmed(*number))).collect();
    for key in [|order: Order| order.version, |order: Order| order.expected] {
        let keys = BTreeSet::from_iter(confirmed.iter().map(|number| key(orders[*number])));
        if keys.len() < confirmed.len() {
            return Some(format!("two are confirmed under one number or on one base: {confirmed:?}"));
        }
    }
    None
}

impl Model for Schedules {
    type State = Fleet;
    type Action = Event;

    fn init_states(&self) -> Vec<Fleet> {
        vec![self.start()]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<Event>) {
        actions.extend(self.events(fleet));
    }

    fn next_state(&self, fleet: &Fleet, event: Event) -> Option<Fleet> {
        Some(self.after(fleet, &event))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("what was told holds", |model: &Self, fleet: &Fleet| {
                fault(&model.orders, &fleet.told).is_none()
            }),
            Property::sometimes("an order is confirmed", |_, fleet: &Fleet| {
                fleet.told.iter().any(|told| matches!(told, Told::Confirmed(_)))
            }),
            Property::sometimes("an order is refused", |_, fleet: &Fleet| {
                fleet.told.iter().any(|told| matches!(told, Told::Refused(_)))
            }),
        ]
    }
}

pub(crate) fn order(expected: u64, version: u64) -> Order {
    Order { expected, version }
}

pub(crate) fn schedules(orders: &[Order], tasks: &[(Task, u8)], rules: Rules) -> Schedules {
    Schedules { orders: orders.to_vec(), tasks: tasks.to_vec(), rules }
}
