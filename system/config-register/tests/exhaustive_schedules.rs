//! All schedules of a small fleet: two to four voters, two proposers of one change each, of which one may be a change of the
//! voters, and one voter that loses its disk once and is restored. Messages come late, in any order or never.

use bytes::Bytes;
use config_register::{
    Acceptor, BallotSource, Change, Outbox, Proposer, ProposerStep, Recovery, RecoveryStep, founding_record,
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
const LOSER: usize = 0;

/// Who waits for a reply: a proposer by its number, or a try of the restore.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Asker {
    Proposer(usize),
    Recovery(u8),
}

/// A request under way: who asks, which acceptor, what.
type Message = (Asker, usize, RegisterRequest);

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
    tries: u8,
    lost_disk: bool,
    /// What the restore has ended with.
    restored: Option<AcceptedValue>,
    /// Whose second round has begun.
    accepting: BTreeSet<Asker>,
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
    /// A voter with an empty disk does not vote; without this, it starts anew as if it had never voted.
    has_amnesia_guard: bool,
}

fn proposer(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, number as u8 + 1)
}

/// The ballot above `seen` of a proposer whose life has the nonce 0.
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
    fn send(&mut self, asker: Asker, outbox: Outbox) {
        for (to, request) in outbox {
            let to = MACHINES.iter().position(|ip| *ip == to).unwrap();
            if matches!(request, RegisterRequest::Accept(_)) {
                self.accepting.insert(asker);
            }
            self.network.push((asker, to, request));
        }
    }

    fn start_restore(&mut self, seen: Ballot, founding: &RegisterValue) {
        if self.tries == 2 {
            self.restore = None;
            return;
        }
        self.tries += 1;
        let me = MACHINES[LOSER];
        let restore = Recovery::start_from(me, next_round(seen, me), founding, &founding.voters);
        self.send(Asker::Recovery(self.tries), restore.outbox());
        self.restore = Some(restore);
    }

    fn on_reply(&mut self, model: &Schedules, asker: Asker, from: usize, reply: &RegisterReply) {
        match asker {
            Asker::Proposer(number) => {
                let Run::Running(run) = &mut self.runs[number] else { return };
                match run.on_reply(MACHINES[from], reply, &mut |read| model.change(number, read)) {
                    ProposerStep::Wait => {}
                    ProposerStep::Send(outbox) => self.send(asker, outbox),
                    ProposerStep::Done(value) => self.runs[number] = Run::Done(value),
                    ProposerStep::Lost { .. } | ProposerStep::Failed => self.runs[number] = Run::Over,
                }
            }
            Asker::Recovery(_) => {
                let Some(restore) = &mut self.restore else { return };
                match restore.on_reply(MACHINES[from], reply) {
                    RecoveryStep::Wait => {}
                    RecoveryStep::Send(outbox) => self.send(asker, outbox),
                    RecoveryStep::Done(record) => {
                        self.restored = record.accepted.clone();
                        self.acceptors[LOSER].restore(record);
                        self.restore = None;
                    }
                    RecoveryStep::Lost { seen } => self.start_restore(seen, &model.founding()),
                    RecoveryStep::Failed => self.restore = None,
                }
            }
        }
    }

    fn known_chosen_value(&self) -> Vec<&AcceptedValue> {
        let done = self.runs.iter().filter_map(|run| match run {
            Run::Done(value) => Some(value),
            _ => None,
        });
        done.chain(&self.restored).collect()
    }

    fn is_past(&self, asker: Asker) -> bool {
        match asker {
            Asker::Proposer(number) => !matches!(self.runs[number], Run::Running(_)),
            Asker::Recovery(number) => self.restore.is_none() || number != self.tries,
        }
    }

    /// Drops what would change nothing, and orders the rest.
    fn tidy(&mut self) {
        let mut network = std::mem::take(&mut self.network);
        network.retain(|(asker, to, request)| {
            let (ballot, is_prepare) = match request {
                RegisterRequest::Prepare(ballot) => (*ballot, true),
                RegisterRequest::Accept(value) => (value.ballot, false),
                _ => unreachable!(),
            };
            let is_past = is_prepare && (self.is_past(*asker) || self.accepting.contains(asker));
            let promised = self.acceptors[*to].record().map(|record| record.promised);
            let is_refused = *to != LOSER && promised > Some(ballot);
            !is_past && !is_refused
        });
        network
            .sort_by_key(|(asker, to, request)| (*asker, *to, matches!(request, RegisterRequest::Accept(_))));
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
            tries: 0,
            lost_disk: false,
            restored: None,
            accepting: BTreeSet::new(),
            network: vec![],
        };
        for (number, round) in self.rounds.into_iter().enumerate() {
            let me = proposer(number);
            let ballot = Ballot { round, proposer: u32::from(me), incarnation: 0 };
            let run = Proposer::start(me, ballot, &self.founding());
            fleet.send(Asker::Proposer(number), run.outbox());
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
                if self.has_amnesia_guard {
                    fleet.acceptors[LOSER] = Acceptor::recovering();
                    fleet.start_restore(Ballot::default(), &self.founding());
                } else {
                    fleet.acceptors[LOSER] = Acceptor::new(founding_record(self.founding().voters));
                }
            }
            Event::Deliver { message, reply_is_lost } => {
                let position = fleet.network.iter().position(|other| *other == message)?;
                let (asker, to, request) = fleet.network.remove(position);
                let (reply, _) = fleet.acceptors[to].handle(&request);
                if !reply_is_lost && !fleet.is_past(asker) {
                    fleet.on_reply(self, asker, to, &reply);
                }
            }
        }
        fleet.tidy();
        Some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("what was told to be chosen forms one chain", |_, fleet: &Fleet| {
                let mut chosen = fleet.known_chosen_value();
                chosen.sort_by_key(|value| value.ballot);
                chosen.is_sorted_by(|older, newer| is_chain(older, newer))
            }),
            Property::sometimes("both changes are acknowledged", |_, fleet: &Fleet| {
                fleet.runs.iter().all(|run| matches!(run, Run::Done(_)))
            }),
            Property::sometimes(
                "the disk's loser is restored after a change",
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
    has_amnesia_guard: true,
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
fn a_voter_more_and_a_lost_disk_in_all_schedules() {
    let schedules = Schedules { second: Second::AddVoter, loses_disk: true, ..TWO_CHANGES };
    expect_that!(check(schedules), gt(10_000));
}

#[gtest]
fn a_voter_less_and_a_lost_disk_in_all_schedules() {
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
fn a_voter_more_or_less_below_the_other_change_in_all_schedules() {
    for second in [Second::AddVoter, Second::RemoveVoter] {
        let schedules = Schedules { second, rounds: [3, 2], loses_disk: true, ..TWO_CHANGES };
        expect_that!(check(schedules), gt(10_000));
    }
}

#[gtest]
fn the_checker_finds_a_voter_that_votes_with_an_empty_disk() {
    for second in [Second::Append, Second::AddVoter, Second::RemoveVoter] {
        let schedules = Schedules { second, loses_disk: true, has_amnesia_guard: false, ..TWO_CHANGES };
        let checker = schedules.checker().threads(2).spawn_bfs().join();
        expect_that!(checker.discovery("what was told to be chosen forms one chain"), some(anything()));
    }
}
