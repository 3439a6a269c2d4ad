//! Random schedules of five nodes, some of them voters: requests are lost, delayed, duplicated and reordered, nodes restart
//! and lose their disks, voters change. Only the history of what nodes reported is checked.

use bytes::Bytes;
use config_register::{
    Acceptor, BallotSource, Change, Learner, Outbox, OutgoingRequest, PollOutcome, Proposer, ProposerStep,
    Recovery, RecoveryStep, founding_record,
};
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest, RegisterValue};
use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

const MACHINES: usize = 5;

fn ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number as u8 + 1)
}

fn all() -> Vec<Ipv4Addr> {
    (0..MACHINES).map(ip).collect()
}

#[derive(Clone)]
enum Intent {
    Append(u32),
    Read,
    /// Adds the voter, or removes it if at least this many remain.
    Toggle(Ipv4Addr, usize),
}

impl Intent {
    fn change(&self, read: &RegisterValue) -> Change {
        match self {
            Intent::Append(id) => Change::Set([&read.payload[..], &id.to_be_bytes()].concat().into()),
            Intent::Read => Change::Keep,
            Intent::Toggle(machine, min_voters) => {
                let mut voters = read.voters.clone();
                voters.retain(|voter| voter != machine);
                if voters.len() == read.voters.len() {
                    voters.push(*machine);
                }
                if voters.len() < *min_voters { Change::Keep } else { Change::Voters(voters) }
            }
        }
    }
}

enum Run {
    Proposer(Proposer, Intent),
    Recovery(Recovery),
    Poll(Learner, AcceptedValue),
    Fetch(Learner, AcceptedValue),
}

/// A node's process with its disk.
struct Machine {
    acceptor: Acceptor,
    known: Option<AcceptedValue>,
    run: Option<Run>,
    /// When the run began, in events of the history.
    begun: usize,
    /// The ballots of its incarnation, which knows of earlier ones only what is on its disk.
    ballots: BallotSource,
}

/// What a node reported to its host.
#[derive(Clone, Debug)]
enum Report {
    /// This value was chosen. `begun`: how much of the history there was when the run began.
    Chosen { begun: usize, value: AcceptedValue },
    /// Nothing newer than this ballot was chosen by then.
    Fresh { begun: usize, ballot: Ballot },
    /// Learned from another node; no claim as to what is newest.
    Learned(AcceptedValue),
}

#[derive(Clone)]
enum Envelope {
    Request { call: u64, to: usize, request: RegisterRequest },
    Reply { call: u64, reply: RegisterReply },
}

#[derive(Default, Debug, Clone, Copy)]
struct Counts {
    appended: usize,
    changed: usize,
    restored: usize,
    fresh: usize,
    learned: usize,
}

struct Fleet {
    rng: ChaCha8Rng,
    machines: Vec<Machine>,
    calls: BTreeMap<u64, (usize, usize)>,
    network: Vec<Envelope>,
    last_call: u64,
    last_id: u32,
    min_voters: usize,
    wiped: Option<usize>,
    /// How an incarnation derives its nonce from a random number.
    nonce: fn(u64) -> u64,
    used: BTreeSet<Ballot>,
    /// The first ballot that a second run has.
    shared: Option<Ballot>,
    history: Vec<Report>,
    counts: Counts,
}

impl Fleet {
    fn new(seed: u64, nonce: fn(u64) -> u64) -> Self {
        let voters: Vec<_> = (0..3).map(ip).collect();
        let founded = founding_record(voters);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let machines = (0..MACHINES)
            .map(|number| Machine {
                acceptor: if number < 3 { Acceptor::new(founded.clone()) } else { Acceptor::recovering() },
                known: founded.accepted.clone(),
                run: None,
                begun: 0,
                ballots: BallotSource::new(ip(number), nonce(rng.next_u64())),
            })
            .collect();
        Self {
            rng,
            machines,
            calls: BTreeMap::new(),
            network: vec![],
            last_call: 0,
            last_id: 0,
            min_voters: if seed.is_multiple_of(2) { 2 } else { 3 },
            wiped: None,
            nonce,
            used: BTreeSet::new(),
            shared: None,
            history: vec![],
            counts: Counts::default(),
        }
    }

