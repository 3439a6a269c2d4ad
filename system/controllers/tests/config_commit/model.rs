//! Model of operators' requests over the register, for the model checker and for random schedules.

use bytes::Bytes;
use config_register::{
    Acceptor, BallotSource, Change, Outbox, OutgoingRequest, Proposer, ProposerStep, founding_record,
};
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
const INITIAL_VOTERS: usize = 3;

/// An operator's request: the version of a configuration and the version that it expects to be current. Each request has
/// bytes of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Request {
    pub(crate) expected: u64,
    pub(crate) version: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Task {
    /// The request with this index among the schedule's.
    Request(usize),
    Read,
    /// The fourth machine becomes a voter.
    AddVoter,
    /// The first machine is removed from the voters.
    RemoveVoter,
}

/// What a completed call reported.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Report {
    Confirmed(usize),
    Rejected(usize),
    /// The value that was read had committed these requests, oldest first.
    Committed(Vec<usize>),
}

pub(crate) type Judgement = (Option<ControlState>, ConfigVerdict);
pub(crate) type JudgeFn = fn(&ControlState, u64, &CommittedVersion, &Bytes) -> Judgement;

/// How a request is judged and answered: correctly, or with a deliberate fault.
#[derive(Clone, Copy)]
pub(crate) struct Rules {
    pub(crate) judge: JudgeFn,
    /// Faulty: the verdict is reported as soon as it is known, before its proposal has completed.
    pub(crate) reports_early: bool,
}

pub(crate) const CORRECT: Rules = Rules { judge: put_config, reports_early: false };

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Run {
    proposal: Proposer,
    is_reading: bool,
    verdict: Option<ConfigVerdict>,
    wanted: Option<Bytes>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    task: Task,
    attempts: u8,
    ballots: BallotSource,
    run: Option<Run>,
}

/// An Accept request in flight.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct InFlight {
    call: usize,
    to: usize,
    ballot: Ballot,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ModelState {
    acceptors: Vec<Acceptor>,
    calls: Vec<Call>,
    in_flight: Vec<(InFlight, AcceptedValue)>,
    pub(crate) reports: BTreeSet<Report>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// A call starts a proposal, and abandons the one that it has.
    Begin(usize),
    /// Its Prepare reaches these machines, as a bit mask.
    Read {
        call: usize,
        reach: u8,
    },
    Accept {
        in_flight: InFlight,
        answer_is_lost: bool,
    },
}

pub(crate) struct Schedules {
    requests: Vec<Request>,
    /// Each with its number of attempts.
    tasks: Vec<(Task, u8)>,
    rules: Rules,
}

fn initial_value() -> RegisterValue {
    RegisterValue { epoch: 0, voters: MACHINES[..INITIAL_VOTERS].to_vec(), payload: Bytes::new() }
}

fn machine_index(ip: Ipv4Addr) -> usize {
    MACHINES.iter().position(|other| *other == ip).unwrap()
}

fn sent(request: usize, version: u64) -> CommittedVersion {
    CommittedVersion { version, digest: [request as u8; 32] }
}

