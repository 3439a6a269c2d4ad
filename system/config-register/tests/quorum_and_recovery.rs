//! Quorum loss, voter changes and recovery in a small in-memory cluster; each test states which nodes a phase reaches.

use bytes::Bytes;
use config_register::{
    Acceptor, AcceptorRecord, AcceptorResponse, BallotSource, Change, Learner, Outbox, OutgoingRequest,
    PollOutcome, Proposer, ProposerStep, Recovery, RecoveryStep, VoterState, founding_record,
    known_chosen_value,
};
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest, RegisterValue};
use googletest::prelude::*;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

const A: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const B: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const C: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 3);
const D: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 4);
const E: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 5);
const P: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 1);
const Q: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 2);
const ALL: [Ipv4Addr; 5] = [A, B, C, D, E];

fn ballot(round: u64, proposer: Ipv4Addr) -> Ballot {
    Ballot { round, proposer: u32::from(proposer), incarnation: 0 }
}

/// The ballot above `seen` of a proposer whose incarnation is 0.
fn next_round(seen: Ballot, me: Ipv4Addr) -> Ballot {
    let mut ballots = BallotSource::new(me, 0);
    ballots.observe(seen);
    ballots.next_ballot()
}

fn founding() -> RegisterValue {
    RegisterValue { epoch: 0, voters: vec![A, B, C], payload: Bytes::new() }
}

/// Sets `to` if the payload is `from`.
fn replace(from: &'static str, to: &'static str) -> impl FnMut(&RegisterValue) -> Change {
    move |read| if read.payload == from.as_bytes() { Change::Set(to.into()) } else { Change::Keep }
}

fn keep(_: &RegisterValue) -> Change {
    Change::Keep
}

fn voters(voters: &[Ipv4Addr]) -> impl FnMut(&RegisterValue) -> Change {
    move |_| Change::Voters(voters.to_vec())
}

struct Fleet {
    acceptors: BTreeMap<Ipv4Addr, Acceptor>,
}

impl Fleet {
    /// A, B and C are founded; D and E have joined without a vote.
    fn new() -> Self {
        let founded = founding_record(vec![A, B, C]);
        let joined = AcceptorRecord { voter_state: VoterState::NonVoter, ..founded.clone() };
        let record = |ip| if [A, B, C].contains(&ip) { founded.clone() } else { joined.clone() };
        Self { acceptors: ALL.into_iter().map(|ip| (ip, Acceptor::new(record(ip)))).collect() }
    }

    fn handle(&mut self, to: Ipv4Addr, request: &RegisterRequest) -> RegisterReply {
        self.acceptors.get_mut(&to).unwrap().handle(request).reply
    }

    /// Carries the requests to those in `reach`, and what they set off, until a run ends or starts its second round
    /// with `stop_at_accept`. Requests to others fail.
    fn carry(
        &mut self,
        run: &mut Proposer,
        outbox: Outbox,
        reach: &[Ipv4Addr],
        change: &mut dyn FnMut(&RegisterValue) -> Change,
        stop_at_accept: bool,
    ) -> ProposerStep {
        let mut queue: std::collections::VecDeque<_> = outbox.into();
        while let Some(OutgoingRequest { to, request }) = queue.pop_front() {
            let step = if reach.contains(&to) {
                let reply = self.handle(to, &request);
                run.on_reply(to, &reply, change)
            } else {
                run.on_failure(to, change)
            };
            match step {
                ProposerStep::Wait => {}
                ProposerStep::Send(outbox) => {
                    if stop_at_accept && matches!(outbox[0].request, RegisterRequest::Accept(_)) {
                        return ProposerStep::Send(outbox);
                    }
                    queue.extend(outbox);
                }
                end => return end,
            }
        }
        ProposerStep::Wait
    }

