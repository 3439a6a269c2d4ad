//! What one keeper knows and claims.

use controllers::{
    DiscoveryPolls, LeaseCandidate, LossTolerance, RosterStep, StorageController, UnresponsiveVoter,
    VoterController, holds_lease, join, times,
};
use fleet_model::{
    ControlState, Endpoint, EndpointList, EndpointState, Lease, ListVersion, StorageNode, rendezvous_rank,
};
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

fn store(name: &str, ip: u8, disk: u64) -> StorageNode {
    StorageNode { name: name.into(), ip: Ipv4Addr::new(10, 3, 0, ip), zone: "a".into(), disk }
}

fn founded(count: u8) -> ControlState {
    let mut state = ControlState::default();
    state.roster.epoch = 7;
    state.roster.current = (1..=count).map(|at| store(&format!("s{at}"), at, at.into())).collect();
    state
}

/// A keeper's watch with a clock; it looks as often as it wants to.
struct Watching {
    watch: StorageController,
    now: u64,
}

impl Watching {
    fn new() -> Self {
        Self { watch: StorageController::default(), now: 10_000 }
    }

    /// Until then, machines with these disks answer.
    fn run(&mut self, until: u64, state: &ControlState, live: &[u64]) {
        while self.now < until {
            self.watch.observe(self.now, &state.roster, 3);
            if self.watch.is_probe_due(self.now) {
                self.look(state, live);
            }
            self.now += 50;
        }
    }

    fn look(&mut self, state: &ControlState, live: &[u64]) {
        self.watch.begin_probe_round(self.now);
        let mut disks: Vec<u64> = state.roster.current.iter().map(|store| store.disk).collect();
        disks.extend(controllers::proposed_nodes(&state.roster).iter().map(|store| store.disk));
        disks.sort_unstable();
        disks.dedup();
        for disk in disks {
            match live.contains(&disk) {
                true => self.watch.record_response(self.now, disk),
                false => self.watch.record_missed_probe(disk),
            }
        }
    }

    fn step(&self, state: &ControlState) -> RosterStep {
        self.watch.step(self.now, state, 1)
    }
}

fn gives_up(step: &RosterStep) -> Option<u64> {
    match step {
        RosterStep::RemoveNode { store, .. } => Some(store.disk),
        _ => None,
    }
}

#[gtest]
fn a_silent_machine_is_given_up_after_long_and_not_before() {
    let state = founded(4);
    let mut keeper = Watching::new();
    keeper.run(60_000, &state, &[1, 2, 3, 4]);
    keeper.run(60_000 + times::STORAGE_TIMEOUT_MS - 1_000, &state, &[1, 2, 3]);
    expect_that!(keeper.step(&state), eq(&RosterStep::NoChange));
    keeper.run(60_000 + times::STORAGE_TIMEOUT_MS + 500, &state, &[1, 2, 3]);
    expect_that!(gives_up(&keeper.step(&state)), some(eq(4)));
}

#[gtest]
fn a_keeper_that_came_lately_gives_a_silent_machine_up_sooner() {
    // given a keeper that cannot know whether one of the four came to replace another
    let state = founded(4);
    let mut keeper = Watching::new();
    keeper.run(20_000, &state, &[1, 2, 3, 4]);
    keeper.run(20_000 + times::STORAGE_TIMEOUT_AFTER_START_MS - 1_000, &state, &[1, 2, 3]);
    expect_that!(keeper.step(&state), eq(&RosterStep::NoChange));
    keeper.run(20_000 + times::STORAGE_TIMEOUT_AFTER_START_MS + 500, &state, &[1, 2, 3]);
    expect_that!(gives_up(&keeper.step(&state)), some(eq(4)));
}