    fn below(&mut self, bound: usize) -> usize {
        self.rng.next_u32() as usize % bound
    }

    fn send(&mut self, from: usize, outbox: Outbox) {
        for OutgoingRequest { to, request } in outbox {
            let to = all().iter().position(|other| *other == to).unwrap();
            self.last_call += 1;
            self.calls.insert(self.last_call, (from, to));
            self.network.push(Envelope::Request { call: self.last_call, to, request });
        }
    }

    fn next_ballot(&mut self, number: usize) -> Ballot {
        let ballot = self.machines[number].ballots.next_ballot();
        if !self.used.insert(ballot) {
            self.shared.get_or_insert(ballot);
        }
        ballot
    }

    fn end_run(&mut self, number: usize) -> Option<Run> {
        self.calls.retain(|_, (from, _)| *from != number);
        self.machines[number].run.take()
    }

    fn start(&mut self, number: usize) {
        if self.machines[number].run.is_some() {
            return;
        }
        let begun = self.history.len();
        let kind = self.below(10);
        let starts_without_known_value = self.below(3) == 0;
        // Only a machine that may vote is made a voter.
        let fit: Vec<_> =
            (0..MACHINES).filter(|other| self.machines[*other].acceptor.record().is_some()).map(ip).collect();
        let toggled = fit[self.below(fit.len())];
        let other = self.below(MACHINES);
        // Any node may learn from another which voters are in force.
        let other_voters =
            self.machines[other].acceptor.record().and_then(|record| record.chosen_voters.clone());
        let machine = &mut self.machines[number];
        machine.begun = begun;
        let record = machine.acceptor.record();
        let chosen_voters = record.and_then(|record| record.chosen_voters.clone());
        let known = machine.known.clone();
        let start = [known.as_ref().map(|known| known.value.clone()), chosen_voters, other_voters];
        let start = start.into_iter().flatten().max_by_key(|start| start.epoch);
        if let Some(record) = record {
            machine.ballots.observe(record.promised);
        }
        if record.is_none() {
            let ballot = self.next_ballot(number);
            let restore = match start {
                Some(start) if !starts_without_known_value => {
                    Recovery::start_from(ip(number), ballot, &start, &all())
                }
                _ => Recovery::start(ip(number), ballot, &all()),
            };
            let outbox = restore.outbox();
            self.machines[number].run = Some(Run::Recovery(restore));
            self.send(number, outbox);
            return;
        }
        if kind < 2
            && let Some(known) = known
        {
            let learner = Learner::start(&known.value.voters, known.ballot);
            let outbox = learner.outbox();
            machine.run = Some(Run::Poll(learner, known));
            self.send(number, outbox);
            return;
        }
        let Some(start) = start else { return };
        let ballot = self.next_ballot(number);
        let proposal = Proposer::start(ballot, &start);
        let outbox = proposal.outbox();
        let intent = match kind {
            2..=3 => Intent::Read,
            4..=5 => Intent::Toggle(toggled, self.min_voters),
            _ => {
                self.last_id += 1;
                Intent::Append(self.last_id)
            }
        };
        self.machines[number].run = Some(Run::Proposer(proposal, intent));
        self.send(number, outbox);
    }

    fn learn(&mut self, number: usize, value: &AcceptedValue) {
        let machine = &mut self.machines[number];
        machine.acceptor.learn_value(value);
        if machine.known.as_ref().is_none_or(|known| known.ballot < value.ballot) {
            machine.known = Some(value.clone());
        }
    }

    fn on_outcome(&mut self, number: usize, from: usize, reply: Option<&RegisterReply>) {
        match self.machines[number].run {
            None => {}
            Some(Run::Proposer(..)) => self.on_proposer_outcome(number, from, reply),
            Some(Run::Recovery(_)) => self.on_recovery_outcome(number, from, reply),
            Some(Run::Poll(..)) => self.on_poll_outcome(number, from, reply),
            Some(Run::Fetch(..)) => self.on_fetch_outcome(number, reply),
        }
    }