    /// A complete attempt.
    fn run(
        &mut self,
        ballot: Ballot,
        known: &RegisterValue,
        reach: &[Ipv4Addr],
        mut change: impl FnMut(&RegisterValue) -> Change,
    ) -> ProposerStep {
        let mut run = Proposer::start(ballot, known);
        let outbox = run.outbox();
        self.carry(&mut run, outbox, reach, &mut change, false)
    }

    /// A run that stops before its second round: the run and the requests that it would send.
    fn freeze(
        &mut self,
        ballot: Ballot,
        known: &RegisterValue,
        reach: &[Ipv4Addr],
        mut change: impl FnMut(&RegisterValue) -> Change,
    ) -> (Proposer, Outbox) {
        let mut run = Proposer::start(ballot, known);
        let outbox = run.outbox();
        let ProposerStep::Send(outbox) = self.carry(&mut run, outbox, reach, &mut change, true) else {
            panic!("no second round")
        };
        (run, outbox)
    }

    fn lose_disk(&mut self, ip: Ipv4Addr) {
        self.acceptors.insert(ip, Acceptor::recovering());
    }

    fn restore(&mut self, me: Ipv4Addr, mut restore: Recovery, reach: &[Ipv4Addr]) -> RecoveryStep {
        let mut queue: std::collections::VecDeque<_> = restore.outbox().into();
        while let Some(OutgoingRequest { to, request }) = queue.pop_front() {
            let step = if reach.contains(&to) {
                let reply = self.handle(to, &request);
                restore.on_reply(to, &reply)
            } else {
                restore.on_failure(to)
            };
            match step {
                RecoveryStep::Wait => {}
                RecoveryStep::Send(outbox) => queue.extend(outbox),
                RecoveryStep::Done(record) => {
                    self.acceptors.get_mut(&me).unwrap().restore(record.clone());
                    return RecoveryStep::Done(record);
                }
                end => return end,
            }
        }
        RecoveryStep::Wait
    }

    fn accepted(&self, ip: Ipv4Addr) -> AcceptedValue {
        self.acceptors[&ip].record().unwrap().accepted.clone().unwrap()
    }
}

fn done(step: ProposerStep) -> AcceptedValue {
    let ProposerStep::Done(value) = step else { panic!("{step:?}") };
    value
}

fn payload(step: ProposerStep) -> String {
    String::from_utf8(done(step).value.payload.to_vec()).unwrap()
}

#[gtest]
fn a_change_is_chosen_at_a_majority_and_read_without_a_second_round() {
    let mut fleet = Fleet::new();

    let written = fleet.run(ballot(1, P), &founding(), &[A, B], replace("", "x"));
    let read = fleet.run(ballot(2, Q), &founding(), &[A, B], keep);

    expect_that!(done(written).ballot, eq(ballot(1, P)));
    let read = done(read);
    expect_that!(read.ballot, eq(ballot(1, P)));
    expect_that!(read.value.payload, eq(&Bytes::from("x")));
}

#[gtest]
fn a_voter_with_an_empty_disk_does_not_answer_until_it_recovers() {
    let mut fleet = Fleet::new();
    fleet.run(ballot(1, P), &founding(), &[A, B], replace("", "x"));
    fleet.lose_disk(A);

    for request in [
        RegisterRequest::Prepare(ballot(2, Q)),
        RegisterRequest::Accept(AcceptedValue { ballot: ballot(2, Q), value: founding() }),
        RegisterRequest::Poll { chosen: ballot(1, P) },
        RegisterRequest::Fetch,
    ] {
        expect_that!(fleet.handle(A, &request), eq(&RegisterReply::Recovering));
    }
    // C never heard of the change, and A has lost it.
    expect_that!(fleet.run(ballot(2, Q), &founding(), &[A, C], keep), eq(&ProposerStep::Failed));

    let one_other = fleet.restore(A, Recovery::start_from(A, ballot(3, A), &founding(), &ALL), &[C]);
    expect_that!(one_other, eq(&RecoveryStep::Failed));
    let both = fleet.restore(A, Recovery::start_from(A, ballot(4, A), &founding(), &ALL), &[B, C]);
    let RecoveryStep::Done(record) = both else { panic!("{both:?}") };
    expect_that!(record.promised, eq(ballot(4, A)));
    expect_that!(record.voter_state, eq(VoterState::Voter));
    expect_that!(payload(fleet.run(ballot(5, Q), &founding(), &[A, C], keep)), eq("x"));
}

