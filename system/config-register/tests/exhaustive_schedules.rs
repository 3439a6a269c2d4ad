//! Model check of all schedules of a small cluster: two to four voters, two proposers of one change each, one of which may
//! change the voters, and one voter that loses its disk once and recovers. Messages are delayed, reordered or lost.

use bytes::Bytes;
use config_register::{
    Acceptor, BallotSource, Change, Outbox, OutgoingRequest, Proposer, ProposerStep, Recovery, RecoveryStep,
    founding_record,
};
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest, RegisterValue};
use googletest::prelude::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

const MACHINES: [Ipv4Addr; 4] = [
    Ipv4Addr::new(10, 0, 0, 1),
    Ipv4Addr::new(10, 0, 0, 2),
    Ipv4Addr::new(10, 0, 0, 3),
    Ipv4Addr::new(10, 0, 0, 4),
];
const DISK_LOSS_NODE: usize = 0;

/// Who awaits a reply: a proposer by its number, or an attempt of the recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Requester {
    Proposer(usize),
    Recovery(u8),
}

/// A request in flight: the requester, the acceptor, the request.
type Message = (Requester, usize, RegisterRequest);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Run {
    Running(Box<Proposer>),
    Done(AcceptedValue),
    Over,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    acceptors: Vec<Acceptor>,
    runs: Vec<Run>,
    restore: Option<Recovery>,
    attempts: u8,
    lost_disk: bool,
    /// What the restore has ended with.
    restored: Option<AcceptedValue>,
    /// Whose second round has begun.
    accepting: BTreeSet<Requester>,
    /// In an order of its own, so that equal states are found equal.
    network: Vec<Message>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    Deliver { message: Message, reply_is_lost: bool },
    LoseDisk,
}

/// What the second proposer wants.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Second {
    /// To add its number, as the first does.
    Append,
    /// Another voter: the machine after the founders.
    AddVoter,
    /// The last of the founders is to be no voter.
    RemoveVoter,
}

/// The rounds of the two proposers, and whether a disk is lost.
struct Schedules {
    founders: usize,
    second: Second,
    rounds: [u64; 2],
    loses_disk: bool,
    /// A voter with an empty disk does not vote; if false, it starts as if it had never voted.
    requires_recovery: bool,
}

fn proposer(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, number as u8 + 1)
}

/// The ballot above `seen` of a proposer whose incarnation is 0.
fn next_round(seen: Ballot, me: Ipv4Addr) -> Ballot {
    let mut ballots = BallotSource::new(me, 0);
    ballots.observe(seen);
    ballots.next_ballot()
}

impl Schedules {
    fn founding(&self) -> RegisterValue {
        RegisterValue { epoch: 0, voters: MACHINES[..self.founders].to_vec(), payload: Bytes::new() }
    }

    /// Each change but that of the voters adds its proposer's number to those read.
    fn change(&self, number: usize, read: &RegisterValue) -> Change {
        let last = self.founders - 1;
        match (number, self.second) {
            (1, Second::AddVoter) => Change::Voters([&read.voters[..], &[MACHINES[last + 1]]].concat()),
            (1, Second::RemoveVoter) => {
                Change::Voters(read.voters.iter().copied().filter(|ip| *ip != MACHINES[last]).collect())
            }
            _ => Change::Set([&read.payload[..], &[number as u8]].concat().into()),
        }
    }
}

impl Fleet {
    fn send(&mut self, requester: Requester, outbox: Outbox) {
        for OutgoingRequest { to, request } in outbox {
            let to = MACHINES.iter().position(|ip| *ip == to).unwrap();
            if matches!(request, RegisterRequest::Accept(_)) {
                self.accepting.insert(requester);
            }
            self.network.push((requester, to, request));
        }
    }

    fn start_restore(&mut self, seen: Ballot, founding: &RegisterValue) {
        if self.attempts == 2 {
            self.restore = None;
            return;
        }
        self.attempts += 1;
        let me = MACHINES[DISK_LOSS_NODE];
        let restore = Recovery::start_from(me, next_round(seen, me), founding, &founding.voters);
        self.send(Requester::Recovery(self.attempts), restore.outbox());
        self.restore = Some(restore);
    }

