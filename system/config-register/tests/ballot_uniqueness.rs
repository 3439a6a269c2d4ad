//! Ballots over the cluster of machines: disks are kept, lost or put back from an older copy, processes freeze and end at any
//! time, and what others used is heard of or not. No clock is among what happens, since a source is given none.

use bytes::Bytes;
use config_register::{
    Acceptor, BallotSource, Change, OutgoingRequest, Proposer, ProposerStep, Recovery, RecoveryStep,
    founding_record,
};
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest, RegisterValue};
use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

const A: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const B: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const C: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 3);
const PROPOSER: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 1);
const VOTERS: [Ipv4Addr; 3] = [A, B, C];

/// A process over its disk.
struct Incarnation {
    ballots: BallotSource,
    last: Option<Ballot>,
    highest_seen: Ballot,
}

struct Machine {
    ip: Ipv4Addr,
    /// The promise on its disk.
    disk: Option<Ballot>,
    older_copy: Option<Ballot>,
    incarnation: Incarnation,
}

struct Cluster {
    rng: ChaCha8Rng,
    nonce: fn(u64) -> u64,
    machines: Vec<Machine>,
    made: Vec<Ballot>,
}

impl Cluster {
    fn new(seed: u64, nonce: fn(u64) -> u64) -> Self {
        let mut cluster =
            Self { rng: ChaCha8Rng::seed_from_u64(seed), nonce, machines: vec![], made: vec![] };
        for ip in VOTERS {
            let incarnation = cluster.start(ip, None);
            cluster.machines.push(Machine { ip, disk: None, older_copy: None, incarnation });
        }
        cluster
    }

    fn below(&mut self, bound: usize) -> usize {
        self.rng.next_u32() as usize % bound
    }

    fn start(&mut self, ip: Ipv4Addr, disk: Option<Ballot>) -> Incarnation {
        let mut ballots = BallotSource::new(ip, (self.nonce)(self.rng.next_u64()));
        if let Some(promised) = disk {
            ballots.observe(promised);
        }
        Incarnation { ballots, last: None, highest_seen: disk.unwrap_or_default() }
    }

    fn restart(&mut self, number: usize) {
        let (ip, disk) = (self.machines[number].ip, self.machines[number].disk);
        self.machines[number].incarnation = self.start(ip, disk);
    }

    fn run(&mut self, number: usize) {
        let reaches_disk = self.below(2) == 0;
        let machine = &mut self.machines[number];
        let ballot = machine.incarnation.ballots.next_ballot();
        assert!(Some(ballot) > machine.incarnation.last && ballot > machine.incarnation.highest_seen);
        machine.incarnation.last = Some(ballot);
        if reaches_disk {
            machine.disk = machine.disk.max(Some(ballot));
        }
        self.made.push(ballot);
    }

    /// It observes another's ballot, by a rejection, a poll or a Prepare; a frozen node observes none.
    fn observe_other(&mut self, number: usize) {
        let Some(last) = self.made.len().checked_sub(1) else { return };
        let position = self.below(last + 1);
        let other = self.made[position];
        let promises = self.below(2) == 0;
        let machine = &mut self.machines[number];
        machine.incarnation.ballots.observe(other);
        machine.incarnation.highest_seen = machine.incarnation.highest_seen.max(other);
        if promises {
            machine.disk = machine.disk.max(Some(other));
        }
    }

    fn step(&mut self) {
        let number = self.below(VOTERS.len());
        match self.below(20) {
            0..=8 => self.run(number),
            9..=14 => self.observe_other(number),
            15 => self.machines[number].older_copy = self.machines[number].disk,
            16 => {
                self.machines[number].disk = self.machines[number].older_copy;
                self.restart(number);
            }
            17 => {
                self.machines[number].disk = None;
                self.restart(number);
            }
            _ => self.restart(number),
        }
    }

    fn shares_a_ballot(&self) -> bool {
        BTreeSet::from_iter(&self.made).len() < self.made.len()
    }
}

fn sharing(schedules: u64, nonce: fn(u64) -> u64) -> usize {
    let shares = |seed| {
        let mut cluster = Cluster::new(seed, nonce);
        (0..400).for_each(|_| cluster.step());
        cluster.shares_a_ballot()
    };
    (0..schedules).filter(|seed| shares(*seed)).count()
}