#[gtest]
fn a_recovery_reports_a_higher_ballot() {
    let mut fleet = Fleet::new();
    fleet.run(ballot(7, P), &founding(), &ALL, replace("", "x"));
    fleet.lose_disk(A);

    let step = fleet.restore(A, Recovery::start(A, ballot(1, A), &ALL), &ALL);

    expect_that!(step, eq(&RecoveryStep::Lost { seen: ballot(7, P) }));
    let again = fleet.restore(A, Recovery::start(A, next_round(ballot(7, P), A), &ALL), &ALL);
    expect_that!(again, matches_pattern!(RecoveryStep::Done(_)));
}

#[gtest]
fn a_late_accept_from_before_a_recovery_is_rejected() {
    let mut fleet = Fleet::new();
    let (_, late) = fleet.freeze(ballot(1, P), &founding(), &[A, B], replace("", "late"));
    fleet.lose_disk(A);
    fleet.restore(A, Recovery::start_from(A, ballot(2, A), &founding(), &ALL), &[B, C]);

    for OutgoingRequest { to, request } in late {
        expect_that!(fleet.handle(to, &request), eq(&RegisterReply::Rejected(ballot(2, A))));
    }
}

#[gtest]
fn a_promise_forgotten_by_a_recovered_voter_does_not_hide_a_later_change() {
    // Given a run whose Prepare has reached A alone,
    let mut fleet = Fleet::new();
    let mut slow = Proposer::start(ballot(10, P), &founding());
    let prepare = RegisterRequest::Prepare(ballot(10, P));
    let from_a = fleet.handle(A, &prepare);
    expect_that!(slow.on_reply(A, &from_a, &mut replace("", "slow")), eq(&ProposerStep::Wait));
    // and A restored below its ballot, after it lost its disk and the promise with it,
    fleet.lose_disk(A);
    let restored = fleet.restore(A, Recovery::start_from(A, ballot(1, A), &founding(), &ALL), &[B, C]);
    expect_that!(restored, matches_pattern!(RecoveryStep::Done(_)));
    // and a change chosen by A and B,
    expect_that!(payload(fleet.run(ballot(2, Q), &founding(), &[A, B], replace("", "kept"))), eq("kept"));

    // when the Prepare reaches C, then the run asks A again and finds the change.
    let from_c = fleet.handle(C, &prepare);
    let step = slow.on_reply(C, &from_c, &mut replace("", "slow"));
    expect_that!(step, eq(&ProposerStep::Send(vec![OutgoingRequest { to: A, request: prepare }])));
    let ProposerStep::Send(outbox) = step else { unreachable!() };
    let step = fleet.carry(&mut slow, outbox, &[A, C], &mut replace("", "slow"), false);
    expect_that!(payload(step), eq("kept"));
}

#[gtest]
fn a_proposer_frozen_between_its_rounds_loses_to_a_change_made_meanwhile() {
    let mut fleet = Fleet::new();
    let (mut frozen, outbox) = fleet.freeze(ballot(1, P), &founding(), &[A, B, C], replace("", "frozen"));
    expect_that!(payload(fleet.run(ballot(2, Q), &founding(), &[B, C], replace("", "awake"))), eq("awake"));

    let step = fleet.carry(&mut frozen, outbox, &[A, B, C], &mut keep, false);

    expect_that!(step, eq(&ProposerStep::Lost { seen: ballot(2, Q) }));
    // A has accepted the lost value, under the lower ballot: readers take the other.
    expect_that!(payload(fleet.run(ballot(3, P), &founding(), &[A, B], keep)), eq("awake"));
}

