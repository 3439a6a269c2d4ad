//! Contention among proposers in simulated time, with a value that takes long to transfer.

use bytes::Bytes;
use config_register::{
    Acceptor, BallotSource, Change, Outbox, OutgoingRequest, Proposer, ProposerBackoff, ProposerStep,
    founding_record,
};
use fleet_model::{Ballot, RegisterReply, RegisterRequest, RegisterValue};
use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Latency of a request or reply without the value, in milliseconds.
const SMALL_MESSAGE_MS: u64 = 2;
/// Time to send one copy of the value on a node's link, in milliseconds.
const VALUE_TRANSFER_MS: u64 = 9;

fn ballot(round: u64, proposer: u8) -> Ballot {
    Ballot { round, proposer: u32::from(machine(proposer)), incarnation: 0 }
}

/// The ballot above `seen` of a proposer whose incarnation is 0.
fn next_round(seen: Ballot, me: Ipv4Addr) -> Ballot {
    let mut ballots = BallotSource::new(me, 0);
    ballots.observe(seen);
    ballots.next_ballot()
}

fn machine(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

#[gtest]
fn a_ballot_starts_at_once_without_competition() {
    // Given a proposer that has heard nothing.
    let backoff = ProposerBackoff::default();
    // Then it does not wait.
    expect_that!(backoff.remaining_delay_ms(1_000), eq(0));
}

#[gtest]
fn a_competing_ballot_is_deferred_to_until_chosen_or_timed_out() {
    // Given a run of another that was heard at 1,000 and, going on, at 1,100.
    let mut backoff = ProposerBackoff::default();
    backoff.on_competing_ballot(1_000, ballot(5, 2));
    backoff.on_competing_ballot(1_100, ballot(5, 2));
    // Then a run here waits from the last sign of life on, and no longer once that is long ago.
    expect_that!(backoff.remaining_delay_ms(1_150), eq(150));
    expect_that!(backoff.remaining_delay_ms(1_300), eq(0));
    // When an older ballot turns out to be chosen, then the newer run is still under way.
    backoff.on_chosen(ballot(4, 3));
    expect_that!(backoff.remaining_delay_ms(1_150), eq(150));
    // When its own is chosen, then the way is free.
    backoff.on_chosen(ballot(5, 2));
    expect_that!(backoff.remaining_delay_ms(1_150), eq(0));
}

#[gtest]
fn backoff_grows_until_a_ballot_is_won() {
    // Given a proposer whose runs for several changes were all lost.
    let mut backoff = ProposerBackoff::default();
    for _ in 0..3 {
        backoff.on_lost(0, 63);
    }
    // Then the pause is random from four times the first span.
    expect_that!(backoff.remaining_delay_ms(0), eq(67));
    // When a run is won, then the next pause is random from the first span again.
    backoff.reset();
    backoff.on_lost(0, 63);
    expect_that!(backoff.remaining_delay_ms(0), eq(19));
}

enum Event {
    Wake(u8),
    Request { to: u8, from: u8, run: Ballot, request: RegisterRequest },
    Reply { to: u8, from: u8, run: Ballot, reply: RegisterReply },
}

struct Machine {
    acceptor: Acceptor,
    backoff: ProposerBackoff,
    run: Option<Proposer>,
    seen: Ballot,
    /// When its link has carried all it was given.
    link_free: u64,
    /// When its disk has synced all votes.
    disk_free: u64,
    done: bool,
}

struct Fleet {
    machines: BTreeMap<u8, Machine>,
    events: BTreeMap<(u64, u64), Event>,
    events_made: u64,
    now: u64,
    random: ChaCha8Rng,
    chosen: RegisterValue,
    /// How long the disk takes for a vote.
    vote_ms: u64,
}

impl Fleet {
    fn new(count: u8, seed: u64) -> Self {
        let record = founding_record((1..=count).map(machine).collect());
        let chosen = record.accepted.clone().unwrap().value;
        let new = |number| {
            let machine = Machine {
                acceptor: Acceptor::new(record.clone()),
                backoff: ProposerBackoff::default(),
                run: None,
                seen: Ballot::default(),
                link_free: 0,
                disk_free: 0,
                done: false,
            };
            (number, machine)
        };
        let machines = (1..=count).map(new).collect();
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { machines, events: BTreeMap::new(), events_made: 0, now: 0, random, chosen, vote_ms: 0 }
    }

    fn with_slow_disks(mut self, vote_ms: u64) -> Self {
        self.vote_ms = vote_ms;
        self.machines.values_mut().for_each(|machine| machine.backoff.set_vote_delay(vote_ms));
        self
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events_made += 1;
        self.events.insert((at, self.events_made), event);
    }

    /// When what a machine sends now arrives.
    fn arrival_time(&mut self, sender: u8, is_large: bool) -> u64 {
        let sender = self.machines.get_mut(&sender).unwrap();
        let takes = if is_large { VALUE_TRANSFER_MS } else { 0 };
        sender.link_free = sender.link_free.max(self.now) + takes;
        sender.link_free + SMALL_MESSAGE_MS
    }

    fn send(&mut self, from: u8, run: Ballot, requests: Outbox) {
        for OutgoingRequest { to: ip, request } in requests {
            let at = self.arrival_time(from, matches!(request, RegisterRequest::Accept(_)));
            self.schedule(at, Event::Request { to: ip.octets()[3], from, run, request });
        }
    }

    fn wake(&mut self, number: u8) {
        let again = self.now + 10 + u64::from(self.random.next_u32()) % 15;
        let machine = self.machines.get_mut(&number).unwrap();
        if machine.done || machine.run.is_some() {
            return;
        }
        if machine.backoff.remaining_delay_ms(self.now) > 0 {
            return self.schedule(again, Event::Wake(number));
        }
        let ballot = next_round(machine.seen, Ipv4Addr::new(10, 0, 0, number));
        machine.seen = ballot;
        let proposal = Proposer::start(ballot, &self.chosen);
        let requests = proposal.outbox();
        machine.run = Some(proposal);
        self.send(number, ballot, requests);
    }

    fn request(&mut self, to: u8, from: u8, run: Ballot, request: &RegisterRequest) {
        let machine = self.machines.get_mut(&to).unwrap();
        let reply = machine.acceptor.handle(request).reply;
        let is_granted = matches!(reply, RegisterReply::Promised(_) | RegisterReply::Accepted);
        if from != to && is_granted {
            machine.backoff.on_competing_ballot(self.now, run);
        }
        machine.seen = machine.seen.max(run);
        let mut at = self.arrival_time(to, matches!(reply, RegisterReply::Promised(_)));
        if is_granted {
            let machine = self.machines.get_mut(&to).unwrap();
            machine.disk_free = machine.disk_free.max(self.now) + self.vote_ms;
            at += machine.disk_free - self.now;
        }
        self.schedule(at, Event::Reply { to: from, from: to, run, reply });
    }

    fn reply(&mut self, to: u8, from: u8, run: Ballot, reply: &RegisterReply) {
        let random = u64::from(self.random.next_u32());
        let machine = self.machines.get_mut(&to).unwrap();
        let Some(proposal) = machine.run.as_mut().filter(|proposal| proposal.ballot() == run) else { return };
        let mut change = |_: &RegisterValue| Change::Set(Bytes::from(vec![to]));
        match proposal.on_reply(Ipv4Addr::new(10, 0, 0, from), reply, &mut change) {
            ProposerStep::Wait => {}
            ProposerStep::Send(requests) => self.send(to, run, requests),
            ProposerStep::Done(value) => {
                machine.run = None;
                machine.done = true;
                machine.backoff.reset();
                self.chosen = value.value;
                for machine in self.machines.values_mut() {
                    machine.backoff.on_chosen(run);
                }
            }
            ProposerStep::Lost { .. } | ProposerStep::Failed => {
                machine.run = None;
                machine.backoff.on_lost(self.now, random);
                self.schedule(self.now + 1, Event::Wake(to));
            }
        }
    }

    /// Runs until this time; returns how many nodes have had their change chosen.
    fn run_until(&mut self, until: u64) -> usize {
        while let Some(((at, _), event)) = self.events.pop_first()
            && at <= until
        {
            self.now = at;
            match event {
                Event::Wake(number) => self.wake(number),
                Event::Request { to, from, run, request } => self.request(to, from, run, &request),
                Event::Reply { to, from, run, reply } => self.reply(to, from, run, &reply),
            }
        }
        self.machines.values().filter(|machine| machine.done).count()
    }
}

#[gtest]
fn all_proposers_of_a_large_value_succeed() {
    for seed in 0..50 {
        // Given eight machines, and a value that takes a tenth of a second to be carried to all of them.
        let mut fleet = Fleet::new(8, seed);
        // When all want a change within 20 ms.
        for number in 1..=8 {
            let at = u64::from(fleet.random.next_u32()) % 20;
            fleet.schedule(at, Event::Wake(number));
        }
        // Then every change is chosen within four seconds.
        expect_that!(fleet.run_until(4_000), eq(8), "seed {}", seed);
    }
}

#[gtest]
fn ballots_on_slow_disks_overlap_for_ever() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(4, seed).with_slow_disks(250);
        for number in 1..=4 {
            let at = u64::from(fleet.random.next_u32()) % 20;
            fleet.schedule(at, Event::Wake(number));
        }
        expect_that!(fleet.run_until(15_000), eq(4), "seed {}", seed);
    }
}