#[gtest]
fn no_two_attempts_share_a_ballot_whatever_disks_are_lost() {
    expect_that!(sharing(2_000, |random| random), eq(0));
}

#[gtest]
fn the_check_detects_shared_ballots_with_a_short_nonce() {
    expect_that!(sharing(200, |_| 0), gt(100));
    expect_that!(sharing(200, |random| random & 0xf), gt(100));
}

#[gtest]
fn an_out_of_range_ballot_is_not_followed() {
    let mut ballots = BallotSource::new(A, 7);
    ballots.observe(Ballot { round: 5, proposer: 9, incarnation: 1 });
    ballots.observe(Ballot { round: u64::MAX, proposer: 9, incarnation: 1 });

    expect_that!(ballots.next_ballot(), eq(Ballot { round: 6, proposer: u32::from(A), incarnation: 7 }));
    expect_that!(ballots.next_ballot(), eq(Ballot { round: 7, proposer: u32::from(A), incarnation: 7 }));
}

#[gtest]
fn ballots_of_two_incarnations_in_one_round_are_ordered() {
    let (mut one, mut other) = (BallotSource::new(A, 1), BallotSource::new(A, 2));
    let (one, other) = (one.next_ballot(), other.next_ballot());

    // A promise to the later holds against the earlier, and an acceptor tells their values apart.
    let mut acceptor = Acceptor::new(founding_record(VOTERS.to_vec()));
    acceptor.handle(&RegisterRequest::Prepare(other));
    expect_that!(acceptor.handle(&RegisterRequest::Prepare(one)).reply, eq(&RegisterReply::Rejected(other)));
}

/// Voters in memory, which answer at once.
struct Fleet(BTreeMap<Ipv4Addr, Acceptor>);

impl Fleet {
    /// All have promised this ballot.
    fn with_promise(promised: Ballot) -> Self {
        let mut acceptor = Acceptor::new(founding_record(VOTERS.to_vec()));
        acceptor.handle(&RegisterRequest::Prepare(promised));
        Self(VOTERS.map(|ip| (ip, acceptor.clone())).into())
    }

    /// A run that reaches these machines; it keeps what it reads if there is nothing to write.
    fn propose_to(&mut self, reach: &[Ipv4Addr], ballot: Ballot, payload: &'static str) -> ProposerStep {
        let mut change = |_: &RegisterValue| match payload {
            "" => Change::Keep,
            payload => Change::Set(payload.into()),
        };
        let mut run = Proposer::start(ballot, &founding());
        let mut queue = run.outbox();
        while !queue.is_empty() {
            let OutgoingRequest { to, request } = queue.remove(0);
            let step = match reach.contains(&to) {
                true => run.on_reply(to, &self.0.get_mut(&to).unwrap().handle(&request).reply, &mut change),
                false => run.on_failure(to, &mut change),
            };
            match step {
                ProposerStep::Wait => {}
                ProposerStep::Send(outbox) => queue.extend(outbox),
                end => return end,
            }
        }
        ProposerStep::Wait
    }

    fn restore(&mut self, me: Ipv4Addr, ballot: Ballot) -> RecoveryStep {
        let mut restore = Recovery::start_from(me, ballot, &founding(), &VOTERS);
        let mut queue = restore.outbox();
        while !queue.is_empty() {
            let OutgoingRequest { to, request } = queue.remove(0);
            let reply = self.0.get_mut(&to).unwrap().handle(&request).reply;
            match restore.on_reply(to, &reply) {
                RecoveryStep::Wait => {}
                RecoveryStep::Send(outbox) => queue.extend(outbox),
                end => return end,
            }
        }
        RecoveryStep::Wait
    }
}

fn founding() -> RegisterValue {
    founding_record(VOTERS.to_vec()).chosen_voters.unwrap()
}