#[gtest]
fn of_two_proposers_on_one_version_one_wins() {
    let mut fleet = Fleet::new();
    let (mut first, outbox) = fleet.freeze(ballot(1, P), &founding(), &[A, B, C], replace("", "first"));
    let second = fleet.run(ballot(2, Q), &founding(), &[A, B, C], replace("", "second"));
    expect_that!(payload(second), eq("second"));

    let step = fleet.carry(&mut first, outbox, &[A, B, C], &mut keep, false);
    let ProposerStep::Lost { seen } = step else { panic!("{step:?}") };
    let again = fleet.run(next_round(seen, P), &founding(), &[A, B, C], replace("", "first"));

    // Its expectation fails now.
    expect_that!(payload(again), eq("second"));
}

#[gtest]
fn a_change_repeated_after_a_newer_one_changes_nothing() {
    let mut fleet = Fleet::new();
    fleet.run(ballot(1, P), &founding(), &[A, B, C], replace("", "old"));
    fleet.run(ballot(2, Q), &founding(), &[A, B, C], replace("old", "new"));

    let repeated = fleet.run(ballot(3, P), &founding(), &[A, B, C], replace("", "old"));

    expect_that!(payload(repeated), eq("new"));
}

#[gtest]
fn a_reader_completes_a_value_accepted_by_a_minority() {
    let mut fleet = Fleet::new();
    let (_, outbox) = fleet.freeze(ballot(1, P), &founding(), &[A, B, C], replace("", "x"));
    let OutgoingRequest { to, request } = &outbox[0];
    expect_that!(fleet.handle(*to, request), eq(&RegisterReply::Accepted));

    let read = done(fleet.run(ballot(2, Q), &founding(), &[A, B], keep));

    expect_that!(read.ballot, eq(ballot(2, Q)));
    expect_that!(read.value.payload, eq(&Bytes::from("x")));
    // Then it is chosen: also those find it who do not reach the first to accept.
    expect_that!(payload(fleet.run(ballot(3, P), &founding(), &[B, C], keep)), eq("x"));
}

#[gtest]
fn a_voter_is_replaced_during_a_change() {
    let mut fleet = Fleet::new();
    let (mut change, outbox) = fleet.freeze(ballot(1, P), &founding(), &[A, B, C], replace("", "x"));
    expect_that!(fleet.handle(A, &outbox[0].request), eq(&RegisterReply::Accepted));

    // C is down: D comes in, then C goes out.
    let added = done(fleet.run(ballot(2, Q), &founding(), &[A, B, D], voters(&[A, B, C, D])));
    expect_that!(added.value.epoch, eq(1));
    let removed = done(fleet.run(ballot(3, Q), &added.value, &[A, B, D], voters(&[A, B, D])));
    expect_that!(removed.value.epoch, eq(2));

    // The change that A had accepted was carried along, and its own run ends in vain.
    expect_that!(removed.value.payload, eq(&Bytes::from("x")));
    let late = fleet.carry(&mut change, outbox[1..].to_vec(), &[B], &mut keep, false);
    expect_that!(late, eq(&ProposerStep::Lost { seen: ballot(3, Q) }));
    expect_that!(payload(fleet.run(ballot(4, P), &removed.value, &[B, D], replace("x", "y"))), eq("y"));
}

#[gtest]
fn voters_change_by_one_machine_at_a_time() {
    let mut fleet = Fleet::new();

    for wanted in [&[A, B, D][..], &[A, B, C, D, E], &[A, B, C, C], &[A, B, C], &[]] {
        let unchanged = done(fleet.run(ballot(1, P), &founding(), &ALL, voters(wanted)));
        expect_that!(unchanged.value, eq(&founding()));
    }
}

