//! Leases of singleton roles, and failure detection of voters.

use controllers::{LeaseCandidate, UnresponsiveVoter, VoterController, holds_lease, times};
use fleet_model::{ControlState, Lease, rendezvous_rank};
use googletest::prelude::*;
use std::net::Ipv4Addr;

const ROLE: &str = "list";
const A: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const B: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const C: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 3);
const D: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 4);

fn held_by(token: u64, holder: Ipv4Addr) -> ControlState {
    let mut state = ControlState::default();
    state.leases.insert(ROLE.into(), Lease { token, holder: Some(holder) });
    state
}

/// The voters, highest-ranked for a token first.
fn ranked(token: u64, voters: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
    let mut voters = voters.to_vec();
    voters.sort_by_key(|ip| std::cmp::Reverse(rendezvous_rank(&ip.octets(), token)));
    voters
}

fn controller(own_ip: Ipv4Addr, now: u64, voters: &[Ipv4Addr], responding: &[Ipv4Addr]) -> VoterController {
    let mut voter_controller = VoterController::new(own_ip);
    voter_controller.observe(now, voters);
    responding.iter().for_each(|ip| voter_controller.record_response(now, *ip));
    voter_controller
}

#[gtest]
fn a_lease_stays_with_a_responsive_holder() {
    let mut candidate = LeaseCandidate::new(ROLE, A);
    let voter_controller = controller(A, 0, &[A, B, C], &[B, C]);
    expect_that!(
        candidate.lease_to_acquire(
            times::LEASE_HOLDER_TIMEOUT_MS - 1,
            &held_by(4, B),
            &[A, B, C],
            &voter_controller
        ),
        none()
    );
}

#[gtest]
fn the_highest_ranked_live_voter_acquires_a_vacant_lease_at_once() -> Result<()> {
    let order = ranked(4, &[A, B]);
    let state = held_by(4, C);
    let now = times::LEASE_HOLDER_TIMEOUT_MS;
    for (rank, own_ip) in order.iter().enumerate() {
        let mut voter_controller = controller(*own_ip, 0, &[A, B, C], &[]);
        voter_controller.record_response(now, order[1 - rank]);
        let mut candidate = LeaseCandidate::new(ROLE, *own_ip);
        let from = candidate.lease_to_acquire(now, &state, &[A, B, C], &voter_controller);
        expect_that!(from.is_some(), eq(rank == 0));
        if let Some(from) = from {
            let state = candidate.acquire(&state, &from).or_fail()?;
            expect_that!(candidate.on_committed(&state, &from), some(eq(5)));
            expect_that!(candidate.held_token(&state), some(eq(5)));
        }
    }
    Ok(())
}

#[gtest]
fn a_live_voter_that_does_not_acquire_the_lease_delays_the_next_one_only_briefly() {
    // A higher-ranked voter responds to this node, but is partitioned from the others.
    let order = ranked(4, &[A, B]);
    let (higher_ranked, own_ip) = (order[0], order[1]);
    let state = held_by(4, C);
    let mut voter_controller = controller(own_ip, 0, &[A, B, C], &[]);
    let mut candidate = LeaseCandidate::new(ROLE, own_ip);
    let vacant_at = times::LEASE_HOLDER_TIMEOUT_MS;
    for now in (vacant_at..vacant_at + times::LEASE_RANK_DELAY_MS).step_by(200) {
        voter_controller.record_response(now, higher_ranked);
        expect_that!(candidate.lease_to_acquire(now, &state, &[A, B, C], &voter_controller), none());
    }
    // After the delay for its rank, this node acquires the lease.
    let now = vacant_at + times::LEASE_RANK_DELAY_MS;
    voter_controller.record_response(now, higher_ranked);
    expect_that!(candidate.lease_to_acquire(now, &state, &[A, B, C], &voter_controller), some(anything()));
}