    fn on_reply(&mut self, model: &Schedules, requester: Requester, from: usize, reply: &RegisterReply) {
        match requester {
            Requester::Proposer(number) => {
                let Run::Running(run) = &mut self.runs[number] else { return };
                match run.on_reply(MACHINES[from], reply, &mut |read| model.change(number, read)) {
                    ProposerStep::Wait => {}
                    ProposerStep::Send(outbox) => self.send(requester, outbox),
                    ProposerStep::Done(value) => self.runs[number] = Run::Done(value),
                    ProposerStep::Lost { .. } | ProposerStep::Failed => self.runs[number] = Run::Over,
                }
            }
            Requester::Recovery(_) => {
                let Some(restore) = &mut self.restore else { return };
                match restore.on_reply(MACHINES[from], reply) {
                    RecoveryStep::Wait => {}
                    RecoveryStep::Send(outbox) => self.send(requester, outbox),
                    RecoveryStep::Done(record) => {
                        self.restored = record.accepted.clone();
                        self.acceptors[DISK_LOSS_NODE].restore(record);
                        self.restore = None;
                    }
                    RecoveryStep::Lost { seen } => self.start_restore(seen, &model.founding()),
                    RecoveryStep::Failed => self.restore = None,
                }
            }
        }
    }

    fn reported_chosen(&self) -> Vec<&AcceptedValue> {
        let done = self.runs.iter().filter_map(|run| match run {
            Run::Done(value) => Some(value),
            _ => None,
        });
        done.chain(&self.restored).collect()
    }

    fn is_past(&self, requester: Requester) -> bool {
        match requester {
            Requester::Proposer(number) => !matches!(self.runs[number], Run::Running(_)),
            Requester::Recovery(number) => self.restore.is_none() || number != self.attempts,
        }
    }

    /// Drops what would change nothing, and orders the rest.
    fn tidy(&mut self) {
        let mut network = std::mem::take(&mut self.network);
        network.retain(|(requester, to, request)| {
            let (ballot, is_prepare) = match request {
                RegisterRequest::Prepare(ballot) => (*ballot, true),
                RegisterRequest::Accept(value) => (value.ballot, false),
                _ => unreachable!(),
            };
            let is_past = is_prepare && (self.is_past(*requester) || self.accepting.contains(requester));
            let promised = self.acceptors[*to].record().map(|record| record.promised);
            let is_refused = *to != DISK_LOSS_NODE && promised > Some(ballot);
            !is_past && !is_refused
        });
        network.sort_by_key(|(requester, to, request)| {
            (*requester, *to, matches!(request, RegisterRequest::Accept(_)))
        });
        self.network = network;
    }
}

/// Whether the newer of two chosen values holds the older one, with voters that can follow on its.
fn is_chain(older: &AcceptedValue, newer: &AcceptedValue) -> bool {
    let (older_voters, newer_voters) =
        (BTreeSet::from_iter(&older.value.voters), BTreeSet::from_iter(&newer.value.voters));
    let voters_follow = match newer.value.epoch.checked_sub(older.value.epoch) {
        Some(0) => older_voters == newer_voters,
        Some(1) => older_voters.symmetric_difference(&newer_voters).count() == 1,
        _ => false,
    };
    let is_same = older.ballot != newer.ballot || older.value == newer.value;
    is_same && voters_follow && newer.value.payload.starts_with(&older.value.payload)
}

impl Model for Schedules {
    type State = Fleet;
    type Action = Event;

    fn init_states(&self) -> Vec<Fleet> {
        let mut fleet = Fleet {
            acceptors: vec![Acceptor::new(founding_record(self.founding().voters)); MACHINES.len()],
            runs: vec![],
            restore: None,
            attempts: 0,
            lost_disk: false,
            restored: None,
            accepting: BTreeSet::new(),
            network: vec![],
        };
        for (number, round) in self.rounds.into_iter().enumerate() {
            let me = proposer(number);
            let ballot = Ballot { round, proposer: u32::from(me), incarnation: 0 };
            let run = Proposer::start(ballot, &self.founding());
            fleet.send(Requester::Proposer(number), run.outbox());
            fleet.runs.push(Run::Running(Box::new(run)));
        }
        fleet.tidy();
        vec![fleet]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<Event>) {
        for message in &fleet.network {
            for reply_is_lost in [false, true] {
                if !(reply_is_lost && fleet.is_past(message.0)) {
                    actions.push(Event::Deliver { message: message.clone(), reply_is_lost });
                }
            }
        }
        if self.loses_disk && !fleet.lost_disk {
            actions.push(Event::LoseDisk);
        }
    }