#[gtest]
fn a_change_of_voters_needs_a_majority_of_the_old_ones_and_of_the_new() {
    let mut fleet = Fleet::new();
    let four = RegisterValue { epoch: 1, voters: vec![A, B, C, D], payload: Bytes::new() };

    // Two of the three, but not three of the four.
    let (mut run, outbox) = fleet.freeze(ballot(1, P), &founding(), &[A, B], voters(&four.voters));
    expect_that!(fleet.carry(&mut run, outbox, &[A, B], &mut keep, false), eq(&ProposerStep::Failed));

    // The next run finds it and needs both as well, whatever it wants.
    let short = fleet.run(ballot(2, Q), &founding(), &[A, C], replace("", "x"));
    expect_that!(short, eq(&ProposerStep::Failed));
    let complete = done(fleet.run(ballot(3, Q), &founding(), &[A, B, D], replace("", "x")));
    expect_that!((complete.value.epoch, complete.value.voters), eq(&(1, four.voters)));
}

#[gtest]
fn a_majority_of_the_remaining_voters_alone_does_not_remove_a_voter() {
    let mut fleet = Fleet::new();
    let four = done(fleet.run(ballot(1, Q), &founding(), &ALL, voters(&[A, B, C, D]))).value;

    // Two of the three that remain, but not three of the four.
    let (mut run, outbox) = fleet.freeze(ballot(2, P), &four, &ALL, voters(&[A, B, C]));
    expect_that!(fleet.carry(&mut run, outbox, &[A, B], &mut keep, false), eq(&ProposerStep::Failed));

    // The next run has read it, and is held to the same.
    let (mut run, outbox) = fleet.freeze(ballot(3, P), &four, &ALL, replace("", "x"));
    expect_that!(fleet.carry(&mut run, outbox, &[A, B], &mut keep, false), eq(&ProposerStep::Failed));
}

#[gtest]
fn no_voter_change_is_made_on_top_of_an_unfinished_one() {
    let mut fleet = Fleet::new();
    let (_, outbox) = fleet.freeze(ballot(1, P), &founding(), &[A, B, C], voters(&[A, B, C, D]));
    fleet.handle(A, &outbox[0].request);

    let first = done(fleet.run(ballot(2, Q), &founding(), &ALL, voters(&[A, B, C, D, E])));
    expect_that!((first.value.epoch, first.value.voters.len()), eq((1, 4)));
    let second = done(fleet.run(ballot(3, Q), &first.value, &ALL, voters(&[A, B, C, D, E])));
    expect_that!((second.value.epoch, second.value.voters.len()), eq((2, 5)));
}

#[gtest]
fn an_abandoned_voter_change_does_not_block_its_acceptor() {
    // Given A with a change of voters that nobody else has, and a newer value chosen without A,
    let mut fleet = Fleet::new();
    let (_, outbox) = fleet.freeze(ballot(1, P), &founding(), &[A, B, C], voters(&[A, B, C, D]));
    fleet.handle(A, &outbox[0].request);
    expect_that!(payload(fleet.run(ballot(2, Q), &founding(), &[B, C], replace("", "x"))), eq("x"));
    expect_that!(fleet.accepted(A).value.epoch, eq(1));

    // when C is down, then A and B carry on.
    expect_that!(payload(fleet.run(ballot(3, Q), &founding(), &[A, B], replace("x", "y"))), eq("y"));
    expect_that!(fleet.accepted(A).value.epoch, eq(0));
}

#[gtest]
fn an_earlier_epoch_is_rejected_without_prepare() {
    let mut fleet = Fleet::new();
    fleet.run(ballot(1, P), &founding(), &ALL, voters(&[A, B, C, D]));

    let unasked = RegisterRequest::Accept(AcceptedValue { ballot: ballot(2, Q), value: founding() });

    expect_that!(fleet.handle(A, &unasked), eq(&RegisterReply::Rejected(ballot(1, P))));
}

#[gtest]
fn a_partition_without_a_majority_fails() {
    let mut fleet = Fleet::new();

    expect_that!(fleet.run(ballot(1, P), &founding(), &[A], replace("", "x")), eq(&ProposerStep::Failed));
    expect_that!(payload(fleet.run(ballot(2, Q), &founding(), &[B, C], replace("", "y"))), eq("y"));
}