    fn on_proposer_outcome(&mut self, number: usize, from: usize, reply: Option<&RegisterReply>) {
        let begun = self.machines[number].begun;
        let Some(Run::Proposer(proposer, intent)) = &mut self.machines[number].run else { unreachable!() };
        let intent = intent.clone();
        let mut change = |read: &RegisterValue| intent.change(read);
        let step = match reply {
            Some(reply) => proposer.on_reply(ip(from), reply, &mut change),
            None => proposer.on_failure(ip(from), &mut change),
        };
        match step {
            ProposerStep::Wait => {}
            ProposerStep::Send(outbox) => self.send(number, outbox),
            ProposerStep::Done(value) => {
                match intent {
                    Intent::Append(_) => self.counts.appended += 1,
                    Intent::Toggle(..) if value.value.epoch > 0 => self.counts.changed += 1,
                    _ => {}
                }
                self.end_run(number);
                self.learn(number, &value);
                self.history.push(Report::Chosen { begun, value });
            }
            ProposerStep::Lost { seen } => {
                self.end_run(number);
                self.machines[number].ballots.observe(seen);
            }
            ProposerStep::Failed => {
                self.end_run(number);
            }
        }
    }

    fn on_recovery_outcome(&mut self, number: usize, from: usize, reply: Option<&RegisterReply>) {
        let begun = self.machines[number].begun;
        let Some(Run::Recovery(recovery)) = &mut self.machines[number].run else { unreachable!() };
        let step = match reply {
            Some(reply) => recovery.on_reply(ip(from), reply),
            None => recovery.on_failure(ip(from)),
        };
        match step {
            RecoveryStep::Wait => {}
            RecoveryStep::Send(outbox) => self.send(number, outbox),
            RecoveryStep::Done(record) => {
                self.end_run(number);
                let value = record.accepted.clone().unwrap();
                self.machines[number].acceptor.restore(record);
                self.learn(number, &value);
                self.history.push(Report::Chosen { begun, value });
                self.wiped.take_if(|wiped| *wiped == number);
                self.counts.restored += 1;
            }
            RecoveryStep::Lost { seen } => {
                self.end_run(number);
                self.machines[number].ballots.observe(seen);
            }
            RecoveryStep::Failed => {
                self.end_run(number);
            }
        }
    }

    fn on_poll_outcome(&mut self, number: usize, from: usize, reply: Option<&RegisterReply>) {
        let begun = self.machines[number].begun;
        let Some(Run::Poll(learner, known)) = &mut self.machines[number].run else { unreachable!() };
        let outcome = match reply {
            Some(RegisterReply::Polled { accepted, chosen }) => {
                learner.on_polled(ip(from), *accepted, *chosen)
            }
            _ => learner.on_failure(ip(from)),
        };
        let known = known.clone();
        match outcome {
            PollOutcome::Pending => {}
            PollOutcome::Fresh => {
                self.end_run(number);
                self.counts.fresh += 1;
                self.history.push(Report::Fresh { begun, ballot: known.ballot });
            }
            PollOutcome::Behind { from, .. } => {
                let Some(Run::Poll(learner, known)) = self.end_run(number) else { unreachable!() };
                self.machines[number].run = Some(Run::Fetch(learner, known));
                let from = from[self.below(from.len())];
                self.send(number, vec![OutgoingRequest { to: from, request: RegisterRequest::Fetch }]);
            }
            PollOutcome::Undecided | PollOutcome::Failed => {
                self.end_run(number);
            }
        }
    }

    fn on_fetch_outcome(&mut self, number: usize, reply: Option<&RegisterReply>) {
        let Some(Run::Fetch(learner, known)) = self.end_run(number) else { unreachable!() };
        if let Some(RegisterReply::Fetched(Some(value))) = reply
            && learner.confirms(&known.value, value)
        {
            self.counts.learned += 1;
            self.learn(number, value);
            self.history.push(Report::Learned(value.clone()));
        }
    }

