//! Leases of singleton roles, and failure detection of voters.

use controllers::{LeaseCandidate, UnresponsiveVoter, VoterController, holds_lease, times};
use fleet_model::{ControlState, Lease, rendezvous_rank};
use googletest::prelude::*;
use std::net::Ipv4Addr;

const LIST: &str = "list";
const A: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const B: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const C: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 3);
const D: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 4);

fn held(number: u64, holder: Ipv4Addr) -> ControlState {
    let mut state = ControlState::default();
    state.leases.insert(LIST.into(), Lease { token: number, holder: Some(holder) });
    state
}

/// The voters, best-ranked for a fence first.
fn ranked(number: u64, voters: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
    let mut voters = voters.to_vec();
    voters.sort_by_key(|ip| std::cmp::Reverse(rendezvous_rank(&ip.octets(), number)));
    voters
}

fn watch(me: Ipv4Addr, now: u64, voters: &[Ipv4Addr], heard: &[Ipv4Addr]) -> VoterController {
    let mut core = VoterController::new(me);
    core.observe(now, voters);
    heard.iter().for_each(|ip| core.record_response(now, *ip));
    core
}

#[gtest]
fn a_duty_stays_where_its_holder_answers() {
    let mut claim = LeaseCandidate::new(LIST, A);
    let core = watch(A, 0, &[A, B, C], &[B, C]);
    expect_that!(
        claim.lease_to_acquire(times::LEASE_HOLDER_TIMEOUT_MS - 1, &held(4, B), &[A, B, C], &core),
        none()
    );
}

#[gtest]
fn the_best_ranked_live_voter_takes_a_duty_whose_holder_is_gone_at_once() -> Result<()> {
    let order = ranked(4, &[A, B]);
    let state = held(4, C);
    let now = times::LEASE_HOLDER_TIMEOUT_MS;
    for (place, me) in order.iter().enumerate() {
        let mut core = watch(*me, 0, &[A, B, C], &[]);
        core.record_response(now, order[1 - place]);
        let mut claim = LeaseCandidate::new(LIST, *me);
        let from = claim.lease_to_acquire(now, &state, &[A, B, C], &core);
        expect_that!(from.is_some(), eq(place == 0));
        if let Some(from) = from {
            let state = claim.acquire(&state, &from).or_fail()?;
            expect_that!(claim.change_committed(&state, &from), some(eq(5)));
            expect_that!(claim.held_token(&state), some(eq(5)));
        }
    }
    Ok(())
}

#[gtest]
fn a_voter_that_answers_but_does_not_take_the_duty_keeps_it_from_the_next_only_for_a_while() {
    // given a better-ranked voter that answers this one, but is cut off from the others
    let order = ranked(4, &[A, B]);
    let (better, me) = (order[0], order[1]);
    let state = held(4, C);
    let mut core = watch(me, 0, &[A, B, C], &[]);
    let mut claim = LeaseCandidate::new(LIST, me);
    let gone = times::LEASE_HOLDER_TIMEOUT_MS;
    for now in (gone..gone + times::LEASE_RANK_DELAY_MS).step_by(200) {
        core.record_response(now, better);
        expect_that!(claim.lease_to_acquire(now, &state, &[A, B, C], &core), none());
    }
    // when it has had its time, then the next takes the duty
    let now = gone + times::LEASE_RANK_DELAY_MS;
    core.record_response(now, better);
    expect_that!(claim.lease_to_acquire(now, &state, &[A, B, C], &core), some(anything()));
}

#[gtest]
fn a_fence_of_a_former_life_is_not_ones_own() -> Result<()> {
    // given a keeper that held the duty, and starts again at once
    let state = held(4, A);
    let mut claim = LeaseCandidate::new(LIST, A);
    // then it does not hold it, and takes it under the next number without waiting
    expect_that!(claim.held_token(&state), none());
    let core = watch(A, 0, &[A, B, C], &[B, C]);
    let from = claim.lease_to_acquire(0, &state, &[A, B, C], &core).or_fail()?;
    let state = claim.acquire(&state, &from).or_fail()?;
    expect_that!(claim.change_committed(&state, &from), some(eq(5)));
    Ok(())
}

#[gtest]
fn of_two_that_take_a_duty_one_gets_it_and_both_know_which() -> Result<()> {
    let state = held(4, C);
    let (mut one, mut other) = (LeaseCandidate::new(LIST, A), LeaseCandidate::new(LIST, B));
    let from = Lease { token: 4, holder: Some(C) };
    let state = one.acquire(&state, &from).or_fail()?;
    expect_that!(other.acquire(&state, &from), none());
    expect_that!(one.change_committed(&state, &from), some(eq(5)));
    expect_that!(other.change_committed(&state, &from), none());
    Ok(())
}