#[gtest]
fn a_stale_proposer_follows_two_changes_of_voters() {
    let mut fleet = Fleet::new();
    let four = done(fleet.run(ballot(1, Q), &founding(), &ALL, voters(&[A, B, C, D]))).value;
    let three = done(fleet.run(ballot(2, Q), &four, &ALL, voters(&[B, C, D]))).value;
    // B has missed the last change, and A knows of it only that it is out.
    expect_that!(payload(fleet.run(ballot(3, Q), &three, &[C, D], replace("", "x"))), eq("x"));

    let stale = fleet.run(ballot(4, P), &founding(), &ALL, replace("", "lost"));
    expect_that!(payload(stale), eq("x"));
    let next = done(fleet.run(ballot(5, P), &founding(), &ALL, replace("x", "y"))).value;
    expect_that!((next.epoch, next.voters, next.payload), eq(&(2, vec![B, C, D], Bytes::from("y"))));
}

#[gtest]
fn a_proposer_two_voter_changes_behind_fails_at_a_bare_majority() {
    let mut fleet = Fleet::new();
    let four = done(fleet.run(ballot(1, Q), &founding(), &ALL, voters(&[A, B, C, D]))).value;
    let three = done(fleet.run(ballot(2, Q), &four, &ALL, voters(&[B, C, D]))).value;

    expect_that!(fleet.run(ballot(3, P), &founding(), &[A, B, C], keep), eq(&ProposerStep::Failed));
    // One that has learnt needs no more than that.
    expect_that!(payload(fleet.run(ballot(4, P), &three, &[B, C], replace("", "x"))), eq("x"));
}

#[gtest]
fn a_used_ballot_is_not_used_again() {
    let mut fleet = Fleet::new();
    fleet.run(ballot(1, P), &founding(), &ALL, replace("", "x"));

    let again = fleet.run(ballot(1, P), &founding(), &ALL, replace("", "y"));

    expect_that!(again, eq(&ProposerStep::Lost { seen: ballot(1, P) }));
}

#[gtest]
fn an_acceptor_reports_when_its_record_changed() {
    let mut acceptor = Acceptor::new(founding_record(vec![A, B, C]));
    let value = AcceptedValue { ballot: ballot(1, P), value: founding() };

    expect_that!(acceptor.handle(&RegisterRequest::Prepare(ballot(1, P))).record_changed, eq(true));
    expect_that!(acceptor.handle(&RegisterRequest::Prepare(ballot(1, P))).record_changed, eq(false));
    expect_that!(
        acceptor.handle(&RegisterRequest::Prepare(Ballot::default())),
        eq(&AcceptorResponse { reply: RegisterReply::Rejected(ballot(1, P)), record_changed: false })
    );
    expect_that!(acceptor.handle(&RegisterRequest::Accept(value.clone())).record_changed, eq(true));
    expect_that!(acceptor.handle(&RegisterRequest::Accept(value)).record_changed, eq(false));
    expect_that!(acceptor.handle(&RegisterRequest::Fetch).record_changed, eq(false));
}

#[gtest]
fn an_acceptor_records_the_voters_that_it_learns_to_be_chosen() {
    let mut fleet = Fleet::new();
    let four = done(fleet.run(ballot(1, Q), &founding(), &ALL, voters(&[A, B, C, D])));
    let acceptor = fleet.acceptors.get_mut(&A).unwrap();
    let chosen_voters = |acceptor: &Acceptor| acceptor.record().unwrap().chosen_voters.clone().unwrap().epoch;

    expect_that!(chosen_voters(acceptor), eq(0));
    expect_that!(
        acceptor.handle(&RegisterRequest::Poll { chosen: Ballot::default() }).record_changed,
        eq(false)
    );
    let AcceptorResponse { reply, record_changed: changed } =
        acceptor.handle(&RegisterRequest::Poll { chosen: four.ballot });
    expect_that!(reply, eq(&RegisterReply::Polled { accepted: Some(four.ballot), chosen: four.ballot }));
    expect_that!(changed, eq(true));
    expect_that!(chosen_voters(acceptor), eq(1));
}