#[gtest]
fn a_lease_of_an_earlier_incarnation_is_not_held() -> Result<()> {
    // The node held the lease and has just restarted.
    let state = held_by(4, A);
    let mut candidate = LeaseCandidate::new(ROLE, A);
    // It does not hold the lease, but acquires it under the next token without a delay.
    expect_that!(candidate.held_token(&state), none());
    let voter_controller = controller(A, 0, &[A, B, C], &[B, C]);
    let from = candidate.lease_to_acquire(0, &state, &[A, B, C], &voter_controller).or_fail()?;
    let state = candidate.acquire(&state, &from).or_fail()?;
    expect_that!(candidate.on_committed(&state, &from), some(eq(5)));
    Ok(())
}

#[gtest]
fn of_two_candidates_one_acquires_the_lease_and_both_learn_the_outcome() -> Result<()> {
    let state = held_by(4, C);
    let (mut winner, mut loser) = (LeaseCandidate::new(ROLE, A), LeaseCandidate::new(ROLE, B));
    let from = Lease { token: 4, holder: Some(C) };
    let state = winner.acquire(&state, &from).or_fail()?;
    expect_that!(loser.acquire(&state, &from), none());
    expect_that!(winner.on_committed(&state, &from), some(eq(5)));
    expect_that!(loser.on_committed(&state, &from), none());
    Ok(())
}

#[gtest]
fn a_node_that_is_not_a_voter_acquires_no_lease() {
    let voter_controller = controller(A, 0, &[B, C, D], &[]);
    let mut candidate = LeaseCandidate::new(ROLE, A);
    expect_that!(candidate.lease_to_acquire(60_000, &held_by(4, B), &[B, C, D], &voter_controller), none());
    expect_that!(candidate.lease_to_acquire(60_000, &held_by(4, A), &[B, C, D], &voter_controller), none());
}

#[gtest]
fn a_suspended_holder_loses_its_lease_when_it_learns_the_next_token() -> Result<()> {
    let mut candidate = LeaseCandidate::new(ROLE, A);
    let from = Lease::default();
    let state = candidate.acquire(&ControlState::default(), &from).or_fail()?;
    expect_that!(candidate.on_committed(&state, &from), some(eq(1)));
    expect_that!(candidate.held_token(&held_by(2, B)), none());
    // Nor does it hold the lease under a token that another incarnation of the same node acquired.
    expect_that!(candidate.held_token(&held_by(3, A)), none());
    Ok(())
}

#[gtest]
fn a_stale_fencing_token_does_not_hold_the_lease() {
    expect_that!(holds_lease(&held_by(4, A), ROLE, A, 4), eq(true));
    expect_that!(holds_lease(&held_by(5, B), ROLE, A, 4), eq(false));
    // Nor does it hold the lease under a token of another incarnation of the same node.
    expect_that!(holds_lease(&held_by(5, A), ROLE, A, 4), eq(false));
}

#[gtest]
fn a_suspended_node_does_not_consider_the_others_unresponsive() {
    // The node sends requests to the others, and all of them respond.
    let mut voter_controller = controller(A, 0, &[A, B, C, D], &[]);
    for now in (0..20_000).step_by(250) {
        voter_controller.before_request(now);
        [B, C, D].iter().for_each(|ip| voter_controller.record_response(now, *ip));
    }
    // It is suspended for longer than the voter timeout, and then sends requests again.
    let resumed_at = 20_000 + times::VOTER_TIMEOUT_MS + 1_000;
    voter_controller.before_request(resumed_at);
    // No node counts as unresponsive, neither as a voter nor as a lease holder.
    expect_that!(voter_controller.voter_to_remove(resumed_at, &[A, B, C, D]), none());
    expect_that!(voter_controller.is_presumed_alive(B, resumed_at, times::LEASE_HOLDER_TIMEOUT_MS), eq(true));
    // A voter that does not respond after that is to be removed.
    let mut now = resumed_at;
    while now <= resumed_at + times::VOTER_TIMEOUT_MS + 500 {
        voter_controller.before_request(now);
        [C, D].iter().for_each(|ip| voter_controller.record_response(now, *ip));
        now += 250;
    }
    expect_that!(
        voter_controller.voter_to_remove(now, &[A, B, C, D]),
        some(field!(UnresponsiveVoter.ip, eq(B)))
    );
}

