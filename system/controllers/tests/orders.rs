//! Operators' orders over the register: several under one number or one base, each at one machine or at several, sent again
//! at any time. What is checked is what operators were told and what was read, nothing within.
//!
//! A copy of an order is one call at one machine. Its runs begin at any time and are given up at any time, also between their
//! rounds; each Accept arrives at any later time or never, and its answer may be lost. So a restart, a cut and a loss of all
//! power are among the schedules: voters keep what they have synced, and what was under way is never heard of again.

use bytes::Bytes;
use config_register::{
    Acceptor, BallotSource, Change, Outbox, OutgoingRequest, Proposer, ProposerStep, founding_record,
};
use controllers::{ConfigVerdict, put_config};
use fleet_model::{
    AcceptedValue, Ballot, CommittedVersion, ControlState, RegisterReply, RegisterRequest, RegisterValue,
};
use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use stateright::{Checker, Model, Property};
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
struct Order {
    expected: u64,
    version: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Task {
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
enum Told {
    Confirmed(usize),
    Refused(usize),
    /// These orders had been taken, oldest first.
    InForce(Vec<usize>),
}

type Judged = (Option<ControlState>, ConfigVerdict);
type Judge = fn(&ControlState, u64, &CommittedVersion, &Bytes) -> Judged;

/// How an order's call is judged and answered: as it should be, or broken on purpose.
#[derive(Clone, Copy)]
struct Rules {
    judge: Judge,
    /// Broken: the verdict is told as soon as it is known, not when its run has ended.
    tells_at_once: bool,
}

const SOUND: Rules = Rules { judge: put_config, tells_at_once: false };

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Run {
    proposal: Proposer,
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
struct Late {
    call: usize,
    to: usize,
    ballot: Ballot,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    acceptors: Vec<Acceptor>,
    calls: Vec<Call>,
    late: Vec<(Late, AcceptedValue)>,
    told: BTreeSet<Told>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
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

struct Schedules {
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

    fn start(&self) -> Fleet {
        let acceptor = Acceptor::new(founding_record(founding().voters));
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

    fn events(&self, fleet: &Fleet) -> Vec<Event> {
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

    fn after(&self, fleet: &Fleet, event: &Event) -> Fleet {
        let mut fleet = fleet.clone();
        match event {
            Event::Begin(number) => fleet.begin(*number),
            Event::Read { call, reach } => {
                let Some(run) = &mut fleet.calls[*call].run else { return fleet };
                run.is_reading = false;
                let ballot = run.proposal.ballot();
                let reached = (0..MACHINES.len()).filter(|machine| reach >> machine & 1 == 1);
                let prepares = reached.map(|to| OutgoingRequest {
                    to: MACHINES[to],
                    request: RegisterRequest::Prepare(ballot),
                });
                self.carry(&mut fleet, *call, prepares.collect());
            }
            Event::Accept { late, answer_is_lost } => {
                let at = fleet.late.iter().position(|(other, _)| other == late).unwrap();
                let (late, value) = fleet.late.remove(at);
                let is_awaited = fleet.awaits(&late);
                let reply = fleet.acceptors[late.to].handle(&RegisterRequest::Accept(value)).reply;
                if is_awaited && !answer_is_lost {
                    self.on_reply(&mut fleet, late.call, MACHINES[late.to], &reply);
                }
            }
        }
        fleet.tidy();
        fleet
    }

    fn carry(&self, fleet: &mut Fleet, call: usize, mut requests: Outbox) {
        while !requests.is_empty() && fleet.calls[call].run.is_some() {
            let OutgoingRequest { to, request } = requests.remove(0);
            match request {
                RegisterRequest::Accept(value) => {
                    let late = Late { call, to: place(to), ballot: value.ballot };
                    fleet.late.push((late, value));
                }
                prepare => {
                    let reply = fleet.acceptors[place(to)].handle(&prepare).reply;
                    requests.extend(self.on_reply(fleet, call, to, &reply));
                }
            }
        }
    }

    /// Takes a reply to a call's run; what it sends next.
    fn on_reply(&self, fleet: &mut Fleet, number: usize, from: Ipv4Addr, reply: &RegisterReply) -> Outbox {
        let call = &mut fleet.calls[number];
        let Some(run) = &mut call.run else { return vec![] };
        let (judged, wanted) = (&mut run.judged, &mut run.wanted);
        let mut change = |read: &RegisterValue| self.change(&call.task, read, (&mut *judged, &mut *wanted));
        let step = run.proposal.on_reply(from, reply, &mut change);
        let told = run.judged.filter(|_| self.rules.tells_at_once);
        let outbox = match step {
            ProposerStep::Wait => vec![],
            ProposerStep::Send(outbox) => outbox,
            ProposerStep::Done(value) => {
                let run = call.run.take().unwrap();
                fleet.told.insert(Told::InForce(taken(&value.value)));
                if run.wanted.is_none_or(|wanted| wanted == value.value.payload) {
                    fleet.tell(number, run.judged);
                }
                vec![]
            }
            ProposerStep::Lost { seen } => {
                call.ballots.observe(seen);
                call.run = None;
                vec![]
            }
            ProposerStep::Failed => {
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
        call.ballots.observe(promised.unwrap_or_default());
        let ballot = call.ballots.next_ballot();
        let proposal = Proposer::start(ballot, &founding());
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
fn fault(orders: &[Order], told: &BTreeSet<Told>) -> Option<String> {
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

fn order(expected: u64, version: u64) -> Order {
    Order { expected, version }
}

fn schedules(orders: &[Order], tasks: &[(Task, u8)], rules: Rules) -> Schedules {
    Schedules { orders: orders.to_vec(), tasks: tasks.to_vec(), rules }
}

/// Goes through all schedules; how many states there are.
fn check(orders: &[Order], tasks: &[(Task, u8)]) -> usize {
    let checker = schedules(orders, tasks, SOUND).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    checker.unique_state_count()
}

/// Whether some schedule breaks what was told.
fn breaks(orders: &[Order], tasks: &[(Task, u8)], rules: Rules) -> bool {
    let checker = schedules(orders, tasks, rules).checker().threads(2).spawn_bfs().join();
    let found = checker.discovery("what was told holds");
    if let Some(path) = &found {
        let last = path.last_state();
        println!("{:?} after {} steps", fault(orders, &last.told), path.clone().into_actions().len());
    }
    found.is_some()
}

#[gtest]
fn two_orders_under_one_number_and_one_sent_elsewhere_too_in_all_schedules() {
    let tasks = [(Task::Order(0), 1), (Task::Order(0), 1), (Task::Order(1), 1)];
    expect_that!(check(&[order(0, 6), order(0, 6)], &tasks), gt(10_000));
}

#[gtest]
fn two_orders_on_one_base_of_which_one_is_tried_again_in_all_schedules() {
    let tasks = [(Task::Order(0), 2), (Task::Order(1), 1)];
    expect_that!(check(&[order(0, 6), order(0, 7)], &tasks), gt(1_000));
}

#[gtest]
fn an_order_that_goes_by_a_version_still_to_come_in_all_schedules() {
    let tasks = [(Task::Order(0), 1), (Task::Order(1), 1), (Task::Order(1), 1)];
    expect_that!(check(&[order(0, 1), order(1, 2)], &tasks), gt(10_000));
}

#[gtest]
fn an_order_sent_again_after_a_later_one_in_all_schedules() {
    let tasks = [(Task::Order(0), 1), (Task::Order(1), 1), (Task::Order(0), 1)];
    expect_that!(check(&[order(0, 1), order(1, 2)], &tasks), gt(10_000));
}

/// Broken: only the version in force is known as taken.
fn knows_the_last_alone(
    state: &ControlState,
    expected: u64,
    sent: &CommittedVersion,
    body: &Bytes,
) -> Judged {
    match put_config(state, expected, sent, body) {
        (None, ConfigVerdict::Committed) if state.committed.last() != Some(sent) => {
            (None, ConfigVerdict::VersionMismatch(state.version()))
        }
        judged => judged,
    }
}

/// Broken: no refusal is kept.
fn keeps_no_refusal(state: &ControlState, expected: u64, sent: &CommittedVersion, body: &Bytes) -> Judged {
    match put_config(state, expected, sent, body) {
        (_, verdict @ ConfigVerdict::VersionMismatch(_)) => (None, verdict),
        judged => judged,
    }
}

/// Broken: an order is taken on top of whatever is in force.
fn asks_for_no_base(state: &ControlState, _: u64, sent: &CommittedVersion, body: &Bytes) -> Judged {
    put_config(state, state.version(), sent, body)
}

#[gtest]
fn the_checker_finds_orders_judged_wrongly() {
    let rules = |judge| Rules { judge, ..SOUND };

    let again = [(Task::Order(0), 1), (Task::Order(1), 1), (Task::Order(0), 1)];
    let on_each_other = [order(0, 1), order(1, 2)];
    expect_that!(breaks(&on_each_other, &again, rules(knows_the_last_alone)), eq(true));

    let early = [(Task::Order(0), 1), (Task::Order(1), 1), (Task::Order(1), 1)];
    expect_that!(breaks(&on_each_other, &early, rules(keeps_no_refusal)), eq(true));

    let two = [(Task::Order(0), 1), (Task::Order(1), 1)];
    expect_that!(breaks(&[order(0, 1), order(0, 2)], &two, rules(asks_for_no_base)), eq(true));
}

#[gtest]
fn the_checker_finds_a_refusal_that_is_told_before_its_run_has_ended() {
    let tasks = [(Task::Order(0), 1), (Task::Order(1), 1), (Task::Order(0), 1)];
    let orders = [order(0, 6), order(0, 6)];
    expect_that!(breaks(&orders, &tasks, Rules { tells_at_once: true, ..SOUND }), eq(true));
}

#[derive(Default, Debug)]
struct Counts {
    confirmed: usize,
    refused: usize,
    unanswered: usize,
}

/// Eight orders, each at two machines or three, while a voter comes and another goes.
fn random_schedule(seed: u64, rules: Rules, counts: &mut Counts) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut below = |bound: usize| rng.next_u32() as usize % bound;
    let drawn = (0..8).map(|_| {
        let expected = below(4) as u64;
        order(expected, expected + below(3) as u64)
    });
    let orders: Vec<Order> = drawn.collect();
    let mut tasks: Vec<_> = (0..20).map(|number| (Task::Order(number % 8), 4)).collect();
    tasks.extend([(Task::AddVoter, 3), (Task::RemoveVoter, 3), (Task::Read, 4), (Task::Read, 4)]);
    let schedules = schedules(&orders, &tasks, rules);
    let mut fleet = schedules.start();
    for _ in 0..600 {
        let events = schedules.events(&fleet);
        // Most of what is under way goes on: runs that all give way to each other would tell little.
        let going: Vec<_> = events.iter().filter(|event| !matches!(event, Event::Begin(_))).collect();
        let event = match below(12) {
            0 if !events.is_empty() => &events[below(events.len())],
            _ if !going.is_empty() => going[below(going.len())],
            _ if !events.is_empty() => &events[below(events.len())],
            _ => break,
        };
        fleet = schedules.after(&fleet, event);
    }
    for number in 0..orders.len() {
        match (fleet.told.contains(&Told::Confirmed(number)), fleet.told.contains(&Told::Refused(number))) {
            (true, _) => counts.confirmed += 1,
            (_, true) => counts.refused += 1,
            _ => counts.unanswered += 1,
        }
    }
    fault(&orders, &fleet.told)
}

#[gtest]
fn eight_orders_at_once_in_random_schedules_with_voters_replaced() {
    let mut counts = Counts::default();
    for seed in 0..2_000 {
        assert_that!(random_schedule(seed, SOUND, &mut counts), none(), "seed {seed}");
    }
    println!("{counts:?}");
    expect_that!(counts.confirmed, gt(1_000));
    expect_that!(counts.refused, gt(1_000));
}

#[gtest]
fn random_schedules_find_what_is_broken_too() {
    let found = |rules: Rules| {
        let mut counts = Counts::default();
        (0..500).filter(|seed| random_schedule(*seed, rules, &mut counts).is_some()).count()
    };
    for (what, rules) in [
        ("the last version alone is known", Rules { judge: knows_the_last_alone, ..SOUND }),
        ("no refusal is kept", Rules { judge: keeps_no_refusal, ..SOUND }),
        ("no base is asked for", Rules { judge: asks_for_no_base, ..SOUND }),
        ("verdicts are told at once", Rules { tells_at_once: true, ..SOUND }),
    ] {
        let found = found(rules);
        println!("{what}: found in {found} of 500 schedules");
        expect_that!(found, gt(0), "{what}");
    }
}

#[gtest]
fn what_was_taken_or_refused_stays_so_over_thousands_of_changes() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let body = Bytes::from_static(b"{}");
    let mut state = ControlState::default();
    let (mut taken, mut refused) = (vec![], BTreeSet::new());
    let (mut unclear, mut forgotten) = (0, 0);
    for _ in 0..3_000 {
        // Given one order after the other, some on a wrong base, which may be above the right one.
        let base = match rng.next_u32() % 4 {
            0 => state.version() + u64::from(rng.next_u32() % 20),
            1 => state.version().saturating_sub(u64::from(rng.next_u32() % 20)),
            _ => state.version(),
        };
        let order = CommittedVersion {
            version: base + u64::from(rng.next_u32() % 4),
            digest: std::array::from_fn(|_| rng.next_u32() as u8),
        };
        let (next, verdict) = put_config(&state, base, &order, &body);
        state = next.unwrap_or(state);
        match verdict {
            ConfigVerdict::Committed => taken.push((base, order)),
            ConfigVerdict::VersionMismatch(_) | ConfigVerdict::NotNewer => {
                refused.insert((base, order.version, order.digest));
            }
            ConfigVerdict::Indeterminate => unclear += 1,
        }
        // When any earlier one is sent again, then it is answered as before, or not clearly.
        for _ in 0..4 {
            let (base, order) = &taken[rng.next_u32() as usize % taken.len().max(1)];
            let (next, verdict) = put_config(&state, *base, order, &body);
            expect_that!(next, none());
            expect_that!([ConfigVerdict::Committed, ConfigVerdict::Indeterminate], contains(eq(verdict)));
            forgotten += usize::from(verdict == ConfigVerdict::Indeterminate);
        }
        for (base, version, digest) in
            refused.iter().skip(rng.next_u32() as usize % refused.len().max(1)).take(4)
        {
            let order = CommittedVersion { version: *version, digest: *digest };
            expect_that!(put_config(&state, *base, &order, &body).1, not(eq(ConfigVerdict::Committed)));
        }
    }
    expect_that!(taken.len(), gt(1_000));
    expect_that!(refused.len(), gt(500));
    // What a value carries of all this stays small.
    let bare = ControlState { config: state.config.clone(), ..ControlState::default() };
    let carried = state.to_payload().unwrap().len() - bare.to_payload().unwrap().len();
    println!(
        "{} taken, {} refused, {unclear} unclear, {forgotten} forgotten when sent again; a value carries {carried} bytes",
        taken.len(),
        refused.len()
    );
    expect_that!(forgotten, gt(100));
    expect_that!(carried, lt(20_000));
}