#[gtest]
fn a_node_joins_without_a_vote_and_becomes_a_voter() {
    let mut fleet = Fleet::new();
    fleet.lose_disk(D);
    fleet.run(ballot(1, P), &founding(), &ALL, replace("", "x"));

    let joined = fleet.restore(D, Recovery::start(D, ballot(2, D), &[A, E]), &[A, B, E]);
    // It asks on among the voters that A names; without a chosen value to start from it needs all three.
    expect_that!(joined, eq(&RecoveryStep::Failed));
    let joined = fleet.restore(D, Recovery::start(D, ballot(3, D), &[A, E]), &ALL);
    let RecoveryStep::Done(record) = joined else { panic!("{joined:?}") };
    expect_that!(record.voter_state, eq(VoterState::NonVoter));

    // Three of the four: D's vote counts.
    let added = done(fleet.run(ballot(4, P), &founding(), &[A, B, D], voters(&[A, B, C, D])));
    expect_that!(added.value.payload, eq(&Bytes::from("x")));
    expect_that!(fleet.acceptors[&D].record().unwrap().voter_state, eq(VoterState::Voter));
}

#[gtest]
fn a_replacement_joins_while_the_replaced_voter_is_down() {
    // Given three voters, of which C is permanently down, and D, which has an empty disk.
    let mut fleet = Fleet::new();
    fleet.lose_disk(D);
    let chosen = done(fleet.run(ballot(1, P), &founding(), &[A, B], replace("", "x")));
    fleet.acceptors.get_mut(&B).unwrap().learn_value(&chosen);
    // When D goes by nothing, it needs all three.
    let alone = fleet.restore(D, Recovery::start(D, ballot(2, D), &[A, B, C]), &[A, B]);
    expect_that!(alone, eq(&RecoveryStep::Failed));
    // When it asks what is chosen, A does not know it and B does.
    let mut chosen_at = |from| {
        let polled = fleet.handle(from, &RegisterRequest::Poll { chosen: Ballot::default() });
        known_chosen_value(&polled, &fleet.handle(from, &RegisterRequest::Fetch))
    };
    expect_that!(chosen_at(A), none());
    let known = chosen_at(B);
    expect_that!(known, some(eq(&chosen.value)));
    // Then a majority is enough, and it can be made a voter.
    let restore = Recovery::start_from(D, ballot(3, D), &known.unwrap(), &[A, B, C]);
    let RecoveryStep::Done(record) = fleet.restore(D, restore, &[A, B]) else { panic!("not restored") };
    expect_that!(record.accepted.unwrap().value.payload, eq(&Bytes::from("x")));
    let added = done(fleet.run(ballot(4, P), &founding(), &[A, B, D], voters(&[A, B, C, D])));
    expect_that!(added.value.voters, eq(&[A, B, C, D]));
}

#[gtest]
fn an_accepted_value_not_known_to_be_chosen_is_not_reported_as_chosen() {
    let value = AcceptedValue { ballot: ballot(2, P), value: founding() };
    let fetched = RegisterReply::Fetched(Some(value.clone()));
    let polled = |accepted, chosen| RegisterReply::Polled { accepted: Some(accepted), chosen };
    expect_that!(known_chosen_value(&polled(ballot(2, P), ballot(2, P)), &fetched), some(eq(&value.value)));
    // It holds a later value than the one that it knows to be chosen, or accepted one after the poll.
    expect_that!(known_chosen_value(&polled(ballot(2, P), ballot(1, P)), &fetched), none());
    expect_that!(known_chosen_value(&polled(ballot(1, P), ballot(1, P)), &fetched), none());
    expect_that!(known_chosen_value(&RegisterReply::Recovering, &fetched), none());
}