#[gtest]
fn a_filling_that_has_gone_on_for_a_while_is_let_come_to_its_end() -> Result<()> {
    // given that s9 is being taken in
    let mut keeper = Watching::new();
    keeper.run(20_000, &founded(3), &[1, 2, 3]);
    let state = join(&founded(3), &store("s9", 9, 9), 3).or_fail()?;
    keeper.run(20_100, &state, &[1, 2, 3, 9]);
    // when s3 is gone, then nothing begins anew while that may end soon
    keeper.run(20_000 + times::MAX_BACKFILL_PROTECTED_MS - 100, &state, &[1, 2, 9]);
    expect_that!(keeper.step(&state), eq(&RosterStep::NoChange));
    // but not for long
    keeper.run(20_000 + times::MAX_BACKFILL_PROTECTED_MS + 200, &state, &[1, 2, 9]);
    expect_that!(gives_up(&keeper.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn what_is_full_but_for_a_silent_machine_counts_before_that_one_is_given_up() -> Result<()> {
    // given that s9 is being taken in, all others are full for it, and s3 is gone
    let mut state = join(&founded(3), &store("s9", 9, 9), 3).or_fail()?;
    state.roster.in_sync = vec![1, 2, 9];
    let mut keeper = Watching::new();
    keeper.run(20_000, &state, &[1, 2, 3, 9]);
    keeper.run(20_000 + times::REPLACED_STORAGE_TIMEOUT_MS + 800, &state, &[1, 2, 9]);
    expect_that!(keeper.step(&state), eq(&RosterStep::WaiveBackfill(vec![3])));
    Ok(())
}

#[gtest]
fn a_machine_that_flaps_is_not_given_up() {
    let state = founded(4);
    let mut keeper = Watching::new();
    for _ in 0..10 {
        let now = keeper.now;
        keeper.run(now + 4_000, &state, &[1, 2, 3]);
        expect_that!(keeper.step(&state), eq(&RosterStep::NoChange));
        keeper.run(now + 6_000, &state, &[1, 2, 3, 4]);
    }
}

#[gtest]
fn a_machine_replaced_at_another_address_is_given_up_soon() -> Result<()> {
    // given that s3 is gone, and s9 comes 1.5 s later
    let state = founded(3);
    let mut keeper = Watching::new();
    keeper.run(20_000, &state, &[1, 2, 3]);
    keeper.run(21_500, &state, &[1, 2]);
    let state = join(&state, &store("s9", 9, 9), 3).or_fail()?;
    // when the holder has looked again
    keeper.run(21_850, &state, &[1, 2, 9]);
    // then s3 is given up
    expect_that!(gives_up(&keeper.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn a_planned_replacement_lets_the_old_machine_go_soon() -> Result<()> {
    // given that s9 has come and counts
    let mut state = founded(3);
    let mut keeper = Watching::new();
    keeper.run(20_000, &state, &[1, 2, 3]);
    state.roster.current.push(store("s9", 9, 9));
    keeper.run(25_000, &state, &[1, 2, 3, 9]);
    // when s3 ends
    keeper.run(25_000 + times::REPLACED_STORAGE_TIMEOUT_MS + 1_000, &state, &[1, 2, 9]);
    // then it is given up
    expect_that!(gives_up(&keeper.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn one_newcomer_replaces_one_machine() -> Result<()> {
    // given that s9 came for s4, which is out
    let mut state = founded(4);
    let mut keeper = Watching::new();
    keeper.run(20_000, &state, &[1, 2, 3]);
    state.roster.current[3] = store("s9", 9, 9);
    keeper.run(21_000, &state, &[1, 2, 3, 9]);
    // when another sleeps for four seconds, then it stays
    keeper.run(25_000, &state, &[1, 2, 9]);
    expect_that!(keeper.step(&state), eq(&RosterStep::NoChange));
    // and where the wrong one was given up and returns, s9 is free for another
    let mut without = state.clone();
    without.roster.current.remove(2);
    without.roster.current.push(store("s4", 4, 4));
    keeper.run(26_000, &without, &[1, 2, 4, 9]);
    keeper.run(29_000, &without, &[1, 4, 9]);
    expect_that!(gives_up(&keeper.step(&without)), some(eq(2)));
    Ok(())
}

#[gtest]
fn a_newcomer_is_not_taken_for_the_replacement_of_a_retired_machine() -> Result<()> {
    // given that s4 was retired, and s9 has come for s3
    let mut state = founded(4);
    let mut keeper = Watching::new();
    keeper.run(20_000, &state, &[1, 2, 3, 4]);
    state.roster.current.remove(3);
    state.roster.retiring.push("s4".into());
    keeper.run(25_000, &state, &[1, 2, 3]);
    state.roster.current.push(store("s9", 9, 9));
    keeper.run(28_000, &state, &[1, 2, 9]);
    expect_that!(gives_up(&keeper.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn a_replacement_that_is_retired_leaves_no_place_for_the_next_newcomer() -> Result<()> {
    // given that s9 came for s4, which is out, and was retired in its turn
    let mut state = founded(4);
    let mut keeper = Watching::new();
    keeper.run(20_000, &state, &[1, 2, 3]);
    state.roster.current[3] = store("s9", 9, 9);
    keeper.run(21_000, &state, &[1, 2, 3, 9]);
    state.roster.retiring.push("s9".into());
    state.roster.current.remove(3);
    keeper.run(24_000, &state, &[1, 2, 3]);
    // when s3 is gone and s10 comes, then it came for s3
    keeper.run(25_000, &state, &[1, 2]);
    state.roster.current.push(store("s10", 10, 10));
    keeper.run(27_000, &state, &[1, 2, 10]);
    expect_that!(gives_up(&keeper.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn a_wiped_machine_replaces_nobody_but_itself() -> Result<()> {
    let mut state = founded(4);
    let mut keeper = Watching::new();
    keeper.run(20_000, &state, &[1, 2, 3, 4]);
    state.roster.current[3].disk = 44;
    keeper.run(21_000, &state, &[1, 2, 3, 44]);
    keeper.run(25_000, &state, &[1, 2, 44]);
    expect_that!(keeper.step(&state), eq(&RosterStep::NoChange));
    Ok(())
}

#[gtest]
fn a_keeper_that_starts_during_a_change_reads_from_it_who_came_for_whom() -> Result<()> {
    let state = join(&founded(3), &store("s9", 9, 9), 3).or_fail()?;
    let mut keeper = Watching::new();
    keeper.run(10_000 + times::MAX_BACKFILL_PROTECTED_MS + 500, &state, &[1, 2, 9]);
    expect_that!(gives_up(&keeper.step(&state)), some(eq(3)));
    Ok(())
}

#[gtest]
fn a_missed_look_after_a_long_break_is_no_silence() {
    // given a keeper that looked long ago, as one does that slept
    let state = founded(4);
    let mut keeper = Watching::new();
    keeper.run(20_000, &state, &[1, 2, 3, 4]);
    keeper.now = 20_000 + 2 * times::STORAGE_TIMEOUT_MS;
    // when its next looks miss s4
    keeper.run(keeper.now + 1_000, &state, &[1, 2, 3]);
    // then that is a second of silence
    expect_that!(keeper.step(&state), eq(&RosterStep::NoChange));
}

#[gtest]
fn a_look_that_a_keeper_slept_over_decides_nothing() {
    let state = founded(4);
    let mut keeper = Watching::new();
    keeper.run(20_000, &state, &[1, 2, 3, 4]);
    keeper.look(&state, &[1, 2, 3]);
    keeper.look(&state, &[1, 2, 3]);
    keeper.now += 2 * times::STORAGE_TIMEOUT_MS;
    expect_that!(keeper.step(&state), eq(&RosterStep::NoChange));
}

#[gtest]
fn a_silent_member_of_the_next_set_is_waived_within_the_tolerance() {
    let mut state = founded(3);
    state.roster.next = Some(vec![store("s1", 1, 1), store("s2", 2, 22), store("s3", 3, 3)]);
    state.roster.in_sync = vec![1, 22];
    let mut keeper = Watching::new();
    keeper.run(20_000, &state, &[1, 22, 3]);
    keeper.run(20_000 + times::BACKFILL_MEMBER_TIMEOUT_MS + 500, &state, &[1, 22]);
    expect_that!(keeper.step(&state), eq(&RosterStep::WaiveBackfill(vec![3])));
    keeper.run(20_000 + 2 * times::BACKFILL_MEMBER_TIMEOUT_MS + 1_000, &state, &[1]);
    expect_that!(keeper.step(&state), eq(&RosterStep::NoChange));
}

fn gathered(count: u8, filled: &[u64]) -> ControlState {
    let mut state = founded(count);
    state.roster.next = Some(std::mem::take(&mut state.roster.current));
    state.roster.in_sync = filled.to_vec();
    state
}

#[gtest]
fn a_founding_waits_for_more_machines_a_bounded_time_and_goes_without_them() {
    // given two machines where three are asked for
    let mut keeper = Watching::new();
    let state = gathered(2, &[1, 2]);
    keeper.run(10_000 + times::BOOTSTRAP_WAIT_MS - 200, &state, &[1, 2]);
    expect_that!(keeper.step(&state), eq(&RosterStep::NoChange));
    // when the time is over, then they are founded, but not before each is full
    keeper.run(10_000 + times::BOOTSTRAP_WAIT_MS + 200, &state, &[1, 2]);
    expect_that!(keeper.step(&gathered(2, &[1])), eq(&RosterStep::NoChange));
    expect_that!(keeper.step(&state), eq(&RosterStep::Bootstrap));
    // and a machine that keeps coming and going does not begin the time anew
    let mut later = gathered(3, &[1, 2, 3]);
    later.roster.epoch += 1;
    keeper.run(keeper.now + 200, &later, &[1, 2, 3]);
    expect_that!(keeper.step(&later), eq(&RosterStep::Bootstrap));
}

#[gtest]
fn a_founding_goes_without_a_machine_that_is_gone_again() -> Result<()> {
    let state = gathered(2, &[1]);
    let mut keeper = Watching::new();
    keeper.run(11_000, &state, &[1, 2]);
    keeper.run(10_000 + times::BOOTSTRAP_WAIT_MS + 600, &state, &[1]);
    let step = keeper.step(&state);
    expect_that!(gives_up(&step), some(eq(2)));
    expect_that!(step.apply_to(&state, 7, 3).or_fail()?.roster.next, some(len(eq(1))));
    // but the last one is not given up
    keeper.run(keeper.now + 4_000, &gathered(1, &[]), &[]);
    expect_that!(keeper.step(&gathered(1, &[])), eq(&RosterStep::NoChange));
    Ok(())
}

/// Members of `count` that are given up, one after the other, when only these are live.
fn left_after(count: u8, tolerance: usize, live: &[u64]) -> Vec<u64> {
    let mut state = founded(count);
    let mut watch = Watching::new();
    let all: Vec<u64> = (1..=count.into()).collect();
    watch.run(60_000, &state, &all);
    loop {
        watch.run(watch.now + times::BLOCKING_STORAGE_TIMEOUT_MS + 1_000, &state, live);
        let step = watch.watch.step(watch.now, &state, tolerance);
        let Some(next) = step.apply_to(&state, state.roster.epoch, 2 * tolerance + 1) else { break };
        state = next;
    }
    controllers::proposed_nodes(&state.roster).iter().map(|store| store.disk).collect()
}

#[gtest]
fn where_fewer_machines_are_than_asked_for_the_set_shrinks_to_those_that_hold_everything() {
    // four with two losses to bear: three write, so one loss is served through, and two are not
    expect_that!(left_after(4, 2, &[1, 2, 3]), elements_are![&1, &2, &3, &4]);
    expect_that!(left_after(4, 2, &[1, 2]), elements_are![&1, &2]);
    // one of four may not know all
    expect_that!(left_after(4, 2, &[1]), elements_are![&1, &2, &3, &4]);
    expect_that!(left_after(3, 2, &[1, 2]), elements_are![&1, &2]);
    expect_that!(left_after(3, 2, &[1]), elements_are![&1]);
    expect_that!(left_after(2, 1, &[2]), elements_are![&2]);
    // a keeper that hears nobody gives nobody up
    expect_that!(left_after(2, 1, &[]), elements_are![&1, &2]);
    // enough machines stay as they are for as long as ever
    expect_that!(left_after(3, 1, &[1, 2]), elements_are![&1, &2, &3]);
    expect_that!(left_after(3, 1, &[1]), elements_are![&1, &2, &3]);
    expect_that!(left_after(5, 2, &[1, 2, 3]), elements_are![&1, &2, &3, &4, &5]);
}

#[gtest]
fn no_member_of_a_small_next_set_is_waived_that_alone_would_hold_something() {
    let mut state = founded(1);
    state.roster.next = Some(vec![store("s1", 1, 11)]);
    let mut keeper = Watching::new();
    keeper.run(20_000, &state, &[1, 11]);
    keeper.run(20_000 + times::BACKFILL_MEMBER_TIMEOUT_MS + 1_000, &state, &[1]);
    expect_that!(keeper.step(&state), eq(&RosterStep::NoChange));
}

#[gtest]
fn what_the_machines_bear_is_told_when_it_is_less_than_asked_for_and_when_it_changes() {
    let borne = |served, survived| LossTolerance { served, survived };
    let mut watch = StorageController::default();
    expect_that!(watch.loss_tolerance_change(&Default::default(), 2), none());
    expect_that!(watch.loss_tolerance_change(&founded(5).roster, 2), none());
    expect_that!(watch.loss_tolerance_change(&founded(4).roster, 2), some(eq(borne(1, 2))));
    expect_that!(watch.loss_tolerance_change(&founded(4).roster, 2), none());
    expect_that!(watch.loss_tolerance_change(&founded(2).roster, 2), some(eq(borne(0, 1))));
    // while a set grows, what the smaller one bears
    let mut growing = founded(2);
    growing.roster.next = Some(founded(5).roster.current);
    expect_that!(watch.loss_tolerance_change(&growing.roster, 2), none());
    expect_that!(watch.loss_tolerance_change(&founded(6).roster, 2), some(eq(borne(2, 2))));
    expect_that!(watch.loss_tolerance_change(&gathered(5, &[]).roster, 2), some(eq(borne(0, 0))));
}

#[gtest]
fn of_two_live_machines_of_one_name_the_one_with_the_place_keeps_it() {
    let state = founded(3);
    let mut keeper = Watching::new();
    keeper.run(20_000, &state, &[1, 2, 3]);
    let other = store("s3", 9, 33);
    expect_that!(keeper.watch.admits(&state.roster, &other), eq(false));
    // one that lost its disk is at its old address, and takes its place at once
    expect_that!(keeper.watch.admits(&state.roster, &store("s3", 3, 33)), eq(true));
    // and once the one with the place is missed, the other may have it
    keeper.run(21_100, &state, &[1, 2]);
    expect_that!(keeper.watch.admits(&state.roster, &other), eq(true));
}

fn endpoints(names: &[&str]) -> Vec<Endpoint> {
    let endpoint = |name: &&str| Endpoint {
        instance_id: (*name).into(),
        service: "s".into(),
        address: "10.9.0.1:80".parse().unwrap(),
        zone: "a".into(),
        capacity_slots: 1,
        state: EndpointState::Ready,
    };
    names.iter().map(endpoint).collect()
}

#[gtest]
fn a_reading_is_spread_where_it_is_news_or_its_fence_is() -> Result<()> {
    let mut readings = DiscoveryPolls::default();
    let first = readings.accept_poll(100, 90, 1, &EndpointList::default(), endpoints(&["a"])).or_fail()?;
    expect_that!(first.version, eq(ListVersion::new(1, 1)));
    expect_that!(readings.accept_poll(1_100, 1_090, 1, &first, endpoints(&["a"])), none());
    let second = readings.accept_poll(2_100, 2_090, 1, &first, endpoints(&["a", "b"])).or_fail()?;
    expect_that!(second.version, eq(ListVersion::new(1, 2)));
    let third = readings.accept_poll(3_100, 3_090, 4, &second, endpoints(&["a", "b"])).or_fail()?;
    expect_that!(third.version, eq(ListVersion::new(4, 1)));
    Ok(())
}

#[gtest]
fn an_empty_list_counts_only_after_empty_answers_without_a_break() {
    let known = EndpointList { version: ListVersion::new(1, 1), endpoints: endpoints(&["a"]) };
    let mut readings = DiscoveryPolls::default();
    let empty = |readings: &mut DiscoveryPolls, at: u64, fence: u64| {
        readings.accept_poll(at, at, fence, &known, Vec::new())
    };
    for at in (0..times::EMPTY_LIST_CONFIRMATION_MS).step_by(1_000) {
        expect_that!(empty(&mut readings, at, 1), none());
    }
    expect_that!(empty(&mut readings, times::EMPTY_LIST_CONFIRMATION_MS, 1), some(anything()));
    // an empty answer of a minute ago does not make the next one count
    expect_that!(empty(&mut readings, 65_000, 1), none());
    // nor does one under an earlier fence
    expect_that!(empty(&mut readings, 66_000, 2), none());
    expect_that!(empty(&mut readings, 70_900, 2), none());
}

#[gtest]
fn an_empty_list_is_taken_at_once_where_there_were_no_endpoints() {
    let mut readings = DiscoveryPolls::default();
    expect_that!(readings.accept_poll(10, 10, 1, &EndpointList::default(), Vec::new()), some(anything()));
}

#[gtest]
fn a_reading_that_its_asker_slept_over_is_not_spread() {
    let mut readings = DiscoveryPolls::default();
    let known = EndpointList::default();
    expect_that!(
        readings.accept_poll(times::MAX_POLL_DURATION_MS + 2, 1, 1, &known, endpoints(&["a"])),
        none()
    );
}