/// The requests that a value has committed, by their digests.
fn committed_requests(value: &RegisterValue) -> Vec<usize> {
    let state = ControlState::from_payload(&value.payload).unwrap();
    state.committed.iter().map(|version| usize::from(version.digest[0])).collect()
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
            Task::AddVoter if read.voters.contains(&MACHINES[INITIAL_VOTERS]) => Change::Keep,
            Task::AddVoter => Change::Voters([&read.voters[..], &MACHINES[INITIAL_VOTERS..]].concat()),
            Task::RemoveVoter => {
                Change::Voters(read.voters.iter().copied().filter(|ip| *ip != MACHINES[0]).collect())
            }
            Task::Request(number) => {
                let Request { expected, version } = self.requests[*number];
                let state = ControlState::from_payload(&read.payload).unwrap();
                let body = Bytes::from(vec![*number as u8]);
                let (wanted, verdict) = (self.rules.judge)(&state, expected, &sent(*number, version), &body);
                *run.0 = Some(verdict);
                *run.1 = wanted.map(|state| state.to_payload().unwrap());
                run.1.clone().map_or(Change::Keep, Change::Set)
            }
        }
    }

    pub(crate) fn start(&self) -> ModelState {
        let acceptor = Acceptor::new(founding_record(initial_value().voters));
        let calls = self.tasks.iter().enumerate().map(|(number, (task, attempts))| Call {
            task: task.clone(),
            attempts: *attempts,
            ballots: BallotSource::new(Ipv4Addr::new(10, 0, 1, number as u8), 1),
            run: None,
        });
        ModelState {
            acceptors: vec![acceptor; MACHINES.len()],
            calls: calls.collect(),
            in_flight: vec![],
            reports: BTreeSet::new(),
        }
    }

    pub(crate) fn events(&self, state: &ModelState) -> Vec<Event> {
        let mut events = vec![];
        let grows = self.tasks.iter().any(|(task, _)| *task == Task::AddVoter);
        let reaches: &[u8] =
            if grows { &[0b0011, 0b0101, 0b0110, 0b1011, 0b1101, 0b1110] } else { &[0b011, 0b101, 0b110] };
        for (number, call) in state.calls.iter().enumerate() {
            if call.attempts > 0 {
                events.push(Event::Begin(number));
            }
            if call.run.as_ref().is_some_and(|run| run.is_reading) {
                events.extend(reaches.iter().map(|reach| Event::Read { call: number, reach: *reach }));
            }
        }
        for (in_flight, _) in &state.in_flight {
            events.push(Event::Accept { in_flight: in_flight.clone(), answer_is_lost: false });
            if state.is_awaited(in_flight) {
                events.push(Event::Accept { in_flight: in_flight.clone(), answer_is_lost: true });
            }
        }
        events
    }

    pub(crate) fn after(&self, state: &ModelState, event: &Event) -> ModelState {
        let mut state = state.clone();
        match event {
            Event::Begin(number) => state.begin(*number),
            Event::Read { call, reach } => {
                let Some(run) = &mut state.calls[*call].run else { return state };
                run.is_reading = false;
                let ballot = run.proposal.ballot();
                let reached = (0..MACHINES.len()).filter(|machine| reach >> machine & 1 == 1);
                let prepares = reached.map(|to| OutgoingRequest {
                    to: MACHINES[to],
                    request: RegisterRequest::Prepare(ballot),
                });
                self.deliver(&mut state, *call, prepares.collect());
            }
            Event::Accept { in_flight, answer_is_lost } => {
                let at = state.in_flight.iter().position(|(other, _)| other == in_flight).unwrap();
                let (in_flight, value) = state.in_flight.remove(at);
                let is_awaited = state.is_awaited(&in_flight);
                let reply = state.acceptors[in_flight.to].handle(&RegisterRequest::Accept(value)).reply;
                if is_awaited && !answer_is_lost {
                    self.on_reply(&mut state, in_flight.call, MACHINES[in_flight.to], &reply);
                }
            }
        }
        state.normalize();
        state
    }

    fn deliver(&self, state: &mut ModelState, call: usize, mut requests: Outbox) {
        while !requests.is_empty() && state.calls[call].run.is_some() {
            let OutgoingRequest { to, request } = requests.remove(0);
            match request {
                RegisterRequest::Accept(value) => {
                    let in_flight = InFlight { call, to: machine_index(to), ballot: value.ballot };
                    state.in_flight.push((in_flight, value));
                }
                prepare => {
                    let reply = state.acceptors[machine_index(to)].handle(&prepare).reply;
                    requests.extend(self.on_reply(state, call, to, &reply));
                }
            }
        }
    }

    /// Handles a reply to a call's proposal; returns what it sends next.
    fn on_reply(
        &self,
        state: &mut ModelState,
        number: usize,
        from: Ipv4Addr,
        reply: &RegisterReply,
    ) -> Outbox {
        let call = &mut state.calls[number];
        let Some(run) = &mut call.run else { return vec![] };
        let (verdict, wanted) = (&mut run.verdict, &mut run.wanted);
        let mut change = |read: &RegisterValue| self.change(&call.task, read, (&mut *verdict, &mut *wanted));
        let step = run.proposal.on_reply(from, reply, &mut change);
        let early_verdict = run.verdict.filter(|_| self.rules.reports_early);
        let outbox = match step {
            ProposerStep::Wait => vec![],
            ProposerStep::Send(outbox) => outbox,
            ProposerStep::Done(value) => {
                let run = call.run.take().unwrap();
                state.reports.insert(Report::Committed(committed_requests(&value.value)));
                if run.wanted.is_none_or(|wanted| wanted == value.value.payload) {
                    state.report(number, run.verdict);
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
        state.report(number, early_verdict);
        outbox
    }
}

impl ModelState {
    fn begin(&mut self, number: usize) {
        let promised = self.acceptors.iter().filter_map(|acceptor| Some(acceptor.record()?.promised)).max();
        let call = &mut self.calls[number];
        call.attempts -= 1;
        call.ballots.observe(promised.unwrap_or_default());
        let ballot = call.ballots.next_ballot();
        let proposal = Proposer::start(ballot, &initial_value());
        call.run = Some(Run { proposal, is_reading: true, verdict: None, wanted: None });
    }

    /// Records the report of a call. The answer may be lost or late: what would be reported counts as reported.
    fn report(&mut self, number: usize, verdict: Option<ConfigVerdict>) {
        let Task::Request(request) = self.calls[number].task else { return };
        match verdict {
            Some(ConfigVerdict::Committed) => self.reports.insert(Report::Confirmed(request)),
            Some(ConfigVerdict::VersionMismatch(_) | ConfigVerdict::NotNewer) => {
                self.reports.insert(Report::Rejected(request))
            }
            Some(ConfigVerdict::Indeterminate) | None => return,
        };
        self.calls[number].attempts = 0;
    }

    fn is_awaited(&self, in_flight: &InFlight) -> bool {
        self.calls[in_flight.call].run.as_ref().is_some_and(|run| run.proposal.ballot() == in_flight.ballot)
    }

    /// Drops requests that would be rejected or accepted again, and sorts the rest, so that equal states compare equal.
    fn normalize(&mut self) {
        let promised = |to: usize| self.acceptors[to].record().map(|record| record.promised);
        self.in_flight.retain(|(in_flight, _)| promised(in_flight.to) <= Some(in_flight.ballot));
        self.in_flight.sort_by(|one, other| one.0.cmp(&other.0));
    }
}

/// The violation among the reports, if there is one.
pub(crate) fn fault(requests: &[Request], reports: &BTreeSet<Report>) -> Option<String> {
    let committed: Vec<_> = reports
        .iter()
        .filter_map(|report| if let Report::Committed(requests) = report { Some(requests) } else { None })
        .collect();
    let is_chain = |one: &[usize], other: &[usize]| one.starts_with(other) || other.starts_with(one);
    if !committed.iter().all(|one| committed.iter().all(|other| is_chain(one, other))) {
        return Some(format!("the committed lists are no prefixes of each other: {committed:?}"));
    }
    for number in 0..requests.len() {
        let was_committed = reports.contains(&Report::Confirmed(number))
            || committed.iter().any(|requests| requests.contains(&number));
        if was_committed && reports.contains(&Report::Rejected(number)) {
            return Some(format!("request {number} was rejected and is committed"));
        }
    }
    let confirmed: Vec<_> =
        (0..requests.len()).filter(|number| reports.contains(&Report::Confirmed(*number))).collect();
    for key in [|request: Request| request.version, |request: Request| request.expected] {
        let keys = BTreeSet::from_iter(confirmed.iter().map(|number| key(requests[*number])));
        if keys.len() < confirmed.len() {
            return Some(format!(
                "two are confirmed with one version or one expected version: {confirmed:?}"
            ));
        }
    }
    None
}

impl Model for Schedules {
    type State = ModelState;
    type Action = Event;

    fn init_states(&self) -> Vec<ModelState> {
        vec![self.start()]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Event>) {
        actions.extend(self.events(state));
    }

    fn next_state(&self, state: &ModelState, event: Event) -> Option<ModelState> {
        Some(self.after(state, &event))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("every report holds", |model: &Self, state: &ModelState| {
                fault(&model.requests, &state.reports).is_none()
            }),
            Property::sometimes("a request is confirmed", |_, state: &ModelState| {
                state.reports.iter().any(|report| matches!(report, Report::Confirmed(_)))
            }),
            Property::sometimes("a request is rejected", |_, state: &ModelState| {
                state.reports.iter().any(|report| matches!(report, Report::Rejected(_)))
            }),
        ]
    }
}

pub(crate) fn request(expected: u64, version: u64) -> Request {
    Request { expected, version }
}

pub(crate) fn schedules(requests: &[Request], tasks: &[(Task, u8)], rules: Rules) -> Schedules {
    Schedules { requests: requests.to_vec(), tasks: tasks.to_vec(), rules }
}