#[gtest]
fn an_incarnation_without_knowledge_succeeds_after_one_rejection() {
    // Given a fleet that is at round 1,000,000, and A back with an empty disk and a clock that stands anywhere.
    let promised = Ballot { round: 1_000_000, proposer: u32::from(B), incarnation: 3 };
    let mut fleet = Fleet::with_promise(promised);
    fleet.0.insert(A, Acceptor::recovering());
    let mut ballots = BallotSource::new(A, 4);
    // When it is to be restored, then the refusal tells how far the others are, and the next run is above it.
    let RecoveryStep::Lost { seen } = fleet.restore(A, ballots.next_ballot()) else { panic!("not refused") };
    ballots.observe(seen);
    let RecoveryStep::Done(record) = fleet.restore(A, ballots.next_ballot()) else { panic!("not restored") };
    expect_that!(record.promised > promised, eq(true));
    // And so for a proposer, such as one that joins.
    let mut ballots = BallotSource::new(C, 5);
    let ProposerStep::Lost { seen } = fleet.propose_to(&VOTERS, ballots.next_ballot(), "x") else {
        panic!("not refused")
    };
    ballots.observe(seen);
    expect_that!(
        fleet.propose_to(&VOTERS, ballots.next_ballot(), "x"),
        matches_pattern!(ProposerStep::Done(_))
    );
}

/// What a reader finds when two cluster of one proposer run in the first round under these nonces, and an Accept of the first one
/// comes late.
fn read_after_a_late_accept(nonces: [u64; 2]) -> Bytes {
    let mut voters = Fleet(VOTERS.map(|ip| (ip, Acceptor::new(founding_record(VOTERS.to_vec())))).into());
    // Given a run that ends with its life before its Accept has arrived anywhere but at A,
    let first = BallotSource::new(PROPOSER, nonces[0]).next_ballot();
    let late =
        AcceptedValue { ballot: first, value: RegisterValue { payload: "first".into(), ..founding() } };
    voters.0.get_mut(&A).unwrap().handle(&RegisterRequest::Prepare(first));
    voters.0.get_mut(&B).unwrap().handle(&RegisterRequest::Prepare(first));
    voters.0.get_mut(&A).unwrap().handle(&RegisterRequest::Accept(late.clone()));
    // and a run of the next life, which the disk's loss has left without memory, that has its value chosen by B and C,
    let mut ballots = BallotSource::new(PROPOSER, nonces[1]);
    voters.0.get_mut(&A).unwrap().handle(&RegisterRequest::Prepare(first));
    let mut second = voters.propose_to(&[B, C], ballots.next_ballot(), "second");
    if let ProposerStep::Lost { seen } = second {
        ballots.observe(seen);
        second = voters.propose_to(&[B, C], ballots.next_ballot(), "second");
    }
    assert_that!(second, matches_pattern!(ProposerStep::Done(_)));
    // when the Accept of the first comes to B, then a reader of A and B is told this.
    voters.0.get_mut(&B).unwrap().handle(&RegisterRequest::Accept(late));
    let read = voters.propose_to(&[A, B], Ballot { round: 9, proposer: 9, incarnation: 9 }, "");
    let ProposerStep::Done(read) = read else { panic!("{read:?}") };
    read.value.payload
}

#[gtest]
fn a_shared_ballot_and_a_late_accept_lose_a_chosen_change() {
    expect_that!(read_after_a_late_accept([1, 1]), eq(&Bytes::from("first")));
    expect_that!(read_after_a_late_accept([1, 2]), eq(&Bytes::from("second")));
    expect_that!(read_after_a_late_accept([2, 1]), eq(&Bytes::from("second")));
}

#[gtest]
fn a_recovery_ballot_is_above_a_flood_of_others() {
    // Given a replica whose first attempt was refused in the midst of others' runs, which have gone on since,
    let (mut other, mut own) = (BallotSource::new(A, 1), BallotSource::new(B, 2));
    let seen = (0..1_000).map(|_| other.next_ballot()).last().unwrap();
    own.observe(seen);
    let newest = (0..20).map(|_| other.next_ballot()).last().unwrap();
    // when it tries again, then its ballot is above theirs, and theirs are above it once they have heard of it.
    let recovery = own.recovery_ballot();
    expect_that!(recovery, gt(newest));
    other.observe(recovery);
    expect_that!(other.next_ballot(), gt(recovery));
    expect_that!(own.next_ballot(), gt(recovery));
}