#[gtest]
fn a_machine_that_is_no_voter_takes_no_duty() {
    let core = watch(A, 0, &[B, C, D], &[]);
    let mut claim = LeaseCandidate::new(LIST, A);
    expect_that!(claim.lease_to_acquire(60_000, &held(4, B), &[B, C, D], &core), none());
    expect_that!(claim.lease_to_acquire(60_000, &held(4, A), &[B, C, D], &core), none());
}

#[gtest]
fn a_holder_that_slept_holds_nothing_once_it_reads_the_next_fence() -> Result<()> {
    let mut claim = LeaseCandidate::new(LIST, A);
    let from = Lease::default();
    let state = claim.acquire(&ControlState::default(), &from).or_fail()?;
    expect_that!(claim.change_committed(&state, &from), some(eq(1)));
    expect_that!(claim.held_token(&held(2, B)), none());
    // and not again under a number that another life of it took
    expect_that!(claim.held_token(&held(3, A)), none());
    Ok(())
}

#[gtest]
fn what_a_holder_decided_before_it_slept_is_void_once_another_has_the_duty() {
    expect_that!(holds_lease(&held(4, A), LIST, A, 4), eq(true));
    expect_that!(holds_lease(&held(5, B), LIST, A, 4), eq(false));
    // nor under the fence of another life of it
    expect_that!(holds_lease(&held(5, A), LIST, A, 4), eq(false));
}

#[gtest]
fn a_keeper_that_slept_does_not_take_the_others_for_gone() {
    // given a keeper that asks and hears the others all the time
    let mut core = watch(A, 0, &[A, B, C, D], &[]);
    for now in (0..20_000).step_by(250) {
        core.before_request(now);
        [B, C, D].iter().for_each(|ip| core.record_response(now, *ip));
    }
    // when it sleeps for longer than a voter may be silent, and asks again
    let woke = 20_000 + times::VOTER_TIMEOUT_MS + 1_000;
    core.before_request(woke);
    // then none is gone, neither as a voter nor as a holder
    expect_that!(core.voter_to_remove(woke, &[A, B, C, D]), none());
    expect_that!(core.is_presumed_alive(B, woke, times::LEASE_HOLDER_TIMEOUT_MS), eq(true));
    // but who stays silent is
    let mut now = woke;
    while now <= woke + times::VOTER_TIMEOUT_MS + 500 {
        core.before_request(now);
        [C, D].iter().for_each(|ip| core.record_response(now, *ip));
        now += 250;
    }
    expect_that!(core.voter_to_remove(now, &[A, B, C, D]), some(field!(UnresponsiveVoter.ip, eq(B))));
}

#[gtest]
fn a_voter_taken_in_a_moment_ago_is_not_gone() {
    // given a holder that has never heard D
    let mut core = watch(A, 0, &[A, B, C], &[]);
    for now in (0..12_000).step_by(250) {
        core.before_request(now);
        [B, C].iter().for_each(|ip| core.record_response(now, *ip));
    }
    // when another keeper takes D in
    core.observe(12_000, &[A, B, C, D]);
    // then it has time to answer
    expect_that!(core.voter_to_remove(12_000, &[A, B, C, D]), none());
}

#[gtest]
fn a_voter_that_is_replaced_is_removed_soon_and_others_as_late_as_ever() {
    let voters = [A, B, C, D];
    let mut core = watch(A, 0, &[A, B, C], &[]);
    let mut now = 0;
    let mut run = |core: &mut VoterController, until: u64, heard: &[Ipv4Addr]| {
        while now < until {
            now += 250;
            core.before_request(now);
            heard.iter().for_each(|ip| core.record_response(now, *ip));
        }
        now
    };
    run(&mut core, 20_000, &[B, C]);
    // when C is gone, and D joins 1.5 s later
    run(&mut core, 21_500, &[B]);
    core.observe(21_500, &voters);
    let now = run(&mut core, 20_000 + times::REPLACED_VOTER_TIMEOUT_MS + 250, &[B, D]);
    // then C is removed
    expect_that!(core.voter_to_remove(now, &voters), some(field!(UnresponsiveVoter.ip, eq(C))));
    expect_that!(VoterController::without_voter(&voters, C), some(eq(&vec![A, B, D])));
    // and of three voters none is
    core.observe(now, &[A, B, D]);
    let now = run(&mut core, 60_000, &[B]);
    expect_that!(core.voter_to_remove(now, &[A, B, D]), none());
    expect_that!(VoterController::without_voter(&[A, B, D], D), none());
}