    fn deliver(&mut self, position: usize) {
        match self.network.swap_remove(position) {
            Envelope::Request { call, to, request } => {
                let reply = self.machines[to].acceptor.handle(&request).reply;
                self.network.push(Envelope::Reply { call, reply });
            }
            Envelope::Reply { call, reply } => {
                if let Some((number, from)) = self.calls.remove(&call) {
                    self.on_outcome(number, from, Some(&reply));
                }
            }
        }
    }

    fn give_up_call(&mut self) {
        let open: Vec<_> = self.calls.keys().copied().collect();
        if open.is_empty() {
            return;
        }
        let call = open[self.below(open.len())];
        let (number, from) = self.calls.remove(&call).unwrap();
        self.on_outcome(number, from, None);
    }

    /// The process ends and starts again, with its disk.
    fn restart(&mut self, number: usize) {
        self.end_run(number);
        let incarnation = (self.nonce)(self.rng.next_u64());
        let machine = &mut self.machines[number];
        machine.known = None;
        machine.ballots = BallotSource::new(ip(number), incarnation);
        machine.acceptor = machine.acceptor.record().cloned().map_or(Acceptor::recovering(), Acceptor::new);
    }

    fn lose_disk(&mut self, number: usize) {
        if self.wiped.is_none() && self.machines[number].acceptor.record().is_some() {
            self.restart(number);
            self.machines[number].acceptor = Acceptor::recovering();
            self.wiped = Some(number);
        }
    }

    fn gossip(&mut self, from: usize, to: usize) {
        if let Some(value) = self.machines[from].known.clone() {
            self.learn(to, &value);
        }
    }

    fn step(&mut self) {
        let number = self.below(MACHINES);
        let other = self.below(MACHINES);
        match self.below(1000) {
            0..=99 => self.start(number),
            100..=109 => self.restart(number),
            110..=116 => self.lose_disk(number),
            117..=136 => self.gossip(number, other),
            137..=176 => self.give_up_call(),
            177..=999 if self.network.is_empty() => self.start(number),
            kind => {
                let position = self.below(self.network.len());
                match kind {
                    177..=206 => {
                        self.network.swap_remove(position);
                    }
                    207..=236 => {
                        if let again @ Envelope::Request { .. } = &self.network[position] {
                            let again = again.clone();
                            self.network.push(again);
                        }
                    }
                    _ => self.deliver(position),
                }
            }
        }
    }

    /// No more faults: every machine is restored, and one reads the value.
    fn settle(&mut self) {
        for number in 0..MACHINES {
            self.end_run(number);
        }
        for turn in 0..12 * MACHINES {
            let number = turn % MACHINES;
            for other in 0..MACHINES {
                self.gossip(other, number);
            }
            // The second attempt is above the ballot for which the first was rejected.
            for _ in 0..3 {
                self.start(number);
                while let Some(position) = self.network.len().checked_sub(1) {
                    self.deliver(position);
                }
                self.end_run(number);
            }
        }
    }
}

fn ids(value: &AcceptedValue) -> Vec<u32> {
    value.value.payload.chunks(4).map(|id| u32::from_be_bytes(id.try_into().unwrap())).collect()
}

/// The rule that a history violates, if any.
fn history_violation(history: &[Report]) -> Option<String> {
    let chosen: Vec<_> = history
        .iter()
        .filter_map(|report| match report {
            Report::Chosen { value, .. } | Report::Learned(value) => Some(value),
            Report::Fresh { .. } => None,
        })
        .collect();
    let mut ordered = chosen.clone();
    ordered.sort_by_key(|value| value.ballot);
    for pair in ordered.windows(2) {
        let (older, newer) = (&pair[0].value, &pair[1].value);
        let is_same = pair[0].ballot != pair[1].ballot || older == newer;
        if !is_same || !newer.payload.starts_with(&older.payload) || newer.epoch < older.epoch {
            return Some(format!("no chain: {:?} {:?}", pair[0], pair[1]));
        }
        if newer.epoch == older.epoch
            && BTreeSet::from_iter(&newer.voters) != BTreeSet::from_iter(&older.voters)
        {
            return Some(format!("two sets of voters in one epoch: {older:?} {newer:?}"));
        }
    }
    for value in &chosen {
        let ids = ids(value);
        if BTreeSet::from_iter(&ids).len() != ids.len() {
            return Some(format!("a change was made twice: {ids:?}"));
        }
    }
    for report in history {
        let (begun, ballot) = match report {
            Report::Chosen { begun, value } => (*begun, value.ballot),
            Report::Fresh { begun, ballot } => (*begun, *ballot),
            Report::Learned(_) => continue,
        };
        for earlier in &history[..begun] {
            if let Report::Chosen { value, .. } | Report::Learned(value) = earlier
                && value.ballot > ballot
            {
                return Some(format!("{report:?} misses {value:?}, which was reported before it began"));
            }
        }
    }
    None
}