#[gtest]
fn a_poll_is_fresh_when_a_majority_has_nothing_newer() {
    let mut learner = Learner::start(&[A, B, C], ballot(3, P));

    expect_that!(learner.on_polled(A, Some(ballot(3, P)), Ballot::default()), eq(&PollOutcome::Pending));
    expect_that!(learner.on_polled(D, Some(ballot(3, P)), Ballot::default()), eq(&PollOutcome::Pending));
    expect_that!(learner.on_polled(B, Some(ballot(2, P)), ballot(2, P)), eq(&PollOutcome::Fresh));
}

#[gtest]
fn a_poll_is_behind_when_a_newer_ballot_is_reported_chosen_or_has_a_majority() {
    let newer = ballot(4, P);
    let behind = |from: &[Ipv4Addr]| PollOutcome::Behind { from: from.to_vec(), ballot: newer };
    let fetched = AcceptedValue { ballot: newer, value: founding() };
    let other_voters = AcceptedValue { ballot: newer, value: RegisterValue { epoch: 1, ..founding() } };

    let mut reported = Learner::start(&[A, B, C], ballot(3, P));
    expect_that!(reported.on_polled(A, Some(newer), newer), eq(&behind(&[A])));
    expect_that!(reported.confirms(&founding(), &other_voters), eq(true));

    let mut majority = Learner::start(&[A, B, C], ballot(3, P));
    expect_that!(majority.on_polled(A, Some(newer), ballot(3, P)), eq(&PollOutcome::Pending));
    expect_that!(majority.confirms(&founding(), &fetched), eq(false));
    expect_that!(majority.on_polled(C, Some(newer), ballot(3, P)), eq(&behind(&[A, C])));
    expect_that!(majority.confirms(&founding(), &fetched), eq(true));
    // A majority of the old voters alone does not choose other voters.
    expect_that!(majority.confirms(&founding(), &other_voters), eq(false));
}

#[gtest]
fn a_poll_is_undecided_when_a_newer_ballot_can_reach_no_majority() {
    let mut learner = Learner::start(&[A, B, C], ballot(3, P));

    expect_that!(learner.on_polled(A, Some(ballot(4, P)), ballot(3, P)), eq(&PollOutcome::Pending));
    expect_that!(learner.on_polled(B, Some(ballot(3, P)), ballot(3, P)), eq(&PollOutcome::Pending));
    expect_that!(learner.on_failure(C), eq(&PollOutcome::Undecided));
}

#[gtest]
fn a_poll_without_a_majority_fails() {
    let mut learner = Learner::start(&[A, B, C], ballot(3, P));

    expect_that!(learner.on_polled(A, Some(ballot(3, P)), ballot(3, P)), eq(&PollOutcome::Pending));
    expect_that!(learner.on_failure(B), eq(&PollOutcome::Pending));
    expect_that!(learner.on_failure(C), eq(&PollOutcome::Failed));
}

#[gtest]
fn nodes_complete_an_undecided_value_in_distinct_order_its_proposer_last() {
    let voters: Vec<Ipv4Addr> = (1..=8).map(|number| Ipv4Addr::new(10, 0, 0, number)).collect();
    let mut firsts = std::collections::BTreeSet::new();
    for round in 1..200 {
        let ballot = Ballot { round, proposer: u32::from(voters[2]), incarnation: 0 };
        let mut ranks: Vec<usize> =
            voters.iter().map(|ip| config_register::completion_rank(*ip, &voters, ballot)).collect();
        expect_that!(ranks[2], eq(7));
        firsts.insert(ranks.iter().position(|rank| *rank == 0));
        ranks.sort_unstable();
        expect_that!(ranks, eq(&(0..8).collect::<Vec<_>>()));
    }
    // It is not always the same one that comes first.
    expect_that!(firsts.len(), eq(7));
}