#[gtest]
fn a_newly_added_voter_is_not_removed() {
    // D has never responded to this node.
    let mut voter_controller = controller(A, 0, &[A, B, C], &[]);
    for now in (0..12_000).step_by(250) {
        voter_controller.before_request(now);
        [B, C].iter().for_each(|ip| voter_controller.record_response(now, *ip));
    }
    // Another node adds D as a voter: its timeout starts now.
    voter_controller.observe(12_000, &[A, B, C, D]);
    expect_that!(voter_controller.voter_to_remove(12_000, &[A, B, C, D]), none());
}

#[gtest]
fn a_replaced_voter_is_removed_soon_and_others_only_after_the_full_timeout() {
    let voters = [A, B, C, D];
    let mut voter_controller = controller(A, 0, &[A, B, C], &[]);
    let mut now = 0;
    let mut run = |voter_controller: &mut VoterController, until: u64, responding: &[Ipv4Addr]| {
        while now < until {
            now += 250;
            voter_controller.before_request(now);
            responding.iter().for_each(|ip| voter_controller.record_response(now, *ip));
        }
        now
    };
    run(&mut voter_controller, 20_000, &[B, C]);
    // C is lost, and D joins 1.5 s later.
    run(&mut voter_controller, 21_500, &[B]);
    voter_controller.observe(21_500, &voters);
    let now = run(&mut voter_controller, 20_000 + times::REPLACED_VOTER_TIMEOUT_MS + 250, &[B, D]);
    // C is removed after the shorter timeout.
    expect_that!(voter_controller.voter_to_remove(now, &voters), some(field!(UnresponsiveVoter.ip, eq(C))));
    expect_that!(VoterController::without_voter(&voters, C), some(eq(&vec![A, B, D])));
    // Of three voters none is removed.
    voter_controller.observe(now, &[A, B, D]);
    let now = run(&mut voter_controller, 60_000, &[B]);
    expect_that!(voter_controller.voter_to_remove(now, &[A, B, D]), none());
    expect_that!(VoterController::without_voter(&[A, B, D], D), none());
}

#[gtest]
fn changes_queued_by_a_former_holder_are_not_made_under_its_token() -> Result<()> {
    // A holder is suspended with ten queued changes, each conditional on its token.
    let initial = held_by(4, C);
    let mut holder = LeaseCandidate::new(ROLE, A);
    let from = initial.leases[ROLE].clone();
    let held = holder.acquire(&initial, &from).or_fail()?;
    let token = holder.on_committed(&held, &from).or_fail()?;
    let may_make_change = |state: &ControlState| holds_lease(state, ROLE, A, token);
    expect_that!(may_make_change(&held), eq(true));
    // A successor acquires the lease meanwhile.
    let mut successor = LeaseCandidate::new(ROLE, B);
    let taken_over = successor.acquire(&held, &held.leases[ROLE].clone()).or_fail()?;
    expect_that!(successor.on_committed(&taken_over, &held.leases[ROLE].clone()), some(eq(token + 1)));
    // When the former holder resumes, none of the ten changes is made, and it no longer holds the lease.
    for _ in 0..10 {
        expect_that!(may_make_change(&taken_over), eq(false));
    }
    expect_that!(holder.held_token(&taken_over), none());
    // If it acquires the lease again, it holds it under a new token, and the old token remains invalid.
    let reacquired = holder.acquire(&taken_over, &taken_over.leases[ROLE].clone()).or_fail()?;
    let next = holder.on_committed(&reacquired, &taken_over.leases[ROLE].clone());
    expect_that!(next, some(eq(token + 2)));
    expect_that!(may_make_change(&reacquired), eq(false));
    // An attempt based on an outdated token acquires nothing.
    expect_that!(holder.acquire(&reacquired, &held.leases[ROLE].clone()), none());
    Ok(())
}