fn run(seed: u64, steps: usize, nonce: fn(u64) -> u64) -> (Option<String>, Counts) {
    let mut fleet = Fleet::new(seed, nonce);
    for _ in 0..steps {
        fleet.step();
    }
    let counts = fleet.counts;
    let calm = fleet.history.len();
    fleet.settle();
    let unfit = fleet.machines.iter().filter(|machine| machine.acceptor.record().is_none()).count();
    let is_alive = fleet.history[calm..]
        .iter()
        .any(|report| matches!(report, Report::Chosen { begun, .. } if *begun >= calm));
    // Where one of two voters loses its disk during two changes, the register makes no progress rather than guess.
    let must_live = fleet.min_voters > 2;
    let stuck = (must_live && (unfit > 0 || !is_alive))
        .then(|| format!("stuck without faults, {unfit} machines unfit"));
    let shared = fleet.shared.map(|ballot| format!("two runs under {ballot:?}"));
    (history_violation(&fleet.history).or(shared).or(stuck), counts)
}

#[gtest]
fn random_schedules_preserve_one_chain_of_changes() {
    let mut total = Counts::default();
    for seed in 0..3000 {
        let (fault, counts) = run(seed, 1000, |drawn| drawn);
        assert_that!(fault, none(), "seed {seed}");
        total.appended += counts.appended;
        total.changed += counts.changed;
        total.restored += counts.restored;
        total.fresh += counts.fresh;
        total.learned += counts.learned;
    }

    println!("{total:?}");
    // Without these the schedules would prove little.
    expect_that!(total.appended, gt(4000));
    expect_that!(total.changed, gt(4000));
    expect_that!(total.restored, gt(4000));
    expect_that!(total.fresh, gt(1000));
    expect_that!(total.learned, gt(1000));
}

#[gtest]
fn the_checker_detects_incarnations_without_a_nonce() {
    let violations: Vec<String> = (0..300).filter_map(|seed| run(seed, 1000, |_| 0).0).collect();

    let shared = violations.iter().filter(|what| what.starts_with("two runs under")).count();
    println!("{shared} of 300 schedules share a ballot");
    expect_that!(shared, gt(200));
}

#[gtest]
fn the_checker_detects_a_lost_change() {
    let value = |round, ids: &[u32]| AcceptedValue {
        ballot: Ballot { round, proposer: 1, incarnation: 0 },
        value: RegisterValue {
            payload: Bytes::from_iter(ids.iter().flat_map(|id| id.to_be_bytes())),
            ..Default::default()
        },
    };

    let lost = [
        Report::Chosen { begun: 0, value: value(1, &[1]) },
        Report::Chosen { begun: 0, value: value(2, &[2]) },
    ];
    let stale = [
        Report::Learned(value(2, &[2])),
        Report::Fresh { begun: 1, ballot: Ballot { round: 1, proposer: 1, incarnation: 0 } },
    ];
    let valid = [Report::Chosen { begun: 0, value: value(2, &[1, 2]) }, Report::Learned(value(1, &[1]))];

    expect_that!(history_violation(&lost), some(starts_with("no chain")));
    expect_that!(history_violation(&stale), some(contains_substring("misses")));
    expect_that!(history_violation(&valid), none());
}
