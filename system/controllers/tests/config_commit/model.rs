//! Model of operators' requests and the register, for the model checker and for random schedules.

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
/// Number of initial voters. The fourth machine may be added later.
const INITIAL_VOTERS: usize = 3;

/// An operator's request: the version of a configuration and the version that it expects to be current. Each request has
/// different bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Request {
    pub(crate) expected: u64,
    pub(crate) version: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Task {
    /// Submits the request with this index.
    Request(usize),
    Read,
    /// Adds the fourth machine to the voters.
    AddVoter,
    /// Removes the first machine from the voters.
    RemoveVoter,
}

/// The result of a completed call. Requests are given by their index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Report {
    Confirmed(usize),
    Rejected(usize),
    /// The requests that the chosen value has committed, oldest first.
    Committed(Vec<usize>),
}

pub(crate) type Evaluation = (Option<ControlState>, ConfigVerdict);
pub(crate) type EvaluateFn = fn(&ControlState, u64, &CommittedVersion, &Bytes) -> Evaluation;

/// How requests are evaluated and reported: correctly, or with a deliberate fault.
#[derive(Clone, Copy)]
pub(crate) struct Rules {
    pub(crate) evaluate: EvaluateFn,
    /// Faulty if true: the verdict is reported as soon as it is computed, before its proposal has completed.
    pub(crate) reports_early: bool,
}