    fn next_state(&self, fleet: &Fleet, event: Event) -> Option<Fleet> {
        let mut fleet = fleet.clone();
        match event {
            Event::LoseDisk => {
                fleet.lost_disk = true;
                if self.requires_recovery {
                    fleet.acceptors[DISK_LOSS_NODE] = Acceptor::recovering();
                    fleet.start_restore(Ballot::default(), &self.founding());
                } else {
                    fleet.acceptors[DISK_LOSS_NODE] = Acceptor::new(founding_record(self.founding().voters));
                }
            }
            Event::Deliver { message, reply_is_lost } => {
                let position = fleet.network.iter().position(|other| *other == message)?;
                let (requester, to, request) = fleet.network.remove(position);
                let reply = fleet.acceptors[to].handle(&request).reply;
                if !reply_is_lost && !fleet.is_past(requester) {
                    fleet.on_reply(self, requester, to, &reply);
                }
            }
        }
        fleet.tidy();
        Some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("reported values form one chain", |_, fleet: &Fleet| {
                let mut chosen = fleet.reported_chosen();
                chosen.sort_by_key(|value| value.ballot);
                chosen.is_sorted_by(|older, newer| is_chain(older, newer))
            }),
            Property::sometimes("both changes are acknowledged", |_, fleet: &Fleet| {
                fleet.runs.iter().all(|run| matches!(run, Run::Done(_)))
            }),
            Property::sometimes(
                "the node without a disk recovers after a change",
                |model: &Self, fleet: &Fleet| {
                    let is_done = fleet.runs.iter().any(|run| matches!(run, Run::Done(_)));
                    !model.loses_disk || (fleet.restored.is_some() && is_done)
                },
            ),
        ]
    }
}

const TWO_CHANGES: Schedules = Schedules {
    founders: 3,
    second: Second::Append,
    rounds: [2, 3],
    loses_disk: false,
    requires_recovery: true,
};

/// Goes through all schedules; how many states there are.
fn check(schedules: Schedules) -> usize {
    let checker = schedules.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    checker.unique_state_count()
}

#[gtest]
fn two_proposers_in_all_schedules() {
    expect_that!(check(TWO_CHANGES), gt(1000));
}

#[gtest]
fn two_proposers_and_a_lost_disk_in_all_schedules() {
    expect_that!(check(Schedules { loses_disk: true, ..TWO_CHANGES }), gt(1000));
}

#[gtest]
fn an_added_voter_and_a_lost_disk_in_all_schedules() {
    let schedules = Schedules { second: Second::AddVoter, loses_disk: true, ..TWO_CHANGES };
    expect_that!(check(schedules), gt(10_000));
}

#[gtest]
fn a_removed_voter_and_a_lost_disk_in_all_schedules() {
    let schedules = Schedules { second: Second::RemoveVoter, loses_disk: true, ..TWO_CHANGES };
    expect_that!(check(schedules), gt(10_000));
}

#[gtest]
fn two_voters_that_become_three_in_all_schedules() {
    expect_that!(check(Schedules { founders: 2, second: Second::AddVoter, ..TWO_CHANGES }), gt(500));
}

#[gtest]
fn four_voters_that_become_three_in_all_schedules() {
    expect_that!(check(Schedules { founders: 4, second: Second::RemoveVoter, ..TWO_CHANGES }), gt(1000));
}

#[gtest]
fn a_voter_change_under_the_lower_ballot_in_all_schedules() {
    for second in [Second::AddVoter, Second::RemoveVoter] {
        let schedules = Schedules { second, rounds: [3, 2], loses_disk: true, ..TWO_CHANGES };
        expect_that!(check(schedules), gt(10_000));
    }
}

#[gtest]
fn the_checker_detects_a_voter_that_votes_with_an_empty_disk() {
    for second in [Second::Append, Second::AddVoter, Second::RemoveVoter] {
        let schedules = Schedules { second, loses_disk: true, requires_recovery: false, ..TWO_CHANGES };
        let checker = schedules.checker().threads(2).spawn_bfs().join();
        expect_that!(checker.discovery("reported values form one chain"), some(anything()));
    }
}
