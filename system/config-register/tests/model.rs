//! All schedules of a small fleet: three voters, two proposers of one change each, one voter that loses its disk once
//! and is restored. Messages come late, in any order or never.

use bytes::Bytes;
use config_register::{Acceptor, BallotSource, Change, Outbox, Proposal, Restore, RestoreStep, Step, found};
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest, RegisterValue};
use googletest::prelude::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

const VOTERS: [Ipv4Addr; 3] =
    [Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 0, 0, 2), Ipv4Addr::new(10, 0, 0, 3)];
const LOSER: usize = 0;

/// Who waits for a reply: a proposer by its number, or a try of the restore.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Asker {
    Proposer(usize),
    Restore(u8),
}

/// A request under way: who asks, which acceptor, what.
type Message = (Asker, usize, RegisterRequest);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Run {
    Running(Box<Proposal>),
    Done(AcceptedValue),
    Over,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    acceptors: Vec<Acceptor>,
    runs: Vec<Run>,
    restore: Option<Restore>,
    tries: u8,
    lost_disk: bool,
    restored: bool,
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

/// The rounds of the two proposers, and whether a disk is lost.
struct Schedules {
    rounds: [u64; 2],
    loses_disk: bool,
}

fn proposer(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, number as u8 + 1)
}

/// The ballot above `seen` of a proposer whose life has the nonce 0.
fn next_round(seen: Ballot, me: Ipv4Addr) -> Ballot {
    let mut ballots = BallotSource::new(me, 0);
    ballots.saw(seen);
    ballots.next_ballot()
}

fn founding() -> RegisterValue {
    RegisterValue { epoch: 0, voters: VOTERS.to_vec(), payload: Bytes::new() }
}

/// Each change adds its proposer's number to those read.
fn append(number: usize) -> impl FnMut(&RegisterValue) -> Change {
    move |read| Change::Set([&read.payload[..], &[number as u8]].concat().into())
}

impl Fleet {
    fn send(&mut self, asker: Asker, outbox: Outbox) {
        for (to, request) in outbox {
            let to = VOTERS.iter().position(|ip| *ip == to).unwrap();
            if matches!(request, RegisterRequest::Accept(_)) {
                self.accepting.insert(asker);
            }
            self.network.push((asker, to, request));
        }
    }

    fn start_restore(&mut self, seen: Ballot) {
        if self.tries == 2 {
            self.restore = None;
            return;
        }
        self.tries += 1;
        let me = VOTERS[LOSER];
        let restore = Restore::start_from(me, next_round(seen, me), &founding(), &VOTERS);
        self.send(Asker::Restore(self.tries), restore.outbox());
        self.restore = Some(restore);
    }

    fn on_reply(&mut self, asker: Asker, from: usize, reply: &RegisterReply) {
        match asker {
            Asker::Proposer(number) => {
                let Run::Running(run) = &mut self.runs[number] else { return };
                match run.on_reply(VOTERS[from], reply, &mut append(number)) {
                    Step::Wait => {}
                    Step::Send(outbox) => self.send(asker, outbox),
                    Step::Done(value) => self.runs[number] = Run::Done(value),
                    Step::Lost { .. } | Step::Failed => self.runs[number] = Run::Over,
                }
            }
            Asker::Restore(_) => {
                let Some(restore) = &mut self.restore else { return };
                match restore.on_reply(VOTERS[from], reply) {
                    RestoreStep::Wait => {}
                    RestoreStep::Send(outbox) => self.send(asker, outbox),
                    RestoreStep::Done(record) => {
                        self.acceptors[LOSER].restore(record);
                        self.restore = None;
                        self.restored = true;
                    }
                    RestoreStep::Lost { seen } => self.start_restore(seen),
                    RestoreStep::Failed => self.restore = None,
                }
            }
        }
    }

    fn is_past(&self, asker: Asker) -> bool {
        match asker {
            Asker::Proposer(number) => !matches!(self.runs[number], Run::Running(_)),
            Asker::Restore(number) => self.restore.is_none() || number != self.tries,
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

impl Model for Schedules {
    type State = Fleet;
    type Action = Event;

    fn init_states(&self) -> Vec<Fleet> {
        let mut fleet = Fleet {
            acceptors: vec![Acceptor::new(found(VOTERS.to_vec())); 3],
            runs: vec![],
            restore: None,
            tries: 0,
            lost_disk: false,
            restored: false,
            accepting: BTreeSet::new(),
            network: vec![],
        };
        for (number, round) in self.rounds.into_iter().enumerate() {
            let me = proposer(number);
            let ballot = Ballot { round, proposer: u32::from(me), life: 0 };
            let run = Proposal::start(me, ballot, &founding());
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
                fleet.acceptors[LOSER] = Acceptor::unfit();
                fleet.start_restore(Ballot::default());
            }
            Event::Deliver { message, reply_is_lost } => {
                let position = fleet.network.iter().position(|other| *other == message)?;
                let (asker, to, request) = fleet.network.remove(position);
                let (reply, _) = fleet.acceptors[to].handle(&request);
                if !reply_is_lost && !fleet.is_past(asker) {
                    fleet.on_reply(asker, to, &reply);
                }
            }
        }
        fleet.tidy();
        Some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("acknowledged changes form one chain", |_, fleet: &Fleet| {
                let done: Vec<_> = fleet
                    .runs
                    .iter()
                    .filter_map(|run| match run {
                        Run::Done(value) => Some(&value.value.payload),
                        _ => None,
                    })
                    .collect();
                let is_chain = |one: &Bytes, other: &Bytes| one.starts_with(other) || other.starts_with(one);
                done.iter().all(|one| done.iter().all(|other| is_chain(one, other)))
            }),
            Property::sometimes("both changes are acknowledged", |_, fleet: &Fleet| {
                fleet.runs.iter().all(|run| matches!(run, Run::Done(_)))
            }),
            Property::sometimes(
                "the disk's loser is restored after a change",
                |model: &Self, fleet: &Fleet| {
                    let is_done = fleet.runs.iter().any(|run| matches!(run, Run::Done(_)));
                    !model.loses_disk || (fleet.restored && is_done)
                },
            ),
        ]
    }
}

fn check(rounds: [u64; 2], loses_disk: bool) -> usize {
    let checker = Schedules { rounds, loses_disk }.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    checker.unique_state_count()
}

#[gtest]
fn two_proposers_in_all_schedules() {
    let states = check([2, 3], false);

    println!("{states} states");
    expect_that!(states, gt(1000));
}

#[gtest]
fn two_proposers_and_a_lost_disk_in_all_schedules() {
    let states = check([2, 3], true);

    println!("{states} states");
    expect_that!(states, gt(1000));
}