pub(crate) const CORRECT: Rules = Rules { evaluate: put_config, reports_early: false };

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ProposalRun {
    proposer: Proposer,
    /// The Prepare requests have not been sent yet.
    is_reading: bool,
    verdict: Option<ConfigVerdict>,
    /// The payload that the request wants to have chosen; `None` if it changes nothing.
    wanted_payload: Option<Bytes>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    task: Task,
    attempts: u8,
    ballots: BallotSource,
    run: Option<ProposalRun>,
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
    /// A call starts a proposal, and abandons its previous one.
    BeginProposal(usize),
    /// The Prepare of a call reaches the machines in the bit mask `reach`.
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
    /// Each task with its number of attempts.
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
        (verdict_slot, payload_slot): (&mut Option<ConfigVerdict>, &mut Option<Bytes>),
    ) -> Change {
        match task {
            Task::Read => Change::Keep,
            Task::AddVoter if read.voters.contains(&MACHINES[INITIAL_VOTERS]) => Change::Keep,
            Task::AddVoter => Change::Voters([&read.voters[..], &MACHINES[INITIAL_VOTERS..]].concat()),
            Task::RemoveVoter => {
                Change::Voters(read.voters.iter().copied().filter(|ip| *ip != MACHINES[0]).collect())
            }
            Task::Request(index) => {
                let Request { expected, version } = self.requests[*index];
                let state = ControlState::from_payload(&read.payload).unwrap();
                let body = Bytes::from(vec![*index as u8]);
                let (next, verdict) = (self.rules.evaluate)(&state, expected, &sent(*index, version), &body);
                *verdict_slot = Some(verdict);
                *payload_slot = next.map(|state| state.to_payload().unwrap());
                payload_slot.clone().map_or(Change::Keep, Change::Set)
            }
        }
    }

    pub(crate) fn initial_state(&self) -> ModelState {
        let acceptor = Acceptor::new(founding_record(initial_value().voters));
        let calls = self.tasks.iter().enumerate().map(|(index, (task, attempts))| Call {
            task: task.clone(),
            attempts: *attempts,
            ballots: BallotSource::new(Ipv4Addr::new(10, 0, 1, index as u8), 1),
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
        let adds_voter = self.tasks.iter().any(|(task, _)| *task == Task::AddVoter);
        let reaches: &[u8] = if adds_voter {
            &[0b0011, 0b0101, 0b0110, 0b1011, 0b1101, 0b1110]
        } else {
            &[0b011, 0b101, 0b110]
        };
        for (index, call) in state.calls.iter().enumerate() {
            if call.attempts > 0 {
                events.push(Event::BeginProposal(index));
            }
            if call.run.as_ref().is_some_and(|run| run.is_reading) {
                events.extend(reaches.iter().map(|reach| Event::Read { call: index, reach: *reach }));
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

    pub(crate) fn apply(&self, state: &ModelState, event: &Event) -> ModelState {
        let mut state = state.clone();
        match event {
            Event::BeginProposal(call) => state.begin_proposal(*call),
            Event::Read { call, reach } => {
                let Some(run) = &mut state.calls[*call].run else { return state };
                run.is_reading = false;
                let ballot = run.proposer.ballot();
                let reached = (0..MACHINES.len()).filter(|machine| reach >> machine & 1 == 1);
                let prepares = reached.map(|to| OutgoingRequest {
                    to: MACHINES[to],
                    request: RegisterRequest::Prepare(ballot),
                });
                self.deliver(&mut state, *call, prepares.collect());
            }
            Event::Accept { in_flight, answer_is_lost } => {
                let index = state.in_flight.iter().position(|(other, _)| other == in_flight).unwrap();
                let (in_flight, value) = state.in_flight.remove(index);
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

    /// Delivers a call's Prepare requests at once, and adds its Accept requests to those in flight.
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

    /// Handles a reply to a call's proposal. Returns the requests that the proposal sends next.
    fn on_reply(
        &self,
        state: &mut ModelState,
        call_index: usize,
        from: Ipv4Addr,
        reply: &RegisterReply,
    ) -> Outbox {
        let call = &mut state.calls[call_index];
        let Some(run) = &mut call.run else { return vec![] };
        let (verdict, payload) = (&mut run.verdict, &mut run.wanted_payload);
        let mut change = |read: &RegisterValue| self.change(&call.task, read, (&mut *verdict, &mut *payload));
        let step = run.proposer.on_reply(from, reply, &mut change);
        let early_verdict = run.verdict.filter(|_| self.rules.reports_early);
        let outbox = match step {
            ProposerStep::Wait => vec![],
            ProposerStep::Send(outbox) => outbox,
            ProposerStep::Done(value) => {
                let run = call.run.take().unwrap();
                state.reports.insert(Report::Committed(committed_requests(&value.value)));
                if run.wanted_payload.is_none_or(|payload| payload == value.value.payload) {
                    state.report(call_index, run.verdict);
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
        state.report(call_index, early_verdict);
        outbox
    }
}

impl ModelState {
    fn begin_proposal(&mut self, call_index: usize) {
        let promised = self.acceptors.iter().filter_map(|acceptor| Some(acceptor.record()?.promised)).max();
        let call = &mut self.calls[call_index];
        call.attempts -= 1;
        call.ballots.observe(promised.unwrap_or_default());
        let ballot = call.ballots.next_ballot();
        let proposer = Proposer::start(ballot, &initial_value());
        call.run = Some(ProposalRun { proposer, is_reading: true, verdict: None, wanted_payload: None });
    }

    /// Records the verdict that a call reports. It counts as reported even if the operator may not receive it.
    fn report(&mut self, call_index: usize, verdict: Option<ConfigVerdict>) {
        let Task::Request(request) = self.calls[call_index].task else { return };
        match verdict {
            Some(ConfigVerdict::Committed) => self.reports.insert(Report::Confirmed(request)),
            Some(ConfigVerdict::VersionMismatch(_) | ConfigVerdict::NotNewer) => {
                self.reports.insert(Report::Rejected(request))
            }
            Some(ConfigVerdict::Indeterminate) | None => return,
        };
        self.calls[call_index].attempts = 0;
    }

    /// Whether the proposal that sent the request is still running.
    fn is_awaited(&self, in_flight: &InFlight) -> bool {
        self.calls[in_flight.call].run.as_ref().is_some_and(|run| run.proposer.ballot() == in_flight.ballot)
    }

    /// Drops requests that acceptors would reject, and sorts the rest, so that equivalent states compare equal.
    fn normalize(&mut self) {
        let promised = |to: usize| self.acceptors[to].record().map(|record| record.promised);
        self.in_flight.retain(|(in_flight, _)| promised(in_flight.to) <= Some(in_flight.ballot));
        self.in_flight.sort_by(|one, other| one.0.cmp(&other.0));
    }
}

/// Describes an inconsistency among the reports, if there is one.
pub(crate) fn find_violation(requests: &[Request], reports: &BTreeSet<Report>) -> Option<String> {
    let committed: Vec<_> = reports
        .iter()
        .filter_map(|report| if let Report::Committed(requests) = report { Some(requests) } else { None })
        .collect();
    let is_chain = |one: &[usize], other: &[usize]| one.starts_with(other) || other.starts_with(one);
    if !committed.iter().all(|one| committed.iter().all(|other| is_chain(one, other))) {
        return Some(format!("the committed lists are not prefixes of each other: {committed:?}"));
    }
    for index in 0..requests.len() {
        let was_committed = reports.contains(&Report::Confirmed(index))
            || committed.iter().any(|requests| requests.contains(&index));
        if was_committed && reports.contains(&Report::Rejected(index)) {
            return Some(format!("request {index} was both rejected and committed"));
        }
    }
    let confirmed: Vec<_> =
        (0..requests.len()).filter(|index| reports.contains(&Report::Confirmed(*index))).collect();
    for key in [|request: Request| request.version, |request: Request| request.expected] {
        let keys = BTreeSet::from_iter(confirmed.iter().map(|index| key(requests[*index])));
        if keys.len() < confirmed.len() {
            return Some(format!(
                "requests with the same version or expected version were confirmed: {confirmed:?}"
            ));
        }
    }
    None
}

impl Model for Schedules {
    type State = ModelState;
    type Action = Event;

    fn init_states(&self) -> Vec<ModelState> {
        vec![self.initial_state()]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Event>) {
        actions.extend(self.events(state));
    }

    fn next_state(&self, state: &ModelState, event: Event) -> Option<ModelState> {
        Some(self.apply(state, &event))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("reports are consistent", |model: &Self, state: &ModelState| {
                find_violation(&model.requests, &state.reports).is_none()
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
